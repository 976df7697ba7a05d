// Package handler forwards an accepted call from the entry to an endpoint and returns
// the answer to the caller.
package handler

import (
	"net/http"
	"time"

	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/request/claimer"
)

// Outcome tells the caller whether a call ran. It is sent in the header "Outcome".
type Outcome string

// Outcomes of a call.
const (
	// OutcomeDone means that the call ran and that the response is its answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the call did not run and will not run.
	OutcomeNotRun Outcome = "notrun"
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Headers of requests from callers and of the answers to them.
const (
	HeaderRequest     = "Request"
	HeaderOutcome     = "Outcome"
	HeaderKey         = "Idempotency-Key"
	HeaderTimeout     = "Timeout"
	HeaderLastEventID = "Last-Event-ID"
)

// Call is one call of an authenticated caller with its complete body.
type Call struct {
	id        string
	customer  parser.Customer
	route     parser.Route
	service   parser.Service
	key       string
	method    string
	path      string
	header    http.Header
	body      []byte
	start     time.Time
	deadline  time.Time
	after     int
	execution *claimer.Execution // the granted claim of an at-most-once call
}

// Fields holds the values from which NewCall creates a call.
type Fields struct {
	ID       string
	Customer parser.Customer
	Route    parser.Route
	Service  parser.Service
	Key      string
	Method   string
	Path     string // including the query
	Header   http.Header
	Body     []byte
	Start    time.Time
	Deadline time.Time
	After    int // id of the last event that the caller received, 0 for none
}

// NewCall returns a call with the values of f.
func NewCall(f Fields) *Call {
	return &Call{
		id: f.ID, customer: f.Customer, route: f.Route, service: f.Service, key: f.Key,
		method: f.Method, path: f.Path, header: f.Header, body: f.Body,
		start: f.Start, deadline: f.Deadline, after: f.After,
	}
}

// ID returns the request's id.
func (c *Call) ID() string { return c.id }

// Customer returns the customer that made the call.
func (c *Call) Customer() parser.Customer { return c.customer }

// Route returns the route that matched the path.
func (c *Call) Route() parser.Route { return c.route }

// Service returns the service that the route leads to.
func (c *Call) Service() parser.Service { return c.service }

// Key returns the idempotency key, or an empty string.
func (c *Call) Key() string { return c.key }

// Method returns the HTTP method.
func (c *Call) Method() string { return c.method }

// Path returns the path including the query.
func (c *Call) Path() string { return c.path }

// Header returns the request header.
func (c *Call) Header() http.Header { return c.header }

// Body returns the complete request body.
func (c *Call) Body() []byte { return c.body }

// Start returns when the call arrived.
func (c *Call) Start() time.Time { return c.start }

// Deadline returns the time by which the caller needs the answer.
func (c *Call) Deadline() time.Time { return c.deadline }

// After returns the id of the last event that the caller received, or 0 for none.
func (c *Call) After() int { return c.after }

// Once reports whether the call may run at most once.
func (c *Call) Once() bool {
	return c.route.Once() && c.method != http.MethodGet && c.method != http.MethodHead
}
