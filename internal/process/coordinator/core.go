// Package coordinator runs on the leader of the log and directs all nodes: which ruleset is in
// force, which endpoints are listed and what runs there, each node's allowances of the
// customers' limits, and the cluster time. Each leader rebuilds this state from the nodes'
// reports; only the log must survive.
package coordinator

import (
	"slices"
	"time"

	"hyssoprudder/internal/process/accountant"
	"hyssoprudder/internal/process/attributor"
	"hyssoprudder/internal/process/divider"
)

const (
	// minReportInterval is the shortest time between two reports of a node.
	minReportInterval = 250 * time.Millisecond
	// perEntryInterval is what each entry adds to that time, so that the leader's work does
	// not grow with the fleet.
	perEntryInterval = 4 * time.Millisecond
	// nodeTimeout is how long after its last report a node counts as gone.
	nodeTimeout = 3 * time.Second
	// startupWindow is how long a new leader requests reports more often, every
	// startupInterval.
	startupWindow   = time.Second
	startupInterval = 100 * time.Millisecond
	// maxClockAge is the age of a report up to which it counts for the cluster time.
	maxClockAge = 5 * time.Second
	// reviewInterval is the time between two reviews of all nodes, so that the work for one
	// report does not grow with the fleet.
	reviewInterval = 200 * time.Millisecond
	// pageInterval is the time until the next report of a node that has not received the whole
	// list yet.
	pageInterval = 20 * time.Millisecond
	// maxLoads is the approximate number of endpoints whose loads are sent to a node: those
	// with the highest load. A node's own calls are spread over fewer endpoints than that.
	maxLoads = 256
	// defaultRelayed is the number of entries from which on they report to relays, unless it is
	// configured. Below directFraction of that they report to the leader again.
	defaultRelayed = 80
	directFraction = 0.7
	// relayInterval is the time between two reports of a relay, and idleRelayInterval the time
	// while entries report to the leader.
	relayInterval     = 150 * time.Millisecond
	idleRelayInterval = time.Second
	// relayTimeout is how long after its last report a relay is named to entries.
	relayTimeout = 1200 * time.Millisecond
	// redirectInterval is the time until the next report of an entry that the leader sends to a
	// relay.
	redirectInterval = 10 * time.Millisecond
	// callWeight is the number of pending prefill tokens that weigh as much as a call.
	callWeight = 300
)

// node is the last report of a node, as the leader received it.
type node struct {
	report      Report
	receivedAt  time.Time
	clockOffset time.Duration // of the node's wall clock, relative to the leader's clock
	isSummed    bool          // its loads are included in the sums
	isRationed  bool          // its rationing is included in the sums
}

// newNode returns a node that reported at now.
func newNode(r *Report, now time.Time) *node {
	return &node{report: *r, receivedAt: now, clockOffset: time.Unix(0, r.WallClock).Sub(now)}
}

// entries returns the number of entries on whose behalf the node reports.
func (n *node) entries() int {
	switch {
	case n.report.Group != nil:
		return n.report.Group.Entries
	case n.report.Entry:
		return 1
	}
	return 0
}

// Core is the state of the leader in one term. It is a state machine without input or output
// and not safe for concurrent use.
type Core struct {
	term    uint64
	started time.Time
	nodes   map[string]*node
	list    *list
	divider *divider.Divider
	ledger  *accountant.Ledger

	attributor *attributor.Core
	isolated   []attributor.Decision // made since the last call of TakeIsolated

	evacuations    map[string]*evacuation
	hasEvacuations bool // SetEvacuations was called in this term

	said   map[noticeKey]said // what listed endpoints said to nodes
	warmth warmth

	sums              loadSums // over all nodes
	rationing         rationingSums
	relays            []RelayAddress
	relayed           int                // number of entries from which on they report to relays
	isRelayed         bool               // entries report to relays
	reports           attributor.Reports // at the last review
	reviewedAt        time.Time
	entries           int           // number of entries at the last review, plus new ones
	clusterTimeOffset time.Duration // of the cluster time, relative to the leader's clock, at the last review
}

// NewCore returns the state of a leader whose term started at now. Allowances are valid for
// allowanceLifetime, and usage is counted in windows of the given length.
func NewCore(term uint64, now time.Time, allowanceLifetime, window time.Duration) *Core {
	return &Core{
		term: term, started: now, nodes: make(map[string]*node), list: newList(term), divider: divider.New(term, allowanceLifetime),
		ledger: accountant.NewLedger(window, now), attributor: attributor.New(),
		said: make(map[noticeKey]said), warmth: newWarmth(now), evacuations: make(map[string]*evacuation),
		relayed: defaultRelayed, rationing: make(rationingSums),
	}
}

// SetRelayed sets the number of entries from which on they report to relays.
func (c *Core) SetRelayed(entries int) { c.relayed = entries }

// Term returns the term of the log that the core belongs to.
func (c *Core) Term() uint64 { return c.term }

// Age returns how long this node has been the leader.
func (c *Core) Age(now time.Time) time.Duration { return now.Sub(c.started) }

