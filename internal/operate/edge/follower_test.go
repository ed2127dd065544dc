package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/freshness"
	"snipeford/internal/control/timer"
	"snipeford/internal/fleet/grant"
	"snipeford/internal/operate/decision"
)

// scriptedFeed is a feed that returns one of the given responses for each call.
// Once it has none left, it closes exhausted and its calls block.
type scriptedFeed struct {
	mu        sync.Mutex
	responses []response
	calls     []string
	timeouts  []time.Duration
	exhausted chan struct{}
}

type response struct {
	batch snipeford.Batch
	err   error
}

func (s *scriptedFeed) next(ctx context.Context, call string) (snipeford.Batch, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.responses) == 0 {
		s.mu.Unlock()
		s.signalExhausted()
		<-ctx.Done()
		return snipeford.Batch{}, fmt.Errorf("no responses left: %w", snipeford.ErrUnavailable)
	}
	defer s.mu.Unlock()
	a := s.responses[0]
	s.responses = s.responses[1:]
	return a.batch, a.err
}

func (s *scriptedFeed) signalExhausted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.exhausted != nil {
		close(s.exhausted)
		s.exhausted = nil
	}
}

func (s *scriptedFeed) Snapshot(ctx context.Context, _ snipeford.Collection) (snipeford.Batch, error) {
	return s.next(ctx, "snapshot")
}

func (s *scriptedFeed) Watch(ctx context.Context, _ snipeford.Collection, after uint64, timeout time.Duration) (snipeford.Batch, error) {
	s.mu.Lock()
	s.timeouts = append(s.timeouts, timeout)
	s.mu.Unlock()
	return s.next(ctx, fmt.Sprintf("after %d", after))
}

func (s *scriptedFeed) Put(context.Context, string, []byte) (snipeford.Era, error) { return 0, nil }

// jsonDecoder decodes upstreams and routings that are encoded as JSON of the
// project's own types.
type jsonDecoder struct{}

func (jsonDecoder) Upstream(key string, value []byte) (snipeford.Upstream, bool) {
	var u snipeford.Upstream
	err := json.Unmarshal(value, &u)
	u.ID = snipeford.UpstreamID(key)
	return u, err == nil
}

func (jsonDecoder) Routing(value []byte) (snipeford.Routing, error) {
	var r snipeford.Routing
	err := json.Unmarshal(value, &r)
	return r, err
}

func (jsonDecoder) IsRoutingKey(string) bool { return true }

func (jsonDecoder) OutDomain(string) (snipeford.FailureDomain, bool) { return "", false }

func routingRow(n int) []snipeford.Change {
	return []snipeford.Change{{Key: "routing", Value: fmt.Appendf(nil, `{"Version":%d}`, n)}}
}

// newFollower returns a follower that reads from feed and never writes its log.
func newFollower(feed snipeford.Feed) *follower {
	clock := &timer.Clock{}
	return &follower{
		store: feed, decoder: jsonDecoder{}, timer: clock, tracker: &freshness.Tracker{},
		log: decision.New("n", log.InfoLevel, clock), onChange: func(*directory.View) {},
	}
}

func runFollower(t *testing.T, responses ...response) (*follower, *scriptedFeed) {
	t.Helper()
	feed := &scriptedFeed{responses: responses, exhausted: make(chan struct{})}
	f := newFollower(feed)
	ctx, cancel := context.WithCancel(context.Background())
	exhausted := feed.exhausted
	done := make(chan error, 1)
	go func() { done <- f.follow(ctx, snipeford.OperatorRows, time.Second) }()
	select {
	case <-exhausted:
	case <-time.After(5 * time.Second):
		t.Fatal("got responses left after 5 s, want all of them read")
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return f, feed
}

func assertCalls(t *testing.T, got []string, want ...string) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got calls %v, want %v", got, want)
	}
}

