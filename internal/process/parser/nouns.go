package parser

import (
	"encoding/hex"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	defaultTimeout   = 10 * time.Second
	defaultFirst     = 1300 * time.Millisecond
	defaultNext      = 52 * time.Millisecond
	maxTimeout       = time.Hour
	defaultRetention = time.Hour
	minRetention     = time.Minute
	maxRetention     = 24 * time.Hour
	tokenPrefix      = "sha256:"
	tokenBytes       = 32
)

// noun describes one kind of rule: its keys and the function that builds it.
type noun struct {
	keys     map[string]string // key to a description of its valid values
	required []string
	build    func(p *parser, name string, v *values)
}

func (n *noun) keyNames() []string { return sortedKeys(n.keys) }

var nouns map[string]*noun

func init() {
	nouns = map[string]*noun{
		"customer": {
			keys:     map[string]string{"worth": "a number from 0 to 1000", "rate": "requests per second, from 0", "burst": "a whole number from 1", "token": "sha256: and 64 hexadecimal digits"},
			required: []string{"token"}, build: buildCustomer,
		},
		"service": {
			keys:     map[string]string{"kind": "model or plain", "first": "a duration such as 1300ms", "next": "a duration such as 52ms", "timeout": "a duration up to 1h", "status": "a path with {key}", "fence": "true or false"},
			required: []string{"kind"}, build: buildService,
		},
		"route": {
			keys:     map[string]string{"path": "a path that begins with /", "service": "the name of a service", "once": "true or false", "priority": "a whole number from 0 to 9", "worth": "a number from 0 to 1000", "keep": "a duration from 1m to 24h, on a route with once=true"},
			required: []string{"path", "service"}, build: buildRoute,
		},
		"move": {
			keys:     map[string]string{"from": "a version", "to": "another version", "by": "a time such as 2027-01-10T06:00:00Z", "share": "percent, above 0 and up to 50"},
			required: []string{"from", "to", "by"}, build: buildMove,
		},
		"size": {
			keys:     map[string]string{"min": "a whole number from 0", "max": "a whole number, not below min", "spare": "domain or none", "price": "a number from 0"},
			required: []string{"min", "max"}, build: buildSize,
		},
		"endpoint": {
			keys:     map[string]string{"service": "the name of a service", "address": "an IP number and port", "domain": "a failure domain", "version": "a version"},
			required: []string{"service", "address", "domain", "version"}, build: buildEndpoint,
		},
	}
}

func nounNames() []string { return sortedKeys(nouns) }

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func buildCustomer(p *parser, name string, v *values) {
	p.rules.customers = append(p.rules.customers, Customer{
		name:      name,
		worth:     v.number("worth", 1, 0, 1000),
		rate:      v.number("rate", 0, 0, 1e6),
		burst:     v.integer("burst", 100, 1, 1e6),
		tokenHash: v.token("token"),
	})
}

func buildService(p *parser, name string, v *values) {
	p.rules.services = append(p.rules.services, Service{
		name:    name,
		kind:    Kind(v.choice("kind", string(KindPlain), string(KindModel), string(KindPlain))),
		first:   v.duration("first", defaultFirst),
		next:    v.duration("next", defaultNext),
		timeout: v.duration("timeout", defaultTimeout),
		status:  v.path("status", "{key}"),
		fence:   v.choice("fence", "false", "true", "false") == "true",
	})
}

func buildRoute(p *parser, name string, v *values) {
	r := Route{
		name:      name,
		path:      v.path("path", ""),
		service:   v.given["service"],
		once:      v.choice("once", "false", "true", "false") == "true",
		priority:  v.integer("priority", 1, 0, 9),
		worth:     v.number("worth", 1, 0, 1000),
		retention: v.durationIn("keep", defaultRetention, minRetention, maxRetention),
	}
	if _, given := v.given["keep"]; given && !r.once {
		v.invalid("keep")
	}
	p.rules.routes = append(p.rules.routes, r)
}

func buildMove(p *parser, name string, v *values) {
	m := Move{
		service:  name,
		from:     v.given["from"],
		to:       v.given["to"],
		deadline: v.time("by"),
		share:    v.number("share", 2, 0.01, 50),
	}
	if m.from == m.to {
		p.fault("to="+m.to, "a version other than from="+m.from, "")
	}
	p.rules.moves = append(p.rules.moves, m)
}

func buildSize(p *parser, name string, v *values) {
	s := Size{
		service:  name,
		min:      v.integer("min", 0, 0, 1e5),
		max:      v.integer("max", 0, 0, 1e5),
		spare:    v.choice("spare", "none", "domain", "none") == "domain",
		maxPrice: v.number("price", 0, 0, 1e6),
	}
	if s.max < s.min {
		p.fault("max="+v.given["max"], "a whole number, not below min", "")
	}
	p.rules.sizes = append(p.rules.sizes, s)
}

func buildEndpoint(p *parser, name string, v *values) {
	p.rules.endpoints = append(p.rules.endpoints, Endpoint{
		name:    name,
		service: v.given["service"],
		address: v.address("address"),
		domain:  v.given["domain"],
		version: v.given["version"],
	})
}

// values parses the values of one rule and reports their faults.
type values struct {
	parser *parser
	keys   map[string]string
	given  map[string]string
}

func (v *values) invalid(key string) {
	v.parser.fault(key+"="+v.given[key], v.keys[key], "")
}

func (v *values) number(key string, fallback, low, high float64) float64 {
	text, ok := v.given[key]
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= low && n <= high) {
		v.invalid(key)
		return fallback
	}
	return n
}

func (v *values) integer(key string, fallback, low, high int) int {
	text, ok := v.given[key]
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		v.invalid(key)
		return fallback
	}
	return n
}

func (v *values) duration(key string, fallback time.Duration) time.Duration {
	return v.durationIn(key, fallback, time.Nanosecond, maxTimeout)
}

func (v *values) durationIn(key string, fallback, low, high time.Duration) time.Duration {
	text, ok := v.given[key]
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < low || d > high {
		v.invalid(key)
		return fallback
	}
	return d
}

func (v *values) time(key string) time.Time {
	t, err := time.Parse(time.RFC3339, v.given[key])
	if err != nil {
		v.invalid(key)
	}
	return t
}

func (v *values) choice(key, fallback string, allowed ...string) string {
	text, ok := v.given[key]
	if !ok {
		return fallback
	}
	if !contains(allowed, text) {
		v.parser.fault(key+"="+text, v.keys[key], nearest(text, allowed))
		return fallback
	}
	return text
}

func (v *values) path(key, part string) string {
	text, ok := v.given[key]
	if !ok {
		return ""
	}
	if !strings.HasPrefix(text, "/") || !strings.Contains(text, part) {
		v.invalid(key)
	}
	return text
}

func (v *values) address(key string) string {
	text := v.given[key]
	if a, err := netip.ParseAddrPort(text); err != nil || a.Port() == 0 {
		v.invalid(key)
	}
	return text
}

func (v *values) token(key string) string {
	text, prefixed := strings.CutPrefix(v.given[key], tokenPrefix)
	raw, err := hex.DecodeString(text)
	if !prefixed || err != nil || len(raw) != tokenBytes {
		v.parser.fault(key+"=", v.keys[key], "")
		return ""
	}
	return strings.ToLower(text)
}
