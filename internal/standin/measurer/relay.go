package measurer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/observer"
	"hyssoprudder/internal/request/router"
	"hyssoprudder/internal/request/streamer"
	"hyssoprudder/internal/standin/engine"
	"hyssoprudder/internal/standin/hoster"
)

const (
	noEndpointPause = 20 * time.Millisecond
	exportTimeout   = time.Second
)

// relay carries one answer from engines to its caller.
type relay struct {
	entry    *entry
	call     router.Call // does not change
	excluded []string
	body     body
	out      http.ResponseWriter
	name     string
	whole    bool
	priority int
	choice   *router.Choice // made at admission
	attempt  int
	again    int // tokens generated a second time by the present engine
	computed int // words and tokens that it computed for the prefill
	tokens   []string

	mu     sync.Mutex
	at     lister.Endpoint
	source *dialer.Stream // nil while there is none
	count  int
	moved  *kv
	ended  bool
}

// kv is an exported KV cache.
type kv struct {
	from   lister.Endpoint
	handle string
}

func (r *relay) serve(ctx context.Context) {
	defer r.finish()
	for ctx.Err() == nil {
		choice, ok := r.choose()
		if !ok {
			r.excluded = nil
			clock.Sleep(r.entry.site.clock, noEndpointPause, ctx.Done())
			continue
		}
		r.begin()
		r.again, r.computed = 0, 0
		whole := r.relay(ctx, choice)
		if r.attempt > 1 {
			r.entry.site.tally.resume(r.again + r.computed)
		}
		if whole {
			r.close()
			return
		}
		if !r.isMoved() {
			r.excluded = append(r.excluded, choice.Endpoint().ID())
		}
	}
}

func (r *relay) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempt++
	r.source = nil
}

// isMoved reports whether the KV cache of the last engine was exported. It waits for
// an export that runs.
func (r *relay) isMoved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moved != nil
}

// choose returns the endpoint that was chosen at admission, once, and then others.
func (r *relay) choose() (router.Choice, bool) {
	if r.choice != nil {
		choice := *r.choice
		r.choice = nil
		return choice, true
	}
	call := r.call
	call.Exclude = r.excluded
	return r.entry.router.Choose(r.entry.site.clock.Now(), call)
}

func (r *relay) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

// relay passes on the tokens of one engine and reports whether the answer is whole.
func (r *relay) relay(ctx context.Context, choice router.Choice) bool {
	to := choice.Endpoint()
	now := r.entry.site.clock.Now
	started := r.entry.observer.Start(now(), to.ID(), choice.Work())
	source, err := r.entry.dialer.Generate(ctx, to.Address(), r.generation(ctx, to))
	if err != nil {
		started.End(now(), resultOf(ctx, observer.Refused))
		return false
	}
	defer source.Close()
	r.attach(to, source)
	for {
		event, err := source.Next()
		switch {
		case errors.Is(err, dialer.ErrMoved):
			started.End(now(), observer.Canceled)
			return false
		case err != nil:
			started.End(now(), resultOf(ctx, observer.Failed))
			return false
		case event.Kind == dialer.EventDone:
			started.End(now(), observer.Done)
			r.entry.router.RecordPrefixes(to.ID(), r.call.Prefixes)
			r.computed = event.Computed
			return true
		}
		started.Token(now(), 1)
		// An engine that is lost again does not say what it computed.
		r.computed = choice.Work().Prompt
		if event.ID == len(r.tokens)+1 {
			r.pass(event)
		} else {
			r.again++
		}
	}
}

func resultOf(ctx context.Context, result observer.Result) observer.Result {
	if ctx.Err() != nil {
		return observer.Canceled
	}
	return result
}