func TestFollow(t *testing.T) {
	t.Run("reads a snapshot, then the changes", func(t *testing.T) {
		f, feed := runFollower(t,
			response{batch: snipeford.Batch{Snapshot: true, Version: 5, Changes: routingRow(1)}},
			response{batch: snipeford.Batch{Version: 8, Changes: routingRow(2)}},
		)
		assertCalls(t, feed.calls, "snapshot", "after 5", "after 8")
		if got := f.current().Plan.Version; got != 2 {
			t.Errorf("got version %d, want 2", got)
		}
	})
	t.Run("reads a snapshot if the history is gone", func(t *testing.T) {
		_, feed := runFollower(t,
			response{batch: snipeford.Batch{Snapshot: true, Version: 5, Changes: routingRow(1)}},
			response{err: snipeford.ErrHistoryGone},
			response{batch: snipeford.Batch{Snapshot: true, Version: 9, Changes: routingRow(3)}},
		)
		assertCalls(t, feed.calls, "snapshot", "after 5", "snapshot", "after 9")
	})
	t.Run("continues from the same version after an outage", func(t *testing.T) {
		f, feed := runFollower(t,
			response{batch: snipeford.Batch{Snapshot: true, Version: 5, Changes: routingRow(4)}},
			response{err: snipeford.ErrUnavailable},
			response{batch: snipeford.Batch{Version: 6}},
		)
		assertCalls(t, feed.calls, "snapshot", "after 5", "after 5", "after 6")
		if got := f.current().Plan.Version; got != 4 {
			t.Errorf("got version %d, want 4 during and after the outage", got)
		}
	})
	t.Run("a response without changes confirms the rows", func(t *testing.T) {
		f, _ := runFollower(t,
			response{batch: snipeford.Batch{Snapshot: true, Version: 5, Changes: routingRow(1), StoreTime: time.Second}},
			response{batch: snipeford.Batch{Version: 5, StoreTime: 2 * time.Second}},
		)
		if age, ok := f.tracker.Age(f.timer.SinceBoot()); !ok || age > time.Second {
			t.Errorf("got age %v %v, want at most 1s", age, ok)
		}
	})
}

