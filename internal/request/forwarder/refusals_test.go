package forwarder_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
)

// repetition is how an endpoint writes a refusal once more.
type repetition struct {
	isUnnamed bool          // without an ID
	together  bool          // right behind the refusal
	pause     time.Duration // after a pause, in which the connection is idle
	onNext    bool          // when the next call has arrived
}

// repeatingEndpoint refuses the first call on each connection, and writes a refusal once more
// later. It runs all other calls.
type repeatingEndpoint struct {
	repetition

	mu      sync.Mutex
	refused map[net.Conn]string // ID of the refused call
	ran     map[string]int      // by ID
}

func (e *repeatingEndpoint) answer(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get(headerID)
	e.mu.Lock()
	first, isKept := e.refused[c]
	if !isKept {
		e.refused[c] = id
	} else {
		e.ran[id]++
	}
	e.mu.Unlock()
	if isKept {
		if e.onNext {
			e.writeCopy(c, first)
		}
		return answerWith(200, "ran")(c, r, body)
	}
	answerNotRun(c, r, body)
	if e.together || e.pause > 0 {
		time.Sleep(e.pause)
		e.writeCopy(c, id)
	}
	return true
}

func (e *repeatingEndpoint) writeCopy(c net.Conn, id string) {
	header := headerID + ": " + id + "\n"
	if e.isUnnamed {
		header = ""
	}
	writeRaw(c, "HTTP/1.1 503 X\n%s%s: 1\nContent-Length: 0\n\n", header, headerNotRun)
}

// Guards against an earlier refusal, written once more on a kept connection, that answers the
// next call: the caller would be told that the call did not run, or it would run twice.
func TestEarlierRefusalAnswersNoOtherCall(t *testing.T) {
	cases := map[string]struct {
		repetition
		second string // ID of the second call
	}{
		"with the refusal":         {repetition{together: true}, "c2"},
		"while idle":               {repetition{pause: 5 * time.Millisecond}, "c2"},
		"for the next call":        {repetition{onNext: true}, "c2"},
		"for the next, without ID": {repetition{onNext: true, isUnnamed: true}, "c2"},
		"for the same call":        {repetition{onNext: true}, "c1"},
	}
	for name, tc := range cases {
		for endpoints := 1; endpoints <= 2; endpoints++ {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				var all []*repeatingEndpoint
				var listeners []*endpoint
				for range endpoints {
					e := &repeatingEndpoint{repetition: tc.repetition, refused: make(map[net.Conn]string), ran: make(map[string]int)}
					all, listeners = append(all, e), append(listeners, newEndpoint(t, e.answer))
				}
				f := newFixture(t, listeners...)
				require.Equal(t, string(forwarder.Busy), f.callAs(t, "c1", "/once/1", "k1", "body").refusal)
				// Otherwise the endpoints would get no call for a while after a refusal.
				f.placer.SetEndpoints(nil)
				f.placer.SetEndpoints(f.endpoints)
				got := f.callAs(t, tc.second, "/once/1", "k1", "body")
				ran := 0
				for _, e := range all {
					e.mu.Lock()
					ran += e.ran[tc.second]
					e.mu.Unlock()
				}
				require.LessOrEqual(t, ran, 1, "the call ran twice")
				if got.refusal == string(forwarder.Busy) {
					require.Zero(t, ran, "the caller was told that the call did not run")
				}
			})
		}
	}
}
