package placing

import "snipeford"

var jointPolicy = Policy{
	Name:  "Joint",
	Usage: "as LeastWork; prompts above 16,000 tokens are read jointly, by an engine more for each 16,000",
	New: func() func(Scenario) Placer {
		return func(scenario Scenario) Placer { return joint{newTracker(scenario)} }
	},
}

// tokensPerHelper is the number of prompt tokens for which one more engine helps
// with the prefill.
const tokensPerHelper = 16_000

// helperCount returns the number of helpers for a prompt.
func helperCount(prompt snipeford.Tokens) int { return int(prompt / tokensPerHelper) }

type joint struct{ *tracker }

func (j joint) Ask(now snipeford.Instant, req snipeford.PlacementRequest) []snipeford.Placement {
	return j.place(now, req, j.engines, helperCount(req.Prompt), estimatedWork(now))
}
