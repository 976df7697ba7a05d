package engine

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBatchAnswersEachJobWhole checks for random jobs that every token is output
// once and in order, and that slots and cache stay within their limits.
func TestBatchAnswersEachJobWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		spec := Defaults()
		spec.Slots = rapid.IntRange(1, 4).Draw(t, "slots")
		spec.Cache = rapid.IntRange(0, 8).Draw(t, "blocks") * blockWords
		b := newBatch(spec, func(change) {})
		next, limit := map[string]int{}, map[string]int{}
		for _, id := range rapid.SliceOfNDistinct(rapid.StringN(1, 3, 3), 1, 12, rapid.ID[string]).Draw(t, "ids") {
			job := Job{
				ID: id, Prompt: strings.Repeat("a ", rapid.IntRange(0, 200).Draw(t, "words")) + id,
				After: rapid.IntRange(0, 3).Draw(t, "after"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				Slowdown: rapid.Float64Range(0, 3).Draw(t, "slow"),
			}
			job.Max = job.After + rapid.IntRange(1, 5).Draw(t, "max")
			next[id], limit[id] = job.After, job.Max
			b.Add(job)
		}
		for b.Running()+b.Queued() > 0 {
			stepTime, outputs := b.Step()
			if stepTime <= 0 || b.Running() > spec.Slots || len(b.cache.blocks) > b.cache.limit {
				t.Fatalf("step time %v, running %d, blocks %d", stepTime, b.Running(), len(b.cache.blocks))
			}
			for _, output := range outputs {
				if output.Position != next[output.ID] || output.Done != (output.Position+1 == limit[output.ID]) {
					t.Fatalf("output %+v, want position %d of %d", output, next[output.ID], limit[output.ID])
				}
				next[output.ID]++
			}
		}
		require.Equal(t, limit, next)
	})
}

func TestBatchStepGrowsAndBoundsPrefill(t *testing.T) {
	spec := Defaults()
	b := newBatch(spec, func(change) {})
	b.Add(Job{ID: "long", Prompt: strings.Repeat("a ", 2*spec.Chunk), Max: 3})
	stepTime, outputs := b.Step()
	require.Equal(t, 16*time.Millisecond, stepTime)
	require.Empty(t, outputs)
	b.Add(Job{ID: "short", Prompt: "b", Max: 3})
	_, outputs = b.Step()
	require.Len(t, outputs, 1, "the long prompt used the whole prefill chunk of this step")
	b.Step()
	stepTime, _ = b.Step()
	require.Equal(t, 26250*time.Microsecond, stepTime, "two sequences decode")
	stepTime, _ = b.Step()
	require.Equal(t, 25*time.Millisecond, stepTime, "one sequence remains")
}

func TestBatchServesUrgentFirst(t *testing.T) {
	spec := Defaults()
	spec.Slots = 1
	b := newBatch(spec, func(change) {})
	for _, job := range []Job{{ID: "a", Priority: 2}, {ID: "b", Priority: 1}, {ID: "c", Priority: 2}, {ID: "d", Priority: 1}} {
		job.Prompt, job.Max = "w", 1
		b.Add(job)
	}
	var order string
	for b.Running()+b.Queued() > 0 {
		_, outputs := b.Step()
		order += outputs[0].ID
	}
	require.Equal(t, "bdac", order)
}
