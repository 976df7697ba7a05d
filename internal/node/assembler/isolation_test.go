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
	"hyssoprudder/internal/request/forwarder"
)

// crashTime is how long an endpoint is down after a crash.
const crashTime = 2 * time.Second

// crashingEndpoint ends when it gets a call with the prompt block deadlyBlock, and serves again after crashTime.
type crashingEndpoint struct {
	id      string
	address string
	deadly  *atomic.Int64 // calls with the block, over all endpoints
	done    chan struct{}
	group   sync.WaitGroup

	mu     sync.Mutex
	server *http.Server
}

const deadlyBlock = "1000"

func newCrashingEndpoint(t *testing.T, id string, deadly *atomic.Int64) *crashingEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &crashingEndpoint{id: id, address: l.Addr().String(), deadly: deadly, done: make(chan struct{})}
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
	if strings.Contains(r.Header.Get("Prompt"), deadlyBlock) {
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
		listed = append(listed, newCrashingEndpoint(t, fmt.Sprint("e", i), deadly).listed())
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
