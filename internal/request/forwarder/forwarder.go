// Package forwarder serves callers from endpoints: it finds the route and the
// customer of a call, holds it against the customer's limit, has it placed, sends
// it, and passes the answer on whole. It never sends a call on that may run only
// once and may have run, and it says "not run" only when that is sure.
package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"hyssoprudder/internal/connection/pooler"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/apportioner"
	"hyssoprudder/internal/request/placer"
)

const (
	// retryCap is the longest time after which a caller is asked to come back.
	retryCap = 2 * time.Second
	// retryFloor is the shortest one.
	retryFloor = 80 * time.Millisecond
	// patienceShare is the part of the caller's time within which the first event
	// must be expected for a call to be placed.
	patienceShare = 0.75
	// answerGuess is the size of an answer in tokens when the caller gives none.
	answerGuess = 200
	// spareConnections is kept of an endpoint's connections for nodes that this
	// one does not know of.
	spareConnections = 0.7
	// minLeft is the least time that is worth sending a call for.
	minLeft = 15 * time.Millisecond
)

// Config sets up a Forwarder.
type Config struct {
	Clock  clock.Clock
	Log    *log.Logger
	Domain string
	// IsConfirmed reports whether the rules here were confirmed a short while ago.
	IsConfirmed func() bool
	// Renew has this node's allowances renewed at once and returns a channel that is
	// closed when that is done.
	Renew func() <-chan struct{}
	// Await returns a channel that is closed when it is worth looking again whether
	// the rules are there and confirmed.
	Await func() <-chan struct{}
	// Encode returns the header of a call for an endpoint.
	Encode func(call *Call, order *Order) http.Header
	// Decode reads the head of an endpoint's answer.
	Decode func(response *http.Response) Reply
	// Refuse answers a call that the system ends itself.
	Refuse func(w http.ResponseWriter, call *Call, refusal Refusal, after time.Duration)
	// Began counts a call that began to run, for the customer's usage.
	Began func(customer string)
	// Ended receives what became of each call.
	Ended func(call *Call, result *Result)
	// Version chooses the version of a service that moves for a call. isOnce tells
	// whether the call may neither be repeated nor go on elsewhere; point lies
	// between 0 and 1 and is the same for all attempts of the call.
	Version func(service string, isOnce bool, point float64) Version
	// Sent is told of each attempt before it is sent, and Tried what became of it.
	Sent  func(route string, endpoint placer.Endpoint)
	Tried func(trial *Trial)
	// Quotas, Placer, Pool and Budget are shared with other parts of the node.
	Quotas *apportioner.Quotas
	Placer *placer.Placer
	Pool   *pooler.Pool
	Budget *Budget
}

// Forwarder serves the calls of one node. It is safe for concurrent use.
type Forwarder struct {
	config  Config
	started time.Time
	table   atomic.Pointer[registrar.Table]
	entries atomic.Int64
	refused refusals
	waiting atomic.Int64 // calls that wait for rules
	waits   sync.Map     // of callers, by route, *longest
	bodies  atomic.Int64 // bytes that are set aside for bodies
}

// New returns a forwarder without rules.
func New(c Config) *Forwarder {
	return &Forwarder{config: c, started: c.Clock.Now()}
}

// SetTable puts rules in force.
func (f *Forwarder) SetTable(t *registrar.Table) { f.table.Store(t) }

// Table returns the rules in force, or nil.
func (f *Forwarder) Table() *registrar.Table { return f.table.Load() }

// SetEntries notes how many nodes share the endpoints.
func (f *Forwarder) SetEntries(n int) {
	f.entries.Store(int64(n))
	f.config.Budget.SetNodes(n)
}

// Entries returns how many nodes share the endpoints, 0 if that is not known yet.
func (f *Forwarder) Entries() int { return int(f.entries.Load()) }

// Refused returns how many calls of each service were refused for want of capacity.
func (f *Forwarder) Refused() map[string]uint64 { return f.refused.counts() }

// exchange is one call on its way.
type exchange struct {
	f        *Forwarder
	w        http.ResponseWriter
	ctx      context.Context //nolint:containedctx // ends when the caller leaves
	call     *Call
	route    *registrar.Route
	service  *registrar.Service
	customer *registrar.Customer
	body     []byte
	reserved int64     // bytes of memory for the body
	until    time.Time // when the caller or the route gives the call up
	point    float64   // chooses among versions
	cost     float64   // what the call took from the customer's limit
	tried    []string
	sent     int  // endpoints to which bytes of the call were sent
	mayRun   bool // an endpoint may have run the call
	isCalled bool // the call was counted for the retry budget
	isBegun  bool // the call was counted for the usage
	held     *held
	stream   *stream
	result   Result
}

// Serve answers a call. ctx must end when the caller leaves.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, call *Call) {
	x := &exchange{f: f, w: w, ctx: ctx, call: call, point: rand.Float64()}
	defer x.end()
	if refusal, after := x.admit(); refusal != None {
		x.refuse(refusal, after)
		return
	}
	x.forward()
}

