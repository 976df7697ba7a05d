// Package rationer decides how long a call may queue at an endpoint while capacity is short.
// Less urgent calls leave capacity to more urgent ones, customers that compete get their fair
// share, and small calls go before large ones, each within stated minimum shares. Without a
// shortage a call may queue for a fraction of its own objective. It is a state machine: calls
// and a time go in, durations come out.
package rationer

import (
	"sync"
	"time"
)

const (
	// Ranks is the number of priorities that are told apart; the last one stands for all less
	// urgent ones too.
	Ranks = 3
	// tolerance is the fraction of a rank's work that may be refused without effect on others. A few refusals happen whenever arrivals are bursty.
	tolerance = 0.02
	// gain is by how much the level of a rank falls for each unit of pressure above tolerance:
	// with a tenth of the more urgent work refused, it is at minLevel.
	gain = 10.0
	// minLevel is the least fraction to which an allowed queue time shrinks.
	minLevel = 0.1
	// MinShare is the fraction of its requested work that each rank keeps: while less than that
	// was admitted, its calls may queue for their whole objective.
	MinShare = 0.1
	// lateTolerance is the late fraction that is tolerated: during stalls of endpoints calls are
	// late although capacity suffices.
	lateTolerance = 0.1
	// lateGain states how the queue time of a rank falls with the fraction of its admitted work
	// that is late beyond lateTolerance, down to minOwnLevel.
	lateGain    = 2.0
	minOwnLevel = 0.2
	// maxOvertaking bounds the fraction of the capacity that more urgent calls are expected to
	// take from a call that waits.
	maxOvertaking = 0.9
	// yieldGain is the greatest fraction by which the queue time of a rank falls while a less
	// urgent one is served less than its minimum share.
	yieldGain = 0.5
	// reserveFraction is the fraction of the slots and of the memory of endpoints that a rank
	// leaves free at minLevel.
	reserveFraction = 0.25
	// capTime is for how long less urgent calls may queue no longer than a more urgent call that
	// was refused. It exceeds the time between two reports of loads.
	capTime = 500 * time.Millisecond
	// largeFactor is the multiple of the mean size from which on a call counts as large.
	largeFactor = 2.0
	// largeServed is the least ratio of the served fractions of large calls and of others. It
	// exceeds the promised half, since calls are corrected only after they fell behind.
	largeServed = 0.7
	// behindFactor is the factor of the queue time of the calls, large or not, that give way.
	behindFactor = 0.5
	// fairSlack is the multiple of its fair share that a customer may have admitted.
	fairSlack = 1.2
	// callWork is the work of a call beyond its prompt, in tokens. Calls without a prompt have it
	// too.
	callWork = 300
)

// Call is a call that asks for capacity.
type Call struct {
	Service  string
	Customer string
	Priority int // 0 is the most urgent
	Prompt   int // tokens
	// Objective is the time within which the first event is worth most, 0 if there is none, and
	// Remaining the time until the deadline.
	Objective time.Duration
	Remaining time.Duration
	// Waited is how long the caller has waited before this call.
	Waited time.Duration
	// Capacity is the rate of all endpoints of the service in prompt tokens per millisecond, 0 if
	// it is not known.
	Capacity float64
}

func (c *Call) rank() int { return min(max(c.Priority, 0), Ranks-1) }

// prefill returns the assumed time to process the prompt.
func (c *Call) prefill() time.Duration {
	return time.Duration(float64(c.Prompt) / assumedPrefillRate * float64(time.Millisecond))
}

func (c *Call) work() float64 { return float64(max(c.Prompt, 0)) + callWork }

// Allowance is what a call may use at an endpoint.
type Allowance struct {
	queueTime time.Duration
	reserve   float64
	level     float64
	isMinimum bool
}

// QueueTime returns how long the call may wait until the endpoint starts to process it.
func (a Allowance) QueueTime() time.Duration { return a.queueTime }

// Reserve returns the fraction of an endpoint's slots and memory that the call leaves free.
func (a Allowance) Reserve() float64 { return a.reserve }

