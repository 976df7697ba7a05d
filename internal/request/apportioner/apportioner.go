// Package apportioner divides the limits of customers over the nodes. Each node
// holds a share of each limit; the shares of all nodes add up to no more than 1
// at any moment, also while nodes are cut off, frozen or new, since a share ends
// by itself unless it is renewed.
package apportioner

import (
	"math"
	"sync"
	"time"
)

// Limit is what all nodes together may let through for a customer.
type Limit struct {
	// Rate and Burst count calls or tokens; a Rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// demandWeight is the weight of the newest second in the measured demand.
const demandWeight = 0.5

// bucket is one customer's part of this node.
type bucket struct {
	limit  Limit
	share  float64
	tokens float64
	filled time.Time
	asked  float64 // since the last measurement
	demand float64 // a second
}

// Quotas are the limits of all customers at one node. It is safe for concurrent use.
type Quotas struct {
	mu       sync.Mutex
	buckets  map[string]*bucket
	until    time.Time // end of the shares
	measured time.Time
}

// New returns quotas without limits.
func New() *Quotas { return &Quotas{buckets: make(map[string]*bucket)} }

// SetLimits replaces the limits. Customers that stay keep their shares.
func (q *Quotas) SetLimits(limits map[string]Limit, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	old := q.buckets
	q.buckets = make(map[string]*bucket, len(limits))
	for name, limit := range limits {
		b := old[name]
		if b == nil {
			b = &bucket{filled: now}
		}
		b.fill(now, q.until)
		b.limit = limit
		b.clip()
		q.buckets[name] = b
	}
}

// SetShares replaces the shares of the limits, which end at until.
func (q *Quotas) SetShares(shares map[string]float64, now, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, b := range q.buckets {
		b.fill(now, q.until)
		b.share = shares[name]
		b.clip()
	}
	q.until = until
}

// Shares returns the shares that the node holds.
func (q *Quotas) Shares(now time.Time) map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]float64, len(q.buckets))
	if !now.Before(q.until) {
		return out
	}
	for name, b := range q.buckets {
		if b.share > 0 {
			out[name] = b.share
		}
	}
	return out
}

// Demand returns what each customer asks of this node a second.
func (q *Quotas) Demand(now time.Time) map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	passed := now.Sub(q.measured).Seconds()
	out := make(map[string]float64, len(q.buckets))
	for name, b := range q.buckets {
		if passed > 0 && passed < 60 {
			weight := 1 - math.Pow(1-demandWeight, passed)
			b.demand += weight * (b.asked/passed - b.demand)
			b.asked = 0
		}
		if b.limit.Rate > 0 && b.demand > 0 {
			out[name] = b.demand
		}
	}
	q.measured = now
	return out
}

// Take lets a call of a customer through, or says how long it takes until one
// of that size may be.
func (q *Quotas) Take(customer string, cost float64, now time.Time) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[customer]
	if b == nil || b.limit.Rate <= 0 {
		return 0, true
	}
	b.asked += cost
	b.fill(now, q.until)
	// A call larger than the bucket passes when the bucket is full.
	need := min(cost, b.limit.Burst*b.share)
	if b.share > 0 && now.Before(q.until) && b.tokens >= need {
		b.tokens -= cost
		return 0, true
	}
	if b.share <= 0 {
		return time.Second, false
	}
	return time.Duration((need - b.tokens) / (b.limit.Rate * b.share) * float64(time.Second)), false
}

// Return gives back what a call took that did not run.
func (q *Quotas) Return(customer string, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.buckets[customer]; b != nil {
		b.tokens += cost
		b.clip()
	}
}

// fill adds what came in until now or the end of the share.
func (b *bucket) fill(now, until time.Time) {
	end := now
	if until.Before(end) {
		end = until
	}
	if passed := end.Sub(b.filled).Seconds(); passed > 0 {
		b.tokens += b.limit.Rate * b.share * passed
		b.clip()
	}
	b.filled = now
}

func (b *bucket) clip() { b.tokens = min(b.tokens, b.limit.Burst*b.share) }
