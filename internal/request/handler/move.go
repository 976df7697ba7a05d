package handler

import (
	"context"
	"time"

	"hyssoprudder/internal/request/retrier"
	"hyssoprudder/internal/request/router"
	"hyssoprudder/internal/request/streamer"
)

// check looks after a running attempt: whether anybody still wants the answer, and
// whether the engine is leaving or silent. It reports true if the attempt was ended.
func (g *generation) check(ctx context.Context, a *attempt) (step, bool) {
	h := g.handler
	now := h.cfg.Clock.Now()
	if g.stream.Held() {
		a.stop(excused)
		return step{end: true}, true
	}
	if g.abandoned(now) {
		a.stop(excused)
		g.sent = true
		g.lose("the caller left")
		return step{end: true}, true
	}
	leaving, silence := g.leaving(a), a.silence(now)
	if !leaving && silence == 0 {
		return step{}, false
	}
	route := g.route()
	route.Exclude = append(route.Exclude[:len(route.Exclude):len(route.Exclude)], a.endpoint.ID())
	route.AvoidDomain = a.endpoint.Domain()
	choice, elsewhere := h.cfg.Router.Estimate(now, route)
	plan := streamer.Choose(g.situation(now, a, choice, elsewhere, leaving))
	switch plan.Action() {
	case streamer.Import:
		return g.copy(ctx, a, choice), true
	case streamer.Prefill:
		return g.leave(now, a, choice, leaving)
	}
	return step{}, false
}

// abandoned reports whether nobody reads and nobody can come back for the answer.
func (g *generation) abandoned(now time.Time) bool {
	keyless := g.record.Name == "request:"+g.record.Request
	return keyless && g.stream.Abandoned(now, g.handler.cfg.Grace)
}

func (g *generation) situation(now time.Time, a *attempt, choice router.Choice, elsewhere, leaving bool) streamer.Situation {
	h := g.handler
	count := g.stream.Count()
	left := g.record.Max - count
	if g.call != nil {
		left = max(int(h.service(g.call.service).expected()*float64(g.record.Max))-count, 1)
	}
	s := streamer.Situation{
		Now: now, Silence: a.silence(now), Left: left, Next: a.next(),
		Elsewhere: elsewhere, First: choice.First(), FirstCopied: choice.Next(), NextThere: choice.Next(),
		Recomputed: choice.Work().Prompt,
	}
	if choice.Work().Prompt > 0 {
		load := h.cfg.Observer.Load(choice.Endpoint().ID())
		s.WordCost = time.Duration(float64(time.Second) / load.PrefillRate())
	}
	if leaving {
		s.Until = g.until(now, a)
	}
	if leaving && h.cfg.Export != nil && h.cfg.Import != nil && count > 0 {
		s.Copy = kvSetup + time.Duration(float64(g.words+count)/kvRate*float64(time.Second))
	}
	return s
}

// until returns when a leaving endpoint goes away.
func (g *generation) until(now time.Time, a *attempt) time.Time {
	if g.noticed != a.endpoint.ID() {
		g.noticed, g.noticeAt = a.endpoint.ID(), now
	}
	if g.handler.cfg.Until != nil {
		if at := g.handler.cfg.Until(a.endpoint.ID()); !at.IsZero() {
			return at
		}
	}
	return g.noticeAt.Add(noticeDefault)
}

// leave ends the attempt and goes on at another engine from the prompt and the
// tokens so far. Leaving a silent engine counts as a retry.
func (g *generation) leave(now time.Time, a *attempt, choice router.Choice, leaving bool) (step, bool) {
	if !leaving {
		if count := g.stream.Count(); count > g.progress {
			g.progress = count
			g.retry.ResetAttempts()
		}
		outcome := g.retry.Fail(now, a.endpoint.ID(), a.endpoint.Domain(), retrier.Lost, choice.First())
		if !outcome.Retry() {
			return step{}, false
		}
	}
	g.sent = true
	a.stop(resultOf(retrier.Lost, leaving))
	g.stream.Recompute(choice.Work().Prompt)
	return step{choice: &choice}, true
}

// copy moves the KV cache to another engine and goes on there. If that fails, the stream
// goes on with a prefill.
func (g *generation) copy(ctx context.Context, a *attempt, choice router.Choice) step {
	h := g.handler
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	from, to := a.endpoint.Address(), choice.Endpoint().Address()
	next := step{choice: &choice}
	handle, err := h.cfg.Export(ctx, from, a.request)
	if err == nil {
		g.drain(ctx, a)
		if handle, err = h.cfg.Import(ctx, to, from, handle.Handle); err == nil {
			next.kv = handle.Handle
		}
	}
	g.sent = true
	a.stop(excused)
	if err != nil {
		g.stream.Recompute(choice.Work().Prompt)
	}
	if g.stream.State() != streamer.Running {
		return step{end: true}
	}
	return next
}

// drain waits for the tokens that the engine had put out before the export.
func (g *generation) drain(ctx context.Context, a *attempt) {
	timer := g.handler.cfg.Clock.NewTimer(superviseInterval)
	defer timer.Stop()
	select {
	case err := <-a.done:
		// The attempt has ended; the stream goes on at the other engine.
		a.done <- err
	case <-timer.C():
	case <-ctx.Done():
	}
}
