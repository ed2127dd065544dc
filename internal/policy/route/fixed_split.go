package route

import "snipeford"

var fixedPolicy = Policy{
	Name:  "FixedSplit",
	Usage: "a quarter of the replicas serves short prompts alone, the others all else",
	New:   func() snipeford.Router { return fixedSplit{} },
}

// fixedShare is one over the part of the replicas that is kept for short prompts.
const fixedShare = 4

type fixedSplit struct{}

func (fixedSplit) AssignShortReplicas(replicas []*snipeford.Replica, _ [snipeford.BandCount]snipeford.TokensPerSecond) {
	markShort(replicas, (len(replicas)+fixedShare-1)/fixedShare)
}

func (fixedSplit) Pick(w *snipeford.QueuedCall, replicas []*snipeford.Replica, _ func(snipeford.UpstreamID) snipeford.Tokens) *snipeford.Replica {
	short := w.Band() == snipeford.BandShort
	return best(w, sameSide(replicas, short), func(r *snipeford.Replica) float64 { return float64(r.PrefillBacklog) })
}

// ShortPromptCost is the prompt work before a short prompt.
func (fixedSplit) ShortPromptCost(r *snipeford.Replica) snipeford.Tokens { return r.PrefillBacklog }

func (fixedSplit) Priority(*snipeford.QueuedCall) int { return 0 }

// sameSide returns the replicas on one side of the split, or all where that
// side is empty.
func sameSide(replicas []*snipeford.Replica, short bool) []*snipeford.Replica {
	var side []*snipeford.Replica
	for _, r := range replicas {
		if r.DedicatedToShort == short {
			side = append(side, r)
		}
	}
	if len(side) == 0 {
		return replicas
	}
	return side
}

// markShort marks the first n usable replicas as kept for short prompts.
func markShort(replicas []*snipeford.Replica, n int) {
	for _, r := range replicas {
		r.DedicatedToShort = r.Usable && n > 0
		if r.DedicatedToShort {
			n--
		}
	}
}
