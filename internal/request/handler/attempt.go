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
	errReplaced = errors.New("another engine goes on with the stream")
	errBroken   = errors.New("the engine skipped tokens or gave too many")
)

// ending says what the end of an attempt tells of its endpoint.
type ending int

const (
	answered ending = iota
	failed
	refused
	excused
	late // the deadline came first
)

// endedBy says why the context of a generation has ended.
func endedBy(ctx context.Context) ending {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return late
	}
	return excused
}

func resultOf(failure retrier.Failure, leaving bool) ending {
	switch {
	case leaving:
		return excused
	case failure == retrier.Unsent:
		return refused
	}
	return failed
}

// attempt is the call of one stream to one engine.
type attempt struct {
	generation *generation
	choice     router.Choice
	endpoint   lister.Endpoint
	source     int
	request    string
	start      time.Time
	observed   *observer.Call
	ctx        context.Context
	cancel     context.CancelFunc
	done       chan error

	mu     sync.Mutex
	first  time.Time
	last   time.Time
	tokens int
	whole  bool // the engine has said that the answer is complete
}

func newAttempt(ctx context.Context, g *generation, choice router.Choice, source int) *attempt {
	h := g.handler
	now := h.cfg.Clock.Now()
	ctx, cancel := context.WithCancel(ctx)
	h.began(choice.Endpoint(), g.record.Route)
	return &attempt{
		generation: g, choice: choice, endpoint: choice.Endpoint(), source: source,
		// Each attempt has its own id: an engine may still run the one before.
		request: g.record.Request + "." + strconv.Itoa(source),
		start:   now, observed: h.cfg.Observer.Start(now, choice.Endpoint().ID(), choice.Work()),
		ctx: ctx, cancel: cancel, done: make(chan error, 1),
	}
}

// run passes the engine's tokens into the stream. It sends nil when the answer is whole.
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
		if end, err := a.take(event); end {
			a.done <- err
			return
		}
	}
}

// take takes in one event and reports whether it ends the attempt.
func (a *attempt) take(event dialer.Event) (bool, error) {
	g := a.generation
	now := g.handler.cfg.Clock.Now()
	var verdict streamer.Verdict
	if event.Kind == dialer.EventDone {
		a.setWhole()
		verdict = g.stream.Finish(now, a.source, event.Count)
	} else {
		verdict = g.stream.Accept(a.source, event.ID, event.Token)
	}
	switch verdict {
	case streamer.Stale:
		return true, errReplaced
	case streamer.Gap, streamer.Overflow:
		return true, errBroken
	case streamer.Repeated:
		return false, nil
	}
	if event.Kind == dialer.EventDone {
		return true, nil
	}
	a.observed.Token(now, 1)
	if a.note(now) == 1 {
		g.handler.cfg.Router.RecordPrefixes(a.endpoint.ID(), g.prefixes)
	}
	return false, nil
}

func (a *attempt) note(now time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tokens == 0 {
		a.first = now
	}
	a.last = now
	a.tokens++
	return a.tokens
}

// setWhole notes the end of the answer before the stream ends by it, so that
// the attempt counts as answered.
func (a *attempt) setWhole() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.whole = true
}

func (a *attempt) isWhole() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.whole
}

// silence returns the time since the engine was last heard of, beyond the usual.
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

// next returns the mean time between tokens at the engine, as measured or predicted.
func (a *attempt) next() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tokens < 4 {
		return a.choice.Next()
	}
	return a.last.Sub(a.first) / time.Duration(a.tokens-1)
}

// stop ends the attempt here. The engine is told by the closed connection.
func (a *attempt) stop(e ending) {
	a.cancel()
	a.finish(e)
}

// finish records how the attempt ended.
func (a *attempt) finish(e ending) {
	h := a.generation.handler
	now := h.cfg.Clock.Now()
	results := map[ending]observer.Result{answered: observer.Done, failed: observer.Failed, refused: observer.Refused, excused: observer.Canceled, late: observer.Canceled}
	a.observed.End(now, results[e])
	a.mu.Lock()
	result := Attempt{Failed: e == failed || e == refused || e == late, Excused: e == excused, Total: now.Sub(a.start)}
	if a.tokens > 0 {
		result.First = a.first.Sub(a.start)
	}
	if a.tokens > 1 {
		result.Next = a.last.Sub(a.first) / time.Duration(a.tokens-1)
	}
	a.mu.Unlock()
	h.ended(a.endpoint, a.generation.record.Route, result)
}
