// Package placement decides which engine runs a request and which others read
// parts of its prompt. It predicts from the engines' figures when a request
// would get its first event and which pauses it would cause in the streams
// that run beside it, and takes the placement that makes the least callers
// late. It is pure: time is an argument.
package placement

import (
	"time"

	"snipeford"
)

// model computes times of one engine profile, in milliseconds.
type model struct {
	snipeford.EngineProfile
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// reading returns how long an idle engine reads a whole prompt.
func (m model) reading(prompt snipeford.Tokens) float64 {
	n := float64(prompt)
	perToken := 1000 / float64(m.PrefillRate)
	steps := n / float64(m.PrefillChunk)
	pairs := n * n / 2 / 1e6
	return n*perToken + pairs*ms(m.AttentionTimePerMillionPairs) + steps*ms(m.StepTime)
}

// pass returns how long a pass takes in which nothing is read.
func (m model) pass(writers int, context snipeford.Tokens) float64 {
	step := ms(m.StepTime) + float64(writers)*ms(m.StepTimePerSequence) + float64(context)/1000*ms(m.StepTimePerThousandTokens)
	return step * float64(m.DecodeStepsPerPass)
}
