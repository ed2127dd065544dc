// Package directory holds a node's view of the routing, the upstreams and the
// nodes. State does no I/O and reads no clock: it applies batches of rows
// at given instants and builds immutable Views.
package directory

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"snipeford"
	"snipeford/internal/rule/plan"
)

// ReregisterPeriod is how long after the end of a store outage live upstreams whose
// rows expired during the outage are registered again. An upstream whose row is still
// missing after that is gone.
const ReregisterPeriod = 2 * time.Second

// Peer is a node, this one or another, as described by its own row in the store.
type Peer struct {
	Node        snipeford.NodeID
	Incarnation snipeford.Incarnation
	Domain      snipeford.FailureDomain
	Address     string
	// ProcessorShare is the fraction of a processor core that the node's VM has. It
	// weights the choice of the homes of services and of the nodes that forward rows
	// of the store to others.
	ProcessorShare float64 `json:"Weight"`
	// OffersDetours is set if the node carries connections of other nodes to upstreams.
	// Nodes of earlier versions do not.
	OffersDetours bool `json:"Detours,omitempty"`
	// StatesRevisions is set if the node states the revisions of the rows that it forwards.
	// Nodes of earlier versions do not, and are not used as feeders.
	StatesRevisions bool `json:"Revisions,omitempty"`
	// KeepsHomesLarge is set if the node ranks homes by home.Rank. Nodes of earlier versions
	// use the ranking of home.Spread.
	KeepsHomesLarge bool `json:"LargeHomes,omitempty"`
	// HasStandbyFeeders is set if the node ranks feeders as active and standby ones, and
	// ends a subscription at a second Subscribe. Nodes of earlier versions do not.
	HasStandbyFeeders bool `json:"StandbyFeeders,omitempty"`
}

// Upstream is a registered upstream with the state that the directory keeps
// for it.
type Upstream struct {
	snipeford.Upstream
	// ColdUntil is the end of the upstream's cold period.
	ColdUntil snipeford.Instant
	// removeAt is when the upstream is removed because its row is missing, or zero
	// while the row is present.
	removeAt snipeford.Instant
}

// View is an immutable snapshot of the directory for traffic goroutines.
type View struct {
	// Plan is the compiled routing, or nil until a routing has been read.
	Plan *plan.Plan
	// Usable holds the upstreams of each service that may receive requests,
	// sorted by id.
	Usable map[snipeford.ServiceName][]Upstream
	Peers  map[snipeford.NodeID]Peer
	// Listed reports whether a snapshot of the upstream rows has been applied.
	Listed bool
	// MarkedEra is the era that the era mark names, or zero if there is none.
	MarkedEra snipeford.Era
	// Quarantines holds the nodes' decisions on prefix parts. A part may have several.
	Quarantines []snipeford.Quarantine
	// Leaving holds the upstreams with rows that have said in a response that they leave,
	// sorted by id. None of them is in Usable.
	Leaving []snipeford.LeavingUpstream
}

// State is the mutable directory. Its zero value is empty and ready to use.
type State struct {
	plan *plan.Plan
	// routingValue is the value of the row that the plan was built from, and cost the work.
	routingValue []byte
	cost         RoutingCost
	preparer     preparer
	// outDomains holds the failure domains that are out of service, and until when if
	// their row is missing.
	outDomains map[snipeford.FailureDomain]snipeford.Instant
	upstreams  map[snipeford.UpstreamID]Upstream
	peers      map[snipeford.NodeID]Peer
	// quarantines holds the decisions by the key of their row.
	quarantines map[string][]snipeford.Quarantine
	listed      bool
	// markedEra is that of the era mark.
	markedEra snipeford.Era
	// keepMissingUntil is set by KeepMissing.
	keepMissingUntil snipeford.Instant
	removed          map[snipeford.UpstreamID]removal
	copied           copiedRows
	// leaving holds the upstreams that have said that they leave, with the instant at
	// which they said so or, if that is later, their row was last known.
	leaving map[snipeford.LeavingUpstream]snipeford.Instant
}

// InvalidRow is a row that was skipped because it could not be decoded or, for
// ErrOlderRouting, because a newer routing is in force. For a routing it may stand for an
// entry, while the others are in force.
type InvalidRow struct {
	Key string
	Err error
}

// Apply applies a batch of rows of a collection and returns the rows that it skipped.
func (s *State) Apply(now snipeford.Instant, c snipeford.Collection, b snipeford.Batch, decoder snipeford.RowDecoder) []InvalidRow {
	return s.ApplyPrepared(now, c, b, decoder, nil)
}

// ApplyPrepared applies a batch as Apply does, with the result of PrepareRouting for it.
func (s *State) ApplyPrepared(now snipeford.Instant, c snipeford.Collection, b snipeford.Batch, decoder snipeford.RowDecoder, prepared []*PreparedRouting) []InvalidRow {
	s.initMaps()
	switch c {
	case snipeford.OperatorRows:
		return s.applyOperatorRows(now, b, decoder, prepared)
	case snipeford.UpstreamRows:
		return s.applyUpstreams(now, b, decoder)
	case snipeford.MemberRows:
		return s.applyPeers(now, b)
	}
	return nil
}

