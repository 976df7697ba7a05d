package judge

import (
	"slices"
	"time"
)

// Outcome is the current result of a comparison.
type Outcome int

// The outcomes of a comparison.
const (
	// Undecided means that there is too little evidence, or some evidence against the new version.
	Undecided Outcome = iota
	// Good means that there is enough evidence for the current step and none against the new version.
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
	// Value is the e-value that was reached. Its reciprocal bounds the probability of such evidence on
	// a good version.
	Value float64
	// Limit is the e-value that was required.
	Limit float64
	// Entry is true if the guard of a single entry detected the fault.
	Entry bool
}

// Verdict is an outcome with its reason.
type Verdict struct {
	outcome Outcome
	fault   Fault
}

// Outcome returns the outcome of the comparison.
func (v Verdict) Outcome() Outcome { return v.outcome }

// Fault returns the failed comparison of a Bad verdict.
func (v Verdict) Fault() Fault { return v.fault }

// BadVerdict returns the Bad verdict for a fault that was detected elsewhere.
func BadVerdict(f Fault) Verdict { return Verdict{outcome: Bad, fault: f} }

// Config holds the thresholds of a judge.
type Config struct {
	// Alpha bounds the probability of a Bad verdict on a version that is no
	// worse than the old one, over the whole move.
	Alpha float64
	// Latency is true if latencies are compared as well as failures.
	Latency bool
	// ToleratedBuckets is the number of histogram buckets by which the latencies of the new version may be
	// longer without counting as slower. Four buckets are a factor of two.
	ToleratedBuckets int
	// SuspicionThreshold is the e-value from which a move does not advance to the next step.
	SuspicionThreshold float64
	// FailureCap and LatencyCap bound the e-value that one block may contribute, because outcomes within
	// a block may depend on each other.
	FailureCap, LatencyCap float64
	// Blocks is the expected number of blocks of a move.
	Blocks int
}

// DefaultConfig returns the thresholds that the leader uses.
func DefaultConfig() Config {
	return Config{
		Alpha: 0.005, Latency: true, ToleratedBuckets: 2, SuspicionThreshold: 10,
		FailureCap: maxBlockEValue, LatencyCap: 20, Blocks: 1000,
	}
}

// LeaderAlpha returns the part of alpha that a leader may spend on a move, given the number of leaders before it,
// so that all leaders together stay within alpha.
func LeaderAlpha(alpha float64, leaderChanges int) float64 {
	n := float64(leaderChanges)
	return alpha / ((n + 1) * (n + 2))
}

type comparison struct {
	route    string
	kind     Kind
	quantile float64
	evidence *evidence
	limit    float64
}

// Judge holds the running comparisons of one move. It is not safe for concurrent use.
type Judge struct {
	config      Config
	comparisons []*comparison
	histories   map[string]*history
	observed    Table
	epoch       uint64
	fault       *Fault
}

const (
	// A route is busy if it has at least 1/busyRouteDivisor of the calls.
	busyRouteDivisor = 20
	// A busy route needs 1/routeCallsDivisor of the calls that are required over all routes.
	routeCallsDivisor = 3
)

var (
	failureEffects = []float64{0.04, 0.2, 0.7}
	latencyEffects = []float64{0.1, 0.3, 0.8}
	latencyKinds   = []Kind{First, Next, Total}
	quantiles      = []float64{0.5, 0.9}
)

