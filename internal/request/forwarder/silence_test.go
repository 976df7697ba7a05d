package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/placer"
)

// silence is longer than the time after which another endpoint would be tried, and far
// shorter than patience, the time of the caller.
const (
	silence  = 1700 * time.Millisecond
	patience = 3 * time.Second
)

// allowPatience gives callers and routes so much time that a loaded machine does not use it up.
func (f *fixture) allowPatience() {
	f.maxWait = patience
	r := rules()
	for i := range r.Routes {
		r.Routes[i].Timeout = patience
	}
	f.forwarder.SetTable(registrar.NewTable(r))
}

// maxRepeats is how many repeats the budget of the fixture allows.
const maxRepeats = 700

// silent is where a stand-in endpoint pauses.
type silent string

const (
	beforeHead       silent = "before the head"
	withinBody       silent = "within the body"
	beforeFirstEvent silent = "before the first event"
	betweenEvents    silent = "between events"
	withinEvent      silent = "within an event"
)

// pauseOnce returns a function that pauses once, and gives a complete answer.
func pauseOnce(at silent) answerFunc {
	return func(c net.Conn, r *http.Request, _ string) bool {
		pause := func(here silent) {
			if here == at {
				time.Sleep(silence)
			}
		}
		pause(beforeHead)
		if at == withinBody {
			writeRaw(c, "HTTP/1.1 200 X\n%sContent-Length: 2\n\no", headerOf(r.Header.Get(headerID), ""))
			pause(withinBody)
			writeRaw(c, "k")
			return true
		}
		if r.URL.Path == "/safe/1" || r.URL.Path == "/once/1" {
			return answerWith(http.StatusOK, "ok")(c, r, "")
		}
		writeRaw(c, "HTTP/1.1 200 X\n%sTransfer-Encoding: chunked\n\n", headerOf(r.Header.Get(headerID), ""))
		pause(beforeFirstEvent)
		writeChunk(c, eventText(1, 2))
		pause(betweenEvents)
		writeChunk(c, "id: 3\nda")
		pause(withinEvent)
		writeChunk(c, "ta: piece 3\n\n")
		writeChunk(c, eventText(4, 5))
		writeRaw(c, "0\n\n")
		return true
	}
}

// A sound endpoint that is silent for a while and goes on must not lose its answer: an
// attempt may be given up early only if another endpoint takes the call.
func TestSilentEndpointAnswersIfNoOtherTakesTheCall(t *testing.T) {
	const spare = "1"
	situations := map[string]func(t *testing.T, f *fixture){
		"only endpoint": func(_ *testing.T, f *fixture) { f.placer.SetEndpoints(f.endpoints[:1]) },
		"retry budget spent": func(_ *testing.T, f *fixture) {
			f.forwarder.SetEntries(1, time.Now())
			for f.budget.AllowRepeat("desk", time.Now()) {
			}
		},
		"other endpoint ejected": func(t *testing.T, f *fixture) {
			for range 8 {
				f.placer.End(f.choose(t, spare), placer.Unreached, time.Now().Add(10*time.Second))
			}
		},
		"other endpoint full": func(t *testing.T, f *fixture) {
			for range 7 {
				f.choose(t, spare)
			}
		},
		"other endpoint unreachable": func(_ *testing.T, f *fixture) {
			// The port of a closed listener might be taken by an endpoint of another test.
			f.endpoints[1].Address = netip.MustParseAddrPort("127.0.0.1:1")
			f.placer.SetEndpoints(f.endpoints)
		},
		"other endpoint of an unwanted version": func(_ *testing.T, f *fixture) {
			f.endpoints[1].Version = "2"
			f.placer.SetEndpoints(f.endpoints)
			f.version = forwarder.Version{Unwanted: []string{"2"}}
		},
		"rules not confirmed meanwhile": nil,
		"prompt isolated meanwhile":     nil,
	}
	meanwhile := map[string]func(f *fixture){
		"rules not confirmed meanwhile": func(f *fixture) { f.locked(func() { f.confirmed = false }) },
		"prompt isolated meanwhile":     func(f *fixture) { f.isIsolated.Store(true) },
	}
	routes := map[string][]silent{
		"/safe/1":      {beforeHead, withinBody},
		"/once/1":      {beforeHead, withinBody},
		"/stream/1":    {beforeHead, beforeFirstEvent, betweenEvents, withinEvent},
		"/resumable/1": {beforeHead, beforeFirstEvent, betweenEvents, withinEvent},
	}
	for situation, prepare := range situations {
		for path, places := range routes {
			for _, at := range places {
				t.Run(fmt.Sprintf("%s %s %s", situation, path, at), func(t *testing.T) {
					t.Parallel()
					first := newEndpoint(t, pauseOnce(at))
					other := newEndpoint(t, answerWith(http.StatusInternalServerError, "other"))
					f := newFixture(t, first, other)
					f.allowPatience()
					f.preferFirst()
					if prepare != nil {
						prepare(t, f)
					}
					got := make(chan reply, 1)
					caller := &pathCaller{t, f, path, got}
					go caller.run()
					if change := meanwhile[situation]; change != nil {
						require.Eventually(t, func() bool { return len(first.requests()) == 1 }, 10*time.Second, time.Millisecond)
						change(f)
					}
					answered := <-got
					require.NoError(t, answered.err)
					require.Empty(t, answered.refusal)
					require.Equal(t, http.StatusOK, answered.status)
					want := "ok"
					if path == "/stream/1" || path == "/resumable/1" {
						want = eventText(1, 5)
					}
					require.Equal(t, want, answered.body)
					require.Len(t, first.requests(), 1)
					require.Empty(t, other.requests())
					require.Eventually(t, func() bool { return f.placer.Loads()[0] == placer.Load{} }, 10*time.Second, time.Millisecond)
				})
			}
		}
	}
}

