package coordinator

import (
	"maps"
	"slices"
	"time"

	"hyssoprudder/internal/process/accountant"
	"hyssoprudder/internal/process/attributor"
	"hyssoprudder/internal/process/divider"
	"hyssoprudder/internal/process/warmer"
)

const (
	// minGroupInterval and maxGroupInterval bound the time between two reports of an entry to a
	// relay, and perMemberInterval is what each entry of the group adds to it, suspectInterval while the leader
	// suspects something to crash endpoints: a decision takes several reports.
	minGroupInterval  = 250 * time.Millisecond
	maxGroupInterval  = time.Second
	perMemberInterval = 16 * time.Millisecond
	suspectInterval   = 8 * time.Millisecond
	// maxUsageAge is how long after its end the usage of a window is passed on.
	maxUsageAge = 30 * time.Second
)

// GroupConfig configures a GroupCore.
type GroupConfig struct {
	Node        string
	Incarnation uint64
	Address     RelayAddress
	// Window is the length of a usage window.
	Window time.Duration
}

// usageKey identifies the usage that an incarnation of an entry counted in a window.
type usageKey struct {
	node        string
	incarnation uint64
	window      int64
}

// usageRecord is such usage, and the term of the leader that has confirmed it.
type usageRecord struct {
	calls       map[string]int
	confirmedBy uint64
	sentTo      uint64 // term of the leader to which the last report was sent with it
}

// GroupCore is the state of a relay: the sums of what its entries report, and what the leader
// told it last. It answers the entries from that and reports the sums to the leader. It is a
// state machine without input or output and not safe for concurrent use.
type GroupCore struct {
	config            GroupConfig
	members           map[string]*node
	seen              map[string]time.Time // entries that were sent on to the leader
	sums              loadSums             // over the entries
	pool              *divider.Pool
	usage             map[usageKey]*usageRecord
	refused           map[string]uint64
	rationing         rationingSums // over the entries
	otherRationing    rationingSums // of the nodes of other groups, as the leader told
	reportedRationing Rationing

	leader        Directive // the last one of a leader
	confirmedAt   time.Time // when the report that it answered was sent
	clusterOffset time.Duration
	list          *list
	received      int
	total         loadSums // with the loads of the nodes of other groups
	sweptAt       time.Time
	warmth        groupWarmth
}

// NewGroupCore returns the state of a relay that has not reported yet.
func NewGroupCore(c GroupConfig) *GroupCore {
	return &GroupCore{
		config: c, members: make(map[string]*node), seen: make(map[string]time.Time), pool: divider.NewPool(c.Incarnation),
		usage: make(map[usageKey]*usageRecord), refused: make(map[string]uint64), list: newList(0), warmth: groupWarmth{granter: warmer.NewGranter(time.Time{})},
		rationing: make(rationingSums),
	}
}

// ConfirmedAt returns when the last report was sent that a leader answered.
func (g *GroupCore) ConfirmedAt() time.Time { return g.confirmedAt }

// Members returns the number of entries that report to the relay.
func (g *GroupCore) Members() int { return len(g.members) }

