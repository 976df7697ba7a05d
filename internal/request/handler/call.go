// Package handler carries one accepted call from the entry to an endpoint and
// back.
package handler

import (
	"net/http"
	"time"

	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/request/claimer"
)

// Outcome says what is known of a call. It is sent in the header "Outcome".
type Outcome string

// The outcomes of a call.
const (
	// OutcomeDone means that the call ran and this is its answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the call did not run and will not.
	OutcomeNotRun Outcome = "notrun"
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Names of headers between callers and entries.
const (
	HeaderRequest     = "Request"
	HeaderOutcome     = "Outcome"
	HeaderKey         = "Idempotency-Key"
	HeaderTimeout     = "Timeout"
	HeaderLastEventID = "Last-Event-ID"
)

// Call is one call of an authenticated caller, read whole.
type Call struct {
	id       string
	customer parser.Customer
	route    parser.Route
	service  parser.Service
	key      string
	method   string
	path     string
	header   http.Header
	body     []byte
	start    time.Time
	deadline time.Time
	after    int
	turn     *claimer.Turn // the right to run a call that runs once
}

// Fields holds the facts that NewCall makes a call from.
type Fields struct {
	ID       string
	Customer parser.Customer
	Route    parser.Route
	Service  parser.Service
	Key      string
	Method   string
	Path     string // with the query
	Header   http.Header
	Body     []byte
	Start    time.Time
	Deadline time.Time
	After    int // the last event that the caller has seen, 0 for none
}

// NewCall returns the call with the facts of f.
func NewCall(f Fields) *Call {
	return &Call{
		id: f.ID, customer: f.Customer, route: f.Route, service: f.Service, key: f.Key,
		method: f.Method, path: f.Path, header: f.Header, body: f.Body,
		start: f.Start, deadline: f.Deadline, after: f.After,
	}
}

// ID returns the identity of the request.
func (c *Call) ID() string { return c.id }

// Customer returns who calls.
func (c *Call) Customer() parser.Customer { return c.customer }

// Route returns the route that the path led to.
func (c *Call) Route() parser.Route { return c.route }

// Service returns the service that answers.
func (c *Call) Service() parser.Service { return c.service }

// Key returns the idempotency key, or an empty string.
func (c *Call) Key() string { return c.key }

// Method returns the HTTP method.
func (c *Call) Method() string { return c.method }

// Path returns the path with the query.
func (c *Call) Path() string { return c.path }

// Header returns the caller's header.
func (c *Call) Header() http.Header { return c.header }

// Body returns the whole body.
func (c *Call) Body() []byte { return c.body }

// Start returns when the call arrived.
func (c *Call) Start() time.Time { return c.start }

// Deadline returns when the answer is due.
func (c *Call) Deadline() time.Time { return c.deadline }

// After returns the last event that the caller has seen, 0 for none.
func (c *Call) After() int { return c.after }

// Once reports whether the call may run at most once.
func (c *Call) Once() bool {
	return c.route.Once() && c.method != http.MethodGet && c.method != http.MethodHead
}
