package rationer_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/request/rationer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// formerQueueTime is the allowed queue time before rationing existed.
func formerQueueTime(c *rationer.Call) time.Duration {
	objective := float64(c.Objective)
	if objective <= 0 {
		return c.Remaining
	}
	prefill := float64(c.Prompt) / 40.0 * float64(time.Millisecond)
	fraction := max(0.85-prefill/objective, 0.4) / (1 + 0.3*float64(max(c.Priority, 0)))
	waited := float64(c.Waited) / objective
	if waited < 1 {
		fraction -= waited
	}
	return time.Duration(max(fraction, 0.2) * objective)
}

func drawCall(t *rapid.T) *rationer.Call {
	return &rationer.Call{
		Service: "desk", Customer: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "customer"), Priority: rapid.IntRange(-1, 4).Draw(t, "priority"),
		Prompt:    rapid.SampledFrom([]int{0, 543, 715, 2368, 9190}).Draw(t, "prompt"),
		Objective: time.Duration(rapid.IntRange(0, 1500).Draw(t, "objective")) * time.Millisecond,
		Remaining: time.Duration(rapid.IntRange(20, 9000).Draw(t, "remaining")) * time.Millisecond,
		Waited:    time.Duration(rapid.IntRange(0, 2000).Draw(t, "waited")) * time.Millisecond,
	}
}

// Guards against a change of decisions where capacity suffices.
func TestWithoutShortageDecisionsAreAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := rationer.New(), start
		for range rapid.IntRange(0, 80).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			c := drawCall(t)
			a := r.Allow(c, now)
			require.Equal(t, formerQueueTime(c), a.QueueTime())
			require.Zero(t, a.Reserve())
			r.Admitted(c, false, now)
		}
	})
}

// Guards against less urgent calls that keep filling queues while more urgent ones are refused,
// and against a rank that stays reduced once they are served again.
func TestLessUrgentCallsGiveWayAndRecover(t *testing.T) {
	r, now := rationer.New(), start
	urgent := &rationer.Call{Service: "desk", Priority: 0, Prompt: 700, Objective: 500 * time.Millisecond, Remaining: 4 * time.Second}
	other := &rationer.Call{Service: "desk", Priority: 2, Prompt: 2400, Objective: 1500 * time.Millisecond, Remaining: 9 * time.Second}
	for i := range 200 {
		now = now.Add(10 * time.Millisecond)
		r.Admitted(other, false, now)
		if i%3 == 0 {
			r.Refused(urgent, 400*time.Millisecond, now)
			continue
		}
		r.Admitted(urgent, false, now)
	}
	a := r.Allow(other, now)
	require.Less(t, a.QueueTime(), formerQueueTime(other)/5)
	require.Positive(t, a.Reserve())
	require.Equal(t, formerQueueTime(urgent), r.Allow(urgent, now).QueueTime(), "less urgent calls don't reduce a more urgent one")
	for range 1500 {
		now = now.Add(10 * time.Millisecond)
		r.Admitted(urgent, false, now)
	}
	require.Equal(t, formerQueueTime(other), r.Allow(other, now).QueueTime())
}
