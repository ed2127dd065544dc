package placement

import (
	"math"
	"slices"

	"snipeford"
)

// Some engines are dedicated to gap-sensitive requests, those whose streams
// tolerate only short gaps between events. Their number follows the number of such
// streams that is expected, see expectedStreams. They are the first ones of the candidates; long prompts go to the
// others.
const (
	// gapSensitiveTargetMs is the event gap target, in milliseconds, below which
	// a stream misses its target when a long prompt is prefilled beside it.
	gapSensitiveTargetMs = 400
	// gapSensitivePerEngine is the number of gap-sensitive streams on a dedicated
	// engine.
	gapSensitivePerEngine = 12
	// spareEngines is the number of additional dedicated engines for new requests.
	spareEngines = 1
	// nonDedicatedDivisor sets the minimum number of other engines: the number of
	// candidates divided by it, rounded down. Long prompts there interrupt no gap-sensitive
	// streams, and bursts of short prompts last longer than the callers of long
	// prompts wait.
	nonDedicatedDivisor = 9
	// nonDedicatedEngineCost is the cost of a gap-sensitive request on an engine that
	// is not dedicated if longPromptDemand is 1, and dedicatedEngineCost the cost of
	// any other request on a dedicated engine.
	nonDedicatedEngineCost = 0.6
	dedicatedEngineCost    = 0.5
	// longLoadDemandFactor is multiplied by the share of the engines' time that
	// State.longLoad takes, to get longPromptDemand.
	longLoadDemandFactor = 1.5
	// queuedDemand is added to longPromptDemand if requests are queued.
	queuedDemand = 0.5
)

func gapSensitive(req snipeford.PlacementRequest) bool {
	return ms(req.EventGapTarget) < gapSensitiveTargetMs
}

// updateDedicatedEngines ranks the candidates, those without a pause first, and sets the
// number of dedicated engines. It is at least one if there are candidates.
func (s *State) updateDedicatedEngines(now snipeford.Instant) {
	streams, serving := 0, s.serving(now)
	for i, r := range s.candidates {
		r.rank = len(serving) + i
	}
	for i, r := range serving {
		r.rank = i
	}
	for _, r := range s.candidates {
		for _, j := range r.jobs {
			if gapSensitive(j.req) {
				streams++
			}
		}
	}
	s.dedicatedDemand = s.expectedStreams(now, streams)
	need := int(math.Ceil(s.dedicatedDemand/gapSensitivePerEngine)) + spareEngines
	s.dedicatedEngines = max(min(need, len(serving)-len(serving)/nonDedicatedDivisor), min(1, len(serving)))
}

// longPromptDemand returns how much long prompts need the engines that are not
// dedicated, from 0 to 1.
func (s *State) longPromptDemand() float64 {
	p := longLoadDemandFactor * s.longLoad / (1000 * float64(max(len(s.candidates), 1)))
	if slices.ContainsFunc(s.queued, func(q *queued) bool { return !q.short() }) {
		p += queuedDemand
	}
	return math.Min(1, p)
}

// dedicationCost returns the cost of a dedicated engine for a request that is not
// gap-sensitive, and of any other engine for one that is.
func (s *State) dedicationCost(req snipeford.PlacementRequest, r *replica) float64 {
	switch {
	case gapSensitive(req) && r.rank >= s.dedicatedEngines:
		return nonDedicatedEngineCost * s.longPromptDemand()
	case !gapSensitive(req) && r.rank < s.dedicatedEngines:
		return dedicatedEngineCost
	}
	return 0
}
