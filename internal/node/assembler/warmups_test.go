package assembler_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
)

// Guards against a cold endpoint that gets the calls of all callers, or none: rules, list, leases, and the end of
// being cold have to arrive at the entry from the leader and through a relay.
func TestColdEndpointGetsTheCallsOfItsLeases(t *testing.T) {
	for name, relayed := range map[string]int{"leader": 0, "relay": 1} {
		t.Run(name, func(t *testing.T) {
			d := newDeploymentWith(t, relayed)
			var mu sync.Mutex
			var arrived []time.Time
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				arrived = append(arrived, time.Now())
				mu.Unlock()
				w.Header().Set("Call", r.Header.Get("Call"))
				_, _ = io.WriteString(w, "one")
			}))
			t.Cleanup(server.Close)
			e := endpointOf("e1", "", server)
			e.ColdUntil = 60_000 // as each list states it
			d.setListed(e)
			r := ruleset(5, "k1")
			r.Services[0].ColdRate, r.Services[0].ColdStart = 2, time.Minute // one holder, two calls a second
			d.put(d.keepers[0], r)
			served, refused := 0, 0
			require.Eventually(t, func() bool {
				switch d.call("k1") {
				case "one":
					served++
				case string(forwarder.Busy):
					refused++
				}
				return served >= 4
			}, waitTimeout, 10*time.Millisecond)
			require.Greater(t, refused, served)
			d.entry.awaitLog(t, 0, "endpoint is or may be cold")
			mu.Lock()
			for i := 2; i < len(arrived); i++ {
				require.Greater(t, arrived[i].Sub(arrived[i-2]), time.Second)
			}
			mu.Unlock()
			e.ColdUntil = 0
			d.setListed(e)
			d.entry.awaitLog(t, 0, "endpoint is warm")
			for range 20 {
				require.Equal(t, "one", d.call("k1"))
			}
		})
	}
}
