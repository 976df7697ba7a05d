package handler

import (
	"context"
	"net/http"
	"slices"
	"time"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/lister"
)

// Config holds the seams of a handler.
type Config struct {
	Clock clock.Clock
	// Pick chooses an endpoint for the call, other than the excluded ones.
	Pick func(call *Call, excluded []string) (lister.Endpoint, bool)
	// Do sends a call to a plain service.
	Do func(ctx context.Context, to lister.Endpoint, req dialer.Request) (dialer.Answer, error)
	// Generate starts a stream on an engine.
	Generate func(ctx context.Context, to lister.Endpoint, g dialer.Generation) (*dialer.Stream, error)
}

// Result tells what became of a call, for logs and metrics.
type Result struct {
	Outcome  Outcome
	Status   int
	Endpoint string
	Attempts int
	Err      error
}

// Handler carries calls to endpoints. It is safe for concurrent use.
type Handler struct {
	cfg Config
}

// New returns a handler.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// Serve answers the call on w.
func (h *Handler) Serve(ctx context.Context, w http.ResponseWriter, call *Call) Result {
	ctx, cancel := context.WithTimeout(ctx, call.deadline.Sub(h.cfg.Clock.Now()))
	defer cancel()
	if call.service.Kind() == "model" {
		return h.serveModel(ctx, w, call)
	}
	return h.servePlain(ctx, w, call)
}

const maxAttempts = 3

// servePlain tries endpoints until one has seen a byte of the call.
func (h *Handler) servePlain(ctx context.Context, w http.ResponseWriter, call *Call) Result {
	req := dialer.Request{ID: call.id, Key: call.key, Method: call.method, Path: call.path, Header: call.header, Body: call.body}
	var excluded []string
	var last error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		endpoint, ok := h.cfg.Pick(call, excluded)
		if !ok {
			break
		}
		answer, err := h.cfg.Do(ctx, endpoint, req)
		if err == nil {
			writeAnswer(w, call, answer)
			return Result{Outcome: OutcomeDone, Status: answer.Status, Endpoint: endpoint.ID(), Attempts: attempt}
		}
		last = err
		if dialer.MayHaveRun(err) {
			return h.fail(w, call, unknownProblem(), Result{Endpoint: endpoint.ID(), Attempts: attempt, Err: err})
		}
		excluded = append(excluded, endpoint.ID())
	}
	return h.fail(w, call, noEndpointProblem(), Result{Attempts: len(excluded), Err: last})
}

func (h *Handler) fail(w http.ResponseWriter, call *Call, p *Problem, r Result) Result {
	p.Write(w, call.id)
	r.Outcome, r.Status = p.outcome, p.status
	return r
}

func unknownProblem() *Problem {
	return NewProblem(http.StatusGatewayTimeout, OutcomeUnknown, "Answer lost",
		"the call reached an endpoint and no answer came; repeat it with the same Idempotency-Key")
}

func noEndpointProblem() *Problem {
	return NewProblem(http.StatusServiceUnavailable, OutcomeNotRun, "No endpoint",
		"no endpoint took the call").RetryAfter(time.Second)
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
	// The caller may be gone; the call has run all the same.
	_, _ = w.Write(answer.Body)
}
