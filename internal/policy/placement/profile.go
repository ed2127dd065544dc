// Package placement decides which engine serves a request and which engines
// help to prefill its prompt. It predicts from the engines' profiles when the
// first event of a request would come and how long it would interrupt the
// streams on the same engines, and chooses the placement that makes the fewest
// requests late. The primary engine responds to the request; helpers only prefill
// parts of its prompt.
//
// Prompts are classified by their prefill time on one engine: those up to
// shortPrefillMs are short and go to any engine with a free slot, those above it
// are long, and those above veryLongPrefillMs are very long and get few helpers and
// no dedicated engine. Separately, prompts above longLoadPrefillMs or above their
// event gap target count in State.longLoad. A pass is the unit in which an engine schedules
// its work, see snipeford.EngineProfile.
//
// The package reads no clock: the current time is an argument. Times of type
// float64 are in milliseconds.
package placement

import (
	"time"

	"snipeford"
)

// profile predicts processing times from an engine profile.
type profile struct {
	snipeford.EngineProfile
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// prefillTime returns how long an idle engine takes to prefill a whole prompt.
func (p profile) prefillTime(prompt snipeford.Tokens) float64 {
	n := float64(prompt)
	perToken := 1000 / float64(p.PrefillRate)
	steps := n / float64(p.PrefillChunk)
	millionPairs := n * n / 2 / 1e6
	return n*perToken + millionPairs*ms(p.AttentionTimePerMillionPairs) + steps*ms(p.StepTime)
}

// decodePassTime returns how long a pass takes that prefills nothing, for a number
// of decoding sequences and the sum of their context tokens.
func (p profile) decodePassTime(sequences int, context snipeford.Tokens) float64 {
	step := ms(p.StepTime) + float64(sequences)*ms(p.StepTimePerSequence) + float64(context)/1000*ms(p.StepTimePerThousandTokens)
	return step * float64(p.DecodeStepsPerPass)
}
