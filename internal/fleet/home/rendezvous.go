// Package home chooses, by rendezvous hashing, the node that decides for a
// group of upstreams or for an organisation's limits. The choice needs no
// message: all nodes that see the same members choose the same one.
package home

import (
	"github.com/cespare/xxhash/v2"

	"snipeford"
)

// OfGroup returns the home of a group: a node of the group's failure domain
// where there is one.
func OfGroup(g snipeford.Group, members []snipeford.Member) snipeford.NodeID {
	near := func(m snipeford.Member) bool { return m.Domain == g.Domain }
	if n := choose(g.String(), members, near); n != "" {
		return n
	}
	return choose(g.String(), members, anyMember)
}

// OfOrganisation returns the node that lends out an organisation's limits.
func OfOrganisation(o snipeford.Organisation, members []snipeford.Member) snipeford.NodeID {
	return choose("organisation/"+string(o), members, anyMember)
}

func anyMember(snipeford.Member) bool { return true }

func choose(key string, members []snipeford.Member, fits func(snipeford.Member) bool) snipeford.NodeID {
	var best snipeford.NodeID
	var top uint64
	for _, m := range members {
		if m.Leaving || !fits(m) {
			continue
		}
		score := xxhash.Sum64String(key + "|" + string(m.Node))
		if best == "" || score > top || score == top && m.Node < best {
			best, top = m.Node, score
		}
	}
	return best
}
