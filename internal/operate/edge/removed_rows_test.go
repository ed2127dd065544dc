package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"snipeford"
)

var (
	upstreamRow = []snipeford.Change{{Key: "u", Value: []byte(`{"Service":"s"}`)}}
	removedRow  = []snipeford.Change{{Key: "u", Removed: true}}
)

// newFeederPair returns a follower with an upstream and one that it feeds, a second after
// their start.
func newFeederPair(t *testing.T, era snipeford.Era) (f, fed *follower) {
	f, fed = newFollower(&scriptedFeed{}), newFollower(&scriptedFeed{})
	fed.timer = f.timer
	f.timer.Now()
	time.Sleep(time.Second)
	t.Cleanup(f.subscribe(nil, fed.applyPeerRows))
	f.applyStoreRows(snipeford.UpstreamRows, snipeford.Batch{Era: era, Snapshot: true, Version: 1, Changes: upstreamRow}, f.timer.SinceBoot())
	return f, fed
}

// fail records a failed call, after which the next response ends an outage.
func (f *follower) fail() {
	f.recordFailure(snipeford.OperatorRows, snipeford.ErrUnavailable, false, f.timer.SinceBoot())
}

// TestRowRemovedAfterReturnOfStore guards against requests to an upstream that leaves
// without notice once the store is back: a row that was there in a response after the
// return has not expired in the outage.
func TestRowRemovedAfterReturnOfStore(t *testing.T) {
	tests := []struct {
		name   string
		era    snipeford.Era
		before snipeford.Batch
	}{
		{"no changes in the outage", 0, snipeford.Batch{Version: 2}},
		{"changes in the outage", 0, snipeford.Batch{Version: 2, Changes: upstreamRow}},
		{"snapshot after the outage", 0, snipeford.Batch{Snapshot: true, Version: 2, Changes: upstreamRow}},
		{"copy", 1, snipeford.Batch{Era: 2, Snapshot: true, Version: 1, Changes: upstreamRow}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, fed := newFeederPair(t, tt.era)
				f.fail()
				time.Sleep(time.Second)
				f.applyStoreRows(snipeford.UpstreamRows, tt.before, f.timer.SinceBoot())
				assertUsable(t, 1, f, fed)
				time.Sleep(500 * time.Millisecond)
				f.applyStoreRows(snipeford.UpstreamRows, snipeford.Batch{Era: tt.before.Era, Version: 3, Changes: removedRow}, f.timer.SinceBoot())
				assertUsable(t, 0, f, fed)
			})
		})
	}
}

// TestRowExpiredInOutage guards against upstreams that are given up because their rows
// expired while the store was away.
func TestRowExpiredInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fed := newFeederPair(t, 0)
		f.fail()
		time.Sleep(time.Second)
		f.applyStoreRows(snipeford.MemberRows, snipeford.Batch{Snapshot: true, Version: 2}, f.timer.SinceBoot())
		f.applyStoreRows(snipeford.UpstreamRows, snipeford.Batch{Version: 3, Changes: removedRow}, f.timer.SinceBoot())
		assertUsable(t, 1, f, fed)
	})
}

// TestLateFailureIsNoOutage guards against requests to an upstream that leaves without
// notice, because a call that the outage had cut off failed after the store's return.
func TestLateFailureIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, fed := newFeederPair(t, 0)
		sentInOutage := f.timer.SinceBoot()
		f.fail()
		time.Sleep(time.Second)
		f.applyStoreRows(snipeford.UpstreamRows, snipeford.Batch{Version: 2}, f.timer.SinceBoot())
		time.Sleep(3 * time.Second)
		f.recordFailure(snipeford.MemberRows, snipeford.ErrUnavailable, false, sentInOutage)
		f.applyStoreRows(snipeford.UpstreamRows, snipeford.Batch{Version: 3, Changes: removedRow}, f.timer.SinceBoot())
		assertUsable(t, 0, f, fed)
	})
}
