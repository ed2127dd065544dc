package relay

import (
	"time"

	"snipeford"
	"snipeford/internal/upstream/connection"
)

// checkEnded checks whether the engine of an attempt without a complete response has
// ended, and reports it. A single broken response is no sign of that. The report comes
// before the next attempt, so that the placer can refuse a prompt that crashes engines.
func (s *streamRequest) checkEnded(p snipeford.Placement, decodeTime time.Duration) {
	u, ok := s.findUpstream(s.service, p.Upstream)
	if !ok || s.ctx.Err() != nil || !s.Pool.Refuses(s.ctx, u.Address) {
		return
	}
	s.Metrics.EngineEnded()
	s.Log.Decided("engine ended", s.head.RequestID, "Upstream", p.Upstream, "DecodeMs", decodeTime.Milliseconds(), "PrefixParts", s.head.PrefixParts)
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
