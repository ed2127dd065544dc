package placing

import "snipeford"

var movingSplitPolicy = Policy{
	Name:  "MovingSplit",
	Usage: "as FixedSplit; as many engines are kept as the running streams with short pauses ask for",
	New: func() func(Scenario) Placer {
		return func(scenario Scenario) Placer { return movingSplit{newTracker(scenario)} }
	},
}

// Number of gap-sensitive streams per dedicated engine, and number of additional
// dedicated engines, as in package placement.
const (
	gapSensitivePerEngine = 12
	spareEngines          = 1
)

type movingSplit struct{ *tracker }

func (m movingSplit) Ask(now snipeford.Instant, req snipeford.PlacementRequest) []snipeford.Placement {
	dedicated := (m.gapSensitiveStreams()+gapSensitivePerEngine-1)/gapSensitivePerEngine + spareEngines
	return m.placeSplit(now, req, min(dedicated, len(m.engines)-1))
}
