package assembler_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
)

// An entry that is cut off from all keepers, and whose list shows the endpoint as serving
// for ever, went on to send calls to one that had said that it leaves, or had asked for
// a pause.
func TestCutOffEntryHeedsItsEndpoints(t *testing.T) {
	cases := map[string]struct {
		name, value string
		status      int
		line        string
	}{
		"leaving": {"Leaving", "1", 200, "endpoint leaving"},
		"paused":  {"Pause", "1m", 503, "endpoint asks for a pause"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			var isSaid atomic.Bool
			var after atomic.Int64 // calls received after it was said
			one := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Call", r.Header.Get("Call"))
				if isSaid.Load() {
					after.Add(1)
					w.Header().Set(tc.name, tc.value)
					w.WriteHeader(tc.status)
				}
				_, _ = io.WriteString(w, "one")
			}))
			t.Cleanup(one.Close)
			two, _ := newServer(t, "two", 0)
			remote := endpointOf("e2", "", two)
			remote.Domain = "two" // not preferred
			d.setListed(endpointOf("e1", "", one), remote)
			r := ruleset(5, "k1")
			r.Routes[0].MaxAttempts = 2
			d.put(d.keepers[0], r)
			d.requireEventually("k1", "one")
			d.stopTwoKeepers()
			isSaid.Store(true)
			served := 0
			for {
				answer := d.call("k1")
				if answer == string(forwarder.Unready) {
					break
				}
				if answer == "two" {
					served++
				}
				time.Sleep(20 * time.Millisecond)
			}
			require.Equal(t, int64(1), after.Load())
			require.Greater(t, served, 10, "the other endpoint serves meanwhile")
			require.Equal(t, 1, strings.Count(d.entry.text(), tc.line), "logged once")
		})
	}
}
