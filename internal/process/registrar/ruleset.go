// Package registrar holds the rules in force at a node whose operators hand in
// whole documents: routes by host and path, services, customers with their keys
// and limits. It checks a ruleset and answers look-ups on it.
package registrar

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// Kind says what may be repeated of the calls of a route.
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

// Ruleset is everything that an operator configures, as one message.
type Ruleset struct {
	// Number orders rulesets; the highest one is in force.
	Number    uint64     `msgpack:"n"`
	Routes    []Route    `msgpack:"r"`
	Services  []Service  `msgpack:"s"`
	Customers []Customer `msgpack:"c"`
	Limits    Limits     `msgpack:"l"`
	// Keyed says that calls need a customer's key unless their route is open.
	Keyed bool `msgpack:"k"`
}

// Route directs the calls of a host whose path begins with Prefix.
type Route struct {
	Name   string `msgpack:"n"`
	Host   string `msgpack:"h"`
	Prefix string `msgpack:"p"`
	Kind   Kind   `msgpack:"k"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `msgpack:"t"`
	// Objective is the time within which an answer, or its first event, is worth most.
	Objective time.Duration `msgpack:"o"`
	// Pause is the longest time between two events of a stream that is in time.
	Pause time.Duration `msgpack:"g"`
	// Rank orders calls; 0 is the most urgent.
	Rank int `msgpack:"u"`
	// Shares name the services of the route and their weights.
	Shares []Share `msgpack:"s"`
	// Attempts is the most endpoints to which one call may be sent.
	Attempts int `msgpack:"a"`
	// Open routes need no key.
	Open bool `msgpack:"f"`
	// Resumable streams may go on at another endpoint.
	Resumable bool `msgpack:"e"`
}

// Share is one service of a route.
type Share struct {
	Service string `msgpack:"s"`
	Weight  int    `msgpack:"w"`
}

// Service is a group of endpoints that answer alike.
type Service struct {
	Name string `msgpack:"n"`
	// Connections is the most connections that an endpoint takes from all nodes.
	Connections int `msgpack:"c"`
	// Model is set for services that generate text.
	Model *Model `msgpack:"m,omitempty"`
	// Capacity is set for services whose size the system decides.
	Capacity *Capacity `msgpack:"s,omitempty"`
}

// Model describes the endpoints of a service that generates text.
type Model struct {
	// Slots is the number of calls that run at once.
	Slots int `msgpack:"s"`
	// Memory is the size of the cache of prompts, in tokens.
	Memory int `msgpack:"m"`
	// Stride is the number of tokens in one event.
	Stride int `msgpack:"t"`
}

// Capacity bounds the size of a service.
type Capacity struct {
	// Min and Max bound the number of instances in a failure domain.
	Min int `msgpack:"a"`
	Max int `msgpack:"b"`
	// Start is how long a new instance takes until it serves.
	Start time.Duration `msgpack:"s"`
	// Reclaimable is the price of a reclaimable instance as a part of the price
	// of one on demand; 0 if there are none.
	Reclaimable float64 `msgpack:"r"`
	// Prices are the prices by failure domain.
	Prices map[string]float64 `msgpack:"p"`
}

// Customer is who calls, found by a key.
type Customer struct {
	Name string   `msgpack:"n"`
	Keys []string `msgpack:"k"`
	// Rank goes before the rank of routes, if Ranked.
	Rank   int  `msgpack:"u"`
	Ranked bool `msgpack:"x"`
	// Rate and Burst limit what a customer may ask for, in calls or in tokens;
	// a Rate of 0 means no limit.
	Rate  float64 `msgpack:"r"`
	Burst float64 `msgpack:"b"`
	// Tokens says that Rate and Burst count tokens, and Plain is what a call
	// without a count of tokens counts.
	Tokens bool    `msgpack:"t"`
	Plain  float64 `msgpack:"p"`
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes bound a request, in bytes.
	HeaderBytes int   `msgpack:"h"`
	BodyBytes   int64 `msgpack:"b"`
	// HeaderTime is how long a caller may take to send a header.
	HeaderTime time.Duration `msgpack:"t"`
	// IdleTime is how long a connection may stay idle.
	IdleTime time.Duration `msgpack:"i"`
}

// Check returns all faults of a ruleset, joined, or nil.
func (r *Ruleset) Check() error {
	services := make(map[string]bool, len(r.Services))
	var faults []error
	for _, s := range r.Services {
		if services[s.Name] {
			faults = append(faults, fmt.Errorf("service %q stands twice; give each its own name", s.Name))
		}
		services[s.Name] = true
	}
	places := make(map[string]string, len(r.Routes))
	for i := range r.Routes {
		faults = append(faults, r.Routes[i].check(services, places)...)
	}
	keys := make(map[string]string)
	for _, c := range r.Customers {
		for _, key := range c.Keys {
			if other, ok := keys[key]; ok && other != c.Name {
				faults = append(faults, fmt.Errorf("customers %q and %q share a key; give each its own", other, c.Name))
			}
			keys[key] = c.Name
		}
	}
	return errors.Join(faults...)
}

func (r *Route) check(services map[string]bool, places map[string]string) []error {
	var faults []error
	place := strings.ToLower(r.Host) + " " + r.Prefix
	if other, ok := places[place]; ok {
		faults = append(faults, fmt.Errorf("routes %q and %q have the same host and prefix", other, r.Name))
	}
	places[place] = r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		faults = append(faults, fmt.Errorf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix))
	}
	if r.Timeout <= 0 {
		faults = append(faults, fmt.Errorf("route %q: the timeout must be above 0", r.Name))
	}
	sum := 0
	for _, share := range r.Shares {
		if !services[share.Service] {
			faults = append(faults, fmt.Errorf("route %q names the service %q, which is not defined", r.Name, share.Service))
		}
		if share.Weight < 0 {
			faults = append(faults, fmt.Errorf("route %q: a weight is below 0", r.Name))
		}
		sum += share.Weight
	}
	if sum <= 0 {
		faults = append(faults, fmt.Errorf("route %q: the weights add up to 0", r.Name))
	}
	return faults
}
