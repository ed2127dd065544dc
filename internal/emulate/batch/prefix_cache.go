package batch

import "container/list"

// prefixCache is an LRU cache of prompt prefix blocks. The hash of a block covers the
// preceding blocks.
type prefixCache struct {
	limit  int
	lru    list.List
	blocks map[uint64]*list.Element
	// evicted holds the evicted blocks that have not been reported yet.
	evicted []uint64
}

func (c *prefixCache) clear() {
	c.lru.Init()
	c.blocks = nil
}

// countCached returns the number of leading blocks that are cached.
func (c *prefixCache) countCached(prefix []uint64) int {
	for i, h := range prefix {
		if _, ok := c.blocks[h]; !ok {
			return i
		}
	}
	return len(prefix)
}

// match returns the number of leading blocks that are cached and marks them as used.
func (c *prefixCache) match(prefix []uint64) int {
	n := c.countCached(prefix)
	for _, h := range prefix[:n] {
		c.lru.MoveToFront(c.blocks[h])
	}
	return n
}

// add adds the blocks and evicts the least recently used ones.
func (c *prefixCache) add(prefix []uint64) {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	for _, h := range prefix {
		if el, ok := c.blocks[h]; ok {
			c.lru.MoveToFront(el)
			continue
		}
		c.blocks[h] = c.lru.PushFront(h)
	}
	for c.lru.Len() > c.limit {
		oldest := c.lru.Back()
		h := oldest.Value.(uint64)
		delete(c.blocks, h)
		c.evicted = append(c.evicted, h)
		c.lru.Remove(oldest)
	}
}
