// Package retrier decides whether a call that failed on one endpoint may be tried on
// another, and what is true of it if not.
package retrier

import (
	"slices"
	"sync"
	"time"
)

// Failure is the way in which an attempt failed.
type Failure int

// The failures of an attempt.
const (
	// Unsent means that no byte reached an endpoint.
	Unsent Failure = iota
	// NotRun means that the endpoint said that it did not run the call.
	NotRun
	// Lost means that a byte was sent and the answer did not come whole.
	Lost
)

// Truth is what is known of a call that is given up.
type Truth int

// What may be known of a call.
const (
	// NeverRun calls did not run and will not.
	NeverRun Truth = iota
	// Unknown calls may have run.
	Unknown
)

// Reason says why a call is given up.
type Reason string

// The reasons.
const (
	// TooMany means that the attempts are used up.
	TooMany Reason = "attempts"
	// TooLate means that another attempt would miss the deadline.
	TooLate Reason = "deadline"
	// NoBudget means that too many calls are retried already.
	NoBudget Reason = "budget"
	// NotRepeatable means that the call may have run and must not run twice.
	NotRepeatable Reason = "once"
)

// MaxAttempts is the number of attempts of one call.
const MaxAttempts = 4

// Budget bounds the retries of a service: they are paid from a share of the calls that
// succeed, and from a reserve. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	reserve float64
	tokens  float64
}

// DefaultRatio is the share of the successes that may be retried.
const DefaultRatio = 0.1

// DefaultReserve is the number of retries beyond the share. It covers the streams of an
// entry that a lost failure domain cuts at once.
const DefaultReserve = 64

// NewBudget returns a full budget.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// Success records a call that was answered.
func (b *Budget) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.reserve)
}

// Left returns the retries that may be made now.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

func (b *Budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Outcome is what to do after an attempt failed.
type Outcome struct {
	retry  bool
	truth  Truth
	reason Reason
}

// Retry reports whether the call may be tried again.
func (o Outcome) Retry() bool { return o.retry }

// Truth returns what is known of a call that is given up.
func (o Outcome) Truth() Truth { return o.truth }

// Reason returns why the call is given up.
func (o Outcome) Reason() Reason { return o.reason }

// Retrier follows the attempts of one call. It is not safe for concurrent use.
type Retrier struct {
	budget     *Budget
	repeatable bool
	deadline   time.Time
	attempts   int
	lost       bool
	tried      []string
	avoid      string
}

// New returns the retrier of a call. A zero deadline means none.
func New(budget *Budget, repeatable bool, deadline time.Time) *Retrier {
	return &Retrier{budget: budget, repeatable: repeatable, deadline: deadline}
}

// Tried returns the endpoints that failed.
func (r *Retrier) Tried() []string { return r.tried }

// Avoid returns the failure domain of the last endpoint that failed, or "".
func (r *Retrier) Avoid() string { return r.avoid }

// Attempts returns the number of attempts that failed.
func (r *Retrier) Attempts() int { return r.attempts }

// Truth returns what is known of the call if it is given up now.
func (r *Retrier) Truth() Truth {
	if r.lost {
		return Unknown
	}
	return NeverRun
}

// Fail takes in that an attempt on an endpoint of a failure domain failed. expected is how
// long another attempt is predicted to take. A call of which no byte was sent costs
// no budget, since it put no load on an endpoint.
func (r *Retrier) Fail(now time.Time, endpoint, domain string, failure Failure, expected time.Duration) Outcome {
	r.attempts++
	if !slices.Contains(r.tried, endpoint) {
		r.tried = append(r.tried, endpoint)
	}
	r.avoid = domain
	r.lost = r.lost || failure == Lost
	switch {
	case r.lost && !r.repeatable:
		return r.stop(NotRepeatable)
	case r.attempts >= MaxAttempts:
		return r.stop(TooMany)
	case !r.deadline.IsZero() && now.Add(expected).After(r.deadline):
		return r.stop(TooLate)
	case failure != Unsent && !r.budget.take():
		return r.stop(NoBudget)
	}
	return Outcome{retry: true}
}

func (r *Retrier) stop(reason Reason) Outcome {
	return Outcome{truth: r.Truth(), reason: reason}
}

// Budget returns the budget that the retries are paid from.
func (r *Retrier) Budget() *Budget { return r.budget }

// Forgive lets endpoints that failed be tried again, when there is no other.
func (r *Retrier) Forgive() { r.tried, r.avoid = nil, "" }

// Renew starts the count of the attempts anew, for a stream that made progress. Each
// retry is still paid from the budget.
func (r *Retrier) Renew() { r.attempts = 0 }
