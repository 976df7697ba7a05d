package divider

import (
	"math"
	"time"
)

// Pool divides the allowances of a keeper among the nodes of its group. It is to the nodes what
// a Divider is, and to the leader's Divider one node. It is not safe for concurrent use.
type Pool struct {
	divider  *Divider
	sequence uint64             // of the leader's last grant
	reported map[string]float64 // levels in the last report
	until    time.Time          // end of the keeper's allowances
}

// NewPool returns an empty pool. Its grants are numbered from first on.
func NewPool(first uint64) *Pool {
	d := New(0, 0)
	d.sequence = first
	return &Pool{divider: d, reported: make(map[string]float64)}
}

// Report returns the keeper's report to the leader's Divider, but for its name and incarnation.
func (p *Pool) Report(now time.Time) Report {
	p.expire(now)
	p.divider.sweep("", now)
	r := Report{Sequence: p.sequence, Unspent: make(map[string]float64), Held: make(map[string]float64), Demand: make(map[string]float64)}
	clear(p.reported)
	for name, b := range p.divider.buckets {
		if b.level != 0 {
			r.Unspent[name], p.reported[name] = b.level, b.level
		}
		if b.outstanding > 0 {
			r.Held[name] = b.outstanding
		}
		if demand := p.divider.demand[name]; demand > 0 {
			r.Demand[name] = demand
		}
	}
	return r
}

// Refill replaces what the last report returned by the grant that answered it, which is valid
// until a time.
func (p *Pool) Refill(g Grant, until time.Time) {
	p.sequence, p.until = g.Sequence, until
	for name := range g.Allowances {
		p.bucket(name)
	}
	for name, b := range p.divider.buckets {
		b.level += g.Allowances[name] - p.reported[name]
	}
	clear(p.reported)
}

// Add adds an amount that the leader granted for waiting calls.
func (p *Pool) Add(customer string, amount float64, until time.Time) {
	p.bucket(customer).level += amount
	if until.After(p.until) {
		p.until = until
	}
}

// Renew takes back what a node of the group has not spent and grants it a new allowance, which
// is valid for the returned time.
func (p *Pool) Renew(r *Report, now time.Time) (Grant, time.Duration) {
	if p.expire(now) {
		return Grant{Sequence: r.Sequence}, 0
	}
	for name := range r.Demand {
		p.bucket(name)
	}
	for name := range r.Unspent {
		p.bucket(name)
	}
	return p.divider.Renew(r, now), p.divider.lifetime
}

// Sequence returns the number of the leader's last grant.
func (p *Pool) Sequence() uint64 { return p.sequence }

// Knows reports whether it is known what a node of the group has.
func (p *Pool) Knows(node string, incarnation, sequence uint64) bool {
	return p.divider.Knows(node, incarnation, sequence)
}

// Take grants a part of what is left, at least r.Least, or nothing. The grant is valid for the
// returned time.
func (p *Pool) Take(r *Request, now time.Time) (granted float64, validFor time.Duration) {
	if p.expire(now) {
		return 0, 0
	}
	p.bucket(r.Customer)
	granted, _ = p.divider.Take(r, now)
	return granted, p.divider.lifetime
}

// expire discards what is left if the keeper's allowances have expired.
func (p *Pool) expire(now time.Time) bool {
	p.divider.lifetime = max(p.until.Sub(now), 0)
	if p.divider.lifetime > 0 {
		return false
	}
	for _, b := range p.divider.buckets {
		b.level = min(b.level, 0)
	}
	return true
}

// bucket returns the bucket of a customer. It is filled by the leader's grants alone.
func (p *Pool) bucket(customer string) *bucket {
	b := p.divider.buckets[customer]
	if b == nil {
		b = &bucket{limit: Limit{Burst: math.Inf(1)}}
		p.divider.buckets[customer] = b
	}
	return b
}
