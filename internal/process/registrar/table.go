package registrar

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Table answers lookups in one ruleset. It is immutable and safe for concurrent use.
type Table struct {
	number       uint64
	requiresKeys bool
	limits       Limits
	routes       map[string][]*Route // by host, the longest prefix first
	services     map[string]*Service
	customers    map[string]*Customer // by key
	byName       map[string]*Customer
}

// NewTable returns the table of a ruleset that passed Check. The ruleset must
// not be changed afterwards.
func NewTable(r *Ruleset) *Table {
	t := &Table{
		number: r.Number, requiresKeys: r.RequiresKeys, limits: r.Limits,
		routes:    make(map[string][]*Route),
		services:  make(map[string]*Service, len(r.Services)),
		customers: make(map[string]*Customer), byName: make(map[string]*Customer, len(r.Customers)),
	}
	for i := range r.Routes {
		host := strings.ToLower(r.Routes[i].Host)
		t.routes[host] = append(t.routes[host], &r.Routes[i])
	}
	for _, routes := range t.routes {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range r.Services {
		t.services[r.Services[i].Name] = &r.Services[i]
	}
	for i := range r.Customers {
		c := &r.Customers[i]
		t.byName[c.Name] = c
		for _, key := range c.Keys {
			t.customers[key] = c
		}
	}
	return t
}

// Number returns the number of the ruleset; 0 if there is none yet.
func (t *Table) Number() uint64 {
	if t == nil {
		return 0
	}
	return t.number
}

// RequiresKeys reports whether calls need a key unless their route is open.
func (t *Table) RequiresKeys() bool { return t.requiresKeys }

// Limits returns the limits on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// Route returns the route of the host with the longest prefix of path. The host may include a port.
func (t *Table) Route(host, path string) (*Route, bool) {
	routes, ok := t.routes[strings.ToLower(host)]
	if !ok {
		name, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil, false
		}
		routes = t.routes[strings.ToLower(name)]
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// RoutesTo returns the routes that send calls to a service, ordered by name.
func (t *Table) RoutesTo(service string) []*Route {
	var out []*Route
	for _, routes := range t.routes {
		for _, r := range routes {
			if slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 }) {
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, func(a, b *Route) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services by name.
func (t *Table) Services() map[string]*Service { return t.services }

// Customer returns the customer that the key belongs to, or nil.
func (t *Table) Customer(key string) *Customer { return t.customers[key] }

// CustomerNamed returns the customer with the given name, or nil.
func (t *Table) CustomerNamed(name string) *Customer { return t.byName[name] }

// Customers returns all customers by name.
func (t *Table) Customers() map[string]*Customer { return t.byName }

// IsRepeatable reports whether calls of the route may be retried, or resumed, at another endpoint.
func (r *Route) IsRepeatable() bool { return r.Kind == Repeatable || r.Kind == Stream && r.Resumable }

// Pick returns a service of the route in proportion to the weights; point is between 0 and 1.
func (r *Route) Pick(point float64) string {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	remaining := point * float64(sum)
	for _, s := range r.Shares {
		remaining -= float64(s.Weight)
		if remaining < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	for _, s := range r.Shares {
		if s.Weight > 0 {
			return s.Service
		}
	}
	return ""
}
