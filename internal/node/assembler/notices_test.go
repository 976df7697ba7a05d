package assembler_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/registrar"
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

// What an endpoint said to one entry is heard by another that has not called it.
func TestOtherEntriesHearThatAnEndpointLeaves(t *testing.T) {
	d := newDeployment(t)
	other := d.start(8, "entry", false)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = other.node.Stop(ctx)
	})
	leaving := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Call", r.Header.Get("Call"))
		w.Header().Set("Leaving", "1")
		_, _ = io.WriteString(w, "one")
	}))
	t.Cleanup(leaving.Close)
	const count = 3*coordinator.MaxNotices + 1 // more than fit into a report
	var listed []coordinator.Endpoint
	for i := range count {
		listed = append(listed, endpointOf(fmt.Sprint("e", i), "", leaving))
	}
	d.setListed(listed...)
	d.put(d.keepers[0], ruleset(5, "k1"))
	marks := func(n *testNode, source string) int { return strings.Count(n.text(), "source="+source) }
	require.Eventually(t, func() bool {
		d.call("k1")
		return marks(d.entry, "answer") == count
	}, waitTimeout, 10*time.Millisecond)
	require.Eventually(t, func() bool { return marks(other, "leader") == count }, waitTimeout, 10*time.Millisecond)
	require.Zero(t, marks(d.entry, "leader"), "logged once, though the entry hears of them too")
}

// An endpoint that is started again under its ID and at its address, which the list can't
// tell, gets calls again once it says when it was started. All entries hear of that. Before,
// whatever it answers and the list shows, it gets none.
func TestEndpointThatIsBornAgainServes(t *testing.T) {
	d := newDeployment(t)
	other := d.start(8, "entry", false)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = other.node.Stop(ctx)
	})
	var isLeaving atomic.Bool
	var calls atomic.Int64
	isLeaving.Store(true)
	one := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		w.Header().Set("Call", r.Header.Get("Call"))
		if isLeaving.Load() {
			w.Header().Set("Leaving", "1")
		}
		_, _ = io.WriteString(w, "one")
	}))
	t.Cleanup(one.Close)
	two, _ := newServer(t, "two", 0)
	remote := endpointOf("e2", "", two)
	remote.Domain = "two" // not preferred
	d.setListed(endpointOf("e1", "", one), remote)
	d.put(d.keepers[0], ruleset(5, "k1"))
	d.requireEventually("k1", "one")
	isLeaving.Store(false)
	d.setBorn(time.Now().Add(-time.Hour), 0)
	asked := time.Now()
	for time.Since(asked) < 6*time.Second { // longer than until the first question
		require.Equal(t, "two", d.call("k1"))
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, int64(1), calls.Load(), "the same life")
	d.setBorn(time.Now(), 9)
	d.requireEventually("k1", "one")
	require.Contains(t, d.entry.text(), "source=endpoint")
	require.Eventually(t, func() bool { return strings.Contains(other.text(), "endpoint was started again") }, waitTimeout, 10*time.Millisecond)
	require.NotContains(t, other.text(), "source=endpoint")
	time.Sleep(time.Second) // reports and directives of the earlier life would bring the mark back
	require.Equal(t, "one", d.call("k1"))
}

// A service whose only endpoint wants no calls for a long time gets another one.
func TestPausedEndpointIsReplaced(t *testing.T) {
	d := newDeployment(t)
	paused := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Call", r.Header.Get("Call"))
		w.Header().Set("Pause", "1h")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(paused.Close)
	d.setListed(endpointOf("e1", "", paused))
	r := ruleset(5, "k1")
	r.Services[0].Capacity = &registrar.Capacity{Min: 1, Max: 4, StartupTime: time.Second, Prices: map[string]float64{"one": 1}}
	d.put(d.keepers[0], r)
	require.Eventually(t, func() bool {
		return d.call("k1") == string(forwarder.Busy) && strings.Contains(d.entry.text(), "asks for a pause")
	}, waitTimeout, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.sizes["one"] == 2
	}, waitTimeout, 10*time.Millisecond, "one that serves, and the paused one")
}
