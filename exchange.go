package snipeford

import (
	"context"
	"net/http"
	"time"
)

// CallHeader holds the request headers of a caller that snipeford uses.
type CallHeader struct {
	RequestID RequestID
	APIKey    string
	// Timeout is how long the caller waits for the response, zero if the request
	// does not set it.
	Timeout time.Duration
	// Prompt and MaxOutput are zero for requests to plain services.
	Prompt    Tokens
	MaxOutput Tokens
	// OutputHint is the caller's estimate of the response length, or zero.
	OutputHint Tokens
	// PrefixParts lists the parts of the prompt that other requests may share, in
	// order. The last part of a prompt belongs to its request alone and is left out.
	PrefixParts []PrefixPart
	// LastEventID is the id of the last event that the caller received before it
	// resumes a stream, or empty.
	LastEventID string
}

// AttemptHeader holds the values that a node adds to a request that it sends to
// an upstream.
type AttemptHeader struct {
	Organisation Organisation
	Upstream     UpstreamID
	TimeLeft     time.Duration
	// LastEventID, if not empty, resumes a stream after that event.
	LastEventID string
	// Priority orders the requests that are queued at an engine; 0 goes first.
	Priority    int
	HasPriority bool
	Helpers     []Helper
}

// Helper is an upstream that prefills a part of a long prompt for another
// upstream.
type Helper struct {
	Address string
	// ReservationID identifies the memory that is reserved there, or is empty.
	ReservationID string
}

// ResponseHeader holds the status and headers of an upstream's response that
// snipeford uses.
type ResponseHeader struct {
	// RequestID is the id that the upstream echoes, or empty.
	RequestID RequestID
	// Signed reports whether the response carries the upstream's signature.
	Signed bool
	// NotRun reports whether the response guarantees that the upstream did not run
	// the request.
	NotRun bool
	// FaultAddress is the address of the upstream that failed if it is not the
	// one that responds, such as a helper.
	FaultAddress string
	// Running, Waiting and Slots report the load if HasLoad is set.
	Running, Waiting, Slots int
	HasLoad                 bool
	// IdleTimeout is how long the upstream keeps an idle connection open, or zero
	// if unknown.
	IdleTimeout time.Duration
	// Closing reports whether the upstream closes the connection after the
	// response.
	Closing bool
	// Directives holds what the upstream asks of the nodes.
	Directives Directives
}

// HeaderCodec translates between HTTP headers and the types above.
// Implementations make no routing or retry decisions.
type HeaderCodec interface {
	DecodeCall(h http.Header) CallHeader
	// EncodeAttempt returns the headers for the upstream, built from the caller's
	// headers and a.
	EncodeAttempt(h http.Header, a AttemptHeader) http.Header
	DecodeResponse(status int, h http.Header) ResponseHeader
}

// RowDecoder decodes rows of the platform's collections.
type RowDecoder interface {
	// Upstream returns false if the row describes no usable upstream.
	Upstream(key string, value []byte) (Upstream, bool)
	// Routing decodes the routing from a row of OperatorRows.
	Routing(value []byte) (Routing, error)
	// IsRoutingKey reports whether key is the key of the routing row.
	IsRoutingKey(key string) bool
	// OutDomain returns the failure domain that the row takes out of service.
	OutDomain(key string) (FailureDomain, bool)
}

// Reservations reserves memory on engines.
type Reservations interface {
	Reserve(ctx context.Context, u Upstream, reservationID string, n Tokens, ttl time.Duration) error
	Release(ctx context.Context, u Upstream, reservationID string) error
	// InUse reports whether a request currently uses the reserved memory.
	InUse(ctx context.Context, u Upstream, reservationID string) (bool, error)
}

// LeavingNotifier is implemented by Reservations whose responses may say that an upstream
// leaves.
type LeavingNotifier interface {
	// NotifyLeaving sets the function that is called, before the call returns, with an
	// upstream whose response says that it leaves. It is not safe for concurrent use with
	// other methods.
	NotifyLeaving(notify func(u Upstream))
}
