// Package home selects, by rendezvous hashing, the node that schedules the
// requests of a group of upstreams or of a service, or that allocates an
// organisation's limits. The selection needs no messages: all nodes with the
// same member list select the same node.
package home

import (
	"github.com/cespare/xxhash/v2"

	"snipeford"
)

// OfGroup returns the home of a group. The home is in the group's failure domain
// if that domain has a member that is not leaving.
func OfGroup(g snipeford.Group, members []snipeford.Member) snipeford.NodeID {
	sameDomain := func(m snipeford.Member) bool { return m.Domain == g.Domain }
	if n := choose(g.String(), members, sameDomain); n != "" {
		return n
	}
	return choose(g.String(), members, anyMember)
}

// OfOrganisation returns the node that allocates shares of an organisation's
// limits.
func OfOrganisation(o snipeford.Organisation, members []snipeford.Member) snipeford.NodeID {
	return choose("organisation/"+string(o), members, anyMember)
}

func anyMember(snipeford.Member) bool { return true }

func choose(key string, members []snipeford.Member, eligible func(snipeford.Member) bool) snipeford.NodeID {
	var best snipeford.NodeID
	var bestScore uint64
	for _, m := range members {
		if m.Leaving || !eligible(m) {
			continue
		}
		score := xxhash.Sum64String(key + "|" + string(m.Node))
		if best == "" || score > bestScore || score == bestScore && m.Node < best {
			best, bestScore = m.Node, score
		}
	}
	return best
}
