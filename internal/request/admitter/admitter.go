// Package admitter decides which calls of a service start, which wait and which
// are refused at once. It is a state machine: each event brings the time and the
// room that is left, and yields decisions.
package admitter

import (
	"cmp"
	"sync"
	"time"
)

// Request is one call that wants to start.
type Request struct {
	ID       uint64
	Customer string
	Weight   float64 // of the customer's share when capacity is short; 0 counts as 1
	Worth    float64 // of the answer in time; 0 counts as 1
	Priority int     // 0 is the most urgent
	Deadline time.Time
	Run      time.Duration // predicted time of the call once it has started
	Patience time.Duration // longest wait of use to the caller; 0 means that of the limits
	Bytes    int           // of memory while it waits
}

func (r Request) weight() float64 { return cmp.Or(max(r.Weight, 0), 1) }

// work is the predicted time in a slot of an endpoint, in seconds.
func (r Request) work() float64 { return max(r.Run.Seconds(), 1e-3) }

// density is the worth of the call per second of work.
func (r Request) density() float64 { return cmp.Or(max(r.Worth, 0), 1) / r.work() }

// Room is what the service can still take.
type Room struct {
	Free  float64 // calls that may start now
	Limit float64 // calls of this entry that may run at once
	// Reserve is the room that less urgent calls leave free while more urgent ones
	// arrive. Other entries may have urgent calls when this one has none.
	Reserve float64
}

// Kind is what was decided about a call.
type Kind int

// The kinds of decisions.
const (
	// Admit the call: it starts now.
	Admit Kind = iota
	// Queue the call: a later decision follows.
	Queue
	// Refuse the call: it is not run.
	Refuse
)

// Reason says why a call was refused.
type Reason string

// The reasons of a refusal.
const (
	// Late means that the answer is predicted to miss its deadline.
	Late Reason = "late"
	// Full means that the bounds of the queue are reached.
	Full Reason = "full"
	// Displaced means that the call gave way to another one with a better claim.
	Displaced Reason = "displaced"
	// Limited means that a fixed limit is reached.
	Limited Reason = "limited"
)

// Decision is the outcome for one call.
type Decision struct {
	id         uint64
	kind       Kind
	reason     Reason
	retryAfter time.Duration
	waited     time.Duration
}

// ID returns the call that was decided about.
func (d Decision) ID() uint64 { return d.id }

// Kind returns what was decided.
func (d Decision) Kind() Kind { return d.kind }

// Reason returns why the call was refused.
func (d Decision) Reason() Reason { return d.reason }

// RetryAfter returns when a refused call is expected to be admitted.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Waited returns how long the call was in the queue.
func (d Decision) Waited() time.Duration { return d.waited }

// Limits bound the queue of one service at one entry.
type Limits struct {
	Calls int
	Bytes int
	Wait  time.Duration
}

// DefaultLimits are the bounds of a queue unless the service states others.
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

// Fixed admits calls up to a number that runs at once, and refuses the rest.
func Fixed(limit int) Policy {
	return Policy{name: "fixed", offer: func(a *Admitter, _ time.Time, r Request, _ Room) []Decision {
		if a.running >= limit {
			return []Decision{{id: r.ID, kind: Refuse, reason: Limited, retryAfter: time.Second}}
		}
		return []Decision{{id: r.ID}}
	}}
}

// Fair admits calls while there is room. When there is none, calls that can still
// be in time wait; more urgent ones first, then each customer by its weighted share,
// then the calls of one customer by worth per work.
func Fair() Policy { return Policy{name: "fair", offer: (*Admitter).offerFair} }

// Admitter decides about the calls of one service at one entry. It is safe for
// concurrent use.
type Admitter struct {
	mu      sync.Mutex
	policy  Policy
	limits  Limits
	levels  []*level // by priority, the most urgent first
	where   map[uint64]place
	bytes   int
	running int
	due     time.Time // before then no call in the queue becomes late
	pace    float64   // waited over predicted wait
	mean    float64   // seconds of work of a call
}

type place struct {
	level *level
	flow  *flow
}

// New returns an admitter with an empty queue.
func New(policy Policy, limits Limits) *Admitter {
	return &Admitter{policy: policy, limits: limits, where: make(map[uint64]place), pace: 1}
}

// Offer decides about a new call. The decision about it comes last; decisions
// about calls in the queue may come before.
func (a *Admitter) Offer(now time.Time, r Request, room Room) []Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	decisions := a.policy.offer(a, now, r, room)
	a.count(decisions)
	return decisions
}

// Release decides about the calls in the queue after room has come up or time has passed.
func (a *Admitter) Release(now time.Time, room Room) []Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	decisions := a.release(now, room)
	a.count(decisions)
	return decisions
}

// Cancel takes a call out of the queue. It reports whether it was there.
func (a *Admitter) Cancel(id uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.remove(id)
}

// Done records that an admitted call has ended.
func (a *Admitter) Done() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
}

// Waiting returns the number of calls in the queue.
func (a *Admitter) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.where)
}

// Running returns the number of admitted calls that have not ended.
func (a *Admitter) Running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running
}

func (a *Admitter) count(decisions []Decision) {
	for _, d := range decisions {
		if d.kind == Admit {
			a.running++
		}
	}
}
