package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/placer"
)

// answerHead returns a function that sends an answer with a status and further header
// fields, and an empty body.
func answerHead(status int, more string) answerFunc {
	return func(c net.Conn, r *http.Request, _ string) bool {
		writeRaw(c, "HTTP/1.1 %d X\n%sContent-Length: 0\n\n", status, headerOf(r.Header.Get(headerID), more))
		return true
	}
}

// answerPause returns a function that rejects a call and asks for a pause.
func answerPause(d time.Duration) answerFunc {
	return answerHead(503, headerNotRun+": 1\n"+headerPause+": "+d.String()+"\n")
}

const leaving = headerLeaving + ": 1\n"

// newPair returns a fixture with two endpoints that lists only the first one at first.
// Calls prefer the first one, since the other one is in another failure domain.
func newPair(t *testing.T, a, b *endpoint) *fixture {
	t.Helper()
	f := newFixture(t, a, b)
	f.endpoints[1].Domain = "far"
	f.placer.SetEndpoints(f.endpoints[:1])
	return f
}

// An endpoint that said in any answer that it leaves got further calls until the list
// showed it as leaving. The list here never does.
func TestLeavingEndpointGetsNoNewCalls(t *testing.T) {
	cases := map[string]struct {
		path   string
		answer answerFunc
	}{
		"success":                    {"/safe/1", answerHead(200, leaving)},
		"failure":                    {"/once/1", answerHead(500, leaving)},
		"client error":               {"/once/1", answerHead(404, leaving)},
		"rejection":                  {"/safe/1", answerHead(503, leaving+headerNotRun+": 1\n")},
		"misdirected":                {"/safe/1", answerHead(421, leaving+headerNotRun+": 1\n")},
		"head of a stream":           {"/stream/1", answerRaw("HTTP/1.1 200 X\n{id}" + leaving + "\nid: 1\ndata: 1\n\n")},
		"stream that breaks off":     {"/stream/1", answerRaw("HTTP/1.1 200 X\n{id}" + leaving + "\nid: 1\nda")},
		"answer that breaks off":     {"/once/1", answerRaw("HTTP/1.1 200 X\n{id}" + leaving + "Content-Length: 9\n\nhalf")},
		"answer to another call":     {"/once/1", answerRaw("HTTP/1.1 200 X\nCall: other\n" + leaving + "Content-Length: 0\n\n")},
		"answer without a seal":      {"/once/1", answerRaw("HTTP/1.1 200 X\nCall: c1\n" + leaving + "Content-Length: 0\n\n")},
		"answer that comes too late": {"/once/1", answerLate(leaving)},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newEndpoint(t, tc.answer, answerWith(200, "a")), newEndpoint(t, answerWith(200, "b"))
			f := newPair(t, a, b)
			f.call(t, tc.path, "k1", "body")
			require.Len(t, a.requests(), 1)
			for range 20 {
				f.placer.SetEndpoints(f.endpoints) // the list shows both as serving
				require.Equal(t, "b", f.call(t, "/open/1", "", "").body)
			}
			f.boot.Advance(drain)
			f.placer.SetEndpoints(f.endpoints[:1])
			for range 20 { // for longer than an endpoint that failed is ejected
				require.Equal(t, string(forwarder.Busy), f.call(t, "/open/1", "", "").refusal)
				time.Sleep(25 * time.Millisecond)
			}
			require.Len(t, a.requests(), 1, "no call is sent to the leaving endpoint")
		})
	}
}

// answerRaw returns a function that sends bytes and closes the connection.
func answerRaw(text string) answerFunc {
	return func(c net.Conn, r *http.Request, _ string) bool {
		writeRaw(c, "%s", strings.ReplaceAll(text, "{id}", headerOf(r.Header.Get(headerID), "")))
		return false
	}
}

