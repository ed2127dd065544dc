package placing

import "snipeford"

var fixedSplitPolicy = Policy{
	Name:  "FixedSplit",
	Usage: "as Joint; a third of the engines is kept for streams with short pauses, which go nowhere else",
	New: func() func(Load) Placer {
		return func(load Load) Placer { return fixedSplit{newBooks(load)} }
	},
}

// fixedShare is one over the share of the engines that is kept.
const fixedShare = 3

type fixedSplit struct{ *books }

func (f fixedSplit) Ask(now snipeford.Instant, ask snipeford.PlacementRequest) []snipeford.Placement {
	return f.splitAt(now, ask, max(1, len(f.engines)/fixedShare))
}

// splitAt keeps the first engines for streams with short pauses.
func (b *books) splitAt(now snipeford.Instant, ask snipeford.PlacementRequest, kept int) []snipeford.Placement {
	if isShort(ask) {
		return b.place(now, ask, b.engines[:kept], 0, work(now))
	}
	return b.place(now, ask, b.engines[kept:], helpers(ask.Prompt), work(now))
}
