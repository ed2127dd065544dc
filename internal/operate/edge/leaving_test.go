package edge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"snipeford"
	"snipeford/internal/control/directory"
	"snipeford/internal/control/timer"
	"snipeford/internal/operate/settings"
	"snipeford/internal/operate/span"
)

func upstreamSnapshot(era snipeford.Era, version uint64) snipeford.Batch {
	row := func(id string) snipeford.Change {
		return snipeford.Change{Key: id, Value: fmt.Appendf(nil, `{"Service":"s","Address":%q,"Incarnation":"1"}`, id+":1")}
	}
	return snipeford.Batch{Snapshot: true, Era: era, Version: version, Changes: []snipeford.Change{row("u1"), row("u2")}}
}

// TestLeavingUpstreamAndStoreOutage guards against requests to an upstream that has said
// that it leaves while the store was cut off, and is ready again by the copy from which
// the store returns.
func TestLeavingUpstreamAndStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := runningFollower(1)
		f.timer.Now()
		published := 0
		f.onChange = func(*directory.View) { published++ }
		assertUsable := func(when string, want int) {
			t.Helper()
			if got := len(f.current().Usable["s"]); got != want {
				t.Errorf("%s: got %d usable upstreams, want %d", when, got, want)
			}
		}
		f.applyStoreRows(snipeford.UpstreamRows, upstreamSnapshot(1, 1000), f.timer.SinceBoot())
		assertUsable("before", 2)
		f.recordFailure(snipeford.UpstreamRows, snipeford.ErrUnavailable, false, f.timer.SinceBoot())
		published = 0
		added := f.markLeaving([]snipeford.LeavingUpstream{{Upstream: "u1", Incarnation: "1"}})
		if len(added) != 1 || published != 1 {
			t.Errorf("got %v as new and %d new views, want u1 and 1", added, published)
		}
		assertUsable("in the outage", 1)
		time.Sleep(20 * time.Second)
		f.applyStoreRows(snipeford.UpstreamRows, upstreamSnapshot(2, 985), f.timer.SinceBoot())
		assertUsable("at the store's return", 1)
		time.Sleep(10 * time.Second)
		f.state.Expire(f.timer.Now())
		f.publish()
		assertUsable("later", 1)
	})
}

// notifyingReservations are reservations whose upstreams can say that they leave.
type notifyingReservations struct {
	snipeford.Reservations
	notify func(snipeford.Upstream)
}

func (r *notifyingReservations) NotifyLeaving(notify func(snipeford.Upstream)) { r.notify = notify }

// TestReservationSaysThatUpstreamLeaves guards against a prompt that is sent to an engine
// that has said that it leaves when memory was reserved there.
func TestReservationSaysThatUpstreamLeaves(t *testing.T) {
	reservations := &notifyingReservations{}
	registry := metrics.NewRegistry()
	n := New(settings.Edge{Node: "n", LogLevel: "info"}, &timer.Clock{}, registry, &span.Provider{}, Platform{RowDecoder: jsonDecoder{}, Reservations: reservations})
	n.follower.applyStoreRows(snipeford.UpstreamRows, upstreamSnapshot(0, 1), n.timer.SinceBoot())
	if reservations.notify == nil {
		t.Fatal("got no function for the reservations, want one")
	}
	for range 2 {
		reservations.notify(snipeford.Upstream{ID: "u1", Service: "s", Incarnation: "1"})
	}
	if got := n.follower.current().Usable["s"]; len(got) != 1 || got[0].ID != "u2" {
		t.Errorf("got %v as usable, want u2", got)
	}
	if got := metrics.GetOrRegisterCounter("Upstreams.Leaving.Seen", registry).Count(); got != 1 {
		t.Errorf("got %d upstreams counted as leaving, want 1", got)
	}
}
