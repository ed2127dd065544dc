package reducer

import (
	"errors"
	"sort"

	"snipeford"
	"snipeford/internal/fleet/home"
	"snipeford/internal/fleet/lease"
	"snipeford/internal/policy/limit"
)

// tickMembership renews the lease, reads the rows, and tells the peers.
func (s *State) tickMembership(now snipeford.Instant) {
	if due(&s.due.renewal, now, lease.RenewInterval) {
		s.emit(RenewLease{s.self()})
	}
	if due(&s.due.rows, now, readRowsEvery) {
		s.emit(ReadMembership{})
	}
	if due(&s.due.upstreams, now, readUpstreamsEvery) {
		s.emit(ReadUpstreams{})
	}
	if due(&s.due.version, now, readVersionEvery) {
		s.emit(ReadConfiguration{s.configuration.Version})
	}
	if due(&s.due.heartbeat, now, heartbeatEvery) {
		s.cutOffShares(now)
		s.sendHeartbeats(now)
	}
}

func (s *State) self() snipeford.Member {
	m := s.settings.Member
	m.Leaving = s.leaving
	return m
}

func (s *State) leaseAnswered(now snipeford.Instant, e LeaseRenewalEnded) {
	switch {
	case e.Err == nil:
		s.own.MarkRenewed(e.SentAt)
		s.tableAnswered(now)
	case errors.Is(e.Err, snipeford.ErrConflict):
		s.own.MarkLost()
		s.tableAnswered(now)
	default:
		s.tableUp = false
	}
}

// tableAnswered notes that the table answers. After an outage the homes go on
// until their leases are renewed: others watch a lease anew from their own first
// read, so that nobody takes over before.
func (s *State) tableAnswered(now snipeford.Instant) {
	if !s.tableUp {
		if s.tableDown(now) {
			s.heldOver = now.Add(lease.RenewInterval)
		}
		s.due.renewal = 0
	}
	s.tableUp = true
	s.tableSeen = now
}

func (s *State) rowsRead(now snipeford.Instant, e MembershipRead) {
	if e.Err != nil {
		s.tableUp = false
		return
	}
	s.tableAnswered(now)
	s.view.Update(now, e.Leases)
	s.members = s.view.Members()
	sort.Slice(s.members, func(i, j int) bool { return s.members[i].Node < s.members[j].Node })
	for _, row := range e.Homes {
		s.homeRowRead(now, row)
	}
}

// homeRowRead takes in who is a group's home. A row that another node wrote may
// name this one: it was handed the group.
func (s *State) homeRowRead(now snipeford.Instant, row snipeford.HomeRow) {
	g := s.ensureGroup(row.Group)
	if row.Fence < g.row.Fence {
		return
	}
	g.row = row
	if g.dispatcher != nil && (row.Fence > g.dispatcher.fence || !s.isSelf(row)) {
		s.loseHome(g)
	}
	if g.dispatcher == nil && s.isSelf(row) && !s.leaving && s.own.Held(now) {
		s.becomeHome(now, g)
	}
}

func (s *State) isSelf(row snipeford.HomeRow) bool {
	return row.Node == s.settings.Member.Node && row.Incarnation == s.settings.Member.Incarnation
}

func (s *State) heartbeatHeard(now snipeford.Instant, b snipeford.Heartbeat) {
	s.peers[b.Node] = peer{now, b}
	if b.Configuration > s.configuration.Version {
		s.emit(FetchConfiguration{b.Member})
	}
	for _, summary := range b.Groups {
		s.summaryHeard(b.Member, summary)
	}
	for _, row := range b.TransferredHomes {
		s.homeRowRead(now, row)
	}
	for _, w := range b.ShareDemands {
		s.lender(now, w.Organisation).Report(b.Node, w.Demand, w.CurrentShare)
	}
	for _, grant := range b.ShareGrants {
		s.account(now, grant.Organisation).SetRule(s.limitRule(grant.Organisation), grant.Share, now)
	}
}

// summaryHeard takes in a home's summary. A higher fence than the one known
// from the table names a new home before the next scan does.
func (s *State) summaryHeard(m snipeford.Member, summary snipeford.GroupSummary) {
	g := s.ensureGroup(summary.Group)
	if summary.Fence < g.row.Fence {
		return
	}
	if summary.Fence > g.row.Fence {
		g.row = snipeford.HomeRow{Group: summary.Group, Node: m.Node, Incarnation: m.Incarnation, Fence: summary.Fence}
		if g.dispatcher != nil {
			s.loseHome(g)
		}
	}
	g.summary, g.sent, g.sentCalls = summary, 0, 0
}