// An endpoint that stays silent must still be given up, once, as soon as another one takes
// the call: at once, or when one becomes available later. Its connection is closed before
// the call is sent again, so that it stops to work on the call.
func TestSilentEndpointIsReplacedOnceAnotherTakesTheCall(t *testing.T) {
	hangAfter := func(head string, closed chan<- struct{}) answerFunc {
		return func(c net.Conn, r *http.Request, body string) bool {
			defer close(closed)
			writeRaw(c, "%s", strings.ReplaceAll(head, "{id}", headerOf(r.Header.Get(headerID), "")))
			return neverAnswer(c, r, body)
		}
	}
	const event = "id: 1\ndata: piece 1\n\n"
	hangs := map[string]struct{ path, head, body string }{
		"no head":              {"/safe/1", "", "ok"},
		"no body":              {"/safe/1", "HTTP/1.1 200 X\n{id}Content-Length: 2\n\n", "ok"},
		"no head, resumable":   {"/resumable/1", "", eventText(1, 5)},
		"no event":             {"/resumable/1", "HTTP/1.1 200 X\n{id}\n", eventText(1, 5)},
		"no second event":      {"/resumable/1", "HTTP/1.1 200 X\n{id}\n" + event, strings.ReplaceAll(event, "\n", "\r\n") + eventText(2, 5)},
		"event that stays cut": {"/resumable/1", "HTTP/1.1 200 X\n{id}\n" + event + "id: 2\nda", strings.ReplaceAll(event, "\n", "\r\n") + eventText(2, 5)},
	}
	for situation, isLater := range map[string]bool{"available at once": false, "available later": true} {
		for name, tc := range hangs {
			t.Run(situation+" "+name, func(t *testing.T) {
				t.Parallel()
				second := answerWith(http.StatusOK, "ok")
				if tc.path == "/resumable/1" {
					second = answerEvents(5, 5)
				}
				closed := make(chan struct{})
				afterClose := func(c net.Conn, r *http.Request, body string) bool {
					<-closed
					return second(c, r, body)
				}
				first, other := newEndpoint(t, hangAfter(tc.head, closed)), newEndpoint(t, afterClose)
				f := newFixture(t, first, other)
				f.allowPatience()
				f.preferFirst()
				if isLater {
					var held []*placer.Choice
					for range 7 {
						held = append(held, f.choose(t, "1"))
					}
					free := time.AfterFunc(silence, func() {
						for _, choice := range held {
							f.placer.End(choice, placer.Abandoned, time.Now())
						}
					})
					defer free.Stop()
				}
				got := f.call(t, tc.path, "k1", "body")
				require.NoError(t, got.err)
				require.Empty(t, got.refusal)
				require.Equal(t, tc.body, got.body)
				require.Len(t, first.requests(), 1)
				require.Len(t, other.requests(), 1)
				repeats := 0
				for f.budget.AllowRepeat("desk", time.Now()) {
					repeats++
				}
				require.Equal(t, maxRepeats-1, repeats, "the budget is charged once")
				require.Eventually(t, func() bool { return len(f.placer.Loads()) == 0 }, 10*time.Second, time.Millisecond)
			})
		}
	}
}

