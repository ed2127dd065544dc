package directory

import (
	"strings"

	"snipeford"
)

// Settled reports whether the state would stay the same if a row of upstreams or nodes
// that it has applied were written again as it is. The caller has compared the values. A
// write counts if the upstream is cold, since its cold period is counted from the write,
// or if the row is missing or waits for the end of the period of a copy.
func (s *State) Settled(c snipeford.Collection, key string) bool {
	switch {
	case c == snipeford.UpstreamRows:
		u, known := s.upstreams[snipeford.UpstreamID(key)]
		_, waits := s.copied.upstreams[snipeford.UpstreamID(key)]
		return known && !waits && u.removeAt == 0 && u.ColdTimeLeft <= 0
	case c != snipeford.MemberRows || s.copied.members[key]:
		return false
	case strings.HasPrefix(key, quarantinePrefix):
		_, known := s.quarantines[key]
		return known
	}
	_, known := s.peers[snipeford.NodeID(key)]
	return known
}
