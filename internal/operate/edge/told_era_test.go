package edge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"snipeford"
	"snipeford/internal/fleet/grant"
)

// tell applies an operators' snapshot of an era that a peer tells.
func (f *follower) tell(era snipeford.Era, version uint64, routing int) {
	f.applyPeerRows(grant.Rows{Collection: snipeford.OperatorRows, Feeder: "p", Batch: snapshotOf(era, version, routing)})
}

// TestEraThatOnlyPeerTells guards against a node that ignores the store for good since a
// peer has told it an era that the store never began.
func TestEraThatOnlyPeerTells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := runningFollower(1)
		f.timer.Now()
		apply := func(b snipeford.Batch, sent snipeford.Instant) bool {
			return f.applyStoreRows(snipeford.OperatorRows, b, sent)
		}
		apply(snapshotOf(1, 1000, 5), 0)
		time.Sleep(time.Second)
		sentBefore := f.timer.SinceBoot()
		time.Sleep(time.Second)
		f.tell(9, 10, 6)
		assertRouting(t, f, 6)
		if apply(snapshotOf(1, 1001, 7), sentBefore) {
			t.Error("got the response to an earlier call applied, want it ignored")
		}
		time.Sleep(time.Second)
		if !apply(snapshotOf(1, 1002, 8), f.timer.SinceBoot()) {
			t.Error("got the response to a later call ignored, want it applied")
		}
		assertRouting(t, f, 8)
		f.tell(9, 11, 9)
		assertRouting(t, f, 8)
		if apply(snapshotOf(9, 12, 10), f.timer.SinceBoot()); f.era != 9 {
			t.Errorf("got era %d, want 9 as the store states", f.era)
		}
	})
}

// TestToldEraIsChecked guards against a node that never asks the store for an era that a
// peer has told, because the rows of its feeder are fresh.
func TestToldEraIsChecked(t *testing.T) {
	for name, tt := range map[string]struct {
		stated snipeford.Era
		want   int
	}{"confirmed": {2, 1}, "refuted": {1, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				feed := &scriptedFeed{exhausted: make(chan struct{})}
				for range 9 {
					feed.responses = append(feed.responses, response{batch: snipeford.Batch{Era: tt.stated, Version: 20}})
				}
				f := runningFollower(1)
				f.store, f.hasFreshRows = feed, func() bool { return true }
				f.snapshotSpread = 200 * time.Millisecond
				f.timer.Now()
				time.Sleep(time.Second)
				f.tell(2, 20, 5)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if err := f.follow(ctx, snipeford.OperatorRows, time.Second); err != nil {
					t.Fatal(err)
				}
				if got := len(feed.calls); got != tt.want {
					t.Errorf("got %d calls, want %d", got, tt.want)
				}
				if f.told.era != 0 || f.era != tt.stated {
					t.Errorf("got era %d, %d to be checked, want %d and none", f.era, f.told.era, tt.stated)
				}
			})
		})
	}
}
