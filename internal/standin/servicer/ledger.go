package servicer

import (
	"net/http"
	"sync"
	"time"

	"hyssoprudder/internal/standin/hoster"
)

// Call is one call that the service executed.
type Call struct {
	Key      string    `json:"key"`
	Request  string    `json:"request"`
	Instance string    `json:"instance"`
	Version  string    `json:"version"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	Hash     string    `json:"hash"` // hexadecimal xxhash of the request body
	Body     string    `json:"body"` // response body
	At       time.Time `json:"at"`   // start of the execution
}

// Ledger records the executed calls of a service. It is shared by the instances
// of the service and safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	calls    []Call
	byKey    map[string]int // index in calls
	inFlight map[string]*keyCalls
	sealed   map[string]bool // keys reported as not run, which must not run any more
}

// keyCalls counts the calls in flight with one key.
type keyCalls struct {
	count int
	done  chan struct{} // closed when the last of them ends
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{byKey: make(map[string]int), inFlight: make(map[string]*keyCalls), sealed: make(map[string]bool)}
}

// Calls returns the executed calls in the order in which they ended.
func (l *Ledger) Calls() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Call{}, l.calls...)
}

// Serve answers GET /record.
func (l *Ledger) Serve(w http.ResponseWriter, _ *http.Request) {
	hoster.Reply(w, http.StatusOK, Record{Calls: l.Calls()})
}

// Record is the answer to GET /record.
type Record struct {
	Calls []Call `json:"calls"`
}

func (l *Ledger) begin(key string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sealed[key] {
		return errSealed
	}
	p, ok := l.inFlight[key]
	if !ok {
		p = &keyCalls{done: make(chan struct{})}
		l.inFlight[key] = p
	}
	p.count++
	return nil
}

func (l *Ledger) abort(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endCall(key)
}

func (l *Ledger) end(call Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ran := l.byKey[call.Key]; !ran {
		l.byKey[call.Key] = len(l.calls)
	}
	l.calls = append(l.calls, call)
	l.endCall(call.Key)
}

func (l *Ledger) endCall(key string) {
	p := l.inFlight[key]
	p.count--
	if p.count == 0 {
		close(p.done)
		delete(l.inFlight, key)
	}
}

// serveStatus answers whether a call with the key has run. It waits for calls in
// flight with the key. If none has run, it seals the key, so that the answer stays
// true.
func (l *Ledger) serveStatus(w http.ResponseWriter, r *http.Request, key string) {
	for {
		l.mu.Lock()
		index, ran := l.byKey[key]
		p, active := l.inFlight[key]
		var call Call
		switch {
		case ran:
			call = l.calls[index]
		case !active && key != "":
			l.sealed[key] = true
		}
		l.mu.Unlock()
		if ran {
			hoster.Reply(w, http.StatusOK, Status{Key: key, State: "done", Status: http.StatusCreated, Body: call.Body})
			return
		}
		if !active {
			http.NotFound(w, r)
			return
		}
		select {
		case <-p.done:
		case <-r.Context().Done():
			return
		}
	}
}

// Status is the answer on the status path for a call that has run.
type Status struct {
	Key    string `json:"key"`
	State  string `json:"state"`
	Status int    `json:"status"`
	Body   string `json:"body"`
}
