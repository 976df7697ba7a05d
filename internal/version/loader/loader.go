// Package loader decides in which order instances load model weights from the
// rate-limited weight store.
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

// Need is a wanted transfer with its urgency.
type Need struct {
	Load Load
	// Missing is the number of instances by which the version falls short of
	// what must serve now.
	Missing int
	// Deadline is when the version has to be in place; zero if there is none.
	Deadline time.Time
}

// Config holds the pace of transfers.
type Config struct {
	// Parallel is the number of transfers that run at once.
	Parallel int
	// Least and Most bound the back-off after a refusal or a failure.
	Least, Most time.Duration
	// Timeout is when a started transfer is asked for again.
	Timeout time.Duration
}

// DefaultConfig returns the pace that the product uses.
func DefaultConfig() Config {
	return Config{Parallel: 4, Least: time.Second, Most: time.Minute, Timeout: 5 * time.Minute}
}

// Queue holds the wanted transfers. It is level-triggered: Reconcile names all
// that is wanted, so a new leader needs no memory of the old one. It is not
// safe for concurrent use.
type Queue struct {
	config  Config
	waiting []Need
	running map[Load]time.Time // to the time of its timeout
	failed  map[Load]retry
	store   retry
}

type retry struct {
	count int
	until time.Time
}

// NewQueue returns an empty queue.
func NewQueue(config Config) *Queue {
	return &Queue{config: config, running: make(map[Load]time.Time), failed: make(map[Load]retry)}
}

// Reconcile replaces the wanted transfers. Those that are wanted no more count
// as done.
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
	slices.SortStableFunc(q.waiting, moreNeeded)
}

// Next returns the most needed transfer that may start now. The caller asks the
// store and then reports Started, Busy or Failed.
func (q *Queue) Next(now time.Time) (Load, bool) {
	if len(q.running) >= q.config.Parallel || now.Before(q.store.until) {
		return Load{}, false
	}
	for _, n := range q.waiting {
		_, runs := q.running[n.Load]
		if !runs && !now.Before(q.failed[n.Load].until) {
			return n.Load, true
		}
	}
	return Load{}, false
}

// Started notes that the store has accepted a transfer.
func (q *Queue) Started(load Load, now time.Time) {
	q.running[load] = now.Add(q.config.Timeout)
	q.store = retry{}
	delete(q.failed, load)
}

// Busy notes that the store is rate-limited. After is what the store asked to
// wait, or 0.
func (q *Queue) Busy(after time.Duration, now time.Time) {
	q.store = q.again(q.store, after, now)
}

// Failed notes that a transfer could not be started for another reason. Only
// this transfer waits.
func (q *Queue) Failed(load Load, now time.Time) {
	q.failed[load] = q.again(q.failed[load], 0, now)
}

// IsRunning reports whether the store has accepted a transfer that is still
// wanted.
func (q *Queue) IsRunning(load Load) bool {
	_, runs := q.running[load]
	return runs
}

// Waiting returns the wanted transfers that have not started, the most needed
// first.
func (q *Queue) Waiting() []Load {
	var loads []Load
	for _, n := range q.waiting {
		if _, runs := q.running[n.Load]; !runs {
			loads = append(loads, n.Load)
		}
	}
	return loads
}

func (q *Queue) again(r retry, after time.Duration, now time.Time) retry {
	wait := q.config.Most
	if r.count < 16 {
		wait = min(q.config.Least<<r.count, q.config.Most)
	}
	return retry{count: r.count + 1, until: now.Add(max(wait, after))}
}

// moreNeeded orders by what serves least, then by the nearest deadline.
func moreNeeded(a, b Need) int {
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
