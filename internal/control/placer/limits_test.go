package placer_test

import (
	"fmt"
	"testing"
	"time"

	"snipeford"
	"snipeford/internal/control/placer"
)

const limitedUpstream = "a"

// newLimitNode returns a node that knows a limit of one request a second.
func newLimitNode(name snipeford.NodeID) *placer.State {
	s := &placer.State{Node: name}
	s.Apply(0, placer.DirectoryChanged{View: view()})
	return s
}

func stateLimit(s *placer.State, now snipeford.Instant, service snipeford.ServiceName, limit snipeford.RequestLimit) {
	s.Apply(now, placer.DirectivesReceived{Report: snipeford.DirectivesReport{
		Service: service, Upstream: limitedUpstream, Directives: snipeford.Directives{RequestLimit: limit}, RequestAge: 50 * time.Millisecond,
	}})
}

// countPermits asks for a permit every 10 ms, and returns how many were given.
func countPermits(s *placer.State, from, to time.Duration, substitute bool) int {
	permits := 0
	for now := snipeford.Instant(from); now < snipeford.Instant(to); now = now.Add(10 * time.Millisecond) {
		id := snipeford.RequestID(fmt.Sprint(now))
		for _, reply := range s.Apply(now, placer.PlacementRequested{Request: snipeford.PlacementRequest{
			RequestID: id, EntryNode: "n1", Service: "plain", Permit: limitedUpstream, Substitute: substitute,
		}}) {
			if reply.Placement.RequestID == id && !reply.Placement.Refused {
				permits++
			}
		}
	}
	return permits
}

func assertPermits(t *testing.T, got, least, most int) {
	t.Helper()
	if got < least || got > most {
		t.Errorf("got %d permits, want %d to %d", got, least, most)
	}
}

// TestPermits guards against upstreams of plain services that get more requests than
// they stated to take.
func TestPermits(t *testing.T) {
	oneASecond := snipeford.RequestLimit{Stated: true, PerSecond: 1}
	t.Run("at the rate of the limit", func(t *testing.T) {
		s := newLimitNode("home")
		stateLimit(s, 0, "plain", oneASecond)
		assertPermits(t, countPermits(s, 0, 10*time.Second, false), 9, 11)
	})
	t.Run("none from a node that stands in for the home", func(t *testing.T) {
		s := newLimitNode("home")
		stateLimit(s, 0, "plain", oneASecond)
		assertPermits(t, countPermits(s, 0, 10*time.Second, true), 0, 0)
	})
	t.Run("from two homes one after the other", func(t *testing.T) {
		first, second := newLimitNode("first"), newLimitNode("second")
		stateLimit(first, 0, "plain", oneASecond)
		got := countPermits(first, 0, 4*time.Second, false)
		second.Apply(snipeford.Instant(4*time.Second), placer.NodeSynced{Node: "first", Known: first.Known(snipeford.Instant(4 * time.Second))})
		got += countPermits(second, 4*time.Second, 8*time.Second, false)
		assertPermits(t, got, 6, 9)
	})
	t.Run("all after the end of the limit", func(t *testing.T) {
		s := newLimitNode("home")
		stateLimit(s, 0, "plain", oneASecond)
		stateLimit(s, snipeford.Instant(time.Second), "plain", snipeford.RequestLimit{})
		assertPermits(t, countPermits(s, time.Second, 2*time.Second, false), 100, 100)
	})
}

// TestLimitOutlivesHome guards against a new home that does not know which engines
// limit their requests.
func TestLimitOutlivesHome(t *testing.T) {
	entry, home := newLimitNode("n1"), newLimitNode("n2")
	stateLimit(entry, 0, "s", snipeford.RequestLimit{Stated: true, PerSecond: 1})
	now := snipeford.Instant(time.Second)
	home.Apply(now, placer.NodeSynced{Node: "n1", Known: entry.Known(now)})
	sent := 0
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		request := snipeford.PlacementRequest{
			RequestID: snipeford.RequestID(fmt.Sprint(i)), EntryNode: "n1", Service: "s", Prompt: 1_000, ExpectedOutput: 100, FirstEventTarget: 300 * time.Millisecond,
			EventGapTarget: 250 * time.Millisecond, TimeLeft: time.Second, StreamIdleTimeout: 2 * time.Second, FirstEventTimeout: time.Second,
		}
		for _, reply := range home.Apply(now, placer.PlacementRequested{Request: request}) {
			if reply.Placement.Upstream == limitedUpstream {
				sent++
			}
		}
		home.Apply(now, placer.RequestEnded{Service: "s", RequestID: request.RequestID})
	}
	assertPermits(t, sent, 0, 11)
}