// Level returns the fraction of the usual queue time that the call's rank has.
func (a Allowance) Level() float64 { return a.level }

// IsMinimum reports whether the call is part of the minimum share of its rank. It may then go
// before more urgent calls that are refused.
func (a Allowance) IsMinimum() bool { return a.isMinimum }

// Rationer decides about the calls of one node. It is safe for concurrent use.
type Rationer struct {
	mu       sync.Mutex
	services map[string]*service
}

// New returns a rationer that has seen no calls.
func New() *Rationer { return &Rationer{services: make(map[string]*service)} }

// Usual returns what a call may use that is decided about by itself.
func Usual(c *Call) Allowance { return Allowance{queueTime: baseQueueTime(c), level: 1} }

// Allow returns what a call may use now.
func (r *Rationer) Allow(c *Call, now time.Time) Allowance {
	usual := Usual(c)
	base := usual.queueTime
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[c.Service]
	if s == nil {
		return usual
	}
	s.decay(now)
	level := s.level(c.rank(), now)
	base = s.orderReturns(c, base, now)
	if level < 1 && s.isBelowMinimum(c.rank(), now) {
		return Allowance{queueTime: max(base, c.Objective), level: 1, isMinimum: true}
	}
	a := Allowance{level: level, reserve: reserveFraction * (1 - level)}
	base = s.beforeOvertaking(c, base, now)
	a.queueTime = time.Duration(level * s.ownLevel(c.rank(), now) * s.yieldLevel(c.rank(), now) * s.sizeFactor(c) * s.customerFactor(c) * float64(base))
	for _, urgent := range s.ranks[:c.rank()] {
		if now.Sub(urgent.cappedAt) < capTime {
			a.queueTime = min(a.queueTime, urgent.cap)
		}
	}
	return a
}

// Admitted records that a call was placed; isLate tells that it is predicted to miss its
// objective.
func (r *Rationer) Admitted(c *Call, isLate bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(c.Service, now)
	s.ask(c, true)
	if isLate {
		s.ranks[c.rank()].own.Bad += c.work()
	}
}

// Refused records that a call was refused for lack of capacity that might have queued for the
// given time.
func (r *Rationer) Refused(c *Call, allowed time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(c.Service, now)
	s.ask(c, false)
	k := &s.ranks[c.rank()]
	k.own.Bad += c.work()
	if now.Sub(k.cappedAt) >= capTime {
		k.cap = allowed
	}
	k.cap, k.cappedAt = min(k.cap, allowed), now
}

// Late records that an admitted call has missed its objective.
func (r *Rationer) Late(c *Call, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(c.Service, now).ranks[c.rank()].own.Bad += c.work()
}

const (
	// queueFraction is the fraction of the objective for which a call may wait, less
	// the time to process its own prompt at assumedPrefillRate tokens per
	// millisecond.
	queueFraction      = 0.85
	assumedPrefillRate = 40.0
	// minQueueFraction is the least such fraction for large prompts.
	minQueueFraction = 0.4
	// minLateQueueFraction is the least such fraction after the reductions for the
	// call's priority and for the wait of its caller before this call.
	minLateQueueFraction = 0.2
	// priorityStep is by how much each level of priority increases the divisor of
	// that fraction.
	priorityStep = 0.3
)

// baseQueueTime returns how long a call may queue without a shortage. A call that waits so
// long that it misses its objective also delays others, so it is better refused at once; less
// urgent calls are refused sooner. Large prompts, which take long to process, keep a minimum
// fraction of the objective.
func baseQueueTime(c *Call) time.Duration {
	objective := float64(c.Objective)
	if objective <= 0 {
		return c.Remaining
	}
	prefill := float64(c.Prompt) / assumedPrefillRate * float64(time.Millisecond)
	fraction := max(queueFraction-prefill/objective, minQueueFraction) / (1 + priorityStep*float64(max(c.Priority, 0)))
	if waited := float64(c.Waited) / objective; waited < 1 {
		fraction -= waited
	}
	return time.Duration(max(fraction, minLateQueueFraction) * objective)
}
