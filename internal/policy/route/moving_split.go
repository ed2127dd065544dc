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

// Limits of the moving split.
const (
	// shortUse is the use of the kept replicas that the split aims at.
	shortUse = 0.35
	// pipelineTokens is the prompt work below which an engine gets its next
	// long prompt, so that it never runs dry.
	pipelineTokens snipeford.Tokens = 4_096
	// sharedStepCost is what a short prompt pays, in tokens, for joining an
	// engine that fills its steps with long prompts.
	sharedStepCost = 1_500
	// decodeCost is the cost of one more running request in tokens.
	decodeCost = 8
)

type movingSplit struct{}

func (movingSplit) Arrange(replicas []*snipeford.Replica, load [snipeford.BandCount]snipeford.TokensPerSecond) {
	var usable int
	var rate float64
	for _, r := range replicas {
		if r.Usable {
			usable++
			rate += float64(r.Rate)
		}
	}
	if usable < 2 {
		markShort(replicas, 0)
		return
	}
	need := float64(load[snipeford.BandShort]) / shortUse
	n := int(math.Round(need / (rate / float64(usable))))
	markShort(replicas, min(n, usable/2))
}

func (movingSplit) Pick(w *snipeford.Waiting, replicas []*snipeford.Replica, cached func(snipeford.UpstreamID) snipeford.Tokens) *snipeford.Replica {
	if w.Band() == snipeford.BandShort {
		return best(w, replicas, func(r *snipeford.Replica) float64 { return shortCost(r) - float64(cached(r.ID)) })
	}
	r := best(w, ready(replicas), func(r *snipeford.Replica) float64 {
		return float64(r.Prefill-cached(r.ID)) + decodeCost*float64(r.Running)
	})
	return r
}

// shortCost is the wait of a short prompt in tokens: the short work before it,
// and the step it has to share.
func shortCost(r *snipeford.Replica) float64 {
	cost := 4*float64(r.ShortPrefill) + decodeCost*float64(r.Running)
	if r.Prefill > r.ShortPrefill {
		cost += sharedStepCost
	}
	return cost
}

// ready returns the replicas that a long prompt may go to now.
func ready(replicas []*snipeford.Replica) []*snipeford.Replica {
	var out []*snipeford.Replica
	for _, r := range replicas {
		if !r.Short && r.Prefill < pipelineTokens {
			out = append(out, r)
		}
	}
	return out
}

func (movingSplit) Priority(w *snipeford.Waiting) int { return int(w.Band()) }
