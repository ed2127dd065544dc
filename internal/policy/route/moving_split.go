package route

import (
	"math"

	"snipeford"
)

var movingPolicy = Policy{
	Name:  "MovingSplit",
	Usage: "the part kept for short prompts follows their load; short prompts may go anywhere, by engine priority; prefixes go where they are cached",
	New:   func() snipeford.Router { return movingSplit{} },
}

// Sizes in tokens of prompt work.
const (
	// pipelineTokens is the prompt work below which an engine gets its next
	// long prompt, so that it never runs dry.
	pipelineTokens snipeford.Tokens = 4_096
	// fullStep is the assumed budget of an engine's step, and stepBase what a
	// step takes beyond its tokens.
	fullStep snipeford.Tokens = 2_048
	stepBase snipeford.Tokens = 900
	// favouredReserve is the memory that is left to favoured prompts.
	favouredReserve snipeford.Tokens = 60_000
	// usualShort is the length by which homes tell their ShortWait.
	usualShort snipeford.Tokens = 1_500
)

// Costs in tokens of prompt work.
const (
	// riskCost is the cost of a risk of one. A prompt whose risk beside long
	// ones is below littleRisk leaves the kept replicas to the others, unless
	// it would wait keptCost tokens longer.
	riskCost   = 4_000
	littleRisk = 0.03
	keptCost   = 4_000
	// favouredKeptCost is what a longer favoured prompt pays for a replica
	// that is kept for short ones.
	favouredKeptCost = 1_000_000
)

// Shape of the split.
const (
	// leastForSplit is the number of usable replicas from which one at least
	// is kept for short prompts.
	leastForSplit = 4
	// shortUse is the use of the kept replicas that the split aims at, and
	// splitRounding how much of a replica's need is rounded up.
	shortUse      = 0.5
	splitRounding = 0.3
)

type movingSplit struct{}

func (movingSplit) AssignShortReplicas(replicas []*snipeford.Replica, load [snipeford.BandCount]snipeford.TokensPerSecond) {
	var usable int
	var rate float64
	for _, r := range replicas {
		if r.Usable {
			usable++
			rate += float64(r.PrefillRate)
		}
	}
	if usable < 2 {
		markShort(replicas, 0)
		return
	}
	need := float64(load[snipeford.BandShort]) / shortUse
	n := int(math.Floor(need/(rate/float64(usable)) + splitRounding))
	if usable >= leastForSplit && need > 0 {
		n = max(n, 1)
	}
	markShort(replicas, min(n, usable/2))
}

func (movingSplit) Pick(w *snipeford.QueuedCall, replicas []*snipeford.Replica, cached func(snipeford.UpstreamID) snipeford.Tokens) *snipeford.Replica {
	if w.Band() == snipeford.BandShort {
		return best(w, replicas, func(r *snipeford.Replica) float64 { return shortCost(r, w.Prompt) - float64(cached(r.ID)) })
	}
	if w.LowUsage {
		return best(w, replicas, func(r *snipeford.Replica) float64 { return longCost(w, r, cached) })
	}
	return best(w, ready(w, replicas, cached), func(r *snipeford.Replica) float64 { return longCost(w, r, cached) })
}

// longCost is what a longer prompt pays at a replica, in tokens.
func longCost(w *snipeford.QueuedCall, r *snipeford.Replica, cached func(snipeford.UpstreamID) snipeford.Tokens) float64 {
	cost := float64(r.PrefillBacklog-cached(r.ID)) + float64(r.Running)
	if r.Cold {
		cost += float64(w.Prompt)
	}
	if r.DedicatedToShort {
		cost += favouredKeptCost
	}
	return cost
}

// ShortPromptCost is the wait of a short prompt of usual length.
func (movingSplit) ShortPromptCost(r *snipeford.Replica) snipeford.Tokens {
	return snipeford.Tokens(shortCost(r, usualShort))
}

// shortCost is what a short prompt pays at a replica, in tokens of prompt work:
// the work before it, and the risk that its first token takes more than twice
// as long as at an idle engine.
func shortCost(r *snipeford.Replica, prompt snipeford.Tokens) float64 {
	cost := float64(r.Running)
	shared := riskBeside(fullStep, prompt, true)
	if r.ShortPrefillBacklog > 0 {
		cost += float64(r.ShortPrefillBacklog+stepBase)/2 + riskCost*riskBeside(r.ShortPrefillBacklog, prompt, false)
	}
	if r.PrefillBacklog > r.ShortPrefillBacklog {
		cost += float64(fullStep+stepBase)/2 + riskCost*shared
	}
	if r.Cold {
		cost += float64(prompt)
	}
	if r.DedicatedToShort && shared < littleRisk {
		cost += keptCost
	}
	return cost
}

// riskBeside returns the probability that a prompt at an engine that is busy
// with other work gets its first token later than twice its time at an idle
// engine. It comes in at any moment of a running step, which takes up to
// fullStep tokens; what the step leaves is computed before the prompt. Where
// the other work is long, it fills the prompt's own steps up as well.
func riskBeside(other, prompt snipeford.Tokens, fills bool) float64 {
	idle := stepTime(prompt)
	own := stepTime(prompt + max(0, other-fullStep))
	if fills {
		own = float64(stepsOf(prompt) * (fullStep + stepBase))
	}
	running := float64(stepBase + min(other, fullStep))
	return min(1, max(0, (running-(2*idle-own))/running))
}

// stepTime is the time of the steps that work takes, in tokens.
func stepTime(work snipeford.Tokens) float64 {
	return float64(stepsOf(work)*stepBase + work)
}

func stepsOf(work snipeford.Tokens) snipeford.Tokens {
	return (work + fullStep - 1) / fullStep
}

// ready returns the replicas that a longer prompt of an organisation that is
// not favoured may go to now. It may wait at an engine for as long as the
// engine's cache saves, and leaves some memory to favoured ones.
func ready(w *snipeford.QueuedCall, replicas []*snipeford.Replica, cached func(snipeford.UpstreamID) snipeford.Tokens) []*snipeford.Replica {
	var out []*snipeford.Replica
	for _, r := range replicas {
		if r.DedicatedToShort || r.PrefillBacklog >= pipelineTokens+cached(r.ID) {
			continue
		}
		if r.Committed+r.Reserved+w.Memory() > r.Memory-favouredReserve && r.Committed > 0 {
			continue
		}
		out = append(out, r)
	}
	return out
}

// Engine priorities, the first served first. Prompts that span engines get the
// one left between.
const (
	oneStepPriority = 0
	shortPriority   = 1
	lightPriority   = 2
	otherPriority   = 4
)

// Priority lets short prompts go first, before all those of one step. All
// others keep the order in which the home sent them: one that holds memory
// should end soon.
func (movingSplit) Priority(w *snipeford.QueuedCall) int {
	switch {
	case w.Prompt <= fullStep:
		return oneStepPriority
	case w.Band() == snipeford.BandShort:
		return shortPriority
	case w.LowUsage:
		return lightPriority
	}
	return otherPriority
}
