package reducer

import (
	"errors"
	"sort"

	"snipeford"
	"snipeford/internal/fleet/home"
	"snipeford/internal/fleet/lease"
	"snipeford/internal/policy/limit"
)

// tickMembership emits the periodic lease renewal, reads of shared state and
// heartbeats.
func (s *State) tickMembership(now snipeford.Instant) {
	if due(&s.next.renewal, now, lease.RenewInterval) {
		s.emit(RenewLease{s.self()})
	}
	if due(&s.next.membership, now, membershipReadInterval) {
		s.emit(ReadMembership{})
	}
	if due(&s.next.upstreams, now, upstreamReadInterval) {
		s.emit(ReadUpstreams{})
	}
	if due(&s.next.configuration, now, configurationReadInterval) {
		s.emit(ReadConfiguration{s.configuration.Version})
	}
	if due(&s.next.heartbeat, now, heartbeatInterval) {
		s.reduceStaleShares(now)
		s.sendHeartbeats(now)
	}
}

func (s *State) self() snipeford.Member {
	m := s.settings.Member
	m.Leaving = s.leaving
	return m
}

func (s *State) leaseRenewalEnded(now snipeford.Instant, e LeaseRenewalEnded) {
	switch {
	case e.Err == nil:
		s.ownLease.MarkRenewed(e.SentAt)
		s.tableResponded(now)
	case errors.Is(e.Err, snipeford.ErrConflict):
		s.ownLease.MarkLost()
		s.tableResponded(now)
	default:
		s.tableUp = false
	}
}

// tableResponded records a response of the table. After an outage for all nodes,
// the homes may dispatch for lease.RenewInterval without a lease, and the lease
// is renewed at the next tick. At their first read after a gap of more than
// lease.MaxReadGap, other nodes restart the TTL of all leases, so that none of
// them takes over in this time.
func (s *State) tableResponded(now snipeford.Instant) {
	if !s.tableUp {
		if s.tableDownForAll(now) {
			s.homeGraceUntil = now.Add(lease.RenewInterval)
		}
		s.next.renewal = 0
	}
	s.tableUp = true
	s.tableRespondedAt = now
}

func (s *State) membershipRead(now snipeford.Instant, e MembershipRead) {
	if e.Err != nil {
		s.tableUp = false
		return
	}
	s.tableResponded(now)
	s.leases.Update(now, e.Leases)
	s.members = s.leases.Members()
	sort.Slice(s.members, func(i, j int) bool { return s.members[i].Node < s.members[j].Node })
	for _, row := range e.Homes {
		s.homeRowRead(now, row)
	}
}

// homeRowRead updates the home of a group. A row written by another node may
// name this node: then the group was transferred to it.
func (s *State) homeRowRead(now snipeford.Instant, row snipeford.HomeRow) {
	g := s.ensureGroup(row.Group)
	if row.Fence < g.homeRow.Fence {
		return
	}
	g.homeRow = row
	if g.dispatcher != nil && (row.Fence > g.dispatcher.fence || !s.isSelf(row)) {
		s.loseHome(g)
	}
	if g.dispatcher == nil && s.isSelf(row) && !s.leaving && s.ownLease.Held(now) {
		s.becomeHome(now, g)
	}
}

func (s *State) isSelf(row snipeford.HomeRow) bool {
	return row.Node == s.settings.Member.Node && row.Incarnation == s.settings.Member.Incarnation
}

func (s *State) heartbeatReceived(now snipeford.Instant, b snipeford.Heartbeat) {
	s.peers[b.Node] = peer{now, b}
	if b.Configuration > s.configuration.Version {
		s.emit(FetchConfiguration{b.Member})
	}
	for _, summary := range b.Groups {
		s.summaryReceived(b.Member, summary)
	}
	for _, row := range b.TransferredHomes {
		s.homeRowRead(now, row)
	}
	for _, demand := range b.ShareDemands {
		s.shareAllocator(now, demand.Organisation).Report(b.Node, demand.Demand, demand.CurrentShare)
	}
	for _, grant := range b.ShareGrants {
		s.limiter(grant.Organisation).SetRule(s.limitRule(grant.Organisation), grant.Share, now)
	}
}

// summaryReceived updates a group's summary. If its fencing token is higher than
// that of the known home row, the peer has become the home since the last read of
// the table.
func (s *State) summaryReceived(m snipeford.Member, summary snipeford.GroupSummary) {
	g := s.ensureGroup(summary.Group)
	if summary.Fence < g.homeRow.Fence {
		return
	}
	if summary.Fence > g.homeRow.Fence {
		g.homeRow = snipeford.HomeRow{Group: summary.Group, Node: m.Node, Incarnation: m.Incarnation, Fence: summary.Fence}
		if g.dispatcher != nil {
			s.loseHome(g)
		}
	}
	g.summary, g.sentTokens, g.sentCalls = summary, 0, 0
}

// recentPeers returns the peers whose last heartbeat is newer than peerTimeout.
func (s *State) recentPeers(now snipeford.Instant) []peer {
	var out []peer
	for _, p := range s.peers {
		if now.Sub(p.receivedAt) < peerTimeout {
			out = append(out, p)
		}
	}
	return out
}

