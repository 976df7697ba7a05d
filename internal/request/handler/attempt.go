package handler

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/observer"
	"hyssoprudder/internal/request/retrier"
	"hyssoprudder/internal/request/router"
	"hyssoprudder/internal/request/streamer"
)

var (
	errReplaced        = errors.New("another engine has resumed the stream")
	errInvalidSequence = errors.New("the engine skipped tokens or sent too many")
)

// ending classifies the end of an attempt for the endpoint's statistics.
type ending int

const (
	answered ending = iota
	failed
	refused
	excluded
	timedOut // the deadline passed before the attempt ended
)

// endingFromContext returns the ending of an attempt whose context is done.
func endingFromContext(ctx context.Context) ending {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return timedOut
	}
	return excluded
}

// endingFromFailure returns the ending of a failed attempt. Failures of a leaving
// endpoint are expected and do not count against it.
func endingFromFailure(failure retrier.Failure, leaving bool) ending {
	switch {
	case leaving:
		return excluded
	case failure == retrier.Unsent:
		return refused
	}
	return failed
}

// attempt is one request to one engine for the tokens of a stream.
type attempt struct {
	generation *generation
	choice     router.Choice
	endpoint   lister.Endpoint
	source     int    // number of the attempt as a source of the stream
	request    string // id of the request to the engine
	start      time.Time
	observed   *observer.Call
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan error // receives the result of run

	mu       sync.Mutex
	first    time.Time // arrival of the first token
	last     time.Time // arrival of the last token so far
	tokens   int
	complete bool // the engine has reported that the answer is complete
}

func newAttempt(ctx context.Context, g *generation, choice router.Choice, source int) *attempt {
	h := g.handler
	now := h.cfg.Clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	h.attemptStarted(choice.Endpoint(), g.record.Route)
	return &attempt{
		generation: g, choice: choice, endpoint: choice.Endpoint(), source: source,
		// Each attempt has its own id because the engine may still run the previous one.
		request: g.record.Request + "." + strconv.Itoa(source),
		start:   now, observed: h.cfg.Observer.Start(now, choice.Endpoint().ID(), choice.Work()),
		ctx: ctx, cancel: cancel, done: make(chan error, 1),
	}
}

// run appends the engine's tokens to the stream. It sends the attempt's error to done, or
// nil if the answer is complete.
func (a *attempt) run(request dialer.Generation) {
	defer a.cancel()
	stream, err := a.generation.handler.cfg.Generate(a.ctx, a.endpoint.Address(), request)
	if err != nil {
		a.done <- err
		return
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil {
			a.done <- err
			return
		}
		if end, err := a.accept(event); end {
			a.done <- err
			return
		}
	}
}

// accept handles one event and reports whether it ends the attempt.
func (a *attempt) accept(event dialer.Event) (bool, error) {
	g := a.generation
	now := g.handler.cfg.Clock.Now()
	var result streamer.EventResult
	if event.Kind == dialer.EventDone {
		a.markComplete()
		result = g.stream.Finish(now, a.source, event.Count)
	} else {
		result = g.stream.Accept(a.source, event.ID, event.Token)
	}
	switch result {
	case streamer.Stale:
		return true, errReplaced
	case streamer.Gap, streamer.Overflow:
		return true, errInvalidSequence
	case streamer.Repeated:
		return false, nil
	}
	if event.Kind == dialer.EventDone {
		return true, nil
	}
	a.observed.Token(now, 1)
	if a.recordToken(now) == 1 {
		g.handler.cfg.Router.RecordPrefixes(a.endpoint.ID(), g.prefixes)
	}
	return false, nil
}

// recordToken records when a token arrived and returns the number of tokens so far.
func (a *attempt) recordToken(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tokens == 0 {
		a.first = now
	}
	a.last = now
	a.tokens++
	return a.tokens
}

// markComplete records that the engine completed the answer. It is called before the
// stream finishes, so that the attempt counts as answered.
func (a *attempt) markComplete() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.complete = true
}

func (a *attempt) isComplete() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.complete
}

// silence returns by how much the engine's next token is overdue, or 0 if it is not. A
// token counts as overdue only after a multiple of the predicted time plus a slack.
func (a *attempt) silence(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tokens == 0 {
		return max(now.Sub(a.start)-2*a.choice.First()-firstSlack, 0)
	}
	return max(now.Sub(a.last)-nextFactor*a.choice.Next()-nextSlack, 0)
}

const (
	firstSlack = 500 * time.Millisecond
	nextFactor = 4
	nextSlack  = 100 * time.Millisecond
)

// next returns the mean time between tokens at the engine: the predicted one for the
// first tokens, then the measured one.
func (a *attempt) next() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tokens < 4 {
		return a.choice.Next()
	}
	return a.last.Sub(a.first) / time.Duration(a.tokens-1)
}

// stop aborts the attempt. The engine stops generating when the connection closes.
func (a *attempt) stop(e ending) {
	a.cancel()
	a.finish(e)
}

// finish reports the ending of the attempt.
func (a *attempt) finish(e ending) {
	h := a.generation.handler
	now := h.cfg.Clock.Now()
	results := map[ending]observer.Result{answered: observer.Done, failed: observer.Failed, refused: observer.Refused, excluded: observer.Canceled, timedOut: observer.Canceled}
	a.observed.End(now, results[e])
	a.mu.Lock()
	result := AttemptResult{Failed: e == failed || e == refused || e == timedOut, Excluded: e == excluded, Total: now.Sub(a.start)}
	if a.tokens > 0 {
		result.First = a.first.Sub(a.start)
	}
	if a.tokens > 1 {
		result.Next = a.last.Sub(a.first) / time.Duration(a.tokens-1)
	}
	a.mu.Unlock()
	h.attemptEnded(a.endpoint, a.generation.record.Route, result)
}
