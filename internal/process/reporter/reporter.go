// Package reporter sends a node's reports to the leading keeper and applies the directives in
// the answers. It finds the leader, and tracks the age of the last confirmation of the rules.
package reporter

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

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
	// defaultInterval is the time between reports until the leader sets another one.
	defaultInterval = 250 * time.Millisecond
)

// Config configures a Reporter.
type Config struct {
	Clock clock.Clock // must advance while the machine is suspended
	Log   *log.Logger
	// Call sends a request to another node and waits for the reply.
	Call func(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
	// Local answers a report if this node is a keeper; otherwise it is nil.
	Local func(*coordinator.Report) coordinator.Directive
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
	answered  chan struct{} // closed when the next report has been answered or has failed
	pending   chan struct{} // closed when the report in flight has been answered or has failed
}

// New returns a reporter that is not yet started.
func New(c Config) *Reporter {
	r := &Reporter{config: c, quit: make(chan struct{}), done: make(chan struct{}), reportNow: make(chan struct{}, 1), answered: make(chan struct{}), seeds: c.Seeds}
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
	var report coordinator.Report
	r.config.Fill(&report)
	sent := r.config.Clock.Now()
	if r.config.Local != nil {
		if d := r.config.Local(&report); d.Leads {
			return r.accept(&d, sent)
		}
	}
	to, timeout := r.target()
	var d coordinator.Directive
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	err := r.config.Call(ctx, to, coordinator.BeatMethod, &report, &d)
	if err != nil || !d.Leads {
		r.fail(to, &d, err)
		return retryDelay
	}
	return r.accept(&d, sent)
}

func (r *Reporter) accept(d *coordinator.Directive, sent time.Time) time.Duration {
	isNewest := r.config.Apply(d, sent)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing {
		r.failing = false
		r.config.Log.Info("leader answers again", "leader", d.Leader)
	}
	r.keepers, r.leader, r.probed = d.Keepers, d.Leader, 0
	r.named, r.namedAt = d.RulesetNumber, sent
	if isNewest && sent.After(r.confirmed) {
		r.confirmed = sent
	}
	close(r.pending)
	if d.ReportInterval <= 0 {
		return defaultInterval
	}
	return d.ReportInterval
}

// target returns the leader if it is known, otherwise the next keeper, and the timeout for it.
func (r *Reporter) target() (netip.AddrPort, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader.IsValid() {
		return r.leader, callTimeout
	}
	candidates := slices.Concat(r.keepers, r.seeds)
	round := r.probed / len(candidates)
	r.next++
	r.probed++
	return candidates[r.next%len(candidates)], min(time.Duration(1+round)*probeTimeout, callTimeout)
}

// fail discards a leader that did not answer as the leader.
func (r *Reporter) fail(addr netip.AddrPort, d *coordinator.Directive, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Waiting callers check again and request another report.
	close(r.pending)
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
