package route

import "snipeford"

var leastOutstandingPolicy = Policy{
	Name:  "LeastOutstanding",
	Usage: "the replica with the fewest running requests; engines queue the rest",
	New:   func() snipeford.Router { return leastOutstanding{} },
}

type leastOutstanding struct{}

func (leastOutstanding) DedicateReplicas([]*snipeford.Replica, [snipeford.BandCount]snipeford.TokensPerSecond) {
}

func (leastOutstanding) Pick(c *snipeford.QueuedCall, replicas []*snipeford.Replica, _ func(snipeford.UpstreamID) snipeford.Tokens) *snipeford.Replica {
	return cheapest(c, replicas, func(r *snipeford.Replica) float64 { return float64(r.Running) })
}

// ShortPromptCost returns the prefill work ahead of a short prompt.
func (leastOutstanding) ShortPromptCost(r *snipeford.Replica) snipeford.Tokens {
	return r.PrefillBacklog
}

func (leastOutstanding) Priority(*snipeford.QueuedCall) int { return 0 }
