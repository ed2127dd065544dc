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
	"snipeford/internal/fleet/grant"
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
	// standbyPause is the least pause after a failed call while a feeder answers
	// whose rows are old: the store fails it too, and all nodes together would
	// ask in vain. It is below the age at which keys are not honoured any more.
	standbyPause = 2 * time.Second
	// fedPause is how often a node that is fed looks whether it still is.
	fedPause = 100 * time.Millisecond
	// expireEvery is how often rows that stayed missing are dropped.
	expireEvery = 250 * time.Millisecond
)

// follower keeps the directory up to date.
type follower struct {
	feed     snipeford.Feed
	registry snipeford.RowDecoder
	timer    *timer.Clock
	fresh    *freshness.Tracker
	log      *decision.Log
	changed  func(*directory.View)
	// fed reports whether another node brings the rows; nil means never.
	fed func() bool
	// standby reports whether a feeder answers, however old its rows are; nil
	// means never.
	standby func() bool

	// down says that the last call for the operator's rows failed.
	down atomic.Bool

	mu    sync.Mutex
	state directory.State
	// raw holds the rows of each collection, for other nodes.
	raw         map[snipeford.Collection]*rows
	subscribers map[int]func(grant.Rows)
	subscribed  int
	view        atomic.Pointer[directory.View]
}

// rows are the rows of one collection as of a version of the store.
type rows struct {
	version uint64
	known   bool
	values  map[string][]byte
}

// current returns the newest view; it is never nil.
func (f *follower) current() *directory.View {
	if v := f.view.Load(); v != nil {
		return v
	}
	return &directory.View{}
}

// course is how far the reading of one collection has come.
type course struct {
	collection snipeford.Collection
	// wait is how long the store may wait for changes.
	wait time.Duration
	// whole asks for all rows.
	whole bool
	// lost says that the last call failed, and pause how long to wait then.
	lost  bool
	pause time.Duration
	// fed says that another node brought the rows at the last look.
	fed bool
}

// follow reads a collection until ctx ends: a snapshot first, then its changes.
func (f *follower) follow(ctx context.Context, c snipeford.Collection, wait time.Duration) error {
	at := &course{collection: c, wait: wait, whole: true, pause: firstPause}
	for ctx.Err() == nil {
		before := at.fed
		at.fed = f.fed != nil && f.fed()
		if at.fed || f.leaveToOperatorRows(c, before) {
			f.timer.Sleep(ctx, fedPause)
			at.whole = false
			continue
		}
		f.turn(ctx, at)
	}
	return nil
}

// turn makes one call and takes its answer in.
func (f *follower) turn(ctx context.Context, at *course) {
	sent := f.timer.SinceBoot()
	version, known := f.version(at.collection)
	batch, err := f.read(ctx, at, version, known)
	switch {
	case ctx.Err() != nil:
	case errors.Is(err, snipeford.ErrHistoryGone):
		f.log.Info("history of the store is gone", "Collection", at.collection, "Version", version)
		at.whole = true
		if f.standby != nil && f.standby() {
			// The feeder reads all rows anyhow and brings them.
			f.timer.Sleep(ctx, standbyPause)
		}
	case err != nil:
		f.failed(at.collection, err, at.lost)
		at.lost = true
		f.noteOutage(at.collection, true)
		f.timer.Sleep(ctx, f.pauseFor(at.pause))
		at.pause = min(2*at.pause, longestPause)
	default:
		if at.lost {
			f.log.Info("store answers again", "Collection", at.collection, "Version", batch.Version)
		}
		at.whole, at.pause, at.lost = false, firstPause, false
		f.noteOutage(at.collection, false)
		f.apply(at.collection, batch, sent)
	}
}

// read makes the call that comes next.
func (f *follower) read(ctx context.Context, at *course, version uint64, known bool) (snipeford.Batch, error) {
	switch {
	case at.whole || !known:
		return f.feed.Snapshot(ctx, at.collection)
	case at.lost:
		// A call that the store swallows hides its return for as long as it waits.
		return f.feed.Watch(ctx, at.collection, version, 0)
	}
	return f.feed.Watch(ctx, at.collection, version, at.wait)
}

func (f *follower) noteOutage(c snipeford.Collection, down bool) {
	if c == snipeford.OperatorRows {
		f.down.Store(down)
	}
}

// leaveToOperatorRows reports whether a collection is not read because the
// store fails: one collection that asks is enough to learn that it answers.
// Before says that the node was fed at the last look.
func (f *follower) leaveToOperatorRows(c snipeford.Collection, before bool) bool {
	if c == snipeford.OperatorRows || f.standby == nil || !f.standby() {
		return false
	}
	return before || f.down.Load()
}

