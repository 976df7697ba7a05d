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

// settleTimeout bounds how long after the caller's deadline the entry tries to find out
// whether a call without an answer has run.
const settleTimeout = 3 * time.Second

// serveOnce runs a call at most once. It claims the key before it checks limits, so that
// a repeated call is never answered with "notrun" although the first one ran. Once the
// claim is granted, the call continues even if its caller disconnects.
func (h *Handler) serveOnce(ctx context.Context, w http.ResponseWriter, call *Call) Result {
	if h.cfg.Claimer == nil {
		return h.writeProblem(w, call, claimProblem("claims cannot be made here"), Result{})
	}
	outcome := h.cfg.Claimer.Begin(ctx, claimer.Call{
		Customer: call.customer.Name(), Key: call.key, Request: call.id, Deadline: call.deadline, Retention: call.route.Retention(),
		Fingerprint: claimer.Fingerprint(call.method, call.path, call.body), Resolve: h.resolver(call),
	})
	execution := outcome.Execution()
	if execution == nil {
		return outcomeReply(outcome).write(w, call)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), call.deadline.Sub(h.cfg.Clock.Now()))
	defer cancel()
	call.execution = execution
	r := h.servePlain(ctx, call)
	switch r.outcome() {
	case OutcomeDone:
		execution.Done(toRecord(r.answer))
	case OutcomeNotRun:
		if o := execution.NotRun(errors.Is(r.result.Err, dialer.ErrNotRun)); o.Kind() == claimer.Unknown {
			settled := outcomeReply(o)
			settled.result = r.result
			r = settled
		}
	case OutcomeUnknown:
		settle, stop := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
		defer stop()
		settled := outcomeReply(execution.Lost(settle))
		settled.result = r.result
		r = settled
	}
	return r.write(w, call)
}

// outcomeReply returns the reply for the outcome of a claim.
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

// replay returns the recorded answer, or a problem if it was too large to be recorded.
func replay(a *applier.Answer) reply {
	if a != nil && a.Truncated {
		return reply{problem: NewProblem(http.StatusGone, OutcomeDone, "Answer not kept",
			fmt.Sprintf("the call was answered with status %d; its answer was too large to be kept", a.Status))}
	}
	return reply{answer: fromRecord(a)}
}

func claimProblem(detail string) *Problem {
	return NewProblem(http.StatusServiceUnavailable, OutcomeNotRun, "Not run", detail).RetryAfter(time.Second)
}

func toRecord(answer dialer.Answer) applier.Answer {
	r := applier.Answer{Status: answer.Status, Body: answer.Body}
	for _, name := range []string{"Content-Type", "Location"} {
		if value := answer.Header.Get(name); value != "" {
			r.Header = append(r.Header, applier.Field{Name: name, Value: value})
		}
	}
	return r
}

func fromRecord(a *applier.Answer) dialer.Answer {
	if a == nil {
		return dialer.Answer{Status: http.StatusOK}
	}
	answer := dialer.Answer{Status: a.Status, Body: a.Body, Header: make(http.Header)}
	for _, f := range a.Header {
		answer.Header.Set(f.Name, f.Value)
	}
	return answer
}

// resolver returns a function that queries the service's status path for the call's
// outcome, or nil if the service has no status path.
func (h *Handler) resolver(call *Call) func(ctx context.Context) (applier.Outcome, *applier.Answer, error) {
	if call.service.Status() == "" {
		return nil
	}
	r := &statusReader{handler: h, call: call}
	return r.read
}

// statusReader queries the status path, on each read at an endpoint not queried before.
type statusReader struct {
	handler *Handler
	call    *Call
	queried []string
}

const statusTimeout = time.Second // for one query

func (r *statusReader) read(ctx context.Context) (applier.Outcome, *applier.Answer, error) {
	route := plainRoute(r.call)
	route.Exclude = r.queried
	choice, ok := r.handler.cfg.Router.Choose(r.handler.cfg.Clock.Now(), route)
	if !ok {
		r.queried = nil
		return applier.OutcomeUnknown, nil, errors.New("no endpoint available to query the status")
	}
	r.queried = append(r.queried, choice.Endpoint().ID())
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := r.handler.cfg.Status(ctx, choice.Endpoint().Address(), r.call.service.Status(), r.call.key)
	var refused *dialer.StatusError
	switch {
	case err == nil && status.Done():
		return applier.OutcomeDone, &applier.Answer{Status: status.Status, Body: []byte(status.Body)}, nil
	case errors.As(err, &refused) && refused.Status() == http.StatusNotFound:
		return applier.OutcomeNotRun, nil, nil
	case err == nil:
		err = errors.New("the service does not know yet whether the call has run")
	}
	return applier.OutcomeUnknown, nil, err
}
