package route

import "snipeford"

var fixedSplitPolicy = Policy{
	Name:  "FixedSplit",
	Usage: "a quarter of the replicas serves short prompts alone, the others all else",
	New:   func() snipeford.Router { return fixedSplit{} },
}

// replicasPerDedicated is the number of replicas for each one that is dedicated
// to short prompts.
const replicasPerDedicated = 4

type fixedSplit struct{}

func (fixedSplit) DedicateReplicas(replicas []*snipeford.Replica, _ [snipeford.BandCount]snipeford.TokensPerSecond) {
	dedicateFirst(replicas, (len(replicas)+replicasPerDedicated-1)/replicasPerDedicated)
}

func (fixedSplit) Pick(c *snipeford.QueuedCall, replicas []*snipeford.Replica, _ func(snipeford.UpstreamID) snipeford.Tokens) *snipeford.Replica {
	short := c.Band() == snipeford.BandShort
	return cheapest(c, filterDedicated(replicas, short), func(r *snipeford.Replica) float64 { return float64(r.PrefillBacklog) })
}

// ShortPromptCost returns the prefill work ahead of a short prompt.
func (fixedSplit) ShortPromptCost(r *snipeford.Replica) snipeford.Tokens { return r.PrefillBacklog }

func (fixedSplit) Priority(*snipeford.QueuedCall) int { return 0 }

// filterDedicated returns the replicas whose DedicatedToShort equals short, or all
// replicas if there are none.
func filterDedicated(replicas []*snipeford.Replica, short bool) []*snipeford.Replica {
	var matching []*snipeford.Replica
	for _, r := range replicas {
		if r.DedicatedToShort == short {
			matching = append(matching, r)
		}
	}
	if len(matching) == 0 {
		return replicas
	}
	return matching
}

// dedicateFirst dedicates the first n usable replicas to short prompts.
func dedicateFirst(replicas []*snipeford.Replica, n int) {
	for _, r := range replicas {
		r.DedicatedToShort = r.Usable && n > 0
		if r.DedicatedToShort {
			n--
		}
	}
}
