package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"snipeford"
)

// leavingMemory is how long the directory remembers that an upstream leaves whose row is
// missing. Nodes that have not read the removal may still have the row, and so may a copy
// of the store.
const leavingMemory = 10 * time.Minute

// MarkLeaving records upstreams that have said in a response that they leave. They get no
// more requests, whatever their rows say. It returns those that were not recorded before.
func (s *State) MarkLeaving(now snipeford.Instant, list []snipeford.LeavingUpstream) []snipeford.LeavingUpstream {
	s.initMaps()
	var added []snipeford.LeavingUpstream
	for _, u := range list {
		if _, ok := s.leaving[u]; !ok {
			s.leaving[u] = now
			added = append(added, u)
		}
	}
	return added
}

// leaves reports whether an upstream leaves by its row or has said so in a response.
func (s *State) leaves(u Upstream) bool {
	_, said := s.leaving[leavingKey(u)]
	return u.Leaving || said
}

func leavingKey(u Upstream) snipeford.LeavingUpstream {
	return snipeford.LeavingUpstream{Upstream: u.ID, Incarnation: u.Incarnation}
}

// expireLeaving forgets the upstreams whose rows have been missing for leavingMemory.
func (s *State) expireLeaving(now snipeford.Instant) {
	for u, seenAt := range s.leaving {
		switch {
		case s.hasRow(u):
			s.leaving[u] = now
		case now.Sub(seenAt) > leavingMemory:
			delete(s.leaving, u)
		}
	}
}

// hasRow reports whether there is a row of this incarnation of an upstream.
func (s *State) hasRow(u snipeford.LeavingUpstream) bool {
	for _, rows := range []map[snipeford.UpstreamID]Upstream{s.upstreams, s.copied.upstreams} {
		if row, ok := rows[u.Upstream]; ok && leavingKey(row) == u {
			return true
		}
	}
	return false
}

// leavingWithRows returns the upstreams with rows that have said that they leave, sorted.
// Others are not told to other nodes, which would remember them anew.
func (s *State) leavingWithRows() []snipeford.LeavingUpstream {
	out := slices.Collect(maps.Keys(s.leaving))
	out = slices.DeleteFunc(out, func(u snipeford.LeavingUpstream) bool { return !s.hasRow(u) })
	slices.SortFunc(out, compareLeaving)
	return out
}

func compareLeaving(a, b snipeford.LeavingUpstream) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
}

// IsLeaving reports whether an upstream with a row has said in a response that it leaves.
func (v *View) IsLeaving(u snipeford.LeavingUpstream) bool {
	_, found := slices.BinarySearchFunc(v.Leaving, u, compareLeaving)
	return found
}
