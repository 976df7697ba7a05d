// Package divider divides the limits of customers over the nodes, at the one node
// that leads. It keeps a bucket for each limit and hands parts of it to the nodes
// as allowances, which they spend without a word and return with each report. What
// is spent in all comes out of one bucket, whatever messages are lost.
package divider

import (
	"time"
)

const (
	// evenShare is the part of what is left that is divided evenly, so that a node
	// to which a customer turns finds something there; the rest follows the demand.
	evenShare = 0.5
	// handShare is the part of what is left in a bucket that all nodes together get
	// when each of them reports once; the rest serves those that spend quickly.
	handShare = 1.5
	// maxShare is the part of what is left that a single node may get.
	maxShare = 0.5
)

// sweepPause is the time between two looks at all nodes, so that the work for one
// report does not grow with the fleet. What a node held whose allowance has ended
// counts as out for so much longer.
const sweepPause = 100 * time.Millisecond

// fullShare is the part of a bucket from which it counts as full.
const fullShare = 0.95

// Limit is what all nodes together may let through for a customer: Rate a second,
// and Burst at once. Spare is what may be let through beyond that when a leader
// begins, which does not know what was let through before it.
type Limit struct {
	Rate  float64
	Burst float64
	Spare float64
}

// pool is the bucket of one limit. Its level is below 0 after a call that is larger
// than the bucket.
type pool struct {
	limit  Limit
	level  float64
	out    float64 // granted and not returned, by nodes that may still spend it
	filled time.Time
}

// fill adds what came in. What nodes hold is part of the bucket and takes up room.
func (p *pool) fill(now time.Time) {
	p.level += p.limit.Rate * now.Sub(p.filled).Seconds()
	p.filled = now
	p.clip()
}

func (p *pool) clip() { p.level = min(p.level, p.limit.Burst-p.out) }

// most returns what may be granted of what is wanted. A call that is larger than
// the whole bucket passes when the bucket is full.
func (p *pool) most(wanted float64) float64 {
	if wanted > p.limit.Burst && p.level >= fullShare*p.limit.Burst {
		return wanted
	}
	return min(wanted, max(p.level, 0))
}

// holder is what the divider knows of one node.
type holder struct {
	incarnation uint64
	sequence    uint64
	demand      map[string]float64
	granted     map[string]float64
	before      map[string]float64 // what the node had left when it was granted
	until       time.Time
}

// Divider decides the allowances of all nodes. It is not safe for concurrent use.
type Divider struct {
	length   time.Duration
	sequence uint64
	pools    map[string]*pool
	nodes    map[string]*holder
	demand   map[string]float64 // of all nodes, by customer
	swept    time.Time
}

// New returns a divider for a term of the log, whose allowances last for length
// from when they were asked for.
func New(term uint64, length time.Duration) *Divider {
	return &Divider{length: length, sequence: term << 32, pools: make(map[string]*pool), nodes: make(map[string]*holder), demand: make(map[string]float64)}
}

// Length returns how long an allowance lasts.
func (d *Divider) Length() time.Duration { return d.length }

// SetLimits replaces the limits. Buckets of customers that stay keep their levels.
func (d *Divider) SetLimits(limits map[string]Limit, now time.Time) {
	old := d.pools
	d.pools = make(map[string]*pool, len(limits))
	for name, limit := range limits {
		p := old[name]
		if p == nil {
			p = &pool{limit: limit, level: limit.Spare, filled: now}
		}
		p.fill(now)
		p.limit = limit
		p.clip()
		d.pools[name] = p
	}
}

// Report is what a node says of its allowances.
type Report struct {
	Node        string
	Incarnation uint64
	// Sequence is that of the last grant that the node took.
	Sequence uint64
	// Left is what the node has left of it, and Demand what customers ask of the
	// node a second.
	Left   map[string]float64
	Demand map[string]float64
	// Wants is what calls need that wait at the node for a larger allowance.
	Wants map[string]float64
}

// Grant replaces what a node has left.
type Grant struct {
	Sequence   uint64
	Allowances map[string]float64
}

// Renew takes what a node has left back and grants it a new allowance.
func (d *Divider) Renew(r *Report, now time.Time) Grant {
	if now.Sub(d.swept) >= sweepPause {
		d.sweep(r.Node, now)
	}
	for _, p := range d.pools {
		p.fill(now)
	}
	d.takeBack(r)
	d.sequence++
	h := &holder{
		incarnation: r.Incarnation, sequence: d.sequence, demand: r.Demand, granted: make(map[string]float64, len(d.pools)),
		before: r.Left, until: now.Add(d.length),
	}
	if last := d.nodes[r.Node]; last != nil {
		d.count(last, -1)
	}
	d.nodes[r.Node] = h
	d.count(h, 1)
	for name, p := range d.pools {
		grant := max(max(p.level, 0)*min(d.weight(h, name), maxShare), p.most(r.Wants[name]))
		h.granted[name] = grant
		p.level -= grant
		p.out += grant
	}
	return Grant{Sequence: h.sequence, Allowances: h.granted}
}

// sweep forgets nodes whose allowances have ended, but for the one that reports, and
// adds the demands up anew.
func (d *Divider) sweep(except string, now time.Time) {
	d.swept = now
	clear(d.demand)
	for name, h := range d.nodes {
		if name != except && !now.Before(h.until) {
			d.forget(name, h)
			continue
		}
		d.count(h, 1)
	}
}

// count adds a node's demand to the sums, or takes it out.
func (d *Divider) count(h *holder, sign float64) {
	for customer, demand := range h.demand {
		d.demand[customer] = max(d.demand[customer]+sign*demand, 0)
	}
}

// forget drops a node whose allowance has ended. Whether it was spent is unknown,
// so it is not returned.
func (d *Divider) forget(name string, h *holder) {
	for customer, p := range d.pools {
		p.out -= h.granted[customer]
	}
	delete(d.nodes, name)
}

// takeBack returns to the buckets what a node has left. If the node did not take
// its last grant, that is returned whole; what was returned before it then was
// still with the node and may have been spent since.
func (d *Divider) takeBack(r *Report) {
	h := d.nodes[r.Node]
	isLost := h != nil && h.incarnation == r.Incarnation && h.sequence != r.Sequence
	for name, p := range d.pools {
		if h != nil {
			p.out -= h.granted[name]
		}
		if isLost {
			p.level += h.granted[name] - h.before[name]
		}
		p.level += r.Left[name]
		p.clip()
	}
}

// weight returns the part of what is left that a node gets.
func (d *Divider) weight(h *holder, name string) float64 {
	sum := d.demand[name]
	part := 1 / float64(len(d.nodes))
	if sum > 0 {
		part = evenShare*part + (1-evenShare)*h.demand[name]/sum
	}
	return handShare * part
}
