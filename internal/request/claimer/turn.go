package claimer

import (
	"context"
	"sync"
	"time"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
)

// Turn is the right of this entry to run one call once. It is safe for
// concurrent use.
type Turn struct {
	claimer *Claimer
	call    Call
	ended   chan struct{}

	mu      sync.Mutex
	machine machine
	answer  *applier.Answer
}

// Sending asks for permission to send the first byte. After true the call counts
// as possibly run, until Unsent.
func (t *Turn) Sending() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.sending(t.claimer.config.Clock.Now())
}

// Unsent reports that the attempt failed before any byte reached an endpoint, so
// that another endpoint may be tried.
func (t *Turn) Unsent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.unsent()
}

// Done records the answer of the service.
func (t *Turn) Done(answer applier.Answer) Outcome {
	t.end(applier.OutcomeDone, &answer, true)
	return Outcome{kind: Replay, answer: &answer}
}

// NotRun ends a call of which no byte reached an endpoint, or of which the
// service itself said that it was not run (fromService). If neither is so, the
// outcome is unknown.
func (t *Turn) NotRun(fromService bool) Outcome {
	if t.end(applier.OutcomeNotRun, nil, fromService) == applier.OutcomeNotRun {
		return Outcome{kind: Refused, reason: "no endpoint ran the call"}
	}
	return Outcome{kind: Unknown, reason: "the call was sent"}
}

// Lost ends a call whose answer did not come. It asks the service's status path
// until ctx ends; without one the outcome is unknown.
func (t *Turn) Lost(ctx context.Context) Outcome {
	t.mu.Lock()
	granted := t.machine.phase == PhaseGranted
	t.mu.Unlock()
	if granted {
		return t.NotRun(false)
	}
	outcome, answer, err := t.claimer.ask(ctx, t.call)
	if err != nil {
		t.end(applier.OutcomeUnknown, nil, false)
		return Outcome{kind: Unknown, reason: "the connection was lost after the call was sent"}
	}
	t.end(outcome, answer, true)
	return resolved(outcome, answer)
}

func resolved(outcome applier.Outcome, answer *applier.Answer) Outcome {
	if outcome == applier.OutcomeDone {
		return Outcome{kind: Replay, answer: answer}
	}
	return Outcome{kind: Refused, reason: "the service has not run the call and will not"}
}

// end takes the outcome to the log, at once if it can be, and lets those who
// joined go on.
func (t *Turn) end(outcome applier.Outcome, answer *applier.Answer, fromService bool) applier.Outcome {
	t.mu.Lock()
	outcome, first := t.machine.finish(outcome, fromService)
	if first {
		t.answer = answer
	}
	t.mu.Unlock()
	if !first {
		return outcome
	}
	close(t.ended)
	t.claimer.settle(recording{turn: t, outcome: outcome, answer: answer})
	return outcome
}

// abandon ends a call whose claim could not be committed.
func (t *Turn) abandon(err error) Outcome {
	t.mu.Lock()
	t.machine.abandon()
	t.mu.Unlock()
	close(t.ended)
	c := t.claimer
	if c.config.IsNotRun(err) {
		c.forget(t)
	} else {
		c.push(recording{turn: t, outcome: applier.OutcomeNotRun, until: c.config.Clock.Now().Add(c.keepOf(t.call))})
	}
	return Outcome{kind: Refused, reason: "the claim could not be committed"}
}

// drop ends a request that did not get the turn.
func (t *Turn) drop() {
	close(t.ended)
	t.claimer.forget(t)
}

func (t *Turn) result() (applier.Outcome, *applier.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.outcome, t.answer
}

// ask asks the status path until it gives a definite answer or ctx ends.
func (c *Claimer) ask(ctx context.Context, call Call) (applier.Outcome, *applier.Answer, error) {
	if call.Resolve == nil {
		return applier.OutcomeUnknown, nil, ErrNoStatus
	}
	for {
		outcome, answer, err := call.Resolve(ctx)
		if err == nil && (outcome == applier.OutcomeDone || outcome == applier.OutcomeNotRun) {
			return outcome, answer, nil
		}
		if ctx.Err() != nil || !clock.Sleep(c.config.Clock, resolvePause, ctx.Done()) {
			return applier.OutcomeUnknown, nil, ErrNoStatus
		}
	}
}

const (
	recordQueue = 4096
	recordPause = 250 * time.Millisecond
)

// recording is an outcome on its way to the log.
type recording struct {
	turn    *Turn
	outcome applier.Outcome
	answer  *applier.Answer
	until   time.Time
}

// settle records an outcome, or leaves it to the loop if the log cannot be
// reached now.
func (c *Claimer) settle(r recording) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	if c.write(ctx, r) {
		return
	}
	r.until = c.config.Clock.Now().Add(c.keepOf(r.turn.call))
	c.push(r)
}

func (c *Claimer) push(r recording) {
	select {
	case c.record <- r:
	default:
		c.config.Log.Warn("outcome not recorded", "request", r.turn.call.Request, "outcome", r.outcome)
		c.forget(r.turn)
	}
}

func (c *Claimer) write(ctx context.Context, r recording) bool {
	call := r.turn.call
	if r.answer != nil && len(r.answer.Body) > applier.MaxAnswerBytes {
		r.answer = &applier.Answer{Status: r.answer.Status, Header: r.answer.Header, Truncated: true}
	}
	_, err := c.config.Propose(ctx, applier.Command{ClaimFinish: &applier.ClaimFinish{
		Customer: call.Customer, Key: call.Key, Request: call.Request, Outcome: r.outcome, Answer: r.answer,
	}})
	if err != nil {
		return false
	}
	c.forget(r.turn)
	return true
}

// run repeats recordings until the log takes them.
func (c *Claimer) run() {
	defer c.tasks.Done()
	for {
		select {
		case <-c.quit:
			return
		case r := <-c.record:
			c.repeat(r)
		}
	}
}

func (c *Claimer) repeat(r recording) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		ok := c.write(ctx, r)
		cancel()
		if ok {
			return
		}
		if c.config.Clock.Now().After(r.until) {
			c.forget(r.turn)
			return
		}
		if !clock.Sleep(c.config.Clock, recordPause, c.quit) {
			return
		}
	}
}
