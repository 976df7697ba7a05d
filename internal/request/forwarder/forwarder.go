// Package forwarder serves calls from endpoints: it determines the route and the
// customer of a call, charges the customer's limit, has an endpoint chosen, sends the
// call, and delivers the complete answer. It never repeats an at-most-once call that
// may have run, and reports a call as not run only if that is certain.
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
	"hyssoprudder/internal/process/reserver"
	"hyssoprudder/internal/request/apportioner"
	"hyssoprudder/internal/request/placer"
	"hyssoprudder/internal/request/rationer"
)

const (
	// maxRetryAfter is the longest retry delay that is sent to callers.
	maxRetryAfter = 2 * time.Second
	// minRetryAfter is the shortest retry delay that is sent to callers.
	minRetryAfter = 80 * time.Millisecond
	// maxFirstFraction is the fraction of the remaining time within which the first
	// event must be expected for a call to be placed.
	maxFirstFraction = 0.75
	// maxAssumedAnswer bounds the assumed size of an answer in tokens if the caller
	// states no estimate.
	maxAssumedAnswer = 200
	// connectionFraction is the fraction of an endpoint's connections that is divided
	// among the known nodes. The rest is left to nodes that this one does not know
	// yet.
	connectionFraction = 0.7
	// minRemaining is the least remaining time with which a call is sent.
	minRemaining = 15 * time.Millisecond
)

// Config configures a Forwarder.
type Config struct {
	Clock clock.Clock
	// BootClock also counts the time during which the machine was suspended. Pauses end by
	// it: they last for a time that passes at the endpoint.
	BootClock clock.Clock
	Log       *log.Logger
	Domain    string
	// IsConfirmed reports whether the rules of this node were confirmed recently, and
	// no newer rules are known for long. Without it no call is served.
	IsConfirmed func() bool
	// ServesUntil returns the time by which a call that arrives now must end, or the zero
	// time if the node isn't stopping.
	ServesUntil func() time.Time
	// LargestCall returns the largest cost of a call that the customer's limit allows.
	LargestCall func(customer *registrar.Customer) float64
	// AskAllowance asks for what a call costs, beyond the allowances of this node, and passes
	// the answer to Quotas. It reports false if there was no answer.
	AskAllowance func(ctx context.Context, customer string, cost float64) bool
	// ReportAnswered returns a channel that is closed when a report that this node
	// sends to the leader after the call has been answered or has failed. The rules or
	// their confirmation may have changed then.
	ReportAnswered func() <-chan struct{}
	// Encode returns the header of a call for an endpoint.
	Encode func(call *Call, metadata *AttemptMetadata) http.Header
	// Decode reads the head of an endpoint's answer.
	Decode func(response *http.Response) Reply
	// Refuse answers a call that the system itself ends.
	Refuse func(w http.ResponseWriter, call *Call, refusal Refusal, after time.Duration)
	// CallBegan is called once for each call that began to run, to count the
	// customer's usage.
	CallBegan func(customer string)
	// CallEnded receives the result of each call.
	CallEnded func(call *Call, result *Result)
	// Version chooses the version for a call of a service with a version move in
	// progress. isOnce reports whether the call may neither be repeated nor resumed;
	// random is a number in [0, 1) that is the same for all attempts of the call.
	Version func(service string, isOnce bool, random float64) Version
	// IsIsolated reports whether the request with that fingerprint, or a block of its prompt,
	// crashes endpoints of the service, so that the call must not be sent to any.
	IsIsolated func(service string, blocks []placer.PromptBlock, fingerprint func() uint64) bool
	// AttemptStarted is called before an attempt is sent, and AttemptEnded with its
	// result.
	AttemptStarted func(route string, endpoint placer.Endpoint)
	AttemptEnded   func(result *AttemptResult)
	// Quotas, Placer, Rationer, Pool and Budget are shared with other components of the node.
	// Without a Rationer, how long a call may queue does not depend on other calls.
	Quotas   *apportioner.Quotas
	Placer   *placer.Placer
	Rationer *rationer.Rationer
	Pool     *pooler.Pool
	Budget   *Budget
}

