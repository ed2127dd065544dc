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

// TestRowRemovedBeforeSubscription guards against requests to an upstream whose row was
// removed after the store's return, at a node that had read it after the return, too, and
// then subscribed to a feeder.
func TestRowRemovedBeforeSubscription(t *testing.T) {
	tests := []struct {
		name       string
		era        snipeford.Era
		hasReadNow bool
		want       int
	}{
		{"read after the outage", 0, true, 0},
		{"read before the outage", 0, false, 1},
		{"read after the return from a copy", 1, true, 0},
		{"read before the return from a copy", 1, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				feeder, _ := newFeederPair(t, tt.era)
				node := newFollower(&scriptedFeed{})
				node.timer = feeder.timer
				read := func(f *follower, b snipeford.Batch) {
					f.applyStoreRows(snipeford.UpstreamRows, b, f.timer.SinceBoot())
				}
				before := snipeford.Batch{Era: tt.era, Snapshot: true, Version: 1, Changes: upstreamRow}
				after := before
				after.Version = 2
				if tt.era > 0 {
					after.Era = tt.era + 1
				}
				read(node, before)
				feeder.fail()
				node.fail()
				time.Sleep(time.Second)
				if tt.hasReadNow {
					read(node, after)
				}
				read(feeder, after)
				read(feeder, snipeford.Batch{Era: after.Era, After: 2, Version: 3, Changes: removedRow})
				defer feeder.subscribe(node.revisions(), node.applyPeerRows)()
				assertUsable(t, tt.want, node)
			})
		})
	}
}
