package measurer

import "sync"

// tally counts the minimum work that the answers require: each distinct prompt block
// is prefilled once by the whole fleet, the rest of each prompt is prefilled once, and
// each token is generated once.
type tally struct {
	mu          sync.Mutex
	blocks      map[uint64]struct{}
	needed      uint64
	delivered   uint64
	resumptions uint64
	resumeCost  uint64
}

// work is the work of a fleet, in words and tokens.
type work struct {
	delivered   uint64 // tokens delivered to callers
	recomputed  uint64 // words and tokens computed beyond the minimum
	resumptions uint64 // number of times that a stream resumed at another engine
	resumeCost  uint64 // words and tokens computed again for resumed streams
}

func newTally() *tally { return &tally{blocks: make(map[uint64]struct{})} }

func (t *tally) addPrompt(words, blockWords int, prefixes []uint64) {
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

func (t *tally) addToken() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delivered++
}

func (t *tally) addResumption(recomputed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resumptions++
	t.resumeCost += uint64(recomputed)
}

func (t *tally) work(generated, computed uint64) work {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := work{delivered: t.delivered, resumptions: t.resumptions, resumeCost: t.resumeCost}
	if total, needed := generated+computed, t.needed+t.delivered; total > needed {
		w.recomputed = total - needed
	}
	return w
}

// perThousand returns n per thousand delivered tokens.
func (w work) perThousand(n uint64) float64 {
	if w.delivered == 0 {
		return 0
	}
	return float64(n) / float64(w.delivered) * 1000
}