// Forwarder serves the calls of one node. It is safe for concurrent use.
type Forwarder struct {
	config       Config
	started      time.Time
	table        atomic.Pointer[registrar.Table]
	entries      atomic.Int64
	entriesMu    sync.Mutex
	entriesAt    time.Time // when as many entries were told last
	refused      refusals
	rulesWaiters atomic.Int64 // calls that wait for confirmed rules
	longestWaits sync.Map     // *longestWait by route name
	answerMemory *reserver.Memory
	concurrency  concurrency
}

// New returns a forwarder without rules.
func New(c Config) *Forwarder {
	return &Forwarder{config: c, started: c.Clock.Now(), answerMemory: reserver.New(maxAnswerMemory, freeAnswer)}
}

// SetTable sets the rules in force.
func (f *Forwarder) SetTable(t *registrar.Table) { f.table.Store(t) }

// Table returns the rules in force, or nil.
func (f *Forwarder) Table() *registrar.Table { return f.table.Load() }

// fewerEntriesDelay is how long a lower number of entries must have been told until it counts. A
// new leader, and its relays, hear of the entries one after the other.
const fewerEntriesDelay = 4 * time.Second

// SetEntries sets the number of nodes that share the endpoints, as it was told at now.
func (f *Forwarder) SetEntries(n int, now time.Time) {
	f.entriesMu.Lock()
	defer f.entriesMu.Unlock()
	if n < f.Entries() && now.Sub(f.entriesAt) < fewerEntriesDelay {
		return
	}
	f.entriesAt = now
	f.entries.Store(int64(n))
	f.config.Budget.SetNodes(n)
}

// Entries returns the number of nodes that share the endpoints, 0 if it is not known
// yet.
func (f *Forwarder) Entries() int { return int(f.entries.Load()) }

// Refused returns how many calls of each service were refused for lack of capacity.
func (f *Forwarder) Refused() map[string]uint64 { return f.refused.counts() }

// exchange is the state of one call.
type exchange struct {
	f              *Forwarder
	w              http.ResponseWriter
	ctx            context.Context //nolint:containedctx // canceled when the caller disconnects or the node stops
	call           *Call
	route          *registrar.Route
	service        *registrar.Service
	customer       *registrar.Customer
	body           []byte
	deadline       time.Time          // end of the caller's or the route's time, whichever is earlier
	random         float64            // random number in [0, 1) that selects the version
	allowance      rationer.Allowance // for the last choice of an endpoint
	isRationed     bool               // the call was counted as admitted or refused
	isLate         bool               // the call was counted as late
	hash           *uint64            // fingerprint of the request, nil if not computed yet
	cost           float64            // amount charged to the customer's limit
	tried          []string
	next           *secured // where the call goes on after an attempt that was given up
	sent           int      // number of endpoints to which bytes of the call were sent
	mayRun         bool     // an endpoint may have run the call
	isBudgeted     bool     // the call was recorded in the retry budget
	isUsageCounted bool     // the call was counted in the customer's usage
	buffered       *bufferedAnswer
	bufferedMemory reserver.Reservation // for it
	stream         *stream
	result         Result
}

// Serve answers a call. ctx must be canceled when the caller disconnects; its cause tells if
// there is another reason.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, call *Call) {
	x := &exchange{f: f, w: w, ctx: ctx, call: call, random: rand.Float64()}
	defer x.end()
	if refusal, after := x.admit(); refusal != None {
		x.refuse(refusal, after)
		return
	}
	if !f.concurrency.begin() {
		x.result.Detail = "as many calls as this node can serve are being served"
		x.refuse(Busy, f.retryAfter(minRetryAfter))
		return
	}
	defer f.concurrency.end()
	x.forward()
}

// end reports the result of the call. It also runs when a panic aborts the caller's
// connection.
func (x *exchange) end() {
	x.recordLate()
	x.refund()
	x.releaseNext()
	x.bufferedMemory.Release()
	x.result.Took = x.f.config.Clock.Now().Sub(x.call.Arrived)
	x.f.config.CallEnded(x.call, &x.result)
}

