package assembler

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/connection/listener"
	"hyssoprudder/internal/connection/pooler"
	"hyssoprudder/internal/connection/screener"
	"hyssoprudder/internal/process/accountant"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/process/reporter"
	"hyssoprudder/internal/request/apportioner"
	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/placer"
)

const (
	// balancerTime is how long the balancer may take to see that a node is not
	// ready: two questions, a second apart, and their answers. What arrives later
	// may not end within the time to stop.
	balancerTime = 2500 * time.Millisecond
	// stopMargin is left of the time to stop when the last calls are cut.
	stopMargin = 350 * time.Millisecond
	// sweepPause is the time between two looks at idle connections.
	sweepPause = time.Second
	// maxHeader bounds a request's header, in bytes, before the rules are known.
	maxHeader = 64 << 10
)

// entry is the part of a node that serves callers.
type entry struct {
	node      *Node
	forwarder *forwarder.Forwarder
	placer    *placer.Placer
	pool      *pooler.Pool
	quotas    *apportioner.Quotas
	counter   *accountant.Counter
	recorder  *recorder
	versions  *versions
	callers   *http.Server
	listening net.Listener
	ready     *listener.Listener
	isClosing atomic.Bool
	done      chan struct{}
	group     sync.WaitGroup

	mu     sync.Mutex
	table  coordinator.ListID
	places []coordinator.Endpoint // of the list, by place
	held   int                    // number of places that are known
	ahead  time.Duration          // of the agreed time against the steady clock
}

func (n *Node) buildEntry() {
	b := n.settings.Bounds()
	e := &entry{
		node: n, placer: placer.New(), pool: pooler.New(n.clock), quotas: apportioner.New(),
		counter: accountant.NewCounter(b.UsageWindow()), recorder: newRecorder(n.log, n.clock, n.registry), done: make(chan struct{}),
	}
	n.entry = e
	e.versions = newVersions(n.settings.ID(), n.incarnation, e.agreedTime, n.log.With("part", "versions"))
	config := reporter.Config{
		Clock: n.steady, Log: n.log.With("part", "reporter"), Call: n.call, Seeds: n.settings.Seeds(), Fill: e.fill, Apply: e.take,
	}
	if n.keeper != nil {
		config.Local = n.keeper.coordinator.HandleReport
	}
	n.reporter = reporter.New(config)
	e.forwarder = forwarder.New(forwarder.Config{
		Clock: n.clock, Log: n.log, Domain: n.settings.Domain(), IsConfirmed: e.isConfirmed, RenewAllowances: n.reporter.ReportNow, ReportAnswered: n.reporter.Answered,
		Encode: n.outside.Encode, Decode: n.outside.Decode, Refuse: n.outside.Refuse, CallBegan: e.began, CallEnded: e.recorder.ended,
		Version: e.versions.choose, AttemptStarted: e.versions.sent, AttemptEnded: func(t *forwarder.AttemptResult) { e.versions.tried(t, e.placer.IsLeaving) },
		Quotas: e.quotas, Placer: e.placer, Pool: e.pool, Budget: forwarder.NewBudget(b.RetryRatio(), b.RetryExtra(), b.RetryWindow()),
	})
	e.callers = &http.Server{
		Handler:     screener.Guard(n.outside.Front(e.forwarder.Serve, e.isClosing.Load, n.clock.Now)),
		ConnContext: screener.Context, ConnState: screener.State, MaxHeaderBytes: maxHeader, ErrorLog: n.log.StandardLog(),
	}
	e.ready = listener.New("the balancer", &http.Server{Handler: n.outside.Ready(e.isReady), ReadHeaderTimeout: time.Second}, nil, n.log)
}

// isConfirmed reports whether the rules were confirmed so short a while ago that
// no key that they hold can have been refused everywhere else.
func (e *entry) isConfirmed() bool {
	bound := time.Duration(confirmedShare * float64(e.node.settings.Bounds().Revoke()))
	return e.node.steady.Now().Sub(e.node.reporter.Confirmed()) < bound
}

func (e *entry) isReady() bool {
	return !e.node.stopping.Load() && e.forwarder.Table() != nil && e.isConfirmed()
}

// start listens. Callers are taken at once, so that connections are not refused
// while the first rules are on their way.
func (e *entry) start() error {
	address := e.node.settings.Callers()
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	e.listening = screener.New(e.limits, e.node.clock.Now).Wrap(l)
	e.group.Add(2)
	go e.run()
	go (&sweeper{entry: e}).run()
	e.node.reporter.Start()
	return e.ready.Start(e.node.settings.Ready())
}

func (e *entry) limits() screener.Limits {
	t := e.forwarder.Table()
	if t == nil {
		return screener.Limits{}
	}
	return screener.Limits{Head: t.Limits().HeaderTimeout, Idle: t.Limits().IdleTimeout}
}

// run serves callers.
func (e *entry) run() {
	defer e.group.Done()
	if err := e.callers.Serve(e.listening); err != http.ErrServerClosed {
		e.node.failed <- err
	}
}

// sweeper closes connections to endpoints that are not used any more.
type sweeper struct {
	*entry
}

