package runner

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/request/claimer"
	"hyssoprudder/internal/request/handler"
)

// turns holds the right to run of each call between its claim and its end. It
// is safe for concurrent use.
type turns struct {
	running sync.Map // request id to *claimer.Turn
}

// acquire claims the key of a call that runs at most once.
func (e *entry) acquire(ctx context.Context, call *handler.Call) handler.Claim {
	outcome := e.claimer.Begin(ctx, e.claimOf(call))
	switch outcome.Kind() {
	case claimer.Run:
		turn := outcome.Turn()
		if !turn.Sending() {
			turn.NotRun(false)
			return handler.Claim{Grant: handler.Unavailable}
		}
		e.turns.running.Store(call.ID(), turn)
		return handler.Claim{Grant: handler.Granted}
	case claimer.Replay:
		return replayed(outcome.Answer())
	case claimer.Mismatch:
		return handler.Claim{Grant: handler.Mismatched}
	case claimer.Refused:
		return handler.Claim{Grant: handler.Unavailable}
	default:
		return handler.Claim{Grant: handler.Lost}
	}
}

// replayed returns a recorded answer. One that was too large to record is asked
// for again on the service's status path.
func replayed(answer *applier.Answer) handler.Claim {
	if answer == nil || answer.Cut {
		return handler.Claim{Grant: handler.Lost}
	}
	header := make(http.Header, len(answer.Header))
	for _, f := range answer.Header {
		header.Add(f.Name, f.Value)
	}
	return handler.Claim{Grant: handler.Replayed, Answer: dialer.Answer{Status: answer.Status, Header: header, Body: answer.Body}}
}

// settle records what became of a call that was granted.
func (e *entry) settle(ctx context.Context, call *handler.Call, outcome handler.Outcome, answer dialer.Answer) {
	held, ok := e.turns.running.LoadAndDelete(call.ID())
	if !ok {
		return
	}
	turn := held.(*claimer.Turn)
	switch outcome {
	case handler.OutcomeDone:
		turn.Done(*recorded(answer))
	case handler.OutcomeNotRun:
		// The handler says so only if no byte was sent or the service said it.
		turn.NotRun(true)
	default:
		// The handler has asked the status path already.
		gone, cancel := context.WithCancel(ctx)
		cancel()
		turn.Lost(gone)
	}
}

// recordedHeaders are the header fields of an answer that are worth recording.
var recordedHeaders = []string{"Content-Type", "Content-Language", "Location", "Etag"}

func recorded(answer dialer.Answer) *applier.Answer {
	out := &applier.Answer{Status: answer.Status, Body: answer.Body}
	for _, name := range recordedHeaders {
		for _, value := range answer.Header.Values(name) {
			out.Header = append(out.Header, applier.Field{Name: name, Value: value})
		}
	}
	return out
}

func (e *entry) claimOf(call *handler.Call) claimer.Call {
	c := claimer.Call{
		Customer: call.Customer().Name(), Key: call.Key(), Request: call.ID(), Deadline: call.Deadline(),
		Print: claimer.Fingerprint(call.Method(), call.Path(), call.Body()),
	}
	if call.Service().Status() != "" {
		c.Resolve = func(ctx context.Context) (applier.Outcome, *applier.Answer, error) { return e.resolve(ctx, call) }
	}
	return c
}

// resolve asks the service's status path what became of the call's key.
func (e *entry) resolve(ctx context.Context, call *handler.Call) (applier.Outcome, *applier.Answer, error) {
	err := claimer.ErrNoStatus
	for _, endpoint := range e.runner.table.Service(call.Service().Name()) {
		status, asked := e.runner.dialer.Status(ctx, endpoint.Address(), call.Service().Status(), call.Key())
		var refused *dialer.StatusError
		switch {
		case asked == nil && status.Done():
			return applier.OutcomeDone, &applier.Answer{Status: status.Status, Body: []byte(status.Body)}, nil
		case errors.As(asked, &refused) && refused.Status() == http.StatusNotFound:
			return applier.OutcomeNotRun, nil, nil
		case asked != nil:
			err = asked
		}
	}
	return "", nil, err
}
