package judge

import (
	"slices"
	"time"
)

// Outcome is what the evidence says at a moment.
type Outcome int

// The outcomes of a comparison.
const (
	// Undecided means that there is too little evidence, or a suspicion.
	Undecided Outcome = iota
	// Good means that there is enough evidence for the present stage and none
	// against the new version.
	Good
	// Bad means that the new version is worse on a route.
	Bad
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"undecided", "good", "bad"}[o]
}

// Fault names a comparison that the new version has failed.
type Fault struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Route string
	Kind  Kind
	// Value is the e-value that was reached; one over it bounds the
	// probability of such evidence on a good version.
	Value float64
	// Limit is the e-value that was needed.
	Limit float64
	// Entry is true if the guard of a single entry found the fault.
	Entry bool
}

// Verdict is the outcome with its reason.
type Verdict struct {
	outcome Outcome
	fault   Fault
}

// Outcome returns what the evidence says.
func (v Verdict) Outcome() Outcome { return v.outcome }

// Fault returns the failed comparison of a Bad verdict.
func (v Verdict) Fault() Fault { return v.fault }

// Found returns the Bad verdict for a fault that was found elsewhere.
func Found(f Fault) Verdict { return Verdict{outcome: Bad, fault: f} }

// Config holds the bounds of a judge.
type Config struct {
	// Alpha bounds the probability of a Bad verdict on a version that is no
	// worse than the old one, over the whole move.
	Alpha float64
	// Latency is true if latencies are compared, not only failures.
	Latency bool
	// Shift is the number of histogram buckets by which a latency may be
	// longer without being counted as slower; four buckets are a factor of two.
	Shift int
	// Suspicion is the e-value from which a stage is held.
	Suspicion float64
	// FailureCap and LatencyCap bound what one block may contribute, against
	// outcomes within a block that depend on each other.
	FailureCap, LatencyCap float64
	// Blocks is the number of blocks that a move is expected to have.
	Blocks int
}

// DefaultConfig returns the bounds that the product uses on the leader.
func DefaultConfig() Config {
	return Config{
		Alpha: 0.005, Latency: true, Shift: 2, Suspicion: 10,
		FailureCap: maxBlockValue, LatencyCap: 20, Blocks: 1000,
	}
}

// Reign returns the part of alpha that the leader with the given number, from
// zero, may spend on a move, so that all leaders together stay within it.
func Reign(alpha float64, number int) float64 {
	n := float64(number)
	return alpha / ((n + 1) * (n + 2))
}

type comparison struct {
	route    string
	kind     Kind
	quantile float64
	evidence *evidence
	limit    float64
}

// Judge holds the running comparisons of one move. It is not safe for
// concurrent use.
type Judge struct {
	config      Config
	comparisons []*comparison
	past        map[string]*history
	seen        Table
	epoch       uint64
	fault       *Fault
}

const (
	// A route is busy if it has at least one in busyRoute of the calls.
	busyRoute = 20
	// A busy route needs one in routePart of the calls that all need together.
	routePart = 3
)

var (
	failureEffects = []float64{0.04, 0.2, 0.7}
	latencyEffects = []float64{0.1, 0.3, 0.8}
	latencyKinds   = []Kind{First, Next, Total}
	quantiles      = []float64{0.5, 0.9}
)

// New returns a judge for a service with the given routes. Half of alpha goes
// to failures and half to latencies, in equal parts over the routes, all
// routes together, the kinds and the quantiles.
func New(config Config, routes []string) *Judge {
	j := &Judge{config: config, past: make(map[string]*history), seen: make(Table)}
	scopes := routes
	if len(routes) > 1 {
		scopes = append([]string{Overall}, routes...)
	}
	limit := float64(len(scopes)) / config.Alpha
	if config.Latency {
		limit *= 2
	}
	for _, route := range scopes {
		j.add(route, Failure, 0, limit, newEvidence(failureEffects, config.Blocks, config.FailureCap))
	}
	if !config.Latency {
		return j
	}
	limit *= float64(len(latencyKinds) * len(quantiles))
	for _, route := range scopes {
		for _, kind := range latencyKinds {
			for _, q := range quantiles {
				j.add(route, kind, q, limit, newEvidence(latencyEffects, config.Blocks, config.LatencyCap))
			}
		}
	}
	return j
}

func (j *Judge) add(route string, kind Kind, quantile, limit float64, e *evidence) {
	j.comparisons = append(j.comparisons, &comparison{
		route: route, kind: kind, quantile: quantile, limit: limit, evidence: e,
	})
}

// Interval is the time between two blocks: judges and guards look once in it.
const Interval = time.Second

