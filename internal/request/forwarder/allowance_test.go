package forwarder_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/registrar"
)

// At 291 entries customers within their limits were told that they were over them, because the
// leader's answer took more than 120 ms.
func TestLateAnswerOnAnAllowanceRefusesNoCall(t *testing.T) {
	cases := map[string]struct {
		lateBy   time.Duration
		failures int64 // requests without an answer
	}{
		"late":          {lateBy: 400 * time.Millisecond},
		"lost":          {failures: 3},
		"late and lost": {lateBy: 100 * time.Millisecond, failures: 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, newEndpoint(t, answerWith(200, "ok")))
			f.setRules(func(r *registrar.Ruleset) {
				for i := range r.Routes {
					r.Routes[i].Objective = time.Minute
				}
			})
			f.quotas.Take("masons", allowance, time.Now())
			var asked atomic.Int64
			f.ask = func() bool {
				time.Sleep(tc.lateBy)
				if asked.Add(1) <= tc.failures {
					return false
				}
				f.quotas.Add("masons", 1, time.Now(), time.Now().Add(time.Hour))
				return true
			}
			got := f.call(t, "/safe/1", "k1", "")
			require.NoError(t, got.err)
			require.Empty(t, got.refusal)
			require.EqualValues(t, tc.failures+1, asked.Load())
		})
	}
}
