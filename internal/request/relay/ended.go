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

// checkEnded checks whether the engine of an attempt without a complete response has
// ended, and reports it. A single broken response is no sign of that. The report comes
// before the next attempt, so that the placer can refuse a prompt that crashes engines.
func (s *streamRequest) checkEnded(p snipeford.Placement, decodeTime time.Duration) {
	if !s.hasEnded(s.service, p.Upstream, decodeTime) {
		return
	}
	if s.view.Plan.Service(s.service).Engine == nil {
		return
	}
	s.Placer.ReportCrash(snipeford.UpstreamCrash{
		Service: s.service, Upstream: p.Upstream, PrefixParts: s.head.PrefixParts,
		Age: s.Timer.Now().Sub(s.attemptStart), DecodeTime: decodeTime,
	})
}

// reportStreamEnd reports the end of a stream that ended between two events. If the
// response states no length, the end of its engine looks like the end of the response.
func (s *streamRequest) reportStreamEnd(p snipeford.Placement, x *connection.Exchange, decodeTime time.Duration) {
	if s.view.Plan.Service(s.service).Engine == nil {
		s.reportEnd(p, false, "")
		return
	}
	s.Placer.ReportEnd(s.service, p.RequestID, snipeford.RequestEnd{Completed: x.SelfDelimited && decodeTime > 0})
	if !x.SelfDelimited {
		s.checkEnded(p, decodeTime)
	}
}
