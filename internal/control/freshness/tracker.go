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
	// minOffset is a lower bound of the local clock minus the store's clock, in an era
	// of the store. The store responds to a call no earlier than the call is sent, so
	// the greatest difference of send time and store time of all calls is such a bound.
	minOffset   time.Duration
	offsetKnown bool
	era         snipeford.Era
}

// Response is a response of the store that the node has applied. Sent and Received are
// local instants, and StoreTime is the store's clock when it responded.
type Response struct {
	Sent, Received snipeford.Instant
	Era            snipeford.Era
	StoreTime      time.Duration
}

// Confirm records that the node's copy is complete up to the store time of a response.
// Calls must not overlap.
func (t *Tracker) Confirm(r Response) {
	offset := time.Duration(r.Sent) - r.StoreTime
	// The clock of a store that comes back from a copy may have another offset. A
	// response from the future shows that the clock has jumped ahead.
	jumped := snipeford.Instant(r.StoreTime+t.minOffset) > r.Received
	if !t.offsetKnown || r.Era != t.era || jumped || offset > t.minOffset {
		t.minOffset, t.offsetKnown, t.era = offset, true, r.Era
	}
	t.AdvanceTo(snipeford.Instant(r.StoreTime + t.minOffset))
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
