package route

import "snipeford"

// blockTokens is the length of one block of a hashed prefix.
const blockTokens snipeford.Tokens = 512

// maxAffinityBlocks is the maximum number of blocks in an Affinity.
const maxAffinityBlocks = 20_000

// Affinity records which replicas were sent which prefix blocks. Cache events
// make it more accurate but are not required. The zero value is ready to use.
// The blocks are a ring buffer of hashes; oldest is the next index to replace.
type Affinity struct {
	replicasByBlock map[uint64][]snipeford.UpstreamID
	blocks          []uint64
	oldest          int
}

// Add records that the prefix was sent to the replica.
func (a *Affinity) Add(prefix []uint64, id snipeford.UpstreamID) {
	if a.replicasByBlock == nil {
		a.replicasByBlock = map[uint64][]snipeford.UpstreamID{}
		a.blocks = make([]uint64, maxAffinityBlocks)
	}
	for _, block := range prefix {
		if contains(a.replicasByBlock[block], id) {
			continue
		}
		if len(a.replicasByBlock[block]) == 0 {
			a.replaceOldest(block)
		}
		a.replicasByBlock[block] = append(a.replicasByBlock[block], id)
	}
}

func (a *Affinity) replaceOldest(block uint64) {
	delete(a.replicasByBlock, a.blocks[a.oldest])
	a.blocks[a.oldest] = block
	a.oldest = (a.oldest + 1) % len(a.blocks)
}

// RemoveBlock records that the replica evicted the block from its cache.
func (a *Affinity) RemoveBlock(block uint64, id snipeford.UpstreamID) {
	list := a.replicasByBlock[block]
	for i, other := range list {
		if other == id {
			a.replicasByBlock[block] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// RemoveReplica removes all blocks of a replica that lost its cache.
func (a *Affinity) RemoveReplica(id snipeford.UpstreamID) {
	for block := range a.replicasByBlock {
		a.RemoveBlock(block, id)
	}
}

// CachedTokens returns a function that gives the number of leading tokens of the
// prefix that a replica caches.
func (a *Affinity) CachedTokens(prefix []uint64) func(snipeford.UpstreamID) snipeford.Tokens {
	if len(prefix) == 0 || len(a.replicasByBlock[prefix[0]]) == 0 {
		return noneCached
	}
	return func(id snipeford.UpstreamID) snipeford.Tokens {
		for i, block := range prefix {
			if !contains(a.replicasByBlock[block], id) {
				return snipeford.Tokens(i) * blockTokens
			}
		}
		return snipeford.Tokens(len(prefix)) * blockTokens
	}
}

func noneCached(snipeford.UpstreamID) snipeford.Tokens { return 0 }

func contains(list []snipeford.UpstreamID, id snipeford.UpstreamID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}
