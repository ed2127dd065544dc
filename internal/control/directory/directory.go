// Package directory holds what a node believes of the routing, the upstreams
// and the other nodes. State is pure: it takes batches of rows and instants,
// and returns an immutable View.
package directory

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"snipeford"
	"snipeford/internal/rule/plan"
)

const (
	// returnGrace is how long an upstream whose row is missing after an outage
	// of the store is still used. Live upstreams register again within two
	// seconds of the store's return, as the platform's pages say.
	returnGrace = 2 * time.Second
	// outageMemory is how long after a failed read rows count as removed by the
	// outage, and not by their upstream.
	outageMemory = 3 * time.Second
)

// Peer is another node as its own row tells it.
type Peer struct {
	Node        snipeford.NodeID
	Incarnation snipeford.Incarnation
	Domain      snipeford.FailureDomain
	Address     string
	// Weight is the node's share of a processor core.
	Weight float64
}

// Upstream is a registered upstream with what the directory knows of it.
type Upstream struct {
	snipeford.Upstream
	// ColdUntil is when it stops being cold.
	ColdUntil snipeford.Instant
	// missingSince is when its row went missing around an outage, or zero.
	missingSince snipeford.Instant
}

// View is what traffic goroutines read. It never changes.
type View struct {
	// Plan is nil as long as no routing is known.
	Plan *plan.Plan
	// Usable holds the upstreams of each service that may get requests, by id.
	Usable map[snipeford.ServiceName][]Upstream
	Peers  map[snipeford.NodeID]Peer
	// Listed is set once the upstreams have been read.
	Listed bool
}

// State is the directory. Its zero value knows nothing.
type State struct {
	plan      *plan.Plan
	out       map[snipeford.FailureDomain]bool
	upstreams map[snipeford.UpstreamID]Upstream
	peers     map[snipeford.NodeID]Peer
	listed    bool
	failedAt  snipeford.Instant
	failed    bool
}

// InvalidRow is a row that was left out.
type InvalidRow struct {
	Key string
	Err error
}

// Apply takes in a batch of a collection and returns the rows it could not use.
func (s *State) Apply(now snipeford.Instant, c snipeford.Collection, b snipeford.Batch, registry snipeford.RowDecoder) []InvalidRow {
	s.begin()
	switch c {
	case snipeford.OperatorRows:
		return s.applyOperator(b, registry)
	case snipeford.UpstreamRows:
		s.applyUpstreams(now, b, registry)
	case snipeford.MemberRows:
		return s.applyPeers(b)
	}
	return nil
}

func (s *State) begin() {
	if s.out == nil {
		s.out = map[snipeford.FailureDomain]bool{}
		s.upstreams = map[snipeford.UpstreamID]Upstream{}
		s.peers = map[snipeford.NodeID]Peer{}
	}
}

// RecordStoreFailure notes that the store did not answer.
func (s *State) RecordStoreFailure(now snipeford.Instant) { s.failed, s.failedAt = true, now }

// StoreFailedRecently reports whether the store has failed to answer lately, so that rows
// may have lapsed without their upstreams.
func (s *State) StoreFailedRecently(now snipeford.Instant) bool {
	return s.failed && now.Sub(s.failedAt) < outageMemory
}

func (s *State) applyOperator(b snipeford.Batch, registry snipeford.RowDecoder) []InvalidRow {
	var faults []InvalidRow
	if b.Snapshot {
		clear(s.out)
	}
	for _, change := range b.Changes {
		if domain, ok := registry.OutDomain(change.Key); ok {
			s.setOut(domain, !change.Removed)
			continue
		}
		if !registry.IsRoutingKey(change.Key) || change.Removed {
			continue
		}
		routing, err := registry.Routing(change.Value)
		if err != nil {
			faults = append(faults, InvalidRow{change.Key, err})
			continue
		}
		s.adopt(routing)
	}
	return faults
}

func (s *State) setOut(domain snipeford.FailureDomain, out bool) {
	if out {
		s.out[domain] = true
		return
	}
	delete(s.out, domain)
}

// adopt takes a routing of a higher version; versions never go down.
func (s *State) adopt(r snipeford.Routing) {
	if s.plan != nil && r.Version <= s.plan.Version {
		return
	}
	s.plan = plan.New(r)
}

func (s *State) applyUpstreams(now snipeford.Instant, b snipeford.Batch, registry snipeford.RowDecoder) {
	present := map[snipeford.UpstreamID]bool{}
	for _, change := range b.Changes {
		id := snipeford.UpstreamID(change.Key)
		present[id] = true
		if change.Removed {
			s.remove(now, id)
			continue
		}
		u, ok := registry.Upstream(change.Key, change.Value)
		if !ok {
			delete(s.upstreams, id)
			continue
		}
		s.upstreams[id] = Upstream{Upstream: u, ColdUntil: now.Add(u.ColdTimeLeft)}
	}
	if b.Snapshot {
		s.listed = true
		for id := range s.upstreams {
			if !present[id] {
				s.remove(now, id)
			}
		}
	}
}

// remove drops an upstream whose row has gone. Around an outage of the store
// rows lapse of living upstreams, too: these are kept for returnGrace.
func (s *State) remove(now snipeford.Instant, id snipeford.UpstreamID) {
	u, ok := s.upstreams[id]
	if !ok {
		return
	}
	if !s.StoreFailedRecently(now) || u.Leaving {
		delete(s.upstreams, id)
		return
	}
	if u.missingSince == 0 {
		u.missingSince = now
		s.upstreams[id] = u
	}
}

func (s *State) applyPeers(b snipeford.Batch) []InvalidRow {
	var faults []InvalidRow
	if b.Snapshot {
		clear(s.peers)
	}
	for _, change := range b.Changes {
		id := snipeford.NodeID(change.Key)
		if change.Removed {
			delete(s.peers, id)
			continue
		}
		var p Peer
		if err := json.Unmarshal(change.Value, &p); err != nil {
			faults = append(faults, InvalidRow{change.Key, err})
			continue
		}
		s.peers[id] = p
	}
	return faults
}

// Expire drops upstreams that stayed missing, and reports whether any went.
func (s *State) Expire(now snipeford.Instant) bool {
	gone := false
	for id, u := range s.upstreams {
		if u.missingSince > 0 && now.Sub(u.missingSince) >= returnGrace {
			delete(s.upstreams, id)
			gone = true
		}
	}
	return gone
}

// View returns what traffic may use now.
func (s *State) View() *View {
	v := &View{Plan: s.plan, Listed: s.listed, Usable: map[snipeford.ServiceName][]Upstream{}, Peers: maps.Clone(s.peers)}
	for _, u := range s.upstreams {
		if u.Leaving || s.out[u.Domain] {
			continue
		}
		v.Usable[u.Service] = append(v.Usable[u.Service], u)
	}
	for _, list := range v.Usable {
		slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return v
}
