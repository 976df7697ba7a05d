// Package registrar holds the rules in force at a node whose operators submit whole documents: routes by host
// and path, services, and customers with their keys and limits. It checks a ruleset and answers lookups in it.
package registrar

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Kind is whether and how the calls of a route may be repeated.
type Kind string

// The kinds of routes.
const (
	// Repeatable calls may run more than once.
	Repeatable Kind = "repeatable"
	// Once calls run at most once.
	Once Kind = "once"
	// Stream calls are answered by a series of numbered events.
	Stream Kind = "stream"
)

// Ruleset is the complete configuration of an operator, as one message.
type Ruleset struct {
	// Number orders rulesets; the highest one is in force.
	Number    uint64     `msgpack:"n"`
	Routes    []Route    `msgpack:"r"`
	Services  []Service  `msgpack:"s"`
	Customers []Customer `msgpack:"c"`
	Limits    Limits     `msgpack:"l"`
	// RequiresKeys is true if calls need a customer's key unless their route is open.
	RequiresKeys bool `msgpack:"k"`
}

// Route directs the calls of a host whose path begins with Prefix.
type Route struct {
	Name   string `msgpack:"n"`
	Host   string `msgpack:"h"`
	Prefix string `msgpack:"p"`
	Kind   Kind   `msgpack:"k"`
	// Timeout is the longest time that a caller waits.
	Timeout time.Duration `msgpack:"t"`
	// Objective is the time within which an answer, or its first event, has the highest worth.
	Objective time.Duration `msgpack:"o"`
	// NextObjective is the longest time between two events of a stream that counts as in time.
	NextObjective time.Duration `msgpack:"g"`
	// Priority is the priority of calls; 0 is the most urgent.
	Priority int `msgpack:"u"`
	// Shares lists the services of the route and their weights.
	Shares []Share `msgpack:"s"`
	// MaxAttempts is the maximum number of endpoints that one call is sent to.
	MaxAttempts int `msgpack:"a"`
	// Open is true if calls need no key.
	Open bool `msgpack:"f"`
	// Resumable is true if streams may resume at another endpoint.
	Resumable bool `msgpack:"e"`
	// Homes are the regions in which calls may run; all if there are none.
	Homes []string `msgpack:"hm,omitempty"`
}

// Share is one service of a route.
type Share struct {
	Service string `msgpack:"s"`
	Weight  int    `msgpack:"w"`
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string `msgpack:"n"`
	// MaxConnections is the maximum number of connections to an endpoint from all nodes.
	MaxConnections int `msgpack:"c"`
	// Model is set for services that generate text.
	Model *Model `msgpack:"m,omitempty"`
	// Capacity is set for services whose number of instances the system decides.
	Capacity *Capacity `msgpack:"s,omitempty"`
	// ColdStart is how long an endpoint is cold after its start, and ColdRate the number of
	// calls a second that it tolerates meanwhile; 0 if endpoints need no warm-up.
	ColdStart time.Duration `msgpack:"cs,omitempty"`
	ColdRate  float64       `msgpack:"cr,omitempty"`
}

// Model describes the endpoints of a service that generates text.
type Model struct {
	// Slots is the number of calls that an endpoint runs concurrently.
	Slots int `msgpack:"s"`
	// KVSize is the size of the KV cache, in tokens.
	KVSize int `msgpack:"m"`
	// TokensPerEvent is the number of tokens in one event.
	TokensPerEvent int `msgpack:"t"`
}

// Capacity limits the number of instances of a service and holds their prices.
type Capacity struct {
	// Min and Max bound the number of instances in a failure domain.
	Min int `msgpack:"a"`
	Max int `msgpack:"b"`
	// StartupTime is the time from the start of an instance until it serves calls.
	StartupTime time.Duration `msgpack:"s"`
	// ReclaimablePriceRatio is the price of a reclaimable instance as a fraction of the on-demand price; 0 if there
	// are no reclaimable instances.
	ReclaimablePriceRatio float64 `msgpack:"r"`
	// Prices holds the on-demand price of each failure domain.
	Prices map[string]float64 `msgpack:"p"`
}

// Customer is a caller, identified by a key.
type Customer struct {
	Name string   `msgpack:"n"`
	Keys []string `msgpack:"k"`
	// Priority takes precedence over the priority of routes if HasPriority is true.
	Priority    int  `msgpack:"u"`
	HasPriority bool `msgpack:"x"`
	// Rate and Burst limit the calls or tokens of a customer. A Rate of 0 means no limit.
	Rate  float64 `msgpack:"r"`
	Burst float64 `msgpack:"b"`
	// CountsTokens is true if Rate and Burst count tokens. DefaultTokens is then the number of tokens
	// assumed for a call without a token count.
	CountsTokens  bool    `msgpack:"t"`
	DefaultTokens float64 `msgpack:"p"`
	// Homes are the regions in which the customer's calls may run, in addition to what the route
	// allows; all if there are none.
	Homes []string `msgpack:"hm,omitempty"`
}

// Limits bounds what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes limit the size of a request, in bytes.
	HeaderBytes int   `msgpack:"h"`
	BodyBytes   int64 `msgpack:"b"`
	// HeaderTimeout is how long a caller may take to send the header.
	HeaderTimeout time.Duration `msgpack:"t"`
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration `msgpack:"i"`
}

// Check returns all errors in a ruleset, joined, or nil.
func (r *Ruleset) Check() error {
	services := make(map[string]bool, len(r.Services))
	var errs []error
	for _, s := range r.Services {
		if services[s.Name] {
			errs = append(errs, fmt.Errorf("service %q stands twice; give each its own name", s.Name))
		}
		services[s.Name] = true
	}
	nameByPath := make(map[string]string, len(r.Routes))
	for i := range r.Routes {
		errs = append(errs, r.Routes[i].check(services, nameByPath)...)
	}
	customerByKey := make(map[string]string)
	for _, c := range r.Customers {
		for _, key := range c.Keys {
			if other, ok := customerByKey[key]; ok && other != c.Name {
				errs = append(errs, fmt.Errorf("customers %q and %q share a key; give each its own", other, c.Name))
			}
			customerByKey[key] = c.Name
		}
	}
	return errors.Join(errs...)
}

// maxWeight bounds the weights of a route, so that their sum can't overflow.
const maxWeight = 1 << 40

func (r *Route) check(services map[string]bool, nameByPath map[string]string) []error {
	var errs []error
	hostAndPrefix := strings.ToLower(r.Host) + " " + r.Prefix
	if other, ok := nameByPath[hostAndPrefix]; ok {
		errs = append(errs, fmt.Errorf("routes %q and %q have the same host and prefix", other, r.Name))
	}
	nameByPath[hostAndPrefix] = r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		errs = append(errs, fmt.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix))
	}
	if r.Timeout <= 0 {
		errs = append(errs, fmt.Errorf("route %q: the timeout must be above 0", r.Name))
	}
	sum := 0
	for _, share := range r.Shares {
		if !services[share.Service] {
			errs = append(errs, fmt.Errorf("route %q names the service %q, which is not defined", r.Name, share.Service))
		}
		switch {
		case share.Weight < 0:
			errs = append(errs, fmt.Errorf("route %q: a weight is below 0", r.Name))
		case share.Weight > maxWeight:
			errs = append(errs, fmt.Errorf("route %q: a weight is above %d", r.Name, maxWeight))
		}
		sum += share.Weight
	}
	if sum <= 0 {
		errs = append(errs, fmt.Errorf("route %q: the weights add up to 0", r.Name))
	}
	return errs
}