func (r *relay) generation(ctx context.Context, to lister.Endpoint) dialer.Generation {
	g := dialer.Generation{
		Request: fmt.Sprintf("%s-%d", r.name, r.attempt), Prompt: r.body.Prompt, Max: r.body.Max, Priority: r.priority,
	}
	if r.entry.site.arm.Restart {
		return g
	}
	g.After = r.tokens
	r.mu.Lock()
	moved := r.moved
	r.moved = nil
	r.mu.Unlock()
	if moved != nil {
		if h, err := r.entry.dialer.Import(ctx, to.Address(), moved.from.Address(), moved.handle); err == nil {
			g.KV = h.Handle
		}
	}
	return g
}

func (r *relay) attach(to lister.Endpoint, source *dialer.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at, r.source = to, source
}

func (r *relay) pass(event dialer.Event) {
	r.entry.site.tally.deliver()
	r.mu.Lock()
	r.count++
	r.mu.Unlock()
	r.tokens = append(r.tokens, event.Token)
	if r.whole {
		return
	}
	fmt.Fprintf(r.out, "id: %d\ndata: {\"token\":%q}\n\n", event.ID, event.Token)
	_ = http.NewResponseController(r.out).Flush()
}

func (r *relay) close() {
	if r.whole {
		hoster.Reply(r.out, http.StatusOK, struct {
			Tokens []string `json:"tokens"`
			Count  int      `json:"count"`
		}{r.tokens, len(r.tokens)})
		return
	}
	fmt.Fprintf(r.out, "event: done\ndata: {\"count\":%d}\n\n", len(r.tokens))
}

// leave plans what to do when the engine of the stream is leaving.
func (r *relay) leave(endpoint lister.Endpoint, until time.Time) {
	if r.entry.site.arm.Restart {
		return
	}
	r.mu.Lock()
	affected := r.source != nil && !r.ended && r.at.ID() == endpoint.ID()
	l := &leaving{relay: r, from: r.at, source: r.source, count: r.count, until: until}
	l.request = fmt.Sprintf("%s-%d", r.name, r.attempt)
	r.mu.Unlock()
	if affected {
		r.entry.ended.Add(1)
		go l.run()
	}
}

// leaving moves one stream away from an engine that is leaving.
type leaving struct {
	relay   *relay
	from    lister.Endpoint
	source  *dialer.Stream
	request string
	count   int // tokens so far
	until   time.Time
}

func (l *leaving) run() {
	e := l.relay.entry
	defer e.ended.Done()
	switch streamer.ChoosePlan(l.situation()).Action() {
	case streamer.Import:
		ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
		defer cancel()
		// The lock keeps the stream from going on before the handle is known.
		l.relay.mu.Lock()
		defer l.relay.mu.Unlock()
		if h, err := e.dialer.Export(ctx, l.from.Address(), l.request); err == nil {
			l.relay.moved = &kv{from: l.from, handle: h.Handle}
		}
	case streamer.Prefill:
		l.source.Close()
	case streamer.Wait, streamer.Abandon:
	}
}

func (l *leaving) situation() streamer.PlanInput {
	r, e := l.relay, l.relay.entry
	now := e.site.clock.Now()
	load := e.observer.Load(l.from.ID())
	s := streamer.PlanInput{
		Now: now, TerminatesAt: l.until, RemainingTokens: r.body.Max - l.count, Next: load.Next(now, 0),
		Recomputed: r.call.Words + l.count,
	}
	call := r.call
	call.Exclude = []string{l.from.ID()}
	if choice, ok := e.router.Choose(now, call); ok {
		there := e.observer.Load(choice.Endpoint().ID())
		s.HasAlternative, s.AlternativeFirst, s.AlternativeNext = true, choice.First(), choice.Next()
		s.Recomputed -= choice.Cached()
		s.AlternativeFirstCopied = there.First(now, observer.Work{Decode: s.RemainingTokens})
		if rate := there.PrefillRate(); rate > 0 {
			s.WordCost = time.Duration(float64(time.Second) / rate)
		}
	}
	seconds := float64(r.call.Words+l.count) / engine.Defaults().Copy
	s.CopyTime = e.site.scaled(time.Duration(seconds * float64(time.Second)))
	return s
}
