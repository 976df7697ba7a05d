package assembler_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/forwarder"
)

// crashTime is how long an endpoint is down after a crash.
const crashTime = 2 * time.Second

// crashingEndpoint ends when it gets a deadly call, and serves again after crashTime.
type crashingEndpoint struct {
	id       string
	address  string
	isDeadly func(r *http.Request) bool
	deadly   *atomic.Int64 // deadly calls, over all endpoints
	done     chan struct{}
	group    sync.WaitGroup

	mu     sync.Mutex
	server *http.Server
}

const deadlyBlock = "1000"

func hasDeadlyBlock(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Prompt"), deadlyBlock)
}

func newCrashingEndpoint(t *testing.T, id string, isDeadly func(r *http.Request) bool, deadly *atomic.Int64) *crashingEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &crashingEndpoint{id: id, address: l.Addr().String(), isDeadly: isDeadly, deadly: deadly, done: make(chan struct{})}
	e.group.Add(1)
	go e.run(l)
	t.Cleanup(func() {
		close(e.done)
		e.crash()
		e.group.Wait()
	})
	return e
}

// run serves until the test ends, with a pause after each crash.
func (e *crashingEndpoint) run(l net.Listener) {
	defer e.group.Done()
	for {
		server := &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
		e.mu.Lock()
		e.server = server
		e.mu.Unlock()
		_ = server.Serve(l)
		select {
		case <-e.done:
			return
		case <-time.After(crashTime):
		}
		var err error
		if l, err = net.Listen("tcp", e.address); err != nil {
			return
		}
	}
}

func (e *crashingEndpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close()
}

func (e *crashingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.isDeadly(r) {
		e.deadly.Add(1)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Call", r.Header.Get("Call"))
	_, _ = io.WriteString(w, "answer")
}

func (e *crashingEndpoint) listed() coordinator.Endpoint {
	address, err := net.ResolveTCPAddr("tcp", e.address)
	if err != nil {
		panic(err)
	}
	return coordinator.Endpoint{ID: e.id, Service: "desk", Domain: "one", Slots: 64, Address: address.AddrPort()}
}

// Requests with one prompt block crashed one endpoint after the other, for as long as they came.
func TestPromptThatCrashesEndpointsIsRefused(t *testing.T) {
	d := newDeployment(t)
	deadly := new(atomic.Int64)
	var listed []coordinator.Endpoint
	for i := range 8 {
		listed = append(listed, newCrashingEndpoint(t, fmt.Sprint("e", i), hasDeadlyBlock, deadly).listed())
	}
	d.setListed(listed...)
	d.put(d.keepers[0], ruleset(5, "k1"))
	d.requireEventually("k1", "answer")
	calls := 0
	require.Eventually(t, func() bool {
		calls++
		d.callWithPrompt("k1", fmt.Sprintf("1,2,9%d", calls))
		return d.callWithPrompt("k1", fmt.Sprintf("1,2,%s,9%d", deadlyBlock, calls)) == string(forwarder.Isolated)
	}, waitTimeout, 100*time.Millisecond)
	arrived := deadly.Load()
	for i := range 20 {
		require.Equal(t, string(forwarder.Isolated), d.callWithPrompt("k1", fmt.Sprintf("1,2,%s,8%d", deadlyBlock, i)))
		require.Eventually(t, func() bool { return d.callWithPrompt("k1", fmt.Sprintf("1,2,8%d", i)) == "answer" }, waitTimeout, 10*time.Millisecond)
	}
	require.Equal(t, arrived, deadly.Load(), "a refused call reaches no endpoint")
}

// A request that has no prompt, or a prompt of its own, crashed one endpoint after the other, for as long as it came.
func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	const deadlyBody = "a booking that no service survives"
	isDeadly := func(r *http.Request) bool {
		body, _ := io.ReadAll(r.Body)
		return r.URL.Query().Get("q") == "deadly" && r.Header.Get("Owner") == "masons" && (len(body) == 0 || string(body) == deadlyBody)
	}
	cases := map[string]struct {
		kind   registrar.Kind
		deadly testCall
		sound  []testCall
	}{
		"repeatable, without a body": {registrar.Repeatable, testCall{method: http.MethodGet, target: "/x?q=deadly", key: "k1"}, []testCall{
			{method: http.MethodGet, target: "/x?q=other", key: "k1"}, {method: http.MethodGet, target: "/x?q=deadly", key: "k2"},
		}},
		"at most once, with a body": {registrar.Once, testCall{method: http.MethodPost, target: "/x?q=deadly", key: "k1", body: deadlyBody}, []testCall{
			{method: http.MethodPost, target: "/x?q=deadly", key: "k1", body: "another booking"}, {method: http.MethodPost, target: "/x?q=deadly", key: "k2", body: deadlyBody},
		}},
		"a prompt that other calls share but for its last block": {registrar.Repeatable, testCall{method: http.MethodPost, target: "/x?q=deadly", key: "k1", prompt: "1,2,90", body: deadlyBody}, []testCall{
			{method: http.MethodPost, target: "/x?q=deadly", key: "k1", prompt: "1,2,91", body: "another prompt"}, {method: http.MethodPost, target: "/x?q=other", key: "k1", prompt: "1,2,90", body: deadlyBody},
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			arrived := new(atomic.Int64)
			var listed []coordinator.Endpoint
			for i := range 8 {
				listed = append(listed, newCrashingEndpoint(t, fmt.Sprint("e", i), isDeadly, arrived).listed())
			}
			d.setListed(listed...)
			rules := ruleset(5, "k1")
			rules.Routes[0].Kind = c.kind
			rules.Customers = append(rules.Customers, registrar.Customer{Name: "clerks", Keys: []string{"k2"}})
			d.put(d.keepers[0], rules)
			for _, sound := range c.sound {
				require.Eventually(t, func() bool { return d.send(&sound) == "answer" }, waitTimeout, 10*time.Millisecond)
			}
			require.Eventually(t, func() bool {
				for _, sound := range c.sound {
					d.send(&sound)
				}
				return d.send(&c.deadly) == string(forwarder.Isolated)
			}, waitTimeout, 100*time.Millisecond)
			before := arrived.Load()
			for range 20 {
				require.Equal(t, string(forwarder.Isolated), d.send(&c.deadly))
				for _, sound := range c.sound {
					require.Eventually(t, func() bool { return d.send(&sound) == "answer" }, waitTimeout, 10*time.Millisecond)
				}
			}
			require.Equal(t, before, arrived.Load(), "a refused call reaches no endpoint")
		})
	}
}
