package home

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"snipeford"
)

// Candidate is a node that may become a home. Weight is the fraction of a
// processor core that the node has.
type Candidate struct {
	Node   snipeford.NodeID
	Weight float64
}

// Rank orders nodes by weighted rendezvous hashing: the first one is the home of
// the service, the next ones are its standbys. All nodes that know the same
// candidates compute the same order. A small node is chosen only if there are
// few larger ones: a home that falls behind makes the requests of all nodes late.
func Rank(service snipeford.ServiceName, candidates []Candidate) []snipeford.NodeID {
	return rank("service/"+string(service), candidates, homePreference)
}

// Spread orders nodes like Rank for work of which each node has a part. Larger
// nodes come first more often, but not nearly always.
func Spread(key snipeford.ServiceName, candidates []Candidate) []snipeford.NodeID {
	return rank("service/"+string(key), candidates, spreadPreference)
}

// The weights are raised to these powers.
const (
	homePreference   = 6
	spreadPreference = 2
)

func rank(key string, candidates []Candidate, preference float64) []snipeford.NodeID {
	type scored struct {
		node  snipeford.NodeID
		score float64
	}
	ranking := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		hash := xxhash.Sum64String(key + "|" + string(c.Node))
		uniform := (float64(hash>>11) + 0.5) / (1 << 53)
		weight := math.Pow(max(c.Weight, minWeight), preference)
		ranking = append(ranking, scored{c.Node, -weight / math.Log(uniform)})
	}
	slices.SortFunc(ranking, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	out := make([]snipeford.NodeID, len(ranking))
	for i, s := range ranking {
		out[i] = s.node
	}
	return out
}

// minWeight is the weight of nodes that report a lower one or none.
const minWeight = 0.05
