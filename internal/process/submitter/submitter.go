// Package submitter does what one node at a time owes the provider: it reads the
// list of endpoints, reports the usage of each window, and orders capacity. Only
// the node that holds the lease of the log acts, under the term as fencing number.
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
	// leaseMargin is how much of the lease must be left for a call to be sent.
	leaseMargin = 150 * time.Millisecond
	// surveyPause is the time between two readings of the list. With the time until
	// nodes hear of it, it stays far below the bound on endpoints that leave.
	surveyPause = 300 * time.Millisecond
	// firstPause is that time until the list was read once.
	firstPause = 80 * time.Millisecond
	// holdMargin is added to the time within which holders must not alternate.
	holdMargin = 300 * time.Millisecond
	// tick is the time between two looks at what is due.
	tick = 250 * time.Millisecond
	// callTime bounds a call to the provider.
	callTime = 1500 * time.Millisecond
	// listTime bounds a reading of the whole list, which may have many pages.
	listTime = 5 * time.Second
)

// Holder says who acts, and under which fencing number.
type Holder struct {
	Name  string
	Fence uint64
}

// Kind says what became of a call to the provider.
type Kind int

// The kinds of outcomes.
const (
	// Done means that the provider took the call.
	Done Kind = iota
	// Conflict means that the provider refused it: a higher fencing number was
	// seen, or what was ordered is not to be had.
	Conflict
	// Failed means that there was no clear answer; the call may have been taken.
	Failed
)

// Outcome is what became of a call, with the provider's words.
type Outcome struct {
	Kind   Kind
	Detail string
}

// Size is an order for the number of instances of a service.
type Size struct {
	Service     string
	Domain      string
	Reclaimable bool
	Count       int
}

// Config sets up a Submitter.
type Config struct {
	Name  string
	Clock clock.Clock
	Log   *log.Logger
	// Do runs a function with the leader's state, if this node leads.
	Do func(func(core *coordinator.Core, lease keeper.Lease, now time.Time)) bool
	// Propose changes the replicated state.
	Propose func(ctx context.Context, c applier.Command) (applier.Result, error)
	// Intent reads the replicated state.
	Intent func(id string) (applier.Intent, bool)
	// Table returns the rules that are committed, or nil.
	Table func() *registrar.Table
	// List reads the endpoints, SendUsage and SendSize do duties.
	List      func(ctx context.Context) ([]coordinator.Endpoint, error)
	SendUsage func(ctx context.Context, h Holder, window int64, counts map[string]int) Outcome
	SendSize  func(ctx context.Context, h Holder, s Size) Outcome
	// Lease is the time within which holders of a duty must not alternate.
	Lease time.Duration
	// Window is the length of a usage window; its usage is due Late after its end.
	Window time.Duration
	Late   time.Duration
	// IsCounted reports whether an endpoint counts for the size of its service.
	IsCounted func(e coordinator.Endpoint) bool
	// HasUsage and HasSize say which duties there are.
	HasUsage bool
	HasSize  bool
}

// Submitter runs the duties of a node.
type Submitter struct {
	config Config
	quit   chan struct{}
	group  sync.WaitGroup
	ctx    context.Context //nolint:containedctx // ends the calls under way at Stop
	cancel context.CancelFunc

	mu    sync.Mutex
	term  uint64    // in which this process acted last
	acted time.Time // when it did so, or when it was started
}

// New returns a submitter that is not yet started.
func New(c Config) *Submitter {
	s := &Submitter{config: c, quit: make(chan struct{}), acted: c.Clock.Now()}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Start begins to look after the duties.
func (s *Submitter) Start() {
	s.group.Add(1)
	go (&surveyor{Submitter: s}).run()
	if s.config.HasUsage {
		s.group.Add(1)
		go (&usageReporter{Submitter: s}).run()
	}
	if s.config.HasSize {
		s.group.Add(1)
		go newSizeOrderer(s).run()
	}
}

// Stop ends all duties.
func (s *Submitter) Stop() {
	close(s.quit)
	s.cancel()
	s.group.Wait()
}

// act returns the holder if this node may act for a duty now: it leads, and it
// did not act in an earlier term so short a while ago that another holder may have
// acted in between. A process that was started a short while ago may have done so
// in its last life.
func (s *Submitter) act() (Holder, bool) {
	var h Holder
	s.config.Do(func(_ *coordinator.Core, lease keeper.Lease, now time.Time) {
		if lease.Until().Sub(now) <= leaseMargin {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.term != lease.Term() && now.Sub(s.acted) < s.config.Lease+holdMargin {
			return
		}
		s.term, s.acted = lease.Term(), now
		h = Holder{Name: s.config.Name, Fence: lease.Term()}
	})
	return h, h.Fence > 0
}

// surveyor reads the list of endpoints.
type surveyor struct {
	*Submitter
	failing bool
}

func (s *surveyor) run() {
	defer s.group.Done()
	for pause := firstPause; clock.Sleep(s.config.Clock, pause, s.quit); {
		isKnown := false
		leads := s.config.Do(func(core *coordinator.Core, _ keeper.Lease, _ time.Time) { _, isKnown = core.Endpoints() })
		if !leads {
			pause = firstPause
			continue
		}
		s.survey()
		pause = surveyPause
		if !isKnown {
			pause = firstPause
		}
	}
}

func (s *surveyor) survey() {
	ctx, cancel := context.WithTimeout(s.ctx, listTime)
	defer cancel()
	list, err := s.config.List(ctx)
	if err != nil {
		if !s.failing {
			s.config.Log.Warn("list of endpoints not read; the last one stays in use", "err", err)
		}
		s.failing = true
		return
	}
	if s.failing {
		s.config.Log.Info("list of endpoints is read again", "endpoints", len(list))
	}
	s.failing = false
	s.config.Do(func(core *coordinator.Core, _ keeper.Lease, now time.Time) {
		if core.SetEndpoints(list, now) {
			s.config.Log.Debug("list of endpoints changed", "endpoints", len(list))
		}
	})
}
