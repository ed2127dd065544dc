package placing

import "snipeford"

var leastWorkPolicy = Policy{
	Name:  "LeastWork",
	Usage: "each request goes to the engine with the least estimated reading and is read there alone",
	New: func() func(Scenario) Placer {
		return func(scenario Scenario) Placer { return leastWork{newTracker(scenario)} }
	},
}

type leastWork struct{ *tracker }

func (l leastWork) Ask(now snipeford.Instant, req snipeford.PlacementRequest) []snipeford.Placement {
	return l.place(now, req, l.engines, 0, estimatedWork(now))
}
