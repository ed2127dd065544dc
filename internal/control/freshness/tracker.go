// Package freshness bounds the age of a node's copy of the operators' rows. The
// local clock and the store's clock need not be synchronized: the offset
// between them is bounded by the send times of calls to the store.
package freshness

import (
	"sync/atomic"
	"time"

	"snipeford"
)

// Tracker holds the local instant up to which the node's copy of the operators'
// rows is known to be complete. Its zero value has no confirmed instant.
// Instants include time in which the VM was suspended, as timer.Clock.SinceBoot
// does.
type Tracker struct {
	confirmed atomic.Int64
	// minOffset is a lower bound of the local clock minus the store's clock. The
	// store responds to a call no earlier than the call is sent, so the greatest
	// difference of send time and store time of all calls is such a bound.
	minOffset   time.Duration
	offsetKnown bool
}

// Confirm records the store's response to a call that was sent at sent. The rows
// of the response are complete up to storeTime on the store's clock. Only one
// goroutine may call Confirm.
func (t *Tracker) Confirm(sent snipeford.Instant, storeTime time.Duration) {
	offset := time.Duration(sent) - storeTime
	if !t.offsetKnown || offset > t.minOffset {
		t.minOffset, t.offsetKnown = offset, true
	}
	t.AdvanceTo(snipeford.Instant(storeTime + t.minOffset))
}

// AdvanceTo raises the confirmed instant to at, for confirmations that come
// from another source such as a peer. It never lowers the confirmed instant.
func (t *Tracker) AdvanceTo(at snipeford.Instant) {
	for {
		old := t.confirmed.Load()
		if old >= int64(at) || t.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Confirmed returns the instant up to which the rows are known to be complete,
// or zero before the first confirmation.
func (t *Tracker) Confirmed() snipeford.Instant { return snipeford.Instant(t.confirmed.Load()) }

// Age returns the time since the confirmed instant, and false before the first
// confirmation.
func (t *Tracker) Age(now snipeford.Instant) (time.Duration, bool) {
	at := t.Confirmed()
	return now.Sub(at), at > 0
}