// end reports the call, also when the connection is cut by a panic.
func (x *exchange) end() {
	x.f.bodies.Add(-x.reserved)
	x.result.Took = x.f.config.Clock.Now().Sub(x.call.Arrived)
	x.f.config.Ended(x.call, &x.result)
}

// admit finds out by which rules a call is served, and whether it is.
func (x *exchange) admit() (Refusal, time.Duration) {
	f, call := x.f, x.call
	table, confirmed := x.rules()
	if table == nil {
		return Unready, f.unreadyTime()
	}
	route, ok := table.Route(call.Host, call.Path)
	if !ok {
		return unless(confirmed, NoRoute), f.unreadyTime()
	}
	x.route, x.result.Route, x.result.Kind = route, route.Name, route.Kind
	if table.RequiresKeys() && !route.Open {
		if !confirmed {
			return Unready, f.unreadyTime()
		}
		if x.customer = table.Customer(call.Key); !call.IsKeyed || x.customer == nil {
			return Unauthorized, 0
		}
		x.result.Customer = x.customer.Name
	} else if call.IsKeyed {
		// A key on an open route names the customer if it is known.
		x.customer = table.Customer(call.Key)
	}
	x.service = table.Service(route.Pick(rand.Float64()))
	x.until = call.Arrived.Add(route.Timeout)
	if call.Wait > 0 {
		x.until = call.Arrived.Add(min(route.Timeout, call.Wait))
	}
	if refusal, after := x.readBody(table.Limits().BodyBytes); refusal != None {
		return refusal, after
	}
	return x.charge()
}

// charge holds the call against the customer's limit.
func (x *exchange) charge() (Refusal, time.Duration) {
	if x.customer == nil || x.customer.Rate <= 0 {
		return None, 0
	}
	x.cost = 1
	if x.customer.CountsTokens {
		x.cost = x.customer.DefaultTokens
		if x.call.IsSized {
			x.cost = float64(x.call.Prompt + x.call.Answer)
		}
	}
	verdict, wait := x.take()
	if verdict == apportioner.Short {
		verdict, wait = x.borrow()
	}
	if verdict != apportioner.Passed {
		x.cost = 0
		return OverQuota, x.f.spread(wait)
	}
	return None, 0
}

func (x *exchange) take() (apportioner.Verdict, time.Duration) {
	return x.f.config.Quotas.Take(x.customer.Name, x.cost, x.f.config.Clock.Now())
}

// borrowTime is how long a call waits for a larger allowance. Asking takes a few
// milliseconds when the leader is there.
const borrowTime = 120 * time.Millisecond

// borrow waits for an allowance that lets the call through.
func (x *exchange) borrow() (apportioner.Verdict, time.Duration) {
	c := &x.f.config
	c.Quotas.Want(x.customer.Name, x.cost)
	defer c.Quotas.Unwant(x.customer.Name, x.cost)
	timer := c.Clock.NewTimer(borrowTime)
	defer timer.Stop()
	for {
		select {
		case <-c.Renew():
		case <-timer.C():
			return x.take()
		case <-x.ctx.Done():
			return x.take()
		}
		if verdict, wait := x.take(); verdict != apportioner.Short {
			return verdict, wait
		}
	}
}

// spread returns a time about d, between the bounds for callers, so that callers
// who were refused together don't return together.
func (f *Forwarder) spread(d time.Duration) time.Duration {
	d = time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
	return min(max(d, retryFloor), retryCap)
}

// rank returns the rank of the call at endpoints.
func (x *exchange) rank() int {
	if x.customer != nil && x.customer.HasPriority {
		return x.customer.Priority
	}
	return x.route.Priority
}

func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// left returns how long the caller still waits.
func (x *exchange) left() time.Duration { return x.until.Sub(x.f.config.Clock.Now()) }

// place has the call placed at an endpoint that was not tried.
func (x *exchange) place() (*placer.Choice, placer.Refusal, time.Duration) {
	now := x.f.config.Clock.Now()
	ask := &placer.Ask{
		Service: x.service.Name, Domain: x.f.config.Domain, Parts: x.call.Parts, Prompt: x.call.Prompt,
		Answer: x.answerSize(), Patience: time.Duration(patienceShare * float64(x.until.Sub(now))), Queue: x.queueTime(now),
		Avoid: x.tried, Now: now, Point: rand.Float64(),
	}
	if x.service.Model != nil {
		ask.Memory = x.service.Model.KVSize
	}
	return x.placeByVersion(ask)
}

// queueTime returns how long the call may wait until its prompt is read. A call
// that would miss its objective by waiting keeps others from meeting theirs, so
// it is better refused at once; the less urgent, the sooner. Large prompts, which
// take long themselves, keep a part of it.
func (x *exchange) queueTime(now time.Time) time.Duration {
	objective := float64(x.route.Objective)
	if objective <= 0 {
		return x.until.Sub(now)
	}
	own := float64(x.call.Prompt) / queueRate * float64(time.Millisecond)
	share := max(queueShare-own/objective, queueLeast) / (1 + rankStep*float64(max(x.rank(), 0)))
	spent := float64(x.f.spent(x.route, x.call.Wait, now)) / objective
	if spent < 1 {
		share -= spent
	}
	return time.Duration(max(share, queueFloor) * objective)
}

