// Package pause keeps the times for which unavailable upstreams want no requests from a
// node. It does no I/O and reads no clock.
package pause

import (
	"cmp"
	"math"
	"slices"
	"time"

	"snipeford"
)

// maxTrialDelay is the longest time from the beginning of a pause until a trial is
// allowed. In pauses of less than twice that time, it is allowed after half of them.
const maxTrialDelay = 5 * time.Second

// Keeper holds the pauses of upstreams, each for one node. The zero value has none.
type Keeper struct {
	upstreams map[snipeford.UpstreamID]*upstream
	// firstEnd is when the first of the pauses may end.
	firstEnd snipeford.Instant
}

// upstream holds the pauses that one upstream has stated, and the end of the last one.
type upstream struct {
	end   snipeford.Instant
	nodes map[snipeford.NodeID]*pause
}

type pause struct {
	begin, end snipeford.Instant
	// tried is set once the trial has been taken.
	tried bool
}

// Report records that an upstream wants no requests from a node for d. It returns
// whether a pause begins. A pause in force ends at the latest end that was stated. Pauses
// that have ended are forgotten.
func (k *Keeper) Report(now snipeford.Instant, node snipeford.NodeID, id snipeford.UpstreamID, d time.Duration) (begins bool) {
	if d <= 0 {
		return false
	}
	k.Forget(now)
	if k.upstreams == nil {
		k.upstreams = map[snipeford.UpstreamID]*upstream{}
	}
	u := k.upstreams[id]
	if u == nil {
		u = &upstream{nodes: map[snipeford.NodeID]*pause{}}
		k.upstreams[id] = u
	}
	p := u.nodes[node]
	if p == nil {
		p, begins = &pause{begin: now}, true
		u.nodes[node] = p
	}
	p.end = max(p.end, now.Add(d))
	u.end = max(u.end, p.end)
	if len(k.upstreams) == 1 && len(u.nodes) == 1 || p.end < k.firstEnd {
		k.firstEnd = p.end
	}
	return begins
}

// Forget forgets the pauses that have ended, and returns whether there are any.
func (k *Keeper) Forget(now snipeford.Instant) (ended bool) {
	if len(k.upstreams) == 0 || now < k.firstEnd {
		return false
	}
	k.firstEnd = math.MaxInt64
	for id, u := range k.upstreams {
		for node, p := range u.nodes {
			if p.end <= now {
				delete(u.nodes, node)
				ended = true
				continue
			}
			k.firstEnd = min(k.firstEnd, p.end)
		}
		if len(u.nodes) == 0 {
			delete(k.upstreams, id)
		}
	}
	return ended
}

// ForgetNode forgets the pauses of a node.
func (k *Keeper) ForgetNode(node snipeford.NodeID) {
	for id, u := range k.upstreams {
		if u.nodes[node] == nil {
			continue
		}
		delete(u.nodes, node)
		u.end = 0
		for _, p := range u.nodes {
			u.end = max(u.end, p.end)
		}
		if len(u.nodes) == 0 {
			delete(k.upstreams, id)
		}
	}
}

// Len returns the number of upstreams with pauses that are not forgotten.
func (k *Keeper) Len() int { return len(k.upstreams) }

// Left returns how long an upstream still wants no requests from a node, or zero.
func (k *Keeper) Left(now snipeford.Instant, node snipeford.NodeID, id snipeford.UpstreamID) time.Duration {
	if p := k.pause(node, id); p != nil {
		return max(p.end.Sub(now), 0)
	}
	return 0
}

// Any reports whether an upstream wants no requests from some node.
func (k *Keeper) Any(now snipeford.Instant, id snipeford.UpstreamID) bool {
	u := k.upstreams[id]
	return u != nil && u.end > now
}

// TrialAllowed reports whether one request may be sent to an upstream in spite of its
// pause.
func (k *Keeper) TrialAllowed(now snipeford.Instant, node snipeford.NodeID, id snipeford.UpstreamID) bool {
	p := k.pause(node, id)
	return p != nil && !p.tried && now.Sub(p.begin) >= min(p.end.Sub(p.begin)/2, maxTrialDelay)
}

// TakeTrial takes the trial of a pause if it is allowed.
func (k *Keeper) TakeTrial(now snipeford.Instant, node snipeford.NodeID, id snipeford.UpstreamID) bool {
	if !k.TrialAllowed(now, node, id) {
		return false
	}
	k.pause(node, id).tried = true
	return true
}

func (k *Keeper) pause(node snipeford.NodeID, id snipeford.UpstreamID) *pause {
	u := k.upstreams[id]
	if u == nil {
		return nil
	}
	return u.nodes[node]
}

// Stated is a pause of an upstream with the time that is left of it.
type Stated struct {
	Upstream snipeford.UpstreamID
	Left     time.Duration
}

// Stated returns the pauses in force for a node.
func (k *Keeper) Stated(now snipeford.Instant, node snipeford.NodeID) []Stated {
	var out []Stated
	for id := range k.upstreams {
		if left := k.Left(now, node, id); left > 0 {
			out = append(out, Stated{id, left})
		}
	}
	slices.SortFunc(out, func(a, b Stated) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}
