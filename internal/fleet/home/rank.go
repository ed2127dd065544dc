package home

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"snipeford"
)

// Candidate is a node that may become a home, with its share of a processor.
type Candidate struct {
	Node   snipeford.NodeID
	Weight float64
}

// Rank orders nodes by weighted rendezvous hashing: the first one is the home
// of the service, the next ones stand in for it. All nodes that know the same
// members get the same order. Weight counts squared, as a home needs what the
// smallest nodes can't spare.
func Rank(service snipeford.ServiceName, members []Candidate) []snipeford.NodeID {
	type scored struct {
		node  snipeford.NodeID
		score float64
	}
	list := make([]scored, 0, len(members))
	for _, m := range members {
		hash := xxhash.Sum64String("service/" + string(service) + "|" + string(m.Node))
		draw := (float64(hash>>11) + 0.5) / (1 << 53)
		weight := max(m.Weight, leastWeight)
		list = append(list, scored{m.Node, -weight * weight / math.Log(draw)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})
	out := make([]snipeford.NodeID, len(list))
	for i, s := range list {
		out[i] = s.node
	}
	return out
}

// leastWeight stands in for a node that does not say its share.
const leastWeight = 0.05
