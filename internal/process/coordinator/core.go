// Package coordinator directs all nodes from the one that leads the log: which
// ruleset is in force, which endpoints there are and what runs there, each node's
// part of customers' limits, and the agreed time. What it knows is made anew
// from the nodes' reports by each leader; only the log must survive.
package coordinator

import (
	"slices"
	"time"

	"hyssoprudder/internal/process/accountant"
	"hyssoprudder/internal/process/divider"
)

const (
	// minPause is the shortest time between two reports of a node.
	minPause = 250 * time.Millisecond
	// nodePause is what each entry adds to that time, so that the work of the
	// leader does not grow with the fleet.
	nodePause = 4 * time.Millisecond
	// goneAfter is how long after its last report a node counts as gone.
	goneAfter = 3 * time.Second
	// youngTime is for how long a leader asks for reports more often, and youngPause
	// is the time between them then.
	youngTime  = time.Second
	youngPause = 100 * time.Millisecond
	// clockAge is how old a report may be to count for the agreed time.
	clockAge = 5 * time.Second
	// reviewPause is the time between two looks at all nodes, so that the work for
	// one report does not grow with the fleet.
	reviewPause = 200 * time.Millisecond
	// pagePause is the time until the next report of a node that lacks a part of the
	// list.
	pagePause = 20 * time.Millisecond
	// maxLoads is about the number of endpoints whose loads a node is told: those with
	// most to do. A node's own calls are spread over fewer than that.
	maxLoads = 256
	// callWeight is the number of unread tokens that weigh as much as a call.
	callWeight = 300
)

// node is what the leader knows of a node.
type node struct {
	report   Report
	at       time.Time
	ahead    time.Duration // of its time of day against the leader's clock
	isSummed bool          // its loads are in the sums
}

// Core is the state of the leader in one term. It is a state machine without
// input or output and not safe for concurrent use.
type Core struct {
	term    uint64
	started time.Time
	nodes   map[string]*node
	list    *list
	divider *divider.Divider
	ledger  *accountant.Ledger

	sums     []Load // of all nodes, by place in the list
	reviewed time.Time
	serving  int           // entries, at the last review
	ahead    time.Duration // of the agreed time, at the last review
	least    uint64        // weight of the loads that nodes are told, at the last review
}

// NewCore returns the state of a leader whose term began at now. Allowances
// last for share, and usage is counted in windows of the given length.
func NewCore(term uint64, now time.Time, share, window time.Duration) *Core {
	return &Core{
		term: term, started: now, nodes: make(map[string]*node), list: newList(term), divider: divider.New(term, share),
		ledger: accountant.NewLedger(window, now),
	}
}

// Term returns the term of the log that the core belongs to.
func (c *Core) Term() uint64 { return c.term }

// Age returns for how long this node has led.
func (c *Core) Age(now time.Time) time.Duration { return now.Sub(c.started) }

// Ledger returns the usage of the nodes.
func (c *Core) Ledger() *accountant.Ledger { return c.ledger }

// Endpoints returns the newest list by places, of which those without an ID are
// empty; ok is false before it was read.
func (c *Core) Endpoints() (places []Endpoint, ok bool) { return c.list.places, c.list.isRead() }

// SetEndpoints takes over a reading of the list. It reports whether it differs.
func (c *Core) SetEndpoints(endpoints []Endpoint, now time.Time) bool {
	if !c.list.read(endpoints, now) {
		return false
	}
	for len(c.sums) < len(c.list.places) {
		c.sums = append(c.sums, Load{})
	}
	return true
}

// SetLimits replaces the limits of customers.
func (c *Core) SetLimits(limits map[string]divider.Limit, now time.Time) {
	c.divider.SetLimits(limits, now)
}

// Beat takes a report that arrived at now and answers it.
func (c *Core) Beat(r *Report, now time.Time) Directive {
	c.note(r, now)
	c.ledger.Add(r.Node, r.Incarnation, r.Usage)
	if now.Sub(c.reviewed) >= reviewPause || c.Age(now) < youngTime {
		c.review(now)
	}
	d := Directive{
		Leads: true, Table: c.list.table, Time: now.Add(c.ahead).UnixNano(), Lasting: c.divider.Length(), Entries: c.serving,
	}
	d.Pause = max(minPause, time.Duration(d.Entries)*nodePause)
	if c.Age(now) < youngTime {
		d.Pause = max(youngPause, time.Duration(d.Entries)*nodePause)
	}
	if !r.Entry {
		return d
	}
	grant := c.divider.Renew(&divider.Report{
		Node: r.Node, Incarnation: r.Incarnation, Sequence: r.Sequence, Left: r.Left, Demand: r.Demand, Wants: r.Wants,
	}, now)
	d.Allowances, d.Sequence = grant.Allowances, grant.Sequence
	if c.list.isRead() {
		c.list.direct(&d, r.Table, r.Held)
		if d.Held < d.Places {
			d.Pause = pagePause
		}
		d.Loads = c.loads(c.nodes[r.Node], c.least)
	}
	return d
}

