package router

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// BlockWords is the number of words in one block of a prefix cache.
const BlockWords = 16

// Prefixes returns the number of words of a prompt and the xxhash of each prefix that
// consists of complete blocks.
func Prefixes(prompt string) (int, []uint64) {
	words := strings.Fields(prompt)
	hashes := make([]uint64, 0, len(words)/BlockWords)
	digest := xxhash.New()
	for i, word := range words {
		if i > 0 {
			_, _ = digest.WriteString(" ")
		}
		_, _ = digest.WriteString(word)
		if (i+1)%BlockWords == 0 {
			hashes = append(hashes, digest.Sum64())
		}
	}
	return len(words), hashes
}

// Event is one change of an endpoint's prefix cache.
type Event struct {
	Sequence uint64
	Drop     bool
	Prefix   uint64
}

const (
	indexShards      = 16
	maxIndexBlocks   = 1 << 17 // over all shards
	cacheBlocks      = 1 << 14 // assumed size of one endpoint's cache
	matchLookups     = 32      // a call looks up fewer than twice this many prefixes
	lostEventsPerAdd = 2       // one in this many lost events is assumed to have added a block
)

// index records which endpoint has probably cached which prefix.
type index struct {
	shards [indexShards]indexShard

	mu     sync.RWMutex
	slotOf map[string]uint32
	caches []*cacheState
}

// cacheState is the state of one endpoint's prefix cache.
type cacheState struct {
	mu          sync.Mutex
	sequence    uint64
	addedBlocks atomic.Uint64 // blocks added to the cache, as estimated from its events
}

type indexShard struct {
	mu             sync.Mutex
	blocks         map[uint64][]holder
	insertionOrder []uint64 // ring buffer of the blocks
	next           int
}

type holder struct {
	slot   uint32
	usedAt uint64 // value of addedBlocks when the block was last used
}

func newIndex() *index {
	x := &index{slotOf: make(map[string]uint32)}
	for i := range x.shards {
		x.shards[i].blocks = make(map[uint64][]holder)
	}
	return x
}

func (x *index) slot(endpoint string) uint32 {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.slotOf[endpoint]
	if !ok {
		slot = uint32(len(x.caches))
		x.slotOf[endpoint] = slot
		x.caches = append(x.caches, &cacheState{})
	}
	return slot
}

func (x *index) cache(endpoint string) (uint32, *cacheState) {
	slot := x.slot(endpoint)
	x.mu.RLock()
	defer x.mu.RUnlock()
	return slot, x.caches[slot]
}

func (x *index) record(endpoint string, prefixes []uint64) {
	slot, cache := x.cache(endpoint)
	for _, prefix := range prefixes {
		x.addHolder(prefix, holder{slot: slot, usedAt: cache.addedBlocks.Load()})
	}
}

func (x *index) apply(endpoint string, events []Event) {
	slot, cache := x.cache(endpoint)
	cache.mu.Lock()
	defer cache.mu.Unlock()
	for _, e := range events {
		if e.Sequence <= cache.sequence {
			continue
		}
		if cache.sequence > 0 {
			cache.addedBlocks.Add((e.Sequence - cache.sequence - 1) / lostEventsPerAdd)
		}
		cache.sequence = e.Sequence
		if e.Drop {
			x.dropHolder(e.Prefix, slot)
			continue
		}
		x.addHolder(e.Prefix, holder{slot: slot, usedAt: cache.addedBlocks.Add(1)})
	}
}

func (x *index) shardOf(prefix uint64) *indexShard { return &x.shards[prefix%indexShards] }

func (x *index) addHolder(prefix uint64, h holder) {
	s := x.shardOf(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	holders, ok := s.blocks[prefix]
	if !ok {
		s.insert(prefix)
	}
	for i := range holders {
		if holders[i].slot == h.slot {
			holders[i].usedAt = max(holders[i].usedAt, h.usedAt)
			return
		}
	}
	s.blocks[prefix] = append(holders, h)
}

func (s *indexShard) insert(prefix uint64) {
	if len(s.insertionOrder) < maxIndexBlocks/indexShards {
		s.insertionOrder = append(s.insertionOrder, prefix)
		return
	}
	delete(s.blocks, s.insertionOrder[s.next])
	s.insertionOrder[s.next] = prefix
	s.next = (s.next + 1) % len(s.insertionOrder)
}

func (x *index) dropHolder(prefix uint64, slot uint32) {
	s := x.shardOf(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := s.blocks[prefix]
	for i := range holders {
		if holders[i].slot == slot {
			holders[i] = holders[len(holders)-1]
			s.blocks[prefix] = holders[:len(holders)-1]
			return
		}
	}
}

// match sets the cached words of each endpoint of the view. It looks up a bounded
// number of prefixes, so that it may find somewhat less than is cached.
func (x *index) match(v *view, prefixes []uint64) {
	longest := x.longestMatch(prefixes)
	if longest == 0 {
		return
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	stride := max(longest/matchLookups, 1)
	for k := longest; k > 0; k -= stride {
		x.matchBlock(v, prefixes[k-1], k*BlockWords)
	}
}

func (x *index) matchBlock(v *view, prefix uint64, words int) {
	s := x.shardOf(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := s.blocks[prefix]
	for _, h := range holders {
		i, ok := v.group.slots[h.slot]
		if ok && v.cached[i] == 0 && x.caches[h.slot].holds(h.usedAt) {
			v.cached[i] = words
			if len(v.candidates) < maxHolders {
				v.candidates = append(v.candidates, i)
			}
		}
	}
}

// holds reports whether a block last used at a count of added blocks is probably
// still cached.
func (c *cacheState) holds(at uint64) bool { return c.addedBlocks.Load()-at < cacheBlocks }

// longestMatch returns how many leading blocks any endpoint has cached. It can use
// binary search, since caches evict the last block of a prompt first.
func (x *index) longestMatch(prefixes []uint64) int {
	low, high := 0, len(prefixes)
	for low < high {
		middle := (low + high + 1) / 2
		if x.hasHolder(prefixes[middle-1]) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

func (x *index) hasHolder(prefix uint64) bool {
	s := x.shardOf(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.blocks[prefix]) > 0
}