// Ledger returns the usage counted by the nodes.
func (c *Core) Ledger() *accountant.Ledger { return c.ledger }

// Endpoints returns the newest list by position; positions without an ID are empty. ok is
// false until the list has been read.
func (c *Core) Endpoints() (byPosition []Endpoint, ok bool) {
	return c.list.byPosition, c.list.isLoaded()
}

// SetEndpoints replaces the list of endpoints by one that was read at now. It reports whether the
// list changed.
func (c *Core) SetEndpoints(endpoints []Endpoint, now time.Time) bool {
	return c.ReadEndpoints(endpoints, now, now)
}

// SetLimits replaces the limits of customers.
func (c *Core) SetLimits(limits map[string]divider.Limit, now time.Time) {
	c.divider.SetLimits(limits, now)
}

// HandleReport processes a report that was received at now and returns the directive for it.
func (c *Core) HandleReport(r *Report, now time.Time) Directive {
	if now.Sub(c.reviewedAt) >= reviewInterval {
		c.review(now)
	}
	if r.Entry && c.isRelayed && !r.NeedsLeader && len(c.relays) > 0 {
		return c.redirect(now)
	}
	AssumeUrgent(r.Loads, r.LoadFields)
	c.replaceReport(r, now)
	c.recordNotices(r, now)
	c.ledger.Add(r.Node, r.Incarnation, r.Usage)
	if c.Age(now) < startupWindow {
		c.review(now)
	}
	d := c.newDirective(now)
	switch {
	case r.Group != nil:
		c.addGroup(r.Group)
		d.ReportInterval = c.relayInterval(now)
	case !r.Entry:
		return d
	}
	c.attribute(r, &d, now)
	report := divider.Report{
		Node: r.Node, Incarnation: r.Incarnation, Sequence: r.Sequence, Unspent: r.Unspent, Demand: r.Demand, IsForeign: r.Granter != 0,
	}
	if r.Group != nil {
		report.Held = r.Group.Held
	}
	d.Rationing = c.rationing.export()
	grant := c.divider.Renew(&report, now)
	d.Allowances, d.Sequence = grant.Allowances, grant.Sequence
	if c.list.isLoaded() {
		c.list.fillDirective(&d, r.ListID, r.Received)
		if d.Received < d.Length {
			d.ReportInterval = pageInterval
		}
		c.grantWarmups(r, &d, now)
		d.Loads = ReadableLoads(c.sums.except(c.nodes[r.Node].summedLoads()), r.LoadFields)
	}
	return d
}

// newDirective returns a directive with what all nodes are told.
func (c *Core) newDirective(now time.Time) Directive {
	d := Directive{
		Leads: true, LoadFields: LoadFields, ListID: c.list.version, ClusterTime: now.Add(c.clusterTimeOffset).UnixNano(), AllowanceLifetime: c.divider.AllowanceLifetime(), Entries: c.entries,
	}
	if c.isRelayed {
		d.Relays = c.relays
	}
	d.Evacuated, d.EvacuationNumber = c.evacuated()
	d.ReportInterval = c.entryInterval(now)
	return d
}

// entryInterval returns the time between two reports of an entry to the leader.
func (c *Core) entryInterval(now time.Time) time.Duration {
	return max(c.minInterval(now), time.Duration(c.entries)*perEntryInterval)
}

// minInterval returns the shortest time between two reports of an entry.
func (c *Core) minInterval(now time.Time) time.Duration {
	if c.Age(now) < startupWindow {
		return startupInterval
	}
	return minReportInterval
}

// redirect returns the directive for an entry that is to report to a relay. It confirms the
// rules and costs the leader little, since all entries may come at once.
func (c *Core) redirect(now time.Time) Directive {
	d := c.newDirective(now)
	d.IsPartial, d.ReportInterval = true, redirectInterval
	return d
}

func (c *Core) relayInterval(now time.Time) time.Duration {
	switch {
	case c.Age(now) < startupWindow:
		return startupInterval
	case c.isRelayed:
		return relayInterval
	}
	return idleRelayInterval
}

// addGroup adds what a relay reports on its group.
func (c *Core) addGroup(g *Group) {
	for i := range g.Usage {
		c.ledger.Add(g.Usage[i].Node, g.Usage[i].Incarnation, g.Usage[i].Windows)
	}
}

// Take grants a node what waiting calls need beyond its allowances.
func (c *Core) Take(r *AllowanceRequest, now time.Time) AllowanceReply {
	reply := AllowanceReply{Granted: make(map[string]float64), Waits: make(map[string]time.Duration), Lifetime: c.divider.AllowanceLifetime()}
	if reply.MustReport = !c.divider.Knows(r.Node, r.Incarnation, r.Sequence); reply.MustReport {
		return reply
	}
	for customer, s := range r.Shortages {
		request := divider.Request{Node: r.Node, Incarnation: r.Incarnation, Sequence: r.Sequence, Customer: customer, Amount: s.Amount, Least: s.Least}
		granted, wait := c.divider.Take(&request, now)
		switch {
		case granted > 0:
			reply.Granted[customer] = granted
		case wait > 0:
			reply.Waits[customer] = wait
		}
	}
	return reply
}