// fresh returns the peers that were heard lately.
func (s *State) fresh(now snipeford.Instant) []peer {
	var out []peer
	for _, p := range s.peers {
		if now.Sub(p.heard) < peerFresh {
			out = append(out, p)
		}
	}
	return out
}

// tableDown tells an outage of the table from this node being cut off: the
// table answers neither this node nor any peer, and most peers are heard.
func (s *State) tableDown(now snipeford.Instant) bool {
	if s.tableUp {
		return false
	}
	fresh := s.fresh(now)
	for _, p := range fresh {
		if p.beat.TableReachable {
			return false
		}
	}
	return 2*len(fresh) >= len(s.members)-1
}

func (s *State) sendHeartbeats(now snipeford.Instant) {
	base := snipeford.Heartbeat{Member: s.self(), Configuration: s.configuration.Version, TableReachable: s.tableUp, TransferredHomes: s.handedLately(now)}
	for _, g := range s.sortedHomes() {
		if s.holds(now, g) {
			base.Groups = append(base.Groups, g.summarize(now))
		}
	}
	wants := s.collectWants()
	for _, m := range s.knownMembers() {
		if m.Node == s.settings.Member.Node {
			s.reportOwnWants(now, wants[m.Node])
			continue
		}
		b := base
		b.ShareDemands = wants[m.Node]
		b.ShareGrants = s.grantsFor(now, m.Node)
		s.emit(SendHeartbeat{m, b})
	}
}

func (s *State) sortedHomes() []*group {
	var out []*group
	for _, g := range s.groups {
		if g.dispatcher != nil {
			out = append(out, g)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name.String() < out[j].name.String() })
	return out
}

// knownMembers returns the live members by the table and, while it is down,
// the peers that were heard.
func (s *State) knownMembers() []snipeford.Member {
	out := append([]snipeford.Member(nil), s.members...)
	for _, p := range s.peers {
		if !containsMember(out, p.beat.Node) {
			out = append(out, p.beat.Member)
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

// collectWants sorts this node's use of the limits by the lender of each
// organisation, and starts the next report.
func (s *State) collectWants() map[snipeford.NodeID][]snipeford.ShareDemand {
	out := map[snipeford.NodeID][]snipeford.ShareDemand{}
	for _, o := range s.sortedAccounts() {
		a := s.accounts[o]
		lender := home.OfOrganisation(o, s.members)
		out[lender] = append(out[lender], snipeford.ShareDemand{Organisation: o, Demand: a.Demand, CurrentShare: a.Share()})
		a.Demand = 0
	}
	return out
}

func (s *State) sortedAccounts() []snipeford.Organisation {
	out := make([]snipeford.Organisation, 0, len(s.accounts))
	for o := range s.accounts {
		out = append(out, o)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// reportOwnWants lends to this node where it is the lender itself.
func (s *State) reportOwnWants(now snipeford.Instant, wants []snipeford.ShareDemand) {
	self := s.settings.Member.Node
	for _, w := range wants {
		l := s.lender(now, w.Organisation)
		l.Report(self, w.Demand, w.CurrentShare)
		s.accounts[w.Organisation].SetRule(s.limitRule(w.Organisation), l.Grant(now, self, len(s.members)), now)
	}
}

func (s *State) lender(now snipeford.Instant, o snipeford.Organisation) *limit.ShareAllocator {
	l, ok := s.lenders[o]
	if !ok {
		l = limit.NewShareAllocator(now)
		s.lenders[o] = l
	}
	return l
}

// grantsFor returns the shares that this node, as lender, lends to a peer.
func (s *State) grantsFor(now snipeford.Instant, n snipeford.NodeID) []snipeford.ShareGrant {
	var out []snipeford.ShareGrant
	for o, l := range s.lenders {
		if home.OfOrganisation(o, s.members) != s.settings.Member.Node {
			delete(s.lenders, o)
			continue
		}
		l.Retain(func(id snipeford.NodeID) bool { return containsMember(s.members, id) })
		if l.HasReport(n) {
			out = append(out, snipeford.ShareGrant{Organisation: o, Share: l.Grant(now, n, len(s.members))})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Organisation < out[j].Organisation })
	return out
}

// cutOffShares shrinks the shares whose lender has not been heard.
func (s *State) cutOffShares(now snipeford.Instant) {
	for o, a := range s.accounts {
		lender := home.OfOrganisation(o, s.members)
		if lender == s.settings.Member.Node || lender == "" {
			continue
		}
		if p, ok := s.peers[lender]; ok && now.Sub(p.heard) < lease.TTL {
			continue
		}
		a.SetRule(s.limitRule(o), limit.DisconnectedShare(a.Share(), len(s.members)), now)
	}
}
