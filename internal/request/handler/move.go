package handler

import (
	"context"
	"time"

	"hyssoprudder/internal/request/retrier"
	"hyssoprudder/internal/request/router"
	"hyssoprudder/internal/request/streamer"
)

// checkAttempt stops an attempt whose stream is being handed over or has no reader, and
// fails over if its engine is leaving or silent. It reports whether the attempt was stopped.
func (g *generation) checkAttempt(ctx context.Context, a *attempt) (step, bool) {
	h := g.handler
	now := h.cfg.Clock.Now()
	if g.stream.Held() {
		a.stop(excluded)
		return step{end: true}, true
	}
	if g.abandoned(now) {
		a.stop(excluded)
		g.sent = true
		g.fail("the caller left")
		return step{end: true}, true
	}
	leaving, silence := g.isLeaving(a), a.silence(now)
	if !leaving && silence == 0 {
		return step{}, false
	}
	route := g.route()
	route.Exclude = append(route.Exclude[:len(route.Exclude):len(route.Exclude)], a.endpoint.ID())
	route.AvoidDomain = a.endpoint.Domain()
	choice, available := h.cfg.Router.Estimate(now, route)
	plan := streamer.ChoosePlan(g.planInput(now, a, choice, available, leaving))
	switch plan.Action() {
	case streamer.Import:
		return g.failOverWithKV(ctx, a, choice), true
	case streamer.Prefill:
		return g.failOver(now, a, choice, leaving)
	}
	return step{}, false
}

// abandoned reports whether the stream has no reader and its caller can no longer
// reconnect. A caller with an idempotency key always can.
func (g *generation) abandoned(now time.Time) bool {
	keyless := g.record.Name == "request:"+g.record.Request
	return keyless && g.stream.Abandoned(now, g.handler.cfg.Grace)
}

// planInput returns the input for the choice between staying and failing over.
func (g *generation) planInput(now time.Time, a *attempt, choice router.Choice, available, leaving bool) streamer.PlanInput {
	h := g.handler
	count := g.stream.Count()
	remaining := g.record.Max - count
	if g.call != nil {
		remaining = max(int(h.service(g.call.service).expectedRatio()*float64(g.record.Max))-count, 1)
	}
	s := streamer.PlanInput{
		Now: now, Silence: a.silence(now), RemainingTokens: remaining, Next: a.next(),
		HasAlternative: available, AlternativeFirst: choice.First(), AlternativeFirstCopied: choice.Next(), AlternativeNext: choice.Next(),
		Recomputed: choice.Work().Prompt,
	}
	if choice.Work().Prompt > 0 {
		load := h.cfg.Observer.Load(choice.Endpoint().ID())
		s.WordCost = time.Duration(float64(time.Second) / load.PrefillRate())
	}
	if leaving {
		s.TerminatesAt = g.terminatesAt(now, a)
	}
	if leaving && h.cfg.Export != nil && h.cfg.Import != nil && count > 0 {
		s.CopyTime = kvCopySetup + time.Duration(float64(g.words+count)/kvCopyRate*float64(time.Second))
	}
	return s
}

// terminatesAt returns when a leaving endpoint terminates: the known time, or
// defaultNotice after the leaving mark was first seen.
func (g *generation) terminatesAt(now time.Time, a *attempt) time.Time {
	if g.leavingEndpoint != a.endpoint.ID() {
		g.leavingEndpoint, g.leavingSince = a.endpoint.ID(), now
	}
	if g.handler.cfg.TerminatesAt != nil {
		if at := g.handler.cfg.TerminatesAt(a.endpoint.ID()); !at.IsZero() {
			return at
		}
	}
	return g.leavingSince.Add(defaultNotice)
}

// failOver stops the attempt and resumes at another engine, which prefills the prompt and
// the tokens so far. If the engine is silent rather than leaving, this counts as a retry;
// failOver reports false and changes nothing if no retry is permitted.
func (g *generation) failOver(now time.Time, a *attempt, choice router.Choice, leaving bool) (step, bool) {
	if !leaving {
		if count := g.stream.Count(); count > g.lastProgress {
			g.lastProgress = count
			g.retry.ResetAttempts()
		}
		if !g.retry.GiveUp(now, a.endpoint.ID(), a.endpoint.Domain(), choice.First()) {
			return step{}, false
		}
	}
	g.sent = true
	a.stop(endingFromFailure(retrier.Lost, leaving))
	g.stream.AddRecomputed(choice.Work().Prompt)
	return step{choice: &choice}, true
}

// failOverWithKV copies the KV cache to another engine and resumes there. If the copy
// fails, that engine prefills the prompt and the tokens so far.
func (g *generation) failOverWithKV(ctx context.Context, a *attempt, choice router.Choice) step {
	h := g.handler
	ctx, cancel := context.WithTimeout(ctx, kvCopyTimeout)
	defer cancel()
	from, to := a.endpoint.Address(), choice.Endpoint().Address()
	next := step{choice: &choice}
	handle, err := h.cfg.Export(ctx, from, a.request)
	if err == nil {
		g.drain(ctx, a)
		if handle, err = h.cfg.Import(ctx, to, from, handle.Handle); err == nil {
			next.kvHandle = handle.Handle
		}
	}
	g.sent = true
	a.stop(excluded)
	if err != nil {
		g.stream.AddRecomputed(choice.Work().Prompt)
	}
	if g.stream.State() != streamer.Running {
		return step{end: true}
	}
	return next
}

// drain waits briefly for tokens that the engine sent before the export.
func (g *generation) drain(ctx context.Context, a *attempt) {
	timer := g.handler.cfg.Clock.NewTimer(superviseInterval)
	defer timer.Stop()
	select {
	case err := <-a.done:
		// Put the result back for later readers; the stream resumes at the other engine.
		a.done <- err
	case <-timer.C():
	case <-ctx.Done():
	}
}
