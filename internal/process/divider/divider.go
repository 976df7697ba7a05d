// Package divider divides the rate limits of customers among the nodes. It runs on the leader,
// keeps a token bucket for each limit, and grants parts of it to the nodes as allowances. A
// node spends its allowance without asking and returns the rest with each report; for a call
// that is larger it takes more at once. Everything spent comes out of one bucket, whichever
// messages are lost. A keeper that stands between the leader and a group of nodes divides its
// own allowances among these with a Pool.
package divider

import (
	"strconv"
	"time"
)

const (
	// grantFraction is the fraction of what is left in a bucket that all nodes together are
	// granted when each of them reports once. The rest stays in the bucket for Take: a call may
	// be larger than the part of any node.
	grantFraction = 0.75
	// maxNodeFraction is the largest fraction of what is left that a single node is granted.
	maxNodeFraction = 0.5
	// grantHorizon is the time for which a node is granted what is requested of it, so that
	// calls go on while no leader answers.
	grantHorizon = time.Second
	// typicalSmoothing is the weight of the newest call in the typical size of a call.
	typicalSmoothing = 0.1
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
	// Largest is the largest amount for a single call, 0 if there is no bound.
	Largest float64
}

// bucket is the token bucket of one limit. Its level is below 0 after a call that is larger
// than the bucket.
type bucket struct {
	limit       Limit
	level       float64
	outstanding float64 // granted and not returned, by nodes that may still spend it
	typical     float64 // smoothed size of the calls for which nodes ask
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

// maxGrant returns how much of the requested amount may be granted, 0 if that is less than what
// a single call needs. A call that is larger than the whole bucket is let through when the
// bucket is full.
func (b *bucket) maxGrant(amount, least float64) float64 {
	if least > b.limit.Burst && b.level >= fullFraction*b.limit.Burst {
		return least
	}
	if granted := min(amount, b.level); granted >= least {
		return max(granted, 0)
	}
	return 0
}

// nodeState holds the last report of a node and the grant that answered it.
type nodeState struct {
	incarnation   uint64
	sequence      uint64
	demand        map[string]float64
	granted       map[string]float64
	taken         map[string]float64 // granted by Take since then
	held          map[string]float64 // passed on by the node before its last report
	unspentBefore map[string]float64 // unspent amounts in the report that the grant answered
	expires       time.Time
}

// outstanding returns how much of a customer's limit the node and its group may still spend.
func (n *nodeState) outstanding(customer string) float64 {
	return n.granted[customer] + n.taken[customer] + n.held[customer]
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
	// Held is what the node has passed on to a group of nodes and cannot return yet.
	Held map[string]float64
	// IsForeign is true if another divider granted what the node has. It may have been returned
	// there, so that only debts are taken over, and says nothing of the last grant made here,
	// which counts as spent.
	IsForeign bool
}

// returned returns what the report gives back.
func (r *Report) returned() map[string]float64 {
	if !r.IsForeign {
		return r.Unspent
	}
	debts := make(map[string]float64)
	for customer, amount := range r.Unspent {
		if amount < 0 {
			debts[customer] = amount
		}
	}
	return debts
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
	last, returned := d.lastOf(r.Node, r.Incarnation), r.returned()
	d.takeBack(last, r, returned)
	d.sequence++
	n := &nodeState{
		incarnation: r.Incarnation, sequence: d.sequence, demand: r.Demand, granted: make(map[string]float64, len(r.Demand)),
		held: r.Held, unspentBefore: returned, expires: now.Add(d.lifetime),
	}
	if last != nil {
		d.addDemand(last, -1)
	}
	d.nodes[r.Node] = n
	d.addDemand(n, 1)
	for name, held := range r.Held {
		if b := d.buckets[name]; b != nil {
			b.outstanding += held
		}
	}
	for name, demand := range r.Demand {
		b := d.buckets[name]
		if b == nil || demand <= 0 {
			continue
		}
		b.fill(now)
		grant := min(max(b.level, 0)*min(grantFraction*demand/d.demand[name], maxNodeFraction), demand*grantHorizon.Seconds())
		if grant < b.typical {
			continue // of no use to the node
		}
		n.granted[name] = grant
		b.level -= grant
		b.outstanding += grant
	}
	return Grant{Sequence: n.sequence, Allowances: n.granted}
}

// lastOf returns the state of a node's incarnation, or nil. What an earlier incarnation was
// granted stays outstanding until it expires, since its group may still spend it.
func (d *Divider) lastOf(name string, incarnation uint64) *nodeState {
	n := d.nodes[name]
	if n == nil || n.incarnation == incarnation {
		return n
	}
	d.addDemand(n, -1)
	n.demand = nil
	delete(d.nodes, name)
	d.nodes[name+"/"+strconv.FormatUint(n.incarnation, 16)] = n
	return nil
}

// Request asks for more than a node was granted, for calls that wait.
type Request struct {
	Node        string
	Incarnation uint64
	// Sequence is the number of the last grant that the node received.
	Sequence uint64
	Customer string
	Amount   float64
	// Least is the smallest amount that is of use.
	Least float64
}

// Knows reports whether it is known what a node has: the last grant that it received was the
// last one made here. Otherwise it has to report before it may take more, since it may hold
// what another divider granted, which the buckets do not account for.
func (d *Divider) Knows(node string, incarnation, sequence uint64) bool {
	n := d.nodes[node]
	return n != nil && n.incarnation == incarnation && n.sequence == sequence
}

// Take grants a part of what is left of a customer's limit, at least r.Least. If there is not
// that much, it returns the time until there will be. A node that is not known gets neither.
func (d *Divider) Take(r *Request, now time.Time) (granted float64, wait time.Duration) {
	b := d.buckets[r.Customer]
	if b == nil || !d.Knows(r.Node, r.Incarnation, r.Sequence) {
		return 0, 0
	}
	b.fill(now)
	if b.limit.Largest > 0 && r.Least > b.limit.Largest {
		return 0, b.timeUntil(r.Least) // no wait helps; its size says nothing about others
	}
	b.typical += typicalSmoothing * (r.Least - b.typical)
	granted = b.maxGrant(r.Amount, r.Least)
	if granted <= 0 {
		return 0, b.timeUntil(r.Least)
	}
	n := d.nodes[r.Node]
	if n.taken == nil {
		n.taken = make(map[string]float64)
	}
	n.taken[r.Customer] += granted
	n.expires = now.Add(d.lifetime)
	b.level -= granted
	b.outstanding += granted
	return granted, 0
}

// minWait is the shortest time to wait that is returned, since 0 means that there is none.
const minWait = time.Millisecond

// maxWait is the longest time to wait that is returned: longer ones may exceed a duration.
const maxWait = time.Hour

// timeUntil returns the time until an amount is available.
func (b *bucket) timeUntil(amount float64) time.Duration {
	if b.limit.Rate <= 0 {
		return minWait
	}
	seconds := (min(amount, b.limit.Burst) - b.level) / b.limit.Rate
	return max(minWait, time.Duration(min(seconds, maxWait.Seconds())*float64(time.Second)))
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
		b.outstanding -= n.outstanding(customer)
		b.level -= n.maybeKept(customer)
	}
	delete(d.nodes, name)
}

// maybeKept returns how much more than its last grant a node may have spent: if the grant did not
// reach it, it kept what it had returned before.
func (n *nodeState) maybeKept(customer string) float64 {
	return max(n.unspentBefore[customer]-n.granted[customer], 0)
}

// takeBack returns to the buckets what a node has not spent. If the node did not receive its
// last grant, that is returned in full, and what was returned before that grant is taken out
// again: it stayed with the node and may have been spent since.
func (d *Divider) takeBack(n *nodeState, r *Report, returned map[string]float64) {
	for name, b := range d.buckets {
		if n != nil {
			b.outstanding -= n.outstanding(name)
		}
		switch {
		case n == nil:
		case r.IsForeign:
			b.level -= n.maybeKept(name)
		case n.sequence != r.Sequence:
			b.level += n.granted[name] - n.unspentBefore[name]
		}
		b.level += returned[name]
		b.clip()
	}
}
