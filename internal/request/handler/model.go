package handler

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"hyssoprudder/internal/request/streamer"
)

const (
	defaultMaxTokens = 128
	maxTokens        = 32768
	readBatch        = 64               // tokens per read
	writeTimeout     = 30 * time.Second // for one batch of tokens
)

// Prompt is the body of a call to a model service.
type Prompt struct {
	Prompt string `json:"prompt"`
	Max    int    `json:"max"`
	Stream *bool  `json:"stream,omitempty"`
}

// Streamed reports whether the caller wants the answer as a stream of events.
func (p Prompt) Streamed() bool { return p.Stream == nil || *p.Stream }

// ParsePrompt parses the body of a call to a model service. The error's text is sent to
// the caller.
func ParsePrompt(body []byte) (Prompt, error) {
	var p Prompt
	if err := json.Unmarshal(body, &p); err != nil {
		return p, fmt.Errorf("the body must be JSON such as {\"prompt\": \"...\", \"max\": 128}")
	}
	if p.Prompt == "" {
		return p, fmt.Errorf("prompt must not be empty")
	}
	if p.Max == 0 {
		p.Max = defaultMaxTokens
	}
	if p.Max < 1 || p.Max > maxTokens {
		return p, fmt.Errorf("max must be from 1 to %d", maxTokens)
	}
	return p, nil
}

// streamName returns the name under which a customer can rejoin a stream: the idempotency
// key, or the id of the request that started it.
func streamName(call *Call) string {
	if call.key != "" {
		return "key:" + call.key
	}
	if id := call.header.Get(HeaderRequest); id != "" && call.after > 0 {
		return "request:" + id
	}
	return "request:" + call.id
}

// serveModel writes the call's stream to the caller. It starts the stream if neither this
// entry nor another one has it.
func (h *Handler) serveModel(ctx context.Context, w http.ResponseWriter, call *Call) Result {
	prompt, err := ParsePrompt(call.body)
	if err != nil {
		return h.writeProblem(w, call, NewProblem(http.StatusBadRequest, OutcomeNotRun, "Bad body", err.Error()), Result{Err: err})
	}
	f := &follower{handler: h, call: call, writer: w, out: http.NewResponseController(w), after: call.after, streamed: prompt.Streamed()}
	defer f.close()
	record := streamer.Record{
		Customer: call.customer.Name(), Name: streamName(call), Request: call.id, Route: call.route.Name(),
		Service: call.service.Name(), Prompt: prompt.Prompt, Max: prompt.Max, Priority: call.route.Priority(), Deadline: call.deadline,
	}
	if stream, ok := h.cfg.Streams.Find(record.Customer, record.Name); !ok || stream.State() == streamer.Moved {
		if followed := h.followPeer(ctx, f, record); followed {
			return f.result
		}
	}
	stream, beginResult := h.cfg.Streams.Begin(record)
	switch beginResult {
	case streamer.Mismatch:
		return h.writeProblem(w, call, NewProblem(http.StatusUnprocessableEntity, OutcomeNotRun, "Key in use",
			"the Idempotency-Key belongs to a call with another body"), Result{})
	case streamer.Full:
		return h.writeProblem(w, call, NewProblem(http.StatusServiceUnavailable, OutcomeNotRun, "No room",
			"the entry holds too many answers").RetryAfter(time.Second), Result{})
	case streamer.Started:
		h.start(stream, call)
	case streamer.Joined:
	}
	f.followStream(ctx, stream)
	return f.result
}

// start starts generating the answer of a stream.
func (h *Handler) start(stream *streamer.Stream, call *Call) {
	h.generations.Add(1)
	g := newGeneration(h, stream, call)
	go g.run()
}

// batch is the result of one read of a stream.
type batch struct {
	tokens     []string
	state      streamer.State
	failure    streamer.Failure
	recomputed int
}

// follower writes a stream to one caller, at the speed at which the caller reads.
type follower struct {
	handler       *Handler
	call          *Call
	writer        http.ResponseWriter
	out           *http.ResponseController
	after         int  // id of the last token written
	streamed      bool // as events; otherwise the answer is one JSON object
	headerWritten bool
	buffered      []string // tokens of an answer that is not streamed
	request       string   // id of the request that started the stream
	result        Result
}

// followStream writes a stream of this entry until it ends or the caller disconnects.
func (f *follower) followStream(ctx context.Context, stream *streamer.Stream) {
	stream.AddReader()
	f.request = stream.Request()
	if !f.streamed {
		f.after = 0
	}
	for {
		tokens, state, changed := stream.Read(f.after, readBatch)
		b := batch{tokens: tokens, state: state, failure: stream.Failure(), recomputed: stream.Recomputed()}
		if f.write(b) {
			break
		}
		if len(tokens) > 0 {
			continue
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
			f.writeCanceled(ctx)
		}
		break
	}
	f.result.Endpoint, f.result.Attempts = stream.Endpoint()
	stream.RemoveReader(f.handler.cfg.Clock.Now())
}

