// Package reporter sends a node's reports to the leading keeper, or to the relay that the leader
// names, and applies the directives in the answers. It finds the leader, chooses the relay, and
// tracks the age of the last confirmation of the rules.
package reporter

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
)

const (
	// callTimeout bounds one report; a leader that does not answer in that time is overloaded,
	// frozen or unreachable.
	callTimeout = 450 * time.Millisecond
	// probeTimeout bounds a report while no leader is known, in the first round over all
	// keepers; it grows by as much with each further round. A running keeper answers within a
	// few milliseconds, and one without power never does.
	probeTimeout = 120 * time.Millisecond
	// retryDelay is the time until the next try after a report that no leader answered.
	retryDelay = 60 * time.Millisecond
	// minInterval is the shortest time between two reports.
	minInterval = 15 * time.Millisecond
	// relayTimeout bounds one report to a relay; there are others.
	relayTimeout = 300 * time.Millisecond
	// maxRelayAge is the age of what a relay knows from which on another relay is tried.
	maxRelayAge = time.Second
	// relayBackoff is how long a relay is avoided that did not answer or was cut off from the
	// leader, and emptyRelayBackoff how long one is that has heard of no leader yet.
	relayBackoff      = 3 * time.Second
	emptyRelayBackoff = 200 * time.Millisecond
	// takeTimeout bounds a request for allowances.
	takeTimeout = 250 * time.Millisecond
	// defaultInterval is the time between reports until the leader sets another one.
	defaultInterval = 250 * time.Millisecond
)

