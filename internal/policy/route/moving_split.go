package route

import (
	"math"

	"snipeford"
)

var movingSplitPolicy = Policy{
	Name:  "MovingSplit",
	Usage: "the part kept for short prompts follows their load; short prompts may go anywhere, by engine priority; prefixes go where they are cached",
	New:   func() snipeford.Router { return movingSplit{} },
}

// Sizes in tokens.
const (
	// pipelineTokens is the prefill backlog below which an engine gets its next
	// long prompt, so that it is never idle between two.
	pipelineTokens snipeford.Tokens = 4_096
	// maxStepTokens is the assumed token budget of an engine's step, and
	// stepOverheadTokens the fixed time of a step, as prefill tokens.
	maxStepTokens      snipeford.Tokens = 2_048
	stepOverheadTokens snipeford.Tokens = 900
	// lowUsageReserve is the memory kept free for low-usage prompts.
	lowUsageReserve snipeford.Tokens = 60_000
	// typicalShortPrompt is the prompt length for which ShortPromptCost is
	// computed.
	typicalShortPrompt snipeford.Tokens = 1_500
)

// Costs in prefill tokens.
const (
	// riskCost is the cost of a slow first token with probability 1.
	//
	// If the probability of a slow first token beside long prompts is below lowRisk,
	// a dedicated replica costs a short prompt dedicatedCost more. The prompt then
	// goes to another replica unless it would wait that much longer there, which
	// leaves the dedicated ones to short prompts with a higher risk.
	riskCost      = 4_000
	lowRisk       = 0.03
	dedicatedCost = 4_000
	// longOnDedicatedCost is the cost of sending a longer low-usage prompt to a
	// replica that is dedicated to short ones.
	longOnDedicatedCost = 1_000_000
)

// Number of replicas dedicated to short prompts.
const (
	// minReplicasForSplit is the number of usable replicas from which at least
	// one is dedicated.
	minReplicasForSplit = 4
	// targetUtilisation is the target utilisation of the dedicated replicas, and
	// splitRounding is added to the number needed before it is rounded down.
	targetUtilisation = 0.5
	splitRounding     = 0.3
)

type movingSplit struct{}

func (movingSplit) DedicateReplicas(replicas []*snipeford.Replica, load [snipeford.BandCount]snipeford.TokensPerSecond) {
	var usable int
	var rate float64
	for _, r := range replicas {
		if r.Usable {
			usable++
			rate += float64(r.PrefillRate)
		}
	}
	if usable < 2 {
		dedicateFirst(replicas, 0)
		return
	}
	need := float64(load[snipeford.BandShort]) / targetUtilisation
	n := int(math.Floor(need/(rate/float64(usable)) + splitRounding))
	if usable >= minReplicasForSplit && need > 0 {
		n = max(n, 1)
	}
	dedicateFirst(replicas, min(n, usable/2))
}

func (movingSplit) Pick(c *snipeford.QueuedCall, replicas []*snipeford.Replica, cached func(snipeford.UpstreamID) snipeford.Tokens) *snipeford.Replica {
	if c.Band() == snipeford.BandShort {
		return cheapest(c, replicas, func(r *snipeford.Replica) float64 { return shortCost(r, c.Prompt) - float64(cached(r.ID)) })
	}
	if c.LowUsage {
		return cheapest(c, replicas, func(r *snipeford.Replica) float64 { return longCost(c, r, cached) })
	}
	return cheapest(c, eligible(c, replicas, cached), func(r *snipeford.Replica) float64 { return longCost(c, r, cached) })
}

// longCost returns the cost of a longer prompt at a replica, in prefill tokens.
func longCost(c *snipeford.QueuedCall, r *snipeford.Replica, cached func(snipeford.UpstreamID) snipeford.Tokens) float64 {
	cost := float64(r.PrefillBacklog-cached(r.ID)) + float64(r.Running)
	if r.Cold {
		cost += float64(c.Prompt)
	}
	if r.DedicatedToShort {
		cost += longOnDedicatedCost
	}
	return cost
}

