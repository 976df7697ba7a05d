package engine

import (
	"net/http"
	"time"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/hoster"
)

// The states of an order.
const (
	stateReady   = "ready"
	stateLoading = "loading"
	stateFailed  = "failed"
)

// Fence is a fencing number: the term of a leader and a count within it.
type Fence struct {
	Term  uint64 `json:"term"`
	Count uint64 `json:"count"`
}

// Order is the full desired state of an engine.
type Order struct {
	Intent  string `json:"intent"`
	Fence   Fence  `json:"fence"`
	Service string `json:"service"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// orderState is an order with what became of it.
type orderState struct {
	Order
	State   string `json:"state"`
	Serving string `json:"serving"`
}

// loading brings the weights of a version onto the engine.
type loading struct {
	engine  *Engine
	version string
	took    time.Duration
}

func (l *loading) run() {
	defer l.engine.ended.Done()
	if clock.Sleep(l.engine.clock, l.took, l.engine.host.Dead()) {
		l.engine.arrive(l.version)
	}
}

// Load brings the weights of a version onto the engine in the time took,
// before scaling.
func (e *Engine) Load(version string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load(version, took)
}

func (e *Engine) load(version string, took time.Duration) {
	select {
	case <-e.host.Dead():
		return
	default:
	}
	e.ended.Add(1)
	go (&loading{engine: e, version: version, took: e.spec.scaled(took)}).run()
}

func (e *Engine) arrive(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights[version] = true
	if e.order.Version == version && e.order.State == stateLoading {
		e.finish()
	}
}

// finish puts the ordered version into service if it can be loaded.
func (e *Engine) finish() {
	if e.faults.FailsLoad(e.order.Version) {
		e.order.State = stateFailed
		return
	}
	if e.serving != e.order.Version {
		e.batch.cache.clear()
	}
	e.serving = e.order.Version
	e.order.State = stateReady
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !hoster.Decode(w, r, &order) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := e.order.Fence
	older := order.Fence.Term < seen.Term || (order.Fence.Term == seen.Term && order.Fence.Count < seen.Count)
	if e.spec.Fence && older {
		hoster.Reply(w, http.StatusConflict, e.state())
		return
	}
	same := order.Version == e.order.Version && e.order.State != stateFailed
	e.order.Order = order
	switch {
	case same:
	case e.weights[order.Version]:
		e.finish()
	default:
		e.order.State = stateLoading
		e.load(order.Version, e.spec.Load)
	}
	hoster.Reply(w, http.StatusAccepted, e.state())
}

func (e *Engine) getOrder(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hoster.Reply(w, http.StatusOK, e.state())
}

func (e *Engine) state() orderState {
	state := e.order
	state.Serving = e.serving
	return state
}
