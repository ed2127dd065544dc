package placing

import "snipeford"

var fixedSplitPolicy = Policy{
	Name:  "FixedSplit",
	Usage: "as Joint; a third of the engines is kept for streams with short pauses, which go nowhere else",
	New: func() func(Scenario) Placer {
		return func(load Scenario) Placer { return fixedSplit{newTracker(load)} }
	},
}

// reservedDivisor is the inverse of the share of engines that are reserved.
const reservedDivisor = 3

type fixedSplit struct{ *tracker }

func (f fixedSplit) Ask(now snipeford.Instant, req snipeford.PlacementRequest) []snipeford.Placement {
	return f.placeSplit(now, req, max(1, len(f.engines)/reservedDivisor))
}

// placeSplit reserves the first engines for gap-sensitive streams.
func (t *tracker) placeSplit(now snipeford.Instant, req snipeford.PlacementRequest, reserved int) []snipeford.Placement {
	if isGapSensitive(req) {
		return t.place(now, req, t.engines[:reserved], 0, estimatedWork(now))
	}
	return t.place(now, req, t.engines[reserved:], helperCount(req.Prompt), estimatedWork(now))
}
