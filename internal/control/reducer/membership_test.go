package reducer

import (
	"testing"

	"snipeford"
)

var self = snipeford.Member{Node: "node-1", Incarnation: "one", Domain: "A"}

// member returns the state of a node that holds its lease and the home of
// engineOne's group, beside one peer.
func member(t *testing.T) *State {
	t.Helper()
	s := New(Settings{Member: self, QueuePolicy: "Fair", RoutePolicy: "MovingSplit"})
	s.Apply(0, UpstreamsListed{[]snipeford.Upstream{engineOne}})
	s.Apply(0, ConfigurationRead{rules(1)})
	s.Apply(0, LeaseRenewalEnded{SentAt: 0})
	readRows(s, 0)
	s.Apply(0, HomeClaimed{snipeford.HomeRow{Group: groupOf(engineOne), Node: "node-1", Incarnation: "one", Fence: 1}, true})
	warm(s, engineOne)
	return s
}

func readRows(s *State, now snipeford.Instant) {
	peer := snipeford.Member{Node: "node-2", Incarnation: "two", Domain: "B"}
	s.Apply(now, MembershipRead{Leases: []snipeford.LeaseRow{{Member: self, RowVersion: uint64(now) + 1}, {Member: peer, RowVersion: uint64(now) + 2}}})
}

func beat(s *State, now snipeford.Instant, tableUp bool) {
	peer := snipeford.Member{Node: "node-2", Incarnation: "two", Domain: "B"}
	s.Apply(now, HeartbeatReceived{snipeford.Heartbeat{Member: peer, TableReachable: tableUp}})
}

// dispatches reports whether the node sends a call that is offered now.
func dispatches(s *State, now snipeford.Instant, id snipeford.CallID) bool {
	c := newCall(id, "M", 1_000)
	c.QueueDeadline, c.Deadline = now+10*second, now+60*second
	_, ok := firstOf[Dispatch](s.Apply(now, CallForwarded{c, groupOf(engineOne)}))
	return ok
}

func wantDispatches(t *testing.T, s *State, now snipeford.Instant, id snipeford.CallID, want bool) {
	t.Helper()
	if got := dispatches(s, now, id); got != want {
		t.Errorf("got dispatches %t at %.1f s, want %t", got, now.Seconds(), want)
	}
}

func tableFails(s *State, now snipeford.Instant) {
	s.Apply(now, MembershipRead{Err: snipeford.ErrUnavailable})
}

func TestLease(t *testing.T) {
	t.Run("a home stops before others can see its lease as lapsed", func(t *testing.T) {
		s := member(t)
		wantDispatches(t, s, 4*second, "a", true)
		wantDispatches(t, s, 5*second, "b", false)
	})
	t.Run("a node that alone is cut off from the table stops and is not ready", func(t *testing.T) {
		s := member(t)
		tableFails(s, second)
		beat(s, 5*second, true)
		wantDispatches(t, s, 5*second+1, "a", false)
		if s.Ready(5*second + 1) {
			t.Error("got ready, want not ready")
		}
	})
	t.Run("homes go on while the table is down for all", func(t *testing.T) {
		s := member(t)
		tableFails(s, second)
		beat(s, 9*second, false)
		wantDispatches(t, s, 10*second, "a", true)
		if !s.Ready(10 * second) {
			t.Error("got not ready, want ready")
		}
	})
	t.Run("homes go on when the table is back, until the lease is renewed", func(t *testing.T) {
		s := member(t)
		tableFails(s, second)
		beat(s, 9*second, false)
		readRows(s, 10*second)
		mustFind[RenewLease](t, s.Apply(10*second+1, Ticked{}))
		wantDispatches(t, s, 10*second+2, "a", true)
		wantDispatches(t, s, 13*second, "b", false)
	})
	t.Run("a dispatch carries when it must not start any more", func(t *testing.T) {
		s := member(t)
		d := mustFind[Dispatch](t, s.Apply(second, CallForwarded{newCall("a", "M", 1_000), groupOf(engineOne)}))
		if got, want := d.StartBefore, 5*second; got != want {
			t.Errorf("got until %d, want %d", got, want)
		}
	})
}

func TestHandOver(t *testing.T) {
	t.Run("a leaving home names its successor and stops", func(t *testing.T) {
		s := member(t)
		h := mustFind[TransferHome](t, s.Apply(second, LeaveRequested{}))
		if got, want := h.Row.Node, snipeford.NodeID("node-2"); got != want {
			t.Errorf("got successor %s, want %s", got, want)
		}
		if got, want := h.Row.Fence, snipeford.FencingToken(2); got != want {
			t.Errorf("got fence %d, want %d", got, want)
		}
		wantDispatches(t, s, second, "a", false)
	})
	t.Run("a row that names this node makes it the home", func(t *testing.T) {
		s := member(t)
		s.Apply(second, HeartbeatReceived{snipeford.Heartbeat{
			Member:           snipeford.Member{Node: "node-2", Incarnation: "two"},
			TransferredHomes: []snipeford.HomeRow{{Group: groupOf(engineTwo), Node: "node-1", Incarnation: "one", Fence: 7}},
		}})
		if got := s.groups[groupOf(engineTwo)].dispatcher; got == nil || got.fence != 7 {
			t.Errorf("got %+v, want a dispatcher with fence 7", got)
		}
	})
	t.Run("a higher fence elsewhere ends this home", func(t *testing.T) {
		s := member(t)
		s.Apply(second, MembershipRead{Homes: []snipeford.HomeRow{{Group: groupOf(engineOne), Node: "node-2", Incarnation: "two", Fence: 2}}})
		wantDispatches(t, s, second, "a", false)
	})
}