// Config configures a Reporter.
type Config struct {
	Clock clock.Clock // must advance while the machine is suspended
	Log   *log.Logger
	// Call sends a request to another node and waits for the reply.
	Call func(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
	// Local answers a report if this node is a keeper; otherwise it is nil. LocalTake does the
	// same for a request for allowances, if this node is the leader.
	Local     func(*coordinator.Report) coordinator.Directive
	LocalTake func(*coordinator.AllowanceRequest) (coordinator.AllowanceReply, bool)
	// Node and Domain are the name and the failure domain of this node.
	Node   string
	Domain string
	// Seeds are the keepers to contact first.
	Seeds []netip.AddrPort
	// Fill fills in a report.
	Fill func(*coordinator.Report)
	// Apply applies the directive that answered a report sent at the given time. It returns
	// whether the newest ruleset is then in force at this node.
	Apply func(d *coordinator.Directive, sent time.Time) bool
}

// Reporter maintains the contact of a node with the leader. It is safe for concurrent use.
type Reporter struct {
	config    Config
	quit      chan struct{}
	done      chan struct{}
	reportNow chan struct{}
	ctx       context.Context //nolint:containedctx // cancels the call in flight at Stop
	cancel    context.CancelFunc

	mu        sync.Mutex
	confirmed time.Time
	named     uint64    // ruleset that the last answer named
	namedAt   time.Time // when the report with that answer was sent
	seeds     []netip.AddrPort
	keepers   []netip.AddrPort
	leader    netip.AddrPort
	next      int
	probed    int // keepers that were contacted since the last answer of a leader
	failing   bool
	listed    []coordinator.RelayAddress // relays as the last answer named them; none if nodes report to the leader
	relays    []coordinator.RelayAddress // the same in the order of preference
	avoided   map[netip.AddrPort]time.Time
	readers   coordinator.Readers
	source    netip.AddrPort // who answered last; invalid for this node
	since     time.Time      // when source answered for the first time
	answered  chan struct{}  // closed when the next report has been answered or has failed
	pending   chan struct{}  // closed when the report in flight has been answered or has failed
}

// New returns a reporter that is not yet started.
func New(c Config) *Reporter {
	r := &Reporter{config: c, quit: make(chan struct{}), done: make(chan struct{}), reportNow: make(chan struct{}, 1), answered: make(chan struct{}), seeds: c.Seeds, avoided: make(map[netip.AddrPort]time.Time)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Start begins to report.
func (r *Reporter) Start() { go r.run() }

// Stop ends reporting.
func (r *Reporter) Stop() {
	close(r.quit)
	r.cancel()
	<-r.done
}

// Confirmed returns the send time of the last report whose answer confirmed that the newest
// ruleset is in force at this node. It covers everything accepted before that time.
func (r *Reporter) Confirmed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed
}

// RulesetApplied records that a ruleset is in force at this node. If the last answer named that ruleset, or an older
// one, it also confirms it, and those who wait for an answer are notified.
func (r *Reporter) RulesetApplied(number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.named == 0 || number < r.named || !r.namedAt.After(r.confirmed) {
		return
	}
	r.confirmed = r.namedAt
	close(r.answered)
	r.answered = make(chan struct{})
}

// SetSeeds replaces the keepers to contact first.
func (r *Reporter) SetSeeds(seeds []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = seeds
}

// ReportNow sends a report as soon as possible. It returns a channel that is closed when a
// report sent after this call has been answered or has failed.
func (r *Reporter) ReportNow() <-chan struct{} {
	select {
	case r.reportNow <- struct{}{}:
	default: // a report is about to be sent
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered
}

// Answered returns a channel that is closed when a report sent after this call has been
// answered or has failed. Unlike ReportNow it does not send a report sooner.
func (r *Reporter) Answered() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered
}

func (r *Reporter) run() {
	defer close(r.done)
	interval := time.Duration(0)
	for r.wait(interval) {
		interval = r.report()
	}
}

// wait waits until the next report is due. ReportNow shortens the wait.
func (r *Reporter) wait(interval time.Duration) bool {
	minWait := min(interval, minInterval)
	if !clock.Sleep(r.config.Clock, minWait, r.quit) {
		return false
	}
	timer := r.config.Clock.NewTimer(interval - minWait)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-r.reportNow:
	case <-r.quit:
		return false
	}
	// The next report covers all requests made up to now.
	select {
	case <-r.reportNow:
	default:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = r.answered
	r.answered = make(chan struct{})
	return true
}

// report sends one report and returns the time until the next one.
func (r *Reporter) report() time.Duration {
	report := coordinator.Report{LoadFields: coordinator.LoadFields}
	r.config.Fill(&report)
	sent := r.config.Clock.Now()
	if r.config.Local != nil {
		if d := r.config.Local(&report); d.Leads {
			return r.accept(netip.AddrPort{}, &d, sent)
		}
	}
	to, timeout, isRelay := r.target(sent)
	report.IsRedirected, report.NeedsLeader = isRelay, !isRelay && r.hasRelays()
	report.Loads = coordinator.ReadableLoads(report.Loads, r.loadFields(to))
	var d coordinator.Directive
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	err := r.config.Call(ctx, to, coordinator.BeatMethod, &report, &d)
	switch {
	case err == nil && d.Leads:
		return r.accept(to, &d, sent)
	case isRelay:
		r.failRelay(to, &d, err)
	default:
		r.fail(to, &d, err)
	}
	return retryDelay
}

// loadFields returns the number of fields of a load that may be sent to a node.
func (r *Reporter) loadFields(to netip.AddrPort) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers.Fields(to)
}

func (r *Reporter) accept(from netip.AddrPort, d *coordinator.Directive, sent time.Time) time.Duration {
	confirmedAt := sent.Add(-d.Age)
	isNewest := r.config.Apply(d, sent)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing {
		r.failing = false
		r.config.Log.Info("leader answers again", "leader", d.Leader)
	}
	r.keepers, r.leader, r.probed = d.Keepers, d.Leader, 0
	r.setRelays(d.Relays)
	r.readers.Record(from, d.LoadFields)
	if !d.IsPartial {
		r.setSource(from, d)
	}
	if d.Age > maxRelayAge {
		r.avoided[from] = sent.Add(relayBackoff)
	}
	if !confirmedAt.Before(r.namedAt) {
		r.named, r.namedAt = d.RulesetNumber, confirmedAt
	}
	if isNewest && confirmedAt.After(r.confirmed) {
		r.confirmed = confirmedAt
	}
	close(r.pending)
	if d.ReportInterval <= 0 {
		return defaultInterval
	}
	return d.ReportInterval
}

// setSource records who sends the node its directives.
func (r *Reporter) setSource(from netip.AddrPort, d *coordinator.Directive) {
	if r.source == from && !r.since.IsZero() {
		return
	}
	r.source, r.since = from, r.config.Clock.Now()
	r.config.Log.Info("reporting", "to", from, "is_relay", d.Granter != 0, "age", d.Age)
}

// Source returns the keeper that sends this node its directives, and since when.
func (r *Reporter) Source() (netip.AddrPort, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.source, r.since
}

// setRelays sets the relays, those of the own failure domain first. The order within a domain
// follows from the names, so that the nodes spread evenly and keep their relays when others
// come and go.
func (r *Reporter) setRelays(relays []coordinator.RelayAddress) {
	if slices.Equal(relays, r.listed) {
		return
	}
	r.listed, r.relays = relays, slices.Clone(relays)
	slices.SortFunc(r.relays, func(a, b coordinator.RelayAddress) int {
		if isOwn := a.Domain == r.config.Domain; isOwn != (b.Domain == r.config.Domain) {
			if isOwn {
				return -1
			}
			return 1
		}
		return cmp.Compare(r.rank(a.Address), r.rank(b.Address))
	})
}

// rank returns a number that is lowest for the relay that the node prefers.
func (r *Reporter) rank(relay netip.AddrPort) uint64 {
	return xxhash.Sum64String(r.config.Node + "/" + relay.String())
}

func (r *Reporter) hasRelays() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.relays) > 0
}

