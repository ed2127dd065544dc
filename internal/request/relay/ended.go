package relay

import (
	"errors"
	"time"

	"snipeford"
	"snipeford/internal/upstream/connection"
)

// examine tells why an attempt ended without a complete response, and logs what the
// request may have made an upstream crash with.
func (c *requestState) examine(service snipeford.ServiceName, id snipeford.UpstreamID, err error, decodeTime time.Duration) connection.Verdict {
	u, ok := c.findUpstream(service, id)
	switch {
	case errors.Is(err, connection.ErrLinkLost):
		return connection.VerdictLinkLost
	case !ok || c.ctx.Err() != nil:
		return connection.VerdictUnknown
	}
	verdict := c.Pool.Examine(c.ctx, u.Address)
	if verdict == connection.VerdictEnded {
		c.Metrics.EngineEnded()
		c.Log.Decided("engine ended", c.head.RequestID, "Upstream", id, "DecodeMs", decodeTime.Milliseconds(), "PrefixParts", c.crashKeys())
	}
	return verdict
}

// checkCrash tells why an attempt at a plain service ended without a complete response,
// and reports an upstream that has ended.
func (c *requestState) checkCrash(service snipeford.ServiceName, id snipeford.UpstreamID, err error, sentAt snipeford.Instant) connection.Verdict {
	verdict := c.examine(service, id, err, 0)
	if verdict == connection.VerdictEnded {
		c.Placer.ReportCrash(snipeford.UpstreamCrash{Service: service, Upstream: id, PrefixParts: []snipeford.PrefixPart{c.key}, Age: c.Timer.Now().Sub(sentAt)})
	}
	return verdict
}

// endBroken reports the end of an attempt without a complete response. It does not count
// against an engine to which only the link is lost. An engine that has ended is reported
// before the next attempt, so that the placer can refuse a prompt that crashes engines; a
// single broken response is no sign of that.
func (s *streamRequest) endBroken(p snipeford.Placement, err error, decodeTime time.Duration) {
	verdict := s.examine(s.service, p.Upstream, err, decodeTime)
	linkLost := verdict == connection.VerdictLinkLost
	s.reportEnd(p, s.ctx.Err() == nil && !linkLost, "")
	if !linkLost {
		s.exclude(p, "")
	}
	if verdict == connection.VerdictEnded {
		s.reportEngineEnded(p, decodeTime)
	}
}

func (s *streamRequest) reportEngineEnded(p snipeford.Placement, decodeTime time.Duration) {
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
		s.paceEnded(s.service, p.Upstream, s.attemptStart, false, x.Status)
		s.reportWatched(s.service, x.SelfDelimited, s.attemptStart)
		return
	}
	s.Placer.ReportEnd(s.service, p.RequestID, snipeford.RequestEnd{Completed: x.SelfDelimited && decodeTime > 0})
	if !x.SelfDelimited && s.examine(s.service, p.Upstream, nil, decodeTime) == connection.VerdictEnded {
		s.reportEngineEnded(p, decodeTime)
	}
}
