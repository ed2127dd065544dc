package placing

import "snipeford"

var movingSplitPolicy = Policy{
	Name:  "MovingSplit",
	Usage: "as FixedSplit; as many engines are kept as the running streams with short pauses ask for",
	New: func() func(Scenario) Placer {
		return func(load Scenario) Placer { return movingSplit{newTracker(load)} }
	},
}

// Number of gap-sensitive streams per reserved engine, and number of additional
// reserved engines.
const (
	streamsPerReserved = 12
	spareReserved      = 1
)

type movingSplit struct{ *tracker }

func (m movingSplit) Ask(now snipeford.Instant, req snipeford.PlacementRequest) []snipeford.Placement {
	reserved := (m.gapSensitiveStreams()+streamsPerReserved-1)/streamsPerReserved + spareReserved
	return m.placeSplit(now, req, min(reserved, len(m.engines)-1))
}
