package balance_test

import (
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/policy/balance"
)

func candidates() []balance.Candidate {
	return []balance.Candidate{{ID: "a", Domain: "d1", Slots: 6}, {ID: "b", Domain: "d2", Slots: 6}, {ID: "c", Domain: "d2", Slots: 6}}
}

func assertPick(t *testing.T, s *balance.Balancer, now snipeford.Instant, excluded []snipeford.UpstreamID, want snipeford.UpstreamID) {
	t.Helper()
	if got, _ := s.Pick(now, candidates(), excluded, "d1", 0); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestPick(t *testing.T) {
	t.Run("own failure domain first among equals", func(t *testing.T) {
		assertPick(t, &balance.Balancer{}, 0, nil, "a")
	})
	t.Run("the least busy upstream", func(t *testing.T) {
		s := &balance.Balancer{}
		s.RequestSent("a")
		s.RequestSent("b")
		assertPick(t, s, 0, nil, "c")
	})
	t.Run("a load report counts until it expires", func(t *testing.T) {
		s := &balance.Balancer{}
		now := snipeford.Instant(time.Second)
		s.LoadReported(now, "a", 5)
		assertPick(t, s, now, nil, "b")
		assertPick(t, s, now.Add(time.Second), nil, "a")
	})
	t.Run("never an excluded upstream", func(t *testing.T) {
		assertPick(t, &balance.Balancer{}, 0, []snipeford.UpstreamID{"a", "b"}, "c")
		if id, ok := (&balance.Balancer{}).Pick(0, candidates(), []snipeford.UpstreamID{"a", "b", "c"}, "d1", 0); ok {
			t.Errorf("got %q, want none", id)
		}
	})
	t.Run("a failed upstream last, until it is no longer suspect", func(t *testing.T) {
		s := &balance.Balancer{}
		s.RequestSent("a")
		s.RequestEnded(0, "a", true)
		assertPick(t, s, 0, nil, "b")
		assertPick(t, s, 0, []snipeford.UpstreamID{"b", "c"}, "a")
		assertPick(t, s, snipeford.Instant(time.Minute), nil, "a")
	})
}
