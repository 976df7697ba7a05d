package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/forwarder"
)

// Pattern: all instances start at once, or one wakes up. Calls that come a little
// before the rules do are served when these are there, not asked back.
func TestCallsWaitForRules(t *testing.T) {
	cases := map[string]struct {
		before, after func(f *front)
		want          forwarder.Refusal
	}{
		"no rules, then rules": {
			func(f *front) { f.forwarder.SetTable(nil) },
			func(f *front) { f.forwarder.SetTable(registrar.NewTable(rules())) }, "",
		},
		"rules not confirmed, then confirmed": {
			func(f *front) { f.confirmed = false },
			func(f *front) { f.note(func() { f.confirmed = true }) }, "",
		},
		"rules that are never confirmed": {
			func(f *front) { f.confirmed = false },
			func(*front) {}, forwarder.Unready,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, answer(http.StatusOK, "ok"))
			f := newFront(t, e)
			tc.before(f)
			got := make(chan reply, 1)
			waiter := &waiter{t, f, got}
			go waiter.run()
			require.Eventually(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.awaited > 0
			}, 10*time.Second, time.Millisecond)
			tc.after(f)
			f.announce()
			answered := <-got
			require.NoError(t, answered.err)
			require.Equal(t, string(tc.want), answered.refusal)
			if tc.want != "" {
				require.Empty(t, e.requests())
			}
		})
	}
}

type waiter struct {
	t     *testing.T
	front *front
	got   chan reply
}

func (w *waiter) run() { w.got <- w.front.call(w.t, "/safe/1", "k1", "body") }