// New returns a judge for a service with the given routes. Half of alpha goes to failures and half to
// latencies, or all of it to failures if latencies are not compared. Each part is divided equally over the
// routes and all routes together, and that of the latencies also over the kinds and the quantiles.
func New(config Config, routes []string) *Judge {
	j := &Judge{config: config, histories: make(map[string]*history), observed: make(Table)}
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

// Interval is the duration of a block: judges and guards run once in it.
const Interval = time.Second

// Observe adds the cumulative counters of an epoch as one more block. The counters of a new epoch start from
// zero. The block is extended until both versions have finished a call on the same route in it.
func (j *Judge) Observe(epoch uint64, totals Table) {
	if epoch != j.epoch {
		j.epoch = epoch
		j.observed = make(Table)
	}
	delta := totals.since(j.observed)
	if !delta.comparable() {
		return
	}
	j.observed = totals.clone()
	for _, c := range j.comparisons {
		c.evidence.observe(j.strata(c, delta))
		if v := c.evidence.eValue(); v >= c.limit && j.fault == nil {
			j.fault = &Fault{Route: c.route, Kind: c.kind, Value: v, Limit: c.limit}
		}
	}
	for route, p := range delta {
		if j.histories[route] == nil {
			j.histories[route] = &history{}
		}
		j.histories[route].add(&p.old)
	}
}

// Verdict returns Bad once a comparison has failed. Otherwise it returns Good if the routes have at least the
// given number of finished calls on the new version in the current epoch, each busy route has a part of
// them, and no comparison is suspicious.
func (j *Judge) Verdict(routes []string, calls uint64) Verdict {
	if j.fault != nil {
		return Verdict{outcome: Bad, fault: *j.fault}
	}
	if j.hasEnoughCalls(routes, calls) && !j.isSuspicious() {
		return Verdict{outcome: Good}
	}
	return Verdict{}
}

// Evidence returns the largest e-value of a comparison as a fraction of its limit. A fraction of 1 is a fault.
func (j *Judge) Evidence() float64 {
	var top float64
	for _, c := range j.comparisons {
		top = max(top, c.evidence.eValue()/c.limit)
	}
	return top
}

func (j *Judge) isSuspicious() bool {
	return slices.ContainsFunc(j.comparisons, func(c *comparison) bool {
		return c.evidence.eValue() >= j.config.SuspicionThreshold
	})
}

// hasEnoughCalls reports whether the routes together, and each busy one, have enough finished calls on the
// new version. Calls to it must not hang either: the fraction of its calls that have finished must be about
// that of the old version.
func (j *Judge) hasEnoughCalls(routes []string, calls uint64) bool {
	var sum Pair
	for _, route := range routes {
		if p := j.observed[route]; p != nil {
			sum.merge(p)
		}
	}
	if sum.latest.finished < calls || hasHangingCalls(&sum) {
		return false
	}
	all := sum.old.finished + sum.latest.finished
	for _, route := range routes {
		p := j.observed[route]
		if p == nil || (p.old.finished+p.latest.finished)*busyRouteDivisor < all {
			continue
		}
		if p.latest.finished < calls/routeCallsDivisor || hasHangingCalls(p) {
			return false
		}
	}
	return true
}

func hasHangingCalls(p *Pair) bool {
	const minRatio = 0.8
	old := float64(p.old.finished) / float64(max(p.old.started, 1))
	latest := float64(p.latest.finished) / float64(max(p.latest.started, 1))
	return latest < minRatio*min(old, 1)
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
	now, earlier := delta[route], j.histories[route]
	if now == nil {
		return blocks
	}
	if earlier == nil {
		earlier = &history{}
	}
	if c.kind == Failure {
		return append(blocks, failureBlock(now, earlier))
	}
	if earlier.latency(c.kind).sum == 0 {
		return blocks
	}
	return append(blocks, latencyBlock(now, earlier, c, j.config.ToleratedBuckets))
}

func failureBlock(now *Pair, earlier *history) block {
	base := (earlier.failed + priorFailures) / (earlier.calls + priorCalls)
	return block{
		oldCalls: float64(now.old.finished), oldHits: float64(now.old.failed),
		newCalls: float64(now.latest.finished), newHits: float64(now.latest.failed),
		base: min(base, maxBaseRate),
	}
}

// latencyBlock counts the calls that were slower than a threshold, which is taken from earlier calls to the
// old version. The threshold for the new version is higher by shift buckets.
func latencyBlock(now *Pair, earlier *history, c *comparison, shift int) block {
	histogram := earlier.latency(c.kind)
	edge, above := histogram.quantile(c.quantile)
	old, latest := now.old.Latency(c.kind), now.latest.Latency(c.kind)
	base := (above + priorAbove) / (histogram.sum + 2*priorAbove)
	return block{
		oldCalls: float64(old.total), oldHits: float64(old.Above(edge)),
		newCalls: float64(latest.total), newHits: float64(latest.Above(edge + shift)),
		base: min(base, maxBaseRate),
	}
}
