package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"snipeford"
)

// refusal is the answer to a request that gets none from an upstream.
type refusal struct {
	status     int
	cause      snipeford.Cause
	retryAfter time.Duration
	why        string
}

func notReady(why string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, cause: snipeford.CauseNotReady, retryAfter: soon, why: why}
}

func overloaded(retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, cause: snipeford.CauseOverload, retryAfter: retryAfter}
}

// failed is the refusal of a request that an upstream may have run.
func failed(why string) *refusal {
	return &refusal{status: http.StatusBadGateway, cause: snipeford.CauseUpstreamFailed, why: why}
}

// expired is the refusal at the time limit: a promise where nothing ran.
func (c *call) expired() *refusal {
	if c.attempts == 0 {
		return &refusal{status: http.StatusServiceUnavailable, cause: snipeford.CauseDeadline, retryAfter: soon}
	}
	return &refusal{status: http.StatusGatewayTimeout, cause: snipeford.CauseDeadline}
}

// outcome returns what the refusal promises.
func (c *call) outcome() snipeford.Outcome {
	if c.attempts == 0 {
		return snipeford.NotRun
	}
	return snipeford.Unknown
}

// refuse ends the request.
func (c *call) refuse(f *refusal) {
	kind := snipeford.RouteKind("")
	if c.route != nil {
		kind = c.route.Kind
	}
	c.Metrics.Refused(kind, f.cause)
	age, known := c.Freshness.Age(c.Timer.SinceBoot())
	c.Log.Decided("request refused", c.head.RequestID, "Status", f.status, "Cause", f.cause, "Why", f.why,
		"Outcome", c.outcome(), "Attempts", c.attempts, "Tried", c.excluded, "RetryAfterMs", f.retryAfter.Milliseconds(),
		"RoutingAgeMs", age.Milliseconds(), "RoutingKnown", known, "TookMs", c.Timer.Now().Sub(c.start).Milliseconds())
	header := c.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(snipeford.OutcomeHeader, string(c.outcome()))
	if f.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 2, 64))
	}
	c.w.WriteHeader(f.status)
	body := struct {
		Cause   snipeford.Cause
		Outcome snipeford.Outcome
		Message string `json:",omitempty"`
	}{f.cause, c.outcome(), f.why}
	if err := json.NewEncoder(c.w).Encode(body); err != nil {
		c.Log.Decided("caller left before its refusal", c.head.RequestID, "Error", err)
	}
}

// abort breaks the answer off, so that it can't look complete.
func (c *call) abort(why string, err error) {
	c.Metrics.Broken(c.route.Kind)
	c.Log.Decided("answer broken off", c.head.RequestID, "Why", why, "Error", err, "Attempts", c.attempts, "Tried", c.excluded,
		"TookMs", c.Timer.Now().Sub(c.start).Milliseconds())
	panic(http.ErrAbortHandler)
}

// over reports whether the request has ended by its caller or its time limit,
// and gives it its final answer in the second case.
func (c *call) over() bool {
	if c.ctx.Err() == nil {
		return false
	}
	if errors.Is(context.Cause(c.ctx), errGiveUp) {
		c.refuse(c.expired())
		return true
	}
	c.Log.Decided("caller left", c.head.RequestID, "TookMs", c.Timer.Now().Sub(c.start).Milliseconds())
	// The caller has closed its connection: there is nobody to answer.
	panic(http.ErrAbortHandler)
}
