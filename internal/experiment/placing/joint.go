package placing

import "snipeford"

var jointPolicy = Policy{
	Name:  "Joint",
	Usage: "as LeastWork; prompts above 16,000 tokens are read jointly, by an engine more for each 16,000",
	New: func() func(Load) Placer {
		return func(load Load) Placer { return joint{newBooks(load)} }
	},
}

// jointTokens is the length of prompt for which one helper more reads: the
// best rule of thumb of earlier trials.
const jointTokens = 16_000

// helpers returns how many engines help to read a prompt.
func helpers(prompt snipeford.Tokens) int { return int(prompt / jointTokens) }

type joint struct{ *books }

func (j joint) Ask(now snipeford.Instant, ask snipeford.PlacementRequest) []snipeford.Placement {
	return j.place(now, ask, j.engines, helpers(ask.Prompt), work(now))
}
