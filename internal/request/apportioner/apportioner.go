// Package apportioner holds this node's allowances: its parts of the limits of
// customers, which all nodes share. An allowance ends by itself unless it is
// renewed, so that a node that is cut off or frozen lets nothing through that
// another one may.
package apportioner

import (
	"math"
	"sync"
	"time"
)

const (
	// demandWeight is the weight of the newest second in the measured demand.
	demandWeight = 0.5
	// measuredOver is the longest time between two measurements that counts.
	measuredOver = time.Minute
	// renewal is about how long it takes until an allowance is renewed.
	renewal = 300 * time.Millisecond
	// dryTime is for how long no larger allowance is asked for after the whole limit
	// was found to be spent.
	dryTime = 200 * time.Millisecond
)

// bucket is one customer's allowance.
type bucket struct {
	rate    float64 // of the whole limit, a second; 0 without a limit
	granted float64
	left    float64
	wanted  float64   // by calls that wait
	dry     time.Time // until then nothing more is to be had
	since   float64   // spent since the last report
	asked   float64   // since the last measurement
	demand  float64   // a second
}

// Quotas are the allowances of all customers. It is safe for concurrent use.
type Quotas struct {
	mu       sync.Mutex
	buckets  map[string]*bucket
	sequence uint64
	until    time.Time // end of the allowances
	measured time.Time
}

// New returns quotas without limits.
func New() *Quotas { return &Quotas{buckets: make(map[string]*bucket)} }

// SetRates replaces the limits, by their rates a second. Customers that stay keep
// their allowances.
func (q *Quotas) SetRates(rates map[string]float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	old := q.buckets
	q.buckets = make(map[string]*bucket, len(rates))
	for name, rate := range rates {
		b := old[name]
		if b == nil {
			b = &bucket{}
		}
		b.rate = rate
		q.buckets[name] = b
	}
}

// Status is what a node reports of its allowances.
type Status struct {
	Sequence uint64
	Left     map[string]float64
	Demand   map[string]float64
	Wants    map[string]float64
}

// Report returns what is left. What is spent from now on is taken off the next
// allowance.
func (q *Quotas) Report(now time.Time) Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := Status{Sequence: q.sequence, Left: make(map[string]float64, len(q.buckets)), Demand: make(map[string]float64, len(q.buckets)), Wants: make(map[string]float64)}
	passed := now.Sub(q.measured)
	for name, b := range q.buckets {
		b.since = 0
		if passed > 0 && passed < measuredOver {
			weight := 1 - math.Pow(1-demandWeight, passed.Seconds())
			b.demand += weight * (b.asked/passed.Seconds() - b.demand)
			b.asked = 0
		}
		if now.Before(q.until) && b.left != 0 {
			s.Left[name] = b.left
		}
		if b.demand > 0 {
			s.Demand[name] = b.demand
		}
		if b.wanted > 0 {
			s.Wants[name] = b.wanted
		}
	}
	q.measured = now
	return s
}

// SetAllowances replaces the allowances, which end at until. They answer the last
// report.
func (q *Quotas) SetAllowances(sequence uint64, allowances map[string]float64, now, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence, q.until = sequence, until
	for name, b := range q.buckets {
		b.granted = allowances[name]
		b.left = b.granted - b.since
		if b.wanted > 0 && b.left < b.wanted {
			b.dry = now.Add(dryTime)
		}
	}
}

// Verdict says whether a call passes its customer's limit.
type Verdict int

// The verdicts.
const (
	// Passed calls are within the limit.
	Passed Verdict = iota
	// Short calls need a larger allowance, which may be had at once.
	Short
	// Over calls are over the limit.
	Over
)

// Take lets a call of a customer through, or says when it may come back.
func (q *Quotas) Take(customer string, cost float64, now time.Time) (Verdict, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[customer]
	if b == nil || b.rate <= 0 {
		return Passed, 0
	}
	if now.Before(q.until) && b.left >= cost {
		b.asked += cost
		b.left -= cost
		b.since += cost
		return Passed, 0
	}
	if now.Before(b.dry) {
		b.asked += cost
		return Over, max(renewal, time.Duration((cost-b.left)/b.rate*float64(time.Second)))
	}
	return Short, renewal
}

// Want asks for an allowance that lets a call through, until Unwant.
func (q *Quotas) Want(customer string, cost float64) { q.want(customer, cost) }

// Unwant takes back what Want asked for.
func (q *Quotas) Unwant(customer string, cost float64) { q.want(customer, -cost) }

func (q *Quotas) want(customer string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.buckets[customer]; b != nil {
		b.wanted = max(b.wanted+cost, 0)
	}
}

// Return gives back what a call took that did not run.
func (q *Quotas) Return(customer string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.buckets[customer]; b != nil {
		b.left += cost
		b.since -= cost
	}
}
