// Package freshness tells how old a node's knowledge of the operators' rows may
// be at most. It compares no clocks: it bounds the store's clock by its own.
package freshness

import (
	"sync/atomic"
	"time"

	"snipeford"
)

// Tracker holds the instant up to which the operators' rows are known. Its zero
// value knows nothing. Instants count time in suspension.
type Tracker struct {
	confirmed atomic.Int64
	// lead is the greatest difference of the instant of a call and the store's
	// clock in its answer. The store's clock stood at its answer's time no
	// earlier than that after the own clock's zero.
	lead  time.Duration
	known bool
}

// Confirm takes in an answer of the store to a call that left at sent: its rows
// are complete up to the store's time. Only one goroutine may call it.
func (c *Tracker) Confirm(sent snipeford.Instant, storeTime time.Duration) {
	lead := time.Duration(sent) - storeTime
	if !c.known || lead > c.lead {
		c.lead, c.known = lead, true
	}
	c.AdvanceTo(snipeford.Instant(storeTime + c.lead))
}

// AdvanceTo takes in a confirmation by another way, such as a peer's word. It never
// lowers what is known.
func (c *Tracker) AdvanceTo(at snipeford.Instant) {
	for {
		old := c.confirmed.Load()
		if old >= int64(at) || c.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Confirmed returns the instant up to which the rows are known, zero for never.
func (c *Tracker) Confirmed() snipeford.Instant { return snipeford.Instant(c.confirmed.Load()) }

// Age returns how old the knowledge is, and false where there is none.
func (c *Tracker) Age(now snipeford.Instant) (time.Duration, bool) {
	at := c.Confirmed()
	return now.Sub(at), at > 0
}
