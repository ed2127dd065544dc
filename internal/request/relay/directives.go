package relay

import (
	"snipeford"
	"snipeford/internal/upstream/connection"
)

// reportDirectives records what an upstream asks in its response to an attempt that was
// sent at sentAt.
func (c *requestState) reportDirectives(id snipeford.UpstreamID, x *connection.Exchange, sentAt snipeford.Instant) {
	limit := x.Decoded.Directives.RequestLimit
	if limit.Unreadable {
		c.Log.Decided("request limit of upstream is unreadable", c.head.RequestID, "Upstream", id)
	}
	if !c.Balancer.ReportDirectives(id, x.Decoded.Directives, sentAt) {
		return
	}
	c.Metrics.LimitChanged(limit.Stated)
	c.Log.Decided("request limit of upstream changed", c.head.RequestID, "Upstream", id, "Stated", limit.Stated, "PerSecond", limit.PerSecond)
}
