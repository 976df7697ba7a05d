package handler

import (
	"context"
	"net/http"
	"time"

	"hyssoprudder/internal/connection/dialer"
)

// Grant is the outcome of a claim.
type Grant int

// The outcomes of a claim.
const (
	// Granted means that this call, and no other, may be sent.
	Granted Grant = iota
	// Replayed means that the call with the key has run; its answer is at hand.
	Replayed
	// Lost means that the call with the key may have run.
	Lost
	// Mismatched means that the key belongs to a call with another body.
	Mismatched
	// Unavailable means that the claim was not granted and never will be for this request.
	Unavailable
)

// Claim is what is known of a key.
type Claim struct {
	Grant  Grant
	Answer dialer.Answer // in Replayed
}

// Claims grants each key of a customer once.
type Claims struct {
	// Acquire claims the call's key. If another call holds it, Acquire waits until
	// that one has ended or ctx ends, and then returns Replayed or Lost.
	Acquire func(ctx context.Context, call *Call) Claim
	// Settle records what became of a granted call.
	Settle func(ctx context.Context, call *Call, outcome Outcome, answer dialer.Answer)
}

// settleLimit bounds the time to record an outcome after the caller's deadline.
const settleLimit = 5 * time.Second

// serveOnce runs a call at most once. The claim comes before the limits, so that a call
// that was sent twice is never told that it did not run when it did. Once granted,
// the call goes on when its caller leaves.
func (h *Handler) serveOnce(ctx context.Context, w http.ResponseWriter, call *Call) Result {
	if h.cfg.Claims.Acquire == nil {
		return h.runOnce(ctx, call).write(w, call)
	}
	claim := h.cfg.Claims.Acquire(ctx, call)
	switch claim.Grant {
	case Replayed:
		return reply{answer: claim.Answer}.write(w, call)
	case Lost:
		if found, ok := h.resolve(ctx, call); ok && found.problem == nil {
			return found.write(w, call)
		}
		return h.fail(w, call, unknownProblem(), Result{})
	case Mismatched:
		return h.fail(w, call, NewProblem(http.StatusUnprocessableEntity, OutcomeNotRun, "Key in use",
			"the Idempotency-Key belongs to a call with another body"), Result{})
	case Unavailable:
		return h.fail(w, call, NewProblem(http.StatusServiceUnavailable, OutcomeNotRun, "No claim",
			"the key could not be claimed").RetryAfter(time.Second), Result{})
	case Granted:
	}
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.deadline.Sub(h.cfg.Clock.Now()))
	defer cancel()
	got := h.runOnce(detached, call)
	settle, stop := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
	defer stop()
	h.cfg.Claims.Settle(settle, call, got.outcome(), got.answer)
	return got.write(w, call)
}

func (h *Handler) runOnce(ctx context.Context, call *Call) reply {
	got := h.servePlain(ctx, call)
	if got.outcome() != OutcomeUnknown {
		return got
	}
	// The deadline may have passed; the truth is worth some more time.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
	defer cancel()
	if found, ok := h.resolve(ctx, call); ok {
		found.result.Attempts = got.result.Attempts
		return found
	}
	return got
}
