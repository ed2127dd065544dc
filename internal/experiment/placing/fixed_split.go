package placing

import "snipeford"

var fixedSplitPolicy = Policy{
	Name:  "FixedSplit",
	Usage: "as Joint; a third of the engines is kept for streams with short pauses, which go nowhere else",
	New: func() func(Scenario) Placer {
		return func(scenario Scenario) Placer { return fixedSplit{newTracker(scenario)} }
	},
}

// dedicatedDivisor is the inverse of the share of engines that are dedicated to
// gap-sensitive streams.
const dedicatedDivisor = 3

type fixedSplit struct{ *tracker }

func (f fixedSplit) Ask(now snipeford.Instant, req snipeford.PlacementRequest) []snipeford.Placement {
	return f.placeSplit(now, req, max(1, len(f.engines)/dedicatedDivisor))
}

// placeSplit dedicates the first engines to gap-sensitive streams. It places other
// requests only on the remaining engines, with helpers for long prompts.
func (t *tracker) placeSplit(now snipeford.Instant, req snipeford.PlacementRequest, dedicated int) []snipeford.Placement {
	if isGapSensitive(req) {
		return t.place(now, req, t.engines[:dedicated], 0, estimatedWork(now))
	}
	return t.place(now, req, t.engines[dedicated:], helperCount(req.Prompt), estimatedWork(now))
}
