package snipeford

import "time"

// Directives holds what an upstream asks of the nodes in a response.
type Directives struct {
	RequestLimit RequestLimit `json:",omitzero"`
	// Leaving is set if the upstream takes no further requests until it is replaced by
	// another one.
	Leaving bool `json:",omitempty"`
	// RetryAfter is how long an upstream that is unavailable asks for no requests from
	// the node that got the response, or 0.
	RetryAfter time.Duration `json:",omitempty"`
}

// RequestLimit limits the requests that an upstream takes from all nodes together. The
// zero value means that the response states no limit.
type RequestLimit struct {
	Stated bool
	// PerSecond is the limit in requests per second, zero or more.
	PerSecond float64
	// Unreadable is set, and Stated is not, if the response states a limit that can't
	// be decoded. It neither changes nor ends an earlier one.
	Unreadable bool `json:",omitempty"`
}

// DirectivesReport reports the directives of a response to the home of a service.
type DirectivesReport struct {
	Service    ServiceName
	Upstream   UpstreamID
	Directives Directives
	// RequestAge is the time from the request to the response.
	RequestAge time.Duration
	// Incarnation is that of the upstream. Nodes of earlier versions do not state it.
	Incarnation Incarnation `json:",omitempty"`
	// Result is how an upstream without an engine has responded, if it failed or has a pace.
	Result AttemptResult `json:",omitempty"`
}

// LeavingUpstream is an upstream that has said in a response that it leaves. A later
// incarnation of it takes requests again.
type LeavingUpstream struct {
	Upstream    UpstreamID
	Incarnation Incarnation `json:",omitempty"`
}

// AttemptResult says how an upstream without an engine has responded to an attempt. It sets
// the pace of upstreams that have started or failed lately.
type AttemptResult int

// The results of attempts. None is that of reports of earlier versions.
const (
	AttemptNone AttemptResult = iota
	AttemptTimely
	// AttemptSlow is a response that took much longer than the recent ones of its upstream.
	AttemptSlow
	// AttemptFailed is a reset, or a response that does not end.
	AttemptFailed
	// AttemptError is a response with a server error, which may be the fault of the request.
	AttemptError
	// AttemptRefused is a refusal that says that the request has not run.
	AttemptRefused
)