// note takes the place of a node's last report.
func (c *Core) note(r *Report, now time.Time) {
	last := c.nodes[r.Node]
	c.unsum(last)
	if last == nil && r.Entry {
		c.serving++
	}
	o := &node{report: *r, at: now, ahead: time.Unix(0, r.Wall).Sub(now)}
	c.nodes[r.Node] = o
	if r.Table.Term != c.term {
		return // its places are those of another leader's list
	}
	o.isSummed = true
	for _, l := range r.Loads {
		if int(l.Place) < len(c.sums) {
			c.sums[l.Place].add(l)
		}
	}
}

// unsum takes the loads of a node out of the sums.
func (c *Core) unsum(o *node) {
	if o == nil || !o.isSummed {
		return
	}
	o.isSummed = false
	for _, l := range o.report.Loads {
		if int(l.Place) < len(c.sums) {
			c.sums[l.Place].subtract(l)
		}
	}
}

// review looks at all nodes: those that are gone run nothing and are forgotten.
func (c *Core) review(now time.Time) {
	c.reviewed, c.serving = now, 0
	for name, o := range c.nodes {
		if now.Sub(o.at) > goneAfter {
			c.unsum(o)
		}
		switch {
		case now.Sub(o.at) > clockAge:
			delete(c.nodes, name)
		case o.report.Entry && now.Sub(o.at) < goneAfter:
			c.serving++
		}
	}
	c.ahead, c.least = c.Ahead(now), c.leastWeight()
}

// weight tells how much there is to do at an endpoint.
func (l *Load) weight() uint64 { return uint64(l.Unread) + callWeight*uint64(l.Calls) }

// leastWeight returns the weight that about maxLoads endpoints exceed.
func (c *Core) leastWeight() uint64 {
	if len(c.sums) <= maxLoads {
		return 0
	}
	weights := make([]uint64, len(c.sums))
	for place := range c.sums {
		weights[place] = c.sums[place].weight()
	}
	slices.Sort(weights)
	return weights[len(weights)-maxLoads]
}

// loads returns what the nodes other than one have under way, where that weighs
// enough.
func (c *Core) loads(except *node, least uint64) []Load {
	own := make(map[uint16]Load, len(except.report.Loads))
	if except.isSummed {
		for _, l := range except.report.Loads {
			sum := own[l.Place]
			sum.add(l)
			own[l.Place] = sum
		}
	}
	var out []Load
	for place, l := range c.sums {
		if l.Calls == 0 || l.weight() < least {
			continue
		}
		l.Place = uint16(place)
		l.subtract(own[l.Place])
		if l.Calls > 0 {
			out = append(out, l)
		}
	}
	return out
}

func (l *Load) add(o Load) {
	l.Calls += o.Calls
	l.Waiting += o.Waiting
	l.Unread += o.Unread
	l.Held += o.Held
}

func (l *Load) subtract(o Load) {
	l.Calls -= o.Calls
	l.Waiting -= o.Waiting
	l.Unread -= o.Unread
	l.Held -= o.Held
}

// Under returns what all nodes have under way, by place in the list.
func (c *Core) Under(now time.Time) []Load {
	c.review(now)
	return c.loads(&node{}, 0)
}

// Refused returns how many calls to a service the nodes refused, since their starts.
func (c *Core) Refused(service string) uint64 {
	sum := uint64(0)
	for _, o := range c.nodes {
		sum += o.report.Refused[service]
	}
	return sum
}

// Counts returns what the nodes counted of the calls of services that move.
func (c *Core) Counts() [][]byte {
	var out [][]byte
	for _, o := range c.nodes {
		if len(o.report.Counts) > 0 {
			out = append(out, o.report.Counts)
		}
	}
	return out
}

// Ahead returns how far the agreed time of day is ahead of the leader's clock:
// the median over all nodes, so that the clocks of a few don't count.
func (c *Core) Ahead(now time.Time) time.Duration {
	var all []time.Duration
	for _, o := range c.nodes {
		if now.Sub(o.at) < clockAge {
			all = append(all, o.ahead)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
