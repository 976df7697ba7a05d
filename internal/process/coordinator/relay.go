package coordinator

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"hyssoprudder/internal/process/clock"
)

const (
	// relayCallTimeout bounds a relay's call to the leader.
	relayCallTimeout = 450 * time.Millisecond
	// relayRetryDelay is the time until the next report after one that no leader answered.
	relayRetryDelay = 40 * time.Millisecond
	// askInterval is the shortest time between two requests of a relay for allowances. What is
	// asked for meanwhile goes into the next one.
	askInterval = 6 * time.Millisecond
	// maxAskWait is how long an entry's request waits for the leader's answer.
	maxAskWait = 60 * time.Millisecond
	// maxExhaustion is how long at most the leader is not asked again after it found a limit
	// spent.
	maxExhaustion = 100 * time.Millisecond
)

// RelayConfig configures a Relay.
type RelayConfig struct {
	GroupConfig
	Clock clock.Clock // must advance while the machine is suspended
	Log   *log.Logger
	// Call sends a request to another node and waits for the reply.
	Call func(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
	// Local is the coordinator of this node.
	Local *Coordinator
	// Leader returns the leader if it is known, and Keepers returns all keepers.
	Leader  func() (netip.AddrPort, bool)
	Keepers func() []netip.AddrPort
}

// exhaustion tells until when calls of a customer are over its limit.
type exhaustion struct {
	least       float64
	until       time.Time
	availableAt time.Time
}

// Relay stands between the leader and a group of entries, so that the leader's work does not
// grow with the number of entries. It answers the entries' reports from what the leader told it
// last, and says how old that is. It is safe for concurrent use.
type Relay struct {
	config RelayConfig
	quit   chan struct{}
	done   chan struct{}
	wake   chan struct{}
	ctx    context.Context //nolint:containedctx // cancels the call in flight at Stop
	cancel context.CancelFunc

	mu        sync.Mutex
	core      *GroupCore
	wanted    map[string]Shortage // not asked for yet
	answered  chan struct{}       // closed when the next request for allowances has ended
	exhausted map[string]exhaustion
	isFailing bool
	readers   Readers
}

// NewRelay returns a relay that is not yet started.
func NewRelay(c RelayConfig) *Relay {
	r := &Relay{
		config: c, quit: make(chan struct{}), done: make(chan struct{}), wake: make(chan struct{}, 1), core: NewGroupCore(c.GroupConfig),
		wanted: make(map[string]Shortage), answered: make(chan struct{}), exhausted: make(map[string]exhaustion),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Start starts to report to the leader.
func (r *Relay) Start() { go r.run() }

// Stop ends reporting.
func (r *Relay) Stop() {
	close(r.quit)
	r.cancel()
	<-r.done
}

// State is the state of a relay in metrics.
type State struct {
	// Members is the number of entries that report to the relay.
	Members int
	// ConfirmedAt is when the last report was sent that a leader answered.
	ConfirmedAt time.Time
}

// State returns the present state.
func (r *Relay) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{Members: r.core.Members(), ConfirmedAt: r.core.ConfirmedAt()}
}

// HandleReport answers the report of an entry.
func (r *Relay) HandleReport(report *Report) Directive {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, _ := r.core.HandleReport(report, r.config.Clock.Now())
	d.Leader, _ = r.config.Leader()
	d.Keepers = r.config.Keepers()
	return d
}

// Take grants an entry what waiting calls need beyond its allowances. If the group does not
// have it, it waits for the leader's answer, unless the leader is out of reach.
func (r *Relay) Take(request *AllowanceRequest) AllowanceReply {
	reply, missing, answered := r.take(request, true)
	if len(missing) == 0 || answered == nil {
		return reply
	}
	timer := r.config.Clock.NewTimer(maxAskWait)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C():
	case <-r.quit:
	}
	rest, _, _ := r.take(&AllowanceRequest{
		Node: request.Node, Incarnation: request.Incarnation, Sequence: request.Sequence, Shortages: missing,
	}, false)
	return mergeReplies(reply, rest)
}

func mergeReplies(a, b AllowanceReply) AllowanceReply {
	for customer, amount := range b.Granted {
		a.Granted[customer] = amount
	}
	if a.Waits == nil {
		a.Waits = make(map[string]time.Duration)
	}
	for customer, wait := range b.Waits {
		a.Waits[customer] = wait
	}
	if a.Lifetime == 0 || b.Lifetime > 0 && b.Lifetime < a.Lifetime {
		a.Lifetime = b.Lifetime
	}
	return a
}

// take takes what the group has. What it lacks is asked of the leader if isAsked, unless that
// has just found the limit spent; answered is then closed when there is an answer.
func (r *Relay) take(request *AllowanceRequest, isAsked bool) (reply AllowanceReply, missing map[string]Shortage, answered <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Clock.Now()
	reply, missing = r.core.Take(request, now)
	for customer, s := range missing {
		if e := r.exhausted[customer]; now.Before(e.until) && s.Least >= e.least {
			if reply.Waits == nil {
				reply.Waits = make(map[string]time.Duration)
			}
			reply.Waits[customer] = max(e.availableAt.Sub(now), time.Millisecond)
			delete(missing, customer)
		}
	}
	if !isAsked || len(missing) == 0 || r.isFailing {
		return reply, missing, nil
	}
	for customer, s := range missing {
		w, ok := r.wanted[customer]
		if !ok || s.Least < w.Least {
			w.Least = s.Least
		}
		w.Amount += s.Amount
		r.wanted[customer] = w
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return reply, missing, r.answered
}

func (r *Relay) run() {
	defer close(r.done)
	due := r.config.Clock.Now()
	for r.wait(due) {
		if !r.config.Clock.Now().Before(due) {
			due = r.config.Clock.Now().Add(r.report())
		}
		if r.ask() {
			due = r.config.Clock.Now()
		}
		if !clock.Sleep(r.config.Clock, askInterval, r.quit) {
			return
		}
	}
}

// wait waits until the next report is due or allowances are wanted.
func (r *Relay) wait(due time.Time) bool {
	timer := r.config.Clock.NewTimer(due.Sub(r.config.Clock.Now()))
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-r.wake:
	case <-r.quit:
		return false
	}
	return true
}

// report sends one report to the leader and returns the time until the next one.
func (r *Relay) report() time.Duration {
	r.mu.Lock()
	sent := r.config.Clock.Now()
	report := r.core.Report(sent)
	r.mu.Unlock()
	d := r.config.Local.HandleReport(report)
	if !d.Leads {
		leader, ok := r.config.Leader()
		report.Loads = ReadableLoads(report.Loads, r.readers.Fields(leader))
		if !ok || !r.call(leader, BeatMethod, report, &d) || !d.Leads {
			r.readers.Forget(leader)
			r.setFailing(true, leader)
			return relayRetryDelay
		}
		r.readers.Record(leader, d.LoadFields)
	}
	r.mu.Lock()
	err := r.core.Apply(&d, sent, r.config.Clock.Now())
	r.mu.Unlock()
	if err != nil {
		r.config.Log.Error("the leader's directive can't be applied; the previous list stays in use", "err", err)
	}
	r.setFailing(false, d.Leader)
	if d.ReportInterval <= 0 {
		return relayInterval
	}
	return d.ReportInterval
}

func (r *Relay) call(to netip.AddrPort, method string, args, reply any) bool {
	ctx, cancel := context.WithTimeout(r.ctx, relayCallTimeout)
	defer cancel()
	return r.config.Call(ctx, to, method, args, reply) == nil
}

// setFailing records whether the leader answers, and logs a change.
func (r *Relay) setFailing(isFailing bool, leader netip.AddrPort) {
	r.mu.Lock()
	isChanged := r.isFailing != isFailing
	r.isFailing = isFailing
	members, age := r.core.Members(), r.config.Clock.Now().Sub(r.core.ConfirmedAt())
	r.mu.Unlock()
	switch {
	case !isChanged || members == 0:
	case isFailing:
		r.config.Log.Warn("leader does not answer the relay; entries get what is known", "leader", leader, "entries", members, "age", age)
	default:
		r.config.Log.Info("leader answers the relay again", "leader", leader, "entries", members)
	}
}

// ask asks the leader for the allowances that are wanted. It reports whether the relay has to
// report before it gets any.
func (r *Relay) ask() (mustReport bool) {
	r.mu.Lock()
	wanted, answered := r.wanted, r.answered
	if len(wanted) == 0 {
		r.mu.Unlock()
		return false
	}
	r.wanted, r.answered = make(map[string]Shortage), make(chan struct{})
	request := r.core.Request(wanted)
	r.mu.Unlock()
	defer close(answered)
	sent := r.config.Clock.Now()
	reply, ok := r.config.Local.Take(request)
	if !ok {
		leader, isKnown := r.config.Leader()
		ok = isKnown && r.call(leader, TakeMethod, request, &reply) && reply.Lifetime > 0
	}
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.AddGranted(&reply, sent)
	now := r.config.Clock.Now()
	for customer, wait := range reply.Waits {
		r.exhausted[customer] = exhaustion{least: wanted[customer].Least, availableAt: now.Add(wait), until: now.Add(min(wait, maxExhaustion))}
	}
	return reply.MustReport
}
