package reducer

import (
	"math"

	"snipeford"
	"snipeford/internal/fleet/home"
	"snipeford/internal/fleet/lease"
)

// holds reports whether this node may dispatch for the group: its lease can't
// yet be seen as lapsed, or the table is down for all, so that nobody can take
// over.
func (s *State) holds(now snipeford.Instant, g *group) bool {
	if s.settings.Alone {
		return true
	}
	if g.dispatcher == nil {
		return false
	}
	return s.own.Held(now) || s.tableDown(now)
}

// until returns when a send under a home of this node must not start any more.
func (s *State) until(now snipeford.Instant) snipeford.Instant {
	if s.settings.Alone {
		return snipeford.Instant(math.MaxInt64)
	}
	if s.own.Held(now) {
		return s.own.Until()
	}
	return now.Add(lease.TTL - lease.Margin)
}

// tickHomes claims the groups that rendezvous gives to this node, and hands
// over those that it gives to another.
func (s *State) tickHomes(now snipeford.Instant) {
	if !due(&s.due.claim, now, claimEvery) || !s.view.Known() || !s.tableUp {
		return
	}
	for _, g := range s.groups {
		wanted := home.OfGroup(g.name, s.members)
		if g.dispatcher != nil {
			s.handOver(g, wanted)
			continue
		}
		if wanted == s.settings.Member.Node && s.own.Held(now) && s.free(g.row) && g.memoryOrService() {
			s.claim(g)
		}
	}
}

// memoryOrService reports whether the platform's list still has the group.
func (g *group) memoryOrService() bool { return g.memory > 0 || IsService(g.name) }

// free reports whether a group's home row may be taken over.
func (s *State) free(row snipeford.HomeRow) bool {
	return row.Node == "" || s.isSelf(row) || !s.view.Live(row.Node, row.Incarnation)
}

func (s *State) claim(g *group) {
	row := g.row
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
	if e.Row.Fence < g.row.Fence || g.dispatcher != nil {
		return
	}
	g.row = e.Row
	g.dispatcher = s.newDispatcher(g.name, e.Row.Fence)
	s.refreshReplicas(now, g)
	for _, r := range g.dispatcher.replicas {
		s.emit(PollLoad{r.upstream})
		s.emit(SweepReservations{r.upstream, e.Row.Fence})
	}
}

// handOver releases a home that belongs elsewhere: its queue goes back to the
// entries, its running calls end here.
func (s *State) handOver(g *group, wanted snipeford.NodeID) {
	if wanted == "" || wanted == s.settings.Member.Node {
		return
	}
	row := g.row
	row.Node, row.Incarnation = "", ""
	s.emit(ReleaseHome{row})
	s.loseHome(g)
	g.row.Node = ""
}

// loseHome stops deciding for a group. Its running calls go on to their end.
func (s *State) loseHome(g *group) {
	s.bounceQueue(g, snipeford.CauseNotHome)
	for id := range g.dispatcher.calls {
		delete(s.homed, id)
	}
	g.dispatcher = nil
	g.summary = snipeford.GroupSummary{}
}

func (s *State) homeReleased(name snipeford.Group) {
	if g := s.groups[name]; g != nil && g.dispatcher == nil {
		g.row.Node = ""
	}
}

// leave starts the graceful stop: peers choose other homes, and this node
// hands over at once.
func (s *State) leave() {
	s.leaving = true
	s.due = schedule{}
	for _, g := range s.groups {
		if g.dispatcher != nil {
			s.handOver(g, "another")
		}
	}
}
