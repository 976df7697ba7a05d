package handler

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"hyssoprudder/internal/connection/dialer"
)

const (
	defaultMaxTokens = 128
	maxTokens        = 32768
)

// Prompt is the body of a call to a model service.
type Prompt struct {
	Prompt string `json:"prompt"`
	Max    int    `json:"max"`
	Stream *bool  `json:"stream,omitempty"`
}

// Streamed reports whether the answer is wanted as events.
func (p Prompt) Streamed() bool { return p.Stream == nil || *p.Stream }

// ParsePrompt reads the body of a call to a model service. Its error says what
// is wrong in words for the caller.
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

type tokenData struct {
	Token string `json:"token"`
}

type doneData struct {
	Count int `json:"count"`
}

func (h *Handler) serveModel(ctx context.Context, w http.ResponseWriter, call *Call) Result {
	prompt, err := ParsePrompt(call.body)
	if err != nil {
		return h.fail(w, call, NewProblem(http.StatusBadRequest, OutcomeNotRun, "Bad body", err.Error()), Result{Err: err})
	}
	endpoint, ok := h.cfg.Pick(call, nil)
	if !ok {
		return h.fail(w, call, noEndpointProblem(), Result{})
	}
	stream, err := h.cfg.Generate(ctx, endpoint, dialer.Generation{Request: call.id, Prompt: prompt.Prompt, Max: prompt.Max, Priority: call.route.Priority()})
	if err != nil {
		return h.fail(w, call, noEndpointProblem(), Result{Endpoint: endpoint.ID(), Attempts: 1, Err: err})
	}
	defer stream.Close()
	result := Result{Outcome: OutcomeDone, Status: http.StatusOK, Endpoint: endpoint.ID(), Attempts: 1}
	result.Err = copyEvents(w, call, stream)
	if result.Err != nil {
		result.Outcome = OutcomeUnknown
	}
	return result
}

// copyEvents passes the events of an engine on to the caller.
func copyEvents(w http.ResponseWriter, call *Call, stream *dialer.Stream) error {
	out := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(HeaderRequest, call.id)
	w.Header().Set(HeaderOutcome, string(OutcomeDone))
	for {
		event, err := stream.Next()
		if err != nil {
			return err
		}
		if event.Kind == dialer.EventDone {
			return writeEvent(w, out, "event: done\n", doneData{Count: event.Count})
		}
		if err := writeEvent(w, out, fmt.Sprintf("id: %d\n", event.ID), tokenData{Token: event.Token}); err != nil {
			return err
		}
	}
}

func writeEvent(w http.ResponseWriter, out *http.ResponseController, head string, data any) error {
	raw, err := json.Marshal(data)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if _, err := fmt.Fprintf(w, "%sdata: %s\n\n", head, raw); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return out.Flush()
}
