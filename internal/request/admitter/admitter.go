// Package admitter decides which calls of a service start, which wait and which are
// refused at once. It is a state machine: each event provides the time and the
// available room, and returns decisions.
package admitter

import (
	"cmp"
	"sync"
	"time"
)

// Request is one call that is to be admitted.
type Request struct {
	ID                uint64
	Customer          string
	Weight            float64 // of the customer's share when capacity is short; 0 means 1
	Worth             float64 // value of an answer that arrives in time; 0 means 1
	Priority          int     // 0 is the most urgent
	Deadline          time.Time
	PredictedDuration time.Duration // from the start of the call, without its wait
	MaxWait           time.Duration // longest wait that the caller accepts; 0 means that of the limits
	Bytes             int           // bytes of memory while it waits
}

func (r Request) weight() float64 { return cmp.Or(max(r.Weight, 0), 1) }

// work returns the predicted time in a slot of an endpoint, in seconds.
func (r Request) work() float64 { return max(r.PredictedDuration.Seconds(), 1e-3) }

// density returns the worth of the call per second of work.
func (r Request) density() float64 { return cmp.Or(max(r.Worth, 0), 1) / r.work() }

// Room is the capacity that the service has left.
type Room struct {
	Free  float64 // calls that may start now
	Limit float64 // calls of this entry that may run at once
	// Reserve is the room that less urgent calls leave free while more urgent ones
	// arrive. Other entries may have urgent calls while this one has none.
	Reserve float64
}

// Kind is the kind of a decision.
type Kind int

// The kinds of decisions.
const (
	// Admit means that the call starts now.
	Admit Kind = iota
	// Queue means that the call waits; another decision follows.
	Queue
	// Refuse means that the call is not run.
	Refuse
)

// Reason is the reason for a refusal.
type Reason string

// The reasons of a refusal.
const (
	// Late means that the answer is predicted to miss its deadline.
	Late Reason = "late"
	// Full means that the limits of the queue are reached.
	Full Reason = "full"
	// Displaced means that the call was removed from the queue in favor of a call
	// with precedence.
	Displaced Reason = "displaced"
	// Limited means that a fixed limit is reached.
	Limited Reason = "limited"
)

// Decision is the decision about one call.
type Decision struct {
	id         uint64
	kind       Kind
	reason     Reason
	retryAfter time.Duration
	waited     time.Duration
}

// ID returns the ID of the call.
func (d Decision) ID() uint64 { return d.id }

// Kind returns the kind of the decision.
func (d Decision) Kind() Kind { return d.kind }

// Reason returns why the call was refused.
func (d Decision) Reason() Reason { return d.reason }

// RetryAfter returns the time after which a refused call is expected to be admitted.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Waited returns how long the call was queued.
func (d Decision) Waited() time.Duration { return d.waited }

// Limits bound the queue of one service at one entry.
type Limits struct {
	Calls int
	Bytes int
	Wait  time.Duration
}

// DefaultLimits returns the limits of a queue whose service states no others.
func DefaultLimits() Limits { return Limits{Calls: 512, Bytes: 16 << 20, Wait: 30 * time.Second} }

// Policy decides about new calls.
type Policy struct {
	name  string
	offer func(a *Admitter, now time.Time, r Request, room Room) []Decision
}

// Name returns the name of the policy.
func (p Policy) Name() string { return p.name }

// None admits every call.
func None() Policy {
	return Policy{name: "none", offer: func(_ *Admitter, _ time.Time, r Request, _ Room) []Decision {
		return []Decision{{id: r.ID}}
	}}
}

// Fixed admits calls while fewer than limit are in flight, and refuses the others.
func Fixed(limit int) Policy {
	return Policy{name: "fixed", offer: func(a *Admitter, _ time.Time, r Request, _ Room) []Decision {
		if a.inFlight >= limit {
			return []Decision{{id: r.ID, kind: Refuse, reason: Limited, retryAfter: time.Second}}
		}
		return []Decision{{id: r.ID}}
	}}
}

// Fair admits calls while there is room. Otherwise, calls that can still meet their
// deadline wait. More urgent calls are admitted first, then calls of customers below
// their weighted share, then the calls of one customer by worth per work.
func Fair() Policy { return Policy{name: "fair", offer: (*Admitter).offerFair} }

// Admitter decides about the calls of one service at one entry. It is safe for
// concurrent use.
type Admitter struct {
	mu         sync.Mutex
	policy     Policy
	limits     Limits
	levels     []*level // by priority, the most urgent first
	locations  map[uint64]location
	bytes      int
	inFlight   int
	nextExpiry time.Time // before this time no queued call becomes late
	waitRatio  float64   // smoothed ratio of the actual to the predicted wait
	meanWork   float64   // smoothed work of a call, in seconds
}

type location struct {
	level *level
	flow  *flow
}

// New returns an admitter with an empty queue.
func New(policy Policy, limits Limits) *Admitter {
	return &Admitter{policy: policy, limits: limits, locations: make(map[uint64]location), waitRatio: 1}
}

// Offer decides about a new call. The decision about this call is the last one;
// decisions about queued calls may precede it.
func (a *Admitter) Offer(now time.Time, r Request, room Room) []Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	decisions := a.policy.offer(a, now, r, room)
	a.countAdmitted(decisions)
	return decisions
}

// Release decides about the queued calls after room has become available or time has
// passed.
func (a *Admitter) Release(now time.Time, room Room) []Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	decisions := a.release(now, room)
	a.countAdmitted(decisions)
	return decisions
}

// Cancel removes a call from the queue. It reports whether the call was queued.
func (a *Admitter) Cancel(id uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.remove(id)
}

// Done records that an admitted call has ended.
func (a *Admitter) Done() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
}

// Waiting returns the number of calls in the queue.
func (a *Admitter) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.locations)
}

// InFlight returns the number of admitted calls that have not ended.
func (a *Admitter) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}

func (a *Admitter) countAdmitted(decisions []Decision) {
	for _, d := range decisions {
		if d.kind == Admit {
			a.inFlight++
		}
	}
}