func (s *sweeper) run() {
	defer s.group.Done()
	for clock.Sleep(s.node.clock, sweepPause, s.done) {
		s.pool.Sweep(s.placer.IsKnown)
		s.recorder.flush()
		s.versions.check()
	}
}

// stop serves what arrives until the balancer has seen that the node is not
// ready, and finishes what runs.
func (e *entry) stop(ctx context.Context) {
	e.isClosing.Store(true)
	clock.Sleep(e.node.clock, balancerTime, ctx.Done())
	last := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		last, cancel = context.WithDeadline(ctx, deadline.Add(-stopMargin))
		defer cancel()
	}
	if err := e.callers.Shutdown(last); err != nil {
		e.node.log.Warn("calls cut at the end of the time to stop", "err", err)
		e.callers.Close()
	}
	e.node.reporter.Stop()
	e.ready.Close()
	close(e.done)
	e.group.Wait()
	e.pool.Close()
}

// began counts a call for the usage, by the agreed time.
func (e *entry) began(customer string) {
	e.counter.Add(customer, e.agreedTime())
}

// agreedTime returns the time of day that all nodes agree on.
func (e *entry) agreedTime() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node.steady.Now().Add(e.ahead)
}

// fill completes a report.
func (e *entry) fill(r *coordinator.Report) {
	now := e.node.clock.Now()
	r.Node, r.Incarnation, r.Entry, r.WallClock = e.node.settings.ID(), e.node.incarnation, true, now.UnixNano()
	r.Ruleset = e.forwarder.Table().Number()
	quotas := e.quotas.Report(now)
	r.Demand, r.Unspent, r.Sequence, r.Pending = quotas.Demand, quotas.Unspent, quotas.Sequence, quotas.Pending
	r.Usage, r.Refused = e.counter.Windows(), e.forwarder.Refused()
	e.versions.report(r)
	e.mu.Lock()
	r.ListID, r.Received = e.table, e.held
	e.mu.Unlock()
	for place, l := range e.placer.Loads() {
		r.Loads = append(r.Loads, coordinator.Load{
			Position: uint16(place), InFlight: uint16(l.InFlight), Waiting: uint16(l.Waiting), PendingPrefill: uint32(max(l.PendingPrefill, 0)), KVTokens: uint32(max(l.KVTokens, 0)),
		})
	}
}

// take obeys a directive.
func (e *entry) take(d *coordinator.Directive, sent time.Time) bool {
	now := e.node.clock.Now()
	if len(d.Ruleset) > 0 && d.RulesetNumber > e.forwarder.Table().Number() {
		e.putRuleset(d.RulesetNumber, d.Ruleset)
	}
	e.mu.Lock()
	e.ahead = time.Unix(0, d.ClusterTime).Sub(e.node.steady.Now())
	isListed := e.takeList(d)
	e.mu.Unlock()
	if isListed {
		e.placer.SetPeerLoads(loadsOf(d.Loads), now)
	}
	e.forwarder.SetEntries(d.Entries)
	e.versions.take(d, e.forwarder.Table())
	age := e.node.steady.Now().Sub(sent)
	e.quotas.SetAllowances(d.Sequence, d.Allowances, now, now.Add(d.AllowanceLifetime-age))
	return d.RulesetNumber > 0 && e.forwarder.Table().Number() >= d.RulesetNumber
}

// takeList takes over what changed in the list of endpoints, and reports whether the
// node has the newest list. It is called under the lock.
func (e *entry) takeList(d *coordinator.Directive) bool {
	if d.Length == 0 {
		return false
	}
	if e.table == d.ListID && e.held == d.Received {
		return true
	}
	places, err := d.Apply(e.places)
	if err != nil {
		e.node.log.Error("list of endpoints can't be taken over; the last one stays in use", "err", err)
		return false
	}
	e.table, e.places, e.held = d.ListID, places, d.Received
	e.placer.SetEndpoints(endpointsOf(places))
	return true
}

// putRuleset puts rules in force.
func (e *entry) putRuleset(number uint64, body []byte) {
	var r registrar.Ruleset
	if err := msgpack.Unmarshal(body, &r); err != nil {
		e.node.log.Error("ruleset can't be decoded; the old rules stay in force", "number", number, "err", err)
		return
	}
	t := registrar.NewTable(&r)
	e.quotas.SetRates(ratesOf(t))
	e.forwarder.SetTable(t)
	e.node.log.Info("rules in force", "number", number, "routes", len(r.Routes), "customers", len(r.Customers))
}

// ratesOf returns the rates of customers' limits.
func ratesOf(t *registrar.Table) map[string]float64 {
	out := make(map[string]float64)
	for name, c := range t.Customers() {
		if c.Rate > 0 {
			out[name] = c.Rate
		}
	}
	return out
}

func endpointsOf(list []coordinator.Endpoint) []placer.Endpoint {
	out := make([]placer.Endpoint, len(list))
	for i, e := range list {
		out[i] = placer.Endpoint(e)
	}
	return out
}

func loadsOf(list []coordinator.Load) map[int]placer.Load {
	out := make(map[int]placer.Load, len(list))
	for _, l := range list {
		out[int(l.Position)] = placer.Load{InFlight: int(l.InFlight), Waiting: int(l.Waiting), PendingPrefill: int(l.PendingPrefill), KVTokens: int(l.KVTokens)}
	}
	return out
}