func (s *State) initMaps() {
	if s.outDomains == nil {
		s.outDomains = map[snipeford.FailureDomain]snipeford.Instant{}
		s.removed = map[snipeford.UpstreamID]removal{}
		s.leaving = map[snipeford.LeavingUpstream]snipeford.Instant{}
		s.upstreams = map[snipeford.UpstreamID]Upstream{}
		s.peers = map[snipeford.NodeID]Peer{}
		s.quarantines = map[string][]snipeford.Quarantine{}
	}
}

// KeepMissing makes later batches keep the upstreams whose rows they remove, until
// the given instant. It is the end of ReregisterPeriod after a store outage, in which
// rows of live upstreams expired, or an instant that has passed.
func (s *State) KeepMissing(until snipeford.Instant) { s.keepMissingUntil = until }

func (s *State) applyOperatorRows(now snipeford.Instant, b snipeford.Batch, decoder snipeford.RowDecoder, prepared []*PreparedRouting) []InvalidRow {
	var invalid []InvalidRow
	switch {
	case s.fromCopy(now, b):
		s.keepOutDomains(now)
	case b.Snapshot:
		clear(s.outDomains)
	}
	for _, change := range b.Changes {
		if domain, ok := decoder.OutDomain(change.Key); ok {
			s.setDomainOut(domain, !change.Removed)
			continue
		}
		if !decoder.IsRoutingKey(change.Key) || change.Removed || s.inForce(change.Value) {
			continue
		}
		routing := s.prepared(change.Value, prepared, decoder)
		switch {
		case routing.skipped:
			// The batch has a higher version that is valid.
		case routing.err != nil:
			invalid = append(invalid, InvalidRow{change.Key, routing.err})
		case !s.supersedes(routing.version, s.fromCopy(now, b) && !s.copied.operatorsRead):
			invalid = append(invalid, InvalidRow{change.Key, fmt.Errorf("version %d: %w", routing.version, ErrOlderRouting)})
		default:
			s.plan, s.routingValue, s.cost = routing.plan, change.Value, routing.cost
			invalid = append(invalid, invalidEntries(change.Key, routing.version, routing.invalid)...)
		}
	}
	s.copied.operatorsRead = s.copied.operatorsRead || b.Snapshot
	return invalid
}

// maxInvalidEntries limits the entries of a routing that are reported one by one, since
// the log is limited as a whole.
const maxInvalidEntries = 16

// invalidEntries reports entries of a routing that could not be used.
func invalidEntries(key string, version snipeford.Version, errs []error) []InvalidRow {
	var out []InvalidRow
	for _, err := range errs[:min(len(errs), maxInvalidEntries)] {
		out = append(out, InvalidRow{key, fmt.Errorf("version %d: %w", version, err)})
	}
	if more := len(errs) - len(out); more > 0 {
		out = append(out, InvalidRow{key, fmt.Errorf("version %d: %d more: %w", version, more, errInvalidEntry)})
	}
	return out
}

// errInvalidEntry is the error of entries that are not reported one by one.
var errInvalidEntry = errors.New("entry could not be used")

func (s *State) setDomainOut(domain snipeford.FailureDomain, out bool) {
	if out {
		s.outDomains[domain] = 0
		return
	}
	delete(s.outDomains, domain)
}

// ErrOlderRouting is the error of a routing whose version is lower than that of the one
// in force, or which a copy of the store holds beside the same version.
var ErrOlderRouting = errors.New("routing is older than the one in force")

// inForce reports whether the plan was built from this value of the routing row.
func (s *State) inForce(value []byte) bool {
	return s.plan != nil && bytes.Equal(value, s.routingValue)
}

// supersedes reports whether a routing replaces the plan. Of two with the same version,
// the one that was written later does, but a copy may hold the earlier one.
func (s *State) supersedes(version snipeford.Version, fromCopy bool) bool {
	return s.plan == nil || version > s.plan.Version || version == s.plan.Version && !fromCopy
}

// errNoUpstream is the error of a row that does not describe an upstream.
var errNoUpstream = errors.New("row describes no upstream")

