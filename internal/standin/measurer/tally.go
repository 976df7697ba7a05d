package measurer

import "sync"

// tally counts the work that the answers need at least: each block of a prompt
// computed once by the whole fleet, the rest of each prompt once, and each token
// generated once.
type tally struct {
	mu        sync.Mutex
	blocks    map[uint64]struct{}
	needed    uint64
	delivered uint64
	continued uint64
	resumed   uint64
}

// work is what a fleet did, in words and tokens.
type work struct {
	delivered  uint64 // tokens that callers got
	recomputed uint64 // words and tokens computed beyond what was needed
	continued  uint64 // streams that went on at another engine, each time
	resumed    uint64 // words and tokens computed again for streams that went on
}

func newTally() *tally { return &tally{blocks: make(map[uint64]struct{})} }

func (t *tally) accept(words, blockWords int, prefixes []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.needed += uint64(words - blockWords*len(prefixes))
	for _, hash := range prefixes {
		if _, ok := t.blocks[hash]; !ok {
			t.blocks[hash] = struct{}{}
			t.needed += uint64(blockWords)
		}
	}
}

func (t *tally) deliver() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delivered++
}

func (t *tally) resume(recomputed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.continued++
	t.resumed += uint64(recomputed)
}

func (t *tally) work(generated, computed uint64) work {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := work{delivered: t.delivered, continued: t.continued, resumed: t.resumed}
	if done, needed := generated+computed, t.needed+t.delivered; done > needed {
		w.recomputed = done - needed
	}
	return w
}

// perThousand returns n per thousand tokens that callers got.
func (w work) perThousand(n uint64) float64 {
	if w.delivered == 0 {
		return 0
	}
	return float64(n) / float64(w.delivered) * 1000
}
