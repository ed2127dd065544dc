package reducer

import (
	"sort"
	"strings"

	"snipeford"
	"snipeford/internal/policy/limit"
)

// upstreamsListed takes in the platform's list. It lags, so an upstream that
// vanished from it gets no new work but its running calls go on.
func (s *State) upstreamsListed(now snipeford.Instant, list []snipeford.Upstream) {
	s.listed = true
	next := make(map[snipeford.UpstreamID]snipeford.Upstream, len(list))
	memory := map[snipeford.Group]snipeford.Tokens{}
	for _, u := range list {
		next[u.ID] = u
		memory[groupOf(u)] += u.Memory
		s.ensureGroup(groupOf(u))
	}
	s.upstreams = next
	for name, g := range s.groups {
		g.memory = memory[name]
		if s.settings.Standalone && g.dispatcher == nil {
			g.dispatcher = s.newDispatcher(name, 1)
		}
		if g.dispatcher != nil {
			s.refreshReplicas(now, g)
		}
	}
}

func (s *State) ensureGroup(name snipeford.Group) *group {
	if g, ok := s.groups[name]; ok {
		return g
	}
	g := &group{name: name}
	s.groups[name] = g
	list := append(s.byModel[name.Model], g)
	sort.Slice(list, func(i, j int) bool { return list[i].name.Domain < list[j].name.Domain })
	s.byModel[name.Model] = list
	return g
}

// refreshReplicas makes the home's replicas those of the platform's list and
// marks which of them may get new work.
func (s *State) refreshReplicas(now snipeford.Instant, g *group) {
	d := g.dispatcher
	known := map[snipeford.UpstreamID]bool{}
	for _, r := range d.replicas {
		known[r.ID] = true
		if u, ok := s.upstreams[r.ID]; ok {
			r.upstream = u
		}
	}
	for id, u := range s.upstreams {
		if groupOf(u) == g.name && !known[id] {
			d.replicas = append(d.replicas, newReplica(u))
		}
	}
	s.dropVanished(d)
	sort.Slice(d.replicas, func(i, j int) bool { return d.replicas[i].ID < d.replicas[j].ID })
	d.views = d.views[:0]
	for _, r := range d.replicas {
		s.markUsable(r)
		d.views = append(d.views, &r.Replica)
	}
	if d.usable() == 0 {
		s.bounceQueue(g, snipeford.CauseNoUpstream)
	}
	s.dispatch(now, g)
}

func (s *State) dropVanished(d *dispatcher) {
	kept := d.replicas[:0]
	for _, r := range d.replicas {
		if _, listed := s.upstreams[r.ID]; listed || r.own > 0 {
			kept = append(kept, r)
		}
	}
	d.replicas = kept
}

// markUsable decides whether a replica may get new work. One that comes back
// starts cold.
func (s *State) markUsable(r *replica) {
	_, listed := s.upstreams[r.ID]
	usable := listed && !r.upstream.Leaving && !s.configuration.IsOut(r.upstream)
	if usable && !r.Usable && r.incarnation != "" {
		fresh := newReplica(r.upstream)
		r.window, r.incarnation = fresh.window, ""
	}
	r.Usable = usable
}

// bounceQueue sends all waiting calls of a group back to their entries.
func (s *State) bounceQueue(g *group, cause snipeford.Cause) {
	d := g.dispatcher
	for {
		w := d.queue.PopFirst(snipeford.Instant(1<<62), func(*snipeford.QueuedCall) bool { return true })
		if w == nil {
			return
		}
		s.forget(g, w.ID)
		s.emit(ReturnToEntry{w.ID, g.name, cause, outcomeOf(w), 0})
	}
}

// configurationRead adopts a configuration if it is newer.
func (s *State) configurationRead(now snipeford.Instant, c snipeford.Configuration) {
	if c.Version <= s.configuration.Version {
		return
	}
	s.configuration = c
	for name, a := range s.accounts {
		a.SetRule(s.limitRule(name), a.Share(), now)
	}
	for _, g := range s.groups {
		if g.dispatcher != nil {
			s.refreshReplicas(now, g)
		}
	}
	s.emit(PublishConfiguration{c})
}

func (s *State) limitRule(o snipeford.Organisation) limit.Rule {
	r := s.configuration.Rules.Organisations[o]
	return limit.Rule{
		TokensPerSecond:   r.TokensPerSecond,
		RequestsPerSecond: r.RequestsPerSecond,
		MaxConcurrent:     r.MaxConcurrent,
		MaxPrompt:         r.MaxPrompt,
	}
}

// account returns this node's part of an organisation's limits.
func (s *State) account(now snipeford.Instant, o snipeford.Organisation) *limit.Limiter {
	if a, ok := s.accounts[o]; ok {
		return a
	}
	share := 1.0
	if !s.settings.Standalone {
		share = limit.EvenShare(len(s.members))
	}
	a := limit.NewLimiter(s.limitRule(o), share, now)
	s.accounts[o] = a
	return a
}

// IsService reports whether a group is one of a plain service.
func IsService(g snipeford.Group) bool { return strings.HasPrefix(string(g.Model), "service/") }
