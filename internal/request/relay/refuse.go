package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"snipeford"
)

// refusal is an error response that this node writes itself.
type refusal struct {
	status     int
	cause      snipeford.Cause
	retryAfter time.Duration
	reason     string
}

func notReady(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, cause: snipeford.CauseNotReady, retryAfter: defaultRetryAfter, reason: reason}
}

func overloaded(retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, cause: snipeford.CauseOverload, retryAfter: retryAfter}
}

// unreachable returns the refusal of a request for which no node reaches an upstream.
func unreachable() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, cause: snipeford.CauseNoUpstream, retryAfter: unreachableRetryAfter, reason: "no upstream is reachable"}
}

// unreachableRetryAfter is the time between two probes of upstreams that nobody reaches.
const unreachableRetryAfter = 500 * time.Millisecond

// upstreamFailed returns the refusal of a request that an upstream may have run.
func upstreamFailed(reason string) *refusal {
	return &refusal{status: http.StatusBadGateway, cause: snipeford.CauseUpstreamFailed, reason: reason}
}

// deadlineExceeded returns the refusal at the deadline: 503 if no upstream can
// have run the request, so that the caller may retry, and 504 otherwise.
func (c *requestState) deadlineExceeded() *refusal {
	if c.possibleRuns == 0 {
		return &refusal{status: http.StatusServiceUnavailable, cause: snipeford.CauseDeadline, retryAfter: defaultRetryAfter}
	}
	return &refusal{status: http.StatusGatewayTimeout, cause: snipeford.CauseDeadline}
}

// leaving returns the refusal of a node that is leaving: 503 if no upstream can have
// run the request, so that the caller may retry, and 504 otherwise.
func (c *requestState) leaving() *refusal {
	if c.possibleRuns == 0 {
		return &refusal{status: http.StatusServiceUnavailable, cause: snipeford.CauseNodeLeaving, retryAfter: leavingRetryAfter}
	}
	return &refusal{status: http.StatusGatewayTimeout, cause: snipeford.CauseNodeLeaving}
}

// outcome returns whether an upstream may have run the request.
func (c *requestState) outcome() snipeford.Outcome {
	if c.possibleRuns == 0 {
		return snipeford.NotRun
	}
	return snipeford.Unknown
}

// refuse writes the refusal as the response.
func (c *requestState) refuse(f *refusal) {
	kind := snipeford.RouteKind("")
	if c.route != nil {
		kind = c.route.Kind
	}
	c.Metrics.Refused(kind, f.cause)
	age, known := c.Freshness.Age(c.Timer.SinceBoot())
	c.Log.Decided("request refused", c.head.RequestID, "Status", f.status, "Cause", f.cause, "Why", f.reason,
		"Outcome", c.outcome(), "Attempts", c.possibleRuns, "Tried", c.excluded, "RetryAfterMs", f.retryAfter.Milliseconds(),
		"RoutingAgeMs", age.Milliseconds(), "RoutingKnown", known, "TookMs", c.Timer.Now().Sub(c.start).Milliseconds(),
		"Host", shorten(c.r.Host), "Path", shorten(firstSegment(c.r.URL.EscapedPath())), "RoutingVersion", c.routingVersion(), "RowsFrom", c.rowsOrigin())
	header := c.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(snipeford.OutcomeHeader, string(c.outcome()))
	if f.retryAfter > 0 {
		// Retry-After is in seconds with two decimals. Package entry sends whole
		// seconds.
		header.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	c.writeHead(f.status)
	body := struct {
		Cause   snipeford.Cause
		Outcome snipeford.Outcome
		Message string `json:",omitempty"`
	}{f.cause, c.outcome(), f.reason}
	if err := json.NewEncoder(c.w).Encode(body); err != nil {
		c.Log.Decided("caller disconnected before the refusal was written", c.head.RequestID, "Error", err)
	}
}

// maxLoggedText limits the length of texts of callers in log lines, in bytes.
const maxLoggedText = 64

func shorten(text string) string { return text[:min(len(text), maxLoggedText)] }

// firstSegment returns the beginning of a path up to its second slash.
func firstSegment(path string) string {
	segments := strings.SplitAfterN(path, "/", 3)
	return strings.Join(segments[:min(len(segments), 2)], "")
}

// routingVersion returns the version of the routing that decided the request, or zero if
// none is known.
func (c *requestState) routingVersion() snipeford.Version {
	if c.view.Plan == nil {
		return 0
	}
	return c.view.Plan.Version
}

// rowsOrigin returns where the operators' rows were read last, and up to which version.
func (c *requestState) rowsOrigin() string {
	if c.Origin == nil {
		return ""
	}
	return c.Origin().String()
}

// abort aborts the connection, so that the caller cannot take a partial
// response for a complete one.
func (c *requestState) abort(reason string, err error) {
	c.Metrics.Aborted(c.route.Kind)
	c.Log.Decided("answer broken off", c.head.RequestID, "Why", reason, "Error", err, "Attempts", c.possibleRuns, "Tried", c.excluded,
		"TookMs", c.Timer.Now().Sub(c.start).Milliseconds())
	panic(http.ErrAbortHandler)
}

// finishIfDone reports whether the request's context has ended. At the deadline and
// at the end of a drain it writes the refusal; if the caller disconnected, it aborts
// the handler.
func (c *requestState) finishIfDone() bool {
	if c.ctx.Err() == nil {
		return false
	}
	switch cause := context.Cause(c.ctx); {
	case errors.Is(cause, errDeadline):
		c.refuse(c.deadlineExceeded())
		return true
	case errors.Is(cause, errLeaving):
		c.refuse(c.leaving())
		return true
	}
	c.Log.Decided("caller disconnected", c.head.RequestID, "TookMs", c.Timer.Now().Sub(c.start).Milliseconds())
	// The caller has closed its connection, so no response can be written.
	panic(http.ErrAbortHandler)
}
