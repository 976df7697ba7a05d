// Package reporter reports to the leading keeper and takes its directives. It
// finds the leader, and it knows how old the last confirmation of the rules is.
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
	// callTimeout bounds one report; a leader that does not answer in that time is
	// overloaded, frozen or cut off.
	callTimeout = 450 * time.Millisecond
	// searchTimeout bounds a report while no leader is known, in the first round over
	// all keepers; it grows by as much with each further one. A keeper that runs
	// answers within a few milliseconds, and one without power never.
	searchTimeout = 120 * time.Millisecond
	// failPause is the time until the next try after a report that no leader answered.
	failPause = 60 * time.Millisecond
	// hurryPause is the shortest time between two reports.
	hurryPause = 15 * time.Millisecond
	// firstPause is the time between reports until the leader names another.
	firstPause = 250 * time.Millisecond
)

// Config sets up a Reporter.
type Config struct {
	Clock clock.Clock // counts also while the machine is suspended
	Log   *log.Logger
	// Call sends a request to another node and waits for the reply.
	Call func(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
	// Local answers a report if this node is a keeper; else it is nil.
	Local func(*coordinator.Report) coordinator.Directive
	// Seeds are keepers to begin with.
	Seeds []netip.AddrPort
	// Fill completes a report.
	Fill func(*coordinator.Report)
	// Take obeys the directive that answered a report sent at a time. It reports
	// whether the node has the newest ruleset in force afterwards.
	Take func(d *coordinator.Directive, sent time.Time) bool
}

// Reporter is the tie of a node to the leader. It is safe for concurrent use.
type Reporter struct {
	config Config
	quit   chan struct{}
	done   chan struct{}
	hurry  chan struct{}
	ctx    context.Context //nolint:containedctx // ends the call under way at Stop
	cancel context.CancelFunc

	mu        sync.Mutex
	confirmed time.Time
	seeds     []netip.AddrPort
	keepers   []netip.AddrPort
	leader    netip.AddrPort
	next      int
	searched  int // keepers that were asked since the last answer of a leader
	failing   bool
	answered  chan struct{} // closed when the next report to be sent was answered
	pending   chan struct{} // closed when the one under way was answered
}

// New returns a reporter that is not yet started.
func New(c Config) *Reporter {
	r := &Reporter{config: c, quit: make(chan struct{}), done: make(chan struct{}), hurry: make(chan struct{}, 1), answered: make(chan struct{}), seeds: c.Seeds}
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

// Confirmed returns when the last report was sent whose answer confirmed that the
// newest ruleset is in force here; it covers all that was accepted before.
func (r *Reporter) Confirmed() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed
}

// SetSeeds replaces the keepers to begin with.
func (r *Reporter) SetSeeds(seeds []netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = seeds
}

// Hurry has a report sent as soon as may be. It returns a channel that is closed
// when a report that is sent from now on was answered, or was not.
func (r *Reporter) Hurry() <-chan struct{} {
	select {
	case r.hurry <- struct{}{}:
	default: // a report is about to be sent
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered
}

// Answered returns a channel that is closed when a report that is sent from now on
// was answered, or was not. Unlike Hurry it has none sent sooner.
func (r *Reporter) Answered() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answered
}

func (r *Reporter) run() {
	defer close(r.done)
	pause := time.Duration(0)
	for r.sleep(pause) {
		pause = r.report()
	}
}

// sleep waits for the next report. Hurry shortens the wait.
func (r *Reporter) sleep(pause time.Duration) bool {
	short := min(pause, hurryPause)
	if !clock.Sleep(r.config.Clock, short, r.quit) {
		return false
	}
	timer := r.config.Clock.NewTimer(pause - short)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-r.hurry:
	case <-r.quit:
		return false
	}
	// What asked for a report until now is covered by the next.
	select {
	case <-r.hurry:
	default:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = r.answered
	r.answered = make(chan struct{})
	return true
}

// report sends one report and returns the time until the next.
func (r *Reporter) report() time.Duration {
	var report coordinator.Report
	r.config.Fill(&report)
	sent := r.config.Clock.Now()
	if r.config.Local != nil {
		if d := r.config.Local(&report); d.Leads {
			return r.take(&d, sent)
		}
	}
	to, timeout := r.target()
	var d coordinator.Directive
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	err := r.config.Call(ctx, to, coordinator.BeatMethod, &report, &d)
	if err != nil || !d.Leads {
		r.fail(to, &d, err)
		return failPause
	}
	return r.take(&d, sent)
}

func (r *Reporter) take(d *coordinator.Directive, sent time.Time) time.Duration {
	isNewest := r.config.Take(d, sent)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing {
		r.failing = false
		r.config.Log.Info("leader answers again", "leader", d.Leader)
	}
	r.keepers, r.leader, r.searched = d.Keepers, d.Leader, 0
	if isNewest && sent.After(r.confirmed) {
		r.confirmed = sent
	}
	close(r.pending)
	if d.Pause <= 0 {
		return firstPause
	}
	return d.Pause
}

// target returns the leader if one is known, else the next keeper, and how long to
// wait for it.
func (r *Reporter) target() (netip.AddrPort, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leader.IsValid() {
		return r.leader, callTimeout
	}
	known := slices.Concat(r.keepers, r.seeds)
	round := r.searched / len(known)
	r.next++
	r.searched++
	return known[r.next%len(known)], min(time.Duration(1+round)*searchTimeout, callTimeout)
}

// fail forgets a leader that did not answer as one.
func (r *Reporter) fail(asked netip.AddrPort, d *coordinator.Directive, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Those that wait look again and ask for another report.
	close(r.pending)
	if !r.failing && r.leader == asked {
		r.failing = true
		r.config.Log.Warn("leader does not answer; asking the other keepers", "leader", asked, "err", err)
	}
	r.leader = netip.AddrPort{}
	if err != nil {
		return
	}
	if len(d.Keepers) > 0 {
		r.keepers = d.Keepers
	}
	if d.Leader != asked {
		r.leader = d.Leader
	}
}
