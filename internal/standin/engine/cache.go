package engine

import "container/list"

// change is the insertion of a block into the cache or its eviction.
type change struct {
	add  bool // false: evicted
	hash uint64
}

// cache is a bounded LRU cache of prompt blocks. The blocks of a prompt are
// evicted from the last to the first.
type cache struct {
	limit  int // maximum number of blocks
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

// insert adds the blocks of a prompt as the most recently used ones.
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
