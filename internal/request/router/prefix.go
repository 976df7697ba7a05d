package router

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// BlockWords is the number of words in one block of the prefix caches.
const BlockWords = 16

// Prefixes returns the number of words of a prompt and the xxhash of each prefix
// of whole blocks.
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
	indexShards   = 16
	indexBlocks   = 1 << 17 // over all shards
	cacheBlocks   = 1 << 14 // of one endpoint
	matchLookups  = 32
	gapAddedShare = 2 // one in so many lost events is taken for an added block
)

// index knows which endpoint has probably cached which prefix.
type index struct {
	shards [indexShards]indexShard

	mu    sync.RWMutex
	slots map[string]uint32
	nodes []*cached
}

// cached is the state of one endpoint's cache.
type cached struct {
	mu       sync.Mutex
	sequence uint64
	added    atomic.Uint64 // blocks, as far as events tell
}

type indexShard struct {
	mu     sync.Mutex
	blocks map[uint64][]holder
	order  []uint64 // ring of the blocks in the order of their insertion
	next   int
}

type holder struct {
	slot uint32
	at   uint64 // blocks added to the endpoint's cache at the last use
}

func newIndex() *index {
	x := &index{slots: make(map[string]uint32)}
	for i := range x.shards {
		x.shards[i].blocks = make(map[uint64][]holder)
	}
	return x
}

func (x *index) slot(endpoint string) uint32 {
	x.mu.Lock()
	defer x.mu.Unlock()
	slot, ok := x.slots[endpoint]
	if !ok {
		slot = uint32(len(x.nodes))
		x.slots[endpoint] = slot
		x.nodes = append(x.nodes, &cached{})
	}
	return slot
}

func (x *index) node(endpoint string) (uint32, *cached) {
	slot := x.slot(endpoint)
	x.mu.RLock()
	defer x.mu.RUnlock()
	return slot, x.nodes[slot]
}

func (x *index) learn(endpoint string, prefixes []uint64) {
	slot, node := x.node(endpoint)
	for _, prefix := range prefixes {
		x.hold(prefix, holder{slot: slot, at: node.added.Load()})
	}
}

func (x *index) events(endpoint string, events []Event) {
	slot, node := x.node(endpoint)
	node.mu.Lock()
	defer node.mu.Unlock()
	for _, e := range events {
		if e.Sequence <= node.sequence {
			continue
		}
		if node.sequence > 0 {
			node.added.Add((e.Sequence - node.sequence - 1) / gapAddedShare)
		}
		node.sequence = e.Sequence
		if e.Drop {
			x.drop(e.Prefix, slot)
			continue
		}
		x.hold(e.Prefix, holder{slot: slot, at: node.added.Add(1)})
	}
}

func (x *index) shard(prefix uint64) *indexShard { return &x.shards[prefix%indexShards] }

func (x *index) hold(prefix uint64, h holder) {
	s := x.shard(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	holders, ok := s.blocks[prefix]
	if !ok {
		s.insert(prefix)
	}
	for i := range holders {
		if holders[i].slot == h.slot {
			holders[i].at = max(holders[i].at, h.at)
			return
		}
	}
	s.blocks[prefix] = append(holders, h)
}

func (s *indexShard) insert(prefix uint64) {
	if len(s.order) < indexBlocks/indexShards {
		s.order = append(s.order, prefix)
		return
	}
	delete(s.blocks, s.order[s.next])
	s.order[s.next] = prefix
	s.next = (s.next + 1) % len(s.order)
}

func (x *index) drop(prefix uint64, slot uint32) {
	s := x.shard(prefix)
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

// match fills in the cached words of each endpoint of the view. It looks up a bounded
// number of prefixes, so that it may find somewhat less than is cached.
func (x *index) match(v *view, prefixes []uint64) {
	longest := x.longest(prefixes)
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
	s := x.shard(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := s.blocks[prefix]
	for _, h := range holders {
		i, ok := v.group.slots[h.slot]
		if ok && v.cached[i] == 0 && x.nodes[h.slot].holds(h.at) {
			v.cached[i] = words
			if len(v.indexes) < sampleHeld {
				v.indexes = append(v.indexes, i)
			}
		}
	}
}

// holds reports whether a block used at a count of added blocks is likely still cached.
func (c *cached) holds(at uint64) bool { return c.added.Load()-at < cacheBlocks }

// longest returns how many leading blocks any endpoint holds. Caches evict a
// prompt's last block first, so a bisection finds it.
func (x *index) longest(prefixes []uint64) int {
	low, high := 0, len(prefixes)
	for low < high {
		middle := (low + high + 1) / 2
		if x.held(prefixes[middle-1]) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

func (x *index) held(prefix uint64) bool {
	s := x.shard(prefix)
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.blocks[prefix]) > 0
}