// admit determines the route and the customer of the call and checks whether the call
// may be served.
func (x *exchange) admit() (Refusal, time.Duration) {
	f, call := x.f, x.call
	table, confirmed := x.waitForRules()
	if table == nil || !confirmed {
		return Unready, f.unreadyRetryAfter()
	}
	route, ok := table.Route(call.Host, call.Path)
	if !ok {
		return NoRoute, 0
	}
	x.route, x.result.Route, x.result.Kind = route, route.Name, route.Kind
	if table.RequiresKeys() && !route.Open {
		if x.customer = table.Customer(call.Key); !call.IsKeyed || x.customer == nil {
			return Unauthorized, 0
		}
		x.result.Customer = x.customer.Name
	} else if call.IsKeyed {
		// On an open route, a known key identifies the customer.
		x.customer = table.Customer(call.Key)
	}
	if _, ok := targetURL("", call.Target); !ok {
		return Malformed, 0
	}
	x.service = table.Service(route.Pick(rand.Float64()))
	x.result.Priority = x.priority()
	x.deadline = call.Arrived.Add(route.Timeout)
	if call.MaxWait > 0 {
		x.deadline = call.Arrived.Add(min(route.Timeout, call.MaxWait))
	}
	if until := f.config.ServesUntil(); !until.IsZero() && x.deadline.After(until) {
		return Stopping, f.retryAfter(minRetryAfter)
	}
	if refusal := x.checkSize(); refusal != None {
		return refusal, 0
	}
	// The body of a call beyond its customer's limit is not read. If the body is refused, the charge is returned.
	if refusal, after := x.charge(); refusal != None {
		return refusal, after
	}
	return x.readBody(table.Limits().BodyBytes)
}

// checkSize refuses a call that no endpoint can serve as it is stated.
func (x *exchange) checkSize() Refusal {
	switch model := x.service.Model; {
	case x.call.IsMissized:
		return Missized
	case x.call.IsSized && model != nil && model.KVSize > 0 && x.call.Prompt > model.KVSize:
		return Oversized
	}
	return None
}

// charge charges the call to the customer's limit.
func (x *exchange) charge() (Refusal, time.Duration) {
	if x.customer == nil || x.customer.Rate <= 0 {
		return None, 0
	}
	x.cost = 1
	if x.customer.CountsTokens {
		x.cost = x.customer.DefaultTokens
		if x.call.IsSized {
			x.cost = float64(x.call.Prompt) + float64(x.call.Answer)
		}
		x.cost = max(x.cost, 0)
	}
	if x.cost > x.f.config.LargestCall(x.customer) {
		x.cost = 0
		return BeyondQuota, 0
	}
	verdict, wait := x.takeQuota()
	if verdict == apportioner.Short {
		verdict, wait = x.waitForAllowance()
	}
	switch verdict {
	case apportioner.Passed:
		return None, 0
	case apportioner.Short:
		x.cost = 0
		return AllowanceUnknown, x.f.retryAfter(minRetryAfter)
	default:
		x.cost = 0
		return OverQuota, x.f.retryAfter(wait)
	}
}

func (x *exchange) takeQuota() (apportioner.Verdict, time.Duration) {
	return x.f.config.Quotas.Take(x.customer.Name, x.cost, x.f.config.Clock.Now())
}

const (
	// minAllowanceWait is how long a call waits at least for an answer on its allowance, unless
	// its time ends.
	minAllowanceWait = 120 * time.Millisecond
	// allowanceRetryDelay is the time until a call that got no answer asks again.
	allowanceRetryDelay = 20 * time.Millisecond
)

// waitForAllowance asks for an allowance that covers the call until there is an answer, as long
// as the call's objective allows. A customer is over its limit only if that was the answer.
func (x *exchange) waitForAllowance() (apportioner.Verdict, time.Duration) {
	c := &x.f.config
	until := x.call.Arrived.Add(max(x.route.Objective, minAllowanceWait))
	if until.After(x.deadline) {
		until = x.deadline
	}
	ctx, cancel := context.WithTimeout(x.ctx, until.Sub(c.Clock.Now()))
	defer cancel()
	for {
		answered := c.AskAllowance(ctx, x.customer.Name, x.cost)
		verdict, wait := x.takeQuota()
		if verdict != apportioner.Short || ctx.Err() != nil {
			return verdict, wait
		}
		if !answered && !clock.Sleep(c.Clock, allowanceRetryDelay, ctx.Done()) {
			return x.takeQuota()
		}
	}
}

// retryAfter returns a random duration near d, within the bounds of retry delays, so
// that callers that were refused together do not retry together.
func (f *Forwarder) retryAfter(d time.Duration) time.Duration {
	d = time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
	return min(max(d, minRetryAfter), maxRetryAfter)
}

