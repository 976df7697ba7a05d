// Package judge compares the new version of a service with the old one while both serve calls. It uses a
// sequential test that is valid at any stopping time.
package judge

import "time"

// Kind is the quantity that a comparison examines.
type Kind string

// The kinds of comparisons.
const (
	// Failure compares the fractions of failed calls.
	Failure Kind = "failure"
	// First compares the times to first token.
	First Kind = "first"
	// Next compares the times between two tokens.
	Next Kind = "next"
	// Total compares the times to the complete answer.
	Total Kind = "total"
)

// Overall is used in place of a route's name for all routes of a service together.
const Overall = "*"

// Result is how one call ended at an endpoint. A duration of zero was not observed.
type Result struct {
	// Failed is true if the version answered with an error, truncated the answer or missed the deadline.
	Failed bool
	// Excluded is true if the outcome says nothing about the version, because the caller disconnected or the
	// instance was reclaimed.
	Excluded bool
	// First is the time to first token.
	First time.Duration
	// Next is the mean time between two tokens of the answer.
	Next time.Duration
	// Total is the time to the complete answer.
	Total time.Duration
}

// Counts holds the cumulative observations of one version on one route.
type Counts struct {
	started  uint64
	finished uint64
	failed   uint64
	first    Histogram
	next     Histogram
	total    Histogram
}

// Started returns how many calls were sent.
func (c *Counts) Started() uint64 { return c.started }

// Finished returns how many calls ended, including failed ones.
func (c *Counts) Finished() uint64 { return c.finished }

// Failed returns how many calls failed.
func (c *Counts) Failed() uint64 { return c.failed }

// Latency returns the observed durations of a kind, or nil for Failure.
func (c *Counts) Latency(kind Kind) *Histogram {
	switch kind {
	case First:
		return &c.first
	case Next:
		return &c.next
	case Total:
		return &c.total
	default:
		return nil
	}
}

func (c *Counts) record(r Result) {
	c.finished++
	if r.Failed {
		c.failed++
		return
	}
	if r.First > 0 {
		c.first.Add(r.First)
	}
	if r.Next > 0 {
		c.next.Add(r.Next)
	}
	if r.Total > 0 {
		c.total.Add(r.Total)
	}
}

func (c *Counts) merge(other *Counts) {
	c.started += other.started
	c.finished += other.finished
	c.failed += other.failed
	c.first.merge(&other.first)
	c.next.merge(&other.next)
	c.total.merge(&other.total)
}

func (c *Counts) since(earlier *Counts) Counts {
	return Counts{
		started:  c.started - min(earlier.started, c.started),
		finished: c.finished - min(earlier.finished, c.finished),
		failed:   c.failed - min(earlier.failed, c.failed),
		first:    c.first.since(&earlier.first),
		next:     c.next.since(&earlier.next),
		total:    c.total.since(&earlier.total),
	}
}

// Pair holds the observations of the old and the new version on one route.
type Pair struct {
	events uint64
	old    Counts
	latest Counts
}

// Old returns the observations of the old version.
func (p *Pair) Old() *Counts { return &p.old }

// New returns the observations of the new version.
func (p *Pair) New() *Counts { return &p.latest }

func (p *Pair) merge(other *Pair) {
	p.events += other.events
	p.old.merge(&other.old)
	p.latest.merge(&other.latest)
}

func (p *Pair) since(earlier *Pair) Pair {
	return Pair{events: p.events - min(earlier.events, p.events), old: p.old.since(&earlier.old), latest: p.latest.since(&earlier.latest)}
}

// Table holds one Pair for each route.
type Table map[string]*Pair

func (t Table) pair(route string) *Pair {
	p := t[route]
	if p == nil {
		p = &Pair{}
		t[route] = p
	}
	return p
}

func (t Table) clone() Table {
	c := make(Table, len(t))
	for route, p := range t {
		copied := *p
		c[route] = &copied
	}
	return c
}

func (t Table) since(earlier Table) Table {
	d := make(Table, len(t))
	for route, p := range t {
		before := earlier[route]
		if before == nil {
			before = &Pair{}
		}
		delta := p.since(before)
		d[route] = &delta
	}
	return d
}

// comparable reports whether both versions have finished a call on the same route.
func (t Table) comparable() bool {
	for _, p := range t {
		if p.old.finished > 0 && p.latest.finished > 0 {
			return true
		}
	}
	return false
}
