package forwarder

import (
	"sync"
	"time"
)

// Budget bounds how many calls of each service a node sends to a further
// endpoint. Each node spends only what its own calls of the last window earn, so
// the sum over all nodes stays within the bound of the deployment without a word
// between them. It is safe for concurrent use.
type Budget struct {
	ratio  float64
	extra  float64
	window time.Duration

	mu       sync.Mutex
	nodes    int
	services map[string]*account
}

const (
	// budgetSlots is the number of parts of a window in which calls are counted.
	budgetSlots = 10
	// budgetPart is the part of the bound that is spent, so that the windows of
	// the bound, which slide otherwise than ours, hold it too.
	budgetPart = 0.7
)

// account counts the calls and repeats of one service in parts of a window.
type account struct {
	calls   [budgetSlots]float64
	repeats [budgetSlots]float64
	slot    int64
}

// NewBudget returns a budget by which, over all nodes, at most ratio of the calls
// and extra more are repeated in each window.
func NewBudget(ratio, extra float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, extra: extra, window: window, nodes: 1, services: make(map[string]*account)}
}

// SetNodes notes over how many nodes the extra repeats are divided.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(n, 1)
}

// Call counts a call of a service.
func (b *Budget) Call(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	a.calls[a.slot%budgetSlots]++
}

// Repeat takes a repeat from the budget, if there is one left.
func (b *Budget) Repeat(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	calls, repeats := 0.0, 0.0
	for i := range budgetSlots {
		calls += a.calls[i]
		repeats += a.repeats[i]
	}
	if repeats+1 > budgetPart*(b.ratio*calls+b.extra/float64(b.nodes)) {
		return false
	}
	a.repeats[a.slot%budgetSlots]++
	return true
}

func (b *Budget) account(service string, now time.Time) *account {
	a := b.services[service]
	if a == nil {
		a = &account{}
		b.services[service] = a
	}
	slot := now.UnixNano() / int64(b.window/budgetSlots)
	for s := max(a.slot+1, slot-budgetSlots+1); s <= slot; s++ {
		a.calls[s%budgetSlots], a.repeats[s%budgetSlots] = 0, 0
	}
	a.slot = max(a.slot, slot)
	return a
}