func TestLogNeverBlocks(t *testing.T) {
	clock := &timer.Clock{}
	l := decision.New("n", log.InfoLevel, clock)
	start := clock.Now()
	for range 20_000 {
		l.Decided("answer", "r")
	}
	if took := clock.Now().Sub(start); took > 5*time.Second || l.Dropped() == 0 {
		t.Errorf("got %v and %d dropped lines without a reader, want no wait and some dropped", took, l.Dropped())
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := l.Run(ctx, io.Discard); err != nil {
		t.Error(err)
	}
}

func TestSubscribe(t *testing.T) {
	f, _ := runFollower(t,
		response{batch: snipeford.Batch{Snapshot: true, Version: 5, Changes: routingRow(1)}},
		response{batch: snipeford.Batch{Version: 8, Changes: routingRow(2)}},
	)
	other := &follower{decoder: jsonDecoder{}, timer: f.timer, tracker: &freshness.Tracker{}, log: f.log, onChange: func(*directory.View) {}}
	cancel := f.subscribe(nil, other.applyPeerRows)
	if got := other.current().Plan.Version; got != 2 {
		t.Errorf("got version %d from the present rows, want 2", got)
	}
	f.applyBatch(snipeford.OperatorRows, snipeford.Batch{Version: 9, Changes: routingRow(3)}, "", 0)
	if got := other.current().Plan.Version; got != 3 {
		t.Errorf("got version %d from a change, want 3", got)
	}
	t.Run("older rows change nothing", func(t *testing.T) {
		other.applyPeerRows(grant.Rows{Collection: snipeford.OperatorRows, Batch: snipeford.Batch{Snapshot: true, Version: 4}})
		if got := other.known(snipeford.OperatorRows).Version; got != 9 {
			t.Errorf("got rows of version %d, want 9", got)
		}
	})
	t.Run("known rows are not sent again", func(t *testing.T) {
		defer other.subscribe(nil, f.applyPeerRows)()
		pushed := 0
		defer other.subscribe(nil, func(grant.Rows) { pushed++ })()
		pushed = 0
		f.applyBatch(snipeford.OperatorRows, snipeford.Batch{Version: 9, Changes: routingRow(3)}, "", 0)
		if pushed != 0 {
			t.Errorf("got %d pushes of known rows, want none", pushed)
		}
	})
	t.Run("no rows after the subscription is cancelled", func(t *testing.T) {
		cancel()
		f.applyBatch(snipeford.OperatorRows, snipeford.Batch{Version: 10, Changes: routingRow(4)}, "", 0)
		if got := other.current().Plan.Version; got != 3 {
			t.Errorf("got version %d, want 3", got)
		}
	})
}

// TestExpiredRowsFromFeeder guards against an outage of the store in which all
// upstream rows expire: nodes that receive their rows from a feeder have to keep
// the upstreams for a while, as the feeder does.
func TestExpiredRowsFromFeeder(t *testing.T) {
	row := []snipeford.Change{{Key: "u", Value: []byte(`{"Service":"s"}`)}}
	f, _ := runFollower(t, response{batch: snipeford.Batch{Snapshot: true, Version: 5, Changes: routingRow(1)}})
	f.applyBatch(snipeford.UpstreamRows, snipeford.Batch{Snapshot: true, Version: 6, Changes: row}, "", 0)
	other := &follower{decoder: jsonDecoder{}, timer: f.timer, tracker: &freshness.Tracker{}, log: f.log, onChange: func(*directory.View) {}}
	defer f.subscribe(nil, other.applyPeerRows)()
	f.recordFailure(snipeford.UpstreamRows, snipeford.ErrUnavailable, false, f.timer.SinceBoot())
	f.applyStoreRows(snipeford.UpstreamRows, snipeford.Batch{Version: 7, Changes: []snipeford.Change{{Key: "u", Removed: true}}}, f.timer.SinceBoot())
	for name, one := range map[string]*follower{"feeder": f, "fed": other} {
		if got := len(one.current().Usable["s"]); got != 1 {
			t.Errorf("%s: got %d usable upstreams after the outage, want 1", name, got)
		}
	}
}

// TestStoreOutageWithManyNodes guards against all nodes calling the store during
// an outage: if the store does not respond to the feeders, it does not respond to
// the nodes that receive their rows from them either.
func TestStoreOutageWithManyNodes(t *testing.T) {
	for _, c := range []struct {
		name          string
		feederHealthy bool
		want          int
	}{
		{"retries often without a healthy feeder", false, 3},
		{"calls once with a healthy feeder", true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			down := response{err: snipeford.ErrUnavailable}
			s := &scriptedFeed{responses: []response{down, down, down}, exhausted: make(chan struct{})}
			f := newFollower(s)
			f.feederHealthy = func() bool { return c.feederHealthy }
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if err := f.follow(ctx, snipeford.OperatorRows, 0); err != nil {
				t.Fatal(err)
			}
			if got := min(len(s.calls), 3); got != c.want {
				t.Errorf("got %d calls in a second, want %d", got, c.want)
			}
		})
	}
}

func TestOtherRowsWaitForOperatorRows(t *testing.T) {
	s := &scriptedFeed{exhausted: make(chan struct{})}
	f := newFollower(s)
	f.feederHealthy = func() bool { return true }
	f.operatorRowsFailed.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if err := f.follow(ctx, snipeford.UpstreamRows, 0); err != nil {
		t.Fatal(err)
	}
	assertCalls(t, s.calls)
	t.Run("reads them once the store responds", func(t *testing.T) {
		f.operatorRowsFailed.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		if err := f.follow(ctx, snipeford.UpstreamRows, 0); err != nil {
			t.Fatal(err)
		}
		if len(s.calls) == 0 {
			t.Error("got no call, want one")
		}
	})
}

// TestHistoryGoneWithManyNodes guards against all nodes reading a snapshot at once
// when the store drops its history, which would exceed the store's rate limit and
// the nodes' memory.
func TestHistoryGoneWithManyNodes(t *testing.T) {
	s := &scriptedFeed{responses: []response{{batch: snipeford.Batch{Snapshot: true, Version: 5}}, {err: snipeford.ErrHistoryGone}}, exhausted: make(chan struct{})}
	f := newFollower(s)
	f.feederHealthy = func() bool { return true }
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if err := f.follow(ctx, snipeford.OperatorRows, 0); err != nil {
		t.Fatal(err)
	}
	assertCalls(t, s.calls, "snapshot", "after 5")
}

