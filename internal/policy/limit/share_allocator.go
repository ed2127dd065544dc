package limit

import (
	"cmp"
	"slices"
	"time"

	"snipeford"
)

const (
	// guaranteedRatio is the part of an even share that a node keeps when it
	// reports no demand.
	guaranteedRatio = 0.5
	// learningPeriod is how long a new allocator collects reports before it
	// changes any share.
	learningPeriod = 3 * time.Second
	// demandSmoothing is the weight of the latest report in the moving average
	// of a node's demand.
	demandSmoothing = 0.3
)

// EvenShare returns the share that a node uses before it receives a grant.
func EvenShare(nodes int) float64 { return 1 / float64(max(nodes, 1)) }

// guaranteedShare returns the share that a node keeps when it reports no demand.
func guaranteedShare(nodes int) float64 { return guaranteedRatio * EvenShare(nodes) }

// DisconnectedShare returns the share that a node uses while it has no contact
// with the allocator: its last share, but at most an even one.
func DisconnectedShare(last float64, nodes int) float64 { return min(last, EvenShare(nodes)) }

// nodeShare is the allocator's record of one node: the moving average of its
// demand, in tokens a report, and the highest share that it may be using.
type nodeShare struct {
	node         snipeford.NodeID
	demand       float64
	currentShare float64
}

// ShareAllocator divides one organisation's limits among the nodes by their
// demand: each node gets its guaranteed share and a part of the rest in proportion
// to its demand. The shares in use never add up to more than one: a share grows
// only by what other nodes have reported as no longer in use.
type ShareAllocator struct {
	started snipeford.Instant
	byNode  map[snipeford.NodeID]*nodeShare
	// sorted holds the records by node, so that sums over them are equal in all runs.
	sorted []*nodeShare
}

// NewShareAllocator returns an allocator whose learning period starts now.
func NewShareAllocator(now snipeford.Instant) *ShareAllocator {
	return &ShareAllocator{started: now, byNode: map[snipeford.NodeID]*nodeShare{}}
}

// Report records a node's demand, in tokens since its last report, and the
// share that it uses.
func (a *ShareAllocator) Report(n snipeford.NodeID, demand snipeford.Tokens, currentShare float64) {
	s, ok := a.byNode[n]
	if !ok {
		s = &nodeShare{node: n}
		a.byNode[n] = s
		i, _ := slices.BinarySearchFunc(a.sorted, n, func(s *nodeShare, n snipeford.NodeID) int { return cmp.Compare(s.node, n) })
		a.sorted = slices.Insert(a.sorted, i, s)
	}
	s.demand += demandSmoothing * (float64(demand) - s.demand)
	s.currentShare = currentShare
}

// Retain removes the nodes that are not live.
func (a *ShareAllocator) Retain(live func(snipeford.NodeID) bool) {
	a.sorted = slices.DeleteFunc(a.sorted, func(s *nodeShare) bool {
		if live(s.node) {
			return false
		}
		delete(a.byNode, s.node)
		return true
	})
}

// Grant returns the share that the node may use from now on. During the
// learning period that is the share it reported.
func (a *ShareAllocator) Grant(now snipeford.Instant, n snipeford.NodeID, nodes int) float64 {
	s, ok := a.byNode[n]
	if !ok {
		return EvenShare(nodes)
	}
	if now.Sub(a.started) < learningPeriod {
		return s.currentShare
	}
	target := a.targetShare(s, nodes)
	if target > s.currentShare {
		target = min(target, s.currentShare+max(0, a.unallocated(nodes)))
	}
	s.currentShare = max(s.currentShare, target)
	return target
}

// unallocated returns the share that no node uses. A node without a report is
// assumed to use an even share.
func (a *ShareAllocator) unallocated(nodes int) float64 {
	sum := float64(max(0, nodes-len(a.byNode))) * EvenShare(nodes)
	for _, s := range a.sorted {
		sum += s.currentShare
	}
	return 1 - sum
}

func (a *ShareAllocator) targetShare(s *nodeShare, nodes int) float64 {
	var total float64
	for _, other := range a.sorted {
		total += other.demand
	}
	guaranteed := guaranteedShare(nodes)
	if total == 0 {
		return EvenShare(nodes)
	}
	return guaranteed + (1-guaranteed*float64(nodes))*s.demand/total
}

// HasReport reports whether the node has sent a report.
func (a *ShareAllocator) HasReport(n snipeford.NodeID) bool {
	_, ok := a.byNode[n]
	return ok
}
