package route

import "snipeford"

var leastPolicy = Policy{
	Name:  "LeastOutstanding",
	Usage: "the replica with the fewest running requests; engines queue the rest",
	New:   func() snipeford.Router { return leastOutstanding{} },
}

type leastOutstanding struct{}

func (leastOutstanding) AssignShortReplicas([]*snipeford.Replica, [snipeford.BandCount]snipeford.TokensPerSecond) {
}

func (leastOutstanding) Pick(w *snipeford.QueuedCall, replicas []*snipeford.Replica, _ func(snipeford.UpstreamID) snipeford.Tokens) *snipeford.Replica {
	return best(w, replicas, func(r *snipeford.Replica) float64 { return float64(r.Running) })
}

// ShortPromptCost is the prompt work before a short prompt.
func (leastOutstanding) ShortPromptCost(r *snipeford.Replica) snipeford.Tokens {
	return r.PrefillBacklog
}

func (leastOutstanding) Priority(*snipeford.QueuedCall) int { return 0 }