// Observe takes in the cumulative counters of an epoch as one more block.
// Counters of a new epoch start from zero. The block stays open, and nothing
// is taken in, until both versions have finished a call in it.
func (j *Judge) Observe(epoch uint64, totals Table) {
	if epoch != j.epoch {
		j.epoch = epoch
		j.seen = make(Table)
	}
	delta := totals.since(j.seen)
	if !delta.comparable() {
		return
	}
	j.seen = totals.clone()
	for _, c := range j.comparisons {
		c.evidence.observe(j.strata(c, delta))
		if v := c.evidence.value(); v >= c.limit && j.fault == nil {
			j.fault = &Fault{Route: c.route, Kind: c.kind, Value: v, Limit: c.limit}
		}
	}
	for route, p := range delta {
		if j.past[route] == nil {
			j.past[route] = &history{}
		}
		j.past[route].add(&p.old)
	}
}

// Verdict returns Bad once a comparison has failed. Otherwise it returns Good
// if the routes have shown so many finished calls on the new version in the
// present epoch, each busy route a part of them, and no comparison is under
// suspicion.
func (j *Judge) Verdict(routes []string, calls uint64) Verdict {
	if j.fault != nil {
		return Verdict{outcome: Bad, fault: *j.fault}
	}
	if j.enough(routes, calls) && !j.suspects() {
		return Verdict{outcome: Good}
	}
	return Verdict{}
}

// Evidence returns the largest e-value of a comparison in relation to its
// limit; 1 is a fault.
func (j *Judge) Evidence() float64 {
	var top float64
	for _, c := range j.comparisons {
		top = max(top, c.evidence.value()/c.limit)
	}
	return top
}

func (j *Judge) suspects() bool {
	return slices.ContainsFunc(j.comparisons, func(c *comparison) bool {
		return c.evidence.value() >= j.config.Suspicion
	})
}

// enough also asks that calls to the new version do not hang: about as many of
// those that were sent must have ended as on the old version.
func (j *Judge) enough(routes []string, calls uint64) bool {
	var sum Pair
	for _, route := range routes {
		if p := j.seen[route]; p != nil {
			sum.merge(p)
		}
	}
	if sum.latest.finished < calls || hangs(&sum) {
		return false
	}
	all := sum.old.finished + sum.latest.finished
	for _, route := range routes {
		p := j.seen[route]
		if p == nil || (p.old.finished+p.latest.finished)*busyRoute < all {
			continue
		}
		if p.latest.finished < calls/routePart || hangs(p) {
			return false
		}
	}
	return true
}

func hangs(p *Pair) bool {
	const tolerated = 0.8
	old := float64(p.old.finished) / float64(max(p.old.started, 1))
	latest := float64(p.latest.finished) / float64(max(p.latest.started, 1))
	return latest < tolerated*min(old, 1)
}

func (j *Judge) strata(c *comparison, delta Table) []block {
	if c.route != Overall {
		return j.stratum(nil, c, c.route, delta)
	}
	var all []block
	for route := range delta {
		all = j.stratum(all, c, route, delta)
	}
	return all
}

func (j *Judge) stratum(blocks []block, c *comparison, route string, delta Table) []block {
	now, before := delta[route], j.past[route]
	if now == nil {
		return blocks
	}
	if before == nil {
		before = &history{}
	}
	if c.kind == Failure {
		return append(blocks, failureBlock(now, before))
	}
	if before.latency(c.kind).sum == 0 {
		return blocks
	}
	return append(blocks, latencyBlock(now, before, c, j.config.Shift))
}

func failureBlock(now *Pair, before *history) block {
	base := (before.failed + priorFailures) / (before.calls + priorCalls)
	return block{
		oldCalls: float64(now.old.finished), oldHits: float64(now.old.failed),
		newCalls: float64(now.latest.finished), newHits: float64(now.latest.failed),
		base: min(base, maxBaseRate),
	}
}

// latencyBlock counts the answers beyond an edge that was taken from earlier
// answers of the old version, and for the new version beyond a higher one.
func latencyBlock(now *Pair, before *history, c *comparison, shift int) block {
	spectrum := before.latency(c.kind)
	edge, above := spectrum.quantile(c.quantile)
	old, latest := now.old.Latency(c.kind), now.latest.Latency(c.kind)
	base := (above + priorSlow) / (spectrum.sum + 2*priorSlow)
	return block{
		oldCalls: float64(old.total), oldHits: float64(old.Above(edge)),
		newCalls: float64(latest.total), newHits: float64(latest.Above(edge + shift)),
		base: min(base, maxBaseRate),
	}
}
