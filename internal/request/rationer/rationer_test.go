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
	require.Equal(t, [rationer.Ranks]float64{1, 0.1, 0.1}, r.Levels(now)["desk"])
	require.Equal(t, formerQueueTime(urgent), r.Allow(urgent, now).QueueTime(), "less urgent calls don't reduce a more urgent one")
	for range 1500 {
		now = now.Add(10 * time.Millisecond)
		r.Admitted(urgent, false, now)
	}
	require.Equal(t, formerQueueTime(other), r.Allow(other, now).QueueTime())
	require.Equal(t, [rationer.Ranks]float64{1, 1, 1}, r.Levels(now)["desk"])
}

// Guards against an entry that decides by its own few calls while others refuse urgent ones, and
// against one that goes on deciding by what it heard before it was cut off.
func TestWhatOtherEntriesRefuseCountsForAWhile(t *testing.T) {
	r, now := rationer.New(), start
	other := &rationer.Call{Service: "desk", Priority: 1, Prompt: 700, Objective: time.Second, Remaining: 4 * time.Second}
	r.Admitted(other, false, now)
	own := r.Report(now)["desk"]
	sum := own
	sum[0] = rationer.Work{Asked: 9000, Bad: 3000, Admitted: 6000}
	r.SetShared(map[string][rationer.Ranks]rationer.Work{"desk": sum}, now)
	require.Less(t, r.Allow(other, now).QueueTime(), formerQueueTime(other)/2)
	require.Equal(t, formerQueueTime(other), r.Allow(other, now.Add(2100*time.Millisecond)).QueueTime())
	r.SetShared(map[string][rationer.Ranks]rationer.Work{"desk": own}, now)
	require.Equal(t, formerQueueTime(other), r.Allow(other, now).QueueTime(), "what the node itself reported counts twice")
}

// Guards against calls that are admitted and then late: more urgent ones overtake them, or many
// entries have chosen the same endpoint.
func TestQueueTimeAllowsForOvertaking(t *testing.T) {
	c := &rationer.Call{Service: "desk", Priority: 1, Prompt: 2000, Objective: time.Second, Remaining: 4 * time.Second, Capacity: 30}
	urgent := &rationer.Call{Service: "desk", Priority: 0, Prompt: 700, Objective: time.Second, Remaining: 4 * time.Second}
	allowed := func(urgentCalls int, isLate bool, capacity float64) time.Duration {
		r := rationer.New()
		for range urgentCalls {
			r.Admitted(urgent, false, start)
		}
		for i := range 20 {
			r.Admitted(c, isLate && i%2 == 0, start)
		}
		r.Refused(&rationer.Call{Service: "desk", Priority: 1, Prompt: 20000, Objective: time.Second}, time.Minute, start)
		with := *c
		with.Capacity = capacity
		return r.Allow(&with, start).QueueTime()
	}
	// 30 calls of 1,000 tokens within the window of 2 s use half of 30 tokens per millisecond.
	require.Less(t, allowed(30, false, 30), allowed(30, false, 0)*2/3)
	require.Equal(t, allowed(0, false, 0), allowed(0, false, 30), "nobody overtakes")
	require.Less(t, allowed(0, true, 30), allowed(0, false, 30)*2/3)
}

// Guards against less urgent calls that are admitted and never reached, since more urgent ones keep
// all endpoints busy.
func TestMoreUrgentCallsYieldToAStarvedPriority(t *testing.T) {
	r, now := rationer.New(), start
	urgent := &rationer.Call{Service: "desk", Priority: 0, Prompt: 700, Objective: 500 * time.Millisecond, Remaining: 2 * time.Second}
	other := &rationer.Call{Service: "desk", Priority: 2, Prompt: 700, Objective: time.Second, Remaining: 4 * time.Second}
	for range 20 {
		r.Admitted(urgent, false, now)
		r.Admitted(other, true, now) // late
	}
	require.LessOrEqual(t, r.Allow(urgent, now).QueueTime(), formerQueueTime(urgent)*6/10)
	for range 5 {
		r.Admitted(other, false, now)
	}
	require.Equal(t, formerQueueTime(urgent), r.Allow(urgent, now).QueueTime())
}

// Guards against large calls that are preferred although they return less for the capacity that
// they take.
func TestSmallCallsGoBeforeLargeOnes(t *testing.T) {
	r, now := rationer.New(), start
	small := &rationer.Call{Service: "desk", Prompt: 2000, Objective: 2 * time.Second, Remaining: 4 * time.Second}
	large := &rationer.Call{Service: "desk", Prompt: 9000, Objective: 2 * time.Second, Remaining: 4 * time.Second}
	for i := range 100 {
		call := small
		if i%10 == 0 {
			call = large
		}
		if i%4 == 1 {
			r.Refused(call, time.Second, now)
			continue
		}
		r.Admitted(call, false, now)
	}
	require.Equal(t, formerQueueTime(small), r.Allow(small, now).QueueTime())
	require.Equal(t, formerQueueTime(large)/2, r.Allow(large, now).QueueTime())
}

// Guards against less urgent calls that are refused although capacity suffices, because some of
// the more urgent ones are late during a stall of their endpoint.
func TestFewLateCallsAreNoShortage(t *testing.T) {
	r, now := rationer.New(), start
	urgent := &rationer.Call{Service: "desk", Prompt: 700, Objective: 500 * time.Millisecond, Remaining: 2 * time.Second}
	other := &rationer.Call{Service: "desk", Priority: 2, Prompt: 700, Objective: time.Second, Remaining: 4 * time.Second}
	for i := range 100 {
		r.Admitted(urgent, false, now)
		if i%12 == 0 {
			r.Late(urgent, now)
		}
	}
	require.Equal(t, formerQueueTime(other), r.Allow(other, now).QueueTime())
	for range 30 {
		r.Late(urgent, now)
	}
	require.Less(t, r.Allow(other, now).QueueTime(), formerQueueTime(other))
}

// Guards against figures of a node of another release that end an entry or are read as others.
func TestFiguresOfOtherReleases(t *testing.T) {
	works := [rationer.Ranks]rationer.Work{{Asked: 9, Bad: 2, Admitted: 8}, {}, {Asked: 5, Bad: 5}}
	wire := rationer.Encode(map[string][rationer.Ranks]rationer.Work{"desk": works})["desk"]
	for name, test := range map[string]struct {
		wire []uint32
		want [rationer.Ranks]rationer.Work
	}{
		"same":         {wire, works},
		"none":         {nil, [rationer.Ranks]rationer.Work{}},
		"fewer ranks":  {wire[:3], [rationer.Ranks]rationer.Work{works[0]}},
		"part of rank": {wire[:8], [rationer.Ranks]rationer.Work{works[0]}},
		"more ranks":   {append(wire, 1, 2, 3), works},
	} {
		require.Equal(t, test.want, rationer.Decode(map[string][]uint32{"desk": test.wire})["desk"], name)
	}
}

// Guards against deployments without rationing that decide otherwise than with it while nothing is short.
func TestUsualIsWhatIsAllowedWithoutShortage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rationer.Call{
			Service: "desk", Customer: "a", Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Prompt: rapid.IntRange(0, 40000).Draw(t, "prompt"),
			Objective: time.Duration(rapid.IntRange(0, 2000).Draw(t, "objective")) * time.Millisecond, Remaining: 5 * time.Second,
			Waited: time.Duration(rapid.IntRange(0, 3000).Draw(t, "waited")) * time.Millisecond,
		}
		require.Equal(t, rationer.New().Allow(&c, start), rationer.Usual(&c))
	})
}