// HandleReport processes the report of an entry and returns the directive for it. It reports
// false if the entry has to report to the leader.
func (g *GroupCore) HandleReport(r *Report, now time.Time) (Directive, bool) {
	g.sweep(now)
	if g.confirmedAt.IsZero() || !r.IsRedirected && len(g.leader.Relays) == 0 {
		g.seen[r.Node] = now
		return Directive{}, false
	}
	delete(g.seen, r.Node)
	AssumeUrgent(r.Loads, r.LoadFields)
	g.replaceReport(r, now)
	g.addUsage(r)
	d := Directive{
		Leads: true, LoadFields: LoadFields, Age: now.Sub(g.confirmedAt), Relays: g.leader.Relays, RulesetNumber: g.leader.RulesetNumber, Entries: max(g.leader.Entries, 1),
		ClusterTime: now.Add(g.clusterOffset).UnixNano(), ReportInterval: g.interval(), MovesID: g.leader.MovesID,
		Suspects: g.leader.Suspects, Isolations: g.leader.Isolations, HasIsolations: g.leader.HasIsolations, InformedAt: g.leader.InformedAt,
		Evacuated: g.leader.Evacuated, EvacuationNumber: g.leader.EvacuationNumber,
	}
	if r.MovesID != d.MovesID {
		d.Moves = g.leader.Moves
	}
	d.Rationing = g.rationing.plus(g.otherRationing).export()
	g.grant(r, &d, now)
	if g.isListComplete() && !g.list.isOlderThan(r.ListID) {
		g.list.fillDirective(&d, r.ListID, r.Received)
		if d.Received < d.Length {
			d.ReportInterval = pageInterval
		}
		g.grantWarmups(r, &d, now)
		d.Loads = ReadableLoads(g.total.except(g.members[r.Node].summedLoads()), r.LoadFields)
	}
	return d, true
}

// grant renews the allowances of an entry.
func (g *GroupCore) grant(r *Report, d *Directive, now time.Time) {
	grant, lifetime := g.pool.Renew(&divider.Report{
		Node: r.Node, Incarnation: r.Incarnation, Sequence: r.Sequence, Unspent: r.Unspent, Demand: r.Demand, IsForeign: r.Granter != g.config.Incarnation,
	}, now)
	d.Allowances, d.Sequence, d.AllowanceLifetime, d.Granter = grant.Allowances, grant.Sequence, lifetime, g.config.Incarnation
}

// interval returns the time between two reports of an entry.
func (g *GroupCore) interval() time.Duration {
	perMember := perMemberInterval
	if len(g.leader.Suspects) > 0 {
		perMember = suspectInterval
	}
	return min(max(minGroupInterval, time.Duration(len(g.members))*perMember), maxGroupInterval)
}

func (g *GroupCore) isListComplete() bool {
	return g.list.isLoaded() && g.received == len(g.list.byPosition)
}

// isOlderThan reports whether the list is older than a version that a node has.
func (l *list) isOlderThan(known ListID) bool {
	return l.version.Term < known.Term || l.version.Term == known.Term && l.version.Number < known.Number
}

// replaceReport replaces an entry's last report.
func (g *GroupCore) replaceReport(r *Report, now time.Time) {
	last := g.members[r.Node]
	g.removeLoads(last)
	if last != nil && last.report.Incarnation == r.Incarnation {
		for service, count := range r.Refused {
			if before := last.report.Refused[service]; count > before {
				g.refused[service] += count - before
			}
		}
	}
	g.rationing.remove(last)
	m := newNode(r, now)
	g.rationing.include(m)
	g.members[r.Node] = m
	if r.ListID.Term == g.list.version.Term {
		m.isSummed = true
		g.sums.add(r.Loads)
		g.total.add(r.Loads)
	}
}

func (g *GroupCore) removeLoads(m *node) {
	if m != nil && m.isSummed {
		m.isSummed = false
		g.sums.subtract(m.report.Loads)
		g.total.subtract(m.report.Loads)
	}
}

// sweep removes the entries whose reports are too old.
func (g *GroupCore) sweep(now time.Time) {
	if now.Sub(g.sweptAt) < reviewInterval {
		return
	}
	g.sweptAt = now
	for name, m := range g.members {
		if now.Sub(m.receivedAt) > nodeTimeout {
			g.removeLoads(m)
			g.rationing.remove(m)
			delete(g.members, name)
		}
	}
	maps.DeleteFunc(g.seen, func(_ string, at time.Time) bool { return now.Sub(at) > nodeTimeout })
	clusterTime := now.Add(g.clusterOffset)
	maps.DeleteFunc(g.usage, func(k usageKey, _ *usageRecord) bool {
		return clusterTime.Sub(accountant.End(k.window, g.config.Window)) > maxUsageAge
	})
}

