package relay

import (
	"cmp"
	"net/http"
	"time"

	"snipeford"
	"snipeford/internal/upstream/connection"
)

// reportDirectives records what an upstream asks in its response to an attempt that was
// sent at sentAt. It reports that to the home if a limit is stated, if the node or the
// home (limitedAtHome) knew one, or if it is new that the upstream leaves.
func (c *requestState) reportDirectives(service snipeford.ServiceName, id snipeford.UpstreamID, limitedAtHome bool, x *connection.Exchange, sentAt snipeford.Instant) {
	if x.Status == http.StatusMisdirectedRequest {
		c.noteReplaced(service, id, x)
		return
	}
	c.keepPauses(service, id, x)
	limit := x.Decoded.Directives.RequestLimit
	if limit.Unreadable {
		c.Log.Decided("request limit of upstream is unreadable", c.head.RequestID, "Upstream", id)
	}
	u := c.leavingUpstream(service, id)
	leaves := c.noteLeaving(u, x)
	known := limitedAtHome || c.Balancer.Limited(id)
	if c.Balancer.ReportDirectives(id, x.Decoded.Directives, sentAt) {
		c.Metrics.LimitChanged(limit.Stated)
		c.Log.Decided("request limit of upstream changed", c.head.RequestID, "Upstream", id, "Stated", limit.Stated, "PerSecond", limit.PerSecond)
	}
	if known || limit.Stated || leaves {
		c.Placer.ReportDirectives(snipeford.DirectivesReport{
			Service: service, Upstream: id, Directives: x.Decoded.Directives, RequestAge: c.Timer.Now().Sub(sentAt),
			Incarnation: u.Incarnation,
		})
	}
}

// pick selects an upstream of a service without engines, and asks the home for a permit
// if the upstream limits its requests or the request is watched.
func (c *requestState) pick(service snipeford.ServiceName) (snipeford.UpstreamID, bool) {
	for c.ctx.Err() == nil {
		c.view = c.View()
		if c.suspected = c.awaitUpstream(service, c.patience); c.suspected != nil {
			return "", false
		}
		id, ok := c.Balancer.Pick(c.view, service, c.withoutPaused(service))
		if !ok && c.awaitPace(service) {
			continue
		}
		watched := ok && c.Placer.Watched(service, c.key)
		paced := ok && c.isPaced(service, id)
		if !ok || !watched && !paced && !c.Balancer.Limited(id) {
			return id, ok
		}
		p, by := c.askPermit(service, id, watched)
		if !p.Refused {
			c.watched, c.paced = watched, paced
			return id, true
		}
		c.Log.Decided("no permit", c.head.RequestID, "By", by, "Upstream", id, "Cause", p.Cause, "WaitMs", p.RetryAfter.Milliseconds())
		if p.Cause == "" && (paced || c.Balancer.Limited(id)) {
			c.heldByPace = paced
			c.Balancer.HoldBack(id, max(p.RetryAfter, minHoldTime))
			continue
		}
		c.Balancer.HoldBack(id, 0)
		if p.Cause == snipeford.CauseQuarantined || !c.awaitTurn() {
			c.suspected = &refusal{status: http.StatusServiceUnavailable, cause: cmp.Or(p.Cause, snipeford.CauseSuspectPrompt), retryAfter: p.RetryAfter, reason: reasonSameRequest}
			return "", false
		}
	}
	return "", false
}

// reasonSameRequest is the reason of a refusal because of the key of the request.
const reasonSameRequest = "upstreams ended under requests with the same target, caller and body"

func (c *requestState) askPermit(service snipeford.ServiceName, id snipeford.UpstreamID, watched bool) (snipeford.Placement, snipeford.NodeID) {
	r := snipeford.PlacementRequest{RequestID: c.head.RequestID, Service: service, Permit: id, TimeLeft: c.timeLeft()}
	if watched {
		r.PrefixParts = []snipeford.PrefixPart{c.key}
	}
	if c.possibleReceipts > 0 {
		r.Excluded = c.excluded
	}
	return c.Placer.Place(c.ctx, r)
}

// awaitTurn waits before a watched request asks for a permit again: requests with the
// same key run one after the other. It returns false if the request should not wait:
// an upstream has ended under it, or it would be late.
func (c *requestState) awaitTurn() bool {
	if c.possibleReceipts > 0 || c.Timer.Now().Sub(c.start) > max(c.route.LatencyTarget, minTurnWait) {
		return false
	}
	return c.Timer.Sleep(c.ctx, turnInterval)
}

// reportWatched reports the end of an attempt that had a permit for a watched request.
func (c *requestState) reportWatched(service snipeford.ServiceName, completed bool, sentAt snipeford.Instant) {
	if !c.watched {
		return
	}
	c.watched = false
	c.Placer.ReportEnd(service, c.head.RequestID, snipeford.RequestEnd{
		Completed: completed, Keys: []snipeford.PrefixPart{c.key}, Age: c.Timer.Now().Sub(sentAt),
	})
}

const (
	// turnInterval is the time between two tries to get a permit for a watched request,
	// and minTurnWait how long it tries at least.
	turnInterval = 20 * time.Millisecond
	minTurnWait  = 200 * time.Millisecond
)

// minHoldTime is the least time for which an upstream without a permit is not picked.
const minHoldTime = 10 * time.Millisecond

// retryAfterLimit returns when a caller may retry if no upstream can be picked.
func (c *requestState) retryAfterLimit(service snipeford.ServiceName) time.Duration {
	return max(c.Balancer.HeldBack(c.view, service), defaultRetryAfter)
}