// applyUpstreams applies upstream rows.
func (s *State) applyUpstreams(now snipeford.Instant, b snipeford.Batch, decoder snipeford.RowDecoder) []InvalidRow {
	var invalid []InvalidRow
	present := map[snipeford.UpstreamID]bool{}
	fromCopy := s.fromCopy(now, b)
	if fromCopy && s.copied.rows == nil {
		s.copied.keepRows(b.Changes)
	}
	for _, change := range b.Changes {
		id := snipeford.UpstreamID(change.Key)
		present[id] = true
		delete(s.copied.upstreams, id)
		if change.Removed {
			s.removeUpstream(now, id)
			continue
		}
		u, ok := decoder.Upstream(change.Key, change.Value)
		if !ok {
			s.removeUndecodable(now, id, fromCopy)
			invalid = append(invalid, InvalidRow{change.Key, errNoUpstream})
			continue
		}
		row := Upstream{Upstream: u, ColdUntil: now.Add(u.ColdTimeLeft)}
		if fromCopy && s.copied.has(change) && s.deferCopied(now, id, row) {
			continue
		}
		s.replace(now, id, row)
	}
	if b.Snapshot {
		s.listed = true
		maps.DeleteFunc(s.copied.upstreams, func(id snipeford.UpstreamID, _ Upstream) bool { return !present[id] })
		for id := range s.upstreams {
			if !present[id] {
				s.removeUpstream(now, id)
			}
		}
	}
	return invalid
}

// removeUpstream removes an upstream whose row is gone, unless it is to be kept, see
// KeepMissing.
func (s *State) removeUpstream(now snipeford.Instant, id snipeford.UpstreamID) {
	u, ok := s.upstreams[id]
	if !ok {
		return
	}
	if now >= s.keepMissingUntil || u.Leaving {
		s.forget(now, id)
		return
	}
	if u.removeAt == 0 {
		u.removeAt = s.keepMissingUntil
		s.upstreams[id] = u
	}
}

// removeUndecodable removes an upstream whose row cannot be decoded, at once even around a
// store outage: outages make rows expire, but do not change them. A row of a copy may be
// older than what the directory knows, and counts as missing.
func (s *State) removeUndecodable(now snipeford.Instant, id snipeford.UpstreamID, fromCopy bool) {
	if fromCopy {
		s.removeUpstream(now, id)
		return
	}
	if _, ok := s.upstreams[id]; ok {
		s.forget(now, id)
	}
}

func (s *State) applyPeers(now snipeford.Instant, b snipeford.Batch) []InvalidRow {
	var invalid []InvalidRow
	switch {
	case s.fromCopy(now, b):
		s.keepMembers()
	case b.Snapshot:
		clear(s.peers)
		clear(s.quarantines)
		s.markedEra = 0
	}
	for _, change := range b.Changes {
		delete(s.copied.members, change.Key)
		if change.Key == EraMarkKey {
			if err := s.applyEraMark(change); err != nil {
				invalid = append(invalid, InvalidRow{change.Key, err})
			}
			continue
		}
		if strings.HasPrefix(change.Key, quarantinePrefix) {
			if err := s.applyQuarantines(change); err != nil {
				invalid = append(invalid, InvalidRow{change.Key, err})
			}
			continue
		}
		id := snipeford.NodeID(change.Key)
		if change.Removed {
			delete(s.peers, id)
			continue
		}
		var p Peer
		if err := json.Unmarshal(change.Value, &p); err != nil {
			invalid = append(invalid, InvalidRow{change.Key, err})
			continue
		}
		s.peers[id] = p
	}
	return invalid
}

// quarantinePrefix begins the keys of the rows that hold the decisions on prefix parts
// that a node knows. They are among the nodes' rows, which all nodes follow.
const quarantinePrefix = "quarantine/"

// QuarantineKey returns the key of the row in which a node keeps its decisions.
func QuarantineKey(node snipeford.NodeID) string { return quarantinePrefix + string(node) }

// applyQuarantines applies a row of decisions, which is a list: a node that does not
// know such rows cannot take it for a Peer.
func (s *State) applyQuarantines(change snipeford.Change) error {
	delete(s.quarantines, change.Key)
	if change.Removed {
		return nil
	}
	var list []snipeford.Quarantine
	if err := json.Unmarshal(change.Value, &list); err != nil {
		return fmt.Errorf("decode quarantines: %w", err)
	}
	s.quarantines[change.Key] = list
	return nil
}

// Expire removes upstreams whose rows are still missing at the end of
// ReregisterPeriod, and ends the period of BeginEra. It reports whether this changed
// anything.
func (s *State) Expire(now snipeford.Instant) bool {
	s.expireLeaving(now)
	expired := s.expireCopied(now)
	for id, u := range s.upstreams {
		if u.removeAt > 0 && now >= u.removeAt {
			s.forget(now, id)
			expired = true
		}
	}
	return expired
}

// View returns an immutable snapshot of the current state.
func (s *State) View() *View {
	v := &View{Plan: s.plan, Listed: s.listed, Usable: map[snipeford.ServiceName][]Upstream{}, Peers: maps.Clone(s.peers), Leaving: s.leavingWithRows(), MarkedEra: s.markedEra}
	for _, u := range s.upstreams {
		if _, out := s.outDomains[u.Domain]; out || s.leaves(u) {
			continue
		}
		v.Usable[u.Service] = append(v.Usable[u.Service], u)
	}
	for _, key := range slices.Sorted(maps.Keys(s.quarantines)) {
		v.Quarantines = append(v.Quarantines, s.quarantines[key]...)
	}
	for _, list := range v.Usable {
		slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return v
}
