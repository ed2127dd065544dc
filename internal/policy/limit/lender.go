package limit

import (
	"time"

	"snipeford"
)

// Constants of lending.
const (
	// floorPart is the part of an even share that a node keeps without asking.
	floorPart = 0.5
	// settle is how long a new lender listens before it lends more.
	settle = 3 * time.Second
	// smoothing is the weight of the newest report of use.
	smoothing = 0.3
)

// EvenShare returns the share that a node uses before anything was lent to it.
func EvenShare(nodes int) float64 { return 1 / float64(max(nodes, 1)) }

// floor returns the share that a node keeps without asking.
func floor(nodes int) float64 { return floorPart * EvenShare(nodes) }

// DisconnectedShare returns the share of a node that has lost touch with the lender.
func DisconnectedShare(last float64, nodes int) float64 { return min(last, EvenShare(nodes)) }

// borrower is what a lender knows of one node. InForce is the highest share
// that the node may be using.
type borrower struct {
	wanted  float64
	inForce float64
}

// ShareAllocator divides one organisation's limits between the nodes by what they
// want. The sum of the shares in force never exceeds one: a share grows only
// by what other nodes have confirmed to have given back.
type ShareAllocator struct {
	since     snipeford.Instant
	borrowers map[snipeford.NodeID]*borrower
}

// NewShareAllocator returns a lender that listens first.
func NewShareAllocator(now snipeford.Instant) *ShareAllocator {
	return &ShareAllocator{since: now, borrowers: map[snipeford.NodeID]*borrower{}}
}

// Report takes in what a node wanted, in tokens since its last report, and the
// share that it uses.
func (l *ShareAllocator) Report(n snipeford.NodeID, wanted snipeford.Tokens, inForce float64) {
	b, ok := l.borrowers[n]
	if !ok {
		b = &borrower{}
		l.borrowers[n] = b
	}
	b.wanted += smoothing * (float64(wanted) - b.wanted)
	b.inForce = inForce
}

// Retain forgets the nodes that are no longer members.
func (l *ShareAllocator) Retain(live func(snipeford.NodeID) bool) {
	for n := range l.borrowers {
		if !live(n) {
			delete(l.borrowers, n)
		}
	}
}

// Grant returns the share that the node may use from now on.
func (l *ShareAllocator) Grant(now snipeford.Instant, n snipeford.NodeID, nodes int) float64 {
	b, ok := l.borrowers[n]
	if !ok {
		return EvenShare(nodes)
	}
	if now.Sub(l.since) < settle {
		return b.inForce
	}
	target := l.target(b, nodes)
	if target > b.inForce {
		target = min(target, b.inForce+max(0, l.free(nodes)))
	}
	b.inForce = max(b.inForce, target)
	return target
}

// free returns what no node uses. Nodes that were not heard use an even share.
func (l *ShareAllocator) free(nodes int) float64 {
	sum := float64(max(0, nodes-len(l.borrowers))) * EvenShare(nodes)
	for _, b := range l.borrowers {
		sum += b.inForce
	}
	return 1 - sum
}

func (l *ShareAllocator) target(b *borrower, nodes int) float64 {
	var all float64
	for _, other := range l.borrowers {
		all += other.wanted
	}
	least := floor(nodes)
	if all == 0 {
		return EvenShare(nodes)
	}
	return least + (1-least*float64(nodes))*b.wanted/all
}

// HasReport reports whether the node has reported any use.
func (l *ShareAllocator) HasReport(n snipeford.NodeID) bool {
	_, ok := l.borrowers[n]
	return ok
}
