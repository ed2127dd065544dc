package relay

import (
	"time"

	"snipeford"
)

// checkEnded checks whether the engine of an attempt without a complete response has
// ended. A single broken response is no sign of that. The check comes before the next
// attempt, so that the request is not repeated as if its engine were only unreliable.
func (s *streamRequest) checkEnded(p snipeford.Placement, decodeTime time.Duration) {
	u, ok := s.findUpstream(s.service, p.Upstream)
	if !ok || s.ctx.Err() != nil || !s.Pool.Refuses(s.ctx, u.Address) {
		return
	}
	s.Metrics.EngineEnded()
	s.Log.Decided("engine ended", s.head.RequestID, "Upstream", p.Upstream, "DecodeMs", decodeTime.Milliseconds(), "PrefixParts", s.head.PrefixParts)
}