// tableDownForAll reports whether the table is down for all nodes, as opposed
// to this node being isolated: the table responds neither to this node nor to any
// recent peer, and at least half of the other members are recent peers.
func (s *State) tableDownForAll(now snipeford.Instant) bool {
	if s.tableUp {
		return false
	}
	recent := s.recentPeers(now)
	for _, p := range recent {
		if p.heartbeat.TableReachable {
			return false
		}
	}
	return 2*len(recent) >= len(s.members)-1
}

func (s *State) sendHeartbeats(now snipeford.Instant) {
	common := snipeford.Heartbeat{Member: s.self(), Configuration: s.configuration.Version, TableReachable: s.tableUp, TransferredHomes: s.recentTransfers(now)}
	for _, g := range s.sortedHomes() {
		if s.mayDispatch(now, g) {
			common.Groups = append(common.Groups, g.summarize(now))
		}
	}
	demands := s.collectDemands()
	for _, m := range s.knownMembers() {
		if m.Node == s.settings.Member.Node {
			s.reportOwnDemands(now, demands[m.Node])
			continue
		}
		b := common
		b.ShareDemands = demands[m.Node]
		b.ShareGrants = s.grantsFor(now, m.Node)
		s.emit(SendHeartbeat{m, b})
	}
}

func (s *State) sortedHomes() []*group {
	var out []*group
	for _, g := range s.sortedGroups {
		if g.dispatcher != nil {
			out = append(out, g)
		}
	}
	return out
}

// knownMembers returns the live members by the table, and the peers that sent a
// heartbeat, which may be missing from it while the table is down.
func (s *State) knownMembers() []snipeford.Member {
	out := append([]snipeford.Member(nil), s.members...)
	for _, p := range s.peers {
		if !containsMember(out, p.heartbeat.Node) {
			out = append(out, p.heartbeat.Member)
		}
	}
	if !containsMember(out, s.settings.Member.Node) {
		out = append(out, s.self())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Node < out[j].Node })
	return out
}

func containsMember(list []snipeford.Member, n snipeford.NodeID) bool {
	for _, m := range list {
		if m.Node == n {
			return true
		}
	}
	return false
}

// collectDemands returns this node's demands since its last reports, grouped by
// the organisations' allocator nodes, and resets the counts.
func (s *State) collectDemands() map[snipeford.NodeID][]snipeford.ShareDemand {
	out := map[snipeford.NodeID][]snipeford.ShareDemand{}
	for _, o := range s.limitedOrganisations() {
		a := s.limiters[o]
		allocatorNode := home.OfOrganisation(o, s.members)
		out[allocatorNode] = append(out[allocatorNode], snipeford.ShareDemand{Organisation: o, Demand: a.Demand, CurrentShare: a.Share()})
		a.Demand = 0
	}
	return out
}

func (s *State) limitedOrganisations() []snipeford.Organisation {
	out := make([]snipeford.Organisation, 0, len(s.limiters))
	for o := range s.limiters {
		out = append(out, o)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// reportOwnDemands handles the demands of this node for the organisations whose
// allocator node it is itself.
func (s *State) reportOwnDemands(now snipeford.Instant, demands []snipeford.ShareDemand) {
	self := s.settings.Member.Node
	for _, demand := range demands {
		allocator := s.shareAllocator(now, demand.Organisation)
		allocator.Report(self, demand.Demand, demand.CurrentShare)
		s.limiters[demand.Organisation].SetRule(s.limitRule(demand.Organisation), allocator.Grant(now, self, len(s.members)), now)
	}
}

func (s *State) shareAllocator(now snipeford.Instant, o snipeford.Organisation) *limit.ShareAllocator {
	allocator, ok := s.shareAllocators[o]
	if !ok {
		allocator = limit.NewShareAllocator(now)
		s.shareAllocators[o] = allocator
	}
	return allocator
}

// grantsFor returns the shares that this node, as allocator node, grants to a
// peer.
func (s *State) grantsFor(now snipeford.Instant, n snipeford.NodeID) []snipeford.ShareGrant {
	var out []snipeford.ShareGrant
	for o, allocator := range s.shareAllocators {
		if home.OfOrganisation(o, s.members) != s.settings.Member.Node {
			delete(s.shareAllocators, o)
			continue
		}
		allocator.Retain(func(id snipeford.NodeID) bool { return containsMember(s.members, id) })
		if allocator.HasReport(n) {
			out = append(out, snipeford.ShareGrant{Organisation: o, Share: allocator.Grant(now, n, len(s.members))})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Organisation < out[j].Organisation })
	return out
}

// reduceStaleShares limits the shares whose allocator node has sent no heartbeat
// for lease.TTL.
func (s *State) reduceStaleShares(now snipeford.Instant) {
	for o, a := range s.limiters {
		allocatorNode := home.OfOrganisation(o, s.members)
		if allocatorNode == s.settings.Member.Node || allocatorNode == "" {
			continue
		}
		if p, ok := s.peers[allocatorNode]; ok && now.Sub(p.receivedAt) < lease.TTL {
			continue
		}
		a.SetRule(s.limitRule(o), limit.DisconnectedShare(a.Share(), len(s.members)), now)
	}
}
