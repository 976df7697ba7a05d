package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/registrar"
)

const (
	// endlessCallers are as many as one entry serves at once when all of its calls take their whole time.
	endlessCallers = 400
	// endlessMemory is half of the memory of the smallest entries of the users, less what bodies of calls may take.
	endlessMemory = 92<<20 - 64<<20
)

// flood is what a faulty endpoint sends on each connection: a start and then far more than is kept, without an end. It
// keeps the connections open until it is released.
type flood struct {
	start    func(id string) string
	repeated []byte
	settled  atomic.Int64 // connections on which nothing more is sent
	released chan struct{}
}

// floodSize is how much is sent on a connection, in bytes.
const floodSize = 2 << 20

func newFlood(start func(id string) string, text func(i int) string) *flood {
	f := &flood{start: start, released: make(chan struct{})}
	for len(f.repeated) < floodSize {
		f.repeated = append(f.repeated, text(len(f.repeated))...)
	}
	return f
}

func (f *flood) answer(c net.Conn, r *http.Request, _ string) bool {
	writeRaw(c, "%s", f.start(r.Header.Get(headerID)))
	_, err := c.Write(f.repeated)
	f.settled.Add(1)
	if err == nil {
		<-f.released
	}
	return false
}

// endlessCaller calls until told to stop.
type endlessCaller struct {
	f     *fixture
	path  string
	group *sync.WaitGroup
	ended *atomic.Int64
}

func (e *endlessCaller) run() {
	defer e.group.Done()
	defer e.ended.Add(1)
	r, err := http.NewRequest(http.MethodPost, e.f.server.URL+e.path, strings.NewReader("body")) //nolint:noctx // ends with the call's time
	if err != nil {
		panic(err)
	}
	r.Header.Set(headerID, "c1")
	r.Header.Set("Key", "k1")
	response, err := callers.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
}

// A faulty endpoint sent bytes without end. The node that had called it kept them all and ran out of memory.
func TestEndlessAnswersTakeBoundedMemory(t *testing.T) {
	head := func(status string) func(string) string {
		return func(id string) string { return "HTTP/1.1 " + status + "\n" + headerOf(id, "\n") }
	}
	const events = "200 OK\nContent-Type: text/event-stream"
	cases := map[string]struct {
		path  string
		start func(id string) string
		text  func(i int) string
	}{
		"status line":     {"/once/1", func(string) string { return "HTTP/1.1 200 " }, func(int) string { return "aaaaaaaaaaaaaaaa" }},
		"one field":       {"/once/1", func(string) string { return "HTTP/1.1 200 OK\nA: " }, func(int) string { return "aaaaaaaaaaaaaaaa" }},
		"many fields":     {"/once/1", func(string) string { return "HTTP/1.1 200 OK\n" }, func(i int) string { return fmt.Sprintf("%x:\r\n", i) }},
		"heads":           {"/once/1", func(string) string { return "" }, func(int) string { return "HTTP/1.1 100 Continue\r\n\r\n" }},
		"no HTTP":         {"/once/1", func(string) string { return "" }, func(int) string { return "\x00\x01\x02" }},
		"body":            {"/once/1", head("200 OK"), func(int) string { return "aaaaaaaaaaaaaaaa" }},
		"failure":         {"/safe/1", head("500 Internal Server Error"), func(int) string { return "aaaaaaaaaaaaaaaa" }},
		"rejection":       {"/once/1", func(id string) string { return "HTTP/1.1 503 Busy\n" + headerOf(id, headerNotRun+": 1\n\n") }, func(int) string { return "aaaa" }},
		"chunk size":      {"/once/1", head("200 OK\nTransfer-Encoding: chunked"), func(int) string { return "0" }},
		"chunk extension": {"/once/1", func(id string) string { return head("200 OK\nTransfer-Encoding: chunked")(id) + "5;a=" }, func(int) string { return "aaaa" }},
		"trailer":         {"/once/1", func(id string) string { return head("200 OK\nTransfer-Encoding: chunked")(id) + "0\nA: " }, func(int) string { return "aaaa" }},
		"stream body":     {"/stream/1", head(events), func(int) string { return "aaaaaaaaaaaaaaaa" }},
		"one event":       {"/stream/1", head(events), func(int) string { return "data: aaaaaaaaaaaa\n" }},
		"comments":        {"/stream/1", head(events), func(int) string { return ": a\n\n" }},
		"stream failure":  {"/resumable/1", head("500 Internal Server Error"), func(int) string { return "aaaaaaaaaaaaaaaa" }},
	}
	silent := memoryOf(t, "/once/1", &flood{start: func(string) string { return "" }, released: make(chan struct{})})
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			most := memoryOf(t, tc.path, newFlood(tc.start, tc.text))
			t.Logf("%.1f MB more than without", float64(most-silent)/(1<<20))
			require.Less(t, most-silent, endlessMemory)
		})
	}
}

// memoryOf returns the memory in use while all callers wait for answers of an endpoint that floods them, in bytes.
func memoryOf(t *testing.T, path string, flood *flood) int {
	t.Helper()
	f := newFixture(t, newEndpoint(t, flood.answer))
	f.endpoints[0].Slots = 2 * endlessCallers
	f.placer.SetEndpoints(f.endpoints)
	f.maxWait = time.Minute
	f.setRules(func(r *registrar.Ruleset) {
		r.Customers[0].Rate = 0
		for i := range r.Routes {
			r.Routes[i].Timeout, r.Routes[i].Objective = time.Minute, time.Minute
		}
	})
	var group sync.WaitGroup
	var ended atomic.Int64
	for range endlessCallers {
		group.Add(1)
		go (&endlessCaller{f: f, path: path, group: &group, ended: &ended}).run()
	}
	require.Eventually(t, func() bool { return flood.settled.Load()+ended.Load() >= endlessCallers }, time.Minute, 5*time.Millisecond)
	require.Positive(t, flood.settled.Load())
	live, before := liveHeap(), 0
	for live-before > 1<<20 || before-live > 1<<20 { // what was sent is still being read
		time.Sleep(100 * time.Millisecond)
		live, before = liveHeap(), live
	}
	close(flood.released)
	group.Wait()
	return live
}

// liveHeap returns the memory that is in use after a garbage collection, in bytes.
func liveHeap() int {
	runtime.GC()
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(live)
	return int(live[0].Value.Uint64())
}
