package rationer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/request/placer"
	"hyssoprudder/internal/request/rationer"
)

// Guards against a more urgent call that is refused while a less urgent one of the same size and
// customer that comes later is admitted by the same entry with the same knowledge. Calls of the
// minimum share of a priority are excepted, as that share is promised.
func TestMoreUrgentCallIsNotRefusedBeforeLessUrgent(t *testing.T) {
	compared, exceptions := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		r, p, now := rationer.New(), placer.New(), start
		p.SetEndpoints([]placer.Endpoint{{ID: "a", Service: "desk", Slots: 64}, {ID: "b", Service: "desk", Slots: 64}})
		objectives := rapid.SliceOfN(rapid.IntRange(100, 3000), rationer.Ranks, rationer.Ranks).Draw(t, "objectives")
		offer := func(c rationer.Call) (isAdmitted, isMinimum bool) {
			c.Objective, c.Remaining, c.Capacity = time.Duration(objectives[c.Priority])*ms, 20*time.Second, p.Capacity("desk")
			a := r.Allow(&c, now)
			choice, _, _ := p.Place(&placer.Request{
				Service: "desk", Prompt: c.Prompt, KVSize: 600000, MaxFirst: 15 * time.Second, MaxQueueTime: a.QueueTime(), Reserve: a.Reserve(), Priority: c.Priority, Now: now,
			})
			if choice == nil {
				r.Refused(&c, a.QueueTime(), now)
				return false, a.IsMinimum()
			}
			r.Admitted(&c, choice.Predicted() > c.Objective, now)
			return true, a.IsMinimum()
		}
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * ms)
			load := make(map[int]placer.Load)
			for position := range 2 {
				first, second, rest := rapid.IntRange(0, 30000).Draw(t, "first"), rapid.IntRange(0, 30000).Draw(t, "second"), rapid.IntRange(0, 60000).Draw(t, "rest")
				load[position] = placer.Load{InFlight: 9, PendingFirst: first, PendingSecond: second, PendingPrefill: first + second + rest}
			}
			p.SetPeerLoads(load, now)
			c := rationer.Call{Service: "desk", Customer: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"), Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Prompt: rapid.SampledFrom([]int{543, 2400, 9190}).Draw(t, "prompt")}
			if isAdmitted, _ := offer(c); isAdmitted {
				continue
			}
			c.Priority = rapid.IntRange(c.Priority+1, rationer.Ranks-1).Draw(t, "less urgent")
			isAdmitted, isMinimum := offer(c)
			if compared++; isMinimum {
				exceptions++
				continue
			}
			require.False(t, isAdmitted)
		}
	})
	require.Greater(t, compared, 500)
	require.Less(t, exceptions, compared*4/5, "nearly all calls are exceptions")
}

// Guards against returns that are promised beyond the capacity, or later than callers return.
func TestPromisedReturnsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity, largest = 30.0, 3000 // tokens per millisecond; tokens
		r, now := rationer.New(), start
		type promise struct {
			at   time.Time
			work float64
		}
		var promises []promise
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * ms)
			c := drawCall(t)
			c.Service, c.Prompt = "desk", min(c.Prompt, largest)
			wait := time.Duration(rapid.IntRange(0, 600).Draw(t, "wait")) * ms
			delay, isPromised := r.Return(c, wait, capacity, now)
			require.LessOrEqual(t, delay, max(c.Remaining/3, wait))
			if c.Remaining/3 > wait {
				require.GreaterOrEqual(t, delay, wait)
				require.LessOrEqual(t, delay, c.Remaining/3)
			}
			if isPromised {
				promises = append(promises, promise{now.Add(delay), float64(c.Prompt + 300)})
			}
		}
		for from := start; from.Before(now.Add(3 * time.Second)); from = from.Add(100 * ms) {
			for _, length := range []time.Duration{100 * ms, 500 * ms, 2 * time.Second} {
				sum := 0.0
				for _, p := range promises {
					if !p.at.Before(from) && p.at.Before(from.Add(length)) {
						sum += p.work
					}
				}
				// A call that is larger than a time slot extends beyond it: one for each priority. Two
				// slots may be cut by the ends of the interval.
				limit := 0.5*capacity*(float64(length/ms)+2*25) + rationer.Ranks*(largest+300)
				require.LessOrEqual(t, sum, limit, "from %v for %v", from, length)
			}
		}
	})
}

// Guards against more urgent callers that are told to return later than less urgent ones.
func TestMoreUrgentCallersReturnSooner(t *testing.T) {
	r := rationer.New()
	last := make([]time.Duration, rationer.Ranks)
	for range 6 {
		for i := range rationer.Ranks {
			priority := rationer.Ranks - 1 - i
			c := &rationer.Call{Service: "desk", Priority: priority, Prompt: 2000, Remaining: 9 * time.Second}
			delay, isPromised := r.Return(c, 80*ms, 60, start)
			require.True(t, isPromised)
			last[priority] = max(last[priority], delay)
		}
	}
	require.IsIncreasing(t, last)
	require.Positive(t, last[0])
}

// Guards against a returning caller that is refused while a new one of its priority is admitted.
func TestReturningCallGoesBeforeNew(t *testing.T) {
	r, now := rationer.New(), start
	fresh := &rationer.Call{Service: "desk", Prompt: 700, Objective: 500 * ms, Remaining: 2 * time.Second}
	for range 50 {
		r.Refused(fresh, 400*ms, now)
		r.Return(fresh, 0, 60, now)
	}
	now = now.Add(120 * ms)
	returning := *fresh
	returning.Waited, returning.Remaining = 120*ms, fresh.Remaining-120*ms
	require.Greater(t, r.Allow(&returning, now).QueueTime(), r.Allow(fresh, now).QueueTime())
}
