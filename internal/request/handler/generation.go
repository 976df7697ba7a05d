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
	superviseInterval  = 50 * time.Millisecond
	endpointRetryDelay = 50 * time.Millisecond // while no endpoint is available
	defaultNotice      = 2 * time.Second       // assumed notice of a leaving endpoint whose termination time is not known
	kvCopyTimeout      = 5 * time.Second       // for export and import together
	kvCopyRate         = 20000.0               // words per second that a copy of the KV cache transfers
	kvCopySetup        = 20 * time.Millisecond // fixed part of the time of a copy
	ratioSmoothing     = 0.05                  // weight of one answer in the expected ratio
	minOverrun         = 5 * time.Second       // minimum time after the deadline in which an answer may still complete
)

// generation generates the answer of one stream. If an engine fails or leaves, it resumes
// at another one.
type generation struct {
	handler      *Handler
	stream       *streamer.Stream
	record       streamer.Record // snapshot taken at the start
	call         *Call           // nil for a stream taken over from another entry, which admitted it
	words        int             // of the prompt
	prefixes     []uint64        // hashes of the prompt's prefixes
	retry        *retrier.Retrier
	lastProgress int  // number of tokens at the last failure
	sent         bool // an engine may have received the request

	leavingEndpoint string    // leaving endpoint of the current attempt
	leavingSince    time.Time // when leavingEndpoint was first seen as leaving
}

// step tells how to continue after an attempt: end, resume at a chosen endpoint, possibly
// with an imported KV cache, or resume at any endpoint.
type step struct {
	end      bool
	choice   *router.Choice
	kvHandle string
}

func newGeneration(h *Handler, stream *streamer.Stream, call *Call) *generation {
	g := &generation{handler: h, stream: stream, record: stream.Snapshot(), call: call}
	g.words, g.prefixes = router.Prefixes(g.record.Prompt)
	return g
}

// run generates tokens until the stream has ended.
func (g *generation) run() {
	h := g.handler
	defer h.generations.Done()
	now := h.cfg.Clock.Now()
	// A complete answer after the deadline is worth more than a truncated one.
	remaining := max(g.record.Deadline.Sub(now), 0)
	hardDeadline := now.Add(remaining + max(remaining, minOverrun))
	ctx, cancel := context.WithTimeout(h.base, hardDeadline.Sub(now))
	defer cancel()
	budget := h.retryBudget(g.record.Service)
	if g.call != nil {
		if problem := g.admit(ctx); problem != nil {
			g.reject(problem)
			return
		}
		s := h.service(g.call.service)
		defer s.gate.Leave()
		budget = s.budget
	}
	g.retry = retrier.New(budget, true, hardDeadline)
	g.lastProgress = g.stream.Count()
	for next := (step{}); !next.end; {
		a, ok := g.startAttempt(ctx, next)
		if !ok {
			return
		}
		next = g.supervise(ctx, a)
	}
}

// retryBudget returns the retry budget of the named service, or a new one if this entry
// has not served the service yet.
func (h *Handler) retryBudget(name string) *retrier.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s, ok := h.services[name]; ok {
		return s.budget
	}
	return retrier.NewBudget(retrier.DefaultRatio, retrier.DefaultReserve)
}

func (g *generation) admit(ctx context.Context) *Problem {
	if problem := g.handler.checkLimit(g.call); problem != nil {
		return problem
	}
	return g.handler.admit(ctx, g.call, g.route())
}

// reject ends the stream with the problem that refused the call.
func (g *generation) reject(p *Problem) {
	g.stream.Fail(g.handler.cfg.Clock.Now(), streamer.Failure{Sent: g.sent, Status: p.status, Detail: p.detail, RetryAfter: p.retryAfter})
}

// fail ends the stream with a failure whose detail is sent to the caller.
func (g *generation) fail(detail string) {
	status := http.StatusServiceUnavailable
	if g.sent {
		status = http.StatusGatewayTimeout
	}
	g.stream.Fail(g.handler.cfg.Clock.Now(), streamer.Failure{Sent: g.sent, Status: status, Detail: detail, RetryAfter: time.Second})
}

