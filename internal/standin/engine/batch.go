package engine

import (
	"slices"
	"time"
)

// Job is one prompt to answer.
type Job struct {
	ID       string
	Prompt   string
	Max      int
	Priority int // 0 is the most urgent
	After    int // tokens that were already generated elsewhere
	Imported int // words and tokens of the prompt and After whose KV cache was imported
	Slow     float64
}

// Output is one token of a job.
type Output struct {
	ID       string
	Position int
	Done     bool
	Cached   int // prompt words found in the cache
	Computed int // words and tokens computed for the prefill
}

type sequence struct {
	job      Job
	hashes   []uint64
	words    int
	position int     // of the next token
	left     float64 // words still to be computed before the next token
	cached   int
	computed int
	credit   float64 // steps since the last token, for slow jobs
	filled   bool    // the prefill is complete
}

// Batch is the continuous batching of an engine: sequences share steps, each
// step's time grows with the running sequences, and prefill takes a bounded part
// of a step. It is a state machine without locks or time of its own.
type Batch struct {
	spec    Spec
	running []*sequence
	queue   []*sequence
	cache   *cache
	work    uint64 // words and tokens computed for prefill so far
}

func newBatch(spec Spec, report func(change)) *Batch {
	return &Batch{spec: spec, cache: newCache(spec.Cache/blockWords, report)}
}

// Add queues a job behind those of its own or a more urgent priority.
func (b *Batch) Add(job Job) {
	words, hashes := prefixes(job.Prompt)
	seq := &sequence{job: job, words: words, hashes: hashes, position: job.After}
	if seq.job.Slow < 1 {
		seq.job.Slow = 1
	}
	at, _ := slices.BinarySearchFunc(b.queue, job.Priority+1, func(s *sequence, priority int) int {
		return s.job.Priority - priority
	})
	b.queue = slices.Insert(b.queue, at, seq)
}

// Remove takes a job out, and returns the number of words and tokens that it
// holds in the KV cache.
func (b *Batch) Remove(id string) (int, bool) {
	is := func(s *sequence) bool { return s.job.ID == id }
	if i := slices.IndexFunc(b.queue, is); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
		return 0, true
	}
	if i := slices.IndexFunc(b.running, is); i >= 0 {
		seq := b.running[i]
		b.running = slices.Delete(b.running, i, i+1)
		return seq.words + seq.position - int(seq.left), true
	}
	return 0, false
}

// Running returns the number of sequences in slots.
func (b *Batch) Running() int { return len(b.running) }

// Queued returns the number of jobs that wait for a slot.
func (b *Batch) Queued() int { return len(b.queue) }

// Step fills the free slots, makes one step and returns how long it takes and
// what it puts out at its end. A step of an empty batch takes no time.
func (b *Batch) Step() (time.Duration, []Output) {
	b.admit()
	if len(b.running) == 0 {
		return 0, nil
	}
	budget := b.spec.Chunk
	computed := 0
	var outputs []Output
	decoding := 0
	for _, seq := range b.running {
		if !seq.filled {
			part := min(budget, int(seq.left+0.999))
			seq.left = max(seq.left-float64(part), 0)
			budget -= part
			computed += part
			if seq.left > 0 {
				continue
			}
			seq.filled = true
			b.cache.insert(seq.hashes)
		}
		decoding++
		if output, ok := seq.advance(); ok {
			outputs = append(outputs, output)
		}
	}
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool { return s.filled && s.position >= s.job.Max })
	b.work += uint64(computed)
	return b.duration(decoding, computed), outputs
}

func (b *Batch) duration(decoding, computed int) time.Duration {
	seconds := float64(computed) / b.spec.Prefill
	if decoding > 0 {
		seconds += (1 + b.spec.Growth*float64(decoding-1)) / b.spec.Decode
	}
	return time.Duration(seconds * float64(time.Second))
}

func (b *Batch) admit() {
	for len(b.queue) > 0 && len(b.running) < b.spec.Slots {
		seq := b.queue[0]
		b.queue = b.queue[1:]
		context := seq.words + seq.job.After
		seq.cached = min(b.cache.match(seq.hashes)*blockWords, seq.words)
		covered := min(max(seq.cached, seq.job.Imported), context)
		seq.computed = context - covered
		seq.left = float64(seq.computed) * seq.job.Slow
		b.running = append(b.running, seq)
	}
}

// advance generates the next token unless the job is slowed down in this step.
func (s *sequence) advance() (Output, bool) {
	s.credit++
	if s.credit < s.job.Slow || s.position >= s.job.Max {
		return Output{}, false
	}
	s.credit -= s.job.Slow
	output := Output{ID: s.job.ID, Position: s.position, Cached: s.cached, Computed: s.computed}
	s.position++
	output.Done = s.position >= s.job.Max
	return output, true
}
