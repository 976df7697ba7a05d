package handler

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/request/retrier"
	"hyssoprudder/internal/request/router"
	"hyssoprudder/internal/request/streamer"
)

const (
	superviseInterval = 50 * time.Millisecond
	endpointPause     = 50 * time.Millisecond // when no endpoint may be chosen
	noticeDefault     = 2 * time.Second       // of a leaving endpoint, if none is known
	copyLimit         = 5 * time.Second
	kvRate            = 20000.0 // words per second of a copy of the KV cache
	kvSetup           = 20 * time.Millisecond
	ratioGain         = 0.05
	lateLimit         = 5 * time.Second // least time after the deadline for an answer to become whole
)

// generation generates the answer of one stream, on one engine after another.
type generation struct {
	handler  *Handler
	stream   *streamer.Stream
	record   streamer.Record // as it was at the start
	call     *Call           // nil for a stream that another entry admitted
	words    int
	prefixes []uint64
	retry    *retrier.Retrier
	progress int  // tokens at the last failure
	sent     bool // an engine may have seen a byte

	noticed  string // endpoint whose leaving was noticed
	noticeAt time.Time
}

// step is where to go on: at a chosen endpoint with an imported KV cache, or anywhere.
type step struct {
	end    bool
	choice *router.Choice
	kv     string
}

func newGeneration(h *Handler, stream *streamer.Stream, call *Call) *generation {
	g := &generation{handler: h, stream: stream, record: stream.Snapshot(), call: call}
	g.words, g.prefixes = router.Prefixes(g.record.Prompt)
	return g
}

// run generates until the stream has ended.
func (g *generation) run() {
	h := g.handler
	defer h.running.Done()
	now := h.cfg.Clock.Now()
	// A whole answer that is late is better than a part of one.
	left := max(g.record.Deadline.Sub(now), 0)
	hard := now.Add(left + max(left, lateLimit))
	ctx, cancel := context.WithTimeout(h.base, hard.Sub(now))
	defer cancel()
	budget := h.budgetOf(g.record.Service)
	if g.call != nil {
		if problem := g.admit(ctx); problem != nil {
			g.refuse(problem)
			return
		}
		s := h.service(g.call.service)
		defer s.gate.Leave()
		budget = s.budget
	}
	g.retry = retrier.New(budget, true, hard)
	g.progress = g.stream.Count()
	for next := (step{}); !next.end; {
		a, ok := g.begin(ctx, next)
		if !ok {
			return
		}
		next = g.supervise(ctx, a)
	}
}

// budgetOf returns the retry budget of a service by name. A service that this entry has
// not served yet gets one of its own.
func (h *Handler) budgetOf(name string) *retrier.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, ok := h.services[name]; ok {
		return s.budget
	}
	return retrier.NewBudget(retrier.DefaultRatio, retrier.DefaultReserve)
}

func (g *generation) admit(ctx context.Context) *Problem {
	if problem := g.handler.limit(g.call); problem != nil {
		return problem
	}
	return g.handler.admit(ctx, g.call, g.route())
}

func (g *generation) refuse(p *Problem) {
	g.stream.Fail(g.handler.cfg.Clock.Now(), streamer.Failure{Sent: g.sent, Status: p.status, Detail: p.detail, RetryAfter: p.retryAfter})
}

func (g *generation) lose(detail string) {
	status := http.StatusServiceUnavailable
	if g.sent {
		status = http.StatusGatewayTimeout
	}
	g.stream.Fail(g.handler.cfg.Clock.Now(), streamer.Failure{Sent: g.sent, Status: status, Detail: detail, RetryAfter: time.Second})
}

// route describes what is left of the answer to the router.
func (g *generation) route() router.Call {
	count := g.stream.Count()
	ratio := 1.0
	if g.call != nil {
		ratio = g.handler.service(g.call.service).expected()
	}
	call := router.Call{
		Service: g.record.Service, Route: g.record.Route, Prefixes: g.prefixes,
		Words: g.words + count, Decode: max(int(ratio*float64(g.record.Max))-count, 1),
	}
	if g.retry != nil {
		call.Exclude, call.AvoidDomain = g.retry.Tried(), g.retry.AvoidDomain()
	}
	return call
}

