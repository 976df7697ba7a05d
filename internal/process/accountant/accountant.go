// Package accountant counts the calls that started, by customer and window of cluster time: a
// Counter counts at each entry, and a Ledger at the reporting node sums the counters up.
package accountant

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// keptWindows is the number of windows that a counter keeps, so that a new leader still
// receives those that the previous one has not reported.
const keptWindows = 5

// Window returns the number of the window of the given length that contains t.
func Window(t time.Time, length time.Duration) int64 { return t.UnixNano() / int64(length) }

// End returns the end of a window.
func End(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

// Counts are the calls that started in one window, by customer.
type Counts struct {
	Window int64          `msgpack:"w"`
	Calls  map[string]int `msgpack:"c"`
}

// Counter counts the calls at one node. It is safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	length  time.Duration
	windows map[int64]map[string]int
}

// NewCounter returns a counter for windows of the given length.
func NewCounter(length time.Duration) *Counter {
	return &Counter{length: length, windows: make(map[int64]map[string]int)}
}

// Add counts a call of a customer that started at the cluster time t.
func (c *Counter) Add(customer string, t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := Window(t, c.length)
	if c.windows[w] == nil {
		for len(c.windows) >= keptWindows {
			delete(c.windows, slices.Min(slices.Collect(maps.Keys(c.windows))))
		}
		c.windows[w] = make(map[string]int)
	}
	c.windows[w][customer]++
}

// Windows returns the counts of the newest windows.
func (c *Counter) Windows() []Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Counts, 0, len(c.windows))
	for w, calls := range c.windows {
		out = append(out, Counts{Window: w, Calls: maps.Clone(calls)})
	}
	return out
}

// source is one incarnation of a node.
type source struct {
	node        string
	incarnation uint64
}

// Ledger sums up the counts of the nodes. It is not safe for concurrent use.
type Ledger struct {
	length time.Duration
	counts map[int64]map[source]map[string]int
	done   map[int64]bool
	first  int64 // oldest window that is still accepted
}

// NewLedger returns a ledger that starts at the window of t. It also accepts earlier windows
// that a previous ledger may not have reported.
func NewLedger(length time.Duration, t time.Time) *Ledger {
	return &Ledger{
		length: length, counts: make(map[int64]map[source]map[string]int), done: make(map[int64]bool),
		first: Window(t, length) - keptWindows,
	}
}

// Add takes over the counts of a node. Those of one incarnation only grow, but earlier ones may
// arrive after later ones, from a relay that the node has left.
func (l *Ledger) Add(node string, incarnation uint64, windows []Counts) {
	for _, w := range windows {
		if w.Window < l.first || l.done[w.Window] {
			continue
		}
		if l.counts[w.Window] == nil {
			l.counts[w.Window] = make(map[source]map[string]int)
		}
		key := source{node, incarnation}
		l.counts[w.Window][key] = largest(l.counts[w.Window][key], w.Calls)
	}
}

// largest returns the larger count of each customer.
func largest(a, b map[string]int) map[string]int {
	if len(a) == 0 {
		return b
	}
	out := maps.Clone(a)
	for customer, n := range b {
		out[customer] = max(out[customer], n)
	}
	return out
}

// Due returns the windows that ended before t and are not done, oldest first.
func (l *Ledger) Due(t time.Time) []int64 {
	var out []int64
	for w := l.first; End(w, l.length).Before(t); w++ {
		if !l.done[w] {
			out = append(out, w)
		}
	}
	return out
}

// Sum returns the calls of a window by customer.
func (l *Ledger) Sum(window int64) map[string]int {
	sum := make(map[string]int)
	for _, calls := range l.counts[window] {
		for customer, n := range calls {
			sum[customer] += n
		}
	}
	return sum
}

// Done records that a window was reported, or never will be.
func (l *Ledger) Done(window int64) {
	l.done[window] = true
	delete(l.counts, window)
	for l.done[l.first] {
		delete(l.done, l.first)
		l.first++
	}
}

// Windows returns the windows that have counts, oldest first.
func (l *Ledger) Windows() []int64 { return slices.Sorted(maps.Keys(l.counts)) }
