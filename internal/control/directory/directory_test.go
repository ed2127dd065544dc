package directory_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/control/directory"
)

// rows decodes rows that are JSON of the project's own types.
type rows struct{}

func (rows) Upstream(key string, value []byte) (snipeford.Upstream, bool) {
	var u snipeford.Upstream
	err := json.Unmarshal(value, &u)
	u.ID = snipeford.UpstreamID(key)
	return u, err == nil && u.Service != ""
}

func (rows) Routing(value []byte) (snipeford.Routing, error) {
	var r snipeford.Routing
	err := json.Unmarshal(value, &r)
	return r, err
}

func (rows) IsRoutingKey(key string) bool { return key == "routing" }

func (rows) OutDomain(key string) (snipeford.FailureDomain, bool) {
	if len(key) > 4 && key[:4] == "out/" {
		return snipeford.FailureDomain(key[4:]), true
	}
	return "", false
}

func change(t *testing.T, key string, value any) snipeford.Change {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return snipeford.Change{Key: key, Value: raw}
}

func upstream(domain string) snipeford.Upstream {
	return snipeford.Upstream{Service: "s", Domain: snipeford.FailureDomain(domain), Address: "10.0.0.1:1", Slots: 1}
}

func second(n float64) snipeford.Instant { return snipeford.Instant(n * float64(time.Second)) }

func assertUsable(t *testing.T, s *directory.State, want int) {
	t.Helper()
	if got := len(s.View().Usable["s"]); got != want {
		t.Errorf("got %d usable upstreams, want %d", got, want)
	}
}

func TestRoutingNeverGoesBack(t *testing.T) {
	s := &directory.State{}
	for _, version := range []snipeford.Version{5, 3, 9, 9, 2} {
		s.Apply(0, snipeford.OperatorRows, snipeford.Batch{Changes: []snipeford.Change{change(t, "routing", snipeford.Routing{Version: version})}}, rows{})
	}
	if got, want := s.View().Plan.Version, snipeford.Version(9); got != want {
		t.Errorf("got version %d, want %d", got, want)
	}
	t.Run("a row that can't be read changes nothing", func(t *testing.T) {
		faults := s.Apply(0, snipeford.OperatorRows, snipeford.Batch{Changes: []snipeford.Change{{Key: "routing", Value: []byte("{")}}}, rows{})
		if len(faults) != 1 || s.View().Plan.Version != 9 {
			t.Errorf("got %v and version %d, want a fault and 9", faults, s.View().Plan.Version)
		}
	})
}

func TestOutDomain(t *testing.T) {
	s := &directory.State{}
	s.Apply(0, snipeford.UpstreamRows, snipeford.Batch{Snapshot: true, Changes: []snipeford.Change{change(t, "u1", upstream("a")), change(t, "u2", upstream("b"))}}, rows{})
	out := snipeford.Change{Key: "out/a", Value: []byte("{}")}
	s.Apply(0, snipeford.OperatorRows, snipeford.Batch{Changes: []snipeford.Change{out}}, rows{})
	assertUsable(t, s, 1)
	out.Removed = true
	s.Apply(0, snipeford.OperatorRows, snipeford.Batch{Changes: []snipeford.Change{out}}, rows{})
	assertUsable(t, s, 2)
	t.Run("a snapshot without the row takes the domain back", func(t *testing.T) {
		out.Removed = false
		s.Apply(0, snipeford.OperatorRows, snipeford.Batch{Changes: []snipeford.Change{out}}, rows{})
		s.Apply(0, snipeford.OperatorRows, snipeford.Batch{Snapshot: true}, rows{})
		assertUsable(t, s, 2)
	})
}

func TestLeavingUpstreams(t *testing.T) {
	listed := func(t *testing.T) *directory.State {
		t.Helper()
		s := &directory.State{}
		s.Apply(0, snipeford.UpstreamRows, snipeford.Batch{Snapshot: true, Changes: []snipeford.Change{change(t, "u1", upstream("a")), change(t, "u2", upstream("a"))}}, rows{})
		return s
	}
	t.Run("one that says so is not used", func(t *testing.T) {
		s := listed(t)
		leaving := upstream("a")
		leaving.Leaving = true
		s.Apply(second(1), snipeford.UpstreamRows, snipeford.Batch{Changes: []snipeford.Change{change(t, "u1", leaving)}}, rows{})
		assertUsable(t, s, 1)
	})
	t.Run("one whose row goes is not used", func(t *testing.T) {
		s := listed(t)
		s.Apply(second(1), snipeford.UpstreamRows, snipeford.Batch{Changes: []snipeford.Change{{Key: "u1", Removed: true}}}, rows{})
		assertUsable(t, s, 1)
	})
	t.Run("a row of another writer names none", func(t *testing.T) {
		s := listed(t)
		s.Apply(second(1), snipeford.UpstreamRows, snipeford.Batch{Changes: []snipeford.Change{{Key: "u1", Value: []byte("x")}}}, rows{})
		assertUsable(t, s, 1)
	})
}

func TestRowsThatLapseInAnOutage(t *testing.T) {
	s := &directory.State{}
	s.Apply(0, snipeford.UpstreamRows, snipeford.Batch{Snapshot: true, Changes: []snipeford.Change{change(t, "u1", upstream("a")), change(t, "u2", upstream("a"))}}, rows{})
	s.RecordStoreFailure(second(5))
	s.Apply(second(6), snipeford.UpstreamRows, snipeford.Batch{Snapshot: true}, rows{})
	assertUsable(t, s, 2)
	s.Apply(second(7), snipeford.UpstreamRows, snipeford.Batch{Changes: []snipeford.Change{change(t, "u1", upstream("a"))}}, rows{})
	if s.Expire(second(7.9)) {
		t.Error("got an upstream dropped before its grace was over, want none")
	}
	if !s.Expire(second(8)) {
		t.Error("got no upstream dropped, want the one that did not come back")
	}
	assertUsable(t, s, 1)
}

func TestPeers(t *testing.T) {
	s := &directory.State{}
	faults := s.Apply(0, snipeford.MemberRows, snipeford.Batch{Snapshot: true, Changes: []snipeford.Change{
		change(t, "n1", directory.Peer{Node: "n1", Address: "10.0.0.2:1"}), {Key: "n2", Value: []byte("?")},
	}}, rows{})
	if len(faults) != 1 || faults[0].Err == nil || errors.Is(faults[0].Err, snipeford.ErrUnavailable) {
		t.Errorf("got faults %v, want the unreadable row", faults)
	}
	if got := s.View().Peers["n1"].Address; got != "10.0.0.2:1" {
		t.Errorf("got address %q, want 10.0.0.2:1", got)
	}
}
