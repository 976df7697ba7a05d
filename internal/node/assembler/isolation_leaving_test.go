package assembler_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/request/forwarder"
)

// A request that still ran at three endpoints when they stopped, after the list had shown them as leaving, was refused
// as one that crashes endpoints.
func TestRequestAtStoppingEndpointsIsNotRefused(t *testing.T) {
	cases := map[string]bool{"listed until they stop": true, "no longer listed": false}
	for name, isListed := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.put(d.keepers[0], ruleset(5, "k1"))
			long := testCall{method: http.MethodGet, target: "/x?q=long", key: "k1"}
			deadly := testCall{method: http.MethodGet, target: "/x?q=deadly", key: "k1"}
			stopping := make([]*httptest.Server, 4)
			var begun atomic.Int64
			for i := range stopping {
				stopping[i] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Query().Get("q") == "long" {
						begun.Add(1)
						<-r.Context().Done()
						return
					}
					w.Header().Set("Call", r.Header.Get("Call"))
					_, _ = io.WriteString(w, fmt.Sprint("s", i))
				}))
				t.Cleanup(stopping[i].Close)
			}
			endpoint := func(i int) coordinator.Endpoint { return endpointOf(fmt.Sprint("s", i), "", stopping[i]) }
			for i := range 3 {
				d.setListed(endpoint(i))
				d.requireEventually("k1", fmt.Sprint("s", i))
				ended := make(chan string, 1)
				go func() { ended <- d.send(&long) }()
				require.Eventually(t, func() bool { return begun.Load() == int64(i+1) }, waitTimeout, time.Millisecond)
				if leaving := endpoint(i); isListed {
					leaving.Leaving = true
					d.setListed(leaving, endpoint(i+1))
				} else {
					d.setListed(endpoint(i + 1))
				}
				d.requireEventually("k1", fmt.Sprint("s", i+1))
				require.NoError(t, stopping[i].Listener.Close())
				stopping[i].CloseClientConnections()
				require.Equal(t, string(forwarder.Unknown), <-ended)
			}
			// Once the leader has refused another request, it has decided about the first one.
			var crashing []coordinator.Endpoint
			isDeadly := func(r *http.Request) bool { return r.URL.Query().Get("q") == "deadly" }
			for i := range 8 {
				crashing = append(crashing, newCrashingEndpoint(t, fmt.Sprint("e", i), isDeadly, new(atomic.Int64)).listed())
			}
			d.setListed(crashing...)
			d.requireEventually("k1", "answer")
			require.Eventually(t, func() bool { return d.send(&deadly) == string(forwarder.Isolated) }, waitTimeout, 100*time.Millisecond)
			require.NotEqual(t, string(forwarder.Isolated), d.send(&long))
		})
	}
}
