package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/freshness"
	"snipeford/internal/control/timer"
	"snipeford/internal/fleet/grant"
	"snipeford/internal/operate/decision"
)

// script is a feed that gives one answer a call, and then waits.
type script struct {
	mu      sync.Mutex
	answers []answer
	calls   []string
	waits   []time.Duration
	ended   chan struct{}
}

type answer struct {
	batch snipeford.Batch
	err   error
}

func (s *script) next(ctx context.Context, call string) (snipeford.Batch, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		s.mu.Unlock()
		s.end()
		<-ctx.Done()
		return snipeford.Batch{}, fmt.Errorf("feed ended: %w", snipeford.ErrUnavailable)
	}
	defer s.mu.Unlock()
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a.batch, a.err
}

func (s *script) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		close(s.ended)
		s.ended = nil
	}
}

func (s *script) Snapshot(ctx context.Context, _ snipeford.Collection) (snipeford.Batch, error) {
	return s.next(ctx, "snapshot")
}

func (s *script) Watch(ctx context.Context, _ snipeford.Collection, after uint64, wait time.Duration) (snipeford.Batch, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	return s.next(ctx, fmt.Sprintf("after %d", after))
}

func (s *script) Put(context.Context, string, []byte) error { return nil }

// registry decodes routings that are JSON of the project's own type.
type registry struct{}

func (registry) Upstream(key string, value []byte) (snipeford.Upstream, bool) {
	var u snipeford.Upstream
	err := json.Unmarshal(value, &u)
	u.ID = snipeford.UpstreamID(key)
	return u, err == nil
}

func (registry) Routing(value []byte) (snipeford.Routing, error) {
	var r snipeford.Routing
	err := json.Unmarshal(value, &r)
	return r, err
}

func (registry) IsRoutingKey(string) bool { return true }

func (registry) OutDomain(string) (snipeford.FailureDomain, bool) { return "", false }

func version(n int) []snipeford.Change {
	return []snipeford.Change{{Key: "routing", Value: fmt.Appendf(nil, `{"Version":%d}`, n)}}
}

// follow plays the script to its end.
func newFollower(feed snipeford.Feed) *follower {
	clock := &timer.Clock{}
	return &follower{
		feed: feed, registry: registry{}, timer: clock, fresh: &freshness.Tracker{},
		log: decision.New("n", log.InfoLevel, clock), changed: func(*directory.View) {},
	}
}

