package relay

import (
	"time"

	"snipeford"
	"snipeford/internal/upstream/connection"
)

// reportDirectives records what an upstream asks in its response to an attempt that was
// sent at sentAt. It reports that to the home if a limit is stated, or if the node or
// the home (limitedAtHome) knew one.
func (c *requestState) reportDirectives(service snipeford.ServiceName, id snipeford.UpstreamID, limitedAtHome bool, x *connection.Exchange, sentAt snipeford.Instant) {
	limit := x.Decoded.Directives.RequestLimit
	if limit.Unreadable {
		c.Log.Decided("request limit of upstream is unreadable", c.head.RequestID, "Upstream", id)
	}
	known := limitedAtHome || c.Balancer.Limited(id)
	if c.Balancer.ReportDirectives(id, x.Decoded.Directives, sentAt) {
		c.Metrics.LimitChanged(limit.Stated)
		c.Log.Decided("request limit of upstream changed", c.head.RequestID, "Upstream", id, "Stated", limit.Stated, "PerSecond", limit.PerSecond)
	}
	if known || limit.Stated {
		c.Placer.ReportDirectives(snipeford.DirectivesReport{
			Service: service, Upstream: id, Directives: x.Decoded.Directives, RequestAge: c.Timer.Now().Sub(sentAt),
		})
	}
}

// pick selects an upstream of a service without engines, and asks the home for a permit
// if the upstream limits its requests.
func (c *requestState) pick(service snipeford.ServiceName) (snipeford.UpstreamID, bool) {
	for c.ctx.Err() == nil {
		id, ok := c.Balancer.Pick(c.view, service, c.excluded)
		if !ok || !c.Balancer.Limited(id) {
			return id, ok
		}
		p, by := c.Placer.Place(c.ctx, snipeford.PlacementRequest{RequestID: c.head.RequestID, Service: service, Permit: id, TimeLeft: c.timeLeft()})
		if !p.Refused {
			return id, true
		}
		c.Log.Decided("no permit", c.head.RequestID, "By", by, "Upstream", id, "WaitMs", p.RetryAfter.Milliseconds())
		c.Balancer.HoldBack(id, max(p.RetryAfter, minHoldTime))
	}
	return "", false
}

// minHoldTime is the least time for which an upstream without a permit is not picked.
const minHoldTime = 10 * time.Millisecond

// retryAfterLimit returns when a caller may retry if no upstream can be picked.
func (c *requestState) retryAfterLimit(service snipeford.ServiceName) time.Duration {
	return max(c.Balancer.HeldBack(c.view, service), defaultRetryAfter)
}
