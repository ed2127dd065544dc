// Package reach judges from the results of connecting which upstreams a node reaches
// itself. It tells an upstream that nobody reaches from a node that has lost its own
// links: another node still reaches the upstream then.
//
// A detour is a connection to an upstream through another node.
package reach

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"snipeford"
)

const (
	// minLost is the number of upstreams that only detours reach, and the next one
	// without a success in between, from which on the node is cut off: other upstreams
	// are then taken to be lost, too.
	minLost = 2
	// minRegained is the number of direct connections in a row that end that.
	minRegained = 2
	// minUnreached is the number of upstreams that neither the node nor another one has
	// reached, from which on no upstream is reachable.
	minUnreached = 3
	// unreachedTTL is how long an upstream counts as unreached.
	unreachedTTL = time.Second
	// probeInterval is the time between two probes of lost links.
	probeInterval = 500 * time.Millisecond
	// minDetourDelay and detourDelayFactor determine how long a direct connection may
	// take before a detour is tried as well.
	minDetourDelay    = 100 * time.Millisecond
	detourDelayFactor = 4
	// connectTimeWeight is the weight of the last connection in the mean connect time.
	connectTimeWeight = 0.1
)

// State is what one node knows of its links. The zero value is ready to use.
type State struct {
	// lost holds since when only detours reach an upstream, and unreached when an
	// upstream was last found to be reached by nobody. The keys are addresses.
	lost      map[string]snipeford.Instant
	unreached map[string]snipeford.Instant
	// streak holds the upstreams that were lost since the last direct connection.
	streak map[string]bool
	cutOff bool
	// regained counts the direct connections since the last one that failed.
	regained    int
	probedAt    snipeford.Instant
	connectTime time.Duration
}

// Connected records a direct connection that took a time to open.
func (s *State) Connected(now snipeford.Instant, address string, took time.Duration) {
	delete(s.lost, address)
	clear(s.unreached)
	clear(s.streak)
	s.regained++
	if s.connectTime == 0 {
		s.connectTime = took
	}
	s.connectTime += time.Duration(connectTimeWeight * float64(took-s.connectTime))
	if s.cutOff && (s.regained >= minRegained || len(s.lost) == 0) {
		s.cutOff = false
		clear(s.lost)
	}
}

// Lost records that a detour reached an upstream that a direct connection did not reach.
func (s *State) Lost(now snipeford.Instant, address string) {
	if s.lost == nil {
		s.lost, s.streak = map[string]snipeford.Instant{}, map[string]bool{}
	}
	clear(s.unreached)
	s.regained = 0
	s.lost[address], s.streak[address] = now, true
	s.cutOff = s.cutOff || len(s.streak) >= minLost
}

// Detoured records a detour to an upstream to which no direct connection was tried.
func (s *State) Detoured() { clear(s.unreached) }

// Unreached records an upstream that neither a direct connection nor a detour reached.
func (s *State) Unreached(now snipeford.Instant, address string) {
	if s.unreached == nil {
		s.unreached = map[string]snipeford.Instant{}
	}
	s.regained = 0
	s.unreached[address] = now
}

// PrefersDetour reports whether a detour to an upstream is tried before a direct
// connection.
func (s *State) PrefersDetour(address string) bool {
	_, lost := s.lost[address]
	return lost || s.cutOff
}

// IsUnreached reports whether an upstream was lately found to be reached by nobody.
func (s *State) IsUnreached(now snipeford.Instant, address string) bool {
	at, ok := s.unreached[address]
	return ok && now.Sub(at) <= unreachedTTL
}

// CutOff reports whether the node has lost its links to upstreams that other nodes
// reach.
func (s *State) CutOff() bool { return s.cutOff }

// LostCount returns the number of upstreams that only detours reach.
func (s *State) LostCount() int { return len(s.lost) }

// NoWay reports whether neither this node nor other nodes have lately reached any of some
// upstreams that were tried: minUnreached of them, or all if they are fewer. contactAt is
// when any upstream last sent something.
func (s *State) NoWay(now, contactAt snipeford.Instant, addresses []string) bool {
	maps.DeleteFunc(s.unreached, func(_ string, at snipeford.Instant) bool { return now.Sub(at) > unreachedTTL || at <= contactAt })
	found := 0
	for _, address := range addresses {
		if _, ok := s.unreached[address]; ok {
			found++
		}
	}
	return found > 0 && found >= min(minUnreached, len(addresses))
}

// Undecided returns the first of some upstreams that has not lately been found to be
// reached by nobody, unless NoWay holds for them or nobody has failed to reach any upstream.
func (s *State) Undecided(now, contactAt snipeford.Instant, addresses []string) (string, bool) {
	if s.NoWay(now, contactAt, addresses) || len(s.unreached) == 0 {
		return "", false
	}
	i := slices.IndexFunc(addresses, func(address string) bool { return !s.IsUnreached(now, address) })
	if i < 0 {
		return "", false
	}
	return addresses[i], true
}

// HasUnreached reports whether an upstream was lately found to be reached by nobody.
func (s *State) HasUnreached() bool { return len(s.unreached) > 0 }

// Failing reports whether the last direct connection failed.
func (s *State) Failing() bool { return s.regained == 0 && len(s.lost)+len(s.unreached) > 0 }

// DetourDelay returns how long a direct connection may take before a detour is tried as
// well.
func (s *State) DetourDelay() time.Duration {
	return max(minDetourDelay, detourDelayFactor*s.connectTime)
}

// NextProbe returns the address of an upstream to which a direct connection is due as a
// probe: the one that was lost, or found to be reached by nobody, first.
func (s *State) NextProbe(now snipeford.Instant) (string, bool) {
	due := s.lost
	if len(due) == 0 {
		due = s.unreached
	}
	if len(due) == 0 || s.probedAt > 0 && now.Sub(s.probedAt) < probeInterval {
		return "", false
	}
	s.probedAt = now
	return slices.MinFunc(slices.Collect(maps.Keys(due)), func(a, b string) int {
		return cmp.Or(cmp.Compare(due[a], due[b]), cmp.Compare(a, b))
	}), true
}

// ProbeFailed records a probe without success. What is known of the other upstreams
// stays valid until the next one.
func (s *State) ProbeFailed(now snipeford.Instant, address string) {
	s.regained = 0
	if _, ok := s.lost[address]; ok {
		s.lost[address] = now
	}
	for other := range s.unreached {
		s.unreached[other] = now
	}
}

// Retain forgets the upstreams that are not known any more.
func (s *State) Retain(known func(address string) bool) {
	maps.DeleteFunc(s.lost, func(address string, _ snipeford.Instant) bool { return !known(address) })
	maps.DeleteFunc(s.unreached, func(address string, _ snipeford.Instant) bool { return !known(address) })
	if len(s.lost) == 0 {
		s.cutOff = false
	}
}