// addUsage records what an entry counted. A count that has changed has to be confirmed again.
func (g *GroupCore) addUsage(r *Report) {
	for _, w := range r.Usage {
		key := usageKey{r.Node, r.Incarnation, w.Window}
		if known := g.usage[key]; known == nil || !maps.Equal(known.calls, w.Calls) {
			g.usage[key] = &usageRecord{calls: w.Calls}
		}
	}
}

// Take grants an entry what waiting calls need beyond its allowances, if the relay has it.
// Otherwise it returns what the relay has to ask the leader for.
func (g *GroupCore) Take(r *AllowanceRequest, now time.Time) (AllowanceReply, map[string]Shortage) {
	reply, missing := AllowanceReply{Granted: make(map[string]float64)}, make(map[string]Shortage)
	if reply.MustReport = !g.pool.Knows(r.Node, r.Incarnation, r.Sequence); reply.MustReport {
		return reply, nil
	}
	for customer, s := range r.Shortages {
		granted, lifetime := g.pool.Take(&divider.Request{
			Node: r.Node, Incarnation: r.Incarnation, Sequence: r.Sequence, Customer: customer, Amount: s.Amount, Least: s.Least,
		}, now)
		if granted <= 0 {
			missing[customer] = s
			continue
		}
		reply.Granted[customer], reply.Lifetime = granted, lifetime
	}
	return reply, missing
}

// Request returns the request to the leader for what waiting calls need.
func (g *GroupCore) Request(shortages map[string]Shortage) *AllowanceRequest {
	return &AllowanceRequest{Node: g.config.Node, Incarnation: g.config.Incarnation, Sequence: g.pool.Sequence(), Shortages: shortages, IsRelay: true}
}

// AddGranted adds what the leader granted for waiting calls, as the answer to a request sent
// at sentAt.
func (g *GroupCore) AddGranted(reply *AllowanceReply, sentAt time.Time) {
	for customer, amount := range reply.Granted {
		g.pool.Add(customer, amount, sentAt.Add(reply.Lifetime))
	}
}

// Report returns the report of the group to the leader.
func (g *GroupCore) Report(now time.Time) *Report {
	g.sweep(now)
	pool := g.pool.Report(now)
	r := &Report{
		Node: g.config.Node, Incarnation: g.config.Incarnation, ListID: g.list.version, Received: g.received,
		Demand: pool.Demand, Unspent: pool.Unspent, Sequence: pool.Sequence, Refused: maps.Clone(g.refused), MovesID: g.leader.MovesID,
		Group: &Group{Address: g.config.Address.Address, Domain: g.config.Address.Domain, Entries: len(g.members) + len(g.seen), Interval: g.interval(), Held: pool.Held},
	}
	if offset, ok := g.clockOffset(); ok {
		r.WallClock = now.Add(offset).UnixNano()
	}
	r.Loads, r.LoadFields = g.sums.all(), LoadFields
	g.reportedRationing = g.rationing.export()
	r.Rationing = g.reportedRationing
	r.Group.Usage = g.endedUsage(now.Add(g.clusterOffset))
	evidence, covered := newEvidence(), newCoverage()
	for _, m := range g.members {
		evidence.add(&m.report, now.Sub(m.receivedAt))
		if now.Sub(m.receivedAt) < maxSilence*g.interval() {
			covered.add(&m.report)
		}
		if len(m.report.Counts) > 0 {
			r.Group.Counts = append(r.Group.Counts, m.report.Counts)
		}
	}
	evidence.fill(r)
	if !covered.isEmpty() {
		r.EvidenceAt, r.InformedAt = covered.evidenceAt, covered.informedAt
	}
	return r
}