// ShortPromptCost returns the cost of a short prompt of typical length.
func (movingSplit) ShortPromptCost(r *snipeford.Replica) snipeford.Tokens {
	return snipeford.Tokens(shortCost(r, typicalShortPrompt))
}

// shortCost returns the cost of a short prompt at a replica, in prefill tokens:
// the work ahead of it, and the risk that its first token takes more than twice
// as long as on an idle engine.
func shortCost(r *snipeford.Replica, prompt snipeford.Tokens) float64 {
	cost := float64(r.Running)
	longRisk := slowFirstTokenRisk(maxStepTokens, prompt, true)
	if r.ShortPrefillBacklog > 0 {
		cost += float64(r.ShortPrefillBacklog+stepOverheadTokens)/2 + riskCost*slowFirstTokenRisk(r.ShortPrefillBacklog, prompt, false)
	}
	if r.PrefillBacklog > r.ShortPrefillBacklog {
		cost += float64(maxStepTokens+stepOverheadTokens)/2 + riskCost*longRisk
	}
	if r.Cold {
		cost += float64(prompt)
	}
	if r.DedicatedToShort && longRisk < lowRisk {
		cost += dedicatedCost
	}
	return cost
}

// slowFirstTokenRisk returns the probability that a prompt on an engine that is
// busy with other work gets its first token later than twice its time on an idle
// engine. The prompt arrives at a uniformly random moment of a running step, which
// takes up to maxStepTokens of the other work; the rest of that work is computed
// before the prompt. With fillsSteps, the other work also fills the remaining
// budget of the prompt's own steps, as a long prompt does.
func slowFirstTokenRisk(other, prompt snipeford.Tokens, fillsSteps bool) float64 {
	idle := stepTime(prompt)
	busy := stepTime(prompt + max(0, other-maxStepTokens))
	if fillsSteps {
		busy = float64(stepCount(prompt) * (maxStepTokens + stepOverheadTokens))
	}
	running := float64(stepOverheadTokens + min(other, maxStepTokens))
	return min(1, max(0, (running-(2*idle-busy))/running))
}

// stepTime returns the time of the steps for the given work, as prefill tokens.
func stepTime(work snipeford.Tokens) float64 {
	return float64(stepCount(work)*stepOverheadTokens + work)
}

func stepCount(work snipeford.Tokens) snipeford.Tokens {
	return (work + maxStepTokens - 1) / maxStepTokens
}

// eligible returns the replicas that a longer prompt of an organisation without
// low usage may go to now. The backlog of a replica may exceed pipelineTokens by
// the tokens that the replica caches for the prompt. lowUsageReserve stays free.
func eligible(c *snipeford.QueuedCall, replicas []*snipeford.Replica, cached func(snipeford.UpstreamID) snipeford.Tokens) []*snipeford.Replica {
	var out []*snipeford.Replica
	for _, r := range replicas {
		if r.DedicatedToShort || r.PrefillBacklog >= pipelineTokens+cached(r.ID) {
			continue
		}
		if r.Committed+r.Reserved+c.Memory() > r.Memory-lowUsageReserve && r.Committed > 0 {
			continue
		}
		out = append(out, r)
	}
	return out
}

// Engine priorities; lower values go first. The value 3 is for prompts that span
// several engines.
const (
	singleStepPriority = 0
	shortPriority      = 1
	lowUsagePriority   = 2
	defaultPriority    = 4
)

// Priority puts prompts that fit one step first, then the other short ones, then
// longer low-usage prompts. All others keep the order of dispatch, so that a
// prompt that holds memory ends soon.
func (movingSplit) Priority(c *snipeford.QueuedCall) int {
	switch {
	case c.Prompt <= maxStepTokens:
		return singleStepPriority
	case c.Band() == snipeford.BandShort:
		return shortPriority
	case c.LowUsage:
		return lowUsagePriority
	}
	return defaultPriority
}
