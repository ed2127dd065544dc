package placer

import (
	"slices"
	"time"

	"snipeford"
	"snipeford/internal/policy/quarantine"
)

// Changes returns the decisions on prefix parts that the last event led to. The
// returned slice is valid until the next call of Apply.
func (s *State) Changes() []snipeford.Quarantine { return s.changes }

// Quarantines returns the decisions on prefix parts of all services.
func (s *State) Quarantines() []snipeford.Quarantine {
	var out []snipeford.Quarantine
	for _, service := range s.sorted {
		out = slices.Concat(out, service.quarantine.Quarantines())
	}
	return out
}

// admit refuses a request with a part that crashed engines.
func (s *State) admit(now snipeford.Instant, r snipeford.PlacementRequest) quarantine.Refusal {
	return s.service(r.Service).quarantine.Admit(now, quarantine.Request{
		ID: r.RequestID, Parts: r.PrefixParts, Repeated: len(r.Excluded) > 0, MayBeTrial: !r.Substitute, Alone: r.Permit != "",
	})
}

func refusedPlacement(r snipeford.PlacementRequest, refusal quarantine.Refusal) snipeford.Placement {
	return snipeford.Placement{
		RequestID: r.RequestID, EntryNode: r.EntryNode, Refused: true, RetryAfter: refusal.RetryAfter,
		Cause: refusal.Cause, Part: refusal.Part, Quarantine: refusal.Quarantine,
	}
}

// addPlaced adds the placement or the permit of another node, or adopts the quarantine for which
// the home refused the request.
func (s *State) addPlaced(now snipeford.Instant, call snipeford.PlacedCall) {
	service := s.service(call.Request.Service)
	if q := call.Placement.Quarantine; q != nil {
		s.mergeQuarantines(now, []snipeford.Quarantine{*q})
	}
	if call.Request.Permit == "" {
		service.AddPlaced(now, call)
	}
	if !call.Placement.Refused {
		service.CountSent(now, call.Placement.Upstream)
	}
	if call.Placement.Upstream != "" && !call.Request.Substitute {
		service.AdoptPace(now, call.Placement.Upstream, call.Placement.Pace)
	}
}

func (s *State) endRequest(now snipeford.Instant, e RequestEnded) {
	service := s.service(e.Service)
	service.quarantine.Ended(e.RequestID)
	if request, began, ok := service.Decoding(e.RequestID); ok && e.End.Completed {
		service.quarantine.Survived(now, request.PrefixParts, began)
	}
	if len(e.End.Keys) > 0 && e.End.Completed {
		service.quarantine.Survived(now, e.End.Keys, now.Add(-e.End.Age))
	}
	service.End(now, e.RequestID, e.End.Failed, e.End.FaultUpstream)
}

// report is a report of a crash by this node.
type report struct {
	at    snipeford.Instant
	crash snipeford.UpstreamCrash
}

const (
	// maxReports and reportMaxAge limit the reports that are kept for the next home.
	maxReports   = 32
	reportMaxAge = time.Minute
)

func (s *State) reportCrash(now snipeford.Instant, e UpstreamCrashed) {
	if e.Own {
		s.reports = append(s.reports, report{now, e.Crash})
		s.reports = s.reports[max(0, len(s.reports)-maxReports):]
	}
	if e.AtHome && !e.Own {
		// Another node takes this one for the home, maybe before it does so itself.
		s.recordOwnReports(now, e.Crash.Service)
	}
	if e.AtHome {
		s.recordCrash(now, e.Crash)
	}
}

// repeatedReports returns the latest reports, to repeat them to a new home.
func (s *State) repeatedReports(now snipeford.Instant) []snipeford.UpstreamCrash {
	var out []snipeford.UpstreamCrash
	for _, r := range s.reports {
		if now.Sub(r.at) <= reportMaxAge {
			r.crash.Ago = now.Sub(r.at)
			out = append(out, r.crash)
		}
	}
	return out
}

// recordOwnReports records the crashes that this node has reported to earlier homes.
func (s *State) recordOwnReports(now snipeford.Instant, name snipeford.ServiceName) {
	for _, c := range s.repeatedReports(now) {
		if c.Service == name {
			s.recordCrash(now, c)
		}
	}
}

// recordCrash records the parts of a request whose engine ended. One that had been
// decoding for a while did not cause it.
func (s *State) recordCrash(now snipeford.Instant, c snipeford.UpstreamCrash) {
	state := &s.service(c.Service).quarantine
	at := now.Add(-c.Ago)
	if c.DecodeTime >= quarantine.SurvivalTime {
		state.Survived(now, c.PrefixParts, at.Add(-c.DecodeTime))
		return
	}
	state.Crashed(at, c.Upstream, c.PrefixParts, at.Add(-c.Age))
}

// mergeQuarantines adopts the decisions of other nodes.
func (s *State) mergeQuarantines(now snipeford.Instant, list []snipeford.Quarantine) {
	for _, q := range list {
		if service := s.service(q.Service); service.quarantine.Merge(now, q) {
			s.refuseQueued(service, q)
		}
	}
}

// applyQuarantines applies the decisions that a service's state has made.
func (s *State) applyQuarantines(service *service) {
	for _, q := range service.quarantine.Changes() {
		s.changes = append(s.changes, q)
		s.refuseQueued(service, q)
	}
}

// refuseQueued refuses the queued requests with a part that is now quarantined.
func (s *State) refuseQueued(service *service, q snipeford.Quarantine) {
	if q.Released || q.Trials > 0 {
		return
	}
	for _, request := range service.TakeQueued(q.Part) {
		s.replies = append(s.replies, PlacementReply{request.EntryNode, refusedPlacement(request, quarantine.Refuse(q))})
	}
}

// endSuspect records that a request was refused.
func (s *State) endSuspect(id snipeford.RequestID) {
	for _, service := range s.sorted {
		service.quarantine.Ended(id)
	}
}