// target returns the relay to report to, or the leader if it is known, or the next keeper, and
// the timeout for it. The leader itself relays nothing while there are others.
func (r *Reporter) target(now time.Time) (to netip.AddrPort, timeout time.Duration, isRelay bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, relay := range r.relays {
		if relay.Address != r.leader && !now.Before(r.avoided[relay.Address]) {
			return relay.Address, relayTimeout, true
		}
	}
	if r.leader.IsValid() {
		return r.leader, callTimeout, false
	}
	candidates := slices.Concat(r.keepers, r.seeds)
	round := r.probed / len(candidates)
	r.next++
	r.probed++
	return candidates[r.next%len(candidates)], min(time.Duration(1+round)*probeTimeout, callTimeout), false
}

// failRelay avoids a relay that did not answer, or had nothing to answer with.
func (r *Reporter) failRelay(addr netip.AddrPort, d *coordinator.Directive, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.pending)
	r.readers.Forget(addr)
	now := r.config.Clock.Now()
	if err == nil {
		r.avoided[addr] = now.Add(emptyRelayBackoff)
		if len(d.Keepers) > 0 {
			r.keepers = d.Keepers
		}
		return
	}
	r.avoided[addr] = now.Add(relayBackoff)
	r.config.Log.Warn("relay does not answer; asking another one", "relay", addr, "err", err)
}

// Take asks the keeper that grants the node's allowances for what waiting calls need.
func (r *Reporter) Take(ctx context.Context, request *coordinator.AllowanceRequest) (coordinator.AllowanceReply, bool) {
	if r.config.LocalTake != nil {
		if reply, ok := r.config.LocalTake(request); ok {
			return reply, true
		}
	}
	var reply coordinator.AllowanceReply
	to, _ := r.Source()
	if !to.IsValid() {
		return reply, false
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	if err := r.config.Call(ctx, to, coordinator.TakeMethod, request, &reply); err != nil {
		return reply, false
	}
	return reply, true
}

// fail discards a leader that did not answer as the leader.
func (r *Reporter) fail(addr netip.AddrPort, d *coordinator.Directive, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Waiting callers check again and request another report.
	close(r.pending)
	r.readers.Forget(addr)
	if !r.failing && r.leader == addr {
		r.failing = true
		r.config.Log.Warn("leader does not answer; asking the other keepers", "leader", addr, "err", err)
	}
	r.leader = netip.AddrPort{}
	if err != nil {
		return
	}
	if len(d.Keepers) > 0 {
		r.keepers = d.Keepers
	}
	if d.Leader != addr {
		r.leader = d.Leader
	}
}
