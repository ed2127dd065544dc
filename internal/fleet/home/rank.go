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
// candidates compute the same order. The weights are squared because a home
// needs more of a processor than the smallest nodes can spare.
func Rank(service snipeford.ServiceName, candidates []Candidate) []snipeford.NodeID {
	type scored struct {
		node  snipeford.NodeID
		score float64
	}
	ranking := make([]scored, 0, len(candidates))
	for _, c := range candidates {
		hash := xxhash.Sum64String("service/" + string(service) + "|" + string(c.Node))
		uniform := (float64(hash>>11) + 0.5) / (1 << 53)
		weight := max(c.Weight, minWeight)
		ranking = append(ranking, scored{c.Node, -weight * weight / math.Log(uniform)})
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
