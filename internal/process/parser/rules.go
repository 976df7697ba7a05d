// Package parser parses and validates rules files: text files with one rule per line,
// each with a comment that says who asked for it.
package parser

import "time"

// Kind is the kind of a service's endpoints.
type Kind string

// The kinds of services.
const (
	// KindModel is a service whose endpoints are model engines that stream tokens.
	KindModel Kind = "model"
	// KindPlain is a service whose endpoints answer ordinary HTTP calls.
	KindPlain Kind = "plain"
)

// Rules is a validated set of rules. It is immutable.
type Rules struct {
	text      string
	hash      uint64
	customers []Customer
	services  []Service
	routes    []Route
	moves     []Move
	sizes     []Size
	endpoints []Endpoint
	lines     []Line
}

// Line is one rule as it was written, with the asker and firm from its comment.
type Line struct {
	number int
	rule   string
	asker  string
	firm   string
}

// Number returns the line number, starting at 1.
func (l Line) Number() int { return l.number }

// Rule returns the rule without its comment.
func (l Line) Rule() string { return l.rule }

// Asker returns who asked for the rule.
func (l Line) Asker() string { return l.asker }

// Firm returns the firm for which the rule was asked.
func (l Line) Firm() string { return l.firm }

// Text returns the rules as they were written.
func (r *Rules) Text() string { return r.text }

// Hash returns the xxhash of the text.
func (r *Rules) Hash() uint64 { return r.hash }

// Customers returns the customers in the order of the file.
func (r *Rules) Customers() []Customer { return r.customers }

// Services returns the services in the order of the file.
func (r *Rules) Services() []Service { return r.services }

// Routes returns the routes in the order of the file.
func (r *Rules) Routes() []Route { return r.routes }

// Moves returns the version moves in the order of the file.
func (r *Rules) Moves() []Move { return r.moves }

// Sizes returns the capacity rules in the order of the file.
func (r *Rules) Sizes() []Size { return r.sizes }

// Endpoints returns the endpoints that the rules define, in the order of the file.
func (r *Rules) Endpoints() []Endpoint { return r.endpoints }

// Lines returns every rule with who asked for it, in the order of the file.
func (r *Rules) Lines() []Line { return r.lines }

// Service returns the service with the name, and whether there is one.
func (r *Rules) Service(name string) (Service, bool) {
	for _, s := range r.services {
		if s.name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Customer is a customer of the firm, with its limits.
type Customer struct {
	name      string
	worth     float64
	rate      float64
	burst     int
	tokenHash string
}

// Name returns the name of the customer.
func (c Customer) Name() string { return c.name }

// Worth returns the weight of the customer when there is not enough capacity for all
// calls; the default is 1.
func (c Customer) Worth() float64 { return c.worth }

// Rate returns the limit of requests per second over all entries; 0 means no limit.
func (c Customer) Rate() float64 { return c.rate }

// Burst returns how many requests may arrive at once.
func (c Customer) Burst() int { return c.burst }

// TokenHash returns the SHA-256 hash of the customer's bearer token in hexadecimal.
func (c Customer) TokenHash() string { return c.tokenHash }

// Service is a group of endpoints that answer the same calls.
type Service struct {
	name    string
	kind    Kind
	first   time.Duration
	next    time.Duration
	timeout time.Duration
	status  string
	fence   bool
}

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Kind returns the kind of the service.
func (s Service) Kind() Kind { return s.kind }

// First returns the target for the time to first token.
func (s Service) First() time.Duration { return s.first }

// Next returns the target for the time between tokens.
func (s Service) Next() time.Duration { return s.next }

// Timeout returns the timeout of a call that states none.
func (s Service) Timeout() time.Duration { return s.timeout }

// Status returns the path at which an endpoint answers whether the call with a key has
// been executed, or an empty string. "{key}" in it stands for the key.
func (s Service) Status() string { return s.status }

// Fence reports whether the endpoints refuse the controller's orders with an outdated
// fencing number.
func (s Service) Fence() bool { return s.fence }

// Route routes calls whose path has a prefix to a service.
type Route struct {
	name      string
	path      string
	service   string
	once      bool
	priority  int
	worth     float64
	retention time.Duration
}

// Name returns the name of the route.
func (r Route) Name() string { return r.name }

// Path returns the path prefix of the route.
func (r Route) Path() string { return r.path }

// Service returns the name of the service that answers the calls.
func (r Route) Service() string { return r.service }

// Once reports whether each call must be executed at most once.
func (r Route) Once() bool { return r.once }

// Priority returns the priority of the route; 0 is the most urgent.
func (r Route) Priority() int { return r.priority }

// Worth returns the weight of an answer that arrives in time; the default is 1.
func (r Route) Worth() float64 { return r.worth }

// Retention returns how long the record of an at-most-once call is kept after the call's
// deadline. A key that is repeated later counts as a new call.
func (r Route) Retention() time.Duration { return r.retention }

// Move requests that a service changes its version by a deadline.
type Move struct {
	service  string
	from     string
	to       string
	deadline time.Time
	share    float64
}

// Service returns the name of the service that moves.
func (m Move) Service() string { return m.service }

// From returns the version to replace.
func (m Move) From() string { return m.from }

// To returns the new version.
func (m Move) To() string { return m.to }

// Deadline returns the deadline of the move.
func (m Move) Deadline() time.Time { return m.deadline }

// Share returns the percentage of traffic that the new version gets in the first stage.
func (m Move) Share() float64 { return m.share }

// Size is a capacity rule for one service.
type Size struct {
	service  string
	min      int
	max      int
	spare    bool
	maxPrice float64
}

// Service returns the name of the service.
func (s Size) Service() string { return s.service }

// Min returns the minimum number of endpoints.
func (s Size) Min() int { return s.min }

// Max returns the maximum number of endpoints.
func (s Size) Max() int { return s.max }

// Spare reports whether the minimum must remain after the loss of any one failure domain.
func (s Size) Spare() bool { return s.spare }

// MaxPrice returns the maximum price per instance and hour; 0 means no limit.
func (s Size) MaxPrice() float64 { return s.maxPrice }

// Endpoint is an endpoint that the rules define, for sites whose provider has no list of
// endpoints.
type Endpoint struct {
	name    string
	service string
	address string
	domain  string
	version string
}

// Name returns the name of the endpoint.
func (e Endpoint) Name() string { return e.name }

// Service returns the name of the service that the endpoint belongs to.
func (e Endpoint) Service() string { return e.service }

// Address returns the IP address and port.
func (e Endpoint) Address() string { return e.address }

// Domain returns the failure domain of the endpoint.
func (e Endpoint) Domain() string { return e.domain }

// Version returns the version that the endpoint serves.
func (e Endpoint) Version() string { return e.version }
