// Package submitter performs the duties that one node at a time has toward the provider: it
// reads the list of endpoints, reports the usage of each window, and orders capacity. Only the
// node that holds the lease of the log acts, with the term as its fencing number.
package submitter

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/process/registrar"
)

const (
	// leaseMargin is the minimum remaining lease for sending a call.
	leaseMargin = 150 * time.Millisecond
	// listInterval is the time between two reads of the list. Together with the time until
	// nodes receive the changes, it stays far below the time within which a leaving endpoint
	// must no longer get calls.
	listInterval = 300 * time.Millisecond
	// firstListInterval replaces listInterval until the list has been read once.
	firstListInterval = 80 * time.Millisecond
	// holderMargin is added to the time within which holders must not alternate.
	holderMargin = 300 * time.Millisecond
	// dutyInterval is the time between two checks for due duties.
	dutyInterval = 250 * time.Millisecond
	// callTimeout bounds a call to the provider.
	callTimeout = 1500 * time.Millisecond
	// listTimeout bounds reading the whole list, which may have many pages.
	listTimeout = 5 * time.Second
)

// Holder identifies the node that acts, and its fencing number.
type Holder struct {
	Name  string
	Fence uint64
}

// OutcomeKind is the kind of outcome of a call to the provider.
type OutcomeKind int

// The kinds of outcomes.
const (
	// Done means that the provider accepted the call.
	Done OutcomeKind = iota
	// Conflict means that the provider refused the call: it has seen a higher fencing number,
	// or what was ordered is unavailable.
	Conflict
	// Failed means that there was no definite answer; the call may have been accepted.
	Failed
)

// Outcome is the result of a call, with the detail that the provider returned.
type Outcome struct {
	Kind   OutcomeKind
	Detail string
}

// SizeOrder is an order for the number of instances of a service.
type SizeOrder struct {
	Service     string
	Domain      string
	Reclaimable bool
	Count       int
}

// Config configures a Submitter.
type Config struct {
	Name  string
	Clock clock.Clock
	Log   *log.Logger
	// Do runs a function with the leader's state, if this node is the leader.
	Do func(func(core *coordinator.Core, lease keeper.Lease, now time.Time)) bool
	// Propose changes the replicated state.
	Propose func(ctx context.Context, c applier.Command) (applier.Result, error)
	// Intent reads an intent from the replicated state.
	Intent func(id string) (applier.Intent, bool)
	// Table returns the committed rules, or nil.
	Table func() *registrar.Table
	// List reads the endpoints; SendUsage and SendSize send calls to the provider.
	List      func(ctx context.Context) ([]coordinator.Endpoint, error)
	SendUsage func(ctx context.Context, h Holder, window int64, counts map[string]int) Outcome
	SendSize  func(ctx context.Context, h Holder, s SizeOrder) Outcome
	// Lease is the time within which holders of a duty must not alternate.
	Lease time.Duration
	// Window is the length of a usage window; its usage is due DueAfter after its end.
	Window   time.Duration
	DueAfter time.Duration
	// IsCounted reports whether an endpoint counts for the size of its service.
	IsCounted func(e coordinator.Endpoint) bool
	// Evacuated returns the failure domains that are evacuated; nil if there are none.
	Evacuated func() []string
	// HasUsage and HasSize select the duties to run.
	HasUsage bool
	HasSize  bool
}

// Submitter performs the duties of a node.
type Submitter struct {
	config Config
	quit   chan struct{}
	group  sync.WaitGroup
	ctx    context.Context //nolint:containedctx // cancels the calls in flight at Stop
	cancel context.CancelFunc

	mu        sync.Mutex
	term      uint64    // in which this process last acted
	lastActed time.Time // time of that action, or of the start of the process
}

// New returns a submitter that is not yet started.
func New(c Config) *Submitter {
	s := &Submitter{config: c, quit: make(chan struct{}), lastActed: c.Clock.Now()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Start begins to perform the duties.
func (s *Submitter) Start() {
	s.group.Add(1)
	go (&listReader{Submitter: s}).run()
	if s.config.HasUsage {
		s.group.Add(1)
		go (&usageReporter{Submitter: s}).run()
	}
	if s.config.HasSize {
		s.group.Add(1)
		go newSizeManager(s).run()
	}
}

// Stop ends all duties.
func (s *Submitter) Stop() {
	close(s.quit)
	s.cancel()
	s.group.Wait()
}

// acquire returns the holder if this node may act now. It must be the leader, and if it last
// acted in an earlier term, that must be so long ago that no other holder can have acted in
// between. The start of the process counts as an action, since an earlier process may have
// acted shortly before.
func (s *Submitter) acquire() (Holder, bool) {
	var h Holder
	s.config.Do(func(_ *coordinator.Core, lease keeper.Lease, now time.Time) {
		if lease.Until().Sub(now) <= leaseMargin {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.term != lease.Term() && now.Sub(s.lastActed) < s.config.Lease+holderMargin {
			return
		}
		s.term, s.lastActed = lease.Term(), now
		h = Holder{Name: s.config.Name, Fence: lease.Term()}
	})
	return h, h.Fence > 0
}

// listReader reads the list of endpoints.
type listReader struct {
	*Submitter
	failing bool
}

func (s *listReader) run() {
	defer s.group.Done()
	for interval := firstListInterval; clock.Sleep(s.config.Clock, interval, s.quit); {
		isKnown := false
		leads := s.config.Do(func(core *coordinator.Core, _ keeper.Lease, _ time.Time) { _, isKnown = core.Endpoints() })
		if !leads {
			interval = firstListInterval
			continue
		}
		s.read()
		interval = listInterval
		if !isKnown {
			interval = firstListInterval
		}
	}
}

func (s *listReader) read() {
	ctx, cancel := context.WithTimeout(s.ctx, listTimeout)
	defer cancel()
	readAt := s.config.Clock.Now()
	list, err := s.config.List(ctx)
	if err != nil {
		if !s.failing {
			s.config.Log.Warn("failed to read the list of endpoints; keeping the last one", "err", err)
		}
		s.failing = true
		return
	}
	if s.failing {
		s.config.Log.Info("reading the list of endpoints succeeds again", "endpoints", len(list))
	}
	s.failing = false
	s.config.Do(func(core *coordinator.Core, _ keeper.Lease, now time.Time) {
		if core.ReadEndpoints(list, readAt, now) {
			s.config.Log.Debug("list of endpoints changed", "endpoints", len(list))
		}
	})
}
