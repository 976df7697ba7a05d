package handler

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Problem is an error answer to a caller in the format of RFC 9457.
type Problem struct {
	status     int
	outcome    Outcome
	title      string
	detail     string
	retryAfter time.Duration
}

// NewProblem returns a problem with an HTTP status and the outcome of the call.
func NewProblem(status int, outcome Outcome, title, detail string) *Problem {
	return &Problem{status: status, outcome: outcome, title: title, detail: detail}
}

// RetryAfter returns a copy of p with a Retry-After header of d, rounded up to seconds.
func (p *Problem) RetryAfter(d time.Duration) *Problem {
	other := *p
	other.retryAfter = d
	return &other
}

// Status returns the HTTP status.
func (p *Problem) Status() int { return p.status }

// Outcome returns the outcome of the call.
func (p *Problem) Outcome() Outcome { return p.outcome }

// Error returns the title and the detail.
func (p *Problem) Error() string { return p.title + ": " + p.detail }

type problemBody struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Outcome Outcome `json:"outcome"`
	Request string  `json:"request"`
}

// Write writes the problem as the answer to the request with the given id.
func (p *Problem) Write(w http.ResponseWriter, id string) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRequest, id)
	h.Set(HeaderOutcome, string(p.outcome))
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.WriteHeader(p.status)
	body := problemBody{Type: "about:blank", Title: p.title, Status: p.status, Detail: p.detail, Outcome: p.outcome, Request: id}
	// Errors are ignored because the caller may have disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
