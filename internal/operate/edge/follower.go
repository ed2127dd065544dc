package edge

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/freshness"
	"snipeford/internal/control/timer"
	"snipeford/internal/operate/decision"
)

const (
	// operatorWait is how long the store may wait with an answer about the
	// operators' rows. Each answer confirms that no key was taken away, so that
	// it has to stay well below the bound of a revocation.
	operatorWait = 1500 * time.Millisecond
	// upstreamWait is the same for upstreams: within it a connection that went
	// silent is noticed.
	upstreamWait = 2 * time.Second
	// memberWait is the same for nodes; a new one waits that long at most to
	// become a home.
	memberWait = 10 * time.Second
	// firstPause and longestPause bound the pause after a failed call.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// expireEvery is how often rows that stayed missing are dropped.
	expireEvery = 250 * time.Millisecond
)

// follower keeps the directory up to date.
type follower struct {
	feed     snipeford.Feed
	registry snipeford.Registry
	timer    *timer.Service
	fresh    *freshness.Clock
	log      *decision.Log
	changed  func(*directory.View)

	mu    sync.Mutex
	state directory.State
	view  atomic.Pointer[directory.View]
}

// current returns the newest view; it is never nil.
func (f *follower) current() *directory.View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &directory.View{}
}

// follow reads a collection until ctx ends: a snapshot first, then its changes.
func (f *follower) follow(ctx context.Context, c snipeford.Collection, wait time.Duration) error {
	version, whole, pause, lost := uint64(0), true, firstPause, false
	for ctx.Err() == nil {
		sent := f.timer.Elapsed()
		batch, err := f.read(ctx, c, whole, version, wait)
		switch {
		case errors.Is(err, snipeford.ErrHistoryGone):
			f.log.Believed("history of the store is gone", "Collection", c, "Version", version)
			whole = true
			continue
		case err != nil:
			if ctx.Err() != nil {
				return nil
			}
			f.failed(c, err, lost)
			lost = true
			f.timer.Sleep(ctx, pause)
			pause = min(2*pause, longestPause)
			continue
		}
		if lost {
			f.log.Believed("store answers again", "Collection", c, "Version", batch.Version)
		}
		version, whole, pause, lost = batch.Version, false, firstPause, false
		f.apply(c, batch, sent)
	}
	return nil
}

func (f *follower) read(ctx context.Context, c snipeford.Collection, whole bool, version uint64, wait time.Duration) (snipeford.Batch, error) {
	if whole {
		return f.feed.Snapshot(ctx, c)
	}
	return f.feed.Follow(ctx, c, version, wait)
}

func (f *follower) failed(c snipeford.Collection, err error, before bool) {
	f.mu.Lock()
	f.state.Failed(f.timer.Now())
	f.mu.Unlock()
	if !before {
		f.log.Failed("store does not answer", err, "Collection", c)
	}
}

// apply takes in a batch. The rows count before the confirmation does, so that
// no request sees an old view as confirmed.
func (f *follower) apply(c snipeford.Collection, b snipeford.Batch, sent snipeford.Instant) {
	if len(b.Changes) > 0 || b.Whole {
		f.mu.Lock()
		faults := f.state.Apply(f.timer.Now(), c, b, f.registry)
		f.publish()
		f.mu.Unlock()
		for _, fault := range faults {
			f.log.Failed("row not understood", fault.Err, "Collection", c, "Key", fault.Key)
		}
	}
	if c == snipeford.OperatorRows {
		f.fresh.Confirm(sent, b.StoreTime)
	}
}

// publish makes the state's view the current one. The lock is held.
func (f *follower) publish() {
	old, v := f.current(), f.state.View()
	f.view.Store(v)
	if v.Plan != nil && (old.Plan == nil || old.Plan.Version != v.Plan.Version) {
		f.log.Believed("routing in force", "Version", v.Plan.Version)
	}
	f.logUpstreams(old, v)
	f.changed(v)
}

func (f *follower) logUpstreams(old, v *directory.View) {
	for name, list := range v.Usable {
		if len(list) != len(old.Usable[name]) {
			f.log.Believed("usable upstreams changed", "Service", name, "From", len(old.Usable[name]), "To", len(list))
		}
	}
	for name, list := range old.Usable {
		if _, ok := v.Usable[name]; !ok {
			f.log.Believed("usable upstreams changed", "Service", name, "From", len(list), "To", 0)
		}
	}
}

// expire drops rows that stayed missing after an outage.
func (f *follower) expire(ctx context.Context) error {
	ticks := f.timer.Every(ctx, expireEvery)
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticks:
			f.mu.Lock()
			if f.state.Expire(now) {
				f.publish()
			}
			f.mu.Unlock()
		}
	}
}
