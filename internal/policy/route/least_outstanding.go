package route

import "snipeford"

var leastPolicy = Policy{
	Name:  "LeastOutstanding",
	Usage: "the replica with the fewest running requests; engines queue the rest",
	New:   func() snipeford.Router { return leastOutstanding{} },
}

type leastOutstanding struct{}

func (leastOutstanding) Arrange([]*snipeford.Replica, [snipeford.BandCount]snipeford.TokensPerSecond) {
}

func (leastOutstanding) Pick(w *snipeford.Waiting, replicas []*snipeford.Replica, _ func(snipeford.UpstreamID) snipeford.Tokens) *snipeford.Replica {
	return best(w, replicas, func(r *snipeford.Replica) float64 { return float64(r.Running) })
}

// ShortWait is the prompt work before a short prompt.
func (leastOutstanding) ShortWait(r *snipeford.Replica) snipeford.Tokens { return r.Prefill }

func (leastOutstanding) Priority(*snipeford.Waiting) int { return 0 }
