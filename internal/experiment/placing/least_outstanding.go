package placing

import "snipeford"

var leastOutstandingPolicy = Policy{
	Name:  "LeastOutstanding",
	Usage: "each request goes to the engine with the fewest requests and is read there alone",
	New: func() func(Load) Placer {
		return func(load Load) Placer { return leastOutstanding{newBooks(load)} }
	},
}

type leastOutstanding struct{ *books }

func (l leastOutstanding) Ask(now snipeford.Instant, ask snipeford.PlacementRequest) []snipeford.Placement {
	return l.place(now, ask, l.engines, 0, func(a *account) float64 { return float64(a.running) })
}
