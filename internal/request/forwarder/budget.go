package forwarder

import (
	"sync"
	"time"
)

// Budget bounds how many calls of each service a node repeats at another endpoint.
// Each node spends only what its own recent calls allow, so that the sum over all
// nodes stays within the bound of the deployment without coordination. It is safe for
// concurrent use.
type Budget struct {
	ratio  float64
	extra  float64
	window time.Duration

	mu       sync.Mutex
	nodes    int
	services map[string]*counts
}

const (
	// budgetSlots is the number of slots of a window in which calls are counted.
	budgetSlots = 10
	// budgetFraction is the fraction of the bound that is spent. Spending less than
	// the whole bound keeps it also in windows that do not align with the slots.
	budgetFraction = 0.7
)

// counts is the number of calls and repeats of one service by slot of the window.
type counts struct {
	calls    [budgetSlots]float64
	repeats  [budgetSlots]float64
	lastSlot int64
}

// NewBudget returns a budget with which all nodes together repeat at most ratio of
// the calls, plus extra calls, in each window.
func NewBudget(ratio, extra float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, extra: extra, window: window, nodes: 1, services: make(map[string]*counts)}
}

// SetNodes sets the number of nodes among which the extra repeats are divided.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(n, 1)
}

// RecordCall records a call of a service.
func (b *Budget) RecordCall(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service, now)
	c.calls[c.lastSlot%budgetSlots]++
}

// HasRepeat reports whether a call may be repeated, without charging the budget.
func (b *Budget) HasRepeat(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.countsOf(service, now))
}

// AllowRepeat reports whether a call may be repeated, and if so charges the budget.
func (b *Budget) AllowRepeat(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service, now)
	if !b.allows(c) {
		return false
	}
	c.repeats[c.lastSlot%budgetSlots]++
	return true
}

// allows reports whether the budget covers one more repeat. The caller holds b.mu.
func (b *Budget) allows(c *counts) bool {
	calls, repeats := 0.0, 0.0
	for i := range budgetSlots {
		calls += c.calls[i]
		repeats += c.repeats[i]
	}
	return repeats+1 <= budgetFraction*(b.ratio*calls+b.extra/float64(b.nodes))
}

func (b *Budget) countsOf(service string, now time.Time) *counts {
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	slot := now.UnixNano() / int64(b.window/budgetSlots)
	for s := max(c.lastSlot+1, slot-budgetSlots+1); s <= slot; s++ {
		c.calls[s%budgetSlots], c.repeats[s%budgetSlots] = 0, 0
	}
	c.lastSlot = max(c.lastSlot, slot)
	return c
}
