package forwarder_test

import (
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/forwarder"
)

// A size whose sum overflowed raised the allowance of its customer to 9.2e18 tokens.
func TestStatedSizesNeverLiftALimit(t *testing.T) {
	const tokens = 20_000.0
	counts := []int{-1, 0, 1, 800, 19_999, 20_001, math.MaxInt32, math.MaxInt64 / 2, math.MaxInt64 - 800, math.MaxInt64, math.MinInt64}
	f := newFixture(t, newEndpoint(t, answerWith(200, "ok")))
	f.setRules(func(r *registrar.Ruleset) { r.Customers[0].CountsTokens = true })
	var size atomic.Pointer[[2]int]
	f.decode = func(call *forwarder.Call) {
		call.Prompt, call.Answer, call.IsSized = size.Load()[0], size.Load()[1], true
	}
	rapid.Check(t, func(rt *rapid.T) {
		f.quotas.Report(time.Now())
		f.quotas.SetAllowances(1, map[string]float64{"masons": tokens}, time.Now().Add(time.Hour))
		passed := 0.0
		for range rapid.IntRange(1, 6).Draw(rt, "calls") {
			sizes := [2]int{rapid.SampledFrom(counts).Draw(rt, "prompt"), rapid.SampledFrom(counts).Draw(rt, "answer")}
			size.Store(&sizes)
			got := f.call(t, "/safe/1", "k1", "")
			require.NoError(rt, got.err)
			if got.status == 200 {
				passed += max(float64(sizes[0])+float64(sizes[1]), 0)
			}
		}
		require.LessOrEqual(rt, passed, tokens)
	})
}

// Calls that nothing can serve as they are stated were tried, and one of them emptied its customer's limit for good.
func TestUnservableSizesAreRefusedAtOnce(t *testing.T) {
	cases := map[string]struct {
		call    forwarder.Call
		refusal forwarder.Refusal
	}{
		"sizes can't be read":          {forwarder.Call{IsMissized: true}, forwarder.Missized},
		"prompt larger than memory":    {forwarder.Call{IsSized: true, Prompt: 5001, Answer: 1}, forwarder.Oversized},
		"larger than the limit allows": {forwarder.Call{IsSized: true, Prompt: 800, Answer: largestCall}, forwarder.BeyondQuota},
		"longest answer is too large":  {forwarder.Call{IsSized: true, Prompt: 3, Answer: 5}, forwarder.None},
		"no sizes":                     {forwarder.Call{}, forwarder.None},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, answerWith(200, "ok"))
			f := newFixture(t, e)
			f.setRules(func(r *registrar.Ruleset) {
				r.Customers[0].CountsTokens, r.Customers[0].DefaultTokens = true, 1
				r.Services[0].Model = &registrar.Model{Slots: 6, KVSize: 5000}
			})
			f.ask = func() bool { panic("no allowance is asked for") }
			f.decode = func(call *forwarder.Call) {
				call.Prompt, call.Answer, call.IsSized, call.IsMissized = tc.call.Prompt, tc.call.Answer, tc.call.IsSized, tc.call.IsMissized
			}
			got := f.call(t, "/safe/1", "k1", "")
			require.NoError(t, got.err)
			require.Equal(t, string(tc.refusal), got.refusal)
			if tc.refusal != forwarder.None {
				require.Empty(t, e.requests())
				require.Zero(t, got.after, "waiting does not help")
			}
		})
	}
}

// An estimate of the answer that was too large by far took all of an endpoint's memory for others.
func TestEstimateOfTheAnswerIsBounded(t *testing.T) {
	f := newFixture(t, newEndpoint(t, answerWith(200, "ok")))
	f.setRules(func(r *registrar.Ruleset) { r.Services[0].Model = &registrar.Model{Slots: 6, KVSize: 100_000} })
	reserved := 0
	f.sending = func() {
		for _, load := range f.placer.Loads() {
			reserved = max(reserved, load.KVTokens)
		}
	}
	f.decode = func(call *forwarder.Call) {
		call.Prompt, call.Answer, call.IsSized, call.ExpectedAnswer = 10, math.MaxInt32, true, math.MaxInt32
	}
	got := f.call(t, "/safe/1", "k1", "")
	require.NoError(t, got.err)
	require.Equal(t, 200, got.status)
	require.Positive(t, reserved)
	require.LessOrEqual(t, reserved, 10+int(f.maxWait/time.Millisecond))
}