// attribute passes a node's evidence of crashes to the attributor and fills in what it decided.
func (c *Core) attribute(r *Report, d *Directive, now time.Time) {
	clusterTime := now.Add(c.clusterTimeOffset)
	d.HasIsolations = c.Age(now) >= nodeTimeout
	c.attributor.SetAdopting(!d.HasIsolations)
	if !d.HasIsolations {
		c.attributor.Adopt(r.Isolations, clusterTime)
		c.attributor.AdoptSuspects(r.Suspects, clusterTime)
	}
	for i := range r.Crashes {
		c.attributor.Add(&r.Crashes[i], r.Node)
	}
	for _, a := range r.Answers {
		c.attributor.Answer(a)
	}
	if isolated, ok := c.attributor.Review(clusterTime, c.reports); ok {
		c.isolated = append(c.isolated, isolated)
	}
	d.InformedAt = clusterTime.UnixNano()
	d.Suspects, d.Isolations = c.attributor.Suspects(), c.attributor.Isolations(clusterTime)
}

// TakeIsolated returns the decisions to isolate something since the last call.
func (c *Core) TakeIsolated() []attributor.Decision {
	isolated := c.isolated
	c.isolated = nil
	return isolated
}

// replaceReport replaces a node's last report.
func (c *Core) replaceReport(r *Report, now time.Time) {
	last := c.nodes[r.Node]
	c.removeLoads(last)
	c.rationing.remove(last)
	n := newNode(r, now)
	c.rationing.include(n)
	c.entries += n.entries()
	if last != nil {
		c.entries -= last.entries()
	}
	c.nodes[r.Node] = n
	if r.ListID.Term != c.term {
		return // its positions refer to another leader's list
	}
	n.isSummed = true
	c.sums.add(r.Loads)
}

// removeLoads subtracts the loads of a node from the sums.
func (c *Core) removeLoads(n *node) {
	if n == nil || !n.isSummed {
		return
	}
	n.isSummed = false
	c.sums.subtract(n.report.Loads)
}

// summedLoads returns the loads of the node that are included in the sums.
func (n *node) summedLoads() []Load {
	if !n.isSummed {
		return nil
	}
	return n.report.Loads
}

// review updates what depends on all nodes: it removes the loads of nodes that are gone, evicts
// nodes whose reports are too old for the cluster time, and computes the number of entries, the
// cluster time and the weight threshold again.
func (c *Core) review(now time.Time) {
	c.reviewedAt, c.entries, c.relays = now, 0, nil
	for name, n := range c.nodes {
		if now.Sub(n.receivedAt) > nodeTimeout {
			c.removeLoads(n)
			c.rationing.remove(n)
		}
		switch {
		case now.Sub(n.receivedAt) > maxClockAge:
			delete(c.nodes, name)
		case now.Sub(n.receivedAt) < nodeTimeout:
			c.entries += n.entries()
		}
		if g := n.report.Group; g != nil && now.Sub(n.receivedAt) < relayTimeout {
			c.relays = append(c.relays, RelayAddress{Address: g.Address, Domain: g.Domain})
		}
	}
	slices.SortFunc(c.relays, func(a, b RelayAddress) int { return a.Address.Compare(b.Address) })
	c.isRelayed = c.entries >= c.relayed || c.isRelayed && float64(c.entries) > directFraction*float64(c.relayed)
	c.clusterTimeOffset = c.ClusterTimeOffset(now)
	c.sums.review()
	c.reviewReports(now)
}

// TotalLoads returns the load of each endpoint over all nodes, by position in the list.
func (c *Core) TotalLoads(now time.Time) []Load {
	c.review(now)
	return c.sums.all()
}

// Refused returns how many calls to a service the nodes have refused since they started.
func (c *Core) Refused(service string) uint64 {
	sum := uint64(0)
	for _, n := range c.nodes {
		sum += n.report.Refused[service]
	}
	return sum
}

// Counts returns the nodes' counters of calls to services that are moving.
func (c *Core) Counts() [][]byte {
	var out [][]byte
	for _, n := range c.nodes {
		if len(n.report.Counts) > 0 {
			out = append(out, n.report.Counts)
		}
		if n.report.Group != nil {
			out = append(out, n.report.Group.Counts...)
		}
	}
	return out
}

// ClusterTimeOffset returns how far the cluster time is ahead of the leader's clock: the median
// over all nodes, so that a few wrong clocks have no effect. The cluster time that commands carry
// is computed by package keeper from the voters alone.
func (c *Core) ClusterTimeOffset(now time.Time) time.Duration {
	var offsets []time.Duration
	for _, n := range c.nodes {
		if n.report.WallClock != 0 && now.Sub(n.receivedAt) < maxClockAge {
			offsets = append(offsets, n.clockOffset)
		}
	}
	if len(offsets) == 0 {
		return 0
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
