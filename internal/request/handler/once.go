package handler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/request/claimer"
)

// settleLimit bounds the time after the caller's deadline in which the truth about a lost
// call is looked for.
const settleLimit = 3 * time.Second

// serveOnce runs a call at most once. The claim comes before the limits, so that a call
// that was sent twice is never told that it did not run when it did. Once granted,
// the call goes on when its caller leaves.
func (h *Handler) serveOnce(ctx context.Context, w http.ResponseWriter, call *Call) Result {
	if h.cfg.Claimer == nil {
		return h.fail(w, call, claimProblem("claims cannot be made here"), Result{})
	}
	outcome := h.cfg.Claimer.Begin(ctx, claimer.Call{
		Customer: call.customer.Name(), Key: call.key, Request: call.id, Deadline: call.deadline, Keep: call.route.Keep(),
		Print: claimer.Fingerprint(call.method, call.path, call.body), Resolve: h.resolver(call),
	})
	turn := outcome.Turn()
	if turn == nil {
		return outcomeReply(outcome).write(w, call)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.deadline.Sub(h.cfg.Clock.Now()))
	defer cancel()
	call.turn = turn
	got := h.servePlain(ctx, call)
	switch got.outcome() {
	case OutcomeDone:
		turn.Done(recorded(got.answer))
	case OutcomeNotRun:
		if o := turn.NotRun(errors.Is(got.result.Err, dialer.ErrNotRun)); o.Kind() == claimer.Unknown {
			found := outcomeReply(o)
			found.result = got.result
			got = found
		}
	case OutcomeUnknown:
		settle, stop := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
		defer stop()
		found := outcomeReply(turn.Lost(settle))
		found.result = got.result
		got = found
	}
	return got.write(w, call)
}

// outcomeReply turns a claim that was decided into a reply.
func outcomeReply(o claimer.Outcome) reply {
	switch o.Kind() {
	case claimer.Replay:
		return replay(o.Answer())
	case claimer.Mismatch:
		return reply{problem: NewProblem(http.StatusUnprocessableEntity, OutcomeNotRun, "Key in use",
			"the Idempotency-Key belongs to another call")}
	case claimer.Refused:
		return reply{problem: claimProblem(o.Reason())}
	}
	return reply{problem: unknownProblem()}
}

// replay returns the recorded answer, or says that it was too large to be kept.
func replay(a *applier.Answer) reply {
	if a != nil && a.Truncated {
		return reply{problem: NewProblem(http.StatusGone, OutcomeDone, "Answer not kept",
			fmt.Sprintf("the call was answered with status %d; its answer was too large to be kept", a.Status))}
	}
	return reply{answer: replayed(a)}
}

func claimProblem(detail string) *Problem {
	return NewProblem(http.StatusServiceUnavailable, OutcomeNotRun, "Not run", detail).RetryAfter(time.Second)
}

func recorded(answer dialer.Answer) applier.Answer {
	r := applier.Answer{Status: answer.Status, Body: answer.Body}
	for _, name := range []string{"Content-Type", "Location"} {
		if value := answer.Header.Get(name); value != "" {
			r.Header = append(r.Header, applier.Field{Name: name, Value: value})
		}
	}
	return r
}

func replayed(r *applier.Answer) dialer.Answer {
	if r == nil {
		return dialer.Answer{Status: http.StatusOK}
	}
	answer := dialer.Answer{Status: r.Status, Body: r.Body, Header: make(http.Header)}
	for _, f := range r.Header {
		answer.Header.Set(f.Name, f.Value)
	}
	return answer
}

// resolver returns how to ask the service's status path about a call, or nil.
func (h *Handler) resolver(call *Call) func(ctx context.Context) (applier.Outcome, *applier.Answer, error) {
	if call.service.Status() == "" {
		return nil
	}
	r := &statusReader{handler: h, call: call}
	return r.read
}

// statusReader asks one endpoint after another.
type statusReader struct {
	handler *Handler
	call    *Call
	asked   []string
}

const statusLimit = time.Second // of one question

func (r *statusReader) read(ctx context.Context) (applier.Outcome, *applier.Answer, error) {
	route := plainRoute(r.call)
	route.Exclude = r.asked
	choice, ok := r.handler.cfg.Router.Choose(r.handler.cfg.Clock.Now(), route)
	if !ok {
		r.asked = nil
		return applier.OutcomeUnknown, nil, errors.New("no endpoint to ask")
	}
	r.asked = append(r.asked, choice.Endpoint().ID())
	ctx, cancel := context.WithTimeout(ctx, statusLimit)
	defer cancel()
	status, err := r.handler.cfg.Status(ctx, choice.Endpoint().Address(), r.call.service.Status(), r.call.key)
	var refused *dialer.StatusError
	switch {
	case err == nil && status.Done():
		return applier.OutcomeDone, &applier.Answer{Status: status.Status, Body: []byte(status.Body)}, nil
	case errors.As(err, &refused) && refused.Status() == http.StatusNotFound:
		return applier.OutcomeNotRun, nil, nil
	case err == nil:
		err = errors.New("the service does not say yet")
	}
	return applier.OutcomeUnknown, nil, err
}