func follow(t *testing.T, answers ...answer) (*follower, *script) {
	t.Helper()
	feed := &script{answers: answers, ended: make(chan struct{})}
	f := newFollower(feed)
	ctx, cancel := context.WithCancel(context.Background())
	ended := feed.ended
	done := make(chan error, 1)
	go func() { done <- f.follow(ctx, snipeford.OperatorRows, time.Second) }()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("got no end of the script, want it played")
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
	t.Run("a snapshot, then its changes", func(t *testing.T) {
		f, feed := follow(t,
			answer{batch: snipeford.Batch{Snapshot: true, Version: 5, Changes: version(1)}},
			answer{batch: snipeford.Batch{Version: 8, Changes: version(2)}},
		)
		assertCalls(t, feed.calls, "snapshot", "after 5", "after 8")
		if got := f.current().Plan.Version; got != 2 {
			t.Errorf("got version %d, want 2", got)
		}
	})
	t.Run("a lost history is read anew", func(t *testing.T) {
		_, feed := follow(t,
			answer{batch: snipeford.Batch{Snapshot: true, Version: 5, Changes: version(1)}},
			answer{err: snipeford.ErrHistoryGone},
			answer{batch: snipeford.Batch{Snapshot: true, Version: 9, Changes: version(3)}},
		)
		assertCalls(t, feed.calls, "snapshot", "after 5", "snapshot", "after 9")
	})
	t.Run("an outage goes on where it was", func(t *testing.T) {
		f, feed := follow(t,
			answer{batch: snipeford.Batch{Snapshot: true, Version: 5, Changes: version(4)}},
			answer{err: snipeford.ErrUnavailable},
			answer{batch: snipeford.Batch{Version: 6}},
		)
		assertCalls(t, feed.calls, "snapshot", "after 5", "after 5", "after 6")
		if got := f.current().Plan.Version; got != 4 {
			t.Errorf("got version %d, want 4 all the while", got)
		}
	})
	t.Run("an answer without changes confirms", func(t *testing.T) {
		f, _ := follow(t,
			answer{batch: snipeford.Batch{Snapshot: true, Version: 5, Changes: version(1), StoreTime: time.Second}},
			answer{batch: snipeford.Batch{Version: 5, StoreTime: 2 * time.Second}},
		)
		if age, ok := f.fresh.Age(f.timer.SinceBoot()); !ok || age > time.Second {
			t.Errorf("got age %v %v, want a fresh one", age, ok)
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

func TestRowsForOtherNodes(t *testing.T) {
	f, _ := follow(t,
		answer{batch: snipeford.Batch{Snapshot: true, Version: 5, Changes: version(1)}},
		answer{batch: snipeford.Batch{Version: 8, Changes: version(2)}},
	)
	other := &follower{registry: registry{}, timer: f.timer, fresh: &freshness.Tracker{}, log: f.log, changed: func(*directory.View) {}}
	cancel := f.subscribe(other.bring)
	if got := other.current().Plan.Version; got != 2 {
		t.Errorf("got version %d from the whole, want 2", got)
	}
	f.take(snipeford.OperatorRows, snipeford.Batch{Version: 9, Changes: version(3)})
	if got := other.current().Plan.Version; got != 3 {
		t.Errorf("got version %d from a change, want 3", got)
	}
	t.Run("older rows change nothing", func(t *testing.T) {
		other.bring(grant.Rows{Collection: snipeford.OperatorRows, Batch: snipeford.Batch{Snapshot: true, Version: 4}})
		if got, _ := other.version(snipeford.OperatorRows); got != 9 {
			t.Errorf("got rows of version %d, want 9", got)
		}
	})
	t.Run("they never go round", func(t *testing.T) {
		defer other.subscribe(f.bring)()
		pushed := 0
		defer other.subscribe(func(grant.Rows) { pushed++ })()
		pushed = 0
		f.take(snipeford.OperatorRows, snipeford.Batch{Version: 9, Changes: version(3)})
		if pushed != 0 {
			t.Errorf("got %d pushes of rows that were known, want none", pushed)
		}
	})
	t.Run("none after the end", func(t *testing.T) {
		cancel()
		f.take(snipeford.OperatorRows, snipeford.Batch{Version: 10, Changes: version(4)})
		if got := other.current().Plan.Version; got != 3 {
			t.Errorf("got version %d, want 3", got)
		}
	})
}

// TestRowsThatLapseAtAFeeder answers an outage of the store that ends with all
// upstreams' rows gone: nodes that are fed keep them for a while, too.
func TestRowsThatLapseAtAFeeder(t *testing.T) {
	row := []snipeford.Change{{Key: "u", Value: []byte(`{"Service":"s"}`)}}
	f, _ := follow(t, answer{batch: snipeford.Batch{Snapshot: true, Version: 5, Changes: version(1)}})
	f.take(snipeford.UpstreamRows, snipeford.Batch{Snapshot: true, Version: 6, Changes: row})
	other := &follower{registry: registry{}, timer: f.timer, fresh: &freshness.Tracker{}, log: f.log, changed: func(*directory.View) {}}
	defer f.subscribe(other.bring)()
	f.failed(snipeford.UpstreamRows, snipeford.ErrUnavailable, false)
	f.take(snipeford.UpstreamRows, snipeford.Batch{Version: 7, Changes: []snipeford.Change{{Key: "u", Removed: true}}})
	for name, one := range map[string]*follower{"feeder": f, "fed": other} {
		if got := len(one.current().Usable["s"]); got != 1 {
			t.Errorf("%s: got %d usable upstreams after the outage, want 1", name, got)
		}
	}
}

// TestStoreOutageWithManyNodes answers an outage of the store in a fleet: what
// fails the feeders fails the nodes that they feed.
func TestStoreOutageWithManyNodes(t *testing.T) {
	for _, c := range []struct {
		name    string
		standby bool
		want    int
	}{
		{"a node without a living feeder asks often", false, 3},
		{"one whose feeder answers asks once", true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			down := answer{err: snipeford.ErrUnavailable}
			s := &script{answers: []answer{down, down, down}, ended: make(chan struct{})}
			f := newFollower(s)
			f.standby = func() bool { return c.standby }
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

func TestOtherRowsWaitForTheOperators(t *testing.T) {
	s := &script{ended: make(chan struct{})}
	f := newFollower(s)
	f.standby = func() bool { return true }
	f.down.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if err := f.follow(ctx, snipeford.UpstreamRows, 0); err != nil {
		t.Fatal(err)
	}
	assertCalls(t, s.calls)
	t.Run("and are read once the store answers", func(t *testing.T) {
		f.down.Store(false)
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

// TestLostHistoryWithManyNodes answers a store that drops its history: if each
// node read all rows at once, the store's rate and the nodes' memory would go.
func TestLostHistoryWithManyNodes(t *testing.T) {
	s := &script{answers: []answer{{batch: snipeford.Batch{Snapshot: true, Version: 5}}, {err: snipeford.ErrHistoryGone}}, ended: make(chan struct{})}
	f := newFollower(s)
	f.standby = func() bool { return true }
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	if err := f.follow(ctx, snipeford.OperatorRows, 0); err != nil {
		t.Fatal(err)
	}
	assertCalls(t, s.calls, "snapshot", "after 5")
}

// TestReturnOfTheStore answers a store that swallows calls: one that waits for
// changes would hide its return for seconds.
func TestReturnOfTheStore(t *testing.T) {
	down := answer{err: snipeford.ErrUnavailable}
	_, s := follow(t, answer{batch: snipeford.Batch{Snapshot: true, Version: 5}}, down, answer{batch: snipeford.Batch{Version: 5}})
	want := []time.Duration{time.Second, 0, time.Second}
	if fmt.Sprint(s.waits) != fmt.Sprint(want) {
		t.Errorf("got waits of %v, want %v", s.waits, want)
	}
}
