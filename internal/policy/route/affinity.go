package route

import "snipeford"

// blockTokens is the length of one hashed prefix block.
const blockTokens snipeford.Tokens = 512

// affinityBlocks bounds how many blocks a home remembers.
const affinityBlocks = 20_000

// Affinity remembers which replica was sent which prefix. Cache events only
// correct it; it works without any. Its zero value works.
type Affinity struct {
	holders map[uint64][]snipeford.UpstreamID
	order   []uint64
	next    int
}

// Add notes that the replica was sent the prefix.
func (a *Affinity) Add(prefix []uint64, id snipeford.UpstreamID) {
	if a.holders == nil {
		a.holders = map[uint64][]snipeford.UpstreamID{}
		a.order = make([]uint64, affinityBlocks)
	}
	for _, h := range prefix {
		if has(a.holders[h], id) {
			continue
		}
		if len(a.holders[h]) == 0 {
			a.replaceOldest(h)
		}
		a.holders[h] = append(a.holders[h], id)
	}
}

func (a *Affinity) replaceOldest(h uint64) {
	delete(a.holders, a.order[a.next])
	a.order[a.next] = h
	a.next = (a.next + 1) % len(a.order)
}

// RemoveBlock takes in a cache event: the replica dropped the block.
func (a *Affinity) RemoveBlock(h uint64, id snipeford.UpstreamID) {
	list := a.holders[h]
	for i, other := range list {
		if other == id {
			a.holders[h] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// RemoveReplica drops all that is remembered of a replica that lost its memory.
func (a *Affinity) RemoveReplica(id snipeford.UpstreamID) {
	for h := range a.holders {
		a.RemoveBlock(h, id)
	}
}

// CachedTokens returns how many leading tokens of the prefix each replica holds.
func (a *Affinity) CachedTokens(prefix []uint64) func(snipeford.UpstreamID) snipeford.Tokens {
	if len(prefix) == 0 || len(a.holders[prefix[0]]) == 0 {
		return none
	}
	return func(id snipeford.UpstreamID) snipeford.Tokens {
		for i, h := range prefix {
			if !has(a.holders[h], id) {
				return snipeford.Tokens(i) * blockTokens
			}
		}
		return snipeford.Tokens(len(prefix)) * blockTokens
	}
}

func none(snipeford.UpstreamID) snipeford.Tokens { return 0 }

func has(list []snipeford.UpstreamID, id snipeford.UpstreamID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}
