package engine

import (
	"net/http"
	"time"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/hoster"
)

// The states of an order, as GET /orders returns them.
const (
	stateReady   = "ready"
	stateLoading = "loading"
	stateFailed  = "failed"
)

// Fence is a fencing number: the term of a leader and a counter within the term.
type Fence struct {
	Term  uint64 `json:"term"`
	Count uint64 `json:"count"`
}

// Order is the complete desired state of an engine.
type Order struct {
	Intent  string `json:"intent"`
	Fence   Fence  `json:"fence"`
	Service string `json:"service"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// orderState is the latest accepted order with its state and the version served.
type orderState struct {
	Order
	State   string `json:"state"`
	Serving string `json:"serving"`
}

// weightLoad is one load of the weights of a version.
type weightLoad struct {
	engine   *Engine
	version  string
	duration time.Duration
}

func (l *weightLoad) run() {
	defer l.engine.ended.Done()
	if clock.Sleep(l.engine.clock, l.duration, l.engine.host.Done()) {
		l.engine.weightsLoaded(l.version)
	}
}

// Load loads the weights of a version in the background. Scale is applied to
// duration.
func (e *Engine) Load(version string, duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load(version, duration)
}

func (e *Engine) load(version string, duration time.Duration) {
	select {
	case <-e.host.Done():
		return
	default:
	}
	e.ended.Add(1)
	go (&weightLoad{engine: e, version: version, duration: e.spec.scaled(duration)}).run()
}

func (e *Engine) weightsLoaded(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights[version] = true
	if e.order.Version == version && e.order.State == stateLoading {
		e.activate()
	}
}

// activate starts serving the ordered version, unless a fault makes its load fail.
// The caller holds the lock.
func (e *Engine) activate() {
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
	current := e.order.Fence
	outdated := order.Fence.Term < current.Term || (order.Fence.Term == current.Term && order.Fence.Count < current.Count)
	if e.spec.Fence && outdated {
		hoster.Reply(w, http.StatusConflict, e.state())
		return
	}
	unchanged := order.Version == e.order.Version && e.order.State != stateFailed
	e.order.Order = order
	switch {
	case unchanged:
	case e.weights[order.Version]:
		e.activate()
	default:
		e.order.State = stateLoading
		e.load(order.Version, e.spec.LoadTime)
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
