package engine

import "container/list"

// change is one block that came into the cache or left it.
type change struct {
	add  bool
	hash uint64
}

// cache is a bounded LRU cache of prompt blocks. A prompt's last block is
// evicted before its first.
type cache struct {
	limit  int // blocks
	order  *list.List
	blocks map[uint64]*list.Element
	report func(change)
}

func newCache(limit int, report func(change)) *cache {
	return &cache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element), report: report}
}

// match returns how many leading blocks of a prompt are cached.
func (c *cache) match(hashes []uint64) int {
	for i, hash := range hashes {
		if _, ok := c.blocks[hash]; !ok {
			return i
		}
	}
	return len(hashes)
}

// insert puts the blocks of a prompt in as the most recently used ones.
func (c *cache) insert(hashes []uint64) {
	if len(hashes) > c.limit {
		hashes = hashes[:c.limit]
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		if element, ok := c.blocks[hashes[i]]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[hashes[i]] = c.order.PushFront(hashes[i])
		c.report(change{add: true, hash: hashes[i]})
	}
	for len(c.blocks) > c.limit {
		oldest := c.order.Back()
		hash := c.order.Remove(oldest).(uint64)
		delete(c.blocks, hash)
		c.report(change{hash: hash})
	}
}

func (c *cache) clear() {
	for c.order.Len() > 0 {
		hash := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, hash)
		c.report(change{hash: hash})
	}
}
