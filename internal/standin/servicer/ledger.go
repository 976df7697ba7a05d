package servicer

import (
	"net/http"
	"sync"
	"time"

	"hyssoprudder/internal/standin/hoster"
)

// Call is one call that the service ran.
type Call struct {
	Key      string    `json:"key"`
	Request  string    `json:"request"`
	Instance string    `json:"instance"`
	Version  string    `json:"version"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	Hash     string    `json:"hash"` // xxhash of the body in hexadecimal
	Body     string    `json:"body"` // of the answer
	At       time.Time `json:"at"`
}

// Ledger is the record that the instances of one service share. It is safe for
// concurrent use.
type Ledger struct {
	mu      sync.Mutex
	calls   []Call
	byKey   map[string]int // index in calls
	running map[string]*progress
	sealed  map[string]bool
}

type progress struct {
	count int
	done  chan struct{}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{byKey: make(map[string]int), running: make(map[string]*progress), sealed: make(map[string]bool)}
}

// Calls returns the calls that ran, in the order in which they ended.
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
	p, ok := l.running[key]
	if !ok {
		p = &progress{done: make(chan struct{})}
		l.running[key] = p
	}
	p.count++
	return nil
}

func (l *Ledger) abort(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leave(key)
}

func (l *Ledger) end(call Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ran := l.byKey[call.Key]; !ran {
		l.byKey[call.Key] = len(l.calls)
	}
	l.calls = append(l.calls, call)
	l.leave(call.Key)
}

func (l *Ledger) leave(key string) {
	p := l.running[key]
	p.count--
	if p.count == 0 {
		close(p.done)
		delete(l.running, key)
	}
}

// serveStatus tells whether the call with the key has run. It waits for a call
// that runs, and seals a key that has not run.
func (l *Ledger) serveStatus(w http.ResponseWriter, r *http.Request, key string) {
	for {
		l.mu.Lock()
		at, ran := l.byKey[key]
		p, runs := l.running[key]
		var call Call
		switch {
		case ran:
			call = l.calls[at]
		case !runs && key != "":
			l.sealed[key] = true
		}
		l.mu.Unlock()
		if ran {
			hoster.Reply(w, http.StatusOK, Status{Key: key, State: "done", Status: http.StatusCreated, Body: call.Body})
			return
		}
		if !runs {
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

// Status is the answer of the status path for a call that has run.
type Status struct {
	Key    string `json:"key"`
	State  string `json:"state"`
	Status int    `json:"status"`
	Body   string `json:"body"`
}
