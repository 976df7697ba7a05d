package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/forwarder"
)

// When all instances start at once, or one resumes after a suspension, calls that
// arrive shortly before the rules must wait for them and be served, not be refused.
func TestCallsWaitForRules(t *testing.T) {
	cases := map[string]struct {
		before, after func(f *fixture)
		want          forwarder.Refusal
	}{
		"no rules, then rules": {
			func(f *fixture) { f.forwarder.SetTable(nil) },
			func(f *fixture) { f.forwarder.SetTable(registrar.NewTable(rules())) }, "",
		},
		"rules not confirmed, then confirmed": {
			func(f *fixture) { f.confirmed = false },
			func(f *fixture) { f.locked(func() { f.confirmed = true }) }, "",
		},
		"rules that are never confirmed": {
			func(f *fixture) { f.confirmed = false },
			func(*fixture) {}, forwarder.Unready,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, answerWith(http.StatusOK, "ok"))
			f := newFixture(t, e)
			tc.before(f)
			got := make(chan reply, 1)
			caller := &waitingCaller{t, f, got}
			go caller.run()
			require.Eventually(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.waits > 0
			}, 10*time.Second, time.Millisecond)
			tc.after(f)
			f.notifyChange()
			answered := <-got
			require.NoError(t, answered.err)
			require.Equal(t, string(tc.want), answered.refusal)
			if tc.want != "" {
				require.Empty(t, e.requests())
			}
		})
	}
}

type waitingCaller struct {
	t       *testing.T
	fixture *fixture
	got     chan reply
}

func (w *waitingCaller) run() { w.got <- w.fixture.call(w.t, "/safe/1", "k1", "body") }
