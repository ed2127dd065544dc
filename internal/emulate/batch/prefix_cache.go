package batch

import "container/list"

// prefixCache keeps the most recently used blocks of prompt prefixes. A block's
// hash covers all blocks before it.
type prefixCache struct {
	limit  int
	order  list.List
	blocks map[uint64]*list.Element
	// evicted holds the blocks that were dropped and not yet told.
	evicted []uint64
}

func (c *prefixCache) clear() {
	c.order.Init()
	c.blocks = nil
}

// peek counts the leading blocks that are cached.
func (c *prefixCache) peek(prefix []uint64) int {
	for i, h := range prefix {
		if _, ok := c.blocks[h]; !ok {
			return i
		}
	}
	return len(prefix)
}

// match counts the leading cached blocks and marks them as used.
func (c *prefixCache) match(prefix []uint64) int {
	n := c.peek(prefix)
	for _, h := range prefix[:n] {
		c.order.MoveToFront(c.blocks[h])
	}
	return n
}

// add caches the blocks and evicts the least recently used ones.
func (c *prefixCache) add(prefix []uint64) {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
	}
	for _, h := range prefix {
		if el, ok := c.blocks[h]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[h] = c.order.PushFront(h)
	}
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		h := oldest.Value.(uint64)
		delete(c.blocks, h)
		c.evicted = append(c.evicted, h)
		c.order.Remove(oldest)
	}
}
