// Package lease tracks a node's own lease and the leases of the other nodes. A
// lease is a row of the platform's table that its holder rewrites. Other nodes
// treat it as expired once its version has not changed for a whole TTL by their
// own clock, so that clocks of different nodes are never compared.
package lease

import (
	"time"

	"snipeford"
)

// Lease timing.
const (
	// TTL is how long a row must remain unchanged before other nodes take over.
	TTL = 6 * time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 2 * time.Second
	// SafetyMargin is how long before the end of the TTL the holder stops using
	// the lease.
	SafetyMargin = 1 * time.Second
	// MaxReadGap is the longest time between two reads of the rows that counts
	// as continuous observation.
	MaxReadGap = 3 * time.Second
)

// Holder tracks the node's own lease. The zero value holds no lease.
type Holder struct {
	held        bool
	renewalSent snipeford.Instant
}

// MarkRenewed records a successful renewal that was sent at the given instant.
func (h *Holder) MarkRenewed(sent snipeford.Instant) {
	h.held = true
	h.renewalSent = max(h.renewalSent, sent)
}

// MarkLost records that the row was taken by another process or released.
func (h *Holder) MarkLost() { h.held = false }

// Held reports whether the lease is held and no other node can treat it as
// expired yet.
func (h *Holder) Held(now snipeford.Instant) bool { return h.held && now < h.ValidUntil() }

// ValidUntil returns when the holder has to stop using the lease.
func (h *Holder) ValidUntil() snipeford.Instant { return h.renewalSent.Add(TTL - SafetyMargin) }

type observedRow struct {
	row            snipeford.LeaseRow
	unchangedSince snipeford.Instant
}

// View holds the leases of all nodes as of the last read of their rows. The zero
// value holds none.
type View struct {
	rows     map[snipeford.NodeID]observedRow
	lastRead snipeford.Instant
	loaded   bool
}

// Update replaces the view with a complete scan of the rows. After a gap longer
// than MaxReadGap, all rows count as just changed.
func (v *View) Update(now snipeford.Instant, rows []snipeford.LeaseRow) {
	continuous := v.loaded && now.Sub(v.lastRead) <= MaxReadGap
	next := make(map[snipeford.NodeID]observedRow, len(rows))
	for _, r := range rows {
		previous, ok := v.rows[r.Node]
		unchangedSince := now
		if ok && continuous && previous.row.RowVersion == r.RowVersion {
			unchangedSince = previous.unchangedSince
		}
		next[r.Node] = observedRow{r, unchangedSince}
	}
	v.rows, v.lastRead, v.loaded = next, now, true
}

// Loaded reports whether the rows were ever read.
func (v *View) Loaded() bool { return v.loaded }

// Live reports whether the given incarnation of the node may still hold its
// lease, as of the last read. Without further reads, no lease expires.
func (v *View) Live(n snipeford.NodeID, inc snipeford.Incarnation) bool {
	o, ok := v.rows[n]
	return ok && o.row.Incarnation == inc && v.lastRead.Sub(o.unchangedSince) < TTL
}

// Members returns the nodes whose leases have not expired.
func (v *View) Members() []snipeford.Member {
	out := make([]snipeford.Member, 0, len(v.rows))
	for _, o := range v.rows {
		if v.lastRead.Sub(o.unchangedSince) < TTL {
			out = append(out, o.row.Member)
		}
	}
	return out
}