// clockOffset returns the median of the entries' wall clocks relative to the relay's clock. ok is
// false if there are no entries: the relay has no clock of its own to add.
func (g *GroupCore) clockOffset() (offset time.Duration, ok bool) {
	var offsets []time.Duration
	for _, m := range g.members {
		offsets = append(offsets, m.clockOffset)
	}
	if len(offsets) == 0 {
		return 0, false
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2], true
}

// endedUsage returns the usage of ended windows that the present leader has not confirmed.
func (g *GroupCore) endedUsage(clusterTime time.Time) []SourceUsage {
	bySource := make(map[usageKey]*SourceUsage)
	for key, record := range g.usage {
		if !accountant.End(key.window, g.config.Window).Before(clusterTime) || record.confirmedBy == g.leaderTerm() && record.confirmedBy != 0 {
			continue
		}
		record.sentTo = g.leaderTerm()
		source := usageKey{node: key.node, incarnation: key.incarnation}
		if bySource[source] == nil {
			bySource[source] = &SourceUsage{Node: key.node, Incarnation: key.incarnation}
		}
		bySource[source].Windows = append(bySource[source].Windows, accountant.Counts{Window: key.window, Calls: record.calls})
	}
	var out []SourceUsage
	for _, source := range bySource {
		out = append(out, *source)
	}
	return out
}

// leaderTerm returns the term of the leader that answered last.
func (g *GroupCore) leaderTerm() uint64 { return g.leader.ListID.Term }

// Apply applies the directive of a leader that answered a report sent at sentAt.
func (g *GroupCore) Apply(d *Directive, sentAt, now time.Time) error {
	err := g.applyList(d)
	AssumeUrgent(d.Loads, d.LoadFields)
	g.otherRationing = make(rationingSums)
	g.otherRationing.add(d.Rationing, 1)
	g.otherRationing.add(g.reportedRationing, -1)
	if d.MovesID == g.leader.MovesID {
		d.Moves = g.leader.Moves
	}
	for _, record := range g.usage {
		if record.sentTo == d.ListID.Term && record.sentTo != 0 {
			record.confirmedBy = record.sentTo
		}
		record.sentTo = 0
	}
	g.clusterOffset = time.Unix(0, d.ClusterTime).Sub(now)
	g.pool.Refill(divider.Grant{Sequence: d.Sequence, Allowances: d.Allowances}, sentAt.Add(d.AllowanceLifetime))
	if g.list.version == d.ListID {
		g.total.reset(len(g.list.byPosition))
		g.total.add(g.sums.all())
		g.total.add(d.Loads)
		g.total.review()
	}
	g.applyWarmups(d, sentAt, now)
	g.leader, g.confirmedAt = *d, sentAt
	return err
}

// applyList applies the changes of the list of endpoints.
func (g *GroupCore) applyList(d *Directive) error {
	if !d.HasList() || g.list.version == d.ListID && g.received == d.Received {
		return nil
	}
	endpoints, err := d.Apply(g.list.byPosition)
	if err != nil {
		return err
	}
	if g.list.version.Term != d.ListID.Term {
		// Loads that entries reported refer to positions of another list.
		for _, m := range g.members {
			m.isSummed = false
		}
		g.sums.reset(len(endpoints))
		g.total.reset(len(endpoints))
	}
	g.list.adopt(endpoints, d)
	g.received = d.Received
	g.sums.extend(len(endpoints))
	g.total.extend(len(endpoints))
	return nil
}

// adopt replaces the list by the leader's, as a directive led to it. A position that the leader
// sent counts as changed even if it is the same as before: it may have been another one in a
// version that other relays have sent to entries meanwhile.
func (l *list) adopt(endpoints []Endpoint, d *Directive) {
	changedIn := make([]uint64, len(endpoints))
	for position := range endpoints {
		changedIn[position] = d.ListID.Number
		if !d.Reset && position < len(l.changedIn) {
			changedIn[position] = l.changedIn[position]
		}
	}
	for _, c := range d.Changes {
		if int(c.Position) < len(changedIn) {
			changedIn[c.Position] = d.ListID.Number
		}
	}
	if len(d.Page) > 0 {
		for position := max(d.Received-pageSize, 0); position < d.Received; position++ {
			changedIn[position] = d.ListID.Number
		}
	}
	l.version, l.byPosition, l.changedIn = d.ListID, endpoints, changedIn
	clear(l.pages)
}