// answerLate returns a function that sends the head at once and no body, so that the
// caller's time passes.
func answerLate(more string) answerFunc {
	return func(c net.Conn, r *http.Request, body string) bool {
		writeRaw(c, "HTTP/1.1 200 X\n%sContent-Length: 9\n\n", headerOf(r.Header.Get(headerID), more))
		return neverAnswer(c, r, body)
	}
}

// The mark of a caller that left counts too: the head of its answer had arrived.
func TestLeavingIsLearntFromTheAnswerOfACallerThatLeft(t *testing.T) {
	a, b := newEndpoint(t, answerLate(leaving), answerWith(200, "a")), newEndpoint(t, answerWith(200, "b"))
	f := newPair(t, a, b)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.server.URL+"/open/1", nil)
	require.NoError(t, err)
	r.Header.Set(headerID, "c1")
	done := make(chan error, 1)
	go (&disconnectingCaller{request: r, done: done}).run()
	require.Eventually(t, func() bool { return f.placer.IsLeaving("0") }, 10*time.Second, time.Millisecond)
	cancel()
	require.Error(t, <-done)
	f.placer.SetEndpoints(f.endpoints)
	for range 20 {
		require.Equal(t, "b", f.call(t, "/open/1", "", "").body)
	}
	require.Len(t, a.requests(), 1)
}

// A stream that began before the endpoint said that it leaves goes on to its end, while
// idle connections there are closed.
func TestStreamGoesOnAtLeavingEndpoint(t *testing.T) {
	goOn := make(chan struct{})
	a := newEndpoint(t, func(c net.Conn, r *http.Request, body string) bool {
		if r.URL.Path != "/stream/1" {
			return answerHead(200, leaving)(c, r, body)
		}
		writeRaw(c, "HTTP/1.1 200 X\n%sTransfer-Encoding: chunked\n\n", headerOf(r.Header.Get(headerID), ""))
		writeChunk(c, eventText(1, 1))
		<-goOn
		writeChunk(c, eventText(2, 2))
		writeRaw(c, "0\n\n")
		return true
	})
	f := newFixture(t, a)
	c := &caller{f: f, path: "/stream/1", key: "k1", done: make(chan reply, 1)}
	go c.run(t)
	require.Eventually(t, func() bool { return len(a.requests()) == 1 }, 10*time.Second, time.Millisecond)
	f.call(t, "/open/1", "", "")
	require.True(t, f.placer.IsLeaving("0"))
	f.pool.Sweep(f.placer.IsWanted)
	opened := f.pool.Opened()
	close(goOn)
	got := <-c.done
	require.NoError(t, got.err)
	require.Equal(t, eventText(1, 2), got.body)
	f.pool.Sweep(f.placer.IsWanted)
	f.call(t, "/open/1", "", "")
	require.Equal(t, opened+1, f.pool.Opened(), "no idle connection was kept")
}

// caller makes one call in its own goroutine.
type caller struct {
	f         *fixture
	path, key string
	done      chan reply
}

func (c *caller) run(t *testing.T) { c.done <- c.f.call(t, c.path, c.key, "") }

// An endpoint that starts again under the same ID, or another one at the address of one
// that left, is not taken for the one that left.
func TestLeavingMarkEndsWithTheEndpoint(t *testing.T) {
	a, b := newEndpoint(t, answerHead(200, leaving), answerWith(200, "next")), newEndpoint(t, answerWith(200, "reborn"))
	f := newPair(t, a, b)
	f.call(t, "/open/1", "", "")

	reborn := f.endpoints[0]
	reborn.Address = f.endpoints[1].Address
	f.placer.SetEndpoints([]placer.Endpoint{reborn})
	require.Equal(t, "reborn", f.call(t, "/open/1", "", "").body, "the same ID at another address")

	next := f.endpoints[0]
	next.ID = "next"
	f.placer.SetEndpoints([]placer.Endpoint{next})
	require.Equal(t, "next", f.call(t, "/open/1", "", "").body, "another ID at the same address")

	f.boot.Advance(drain)
	f.placer.SetEndpoints(nil)
	f.placer.Expire(f.boot.Now())
	f.placer.SetEndpoints(f.endpoints[:1])
	require.Equal(t, string(forwarder.Busy), f.call(t, "/open/1", "", "").refusal, "missing from the list for a while")
}

