package placement

import (
	"time"

	"snipeford"
	"snipeford/internal/policy/ratelimit"
)

// ReportLimit records what an upstream states about its request limit in a response,
// see ratelimit.Limiter.
func (s *State) ReportLimit(arrivedAt, sentAt snipeford.Instant, id snipeford.UpstreamID, limit snipeford.RequestLimit) {
	s.limits.Report(arrivedAt, sentAt, id, limit)
}

// StatedLimits returns the limits that upstreams stated within a period.
func (s *State) StatedLimits(now snipeford.Instant, period time.Duration) []ratelimit.Stated {
	return s.limits.Stated(now, period)
}

// RetainLimits forgets the limits of upstreams that have not been listed for a while.
func (s *State) RetainLimits(now snipeford.Instant, listed func(snipeford.UpstreamID) bool) {
	s.limits.Retain(now, listed)
}

// CountSent counts a request that another node sent to an upstream by itself.
func (s *State) CountSent(now snipeford.Instant, id snipeford.UpstreamID) { s.limits.Sent(now, id) }

// Permit counts a request to an upstream without an engine if its limit and its pace allow
// it. It returns whether the upstream has a limit, and how long it takes until a request
// may be sent, which is zero if the request was permitted.
func (s *State) Permit(now snipeford.Instant, id snipeford.UpstreamID) (limited bool, wait time.Duration) {
	if wait = max(s.limits.Wait(now, id), s.pacing.waitForPermit(now, id)); wait == 0 {
		s.limits.Sent(now, id)
		s.pacing.permitted(now, id)
	}
	return s.isLimited(id), wait
}

func (s *State) isLimited(id snipeford.UpstreamID) bool {
	_, limited := s.limits.Limit(id)
	return limited
}

// limitReached reports whether an engine's limit allows no further request now. A node
// that stands in for the home does not know the requests of the other nodes, and uses
// no engine with a limit.
func (s *State) limitReached(now snipeford.Instant, req snipeford.PlacementRequest, id snipeford.UpstreamID) bool {
	return s.isLimited(id) && (req.Substitute || s.limits.Wait(now, id) > 0)
}

// unlimited returns the baselines of the engines without a limit. The others take no
// part in requests that use several engines: reservations are requests, too.
func (s *State) unlimited(baselines []baseline) []baseline {
	out := make([]baseline, 0, len(baselines))
	for _, b := range baselines {
		if !s.isLimited(b.engine.id) {
			out = append(out, b)
		}
	}
	return out
}
