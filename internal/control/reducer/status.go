package reducer

import (
	"sort"

	"snipeford"
)

// Status is the state of a node as operators see it.
type Status struct {
	Node          snipeford.NodeID
	FailureDomain snipeford.FailureDomain
	Incarnation   snipeford.Incarnation
	Ready         bool
	Leaving       bool
	TableUp       bool
	LeaseHeld     bool
	Configuration snipeford.Version
	// Calls counts the calls in progress that entered at this node; Offered and
	// Retried are the counts of the retry budget.
	Calls   int
	Offered int
	Retried int
	Members []snipeford.Member
	Groups  []GroupStatus
	Limits  []LimitStatus
}

// GroupStatus is the state of a group whose home is this node.
type GroupStatus struct {
	Group snipeford.Group
	Fence snipeford.FencingToken
	// Waiting counts the queued calls by organisation, and Work is their work
	// in tokens.
	Waiting map[snipeford.Organisation]int
	Work    snipeford.Tokens
	Running int
	// Claimed is set while a queued call holds a memory reservation.
	Claimed   bool
	Upstreams []UpstreamStatus
}

// UpstreamStatus is an upstream as its home sees it.
type UpstreamStatus struct {
	Upstream  snipeford.UpstreamID
	State     snipeford.UpstreamState
	Running   int
	Window    int
	Committed snipeford.Tokens
	Memory    snipeford.Tokens
	// Short is set if the upstream is dedicated to short prompts.
	Short bool
}

// LimitStatus is the node's share of an organisation's limits.
type LimitStatus struct {
	Organisation snipeford.Organisation
	Share        float64
	Running      int
}

// Status returns the current status of the node.
func (s *State) Status(now snipeford.Instant) Status {
	out := Status{
		Node:          s.settings.Member.Node,
		FailureDomain: s.settings.Member.Domain,
		Incarnation:   s.settings.Member.Incarnation,
		Ready:         s.Ready(now),
		Leaving:       s.leaving,
		TableUp:       s.tableUp,
		LeaseHeld:     s.ownLease.Held(now),
		Configuration: s.configuration.Version,
		Calls:         len(s.entryCalls),
		Offered:       s.retries.Offered,
		Retried:       s.retries.Retried,
		Members:       s.knownMembers(),
	}
	for _, g := range s.sortedHomes() {
		out.Groups = append(out.Groups, g.status())
	}
	for _, o := range s.limitedOrganisations() {
		a := s.limiters[o]
		out.Limits = append(out.Limits, LimitStatus{o, a.Share(), a.Running()})
	}
	return out
}

func (g *group) status() GroupStatus {
	d := g.dispatcher
	out := GroupStatus{
		Group:   g.name,
		Fence:   d.fence,
		Waiting: d.queue.ByOrganisation(),
		Work:    d.queue.Work(),
		Running: len(d.running),
		Claimed: d.reservingCall != nil,
	}
	for _, r := range d.replicas {
		out.Upstreams = append(out.Upstreams, r.status())
	}
	return out
}

func (r *replica) status() UpstreamStatus {
	state := r.window.State()
	switch {
	case r.upstream.Leaving:
		state = snipeford.StateLeaving
	case !r.Usable:
		state = snipeford.StateOut
	}
	return UpstreamStatus{r.ID, state, r.ownRunning + r.inheritedRunning, r.window.Limit(), r.Committed, r.Memory, r.DedicatedToShort}
}

// Member returns a node that is a live member or has sent a heartbeat.
func (s *State) Member(id snipeford.NodeID) (snipeford.Member, bool) {
	if p, ok := s.peers[id]; ok {
		return p.heartbeat.Member, true
	}
	for _, m := range s.members {
		if m.Node == id {
			return m, true
		}
	}
	return snipeford.Member{}, false
}

// Peers returns all other known members, ordered by ID.
func (s *State) Peers() []snipeford.Member {
	var out []snipeford.Member
	for _, m := range s.knownMembers() {
		if m.Node != s.settings.Member.Node {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}
