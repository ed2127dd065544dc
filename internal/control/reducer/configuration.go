package reducer

import (
	"sort"
	"strings"

	"snipeford"
	"snipeford/internal/policy/limit"
)

// upstreamsListed applies the platform's list of VMs. The list lags behind, so
// an upstream that is missing from it gets no new calls but its running calls
// continue.
func (s *State) upstreamsListed(now snipeford.Instant, list []snipeford.Upstream) {
	s.upstreamListRead = true
	next := make(map[snipeford.UpstreamID]snipeford.Upstream, len(list))
	memory := map[snipeford.Group]snipeford.Tokens{}
	for _, u := range list {
		next[u.ID] = u
		memory[groupOf(u)] += u.Memory
		s.ensureGroup(groupOf(u))
	}
	s.upstreams = next
	for _, g := range s.sortedGroups {
		g.memory = memory[g.name]
		if s.settings.Standalone && g.dispatcher == nil {
			g.dispatcher = s.newDispatcher(g.name, 1)
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
	s.sortedGroups = append(s.sortedGroups, g)
	sort.Slice(s.sortedGroups, func(i, j int) bool { return s.sortedGroups[i].name.String() < s.sortedGroups[j].name.String() })
	list := append(s.groupsByModel[name.Model], g)
	sort.Slice(list, func(i, j int) bool { return list[i].name.Domain < list[j].name.Domain })
	s.groupsByModel[name.Model] = list
	return g
}

// refreshReplicas updates the home's replicas from the platform's list of VMs
// and marks which of them may get new calls.
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
	s.dropUnlisted(d)
	sort.Slice(d.replicas, func(i, j int) bool { return d.replicas[i].ID < d.replicas[j].ID })
	d.views = d.views[:0]
	for _, r := range d.replicas {
		s.markUsable(r)
		d.views = append(d.views, &r.Replica)
	}
	if d.usableCount() == 0 {
		s.returnQueue(g, snipeford.CauseNoUpstream)
	}
	s.dispatch(now, g)
}

// dropUnlisted removes the replicas that are missing from the platform's list
// of VMs and run no calls.
func (s *State) dropUnlisted(d *dispatcher) {
	kept := d.replicas[:0]
	for _, r := range d.replicas {
		if _, listed := s.upstreams[r.ID]; listed || r.ownRunning > 0 {
			kept = append(kept, r)
		}
	}
	d.replicas = kept
}

// markUsable decides whether a replica may get new calls. One that becomes
// usable again starts cold.
func (s *State) markUsable(r *replica) {
	_, listed := s.upstreams[r.ID]
	usable := listed && !r.upstream.Leaving && !s.configuration.IsOut(r.upstream)
	if usable && !r.Usable && r.incarnation != "" {
		fresh := newReplica(r.upstream)
		r.window, r.incarnation = fresh.window, ""
	}
	r.Usable = usable
}

// returnQueue returns all queued calls of a group to their entry nodes, also the
// retries whose NotBefore has not passed.
func (s *State) returnQueue(g *group, cause snipeford.Cause) {
	d := g.dispatcher
	for {
		q := d.queue.PopFirst(snipeford.Instant(1<<62), func(*snipeford.QueuedCall) bool { return true })
		if q == nil {
			return
		}
		s.untrackCall(g, q.ID)
		s.emit(ReturnToEntry{q.ID, g.name, cause, outcomeOf(q), 0})
	}
}

// configurationRead puts a configuration into force if it is newer.
func (s *State) configurationRead(now snipeford.Instant, c snipeford.Configuration) {
	if c.Version <= s.configuration.Version {
		return
	}
	s.configuration = c
	for name, a := range s.limiters {
		a.SetRule(s.limitRule(name), a.Share(), now)
	}
	for _, g := range s.sortedGroups {
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

// limiter returns the limiter for this node's share of an organisation's limits.
func (s *State) limiter(o snipeford.Organisation) *limit.Limiter {
	if a, ok := s.limiters[o]; ok {
		return a
	}
	share := 1.0
	if !s.settings.Standalone {
		share = limit.EvenShare(len(s.members))
	}
	a := limit.NewLimiter(s.limitRule(o), share)
	s.limiters[o] = a
	return a
}

// IsService reports whether a group holds the replicas of a plain service.
func IsService(g snipeford.Group) bool { return strings.HasPrefix(string(g.Model), "service/") }