// begin sends what is left of the answer to an endpoint. While there is no endpoint, it
// waits for one.
func (g *generation) begin(ctx context.Context, next step) (*attempt, bool) {
	h := g.handler
	for next.choice == nil {
		if choice, ok := h.cfg.Router.Choose(h.cfg.Clock.Now(), g.route()); ok {
			next.choice = &choice
			break
		}
		g.retry.ClearTried()
		if !clock.Sleep(h.cfg.Clock, endpointPause, ctx.Done()) {
			g.lose("no endpoint took the call")
			return nil, false
		}
	}
	source, after := g.stream.Attach()
	if source == 0 {
		return nil, false
	}
	a := newAttempt(ctx, g, *next.choice, source)
	g.stream.SetEndpoint(next.choice.Endpoint().ID())
	go a.run(dialer.Generation{
		Request: a.request, Prompt: g.record.Prompt, Max: g.record.Max, Priority: g.record.Priority, After: after, KV: next.kv,
	})
	return a, true
}

// supervise watches an attempt until it has ended or the stream goes on elsewhere.
func (g *generation) supervise(ctx context.Context, a *attempt) step {
	timer := g.handler.cfg.Clock.NewTimer(superviseInterval)
	defer timer.Stop()
	for {
		select {
		case err := <-a.done:
			return g.ended(ctx, a, err)
		case <-timer.C():
			if next, moved := g.check(ctx, a); moved {
				return next
			}
			timer.Reset(superviseInterval)
		case <-g.stream.Done():
			if a.isWhole() {
				return g.ended(ctx, a, <-a.done)
			}
			a.stop(excused)
			return step{end: true}
		case <-ctx.Done():
			a.stop(endedBy(ctx))
			g.sent = true
			g.lose("the answer did not come in time")
			return step{end: true}
		}
	}
}

// ended decides how to go on after an attempt has ended by itself.
func (g *generation) ended(ctx context.Context, a *attempt, err error) step {
	h := g.handler
	if err == nil {
		a.finish(answered)
		if g.call != nil {
			h.service(g.call.service).learn(g.stream.Count(), g.record.Max)
		}
		g.retry.Budget().Success()
		return step{end: true}
	}
	failure := failureOf(err)
	g.sent = g.sent || failure == retrier.Lost
	if errors.Is(err, errReplaced) || g.stream.Held() || ctx.Err() != nil {
		a.finish(endedBy(ctx))
		if ctx.Err() != nil {
			g.lose("the answer did not come in time")
		}
		return step{end: true}
	}
	leaving := g.leaving(a)
	a.finish(resultOf(failure, leaving))
	if leaving {
		// The end was announced; going on elsewhere is no retry.
		g.recompute()
		return step{}
	}
	if count := g.stream.Count(); count > g.progress {
		g.progress = count
		g.retry.ResetAttempts()
	}
	outcome := g.retry.Fail(h.cfg.Clock.Now(), a.endpoint.ID(), a.endpoint.Domain(), failure, a.choice.First())
	if !outcome.Retry() {
		g.lose("the engines failed: " + string(outcome.Reason()))
		return step{end: true}
	}
	if failure == retrier.Lost {
		g.recompute()
	}
	return step{}
}

// recompute counts the prefill that the next engine does again.
func (g *generation) recompute() {
	if choice, ok := g.handler.cfg.Router.Estimate(g.handler.cfg.Clock.Now(), g.route()); ok {
		g.stream.Recompute(choice.Work().Prompt)
	}
}

func (g *generation) leaving(a *attempt) bool {
	load := g.handler.cfg.Observer.Load(a.endpoint.ID())
	return load.Leaving()
}

// expected returns the usual share of the most tokens that an answer has.
func (s *service) expected() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ratio
}

func (s *service) learn(count, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ratio += ratioGain * (float64(count)/float64(max(most, 1)) - s.ratio)
}
