package claimer

import (
	"context"
	"sync"
	"time"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
)

// Execution is a granted claim: the permission of this entry to run one call once. It is
// safe for concurrent use.
type Execution struct {
	claimer *Claimer
	call    Call
	ended   chan struct{} // closed when the call has ended

	mu      sync.Mutex
	machine stateMachine
	answer  *applier.Answer
}

// BeginSend reports whether the first byte may be sent. If so, the call is considered as
// possibly run until UndoSend is called.
func (e *Execution) BeginSend() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.beginSend(e.claimer.config.Clock.Now())
}

// UndoSend records that the attempt failed before any byte reached an endpoint, so that
// another endpoint may be tried.
func (e *Execution) UndoSend() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.undoSend()
}

// Done records the answer of the service.
func (e *Execution) Done(answer applier.Answer) Outcome {
	e.end(applier.OutcomeDone, &answer, true)
	return Outcome{kind: Replay, answer: &answer}
}

// NotRun ends a call of which no byte reached an endpoint, or that the service itself
// reported as not run (fromService). In any other case the outcome is unknown.
func (e *Execution) NotRun(fromService bool) Outcome {
	if e.end(applier.OutcomeNotRun, nil, fromService) == applier.OutcomeNotRun {
		return Outcome{kind: Refused, reason: "no endpoint ran the call"}
	}
	return Outcome{kind: Unknown, reason: "the call was sent"}
}

// Lost ends a call whose answer was lost. It queries the service's status path until ctx
// is done; if there is none, the outcome is unknown.
func (e *Execution) Lost(ctx context.Context) Outcome {
	e.mu.Lock()
	granted := e.machine.phase == PhaseGranted
	e.mu.Unlock()
	if granted {
		return e.NotRun(false)
	}
	outcome, answer, err := e.claimer.queryStatus(ctx, e.call)
	if err != nil {
		e.end(applier.OutcomeUnknown, nil, false)
		return Outcome{kind: Unknown, reason: "the connection was lost after the call was sent"}
	}
	e.end(outcome, answer, true)
	return resolved(outcome, answer)
}

func resolved(outcome applier.Outcome, answer *applier.Answer) Outcome {
	if outcome == applier.OutcomeDone {
		return Outcome{kind: Replay, answer: answer}
	}
	return Outcome{kind: Refused, reason: "the service has not run the call and will not"}
}

// end ends the call, wakes the requests that joined it, and records the outcome.
func (e *Execution) end(outcome applier.Outcome, answer *applier.Answer, fromService bool) applier.Outcome {
	e.mu.Lock()
	outcome, first := e.machine.finish(outcome, fromService)
	if first {
		e.answer = answer
	}
	e.mu.Unlock()
	if !first {
		return outcome
	}
	close(e.ended)
	e.claimer.recordOutcome(pendingOutcome{execution: e, outcome: outcome, answer: answer})
	return outcome
}

// abandon ends a call whose claim could not be committed.
func (e *Execution) abandon(err error) Outcome {
	e.mu.Lock()
	e.machine.abandon()
	e.mu.Unlock()
	close(e.ended)
	c := e.claimer
	if c.config.IsNotRun(err) {
		c.remove(e)
	} else {
		c.enqueue(pendingOutcome{execution: e, outcome: applier.OutcomeNotRun, until: c.config.Clock.Now().Add(c.retention(e.call))})
	}
	return Outcome{kind: Refused, reason: "the claim could not be committed"}
}

// drop ends a request whose claim was not granted.
func (e *Execution) drop() {
	close(e.ended)
	e.claimer.remove(e)
}

func (e *Execution) result() (applier.Outcome, *applier.Answer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.outcome, e.answer
}

// queryStatus queries the status path until it gives a definite answer or ctx is done.
func (c *Claimer) queryStatus(ctx context.Context, call Call) (applier.Outcome, *applier.Answer, error) {
	if call.Resolve == nil {
		return applier.OutcomeUnknown, nil, ErrNoStatus
	}
	for {
		outcome, answer, err := call.Resolve(ctx)
		if err == nil && (outcome == applier.OutcomeDone || outcome == applier.OutcomeNotRun) {
			return outcome, answer, nil
		}
		if ctx.Err() != nil || !clock.Sleep(c.config.Clock, resolveInterval, ctx.Done()) {
			return applier.OutcomeUnknown, nil, ErrNoStatus
		}
	}
}

const (
	pendingQueueSize = 4096
	recordRetryDelay = 250 * time.Millisecond // between attempts to record an outcome
)

// pendingOutcome is an outcome that is not recorded in the log yet.
type pendingOutcome struct {
	execution *Execution
	outcome   applier.Outcome
	answer    *applier.Answer
	until     time.Time // when to stop trying to record it
}

// recordOutcome records an outcome, or leaves it to the background loop if the log is
// not reachable.
func (c *Claimer) recordOutcome(r pendingOutcome) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if c.tryRecord(ctx, r) {
		return
	}
	r.until = c.config.Clock.Now().Add(c.retention(r.execution.call))
	c.enqueue(r)
}

// enqueue leaves an outcome to the background loop. If the queue is full, the outcome is
// dropped.
func (c *Claimer) enqueue(r pendingOutcome) {
	select {
	case c.pending <- r:
	default:
		c.config.Log.Warn("outcome not recorded: queue is full", "request", r.execution.call.Request, "outcome", r.outcome)
		c.remove(r.execution)
	}
}

// tryRecord proposes the outcome to the log once and reports whether it is recorded.
func (c *Claimer) tryRecord(ctx context.Context, r pendingOutcome) bool {
	call := r.execution.call
	if r.answer != nil && len(r.answer.Body) > applier.MaxAnswerBytes {
		r.answer = &applier.Answer{Status: r.answer.Status, Header: r.answer.Header, Truncated: true}
	}
	_, err := c.config.Propose(ctx, applier.Command{ClaimFinish: &applier.ClaimFinish{
		Customer: call.Customer, Key: call.Key, Request: call.Request, Outcome: r.outcome, Answer: r.answer,
	}})
	if err != nil {
		return false
	}
	c.remove(r.execution)
	return true
}

// run retries pending outcomes until they are recorded.
func (c *Claimer) run() {
	defer c.tasks.Done()
	for {
		select {
		case <-c.quit:
			return
		case r := <-c.pending:
			c.retry(r)
		}
	}
}

// retry retries an outcome until it is recorded, its time is over, or the claimer stops.
func (c *Claimer) retry(r pendingOutcome) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		ok := c.tryRecord(ctx, r)
		cancel()
		if ok {
			return
		}
		if c.config.Clock.Now().After(r.until) {
			c.remove(r.execution)
			return
		}
		if !clock.Sleep(c.config.Clock, recordRetryDelay, c.quit) {
			return
		}
	}
}