// TestHistoryGoneBehindCutFeeder guards against a node whose feeder has lost the store and
// that reads a snapshot only after the configuration bound, or after upstreams that leave
// must get no more requests, and against snapshots of many such nodes at once.
func TestHistoryGoneBehindCutFeeder(t *testing.T) {
	for _, c := range []snipeford.Collection{snipeford.OperatorRows, snipeford.UpstreamRows} {
		t.Run(fmt.Sprint(c), func(t *testing.T) { assertSnapshotsAreSpread(t, c) })
	}
}

// assertSnapshotsAreSpread checks the snapshots of a collection that nodes read whose feeder
// has lost the store.
func assertSnapshotsAreSpread(t *testing.T, c snipeford.Collection) {
	t.Helper()
	const nodes, spread, window, maxAtOnce = 60, 400 * time.Millisecond, 20 * time.Millisecond, 15
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		delays := make([]time.Duration, nodes)
		for i := range nodes {
			feed := &timedFeed{scriptedFeed: scriptedFeed{responses: []response{{batch: snipeford.Batch{Snapshot: true, Version: 5}}, {err: snipeford.ErrHistoryGone}, {batch: snipeford.Batch{Snapshot: true, Version: 9}}}}}
			f := newFollower(feed)
			feed.clock, f.snapshotSpread = f.timer, spread
			f.feederHealthy, f.hasFreshRows = func() bool { return true }, func() bool { return false }
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			group.Go(func() {
				_ = f.follow(ctx, c, time.Second)
				delays[i] = time.Hour
				if len(feed.snapshots) > 1 {
					delays[i] = feed.snapshots[1].Sub(feed.snapshots[0])
				}
			})
		}
		group.Wait()
		atOnce := map[time.Duration]int{}
		for i, delay := range delays {
			if delay > spread {
				t.Errorf("node %d: got the snapshot after %v, want %v at most", i, delay, spread)
			}
			if atOnce[delay/window]++; atOnce[delay/window] > maxAtOnce {
				t.Errorf("got over %d of %d snapshots within %v", maxAtOnce, nodes, window)
			}
		}
	})
}

// TestStoreRecovery guards against a store that drops calls: a call that waits for
// changes would delay the detection of its recovery by seconds.
func TestStoreRecovery(t *testing.T) {
	down := response{err: snipeford.ErrUnavailable}
	_, s := runFollower(t, response{batch: snipeford.Batch{Snapshot: true, Version: 5}}, down, response{batch: snipeford.Batch{Version: 5}})
	want := []time.Duration{time.Second, 0, time.Second}
	if fmt.Sprint(s.timeouts) != fmt.Sprint(want) {
		t.Errorf("got timeouts %v, want %v", s.timeouts, want)
	}
}

// TestRowRemovedAfterOutage guards against a replica that leaves without notice some
// seconds after an outage of the store, and that is still used for as long as one
// whose row expired in the outage. Its requests have to stop within two seconds.
func TestRowRemovedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower(&scriptedFeed{})
		f.timer.Now()
		time.Sleep(time.Second)
		fed := newFollower(&scriptedFeed{})
		fed.timer = f.timer
		defer f.subscribe(nil, fed.applyPeerRows)()
		row := []snipeford.Change{{Key: "u", Value: []byte(`{"Service":"s"}`)}}
		f.applyStoreRows(snipeford.UpstreamRows, snipeford.Batch{Snapshot: true, Version: 1, Changes: row}, 0)
		f.recordFailure(snipeford.OperatorRows, snipeford.ErrUnavailable, false, f.timer.SinceBoot())
		time.Sleep(time.Second)
		f.applyStoreRows(snipeford.OperatorRows, snipeford.Batch{Version: 2}, 0)
		time.Sleep(1900 * time.Millisecond)
		f.applyStoreRows(snipeford.UpstreamRows, snipeford.Batch{Version: 3, Changes: []snipeford.Change{{Key: "u", Removed: true}}}, 0)
		assertUsable(t, 1, f, fed)
		time.Sleep(100 * time.Millisecond)
		for _, one := range []*follower{f, fed} {
			if !one.state.Expire(one.timer.Now()) {
				t.Error("got an upstream that is still kept two seconds after the outage, want it removed")
			}
		}
		f.applyStoreRows(snipeford.UpstreamRows, snipeford.Batch{Version: 4, Changes: row}, 0)
		f.applyStoreRows(snipeford.UpstreamRows, snipeford.Batch{Version: 5, Changes: []snipeford.Change{{Key: "u", Removed: true}}}, 0)
		assertUsable(t, 0, f, fed)
	})
}

