package placement

import (
	"slices"
	"time"

	"snipeford"
	"snipeford/internal/policy/pause"
)

// ReportPause records that an engine wants no requests from a node for d.
func (s *State) ReportPause(now snipeford.Instant, node snipeford.NodeID, id snipeford.UpstreamID, d time.Duration) {
	s.ForgetPauses(now)
	s.pauses.Report(now, node, id, d)
}

// Pauses returns the pauses in force for a node.
func (s *State) Pauses(now snipeford.Instant, node snipeford.NodeID) []pause.Stated {
	return s.pauses.Stated(now, node)
}

// ForgetPauses forgets the pauses that have ended. What was placed during them tells
// nothing about the time after them.
func (s *State) ForgetPauses(now snipeford.Instant) {
	if s.pauses.Forget(now) {
		s.shortForecast.queueEmpty(now, s.requestCapacity(now))
	}
}

// ForgetPausesOf forgets the pauses of a node that is gone.
func (s *State) ForgetPausesOf(node snipeford.NodeID) { s.pauses.ForgetNode(node) }

// heldBack returns how long an engine gets no request from the entry node of a request,
// which is zero if that request is a trial.
func (s *State) heldBack(now snipeford.Instant, req snipeford.PlacementRequest, id snipeford.UpstreamID) time.Duration {
	if req.Trial == id {
		return 0
	}
	return s.pauses.Left(now, req.EntryNode, id)
}

// poorChoice reports whether an engine gets a request only if no other engine is usable:
// it failed lately, or is unavailable for some node.
func (s *State) poorChoice(now snipeford.Instant, r *replica) bool {
	return r.suspectUntil > now || s.pauses.Any(now, r.id)
}

// sharing returns the baselines of the engines that may take part in requests that use
// several of them: those without a limit or a pause.
func (s *State) sharing(now snipeford.Instant, req snipeford.PlacementRequest, baselines []baseline) []baseline {
	return slices.DeleteFunc(s.unlimited(baselines), func(b baseline) bool {
		return s.pauses.Left(now, req.EntryNode, b.engine.id) > 0
	})
}

// sharingCount returns the number of engines that may take part in a request which uses
// several of them, some time before its caller disconnects.
func (s *State) sharingCount(now snipeford.Instant, req snipeford.PlacementRequest) int {
	n := 0
	for _, r := range s.candidates {
		if !s.isLimited(r.id) && !s.heldBackTooLong(now, req, r.id) {
			n++
		}
	}
	return n
}

// heldBackTooLong reports whether the pause of an engine ends too late for a request.
func (s *State) heldBackTooLong(now snipeford.Instant, req snipeford.PlacementRequest, id snipeford.UpstreamID) bool {
	left := s.heldBack(now, req, id)
	return left > 0 && left+minFirstEventTimeLeft > firstEventTimeLeft(req)
}

// returnsInTime reports whether the pause of an engine ends before the caller of a
// request disconnects.
func (s *State) returnsInTime(now snipeford.Instant, req snipeford.PlacementRequest) bool {
	return s.pauses.Len() > 0 && slices.ContainsFunc(s.candidates, func(r *replica) bool {
		return s.heldBack(now, req, r.id) > 0 && !s.heldBackTooLong(now, req, r.id)
	})
}

// lacksMemory reports whether a request does not fit into the memory of all engines
// together because some are held back for too long.
func (s *State) lacksMemory(now snipeford.Instant, req snipeford.PlacementRequest) bool {
	return s.pauses.Len() > 0 && !s.fits(req, s.sharingCount(now, req))
}

// fits reports whether a request fits into the memory of n engines.
func (s *State) fits(req snipeford.PlacementRequest, n int) bool {
	perEngine := snipeford.Tokens(usableMemoryShare*float64(s.profile.Memory)) - s.profile.PrefillChunk
	return s.fitsOneEngine(req) || req.Prompt+req.ExpectedOutput <= perEngine*snipeford.Tokens(n)
}

// serving returns the engines without a pause, or all of them if each has one.
func (s *State) serving(now snipeford.Instant) []*replica {
	if s.pauses.Len() == 0 {
		return s.candidates
	}
	out := slices.DeleteFunc(slices.Clone(s.candidates), func(r *replica) bool { return s.pauses.Any(now, r.id) })
	if len(out) == 0 {
		return s.candidates
	}
	return out
}
