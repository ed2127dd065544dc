package snipeford

import (
	"context"
	"net/http"
	"time"
)

// CallHeader is what a caller's request says of itself beside method, path and
// body.
type CallHeader struct {
	RequestID RequestID
	Key       string
	// Timeout is how long the caller waits, zero where it did not say.
	Timeout time.Duration
	// Prompt and MaxOutput are zero for calls of plain services.
	Prompt    Tokens
	MaxOutput Tokens
	// OutputHint is the caller's guess at the answer's length, or zero.
	OutputHint Tokens
	// LastEventID is the id of the last event that a resuming caller has.
	LastEventID string
}

// AttemptHeader is what a node adds to a request on its way to an upstream.
type AttemptHeader struct {
	Organisation Organisation
	Upstream     UpstreamID
	TimeLeft     time.Duration
	// LastEventID resumes a stream after that event where it is not empty.
	LastEventID string
	// Priority orders the requests that wait at an engine; 0 goes first.
	Priority    int
	HasPriority bool
	Helpers     []Helper
}

// Helper is an upstream that reads a part of a long prompt.
type Helper struct {
	Address string
	// ReservationID names the memory reserved there, or is empty.
	ReservationID string
}

// ResponseHeader is what an upstream's answer says of itself.
type ResponseHeader struct {
	// RequestID is the id that the upstream echoes, or empty.
	RequestID RequestID
	// Signed answers carry the upstream's signature.
	Signed bool
	// NotRun answers promise that the request did not run.
	NotRun bool
	// FaultAddress is the address of the upstream at fault where that is another
	// one, such as a helper.
	FaultAddress string
	// Running, Waiting and Slots tell the load where HasLoad is set.
	Running, Waiting, Slots int
	HasLoad                 bool
	// IdleTimeout is how long the upstream keeps an idle connection, or zero.
	IdleTimeout time.Duration
	// Closing answers are the last on their connection.
	Closing bool
}

// HeaderCodec translates the heads of requests and answers. Implementations decide
// nothing.
type HeaderCodec interface {
	DecodeCall(h http.Header) CallHeader
	// EncodeAttempt turns the caller's header into the one for the upstream.
	EncodeAttempt(h http.Header, a AttemptHeader) http.Header
	DecodeResponse(status int, h http.Header) ResponseHeader
}

// RowDecoder decodes the rows of the platform's collections.
type RowDecoder interface {
	// Upstream returns false where the row names no upstream to use.
	Upstream(key string, value []byte) (Upstream, bool)
	// Routing returns the routing of an operators' row.
	Routing(value []byte) (Routing, error)
	// IsRoutingKey reports whether the key is the routing's.
	IsRoutingKey(key string) bool
	// OutDomain returns the failure domain that the row takes out.
	OutDomain(key string) (FailureDomain, bool)
}

// Reservations sets memory of engines aside.
type Reservations interface {
	Reserve(ctx context.Context, u Upstream, ticket string, n Tokens, hold time.Duration) error
	Release(ctx context.Context, u Upstream, ticket string) error
	// InUse reports whether a request uses the ticket's memory now.
	InUse(ctx context.Context, u Upstream, ticket string) (bool, error)
}