// If the confirmation of the rules lapses just after an endpoint was given up, the call must
// wait for it and go on at the next endpoint, since the first one no longer answers.
func TestConfirmationLapsesAfterEndpointWasGivenUp(t *testing.T) {
	for name, tc := range map[string]struct {
		path string
		at   silent
	}{"plain": {"/safe/1", beforeHead}, "stream": {"/resumable/1", betweenEvents}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			second := answerWith(http.StatusOK, "ok")
			if tc.path == "/resumable/1" {
				second = answerEvents(5, 5)
			}
			first, other := newEndpoint(t, pauseOnce(tc.at)), newEndpoint(t, second)
			f := newFixture(t, first, other)
			f.allowPatience()
			f.preferFirst()
			f.lapseAfter = 5 // admission, the first attempt, two checks for the next one, the next attempt
			got := make(chan reply, 1)
			caller := &pathCaller{t, f, tc.path, got}
			go caller.run()
			require.Eventually(t, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return !f.confirmed
			}, 10*time.Second, time.Millisecond)
			require.Empty(t, other.requests())
			f.locked(func() { f.confirmed = true })
			f.notifyChange()
			answered := <-got
			require.NoError(t, answered.err)
			require.Empty(t, answered.refusal)
			require.Equal(t, http.StatusOK, answered.status)
			require.Len(t, first.requests(), 1)
			require.Len(t, other.requests(), 1)
		})
	}
}

// A caller that disconnects while another endpoint is sought must leave no call behind in
// the placer, and no connection in use.
func TestCallerDisconnectsWhileEndpointIsSilent(t *testing.T) {
	for name, path := range map[string]string{"plain": "/safe/1", "stream": "/resumable/1"} {
		for _, after := range []time.Duration{299, 300, 301, 350, 400, 401} {
			t.Run(fmt.Sprintf("%s %dms", name, after), func(t *testing.T) {
				t.Parallel()
				received := make(chan struct{}, 8)
				silentAfterSignal := func(c net.Conn, r *http.Request, body string) bool {
					received <- struct{}{}
					return neverAnswer(c, r, body)
				}
				f := newFixture(t, newEndpoint(t, silentAfterSignal), newEndpoint(t, silentAfterSignal))
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go func() {
					<-received
					time.Sleep(after * time.Millisecond)
					cancel()
				}()
				r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.server.URL+path, nil)
				require.NoError(t, err)
				r.Header.Set(headerID, "c1")
				r.Header.Set("Key", "k1")
				response, err := callers.Do(r)
				if err == nil {
					response.Body.Close()
				}
				require.Error(t, err)
				require.Eventually(t, func() bool {
					f.mu.Lock()
					defer f.mu.Unlock()
					return len(f.results) == 1 && len(f.placer.Loads()) == 0
				}, 10*time.Second, time.Millisecond)
			})
		}
	}
}

type pathCaller struct {
	t       *testing.T
	fixture *fixture
	path    string
	got     chan reply
}

func (w *pathCaller) run() { w.got <- w.fixture.call(w.t, w.path, "k1", "body") }

// preferFirst has the first endpoint chosen for a call while both are idle.
func (f *fixture) preferFirst() {
	f.endpoints[1].Domain = "remote"
	f.placer.SetEndpoints(f.endpoints)
}

// choose records a call at the endpoint.
func (f *fixture) choose(t *testing.T, id string) *placer.Choice {
	t.Helper()
	var exclude []string
	for _, e := range f.endpoints {
		if e.ID != id {
			exclude = append(exclude, e.ID)
		}
	}
	choice, refused, _ := f.placer.Place(&placer.Request{Service: "desk", Exclude: exclude, MaxFirst: time.Second, MaxQueueTime: time.Second, Now: time.Now().Add(time.Hour)})
	require.NotNil(t, choice, refused)
	return choice
}
