package assembler

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"hyssoprudder/internal/connection/listener"
	"hyssoprudder/internal/connection/pooler"
	"hyssoprudder/internal/connection/screener"
	"hyssoprudder/internal/process/accountant"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/process/reporter"
	"hyssoprudder/internal/process/retriever"
	"hyssoprudder/internal/request/apportioner"
	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/isolator"
	"hyssoprudder/internal/request/placer"
	"hyssoprudder/internal/request/rationer"
)

const (
	// balancerDelay is how long the load balancer may take to detect that a node is
	// not ready: two checks, a second apart, and their answers. Calls that are accepted
	// later may not end within the time to stop.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is what remains of the time to stop when the last calls are aborted.
	stopMargin = 350 * time.Millisecond
	// abortTimeout is how long the answers to aborted calls may take.
	abortTimeout = 150 * time.Millisecond
	// sweepInterval is the time between two sweeps of idle connections.
	sweepInterval = time.Second
	// maxHeaderBytes limits a request's header; the server needs it before the rules are
	// known.
	maxHeaderBytes = 64 << 10
)

// entry serves callers on a node with the entry role.
type entry struct {
	node           *Node
	forwarder      *forwarder.Forwarder
	placer         *placer.Placer
	pool           *pooler.Pool
	quotas         *apportioner.Quotas
	rationer       *rationer.Rationer
	counter        *accountant.Counter
	recorder       *recorder
	versions       *versions
	retriever      *retriever.Retriever
	isolator       *isolator.Isolator
	lives          *lives
	callers        *http.Server
	abortCalls     context.CancelCauseFunc
	screener       *screener.Screener
	callerListener net.Listener
	ready          *listener.Listener
	isClosing      atomic.Bool
	until          atomic.Pointer[time.Time] // when calls that arrive now must have ended; nil unless the node stops
	done           chan struct{}
	group          sync.WaitGroup
	uneven         map[string]bool // services whose endpoints were logged as different; used by the sweeper

	mu            sync.Mutex
	lossChecks    map[netip.AddrPort]bool // endpoints whose lost connections are being checked
	freshness     registrar.Freshness
	listID        coordinator.ListID
	endpoints     []coordinator.Endpoint // the endpoint list, by position
	received      int                    // number of positions of the list that were received
	clusterOffset time.Duration          // cluster time minus the time of bootClock
	granter       uint64                 // relay that granted the allowances, 0 for a leader
	informedAt    int64                  // of the last directive, in cluster time, in nanoseconds since 1970
	evacuated     coordinator.Evacuated
}

func (n *Node) buildEntry() {
	b := n.settings.Bounds()
	e := &entry{
		node: n, placer: placer.New(), pool: pooler.New(n.clock), quotas: apportioner.New(), rationer: rationer.New(),
		counter: accountant.NewCounter(b.UsageWindow()), recorder: newRecorder(n.log, n.clock, n.registry), done: make(chan struct{}),
		isolator: isolator.New(), lossChecks: make(map[netip.AddrPort]bool),
	}
	n.entry = e
	e.pool.SetLost(func(address netip.AddrPort) { e.placer.LoseContact(address, n.bootClock.Now()) })
	e.pool.SetBroken(e.connectionLost)
	e.placer.SetDrain(b.Drain())
	e.placer.SetRegions(n.settings.Regions())
	e.lives = newLives(e)
	n.registry.MustRegister(&notices{e}, &warmups{e}, &speeds{e}, &callsInService{e}, &rationing{e})
	e.versions = newVersions(n.settings.ID(), n.incarnation, e.clusterTime, n.log.With("part", "versions"))
	config := reporter.Config{
		Clock: n.bootClock, Log: n.log.With("part", "reporter"), Call: n.call, Seeds: n.settings.Seeds(), Fill: e.fill, Apply: e.apply,
		Node: n.settings.ID(), Domain: n.settings.Domain(),
	}
	if n.keeper != nil {
		config.Local, config.LocalTake = n.keeper.coordinator.HandleReport, n.keeper.coordinator.Take
	}
	n.reporter = reporter.New(config)
	e.retriever = retriever.New(retriever.Config{
		Node: n.settings.ID(), Clock: n.clock, Log: n.log.With("part", "retriever"), Call: n.call, Apply: e.setRuleset,
	})
	e.forwarder = forwarder.New(forwarder.Config{
		Clock: n.clock, BootClock: n.bootClock, Log: n.log, Domain: n.settings.Domain(), IsConfirmed: e.isConfirmed, ServesUntil: e.servesUntil, LargestCall: func(c *registrar.Customer) float64 { return largestCall(b, c) }, AskAllowance: e.askAllowance, ReportAnswered: n.reporter.Answered,
		Encode: n.adapter.Encode, Decode: n.adapter.Decode, Refuse: n.adapter.Refuse, CallBegan: e.callBegan, CallEnded: e.recorder.callEnded,
		Version: e.versions.choose, AttemptStarted: e.versions.attemptStarted, AttemptEnded: e.attemptEnded,
		IsIsolated: e.isIsolated,
		Quotas:     e.quotas, Placer: e.placer, Rationer: e.forwarderRationer(), Pool: e.pool, Budget: forwarder.NewBudget(b.RetryRatio(), b.RetryExtra(), b.RetryWindow()),
	})
	e.forwarder.SetMaxCalls(maxCallsOn(n.settings.Machine()))
	callsCtx, abortCalls := context.WithCancelCause(context.Background())
	e.abortCalls = abortCalls
	e.callers = &http.Server{
		BaseContext:    func(net.Listener) context.Context { return callsCtx },
		Handler:        n.adapter.CallerHandler(e.forwarder.Serve, e.isClosing.Load, n.clock.Now),
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: n.log.StandardLog(),
	}
	e.screener = n.clients.screener(e.limits, n.clients.callers())
	e.screener.Install(e.callers)
	e.ready = listener.New("the balancer", &http.Server{Handler: n.adapter.ReadyHandler(e.isReady), ReadHeaderTimeout: time.Second}, nil, n.log)
	e.ready.Screen(n.clients.screener(probeLimits, n.clients.probes()))
}

