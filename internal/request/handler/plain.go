package handler

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/observer"
	"hyssoprudder/internal/request/retrier"
	"hyssoprudder/internal/request/router"
)

// reply is the result of a plain call: an answer or a problem.
type reply struct {
	answer  dialer.Answer
	problem *Problem
	result  Result
}

// write sends the reply to the caller.
func (r reply) write(w http.ResponseWriter, call *Call) Result {
	result := r.result
	if r.problem != nil {
		r.problem.Write(w, call.id)
		result.Outcome, result.Status = r.problem.outcome, r.problem.status
		return result
	}
	writeAnswer(w, call, r.answer)
	result.Outcome, result.Status = OutcomeDone, r.answer.Status
	return result
}

func (r reply) outcome() Outcome {
	if r.problem != nil {
		return r.problem.outcome
	}
	return OutcomeDone
}

// servePlain checks the customer's limit, waits for admission and sends the call.
func (h *Handler) servePlain(ctx context.Context, call *Call) reply {
	if problem := h.checkLimit(call); problem != nil {
		return reply{problem: problem, result: Result{Err: problem}}
	}
	if problem := h.admit(ctx, call, plainRoute(call)); problem != nil {
		return reply{problem: problem, result: Result{Err: problem}}
	}
	defer h.service(call.service).gate.Leave()
	return h.send(ctx, call)
}

func plainRoute(call *Call) router.Call {
	return router.Call{Service: call.service.Name(), Route: call.route.Name()}
}

// send tries endpoints until one has answered or the retrier permits no further attempt.
func (h *Handler) send(ctx context.Context, call *Call) reply {
	budget := h.service(call.service).budget
	retry := retrier.New(budget, !call.Once(), call.deadline)
	route := plainRoute(call)
	for {
		route.Exclude, route.AvoidDomain = retry.Tried(), retry.AvoidDomain()
		choice, ok := h.cfg.Router.Choose(h.cfg.Clock.Now(), route)
		if !ok {
			return failureReply(retry.RunStatus(), Result{Attempts: retry.Attempts()})
		}
		endpoint := choice.Endpoint()
		if call.execution != nil && !call.execution.BeginSend() {
			return failureReply(retry.RunStatus(), Result{Attempts: retry.Attempts()})
		}
		answer, err := h.try(ctx, call, choice)
		result := Result{Endpoint: endpoint.ID(), Attempts: retry.Attempts() + 1, Err: err}
		failed := err == nil && answer.Status >= http.StatusInternalServerError
		if err == nil && (!failed || call.Once()) {
			budget.Success()
			return reply{answer: answer, result: result}
		}
		outcome := retry.Fail(h.cfg.Clock.Now(), endpoint.ID(), endpoint.Domain(), failureOf(err), choice.Duration())
		if call.execution != nil && failureOf(err) != retrier.Lost {
			call.execution.UndoSend()
		}
		if outcome.Retry() && ctx.Err() == nil {
			continue
		}
		if failed {
			return reply{answer: answer, result: result}
		}
		return failureReply(outcome.RunStatus(), result)
	}
}

// failureReply returns the reply to a call that no endpoint answered.
func failureReply(runStatus retrier.RunStatus, result Result) reply {
	if runStatus == retrier.Unknown {
		return reply{problem: unknownProblem(), result: result}
	}
	return reply{problem: noEndpointProblem(), result: result}
}

func failureOf(err error) retrier.Failure {
	switch {
	case errors.Is(err, dialer.ErrNotRun):
		return retrier.NotRun
	case err != nil && !dialer.MayHaveRun(err):
		return retrier.Unsent
	}
	return retrier.Lost
}

// try sends the call to one endpoint and records the result.
func (h *Handler) try(ctx context.Context, call *Call, choice router.Choice) (dialer.Answer, error) {
	endpoint, start := choice.Endpoint(), h.cfg.Clock.Now()
	h.attemptStarted(endpoint, call.route.Name())
	observed := h.cfg.Observer.Start(start, endpoint.ID(), choice.Work())
	answer, err := h.cfg.Do(ctx, endpoint.Address(), dialer.Request{
		ID: call.id, Key: call.key, Method: call.method, Path: call.path, Header: call.header, Body: call.body,
	})
	now := h.cfg.Clock.Now()
	if err == nil {
		observed.Token(now, 0)
	}
	canceled := errors.Is(ctx.Err(), context.Canceled)
	failed := err != nil || answer.Status >= http.StatusInternalServerError
	observed.End(now, observedResult(err, failed, canceled))
	h.attemptEnded(endpoint, call.route.Name(), AttemptResult{Failed: failed, Excluded: canceled, First: now.Sub(start), Total: now.Sub(start)})
	return answer, err
}

func observedResult(err error, failed, canceled bool) observer.Result {
	switch {
	case canceled:
		return observer.Canceled
	case err != nil && failureOf(err) == retrier.Unsent:
		return observer.Refused
	case failed:
		return observer.Failed
	}
	return observer.Done
}

var droppedHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Date", HeaderRequest, HeaderOutcome}

func writeAnswer(w http.ResponseWriter, call *Call, answer dialer.Answer) {
	h := w.Header()
	for name, values := range answer.Header {
		if !slices.Contains(droppedHeaders, name) {
			h[name] = values
		}
	}
	h.Set(HeaderRequest, call.id)
	h.Set(HeaderOutcome, string(OutcomeDone))
	w.WriteHeader(answer.Status)
	// Errors are ignored: the call has run even if the caller has disconnected.
	_, _ = w.Write(answer.Body)
}
