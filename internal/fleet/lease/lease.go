// Package lease keeps a node's own lease and its view of the others'. A lease
// is a row of the platform's table that its holder rewrites. Others see it as
// lapsed after its version has stood still for a whole TTL of their own clock,
// so that no two clocks are ever compared.
package lease

import (
	"time"

	"snipeford"
)

// Times of a lease.
const (
	// TTL is how long a row must stand still before others take over.
	TTL = 6 * time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 2 * time.Second
	// SafetyMargin is how long before TTL a holder stops.
	SafetyMargin = 1 * time.Second
	// MaxReadGap is the longest time between two reads of the rows that still
	// counts as having watched them.
	MaxReadGap = 3 * time.Second
)

// Holder is the node's own lease. Its zero value holds nothing.
type Holder struct {
	held bool
	sent snipeford.Instant
}

// MarkRenewed notes a successful renewal by the instant at which it was sent.
func (o *Holder) MarkRenewed(sent snipeford.Instant) {
	o.held = true
	o.sent = max(o.sent, sent)
}

// MarkLost notes that the row was taken or released.
func (o *Holder) MarkLost() { o.held = false }

// Held reports whether no other node can yet see the lease as lapsed.
func (o *Holder) Held(now snipeford.Instant) bool { return o.held && now < o.ValidUntil() }

// ValidUntil returns when the holder has to stop.
func (o *Holder) ValidUntil() snipeford.Instant { return o.sent.Add(TTL - SafetyMargin) }

type observed struct {
	row   snipeford.LeaseRow
	since snipeford.Instant
}

// View is what a node knows of all leases. Its zero value knows none.
type View struct {
	rows map[snipeford.NodeID]observed
	read snipeford.Instant
	ever bool
}

// Update takes in a complete scan of the rows.
func (v *View) Update(now snipeford.Instant, rows []snipeford.LeaseRow) {
	watched := v.ever && now.Sub(v.read) <= MaxReadGap
	next := make(map[snipeford.NodeID]observed, len(rows))
	for _, r := range rows {
		old, ok := v.rows[r.Node]
		since := now
		if ok && watched && old.row.RowVersion == r.RowVersion {
			since = old.since
		}
		next[r.Node] = observed{r, since}
	}
	v.rows, v.read, v.ever = next, now, true
}

// Loaded reports whether the rows were ever read.
func (v *View) Loaded() bool { return v.ever }

// Live reports whether the node's lease, under that incarnation, may still be
// held. It judges as of the last read: an unread row never lapses.
func (v *View) Live(n snipeford.NodeID, inc snipeford.Incarnation) bool {
	o, ok := v.rows[n]
	return ok && o.row.Incarnation == inc && v.read.Sub(o.since) < TTL
}

// Members returns the nodes whose leases have not lapsed.
func (v *View) Members() []snipeford.Member {
	out := make([]snipeford.Member, 0, len(v.rows))
	for _, o := range v.rows {
		if v.read.Sub(o.since) < TTL {
			out = append(out, o.row.Member)
		}
	}
	return out
}
