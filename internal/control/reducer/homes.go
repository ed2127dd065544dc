package reducer

import (
	"math"
	"time"

	"snipeford"
	"snipeford/internal/fleet/home"
	"snipeford/internal/fleet/lease"
)

// mayDispatch reports whether this node may dispatch for the group: no other
// node can treat its lease as expired yet, or the table is down for all nodes or
// was until recently, so that no other node can take over yet.
func (s *State) mayDispatch(now snipeford.Instant, g *group) bool {
	if s.settings.Standalone {
		return true
	}
	if g.dispatcher == nil {
		return false
	}
	return s.ownLease.Held(now) || now < s.homeGraceUntil || s.tableDownForAll(now)
}

// startBefore returns the time before which a dispatch from a home on this node
// must start:
//   - standalone: no limit;
//   - while the node holds its lease: the time until which the lease is valid;
//   - in the grace period: homeGraceUntil;
//   - while the table is down for all nodes: lease.SafetyMargin less than a TTL from
//     now, because after a gap of more than lease.MaxReadGap between its reads,
//     another node takes over only once it has read the lease row unchanged for a
//     whole TTL.
func (s *State) startBefore(now snipeford.Instant) snipeford.Instant {
	if s.settings.Standalone {
		return snipeford.Instant(math.MaxInt64)
	}
	if s.ownLease.Held(now) {
		return s.ownLease.ValidUntil()
	}
	if now < s.homeGraceUntil {
		return s.homeGraceUntil
	}
	return now.Add(lease.TTL - lease.SafetyMargin)
}

// tickHomes claims the groups that rendezvous hashing assigns to this node, and
// transfers those that it assigns to another node.
func (s *State) tickHomes(now snipeford.Instant) {
	if !due(&s.next.homes, now, homeCheckInterval) || !s.leases.Loaded() || !s.tableUp {
		return
	}
	remaining := s.remainingMembers()
	for _, g := range s.sortedGroups {
		target := home.OfGroup(g.name, remaining)
		if g.dispatcher != nil {
			s.transferHome(g, target)
			continue
		}
		if target == s.settings.Member.Node && s.ownLease.Held(now) && s.claimable(g.homeRow) && g.mayHaveUpstreams() {
			s.claimHome(g)
		}
	}
}

// remainingMembers returns the members that have not announced that they leave.
func (s *State) remainingMembers() []snipeford.Member {
	var out []snipeford.Member
	for _, m := range s.members {
		if !s.isLeaving(m.Node) && (m.Node != s.settings.Member.Node || !s.leaving) {
			out = append(out, m)
		}
	}
	return out
}

// mayHaveUpstreams reports whether the platform's VM list still has upstreams
// of the group. Plain services have no memory to tell by and always count.
func (g *group) mayHaveUpstreams() bool { return g.memory > 0 || IsService(g.name) }

// claimable reports whether a group's home row may be taken over.
func (s *State) claimable(row snipeford.HomeRow) bool {
	return row.Node == "" || s.isSelf(row) || !s.leases.Live(row.Node, row.Incarnation)
}

func (s *State) claimHome(g *group) {
	row := g.homeRow
	row.Group = g.name
	row.Node = s.settings.Member.Node
	row.Incarnation = s.settings.Member.Incarnation
	row.Fence++
	s.emit(ClaimHome{row})
}

func (s *State) homeClaimed(now snipeford.Instant, e HomeClaimed) {
	if !e.Won || s.leaving {
		return
	}
	g := s.ensureGroup(e.Row.Group)
	if e.Row.Fence < g.homeRow.Fence || g.dispatcher != nil {
		return
	}
	g.homeRow = e.Row
	s.becomeHome(now, g)
}

// becomeHome starts the dispatcher of a group and announces the home to the
// peers at the next tick.
func (s *State) becomeHome(now snipeford.Instant, g *group) {
	g.dispatcher = s.newDispatcher(g.name, g.homeRow.Fence)
	s.refreshReplicas(now, g)
	for _, r := range g.dispatcher.replicas {
		s.emit(PollLoad{r.upstream})
		s.emit(ReleaseStaleReservations{r.upstream, g.homeRow.Fence})
	}
	s.next.heartbeat = 0
}

// transferHome transfers a home to the target node. Queued calls return to
// their entry nodes; running calls end on this node.
func (s *State) transferHome(g *group, target snipeford.NodeID) {
	successor, ok := s.Member(target)
	if !ok || target == s.settings.Member.Node {
		return
	}
	row := g.homeRow
	row.Node, row.Incarnation = successor.Node, successor.Incarnation
	row.Fence++
	s.emit(TransferHome{row})
	s.loseHome(g)
}

// transferAnnouncePeriod is how long heartbeats announce a transferred home.
const transferAnnouncePeriod = 3 * time.Second

// homeTransferred announces a transferred home to all peers at the next tick.
func (s *State) homeTransferred(now snipeford.Instant, row snipeford.HomeRow) {
	s.homeRowRead(now, row)
	s.transferred = append(s.transferred, homeTransfer{now, row})
	s.next.heartbeat = 0
}

// recentTransfers returns the homes transferred within transferAnnouncePeriod.
func (s *State) recentTransfers(now snipeford.Instant) []snipeford.HomeRow {
	var kept []homeTransfer
	var out []snipeford.HomeRow
	for _, h := range s.transferred {
		if now.Sub(h.at) < transferAnnouncePeriod {
			kept = append(kept, h)
			out = append(out, h.row)
		}
	}
	s.transferred = kept
	return out
}

// loseHome stops the dispatcher of a group. Its running calls are not
// cancelled.
func (s *State) loseHome(g *group) {
	s.returnQueue(g, snipeford.CauseNotHome)
	for id := range g.dispatcher.calls {
		delete(s.groupByCall, id)
	}
	g.dispatcher = nil
	g.summary = snipeford.GroupSummary{}
}

// leave starts the graceful shutdown: this node transfers its homes at once,
// and its peers assign it no new ones.
func (s *State) leave() {
	s.leaving = true
	s.next = schedule{}
	others := s.remainingMembers()
	for _, g := range s.sortedGroups {
		if g.dispatcher != nil {
			s.transferHome(g, home.OfGroup(g.name, others))
		}
	}
}

// isLeaving reports whether a peer's last heartbeat announced that it leaves.
func (s *State) isLeaving(n snipeford.NodeID) bool { return s.peers[n].heartbeat.Leaving }