// route returns the remaining work of the answer as input for the router.
func (g *generation) route() router.Call {
	count := g.stream.Count()
	ratio := 1.0
	if g.call != nil {
		ratio = g.handler.service(g.call.service).expectedRatio()
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

// startAttempt requests the remaining tokens from an endpoint. It waits while no endpoint
// is available and reports false if the generation has ended instead.
func (g *generation) startAttempt(ctx context.Context, next step) (*attempt, bool) {
	h := g.handler
	for next.choice == nil {
		if choice, ok := h.cfg.Router.Choose(h.cfg.Clock.Now(), g.route()); ok {
			next.choice = &choice
			break
		}
		g.retry.ClearTried()
		if !clock.Sleep(h.cfg.Clock, endpointRetryDelay, ctx.Done()) {
			g.fail("no endpoint took the call")
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
		Request: a.request, Prompt: g.record.Prompt, Max: g.record.Max, Priority: g.record.Priority, After: after, KV: next.kvHandle,
	})
	return a, true
}

// supervise watches an attempt until it has ended or the stream resumes elsewhere.
func (g *generation) supervise(ctx context.Context, a *attempt) step {
	timer := g.handler.cfg.Clock.NewTimer(superviseInterval)
	defer timer.Stop()
	for {
		select {
		case err := <-a.done:
			return g.afterAttempt(ctx, a, err)
		case <-timer.C():
			if next, moved := g.checkAttempt(ctx, a); moved {
				return next
			}
			timer.Reset(superviseInterval)
		case <-g.stream.Done():
			if a.isComplete() {
				return g.afterAttempt(ctx, a, <-a.done)
			}
			a.stop(excluded)
			return step{end: true}
		case <-ctx.Done():
			a.stop(endingFromContext(ctx))
			g.sent = true
			g.fail("the answer did not come in time")
			return step{end: true}
		}
	}
}

// afterAttempt returns how to continue after the attempt has ended by itself.
func (g *generation) afterAttempt(ctx context.Context, a *attempt, err error) step {
	h := g.handler
	if err == nil {
		a.finish(answered)
		if g.call != nil {
			h.service(g.call.service).updateRatio(g.stream.Count(), g.record.Max)
		}
		g.retry.Budget().Success()
		return step{end: true}
	}
	failure := failureOf(err)
	g.sent = g.sent || failure == retrier.Lost
	if errors.Is(err, errReplaced) || g.stream.Held() || ctx.Err() != nil {
		a.finish(endingFromContext(ctx))
		if ctx.Err() != nil {
			g.fail("the answer did not come in time")
		}
		return step{end: true}
	}
	leaving := g.isLeaving(a)
	a.finish(endingFromFailure(failure, leaving))
	if leaving {
		// The endpoint announced its termination, so resuming elsewhere is not a retry.
		g.countRecomputed()
		return step{}
	}
	if count := g.stream.Count(); count > g.lastProgress {
		g.lastProgress = count
		g.retry.ResetAttempts()
	}
	outcome := g.retry.Fail(h.cfg.Clock.Now(), a.endpoint.ID(), a.endpoint.Domain(), failure, a.choice.First())
	if !outcome.Retry() {
		g.fail("the engines failed: " + string(outcome.Reason()))
		return step{end: true}
	}
	if failure == retrier.Lost {
		g.countRecomputed()
	}
	return step{}
}

// countRecomputed adds the prefill that the next engine repeats to the stream's count.
func (g *generation) countRecomputed() {
	if choice, ok := g.handler.cfg.Router.Estimate(g.handler.cfg.Clock.Now(), g.route()); ok {
		g.stream.AddRecomputed(choice.Work().Prompt)
	}
}

func (g *generation) isLeaving(a *attempt) bool {
	load := g.handler.cfg.Observer.Load(a.endpoint.ID())
	return load.Leaving()
}

// expectedRatio returns the expected ratio of an answer's length to the requested maximum.
func (s *service) expectedRatio() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lengthRatio
}

// updateRatio updates the expected ratio after an answer of count tokens.
func (s *service) updateRatio(count, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lengthRatio += ratioSmoothing * (float64(count)/float64(max(limit, 1)) - s.lengthRatio)
}
