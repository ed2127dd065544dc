package placing

import "snipeford"

var leastOutstandingPolicy = Policy{
	Name:  "LeastOutstanding",
	Usage: "each request goes to the engine with the fewest requests and is read there alone",
	New: func() func(Scenario) Placer {
		return func(scenario Scenario) Placer { return leastOutstanding{newTracker(scenario)} }
	},
}

type leastOutstanding struct{ *tracker }

func (l leastOutstanding) Ask(now snipeford.Instant, req snipeford.PlacementRequest) []snipeford.Placement {
	return l.place(now, req, l.engines, 0, func(e *engineState) float64 { return float64(e.running) })
}
