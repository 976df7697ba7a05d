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
	// Keyed is true if calls need a customer's key unless their route is open.
	Keyed bool `msgpack:"k"`
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
	// Pause is the longest time between two events of a stream that counts as in time.
	Pause time.Duration `msgpack:"g"`
	// Rank is the priority of calls; 0 is the most urgent.
	Rank int `msgpack:"u"`
	// Shares lists the services of the route and their weights.
	Shares []Share `msgpack:"s"`
	// Attempts is the maximum number of endpoints that one call is sent to.
	Attempts int `msgpack:"a"`
	// Open is true if calls need no key.
	Open bool `msgpack:"f"`
	// Resumable is true if streams may resume at another endpoint.
	Resumable bool `msgpack:"e"`
}

// Share is one service of a route.
type Share struct {
	Service string `msgpack:"s"`
	Weight  int    `msgpack:"w"`
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string `msgpack:"n"`
	// Connections is the maximum number of connections to an endpoint from all nodes.
	Connections int `msgpack:"c"`
	// Model is set for services that generate text.
	Model *Model `msgpack:"m,omitempty"`
	// Capacity is set for services whose number of instances the system decides.
	Capacity *Capacity `msgpack:"s,omitempty"`
}

// Model describes the endpoints of a service that generates text.
type Model struct {
	// Slots is the number of calls that an endpoint runs concurrently.
	Slots int `msgpack:"s"`
	// Memory is the size of the KV cache, in tokens.
	Memory int `msgpack:"m"`
	// Stride is the number of tokens in one event.
	Stride int `msgpack:"t"`
}

// Capacity limits the number of instances of a service and holds their prices.
type Capacity struct {
	// Min and Max bound the number of instances in a failure domain.
	Min int `msgpack:"a"`
	Max int `msgpack:"b"`
	// Start is the time from the start of an instance until it serves calls.
	Start time.Duration `msgpack:"s"`
	// Reclaimable is the price of a reclaimable instance as a fraction of the on-demand price; 0 if there
	// are no reclaimable instances.
	Reclaimable float64 `msgpack:"r"`
	// Prices holds the on-demand price of each failure domain.
	Prices map[string]float64 `msgpack:"p"`
}

// Customer is a caller, identified by a key.
type Customer struct {
	Name string   `msgpack:"n"`
	Keys []string `msgpack:"k"`
	// Rank takes precedence over the rank of routes if Ranked is true.
	Rank   int  `msgpack:"u"`
	Ranked bool `msgpack:"x"`
	// Rate and Burst limit the calls or tokens of a customer. A Rate of 0 means no limit.
	Rate  float64 `msgpack:"r"`
	Burst float64 `msgpack:"b"`
	// Tokens is true if Rate and Burst count tokens. Plain is then the number of tokens assumed for a call
	// without a token count.
	Tokens bool    `msgpack:"t"`
	Plain  float64 `msgpack:"p"`
}

// Limits bounds what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes limit the size of a request, in bytes.
	HeaderBytes int   `msgpack:"h"`
	BodyBytes   int64 `msgpack:"b"`
	// HeaderTime is how long a caller may take to send the header.
	HeaderTime time.Duration `msgpack:"t"`
	// IdleTime is how long a connection may stay idle.
	IdleTime time.Duration `msgpack:"i"`
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
		if share.Weight < 0 {
			errs = append(errs, fmt.Errorf("route %q: a weight is below 0", r.Name))
		}
		sum += share.Weight
	}
	if sum <= 0 {
		errs = append(errs, fmt.Errorf("route %q: the weights add up to 0", r.Name))
	}
	return errs
}
