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
	noEndpointDelay = 20 * time.Millisecond
	exportTimeout   = time.Second
)

// relay forwards the answer to one call from one or more engines to the caller.
type relay struct {
	entry       *entry
	call        router.Call // never changes
	excluded    []string
	body        body
	w           http.ResponseWriter
	id          string
	unstreamed  bool
	priority    int
	admitted    *router.Choice // choice made at admission, until it is used
	attempt     int
	regenerated int // tokens that the current engine has generated again
	computed    int // words and tokens that the current engine has prefilled
	tokens      []string

	mu       sync.Mutex
	endpoint lister.Endpoint
	source   *dialer.Stream // stream of the current engine, or nil
	count    int            // length of tokens, for other goroutines
	moved    *kv
	finished bool
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
			clock.Sleep(r.entry.site.clock, noEndpointDelay, ctx.Done())
			continue
		}
		r.beginAttempt()
		r.regenerated, r.computed = 0, 0
		complete := r.forward(ctx, choice)
		if r.attempt > 1 {
			r.entry.site.tally.addResumption(r.regenerated + r.computed)
		}
		if complete {
			r.sendEnd()
			return
		}
		if !r.isMoved() {
			r.excluded = append(r.excluded, choice.Endpoint().ID())
		}
	}
}

func (r *relay) beginAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempt++
	r.source = nil
}

// isMoved reports whether the KV cache was exported from the last engine. It waits for
// an export in progress, which holds the lock.
func (r *relay) isMoved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moved != nil
}

// choose returns the choice made at admission for the first attempt, and new choices
// for later ones.
func (r *relay) choose() (router.Choice, bool) {
	if r.admitted != nil {
		choice := *r.admitted
		r.admitted = nil
		return choice, true
	}
	call := r.call
	call.Exclude = r.excluded
	return r.entry.router.Choose(r.entry.site.clock.Now(), call)
}

func (r *relay) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished = true
}

// forward forwards the tokens of one engine and reports whether the answer is
// complete.
func (r *relay) forward(ctx context.Context, choice router.Choice) bool {
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
		// The engine reports what it prefilled only at the end of the stream. If it is
		// lost before, assume the work estimated by the router.
		r.computed = choice.Work().Prompt
		if event.ID == len(r.tokens)+1 {
			r.deliver(event)
		} else {
			r.regenerated++
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
		Request: fmt.Sprintf("%s-%d", r.id, r.attempt), Prompt: r.body.Prompt, Max: r.body.Max, Priority: r.priority,
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
	r.endpoint, r.source = to, source
}

func (r *relay) deliver(event dialer.Event) {
	r.entry.site.tally.addToken()
	r.mu.Lock()
	r.count++
	r.mu.Unlock()
	r.tokens = append(r.tokens, event.Token)
	if r.unstreamed {
		return
	}
	fmt.Fprintf(r.w, "id: %d\ndata: {\"token\":%q}\n\n", event.ID, event.Token)
	_ = http.NewResponseController(r.w).Flush()
}

func (r *relay) sendEnd() {
	if r.unstreamed {
		hoster.Reply(r.w, http.StatusOK, struct {
			Tokens []string `json:"tokens"`
			Count  int      `json:"count"`
		}{r.tokens, len(r.tokens)})
		return
	}
	fmt.Fprintf(r.w, "event: done\ndata: {\"count\":%d}\n\n", len(r.tokens))
}

// handleLeaving starts a migration if endpoint, which is leaving, serves the stream.
func (r *relay) handleLeaving(endpoint lister.Endpoint, terminatesAt time.Time) {
	if r.entry.site.arm.Restart {
		return
	}
	r.mu.Lock()
	affected := r.source != nil && !r.finished && r.endpoint.ID() == endpoint.ID()
	m := &migration{relay: r, from: r.endpoint, source: r.source, count: r.count, terminatesAt: terminatesAt}
	m.request = fmt.Sprintf("%s-%d", r.id, r.attempt)
	r.mu.Unlock()
	if affected {
		r.entry.ended.Add(1)
		go m.run()
	}
}

// migration moves one stream away from an engine that is leaving.
type migration struct {
	relay        *relay
	from         lister.Endpoint
	source       *dialer.Stream
	request      string
	count        int // tokens received so far
	terminatesAt time.Time
}

func (m *migration) run() {
	e := m.relay.entry
	defer e.ended.Done()
	switch streamer.ChoosePlan(m.planInput()).Action() {
	case streamer.Import:
		ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
		defer cancel()
		// The lock keeps the stream from continuing before the handle is known.
		m.relay.mu.Lock()
		defer m.relay.mu.Unlock()
		if h, err := e.dialer.Export(ctx, m.from.Address(), m.request); err == nil {
			m.relay.moved = &kv{from: m.from, handle: h.Handle}
		}
	case streamer.Prefill:
		m.source.Close()
	case streamer.Wait, streamer.Abandon:
	}
}

func (m *migration) planInput() streamer.PlanInput {
	r, e := m.relay, m.relay.entry
	now := e.site.clock.Now()
	load := e.observer.Load(m.from.ID())
	input := streamer.PlanInput{
		Now: now, TerminatesAt: m.terminatesAt, RemainingTokens: r.body.Max - m.count, Next: load.Next(now, 0),
		Recomputed: r.call.Words + m.count,
	}
	call := r.call
	call.Exclude = []string{m.from.ID()}
	if choice, ok := e.router.Choose(now, call); ok {
		alternative := e.observer.Load(choice.Endpoint().ID())
		input.HasAlternative, input.AlternativeFirst, input.AlternativeNext = true, choice.First(), choice.Next()
		input.Recomputed -= choice.Cached()
		input.AlternativeFirstCopied = alternative.First(now, observer.Work{Decode: input.RemainingTokens})
		if rate := alternative.PrefillRate(); rate > 0 {
			input.WordCost = time.Duration(float64(time.Second) / rate)
		}
	}
	seconds := float64(r.call.Words+m.count) / engine.Defaults().CopyRate
	input.CopyTime = e.site.scaled(time.Duration(seconds * float64(time.Second)))
	return input
}
