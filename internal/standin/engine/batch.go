package engine

import (
	"slices"
	"time"
)

// Job is one generation request.
type Job struct {
	ID       string
	Prompt   string
	Max      int
	Priority int     // 0 is the most urgent
	After    int     // tokens that another engine has already generated
	Imported int     // words of the prompt and tokens of After whose KV cache was imported
	Slowdown float64 // slowdown factor; 1 is full speed
}

// Output is one generated token of a job.
type Output struct {
	ID       string
	Position int
	Done     bool
	Cached   int // prompt words found in the cache
	Computed int // words and tokens processed by the prefill
}

// sequence is a job in the queue or in a slot of a batch.
type sequence struct {
	job            Job
	hashes         []uint64
	words          int
	position       int     // position of the next token
	pendingPrefill float64 // words and tokens still to be prefilled, multiplied by the slowdown of the job
	cached         int
	computed       int
	credit         float64 // steps since the last token; a slowed job needs Slowdown steps per token
	prefilled      bool    // the prefill is complete
}

// Batch models continuous batching: the running sequences share steps, a step
// takes longer the more sequences decode in it, and at most Spec.Chunk words are
// prefilled in a step. It is a state machine without locks or a clock.
type Batch struct {
	spec           Spec
	running        []*sequence
	queue          []*sequence
	cache          *cache
	totalPrefilled uint64 // words and tokens prefilled so far
}

func newBatch(spec Spec, report func(change)) *Batch {
	return &Batch{spec: spec, cache: newCache(spec.Cache/blockWords, report)}
}

// Add queues a job behind the jobs of the same or a more urgent priority.
func (b *Batch) Add(job Job) {
	words, hashes := prefixes(job.Prompt)
	seq := &sequence{job: job, words: words, hashes: hashes, position: job.After}
	if seq.job.Slowdown < 1 {
		seq.job.Slowdown = 1
	}
	index, _ := slices.BinarySearchFunc(b.queue, job.Priority+1, func(s *sequence, priority int) int {
		return s.job.Priority - priority
	})
	b.queue = slices.Insert(b.queue, index, seq)
}

// Remove removes a job and returns the number of its words and tokens in the KV
// cache. It reports false if there is no such job.
func (b *Batch) Remove(id string) (int, bool) {
	matches := func(s *sequence) bool { return s.job.ID == id }
	if i := slices.IndexFunc(b.queue, matches); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
		return 0, true
	}
	if i := slices.IndexFunc(b.running, matches); i >= 0 {
		seq := b.running[i]
		b.running = slices.Delete(b.running, i, i+1)
		return seq.words + seq.position - int(seq.pendingPrefill), true
	}
	return 0, false
}

// Running returns the number of sequences that occupy a slot.
func (b *Batch) Running() int { return len(b.running) }

// Queued returns the number of jobs waiting for a slot.
func (b *Batch) Queued() int { return len(b.queue) }

// Step admits queued jobs to the free slots, runs one step and returns its
// duration and the tokens generated at its end. A step of an empty batch takes
// no time.
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
		if !seq.prefilled {
			n := min(budget, int(seq.pendingPrefill+0.999))
			seq.pendingPrefill = max(seq.pendingPrefill-float64(n), 0)
			budget -= n
			computed += n
			if seq.pendingPrefill > 0 {
				continue
			}
			seq.prefilled = true
			b.cache.insert(seq.hashes)
		}
		decoding++
		if output, ok := seq.advance(); ok {
			outputs = append(outputs, output)
		}
	}
	b.running = slices.DeleteFunc(b.running, func(s *sequence) bool { return s.prefilled && s.position >= s.job.Max })
	b.totalPrefilled += uint64(computed)
	return b.duration(decoding, computed), outputs
}

func (b *Batch) duration(decoding, computed int) time.Duration {
	seconds := float64(computed) / b.spec.PrefillRate
	if decoding > 0 {
		seconds += (1 + b.spec.Growth*float64(decoding-1)) / b.spec.DecodeRate
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
		seq.pendingPrefill = float64(seq.computed) * seq.job.Slowdown
		b.running = append(b.running, seq)
	}
}

// advance generates the next token, unless the slowdown of the job skips this step.
func (s *sequence) advance() (Output, bool) {
	s.credit++
	if s.credit < s.job.Slowdown || s.position >= s.job.Max {
		return Output{}, false
	}
	s.credit -= s.job.Slowdown
	output := Output{ID: s.job.ID, Position: s.position, Cached: s.cached, Computed: s.computed}
	s.position++
	output.Done = s.position >= s.job.Max
	return output, true
}
