package reducer

import (
	"math"
	"time"

	"snipeford"
	"snipeford/internal/fleet/home"
	"snipeford/internal/fleet/lease"
)

// holds reports whether this node may dispatch for the group: its lease can't
// yet be seen as lapsed, or the table is down for all, so that nobody can take
// over.
func (s *State) holds(now snipeford.Instant, g *group) bool {
	if s.settings.Standalone {
		return true
	}
	if g.dispatcher == nil {
		return false
	}
	return s.own.Held(now) || now < s.heldOver || s.tableDown(now)
}

// until returns when a send under a home of this node must not start any more.
func (s *State) until(now snipeford.Instant) snipeford.Instant {
	if s.settings.Standalone {
		return snipeford.Instant(math.MaxInt64)
	}
	if s.own.Held(now) {
		return s.own.ValidUntil()
	}
	if now < s.heldOver {
		return s.heldOver
	}
	return now.Add(lease.TTL - lease.SafetyMargin)
}

// tickHomes claims the groups that rendezvous gives to this node, and hands
// over those that it gives to another.
func (s *State) tickHomes(now snipeford.Instant) {
	if !due(&s.due.claim, now, claimEvery) || !s.view.Loaded() || !s.tableUp {
		return
	}
	staying := s.staying()
	for _, g := range s.groups {
		wanted := home.OfGroup(g.name, staying)
		if g.dispatcher != nil {
			s.handOver(g, wanted)
			continue
		}
		if wanted == s.settings.Member.Node && s.own.Held(now) && s.free(g.row) && g.memoryOrService() {
			s.claim(g)
		}
	}
}

// staying returns the members of which none has said that it leaves.
func (s *State) staying() []snipeford.Member {
	var out []snipeford.Member
	for _, m := range s.members {
		if !s.saysLeaving(m.Node) && (m.Node != s.settings.Member.Node || !s.leaving) {
			out = append(out, m)
		}
	}
	return out
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
	s.becomeHome(now, g)
}

// becomeHome starts to decide for a group, and tells the peers at once.
func (s *State) becomeHome(now snipeford.Instant, g *group) {
	g.dispatcher = s.newDispatcher(g.name, g.row.Fence)
	s.refreshReplicas(now, g)
	for _, r := range g.dispatcher.replicas {
		s.emit(PollLoad{r.upstream})
		s.emit(ReleaseStaleReservations{r.upstream, g.row.Fence})
	}
	s.due.heartbeat = 0
}

// handOver gives a home that belongs elsewhere to the wanted node: its queue
// goes back to the entries, its running calls end here.
func (s *State) handOver(g *group, wanted snipeford.NodeID) {
	successor, ok := s.Member(wanted)
	if !ok || wanted == s.settings.Member.Node {
		return
	}
	row := g.row
	row.Node, row.Incarnation = successor.Node, successor.Incarnation
	row.Fence++
	s.emit(TransferHome{row})
	s.loseHome(g)
}

// handedFor is how long heartbeats tell of a home that was handed over.
const handedFor = 3 * time.Second

// homeHanded tells all peers at once of a home that was handed over.
func (s *State) homeHanded(now snipeford.Instant, row snipeford.HomeRow) {
	s.homeRowRead(now, row)
	s.handed = append(s.handed, handedHome{now, row})
	s.due.heartbeat = 0
}

// handedLately returns the homes that were handed over lately.
func (s *State) handedLately(now snipeford.Instant) []snipeford.HomeRow {
	var kept []handedHome
	var out []snipeford.HomeRow
	for _, h := range s.handed {
		if now.Sub(h.at) < handedFor {
			kept = append(kept, h)
			out = append(out, h.row)
		}
	}
	s.handed = kept
	return out
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

// leave starts the graceful stop: this node hands its homes over at once, and
// peers choose it for none.
func (s *State) leave() {
	s.leaving = true
	s.due = schedule{}
	others := s.staying()
	for _, g := range s.groups {
		if g.dispatcher != nil {
			s.handOver(g, home.OfGroup(g.name, others))
		}
	}
}

// saysLeaving reports whether a peer's last heartbeat said that it leaves.
func (s *State) saysLeaving(n snipeford.NodeID) bool { return s.peers[n].beat.Leaving }