const (
	// queueShare is the part of the objective for which a call may wait, less the
	// time for its own prompt at queueRate tokens per millisecond.
	queueShare = 0.85
	queueRate  = 40.0
	// queueLeast is that part for the largest prompts.
	queueLeast = 0.4
	// queueFloor is that part for a call that has waited elsewhere before.
	queueFloor = 0.2
	// rankStep is what each step of rank divides that part by, beyond 1.
	rankStep = 0.3
)

// answerSize estimates the size of the answer in tokens.
func (x *exchange) answerSize() int {
	switch {
	case x.call.Expected > 0:
		return x.call.Expected
	case x.call.IsSized:
		return min(x.call.Answer, answerGuess)
	}
	return 0
}

// connections returns how many connections this node may have to an endpoint.
func (x *exchange) connections() int {
	if x.service.MaxConnections <= 0 {
		return 1 << 20
	}
	return max(2, int(spareConnections*float64(x.service.MaxConnections)/float64(max(x.f.Entries(), 1))))
}

// step says how the forwarding of a call goes on after an attempt.
type step int

const (
	// stepDone: the caller has its answer.
	stepDone step = iota
	// stepUnsent: no byte of the call reached the endpoint.
	stepUnsent
	// stepNotRun: the endpoint did not run the call.
	stepNotRun
	// stepLost: the call may have run and its answer did not come whole.
	stepLost
)

// forward tries endpoints until the caller has an answer or nothing more may be done.
func (x *exchange) forward() {
	for {
		choice, refused, wait := x.place()
		if choice == nil {
			x.giveUp(string(refused), wait)
			return
		}
		x.result.Endpoint, x.result.Predicted = choice.Endpoint().ID, choice.Predicted()
		x.result.Attempts++
		if !x.isCalled {
			x.isCalled = true
			x.f.config.Budget.Call(x.service.Name, x.f.config.Clock.Now())
		}
		taken := x.attempt(choice)
		if taken == stepDone {
			return
		}
		x.tried = append(x.tried, choice.Endpoint().ID)
		if reason := x.mayRepeat(taken); reason != "" {
			x.giveUp(reason, 0)
			return
		}
	}
}

// mayRepeat returns why no other endpoint may be tried, or nothing.
func (x *exchange) mayRepeat(last step) string {
	switch {
	case x.ctx.Err() != nil:
		return "the caller left"
	case x.left() < minLeft:
		return "no time is left"
	case last == stepLost && !x.route.IsRepeatable():
		return "the call may have run and must not run twice"
	case last == stepUnsent:
		if len(x.tried) > maxUnsent {
			return "no endpoint can be reached"
		}
		return ""
	case x.sent >= max(x.route.MaxAttempts, 1):
		return "the attempts of the route are used up"
	case !x.f.config.Budget.Repeat(x.service.Name, x.f.config.Clock.Now()):
		return "the retry budget is used up"
	}
	return ""
}

// maxUnsent is the number of endpoints that may be unreachable before a call is
// given up.
const maxUnsent = 3

// giveUp ends a call that no further endpoint is tried for.
func (x *exchange) giveUp(reason string, wait time.Duration) {
	if x.result.Detail != "" {
		// What failed at the last endpoint comes first, then why it ends there.
		reason = x.result.Detail + "; " + reason
	}
	x.result.Detail = reason
	switch {
	case x.ctx.Err() != nil:
		// Nobody reads an answer any more.
		x.result.Refusal = Unknown
		panic(http.ErrAbortHandler)
	case x.hasStreamBegun():
		x.result.Refusal = Unknown
		panic(http.ErrAbortHandler)
	case x.held != nil:
		x.held.deliver(x)
	case x.mayRun && x.left() < minLeft:
		x.refuse(TimedOut, 0)
	case x.mayRun:
		x.refuse(Unknown, 0)
	default:
		x.f.refused.add(x.service.Name)
		x.refuse(Busy, x.f.spread(max(wait, retryFloor)))
	}
}

// hasStreamBegun reports whether the caller has events of a streamed answer.
func (x *exchange) hasStreamBegun() bool { return x.stream != nil && x.stream.begun }

// refuse ends the call with an answer of the system's own.
func (x *exchange) refuse(refusal Refusal, after time.Duration) {
	x.result.Refusal = refusal
	if x.cost > 0 && !x.mayRun {
		x.f.config.Quotas.Return(x.customer.Name, x.cost)
	}
	x.f.config.Refuse(x.w, x.call, refusal, after)
}

// begin counts the call for the customer's usage, once.
func (x *exchange) begin() {
	if x.isBegun || x.customer == nil {
		return
	}
	x.isBegun = true
	x.f.config.Began(x.customer.Name)
}

// hopFields concern only one connection and are not passed on.
var hopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// StripHop removes the fields that concern only one connection, those that the
// field Connection names included.
func StripHop(h http.Header) {
	for _, line := range slices.Clone(h["Connection"]) {
		for _, name := range splitList(line) {
			h.Del(name)
		}
	}
	for _, name := range hopFields {
		h.Del(name)
	}
}
