package placement

import (
	"math"

	"snipeford"
)

// The moving split: the first engines of the order are left to streams with
// short pauses, as many as these need now, and long prompts take the others.
const (
	// tightPause is the pause, in milliseconds, below which a stream does not
	// bear long prompts beside it.
	tightPause = 400
	// tightPerEngine is how many such streams an engine of the split writes.
	tightPerEngine = 12
	// spareEngines is how many engines more are left to them, for arrivals.
	spareEngines = 1
	// longShare is one over the share of the engines that long prompts keep:
	// what is read there breaks no streams, and bursts of short prompts outlast
	// the patience of long ones.
	longShare = 9
	// packing is what a request with short pauses pays outside of its engines
	// where long prompts press, and intrusion what a long prompt pays there.
	packing   = 0.6
	intrusion = 0.5
	// pressing scales the share of the engines' time that long prompts take to
	// the pressure of the split.
	pressing = 1.5
	// queuePressure is the pressure of long prompts that wait.
	queuePressure = 0.5
)

func tight(ask snipeford.PlacementRequest) bool { return ms(ask.EventGapTarget) < tightPause }

// arrange counts the engines that are left to streams with short pauses.
func (s *State) arrange() {
	streams := 0
	for i, r := range s.order {
		r.rank = i
		for _, j := range r.jobs {
			if tight(j.ask) {
				streams++
			}
		}
	}
	need := int(math.Ceil(float64(streams)/tightPerEngine)) + spareEngines
	s.kept = max(min(need, len(s.order)-len(s.order)/longShare), min(1, len(s.order)))
}

// pressure tells from 0 to 1 how much long prompts press.
func (s *State) pressure() float64 {
	p := pressing * s.longLoad / (1000 * float64(max(len(s.order), 1)))
	if len(s.waiting) > 0 {
		p += queuePressure
	}
	return math.Min(1, p)
}

// split returns what a request pays for an engine on the other side.
func (s *State) split(ask snipeford.PlacementRequest, r *replica) float64 {
	switch {
	case tight(ask) && r.rank >= s.kept:
		return packing * s.pressure()
	case !tight(ask) && r.rank < s.kept:
		return intrusion
	}
	return 0
}