// A leaving endpoint that is the last of its service still serves for a part of the time
// to drain. Afterwards calls are refused at once.
func TestLastEndpointServesWhileItDrains(t *testing.T) {
	a := newEndpoint(t, answerHead(200, leaving), answerHead(200, leaving), answerWith(200, "flipped"))
	f := newFixture(t, a)
	for range 3 {
		require.Equal(t, 200, f.call(t, "/open/1", "", "").status)
	}
	f.boot.Advance(drain)
	for range 3 {
		require.Equal(t, string(forwarder.Busy), f.call(t, "/open/1", "", "").refusal)
	}
	require.Len(t, a.requests(), 3)
}

// A node that was frozen after it had chosen an endpoint sent the call when it woke up,
// although the endpoint had said that it leaves.
func TestWokenNodeSendsNothingToLeavingEndpoint(t *testing.T) {
	a := newEndpoint(t, answerHead(200, leaving))
	f := newFixture(t, a)
	f.call(t, "/open/1", "", "")
	f.locked(func() { f.placing = func() { f.locked(func() { f.sending = func() { f.boot.Advance(drain) } }) } })
	require.Equal(t, string(forwarder.Busy), f.call(t, "/open/1", "", "").refusal)
	require.Len(t, a.requests(), 1)
}

// A call that an endpoint rejects with a pause is served elsewhere. The endpoint gets
// nothing until the pause is over, whatever shorter pauses it asks for meanwhile.
func TestPausedEndpointGetsNothing(t *testing.T) {
	shorter := make(chan struct{})
	a := newEndpoint(t,
		func(c net.Conn, r *http.Request, body string) bool {
			<-shorter
			return answerPause(time.Second)(c, r, body)
		}, answerPause(time.Minute), answerWith(200, "a"))
	b := newEndpoint(t, answerWith(200, "b"))
	f := newPair(t, a, b)
	early := &caller{f: f, path: "/open/1", done: make(chan reply, 1)}
	go early.run(t)
	require.Eventually(t, func() bool { return len(a.requests()) == 1 }, 10*time.Second, time.Millisecond)
	require.Equal(t, string(forwarder.Busy), f.call(t, "/open/1", "", "").refusal)
	f.placer.SetEndpoints(f.endpoints)
	close(shorter)
	require.Equal(t, "b", (<-early.done).body, "the rejected call is served elsewhere")
	for range 59 {
		require.Equal(t, "b", f.call(t, "/open/1", "", "").body)
		f.boot.Advance(time.Second)
		f.placer.SetEndpoints(f.endpoints)
		time.Sleep(5 * time.Millisecond) // an endpoint that rejected a call is ejected for less
	}
	require.Len(t, a.requests(), 2)
	f.boot.Advance(4 * time.Second)
	f.placer.SetEndpoints(f.endpoints[:1])
	require.Eventually(t, func() bool { return f.call(t, "/open/1", "", "").body == "a" }, 10*time.Second, time.Millisecond)
}

// With all endpoints paused a call is refused at once, with a retry delay that is not
// shorter than the pause and differs between callers.
func TestAllEndpointsPaused(t *testing.T) {
	a, b := newEndpoint(t, answerPause(20*time.Second)), newEndpoint(t, answerPause(10*time.Second))
	f := newFixture(t, a, b)
	require.Equal(t, string(forwarder.Busy), f.call(t, "/open/1", "", "").refusal)
	f.boot.Advance(time.Second)
	delays := make(map[time.Duration]bool)
	for range 20 {
		got := f.call(t, "/open/1", "", "")
		require.Equal(t, string(forwarder.Busy), got.refusal)
		require.GreaterOrEqual(t, got.after, 9*time.Second)
		require.Less(t, got.after, 15*time.Second)
		delays[got.after] = true
	}
	require.Greater(t, len(delays), 15, "the callers are spread")
	require.Len(t, append(a.requests(), b.requests()...), 2)
}

