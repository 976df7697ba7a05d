// Package retrier decides whether a call that failed at one endpoint may be retried
// at another, and otherwise whether the call may have run.
package retrier

import (
	"slices"
	"sync"
	"time"
)

// Failure is how an attempt failed.
type Failure int

// The failures of an attempt.
const (
	// Unsent means that no byte was sent to an endpoint.
	Unsent Failure = iota
	// NotRun means that the endpoint stated that it did not run the call.
	NotRun
	// Lost means that at least one byte was sent and no complete answer arrived.
	Lost
)

// RunStatus tells whether an abandoned call may have run.
type RunStatus int

// The values of RunStatus.
const (
	// NeverRun calls did not run and will not run.
	NeverRun RunStatus = iota
	// Unknown calls may have run.
	Unknown
)

// Reason is the reason why a call is abandoned.
type Reason string

// The reasons.
const (
	// TooMany means that the maximum number of attempts is reached.
	TooMany Reason = "attempts"
	// TooLate means that another attempt would miss the deadline.
	TooLate Reason = "deadline"
	// NoBudget means that the retry budget is exhausted.
	NoBudget Reason = "budget"
	// NotRepeatable means that the call may have run and must not run twice.
	NotRepeatable Reason = "once"
)

// MaxAttempts is the maximum number of attempts of one call.
const MaxAttempts = 4

// Budget bounds the retries of a service to a fraction of its successful calls plus a
// reserve. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	ratio   float64
	reserve float64
	tokens  float64
}

// DefaultRatio is the number of retries allowed per successful call.
const DefaultRatio = 0.1

// DefaultReserve is the number of retries allowed beyond that ratio. It covers the
// streams of an entry that are aborted at once when a failure domain is lost.
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

// Available returns the number of retries that are allowed now.
func (b *Budget) Available() float64 {
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

// Outcome is the decision after a failed attempt.
type Outcome struct {
	retry     bool
	runStatus RunStatus
	reason    Reason
}

// Retry reports whether the call may be retried.
func (o Outcome) Retry() bool { return o.retry }

// RunStatus returns whether the abandoned call may have run.
func (o Outcome) RunStatus() RunStatus { return o.runStatus }

// Reason returns why the call is abandoned.
func (o Outcome) Reason() Reason { return o.reason }

// Retrier tracks the attempts of one call. It is not safe for concurrent use.
type Retrier struct {
	budget     *Budget
	repeatable bool
	deadline   time.Time
	attempts   int
	mayHaveRun bool
	tried      []string
	avoid      string
}

// New returns the retrier of a call. A zero deadline means none.
func New(budget *Budget, repeatable bool, deadline time.Time) *Retrier {
	return &Retrier{budget: budget, repeatable: repeatable, deadline: deadline}
}

// Tried returns the IDs of the endpoints that failed.
func (r *Retrier) Tried() []string { return r.tried }

// AvoidDomain returns the failure domain of the last endpoint that failed, or "".
func (r *Retrier) AvoidDomain() string { return r.avoid }

// Attempts returns the number of attempts that failed.
func (r *Retrier) Attempts() int { return r.attempts }

// RunStatus returns whether the call may have run if it is abandoned now.
func (r *Retrier) RunStatus() RunStatus {
	if r.mayHaveRun {
		return Unknown
	}
	return NeverRun
}

// Fail records that an attempt at an endpoint in a failure domain failed, and decides
// whether the call may be retried. expected is the predicted duration of another
// attempt. An attempt that sent no byte does not cost budget, since it put no load on
// an endpoint.
func (r *Retrier) Fail(now time.Time, endpoint, domain string, failure Failure, expected time.Duration) Outcome {
	r.attempts++
	if !slices.Contains(r.tried, endpoint) {
		r.tried = append(r.tried, endpoint)
	}
	r.avoid = domain
	r.mayHaveRun = r.mayHaveRun || failure == Lost
	switch {
	case r.mayHaveRun && !r.repeatable:
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

// GiveUp decides whether a call may leave an endpoint that has not failed, but may not
// answer. If so, it records the attempt as Lost like Fail; otherwise it records nothing,
// since the endpoint may still answer.
func (r *Retrier) GiveUp(now time.Time, endpoint, domain string, expected time.Duration) bool {
	if !r.repeatable || r.attempts+1 >= MaxAttempts || !r.deadline.IsZero() && now.Add(expected).After(r.deadline) || !r.budget.take() {
		return false
	}
	r.attempts++
	if !slices.Contains(r.tried, endpoint) {
		r.tried = append(r.tried, endpoint)
	}
	r.avoid, r.mayHaveRun = domain, true
	return true
}

func (r *Retrier) stop(reason Reason) Outcome {
	return Outcome{runStatus: r.RunStatus(), reason: reason}
}

// Budget returns the budget that is charged for retries.
func (r *Retrier) Budget() *Budget { return r.budget }

// ClearTried allows endpoints that failed to be tried again. It is used when no other
// endpoint is available.
func (r *Retrier) ClearTried() { r.tried, r.avoid = nil, "" }

// ResetAttempts resets the number of attempts, for a stream that made progress.
// Retries are still charged to the budget.
func (r *Retrier) ResetAttempts() { r.attempts = 0 }
