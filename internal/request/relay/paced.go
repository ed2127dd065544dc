package relay

import (
	"net/http"
	"time"

	"snipeford"
)

// Paces paces the upstreams of services without engines that have started or failed lately.
type Paces interface {
	// Paced reports whether a request to an upstream needs a permit of the home.
	Paced(service snipeford.ServiceName, id snipeford.UpstreamID) bool
	// Ended records the result of an attempt that was sent at sentAt, and reports it to the
	// home if it failed, was refused or had a permit because of a pace. Whether a timely
	// response was slow is found out by Ended.
	Ended(service snipeford.ServiceName, id snipeford.UpstreamID, sentAt snipeford.Instant, paced bool, result snipeford.AttemptResult)
}

// paceState is what a request knows about paces.
type paceState struct {
	// paced is set while an attempt with a permit because of a pace runs.
	paced bool
	// heldByPace is set if the last upstream that was held back has a pace.
	heldByPace bool
}

// isPaced reports whether a request to an upstream needs a permit because of a pace. The
// home may not have read yet that an upstream is cold.
func (c *requestState) isPaced(service snipeford.ServiceName, id snipeford.UpstreamID) bool {
	if c.Paces == nil {
		return false
	}
	if c.Paces.Paced(service, id) {
		return true
	}
	u, ok := c.findUpstream(service, id)
	return ok && u.ColdUntil > c.Timer.Now()
}

// awaitPace waits until an upstream that is held back by its pace may be picked, if none
// other is left and the request can be in time. It returns false if it does not wait.
func (c *requestState) awaitPace(service snipeford.ServiceName) bool {
	if !c.heldByPace {
		return false
	}
	c.heldByPace = false
	wait := c.Balancer.HeldBack(c.view, service)
	if wait <= 0 || c.Timer.Now().Sub(c.start)+wait > max(c.route.LatencyTarget/paceWaitDivisor, minPaceWait) {
		return false
	}
	return c.Timer.Sleep(c.ctx, wait)
}

const (
	// paceWaitDivisor sets how long a request waits for the paces of all upstreams, as its
	// latency target divided by it: the other half is left for the response.
	paceWaitDivisor = 2
	// minPaceWait is that time for routes without a latency target.
	minPaceWait = 100 * time.Millisecond
)

// paceEnded reports the end of an attempt, with its status if there was a response.
func (c *requestState) paceEnded(service snipeford.ServiceName, id snipeford.UpstreamID, sentAt snipeford.Instant, failed bool, status int) {
	if c.Paces == nil {
		return
	}
	paced, result := c.paced, snipeford.AttemptError
	c.paced = false
	switch {
	case failed && status > 0:
		result = snipeford.AttemptRefused
	case failed:
		result = snipeford.AttemptFailed
	case status > 0 && status < http.StatusInternalServerError:
		result = snipeford.AttemptTimely
	}
	c.Paces.Ended(service, id, sentAt, paced, result)
}