// An endpoint whose pause is far too long is not used again, but an endpoint that is
// started in its place is, and callers are told to come back soon enough for that.
func TestEndlessPause(t *testing.T) {
	a, b := newEndpoint(t, answerPause(100*365*24*time.Hour)), newEndpoint(t, answerWith(200, "b"))
	f := newPair(t, a, b)
	got := f.call(t, "/open/1", "", "")
	require.Equal(t, string(forwarder.Busy), got.refusal)
	require.Less(t, got.after, time.Minute)
	f.boot.Advance(365 * 24 * time.Hour)
	time.Sleep(200 * time.Millisecond) // an endpoint that rejected a call is ejected for less
	require.Equal(t, string(forwarder.Busy), f.call(t, "/open/1", "", "").refusal)
	f.placer.SetEndpoints(f.endpoints)
	require.Equal(t, "b", f.call(t, "/open/1", "", "").body)
	require.Len(t, a.requests(), 1)
}

// Calls that were chosen for an endpoint before it asked for a pause, and were not sent
// yet, were sent in the pause.
func TestCallsChosenBeforeAPauseAreNotSent(t *testing.T) {
	const calls = 200
	a := newEndpoint(t, answerWith(200, "a"))
	f := newFixture(t, a)
	f.endpoints[0].Slots = 2 * calls
	f.placer.SetEndpoints(f.endpoints)
	var placing, sending sync.WaitGroup
	placing.Add(calls)
	sending.Add(calls)
	paused := make(chan struct{})
	var first atomic.Int64
	f.locked(func() {
		f.placing = func() {
			if first.Add(1) > calls {
				return // another choice of a call that was not sent
			}
			placing.Done()
			placing.Wait()
			f.locked(func() {
				f.sending = func() {
					sending.Done()
					<-paused
				}
			})
		}
	})
	done := make(chan reply, calls)
	for i := range calls {
		go (&caller{f: f, path: "/open/" + strconv.Itoa(i), done: done}).run(t)
	}
	sending.Wait() // all calls have chosen the endpoint and have a connection
	f.placer.Pause(&f.endpoints[0], time.Minute, f.boot.Now())
	close(paused)
	for range calls {
		require.Equal(t, string(forwarder.Busy), (<-done).refusal)
	}
	require.Empty(t, a.requests())
}

// 200 calls at the moment at which an endpoint asks for a pause, and 200 more while it
// lasts: at most two reach it later than half a second after its first answer.
func TestBurstAtAPause(t *testing.T) {
	const calls = 200
	var rejected atomic.Int64 // time of the first rejection
	var late atomic.Int64
	a := newEndpoint(t, func(c net.Conn, r *http.Request, body string) bool {
		now := time.Now().UnixNano()
		if at := rejected.Load(); at > 0 && now-at > int64(500*time.Millisecond) {
			late.Add(1)
		}
		ok := answerPause(time.Minute)(c, r, body)
		rejected.CompareAndSwap(0, time.Now().UnixNano())
		return ok
	})
	b := newEndpoint(t, answerWith(200, "b"))
	f := newPair(t, a, b)
	for i := range f.endpoints {
		f.endpoints[i].Slots = 4 * calls
	}
	f.placer.SetEndpoints(f.endpoints)
	for range 2 {
		done := make(chan reply, calls)
		for i := range calls {
			go (&caller{f: f, path: "/open/" + strconv.Itoa(i), done: done}).run(t)
		}
		for range calls {
			require.NoError(t, (<-done).err)
		}
		time.Sleep(600 * time.Millisecond)
	}
	require.NotEmpty(t, a.requests())
	require.LessOrEqual(t, late.Load(), int64(2))
}