// priority returns the priority of the call at endpoints; 0 is the most urgent.
func (x *exchange) priority() int {
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

// remaining returns the time remaining until the deadline.
func (x *exchange) remaining() time.Duration { return x.deadline.Sub(x.f.config.Clock.Now()) }

// place chooses an endpoint that is not excluded.
func (x *exchange) place(exclude []string) (*placer.Choice, placer.Refusal, time.Duration) {
	now := x.f.config.Clock.Now()
	x.allow(now)
	req := &placer.Request{
		Service: x.service.Name, Domain: x.f.config.Domain, Blocks: x.call.Blocks, Prompt: x.call.Prompt,
		Answer: x.answerSize(), MaxFirst: time.Duration(maxFirstFraction * float64(x.deadline.Sub(now))), MaxQueueTime: x.allowance.QueueTime(), Reserve: x.allowance.Reserve(),
		Priority: x.priority(), Exclude: exclude, Now: now, Boot: x.f.config.BootClock.Now(), Random: rand.Float64(),
	}
	req.RouteHomes = x.route.Homes
	if x.customer != nil {
		req.CustomerHomes = x.customer.Homes
	}
	if x.service.Model != nil {
		req.KVSize = x.service.Model.KVSize
	}
	return x.placeByVersion(req)
}

// minTokenTime is the shortest time in which an endpoint generates a token of one call.
const minTokenTime = time.Millisecond

// answerSize estimates the size of the answer in tokens: no more than what the caller states as
// the maximum, and what can be generated in the remaining time.
func (x *exchange) answerSize() int {
	expected := min(x.call.ExpectedAnswer, int(max(x.remaining(), 0)/minTokenTime))
	if x.call.IsSized {
		expected = min(expected, x.call.Answer)
	}
	switch {
	case expected > 0:
		return expected
	case x.call.IsSized:
		return min(x.call.Answer, maxAssumedAnswer)
	}
	return 0
}

// maxConnections returns how many connections this node may have to an endpoint.
func (x *exchange) maxConnections() int {
	if x.service.MaxConnections <= 0 {
		return 1 << 20
	}
	return max(2, int(connectionFraction*float64(x.service.MaxConnections)/float64(max(x.f.Entries(), 1))))
}

// step is the state of a call after an attempt.
type step int

const (
	// stepDone: the caller has its answer.
	stepDone step = iota
	// stepUnsent: no byte of the call was sent to the endpoint.
	stepUnsent
	// stepNotRun: the endpoint did not run the call.
	stepNotRun
	// stepLost: the call may have run and no complete answer arrived.
	stepLost
)

// forward tries endpoints until the caller has an answer or no further attempt is
// allowed.
func (x *exchange) forward() {
	for {
		if x.f.config.IsIsolated(x.service.Name, x.call.Blocks, x.fingerprint) {
			x.abandonIsolated()
			return
		}
		next, refused, wait := x.nextEndpoint()
		if next == nil {
			x.recordRefused(refused, wait)
			x.abandon(string(refused), wait)
			return
		}
		choice := next.choice
		x.recordAdmitted(choice)
		x.result.Endpoint, x.result.Predicted = choice.Endpoint().ID, choice.Predicted()
		x.result.Attempts++
		if !x.isBudgeted {
			x.isBudgeted = true
			x.f.config.Budget.RecordCall(x.service.Name, x.f.config.Clock.Now())
		}
		last := x.attempt(next)
		if last == stepDone {
			return
		}
		x.tried = append(x.tried, choice.Endpoint().ID)
		if reason := x.stopReason(last); reason != "" {
			x.abandon(reason, 0)
			return
		}
	}
}

// countUsage counts the call in the customer's usage, at most once.
func (x *exchange) countUsage() {
	if x.isUsageCounted || x.customer == nil {
		return
	}
	x.isUsageCounted = true
	x.f.config.CallBegan(x.customer.Name)
}

// hopByHopFields are header fields that apply to one connection only and are not
// forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// StripHop removes the hop-by-hop header fields, including those named in the
// Connection field.
func StripHop(h http.Header) {
	for _, line := range slices.Clone(h["Connection"]) {
		for _, name := range splitList(line) {
			h.Del(name)
		}
	}
	for _, name := range hopByHopFields {
		h.Del(name)
	}
}
