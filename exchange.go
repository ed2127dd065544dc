package snipeford

import (
	"context"
	"net/http"
	"time"
)

// CallHead is what a caller's request says of itself beside method, path and
// body.
type CallHead struct {
	Request RequestID
	Key     string
	// Patience is how long the caller waits, zero where it did not say.
	Patience time.Duration
	// Prompt and MaxOutput are zero for calls of plain services.
	Prompt    Tokens
	MaxOutput Tokens
	// LikelyOutput is the caller's guess at the answer's length, or zero.
	LikelyOutput Tokens
	// LastEvent is the id of the last event that a resuming caller has.
	LastEvent string
}

// AttemptHead is what a node adds to a request on its way to an upstream.
type AttemptHead struct {
	Organisation Organisation
	Upstream     UpstreamID
	TimeLeft     time.Duration
	// LastEvent resumes a stream after that event where it is not empty.
	LastEvent string
	// Priority orders the requests that wait at an engine; 0 goes first.
	Priority    int
	HasPriority bool
	Helpers     []Helper
}

// Helper is an upstream that reads a part of a long prompt.
type Helper struct {
	Address string
	// Ticket names the memory reserved there, or is empty.
	Ticket string
}

// AnswerHead is what an upstream's answer says of itself.
type AnswerHead struct {
	// Request is the id that the upstream echoes, or empty.
	Request RequestID
	// Sealed answers carry the upstream's signature.
	Sealed bool
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

// Dialect translates the heads of requests and answers. Implementations decide
// nothing.
type Dialect interface {
	ReadCall(h http.Header) CallHead
	// WriteAttempt turns the caller's header into the one for the upstream.
	WriteAttempt(h http.Header, a AttemptHead) http.Header
	ReadAnswer(status int, h http.Header) AnswerHead
}

// Registry decodes the rows of the platform's collections.
type Registry interface {
	// Upstream returns false where the row names no upstream to use.
	Upstream(key string, value []byte) (Upstream, bool)
	// Routing returns the routing of an operators' row.
	Routing(value []byte) (Routing, error)
	// RoutingKey reports whether the key is the routing's.
	RoutingKey(key string) bool
	// OutDomain returns the failure domain that the row takes out.
	OutDomain(key string) (FailureDomain, bool)
}

// Reservations sets memory of engines aside.
type Reservations interface {
	Reserve(ctx context.Context, u Upstream, ticket string, n Tokens, hold time.Duration) error
	Release(ctx context.Context, u Upstream, ticket string) error
	// Used reports whether a request uses the ticket's memory now.
	Used(ctx context.Context, u Upstream, ticket string) (bool, error)
}