// forwarderRationer returns the rationer, or nil if the settings don't ask for rationing.
func (e *entry) forwarderRationer() *rationer.Rationer {
	if !e.node.settings.IsRationed() {
		return nil
	}
	return e.rationer
}

// isConfirmed reports whether the rules were confirmed recently enough that no key
// in them can have been revoked for longer than the bound on revoked keys, and whether
// rules that are known to be replaced may still be in force.
func (e *entry) isConfirmed() bool {
	b, now := e.node.settings.Bounds(), e.node.bootClock.Now()
	if now.Sub(e.node.reporter.Confirmed()) >= fractionOf(b.Revoke(), confirmedFraction) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.freshness.Outdated(e.forwarder.Table().Number(), now) < fractionOf(b.Change(), outdatedFraction)
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

func (e *entry) isReady() bool {
	return !e.node.stopping.Load() && e.forwarder.Table() != nil && e.isConfirmed()
}

// start starts the listeners. Callers' connections are accepted at once, so that they
// are not refused while the first rules are being fetched.
func (e *entry) start() error {
	address := e.node.settings.Callers()
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return err
	}
	e.callerListener = e.screener.Wrap(l)
	e.group.Add(2)
	go e.run()
	go (&sweeper{entry: e}).run()
	e.retriever.Start()
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

// run serves callers until the server is shut down.
func (e *entry) run() {
	defer e.group.Done()
	if err := e.callers.Serve(e.callerListener); err != http.ErrServerClosed {
		e.node.failed <- err
	}
}

// sweeper periodically closes connections to endpoints that are no longer used, logs
// the number of suppressed log lines, and checks the versions of moves.
type sweeper struct {
	*entry
}

func (s *sweeper) run() {
	defer s.group.Done()
	for clock.Sleep(s.node.clock, sweepInterval, s.done) {
		s.pool.Sweep(s.placer.IsWanted)
		(&notices{s.entry}).expire()
		(&warmups{s.entry}).log()
		(&speeds{s.entry}).check()
		s.lives.check()
		s.recorder.flush()
		s.versions.check()
	}
}

// stop serves new calls until the load balancer has detected that the node is not
// ready. Then it closes idle connections and waits for the calls in flight and for those
// of which a part was received.
func (e *entry) stop(ctx context.Context) {
	e.isClosing.Store(true)
	clock.Sleep(e.node.clock, balancerDelay, ctx.Done())
	drainCtx := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		deadline = deadline.Add(-stopMargin)
		drainCtx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
		e.until.Store(&deadline)
	}
	e.logConnections(log.InfoLevel, "draining the connections of callers")
	if err := e.screener.Drain(drainCtx); err != nil {
		e.logConnections(log.WarnLevel, "aborting calls at the end of the time to stop")
		e.abort()
	}
	e.callers.Close()
	e.node.reporter.Stop()
	e.retriever.Stop()
	e.ready.Close()
	close(e.done)
	e.group.Wait()
	e.pool.Close()
}

