package relay

import (
	"time"

	"snipeford"
	"snipeford/internal/upstream/connection"
)

// hasEnded reports whether the VM of an upstream refuses connections to it, and logs what
// the request may have made it crash with.
func (c *requestState) hasEnded(service snipeford.ServiceName, id snipeford.UpstreamID, decodeTime time.Duration) bool {
	u, ok := c.findUpstream(service, id)
	if !ok || c.ctx.Err() != nil || !c.Pool.Refuses(c.ctx, u.Address) {
		return false
	}
	c.Metrics.EngineEnded()
	c.Log.Decided("engine ended", c.head.RequestID, "Upstream", id, "DecodeMs", decodeTime.Milliseconds(), "PrefixParts", c.crashKeys())
	return true
}

// checkCrash reports an attempt at a plain service without a complete response if its
// upstream has ended.
func (c *requestState) checkCrash(service snipeford.ServiceName, id snipeford.UpstreamID, sentAt snipeford.Instant) {
	if c.hasEnded(service, id, 0) {
		c.Placer.ReportCrash(snipeford.UpstreamCrash{Service: service, Upstream: id, PrefixParts: []snipeford.PrefixPart{c.key}, Age: c.Timer.Now().Sub(sentAt)})
	}
}

// checkEnded checks whether the engine of an attempt without a complete response has
// ended, and reports it. A single broken response is no sign of that. The report comes
// before the next attempt, so that the placer can refuse a prompt that crashes engines.
func (s *streamRequest) checkEnded(p snipeford.Placement, decodeTime time.Duration) {
	if !s.hasEnded(s.service, p.Upstream, decodeTime) {
		return
	}
	keys := s.crashKeys()
	if s.view.Plan.Service(s.service).Engine == nil {
		keys = []snipeford.PrefixPart{s.key}
	}
	s.Placer.ReportCrash(snipeford.UpstreamCrash{
		Service: s.service, Upstream: p.Upstream, PrefixParts: keys,
		Age: s.Timer.Now().Sub(s.attemptStart), DecodeTime: decodeTime,
	})
}

// reportStreamEnd reports the end of a stream that ended between two events. If the
// response states no length, the end of its engine looks like the end of the response.
func (s *streamRequest) reportStreamEnd(p snipeford.Placement, x *connection.Exchange, decodeTime time.Duration) {
	if s.view.Plan.Service(s.service).Engine == nil {
		s.Balancer.Ended(p.Upstream, false)
		s.reportWatched(s.service, x.SelfDelimited, s.attemptStart)
		return
	}
	s.Placer.ReportEnd(s.service, p.RequestID, snipeford.RequestEnd{Completed: x.SelfDelimited && decodeTime > 0})
	if !x.SelfDelimited {
		s.checkEnded(p, decodeTime)
	}
}
