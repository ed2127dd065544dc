package placement

import (
	"math"

	"snipeford"
)

// Some engines are reserved for gap-sensitive requests, those whose streams
// tolerate only short gaps between events. The reservation follows the number of
// such streams. It takes the first engines of the candidates; long prompts go to
// the others.
const (
	// gapSensitiveTargetMs is the event gap target, in milliseconds, below which
	// a stream misses its target when a long prompt is prefilled beside it.
	gapSensitiveTargetMs = 400
	// gapSensitivePerEngine is the number of gap-sensitive streams on a reserved
	// engine.
	gapSensitivePerEngine = 12
	// spareEngines is the number of additional engines reserved for arrivals.
	spareEngines = 1
	// unreservedDivisor sets the minimum number of unreserved engines: the number
	// of candidates divided by it. Long prompts there interrupt no gap-sensitive
	// streams, and bursts of short prompts last longer than the callers of long
	// prompts wait.
	unreservedDivisor = 9
	// unreservedEngineCost is the cost of a gap-sensitive request on an
	// unreserved engine at full pressure of long prompts, and reservedEngineCost
	// the cost of any other request on a reserved engine.
	unreservedEngineCost = 0.6
	reservedEngineCost   = 0.5
	// longLoadPressure is the pressure per share of the engines' time that long
	// prompts take.
	longLoadPressure = 1.5
	// queuePressure is the pressure that queued requests add.
	queuePressure = 0.5
)

func gapSensitive(req snipeford.PlacementRequest) bool {
	return ms(req.EventGapTarget) < gapSensitiveTargetMs
}

// updateReservation ranks the candidates and sets the number of reserved engines.
func (s *State) updateReservation() {
	streams := 0
	for i, r := range s.candidates {
		r.rank = i
		for _, j := range r.jobs {
			if gapSensitive(j.req) {
				streams++
			}
		}
	}
	need := int(math.Ceil(float64(streams)/gapSensitivePerEngine)) + spareEngines
	s.reservedEngines = max(min(need, len(s.candidates)-len(s.candidates)/unreservedDivisor), min(1, len(s.candidates)))
}

// pressure returns the demand of long prompts for engines, from 0 to 1.
func (s *State) pressure() float64 {
	p := longLoadPressure * s.longLoad / (1000 * float64(max(len(s.candidates), 1)))
	if len(s.queued) > 0 {
		p += queuePressure
	}
	return math.Min(1, p)
}

// reservationCost returns the cost of a reserved engine for a request that is
// not gap-sensitive, and of an unreserved engine for one that is.
func (s *State) reservationCost(req snipeford.PlacementRequest, r *replica) float64 {
	switch {
	case gapSensitive(req) && r.rank >= s.reservedEngines:
		return unreservedEngineCost * s.pressure()
	case !gapSensitive(req) && r.rank < s.reservedEngines:
		return reservedEngineCost
	}
	return 0
}
