package placing

import "snipeford"

var leastWorkPolicy = Policy{
	Name:  "LeastWork",
	Usage: "each request goes to the engine with the least estimated reading and is read there alone",
	New: func() func(Load) Placer {
		return func(load Load) Placer { return leastWork{newBooks(load)} }
	},
}

type leastWork struct{ *books }

func (l leastWork) Ask(now snipeford.Instant, ask snipeford.PlacementRequest) []snipeford.Placement {
	return l.place(now, ask, l.engines, 0, work(now))
}
