// Package divider divides the rate limits of customers among the nodes. It runs on the leader,
// keeps a token bucket for each limit, and grants parts of it to the nodes as allowances. A
// node spends its allowance without asking and returns the rest with each report. Everything
// spent comes out of one bucket, whichever messages are lost.
package divider

import (
	"time"
)

const (
	// evenFraction is the fraction of what is left in a bucket that is divided evenly, so that
	// a node that a customer starts to use has some allowance; the rest follows the demand.
	evenFraction = 0.5
	// grantFraction is the fraction of what is left in a bucket that all nodes together are
	// granted when each of them reports once; the rest serves nodes that spend quickly.
	grantFraction = 1.5
	// maxNodeFraction is the largest fraction of what is left that a single node is granted.
	maxNodeFraction = 0.5
)

// sweepInterval is the time between two sweeps over all nodes, so that the work for one report
// does not grow with the fleet. An expired allowance counts as outstanding for up to that much
// longer.
const sweepInterval = 100 * time.Millisecond

// fullFraction is the fraction of a bucket from which it counts as full.
const fullFraction = 0.95

// Limit is the rate that all nodes together may let through for a customer: Rate a second, and
// Burst at once. Initial is the level of the bucket when a leader starts, which does not know
// what was let through before; each new leader lets that much through in addition.
type Limit struct {
	Rate    float64
	Burst   float64
	Initial float64
}

// bucket is the token bucket of one limit. Its level is below 0 after a call that is larger
// than the bucket.
type bucket struct {
	limit       Limit
	level       float64
	outstanding float64 // granted and not returned, by nodes that may still spend it
	filledAt    time.Time
}

// fill adds the tokens since the last fill. Outstanding allowances are part of the bucket and
// take up room in it.
func (b *bucket) fill(now time.Time) {
	b.level += b.limit.Rate * now.Sub(b.filledAt).Seconds()
	b.filledAt = now
	b.clip()
}

func (b *bucket) clip() { b.level = min(b.level, b.limit.Burst-b.outstanding) }

// maxGrant returns how much of the requested amount may be granted. A call that is larger than
// the whole bucket is let through when the bucket is full.
func (b *bucket) maxGrant(requested float64) float64 {
	if requested > b.limit.Burst && b.level >= fullFraction*b.limit.Burst {
		return requested
	}
	return min(requested, max(b.level, 0))
}

// nodeState holds the last report of a node and the grant that answered it.
type nodeState struct {
	incarnation   uint64
	sequence      uint64
	demand        map[string]float64
	granted       map[string]float64
	unspentBefore map[string]float64 // unspent amounts in the report that the grant answered
	expires       time.Time
}

// Divider decides the allowances of all nodes. It is not safe for concurrent use.
type Divider struct {
	lifetime time.Duration
	sequence uint64
	buckets  map[string]*bucket
	nodes    map[string]*nodeState
	demand   map[string]float64 // of all nodes, by customer
	sweptAt  time.Time
}

// New returns a divider for a term of the log. Its allowances are valid for lifetime from when
// they were requested.
func New(term uint64, lifetime time.Duration) *Divider {
	return &Divider{lifetime: lifetime, sequence: term << 32, buckets: make(map[string]*bucket), nodes: make(map[string]*nodeState), demand: make(map[string]float64)}
}

// AllowanceLifetime returns how long an allowance is valid.
func (d *Divider) AllowanceLifetime() time.Duration { return d.lifetime }

// SetLimits replaces the limits. Buckets of customers that remain keep their levels.
func (d *Divider) SetLimits(limits map[string]Limit, now time.Time) {
	old := d.buckets
	d.buckets = make(map[string]*bucket, len(limits))
	for name, limit := range limits {
		b := old[name]
		if b == nil {
			b = &bucket{limit: limit, level: limit.Initial, filledAt: now}
		}
		b.fill(now)
		b.limit = limit
		b.clip()
		d.buckets[name] = b
	}
}

// Report is a node's report on its allowances.
type Report struct {
	Node        string
	Incarnation uint64
	// Sequence is the number of the last grant that the node received.
	Sequence uint64
	// Unspent is what the node has not spent of that grant, and Demand is what customers request
	// of the node a second.
	Unspent map[string]float64
	Demand  map[string]float64
	// Pending is the amount needed by calls that wait at the node for a larger allowance.
	Pending map[string]float64
}

// Grant replaces the unspent allowance of a node.
type Grant struct {
	Sequence   uint64
	Allowances map[string]float64
}

// Renew takes back what a node has not spent and grants it a new allowance.
func (d *Divider) Renew(r *Report, now time.Time) Grant {
	if now.Sub(d.sweptAt) >= sweepInterval {
		d.sweep(r.Node, now)
	}
	for _, b := range d.buckets {
		b.fill(now)
	}
	d.returnUnspent(r)
	d.sequence++
	n := &nodeState{
		incarnation: r.Incarnation, sequence: d.sequence, demand: r.Demand, granted: make(map[string]float64, len(d.buckets)),
		unspentBefore: r.Unspent, expires: now.Add(d.lifetime),
	}
	if last := d.nodes[r.Node]; last != nil {
		d.addDemand(last, -1)
	}
	d.nodes[r.Node] = n
	d.addDemand(n, 1)
	for name, b := range d.buckets {
		grant := max(max(b.level, 0)*min(d.fraction(n, name), maxNodeFraction), b.maxGrant(r.Pending[name]))
		n.granted[name] = grant
		b.level -= grant
		b.outstanding += grant
	}
	return Grant{Sequence: n.sequence, Allowances: n.granted}
}

// sweep evicts nodes whose allowances have expired, except the one that reports, and sums up
// the demands again.
func (d *Divider) sweep(except string, now time.Time) {
	d.sweptAt = now
	clear(d.demand)
	for name, n := range d.nodes {
		if name != except && !now.Before(n.expires) {
			d.evict(name, n)
			continue
		}
		d.addDemand(n, 1)
	}
}

// addDemand adds a node's demand to the sums, or subtracts it.
func (d *Divider) addDemand(n *nodeState, sign float64) {
	for customer, demand := range n.demand {
		d.demand[customer] = max(d.demand[customer]+sign*demand, 0)
	}
}

// evict removes a node whose allowance has expired. Whether the allowance was spent is
// unknown, so it is not returned to the buckets.
func (d *Divider) evict(name string, n *nodeState) {
	for customer, b := range d.buckets {
		b.outstanding -= n.granted[customer]
	}
	delete(d.nodes, name)
}

// returnUnspent returns to the buckets what a node has not spent. If the node did not receive
// its last grant, that is returned in full, and what was returned before that grant is taken
// out again: it stayed with the node and may have been spent since.
func (d *Divider) returnUnspent(r *Report) {
	n := d.nodes[r.Node]
	grantLost := n != nil && n.incarnation == r.Incarnation && n.sequence != r.Sequence
	for name, b := range d.buckets {
		if n != nil {
			b.outstanding -= n.granted[name]
		}
		if grantLost {
			b.level += n.granted[name] - n.unspentBefore[name]
		}
		b.level += r.Unspent[name]
		b.clip()
	}
}

// fraction returns the fraction of what is left in a bucket that a node is granted.
func (d *Divider) fraction(n *nodeState, name string) float64 {
	sum := d.demand[name]
	ratio := 1 / float64(len(d.nodes))
	if sum > 0 {
		ratio = evenFraction*ratio + (1-evenFraction)*n.demand[name]/sum
	}
	return grantFraction * ratio
}