func (e *entry) servesUntil() time.Time {
	if until := e.until.Load(); until != nil {
		return *until
	}
	return time.Time{}
}

var errStopping = errors.New("the node is stopping")

// abort ends the calls in flight and waits until they are answered.
func (e *entry) abort() {
	e.abortCalls(errStopping)
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	if err := e.screener.Drain(ctx); err != nil {
		e.logConnections(log.WarnLevel, "closing connections with calls that can't be answered in time")
	}
}

func (e *entry) logConnections(level log.Level, message string) {
	c := e.screener.Counts()
	e.node.log.Log(level, message, "idle", c.Idle, "fresh", c.Fresh, "receiving", c.Receiving, "busy", c.Busy)
}

// callBegan counts a call in the customer's usage, in the window of the cluster time.
func (e *entry) callBegan(customer string) {
	e.counter.Add(customer, e.clusterTime())
}

// clusterTime returns the time of day on which the nodes agree.
func (e *entry) clusterTime() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.node.bootClock.Now().Add(e.clusterOffset)
}

// fill fills in a report to the leader.
func (e *entry) fill(r *coordinator.Report) {
	now := e.node.clock.Now()
	r.Node, r.Incarnation, r.Entry, r.WallClock = e.node.settings.ID(), e.node.incarnation, true, now.UnixNano()
	quotas := e.quotas.Report(now)
	r.Demand, r.Unspent, r.Sequence = quotas.Demand, quotas.Unspent, quotas.Sequence
	r.Usage, r.Refused = e.counter.Windows(), e.forwarder.Refused()
	clusterTime := e.clusterTime()
	r.Crashes, r.Answers, r.Isolations = e.isolator.Report(clusterTime)
	r.EvidenceAt = clusterTime.UnixNano()
	r.Suspects = e.isolator.Suspects()
	r.Rationing = rationer.Encode(e.rationer.Report(now))
	e.versions.report(r)
	e.mu.Lock()
	r.ListID, r.Received, r.Granter, r.InformedAt = e.listID, e.received, e.granter, e.informedAt
	e.mu.Unlock()
	r.Notices = (&notices{e}).report()
	loads := e.placer.Loads()
	for position, measured := range e.placer.Prefills(now) {
		l := loads[position]
		l.PrefillTokens, l.PrefillTime = measured.PrefillTokens, measured.PrefillTime
		loads[position] = l
	}
	for position, l := range loads {
		r.Loads = append(r.Loads, coordinator.Load{
			Position: uint16(position), InFlight: uint16(l.InFlight), Waiting: uint16(l.Waiting), PendingPrefill: uint32(max(l.PendingPrefill, 0)), KVTokens: uint32(max(l.KVTokens, 0)),
			PrefillTokens: uint32(max(l.PrefillTokens, 0)), PrefillTime: uint32(max(l.PrefillTime, 0)),
			PendingFirst: uint32(max(l.PendingFirst, 0)), PendingSecond: uint32(max(l.PendingSecond, 0)),
		})
	}
	r.LoadFields = coordinator.LoadFields
}

