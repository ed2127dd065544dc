package directory

import (
	"bytes"
	"maps"
	"time"

	"snipeford"
)

const (
	// copyPeriod is how long the rows of a copy do not replace newer knowledge. Operators
	// and upstreams write theirs again within about ReregisterPeriod, and the store removes
	// the row of an upstream that is gone after three heartbeats of 1.2 s.
	copyPeriod = 5 * time.Second
	// removalMemory is how long the directory remembers removed upstreams. Copies of the
	// store are some seconds old.
	removalMemory = 30 * time.Second
)

// removal holds the incarnations of an upstream that were removed or replaced.
type removal map[snipeford.Incarnation]removedRow

// removedRow tells whether the upstream of a removed row was leaving, and when the row was
// removed.
type removedRow struct {
	leaving bool
	at      snipeford.Instant
}

// copiedRows is what the directory knows better than the copy from which the store came
// back.
type copiedRows struct {
	// until is the end of the period in which rows of a snapshot may be older than what
	// the directory knows.
	until snipeford.Instant
	// rows holds the values of the first snapshot of upstreams in the era, by their keys. A
	// row of a later one with another value was written after the store's return.
	rows map[string][]byte
	// upstreams holds the rows that wait for the end of the period, since the directory
	// knows something newer about their upstreams.
	upstreams map[snipeford.UpstreamID]Upstream
	// operatorsRead is set once a snapshot of the operators' rows has been applied.
	operatorsRead bool
	// members holds the keys of member rows that the copy lacks.
	members map[string]bool
}

// BeginEra prepares for snapshots of a store that has come back from a copy. The copy
// lacks the writes of the last seconds, which operators, upstreams and nodes write again.
// Until they do, what the directory knows stays in force: a row of the copy does not make
// an upstream usable again that was leaving, removed or replaced, nor does a missing row
// put a failure domain back into service or remove a node.
func (s *State) BeginEra(now snipeford.Instant) {
	s.copied.until, s.copied.operatorsRead, s.copied.rows = now.Add(copyPeriod), false, nil
	s.initMaps()
	// No incarnation of an upstream is ready again after it has left.
	for _, u := range s.upstreams {
		if u.Leaving {
			s.leaving[leavingKey(u)] = now
		}
	}
	for id, list := range s.removed {
		for incarnation, row := range list {
			if row.leaving {
				s.leaving[snipeford.LeavingUpstream{Upstream: id, Incarnation: incarnation}] = now
			}
		}
	}
}

func (c *copiedRows) keepRows(changes []snipeford.Change) {
	c.rows = map[string][]byte{}
	for _, change := range changes {
		c.rows[change.Key] = change.Value
	}
}

// has reports whether the first snapshot of the era had a row as it is in a change.
func (c *copiedRows) has(change snipeford.Change) bool {
	value, found := c.rows[change.Key]
	return found && bytes.Equal(value, change.Value)
}

// fromCopy reports whether the rows of a batch may be older than those that the directory
// has.
func (s *State) fromCopy(now snipeford.Instant, b snipeford.Batch) bool {
	return b.Snapshot && now < s.copied.until
}

// deferCopied keeps the row of a copy for later if the directory knows something newer
// about its upstream. It reports whether it did.
func (s *State) deferCopied(now snipeford.Instant, id snipeford.UpstreamID, row Upstream) bool {
	known, ok := s.upstreams[id]
	_, wasRemoved := s.removed[id][row.Incarnation]
	switch {
	case !ok && !wasRemoved:
		return false
	case ok && known.Incarnation == row.Incarnation && (known.Leaving == row.Leaving || row.Leaving):
		return false
	}
	if row.Leaving {
		s.leaving[leavingKey(row)] = now
	}
	if s.copied.upstreams == nil {
		s.copied.upstreams = map[snipeford.UpstreamID]Upstream{}
	}
	s.copied.upstreams[id] = row
	return true
}

// forget removes an upstream and remembers that it was removed.
func (s *State) forget(now snipeford.Instant, id snipeford.UpstreamID) {
	s.rememberRemoved(now, id)
	delete(s.upstreams, id)
}

// replace puts a row in the place of the one before, if there is one, whose incarnation it
// remembers if it is another.
func (s *State) replace(now snipeford.Instant, id snipeford.UpstreamID, row Upstream) {
	if known, ok := s.upstreams[id]; ok && known.Incarnation != row.Incarnation {
		s.rememberRemoved(now, id)
	}
	s.upstreams[id] = row
}

func (s *State) rememberRemoved(now snipeford.Instant, id snipeford.UpstreamID) {
	if s.removed[id] == nil {
		s.removed[id] = removal{}
	}
	u := s.upstreams[id]
	s.removed[id][u.Incarnation] = removedRow{u.Leaving, now}
}

// expireCopied ends the period in which newer knowledge goes before the rows of a copy,
// and reports whether this changed anything.
func (s *State) expireCopied(now snipeford.Instant) bool {
	for id, r := range s.removed {
		maps.DeleteFunc(r, func(_ snipeford.Incarnation, row removedRow) bool { return now.Sub(row.at) > removalMemory })
		if len(r) == 0 {
			delete(s.removed, id)
		}
	}
	changed := false
	for domain, until := range s.outDomains {
		if until > 0 && now >= until {
			delete(s.outDomains, domain)
			changed = true
		}
	}
	if now < s.copied.until {
		return changed
	}
	changed = changed || len(s.copied.upstreams)+len(s.copied.members) > 0
	for id, u := range s.copied.upstreams {
		s.replace(now, id, u)
	}
	for key := range s.copied.members {
		s.removeMember(key)
	}
	s.copied.upstreams, s.copied.members, s.copied.rows = nil, nil, nil
	return changed
}

// keepOutDomains keeps failure domains out of service that a copy puts back, until
// operators have had the time to write their rows again.
func (s *State) keepOutDomains(now snipeford.Instant) {
	for domain, until := range s.outDomains {
		if until == 0 {
			s.outDomains[domain] = now.Add(ReregisterPeriod)
		}
	}
}

// keepMembers keeps the nodes and quarantines whose rows a copy lacks.
func (s *State) keepMembers() {
	s.copied.members = map[string]bool{}
	for id := range s.peers {
		s.copied.members[string(id)] = true
	}
	for key := range s.quarantines {
		s.copied.members[key] = true
	}
}

// removeMember removes a node or its quarantines by the key of their row.
func (s *State) removeMember(key string) {
	delete(s.peers, snipeford.NodeID(key))
	delete(s.quarantines, key)
}