// write writes a batch to the caller and reports whether it was the last one.
func (f *follower) write(b batch) bool {
	if f.streamed {
		if err := f.writeTokens(b.tokens); err != nil {
			f.result = Result{Outcome: OutcomeUnknown, Status: http.StatusOK, Err: err}
			return true
		}
	} else {
		f.buffered = append(f.buffered, b.tokens...)
	}
	f.after += len(b.tokens)
	switch b.state {
	case streamer.Running:
		return false
	case streamer.Finished:
		f.writeDone(b)
	case streamer.Failed:
		f.writeFailure(b.failure)
	case streamer.Moved:
		f.writeMoved()
	}
	return true
}

type tokenData struct {
	Token string `json:"token"`
}

type doneData struct {
	Count int `json:"count"`
}

type answerData struct {
	Tokens []string `json:"tokens"`
	Count  int      `json:"count"`
}

func (f *follower) writeTokens(tokens []string) error {
	if len(tokens) == 0 {
		return nil
	}
	f.writeHeader()
	for i, token := range tokens {
		if err := f.writeEvent(fmt.Sprintf("id: %d\n", f.after+i+1), tokenData{Token: token}); err != nil {
			return err
		}
	}
	return f.out.Flush()
}

// writeHeader extends the write deadline and sets the response header before the first event.
func (f *follower) writeHeader() {
	// A caller that reads nothing until the deadline is disconnected; its stream continues.
	_ = f.out.SetWriteDeadline(f.handler.cfg.Clock.Now().Add(writeTimeout))
	if f.headerWritten {
		return
	}
	f.headerWritten = true
	header := f.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(HeaderRequest, f.request)
	header.Set(HeaderOutcome, string(OutcomeDone))
}

// close clears the write deadline, because the connection may serve other calls.
func (f *follower) close() {
	if f.headerWritten {
		_ = f.out.SetWriteDeadline(time.Time{})
	}
}

func (f *follower) writeEvent(head string, data any) error {
	raw, err := json.Marshal(data)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if _, err := fmt.Fprintf(f.writer, "%sdata: %s\n\n", head, raw); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return nil
}

func (f *follower) writeDone(b batch) {
	f.result = Result{Outcome: OutcomeDone, Status: http.StatusOK, Recomputed: b.recomputed}
	if f.streamed {
		f.writeHeader()
		if f.result.Err = f.writeEvent("event: done\n", doneData{Count: f.after}); f.result.Err == nil {
			f.result.Err = f.out.Flush()
		}
		return
	}
	header := f.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequest, f.request)
	header.Set(HeaderOutcome, string(OutcomeDone))
	f.result.Err = json.NewEncoder(f.writer).Encode(answerData{Tokens: f.buffered, Count: len(f.buffered)})
}

// writeFailure reports to the caller that the answer cannot be completed.
func (f *follower) writeFailure(failure streamer.Failure) {
	outcome := OutcomeNotRun
	if failure.Sent {
		outcome = OutcomeUnknown
	}
	problem := NewProblem(failure.Status, outcome, "Not answered", failure.Detail).RetryAfter(failure.RetryAfter)
	f.result = Result{Outcome: outcome, Status: failure.Status, Err: problem}
	if !f.headerWritten {
		problem.Write(f.writer, f.request)
		return
	}
	f.writeLastEvent("event: error\n", problemBody{Type: "about:blank", Title: problem.title, Status: problem.status,
		Detail: problem.detail, Outcome: OutcomeUnknown, Request: f.request})
}

// writeCanceled ends the answer when ctx is canceled. A caller that closed only its sending
// side still reads, and would take an answer without an error for a complete one.
func (f *follower) writeCanceled(ctx context.Context) {
	f.writeFailure(streamer.Failure{Sent: true, Status: http.StatusGatewayTimeout, Detail: "the call was canceled before its answer was complete"})
	f.result.Err = context.Cause(ctx)
}

// writeMoved reports to the caller that another entry has taken over the stream.
func (f *follower) writeMoved() {
	f.result = Result{Outcome: OutcomeUnknown, Status: http.StatusServiceUnavailable, Err: errMoved}
	if !f.headerWritten {
		NewProblem(http.StatusServiceUnavailable, OutcomeUnknown, "Moved",
			"another entry goes on with the answer; repeat the call to join it").RetryAfter(time.Second).Write(f.writer, f.request)
		return
	}
	f.writeLastEvent("event: moved\n", doneData{Count: f.after})
}

func (f *follower) writeLastEvent(head string, data any) {
	// Errors are ignored because the caller may have disconnected.
	_ = f.writeEvent(head, data)
	_ = f.out.Flush()
}
