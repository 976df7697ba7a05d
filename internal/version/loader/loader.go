// Package loader decides in which order instances load model weights from the rate-limited weight store.
package loader

import (
	"cmp"
	"slices"
	"time"
)

// Load is a transfer of a version's weights to an instance.
type Load struct {
	service  string
	version  string
	instance string
}

// NewLoad returns a transfer.
func NewLoad(service, version, instance string) Load {
	return Load{service: service, version: version, instance: instance}
}

// Service returns the service of the weights.
func (l Load) Service() string { return l.service }

// Version returns the version of the weights.
func (l Load) Version() string { return l.version }

// Instance returns the id of the instance that needs them.
func (l Load) Instance() string { return l.instance }

// Need is a requested transfer with its urgency.
type Need struct {
	Load Load
	// Missing is the number of instances by which the version falls short of the number that must serve now.
	Missing int
	// Deadline is when the version has to be ready; zero if there is no deadline.
	Deadline time.Time
}

// Config holds the limits of transfers.
type Config struct {
	// MaxParallel is the maximum number of transfers in progress.
	MaxParallel int
	// MinBackoff and MaxBackoff bound the backoff after a refusal or a failure.
	MinBackoff, MaxBackoff time.Duration
	// Timeout is the time after which a started transfer is requested again.
	Timeout time.Duration
}

// DefaultConfig returns the limits that the product uses.
func DefaultConfig() Config {
	return Config{MaxParallel: 4, MinBackoff: time.Second, MaxBackoff: time.Minute, Timeout: 5 * time.Minute}
}

// Queue holds the requested transfers. It is level-triggered: Reconcile is passed all transfers that are
// needed, so a new leader needs no state of the old one. It is not safe for concurrent use.
type Queue struct {
	config  Config
	waiting []Need
	running map[Load]time.Time // when the transfer times out
	failed  map[Load]backoff
	store   backoff
}

type backoff struct {
	count int
	until time.Time
}

// NewQueue returns an empty queue.
func NewQueue(config Config) *Queue {
	return &Queue{config: config, running: make(map[Load]time.Time), failed: make(map[Load]backoff)}
}

// Reconcile replaces the requested transfers. Transfers that are no longer requested count as done.
func (q *Queue) Reconcile(needs []Need, now time.Time) {
	wanted := make(map[Load]bool, len(needs))
	for _, n := range needs {
		wanted[n.Load] = true
	}
	for load, timeout := range q.running {
		if !wanted[load] || !now.Before(timeout) {
			delete(q.running, load)
		}
	}
	for load := range q.failed {
		if !wanted[load] {
			delete(q.failed, load)
		}
	}
	q.waiting = slices.Clone(needs)
	slices.SortStableFunc(q.waiting, compareUrgency)
}

// Next returns the most urgent transfer that may start now. The caller requests it from the store and then
// calls Started, RateLimited or Failed.
func (q *Queue) Next(now time.Time) (Load, bool) {
	if len(q.running) >= q.config.MaxParallel || now.Before(q.store.until) {
		return Load{}, false
	}
	for _, n := range q.waiting {
		_, started := q.running[n.Load]
		if !started && !now.Before(q.failed[n.Load].until) {
			return n.Load, true
		}
	}
	return Load{}, false
}

// Started records that the store has accepted a transfer.
func (q *Queue) Started(load Load, now time.Time) {
	q.running[load] = now.Add(q.config.Timeout)
	q.store = backoff{}
	delete(q.failed, load)
}

// RateLimited records that the store refused a request because of its rate limit. after is the delay that the
// store requested, or 0.
func (q *Queue) RateLimited(after time.Duration, now time.Time) {
	q.store = q.nextBackoff(q.store, after, now)
}

// Failed records that a transfer could not be started for another reason. Only this transfer is delayed.
func (q *Queue) Failed(load Load, now time.Time) {
	q.failed[load] = q.nextBackoff(q.failed[load], 0, now)
}

// IsRunning reports whether the store has accepted a transfer that is still requested.
func (q *Queue) IsRunning(load Load) bool {
	_, started := q.running[load]
	return started
}

// Waiting returns the requested transfers that have not started, the most urgent first.
func (q *Queue) Waiting() []Load {
	var loads []Load
	for _, n := range q.waiting {
		if _, started := q.running[n.Load]; !started {
			loads = append(loads, n.Load)
		}
	}
	return loads
}

func (q *Queue) nextBackoff(r backoff, after time.Duration, now time.Time) backoff {
	delay := q.config.MaxBackoff
	if r.count < 16 {
		delay = min(q.config.MinBackoff<<r.count, q.config.MaxBackoff)
	}
	return backoff{count: r.count + 1, until: now.Add(max(delay, after))}
}

// compareUrgency orders by the number of missing instances, then by the earliest deadline.
func compareUrgency(a, b Need) int {
	return cmp.Or(
		cmp.Compare(b.Missing, a.Missing),
		compareDeadlines(a.Deadline, b.Deadline),
		cmp.Compare(a.Load.service, b.Load.service),
		cmp.Compare(a.Load.instance, b.Load.instance),
	)
}

func compareDeadlines(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	default:
		return a.Compare(b)
	}
}