// apply applies the directive that answered a report sent at sentAt. It reports whether the
// directive names a ruleset and that ruleset or a newer one is in force at the node.
func (e *entry) apply(d *coordinator.Directive, sentAt time.Time) bool {
	now, inForce := e.node.clock.Now(), e.forwarder.Table().Number()
	e.applyEvacuated(d) // before the list, so that no endpoint of such a domain gets a call
	if d.RulesetNumber > inForce {
		e.retriever.Retrieve(d.RulesetNumber, d.Keepers, d.Leader)
	}
	e.mu.Lock()
	e.freshness.Name(d.RulesetNumber, inForce, e.node.bootClock.Now())
	e.clusterOffset = time.Unix(0, d.ClusterTime).Sub(e.node.bootClock.Now())
	if d.IsPartial {
		e.mu.Unlock()
		e.forwarder.SetEntries(d.Entries, now)
		return d.RulesetNumber > 0 && e.forwarder.Table().Number() >= d.RulesetNumber
	}
	known := e.listID
	e.granter = d.Granter
	isCurrent := e.applyList(d)
	isChanged, endpoints := e.listID != known, e.endpoints
	e.mu.Unlock()
	if isChanged {
		(&notices{e}).hear(endpoints)
	}
	if isCurrent {
		(&warmups{e}).apply(d, sentAt)
		coordinator.AssumeUrgent(d.Loads, d.LoadFields)
		e.placer.SetPeerLoads(loadsOf(d.Loads), now)
	}
	e.rationer.SetShared(rationer.Decode(d.Rationing), now)
	e.isolator.Apply(d.Suspects, d.Isolations, d.HasIsolations, time.Unix(0, d.ClusterTime))
	e.mu.Lock()
	e.informedAt = d.InformedAt
	e.mu.Unlock()
	e.forwarder.SetEntries(d.Entries, now)
	e.versions.apply(d, e.forwarder.Table())
	age := e.node.bootClock.Now().Sub(sentAt)
	e.quotas.SetAllowances(d.Sequence, d.Allowances, now.Add(d.AllowanceLifetime-age))
	return d.RulesetNumber > 0 && e.forwarder.Table().Number() >= d.RulesetNumber
}

// askAllowance asks for what a call costs beyond the allowances.
func (e *entry) askAllowance(ctx context.Context, customer string, cost float64) bool {
	sentAt := e.node.bootClock.Now()
	reply, ok := e.node.reporter.Take(ctx, &coordinator.AllowanceRequest{
		Node: e.node.settings.ID(), Incarnation: e.node.incarnation, Sequence: e.quotas.Sequence(), Shortages: map[string]coordinator.Shortage{customer: {Amount: cost, Least: cost}},
	})
	if !ok {
		return false
	}
	if reply.MustReport {
		select {
		case <-e.node.reporter.ReportNow():
		case <-ctx.Done():
		}
		return false
	}
	now := e.node.clock.Now()
	if granted := reply.Granted[customer]; granted > 0 {
		e.quotas.Add(customer, granted, now, now.Add(reply.Lifetime-e.node.bootClock.Now().Sub(sentAt)))
		return true
	}
	wait, ok := reply.Waits[customer]
	if ok {
		e.quotas.Exhaust(customer, cost, wait, now)
	}
	return ok
}

// applyList applies the changes of the endpoint list, and reports whether the node has
// the newest list. The caller holds e.mu.
func (e *entry) applyList(d *coordinator.Directive) bool {
	if !d.HasList() {
		return false
	}
	if e.listID == d.ListID && e.received == d.Received {
		return true
	}
	endpoints, err := d.Apply(e.endpoints)
	if err != nil {
		e.node.log.Error("endpoint list can't be applied; the previous list stays in use", "err", err)
		return false
	}
	if e.listID.Term != d.ListID.Term {
		e.placer.DoubtCold(e.node.bootClock.Now())
	}
	e.listID, e.endpoints, e.received = d.ListID, endpoints, d.Received
	e.placer.SetEndpoints(endpointsOf(endpoints))
	return true
}

// setRuleset decodes a ruleset and puts it in force.
func (e *entry) setRuleset(number uint64, body []byte) {
	started := e.node.clock.Now()
	r, err := registrar.Decode(body)
	if err != nil {
		e.node.log.Error("ruleset can't be decoded; the previous rules stay in force", "number", number, "err", err)
		return
	}
	t := registrar.NewTable(r)
	e.quotas.SetRates(ratesOf(t))
	(&warmups{e}).setRules(r)
	e.forwarder.SetTable(t)
	e.node.log.Info("rules in force", "number", number, "routes", len(r.Routes), "customers", len(r.Customers),
		"bytes", len(body), "took", e.node.clock.Now().Sub(started))
	e.node.reporter.RulesetApplied(number)
}

// ratesOf returns the rates of the customers that have a limit.
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
		out[int(l.Position)] = placer.Load{
			InFlight: int(l.InFlight), Waiting: int(l.Waiting), PendingPrefill: int(l.PendingPrefill), KVTokens: int(l.KVTokens),
			PrefillTokens: int(l.PrefillTokens), PrefillTime: int(l.PrefillTime),
			PendingFirst: int(l.PendingFirst), PendingSecond: int(l.PendingSecond),
		}
	}
	return out
}
