package placing

import "snipeford"

var movingSplitPolicy = Policy{
	Name:  "MovingSplit",
	Usage: "as FixedSplit; as many engines are kept as the running streams with short pauses ask for",
	New: func() func(Load) Placer {
		return func(load Load) Placer { return movingSplit{newBooks(load)} }
	},
}

// Streams with short pauses that a kept engine writes, and engines kept beyond
// these.
const (
	perKept   = 12
	spareKept = 1
)

type movingSplit struct{ *books }

func (m movingSplit) Ask(now snipeford.Instant, ask snipeford.PlacementRequest) []snipeford.Placement {
	kept := (m.shorts()+perKept-1)/perKept + spareKept
	return m.splitAt(now, ask, min(kept, len(m.engines)-1))
}
