package placement

import (
	"cmp"
	"slices"

	"snipeford"
)

// SlowEngine is an engine whose predictions are corrected by a factor.
type SlowEngine struct {
	Upstream snipeford.UpstreamID
	Slowdown float64
}

// Summary describes the engines of a service: the split between those that are dedicated to
// gap-sensitive streams and the others, with the demand that set it, and their speeds.
type Summary struct {
	Engines, Dedicated int
	// ExpectedStreams is the number of gap-sensitive streams that set Dedicated, and
	// LongPromptDemand is how much long prompts need the other engines, from 0 to 1.
	ExpectedStreams, LongPromptDemand float64
	Queued                            int
	Slow                              []SlowEngine
}

// Summary returns the state of the engines.
func (s *State) Summary(now snipeford.Instant) Summary {
	out := Summary{
		Engines: len(s.candidates), Dedicated: s.dedicatedEngines, ExpectedStreams: s.dedicatedDemand,
		LongPromptDemand: s.longPromptDemand(), Queued: len(s.queued),
	}
	for _, r := range s.candidates {
		if slowdown := r.speed.slowdown(now); slowdown > 1 {
			out.Slow = append(out.Slow, SlowEngine{r.id, slowdown})
		}
	}
	slices.SortFunc(out.Slow, func(a, b SlowEngine) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}
