package forwarder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/placer"
)

// Guards against urgent calls that are refused because of queued work of less urgent ones, against
// refused callers that are told a delay that they don't honor, and against refused calls that are
// charged.
func TestRefusalByPriority(t *testing.T) {
	f := newFixture(t, newEndpoint(t, answerWith(200, "ok")))
	f.setRules(func(r *registrar.Ruleset) {
		for i := range r.Routes {
			r.Routes[i].Objective = time.Second
			if r.Routes[i].Name == "once" {
				r.Routes[i].Priority = 2
			}
		}
	})
	f.decode = func(call *forwarder.Call) { call.Prompt, call.IsSized = 3000, true }
	// Two seconds of queued work of the least urgent calls.
	f.placer.SetPeerLoads(map[int]placer.Load{0: {InFlight: 1, Waiting: 1, PendingPrefill: 60000}}, time.Now().Add(time.Minute))
	require.Equal(t, 200, f.call(t, "/safe/1", "k1", "").status)
	for range allowance + 5 {
		got := f.call(t, "/once/1", "k1", "body")
		require.Equal(t, string(forwarder.Busy), got.refusal, "no refusal for the limit: what ran nowhere is not charged")
		require.LessOrEqual(t, got.after, f.maxWait/3)
	}
	last := f.results[len(f.results)-1]
	require.Equal(t, placer.RefusedLate, last.Shortage)
	require.Equal(t, 2, last.Priority)
	require.Greater(t, last.Queue, last.Allowed)
	require.Positive(t, last.Allowed)
	require.Positive(t, last.Told)
}
