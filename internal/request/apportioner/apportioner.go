// Package apportioner holds this node's allowances: its parts of the customers'
// limits, which all nodes share. An allowance expires unless it is renewed, so that a
// partitioned or suspended node admits no calls that another node may admit.
package apportioner

import (
	"math"
	"sync"
	"time"
)

const (
	// demandSmoothing is the weight of the newest second in the measured demand.
	demandSmoothing = 0.5
	// maxMeasurementInterval is the longest time between two measurements of the
	// demand that are compared.
	maxMeasurementInterval = time.Minute
	// maxExhaustion is how long at most no more is asked for after the whole limit was
	// found to be spent: others may return what they did not spend.
	maxExhaustion = 200 * time.Millisecond
)

// bucket is one customer's allowance.
type bucket struct {
	rate             float64 // of the whole limit, per second; 0 means no limit
	granted          float64
	unspent          float64
	exhaustedUntil   time.Time // until then calls of at least exhaustedCost are over the limit
	exhaustedCost    float64
	availableAt      time.Time // when the whole limit covers exhaustedCost again
	spentSinceReport float64   // spent since the last report
	requested        float64   // cost of calls since the last measurement
	demand           float64   // per second
}

// Quotas holds the allowances of all customers. It is safe for concurrent use.
type Quotas struct {
	mu         sync.Mutex
	buckets    map[string]*bucket
	sequence   uint64
	until      time.Time // end of the allowances
	measuredAt time.Time
}

// New returns quotas without limits.
func New() *Quotas { return &Quotas{buckets: make(map[string]*bucket)} }

// SetRates replaces the limits, given as rates per second. Customers that remain keep
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

// Status is what a node reports about its allowances.
type Status struct {
	Sequence uint64
	Unspent  map[string]float64
	Demand   map[string]float64
}

// Report returns the state of the allowances. Costs that are charged after the report
// are deducted from the next allowances.
func (q *Quotas) Report(now time.Time) Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := Status{Sequence: q.sequence, Unspent: make(map[string]float64, len(q.buckets)), Demand: make(map[string]float64, len(q.buckets))}
	elapsed := now.Sub(q.measuredAt)
	for name, b := range q.buckets {
		b.spentSinceReport = 0
		if elapsed > 0 && elapsed < maxMeasurementInterval {
			weight := 1 - math.Pow(1-demandSmoothing, elapsed.Seconds())
			b.demand += weight * (b.requested/elapsed.Seconds() - b.demand)
			b.requested = 0
		}
		if now.Before(q.until) && b.unspent != 0 {
			s.Unspent[name] = b.unspent
		}
		if b.demand > 0 {
			s.Demand[name] = b.demand
		}
	}
	q.measuredAt = now
	return s
}

// SetAllowances replaces the allowances, which expire at until. They are the answer
// to the last report.
func (q *Quotas) SetAllowances(sequence uint64, allowances map[string]float64, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence, q.until = sequence, until
	for name, b := range q.buckets {
		b.granted = allowances[name]
		b.unspent = b.granted - b.spentSinceReport
	}
}

// Sequence returns the number of the last grant.
func (q *Quotas) Sequence() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.sequence
}

// Add adds what was granted for a waiting call, valid until a time.
func (q *Quotas) Add(customer string, amount float64, now, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !now.Before(q.until) { // what was granted before has expired
		for _, b := range q.buckets {
			b.unspent = min(b.unspent, 0)
		}
	}
	if until.After(q.until) {
		q.until = until
	}
	if b := q.buckets[customer]; b != nil {
		b.unspent += amount
		b.spentSinceReport -= amount
	}
}

// Exhaust records that the whole limit does not cover a call, and will not before wait has
// passed.
func (q *Quotas) Exhaust(customer string, cost float64, wait time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.buckets[customer]; b != nil {
		b.exhaustedCost, b.availableAt = cost, now.Add(wait)
		b.exhaustedUntil = now.Add(min(wait, maxExhaustion))
	}
}

// Verdict tells whether a call is within its customer's limit.
type Verdict int

// The verdicts.
const (
	// Passed calls are within the limit.
	Passed Verdict = iota
	// Short calls need more than the allowance, which may be available at once.
	Short
	// Over calls exceed the limit.
	Over
)

// Take charges a call to its customer's allowance. If the call is not passed, Take
// returns the delay after which it may be retried.
func (q *Quotas) Take(customer string, cost float64, now time.Time) (Verdict, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[customer]
	if b == nil || b.rate <= 0 {
		return Passed, 0
	}
	if now.Before(q.until) && b.unspent >= cost {
		b.requested += cost
		b.unspent -= cost
		b.spentSinceReport += cost
		return Passed, 0
	}
	if now.Before(b.exhaustedUntil) && cost >= b.exhaustedCost {
		b.requested += cost
		return Over, b.availableAt.Sub(now) + b.timeFor(cost-b.exhaustedCost)
	}
	return Short, b.timeFor(cost)
}

// timeFor returns the time in which the limit lets an amount through, an hour at most.
func (b *bucket) timeFor(amount float64) time.Duration {
	return time.Duration(min(amount/b.rate, time.Hour.Seconds()) * float64(time.Second))
}

// Return refunds the cost of a call that did not run.
func (q *Quotas) Return(customer string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.buckets[customer]; b != nil {
		b.unspent += cost
		b.spentSinceReport -= cost
	}
}