func assertUsable(t *testing.T, want int, followers ...*follower) {
	t.Helper()
	for i, f := range followers {
		if got := len(f.current().Usable["s"]); got != want {
			t.Errorf("follower %d: got %d usable upstreams, want %d", i, got, want)
		}
	}
}

// TestSubscriberThatKnowsRows guards against a feeder that sends all rows again each
// time that a connection is reopened.
func TestSubscriberThatKnowsRows(t *testing.T) {
	f := newFollower(&scriptedFeed{})
	f.applyBatch(snipeford.OperatorRows, snipeford.Batch{Snapshot: true, Version: 5, Changes: routingRow(1)}, "", 0)
	f.applyBatch(snipeford.OperatorRows, snipeford.Batch{Version: 8}, "", 0)
	for known, want := range map[uint64]int{4: 1, 5: 0, 7: 0, 8: 0} {
		var got []grant.Rows
		f.subscribe(map[snipeford.Collection]snipeford.Revision{snipeford.OperatorRows: {Version: known}}, func(r grant.Rows) { got = append(got, r) })()
		if len(got) != 1 || len(got[0].Batch.Changes) != want || got[0].Batch.Version != 8 {
			t.Errorf("known version %d: got %+v, want one push of version 8 with %d rows", known, got, want)
		}
	}
}

// TestWatchOfFrequentChanges guards against a call to the store for each change of an
// upstream, by each feeder.
func TestWatchOfFrequentChanges(t *testing.T) {
	for collection, atLeast := range map[snipeford.Collection]time.Duration{snipeford.UpstreamRows: 9 * minChangeInterval, snipeford.OperatorRows: 0} {
		synctest.Test(t, func(t *testing.T) {
			feed := &scriptedFeed{exhausted: make(chan struct{})}
			for i := range 10 {
				feed.responses = append(feed.responses, response{batch: snipeford.Batch{Snapshot: i == 0, Version: uint64(i + 1), Changes: routingRow(i)}})
			}
			exhausted := feed.exhausted
			f := newFollower(feed)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			began := time.Now()
			go func() { _ = f.follow(ctx, collection, time.Second) }()
			<-exhausted
			if took := time.Since(began); took < atLeast || atLeast == 0 && took > 0 {
				t.Errorf("%s: got ten changes within %v, want at least %v, or no delay for the operators' rows", collection, took, atLeast)
			}
		})
	}
}

// TestNodeLeavesFeeder guards against a node that no longer gets rows from a feeder, and
// then waits for a change before it knows that its rows are current.
func TestNodeLeavesFeeder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &scriptedFeed{responses: []response{{batch: snipeford.Batch{Version: 5}}, {batch: snipeford.Batch{Version: 5}}}, exhausted: make(chan struct{})}
		f := newFollower(feed)
		f.applyPeerRows(grant.Rows{Collection: snipeford.OperatorRows, Batch: snapshotOf(0, 5, 1)})
		var unfed atomic.Bool
		f.hasFreshRows = func() bool { return !unfed.Load() }
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.AfterFunc(300*time.Millisecond, func() { unfed.Store(true) })
		if err := f.follow(ctx, snipeford.OperatorRows, time.Second); err != nil {
			t.Fatal(err)
		}
		if want := []time.Duration{0, time.Second, time.Second}; fmt.Sprint(feed.timeouts) != fmt.Sprint(want) {
			t.Errorf("got timeouts %v, want %v", feed.timeouts, want)
		}
	})
}