// pauseFor returns how long to wait after a failed call.
func (f *follower) pauseFor(pause time.Duration) time.Duration {
	if f.standby != nil && f.standby() {
		return max(pause, standbyPause)
	}
	return pause
}

func (f *follower) failed(c snipeford.Collection, err error, before bool) {
	f.mu.Lock()
	f.state.RecordStoreFailure(f.timer.Now())
	f.mu.Unlock()
	if !before {
		f.log.Warn("store does not answer", err, "Collection", c)
	}
}

// version returns up to which version of the store a collection is known.
func (f *follower) version(c snipeford.Collection) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.rowsOf(c)
	return r.version, r.known
}

func (f *follower) rowsOf(c snipeford.Collection) *rows {
	if f.raw == nil {
		f.raw = map[snipeford.Collection]*rows{}
	}
	if f.raw[c] == nil {
		f.raw[c] = &rows{values: map[string][]byte{}}
	}
	return f.raw[c]
}

// apply takes in a batch of the store. The rows count before the confirmation
// does, so that no request sees an old view as confirmed.
func (f *follower) apply(c snipeford.Collection, b snipeford.Batch, sent snipeford.Instant) {
	f.take(c, b)
	if c == snipeford.OperatorRows {
		f.fresh.Confirm(sent, b.StoreTime)
	}
}

// bring takes in a batch that another node has applied. What is known already
// goes no further, so that rows never go round between nodes.
func (f *follower) bring(r grant.Rows) {
	if version, known := f.version(r.Collection); known && r.Batch.Version <= version {
		return
	}
	if r.StoreFailedRecently {
		f.mu.Lock()
		f.state.RecordStoreFailure(f.timer.Now())
		f.mu.Unlock()
	}
	f.take(r.Collection, r.Batch)
}

// take applies a batch and passes it on, unless newer rows are known already.
func (f *follower) take(c snipeford.Collection, b snipeford.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.rowsOf(c)
	if known.known && b.Version < known.version {
		return
	}
	known.version, known.known = b.Version, known.known || b.Snapshot
	if len(b.Changes) == 0 && !b.Snapshot {
		return
	}
	known.update(b)
	for _, fault := range f.state.Apply(f.timer.Now(), c, b, f.registry) {
		f.log.Warn("row not understood", fault.Err, "Collection", c, "Key", fault.Key)
	}
	f.publish()
	for _, push := range f.subscribers {
		push(grant.Rows{Collection: c, Batch: b, StoreFailedRecently: f.state.StoreFailedRecently(f.timer.Now())})
	}
}

func (r *rows) update(b snipeford.Batch) {
	if b.Snapshot {
		clear(r.values)
	}
	for _, change := range b.Changes {
		if change.Removed {
			delete(r.values, change.Key)
			continue
		}
		r.values[change.Key] = change.Value
	}
}

// subscribe pushes all rows that are known, and then each change.
func (f *follower) subscribe(push func(grant.Rows)) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, r := range f.raw {
		if r.known {
			push(grant.Rows{Collection: c, Batch: r.batch()})
		}
	}
	if f.subscribers == nil {
		f.subscribers = map[int]func(grant.Rows){}
	}
	f.subscribed++
	id := f.subscribed
	f.subscribers[id] = push
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscribers, id)
	}
}

func (r *rows) batch() snipeford.Batch {
	b := snipeford.Batch{Snapshot: true, Version: r.version}
	for key, value := range r.values {
		b.Changes = append(b.Changes, snipeford.Change{Key: key, Value: value})
	}
	return b
}

// publish makes the state's view the current one. The lock is held.
func (f *follower) publish() {
	old, v := f.current(), f.state.View()
	f.view.Store(v)
	if v.Plan != nil && (old.Plan == nil || old.Plan.Version != v.Plan.Version) {
		f.log.Info("routing in force", "Version", v.Plan.Version)
	}
	f.logUpstreams(old, v)
	f.changed(v)
}

func (f *follower) logUpstreams(old, v *directory.View) {
	for name, list := range v.Usable {
		if len(list) != len(old.Usable[name]) {
			f.log.Info("usable upstreams changed", "Service", name, "From", len(old.Usable[name]), "To", len(list))
		}
	}
	for name, list := range old.Usable {
		if _, ok := v.Usable[name]; !ok {
			f.log.Info("usable upstreams changed", "Service", name, "From", len(list), "To", 0)
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
