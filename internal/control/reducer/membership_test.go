package reducer

import (
	"testing"

	"snipeford"
)

var self = snipeford.Member{Node: "node-1", Incarnation: "one", Domain: "A"}

// newHomeNode returns the state of a node that has one peer, holds its own lease
// and is the home of engineOne's group.
func newHomeNode(t *testing.T) *State {
	t.Helper()
	s := New(Settings{Member: self, QueuePolicy: "Fair", RoutePolicy: "MovingSplit"})
	s.Apply(0, UpstreamsListed{[]snipeford.Upstream{engineOne}})
	s.Apply(0, ConfigurationRead{configuration(1)})
	s.Apply(0, LeaseRenewalEnded{SentAt: 0})
	applyMembershipRead(s, 0)
	s.Apply(0, HomeClaimed{snipeford.HomeRow{Group: groupOf(engineOne), Node: "node-1", Incarnation: "one", Fence: 1}, true})
	warmUp(s, engineOne)
	return s
}

// applyMembershipRead applies a read of the table that finds this node and its
// peer alive.
func applyMembershipRead(s *State, now snipeford.Instant) {
	peer := snipeford.Member{Node: "node-2", Incarnation: "two", Domain: "B"}
	s.Apply(now, MembershipRead{Leases: []snipeford.LeaseRow{{Member: self, RowVersion: uint64(now) + 1}, {Member: peer, RowVersion: uint64(now) + 2}}})
}

// applyHeartbeat applies a heartbeat of the peer.
func applyHeartbeat(s *State, now snipeford.Instant, tableUp bool) {
	peer := snipeford.Member{Node: "node-2", Incarnation: "two", Domain: "B"}
	s.Apply(now, HeartbeatReceived{snipeford.Heartbeat{Member: peer, TableReachable: tableUp}})
}

// dispatches reports whether the node dispatches a call that is forwarded to it
// now.
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

// applyTableError applies a failed read of the table.
func applyTableError(s *State, now snipeford.Instant) {
	s.Apply(now, MembershipRead{Err: snipeford.ErrUnavailable})
}

func TestLease(t *testing.T) {
	t.Run("a home stops dispatching before other nodes can treat its lease as expired", func(t *testing.T) {
		s := newHomeNode(t)
		wantDispatches(t, s, 4*second, "a", true)
		wantDispatches(t, s, 5*second, "b", false)
	})
	t.Run("a node without access to the table stops dispatching and is not ready while its peer has access", func(t *testing.T) {
		s := newHomeNode(t)
		applyTableError(s, second)
		applyHeartbeat(s, 5*second, true)
		wantDispatches(t, s, 5*second+1, "a", false)
		if s.Ready(5*second + 1) {
			t.Error("got ready, want not ready")
		}
	})
	t.Run("homes keep dispatching while the table is down for all nodes", func(t *testing.T) {
		s := newHomeNode(t)
		applyTableError(s, second)
		applyHeartbeat(s, 9*second, false)
		wantDispatches(t, s, 10*second, "a", true)
		if !s.Ready(10 * second) {
			t.Error("got not ready, want ready")
		}
	})
	t.Run("homes keep dispatching after the outage until the lease is renewed", func(t *testing.T) {
		s := newHomeNode(t)
		applyTableError(s, second)
		applyHeartbeat(s, 9*second, false)
		applyMembershipRead(s, 10*second)
		mustFind[RenewLease](t, s.Apply(10*second+1, Ticked{}))
		wantDispatches(t, s, 10*second+2, "a", true)
		wantDispatches(t, s, 13*second, "b", false)
	})
	t.Run("a dispatch must start before the lease expires", func(t *testing.T) {
		s := newHomeNode(t)
		d := mustFind[Dispatch](t, s.Apply(second, CallForwarded{newCall("a", "M", 1_000), groupOf(engineOne)}))
		if got, want := d.StartBefore, 5*second; got != want {
			t.Errorf("got start before %d, want %d", got, want)
		}
	})
}

func TestHandOver(t *testing.T) {
	t.Run("a leaving node transfers its home and stops dispatching", func(t *testing.T) {
		s := newHomeNode(t)
		h := mustFind[TransferHome](t, s.Apply(second, LeaveRequested{}))
		if got, want := h.Row.Node, snipeford.NodeID("node-2"); got != want {
			t.Errorf("got successor %s, want %s", got, want)
		}
		if got, want := h.Row.Fence, snipeford.FencingToken(2); got != want {
			t.Errorf("got fence %d, want %d", got, want)
		}
		wantDispatches(t, s, second, "a", false)
	})
	t.Run("a transferred home starts at the node that the row names", func(t *testing.T) {
		s := newHomeNode(t)
		s.Apply(second, HeartbeatReceived{snipeford.Heartbeat{
			Member:           snipeford.Member{Node: "node-2", Incarnation: "two"},
			TransferredHomes: []snipeford.HomeRow{{Group: groupOf(engineTwo), Node: "node-1", Incarnation: "one", Fence: 7}},
		}})
		if got := s.groups[groupOf(engineTwo)].dispatcher; got == nil || got.fence != 7 {
			t.Errorf("got %+v, want a dispatcher with fence 7", got)
		}
	})
	t.Run("a home row with a higher fence of another node stops the home", func(t *testing.T) {
		s := newHomeNode(t)
		s.Apply(second, MembershipRead{Homes: []snipeford.HomeRow{{Group: groupOf(engineOne), Node: "node-2", Incarnation: "two", Fence: 2}}})
		wantDispatches(t, s, second, "a", false)
	})
}