// evidence collects what entries report of crashes, and of what endpoints said of themselves.
type evidence struct {
	crashes    map[string][]*attributor.Crash // by endpoint
	answers    map[attributor.Key]attributor.Answer
	isolations map[attributor.Key]attributor.Isolation
	suspects   map[attributor.Key]attributor.Suspect
	notices    map[noticeKey]Notice
	pauses     map[noticeKey][]time.Duration
}

func newEvidence() *evidence {
	return &evidence{
		crashes: make(map[string][]*attributor.Crash),
		answers: make(map[attributor.Key]attributor.Answer), isolations: make(map[attributor.Key]attributor.Isolation),
		suspects: make(map[attributor.Key]attributor.Suspect), notices: make(map[noticeKey]Notice), pauses: make(map[noticeKey][]time.Duration),
	}
}

// add adds a report that was received some time ago.
func (e *evidence) add(r *Report, age time.Duration) {
	for i := range r.Crashes {
		e.addCrash(&r.Crashes[i])
	}
	for _, a := range r.Answers {
		if a.At.After(e.answers[a.Key].At) {
			e.answers[a.Key] = a
		}
	}
	for _, i := range r.Isolations {
		if i.Until.After(e.isolations[i.Key].Until) {
			e.isolations[i.Key] = i
		}
	}
	for _, s := range r.Suspects {
		if known, ok := e.suspects[s.Key]; !ok || s.Crashes > known.Crashes {
			e.suspects[s.Key] = s
		}
	}
	for i := range r.Notices[:min(len(r.Notices), MaxNotices)] {
		e.addNotice(&r.Notices[i], age)
	}
}

// addCrash merges the reports of a crash, so that what is sent does not grow with the number of entries.
func (e *evidence) addCrash(reported *attributor.Crash) {
	same := e.crashes[reported.Endpoint]
	if slices.ContainsFunc(same, func(c *attributor.Crash) bool { return c.Merge(reported) }) {
		return
	}
	own := *reported
	own.Exposures = slices.Clone(reported.Exposures)
	e.crashes[reported.Endpoint] = append(same, &own)
}

func (e *evidence) addNotice(n *Notice, age time.Duration) {
	key := n.key()
	sum, ok := e.notices[key]
	if !ok {
		sum = Notice{ID: n.ID, Address: n.Address}
	}
	sum.Born = max(sum.Born, n.Born)
	sum.LeavingSince = max(sum.LeavingSince, n.LeavingSince)
	e.notices[key] = sum
	if rest := n.Pause - age; rest > 0 {
		e.pauses[key] = append(e.pauses[key], rest)
	}
}

// fill fills in a report of the group.
func (e *evidence) fill(r *Report) {
	for _, crashes := range e.crashes {
		for _, c := range crashes {
			r.Crashes = append(r.Crashes, *c)
		}
	}
	r.Answers = slices.Collect(maps.Values(e.answers))
	r.Isolations = slices.Collect(maps.Values(e.isolations))
	r.Suspects = slices.Collect(maps.Values(e.suspects))
	for key, n := range e.notices {
		if pauses := e.pauses[key]; len(pauses) > 0 {
			slices.Sort(pauses)
			n.Pause, n.Count = pauses[len(pauses)/2], len(pauses)
		}
		if len(r.Notices) < maxGroupNotices && (n.Born > 0 || n.LeavingSince > 0 || n.Count > 0) {
			r.Notices = append(r.Notices, n)
		}
	}
}
