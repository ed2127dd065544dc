package detour

import (
	"fmt"
	"testing"

	"snipeford"
	"snipeford/internal/control/directory"
)

const (
	manyNodes   = 195
	manyDomains = 3
	// maxAskedFirst is the most nodes of a failure domain that is cut off, of 65, that may
	// ask the same node first: a node carries at most maxOpen/maxOpenPerNode of them with
	// maxOpenPerNode each, and more with fewer.
	maxAskedFirst = 6
)

// manyPeers returns a view of nodes in several failure domains.
func manyPeers() *directory.View {
	v := &directory.View{Peers: map[snipeford.NodeID]directory.Peer{}}
	for i := range manyNodes {
		id := snipeford.NodeID(fmt.Sprint("n", i))
		v.Peers[id] = directory.Peer{Node: id, Domain: snipeford.FailureDomain(fmt.Sprint("d", i%manyDomains)), ProcessorShare: 0.4, OffersDetours: true}
	}
	return v
}

// TestDetoursOfDomainAreSpread guards against one node that carries the detours of a whole
// failure domain.
func TestDetoursOfDomainAreSpread(t *testing.T) {
	v := manyPeers()
	own, other := map[snipeford.NodeID]int{}, map[snipeford.NodeID]int{}
	for id, p := range v.Peers {
		if p.Domain != "d0" {
			continue
		}
		c := &Client{Self: v.Peers[id]}
		order := c.rank(v)
		if len(order) > maxRanked || order[0].Domain != p.Domain || order[maxOwnDomain].Domain == p.Domain {
			t.Errorf("got order %v, want %d nodes of the own failure domain first and then others", order, maxOwnDomain)
		}
		own[order[0].Node]++
		other[order[maxOwnDomain].Node]++
	}
	for _, counts := range []map[snipeford.NodeID]int{own, other} {
		for id, n := range counts {
			if n > maxAskedFirst {
				t.Errorf("got %d nodes that ask %s first, want at most %d", n, id, maxAskedFirst)
			}
		}
	}
}
