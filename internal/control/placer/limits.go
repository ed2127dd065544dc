package placer

import (
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/policy/ratelimit"
)

// ServiceLimits are the request limits that upstreams of a service stated lately.
type ServiceLimits struct {
	Service snipeford.ServiceName
	Limits  []ratelimit.Stated
}

const (
	// statedLimitMaxAge limits the age of the limits that are reported to a new home.
	statedLimitMaxAge = time.Minute
	// reportDelay is more than the time that a report takes to the home. The send times
	// that the home derives from its age are up to that much too late.
	reportDelay = 100 * time.Millisecond
)

func (s *State) recordDirectives(now snipeford.Instant, r snipeford.DirectivesReport) {
	sentAt := now.Add(-r.RequestAge - reportDelay)
	service := s.service(r.Service)
	service.ReportLimit(now, sentAt, r.Upstream, r.Directives.RequestLimit)
	if r.Result != snipeford.AttemptNone {
		service.ReportAttempt(now, sentAt, r.Upstream, r.Result)
	}
}

// permit replies whether a request may be sent to an upstream. A node that
// stands in for the home does not know the requests of the other nodes.
func (s *State) permit(now snipeford.Instant, r snipeford.PlacementRequest) {
	p := snipeford.Placement{RequestID: r.RequestID, EntryNode: r.EntryNode, Upstream: r.Permit}
	service := s.service(r.Service)
	level, paced := service.PaceOf(r.Permit)
	switch {
	case r.Substitute && paced && len(r.PrefixParts) == 0 && !service.Limited(r.Permit):
		p.RetryAfter = service.SubstitutePermit(now, r.Permit)
		p.Refused = p.RetryAfter > 0
	case r.Substitute:
		p.Refused, p.RetryAfter = true, substituteRetryAfter
	default:
		p.Limited, p.RetryAfter = service.Permit(now, r.Permit)
		p.Refused = p.RetryAfter > 0
	}
	p.Pace = level
	s.replies = append(s.replies, PlacementReply{r.EntryNode, p})
}

// substituteRetryAfter is the time until a node that lost the home has another one.
const substituteRetryAfter = 300 * time.Millisecond

// statedLimits returns the limits that this node knows, to report them to a new home.
func (s *State) statedLimits(now snipeford.Instant) []ServiceLimits {
	var out []ServiceLimits
	for _, service := range s.sorted {
		if limits := service.StatedLimits(now, statedLimitMaxAge); len(limits) > 0 {
			out = append(out, ServiceLimits{service.name, limits})
		}
	}
	return out
}

func (s *State) mergeLimits(now snipeford.Instant, list []ServiceLimits) {
	for _, known := range list {
		for _, l := range known.Limits {
			at := now.Add(-l.Ago)
			s.service(known.Service).ReportLimit(at, at, l.Upstream, snipeford.RequestLimit{Stated: true, PerSecond: l.PerSecond})
		}
	}
}

func (s *State) retainLimits(now snipeford.Instant, v *directory.View) {
	for _, service := range s.sorted {
		listed := map[snipeford.UpstreamID]bool{}
		for _, u := range v.Usable[service.name] {
			listed[u.ID] = true
		}
		service.RetainLimits(now, func(id snipeford.UpstreamID) bool { return listed[id] })
	}
}
