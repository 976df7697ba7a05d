package reserver

import (
	"context"
	"sync"
	"time"

	"hyssoprudder/internal/process/clock"
)

const (
	// sharedDenominator is the denominator of the fraction of a budget that is reserved: for
	// bodies that are nearly complete, and for groups of clients that hold less than that fraction.
	sharedDenominator = 8
	// nearlyComplete is the number of missing bytes from which on a body may use the reserve.
	nearlyComplete = 64 << 10
	// stallTime is how long a client must have made no progress before its request may be ended
	// in favor of others. A caller on a working link makes progress within milliseconds.
	stallTime = 100 * time.Millisecond
	// releaseTimeout is how long a charge waits for the memory of ended requests.
	releaseTimeout = 250 * time.Millisecond
	// progressStep is the number of bytes that count as progress, so that single bytes do not.
	progressStep = 4 << 10
)

// Reason is why a client was refused or its connection was closed.
type Reason string

// The reasons.
const (
	// NoMemory: a request was refused since the budget was used up.
	NoMemory Reason = "memory"
	// Stalled: a request that made no progress was ended, since others needed its memory.
	Stalled Reason = "stalled"
	// TooManyConnections: a new connection was closed since no older one could be.
	TooManyConnections Reason = "connections"
	// Displaced: a connection without a complete request, or an idle one, was closed for a new one.
	Displaced Reason = "displaced"
	// TooSlow: a body made less than the minimum progress.
	TooSlow Reason = "slow body"
	// NotRead: an answer was not read.
	NotRead Reason = "unread answer"
	// Pipelined: a connection was closed after many requests that did not wait for answers.
	Pipelined Reason = "pipelined"
	// TooManyFields: the head of a request had too many fields.
	TooManyFields Reason = "fields"
)

// Reasons lists all reasons.
var Reasons = []Reason{NoMemory, Stalled, TooManyConnections, Displaced, TooSlow, NotRead, Pipelined, TooManyFields}

// Budget bounds the memory that the clients of a process make it hold: heads and bodies of
// requests with what is built from them, and answers. It is charged by what has arrived. When it
// is used up, the requests that hold the most for the longest time without progress are ended in
// favor of others. It is safe for concurrent use.
type Budget struct {
	limit int64
	clock clock.Clock

	mu       sync.Mutex
	used     int64
	groups   map[string]int64 // bytes held by each group of clients
	accounts map[*Account]struct{}
	freed    chan struct{} // closed when memory is released; nil if nobody waits
	counts   map[Reason]uint64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64, c clock.Clock) *Budget {
	return &Budget{limit: limit, clock: c, groups: make(map[string]int64), accounts: make(map[*Account]struct{}), counts: make(map[Reason]uint64)}
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Count counts a client that was refused or closed.
func (b *Budget) Count(r Reason) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[r]++
}

// Counts returns how many clients were refused or closed for each reason.
func (b *Budget) Counts() map[Reason]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[Reason]uint64, len(b.counts))
	for r, n := range b.counts {
		out[r] = n
	}
	return out
}

// Stage is what a client's connection waits for.
type Stage int

// The stages of a connection.
const (
	// Serving: the process works on a request, or there is none.
	Serving Stage = iota
	// Receiving: the process waits for more bytes of a request.
	Receiving
	// Sending: the process waits until the client has read a part of an answer.
	Sending
)

// Account is the part of a budget that one connection uses. Its methods are safe for concurrent
// use; those of a nil account accept everything.
type Account struct {
	budget *Budget
	end    func(Stage)

	// The fields below are guarded by budget.mu.
	group      string
	held       int64
	stage      Stage
	missing    int64 // bytes that the current body lacks, -1 if that is not known
	stepped    int64 // bytes received since progressAt
	progressAt time.Time
	isEnded    bool
	isClosed   bool
}

// Open returns an account for a connection of a group of clients, such as an address. end is called to end
// the current request, which waits in the given stage. It must return at once and must not
// use the budget.
func (b *Budget) Open(group string, end func(Stage)) *Account {
	a := &Account{budget: b, end: end, group: group, progressAt: b.clock.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = struct{}{}
	return a
}

type contextKey struct{}

// NewContext returns a context that carries the account of the connection that a request came on.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// FromContext returns the account of the connection that a request came on, or nil.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}

// SetGroup moves the account to another group, such as that of an authenticated customer.
func (a *Account) SetGroup(group string) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	held := a.held
	b.add(a, -held)
	a.group = group
	b.add(a, held)
}

// Charge charges n bytes. It reports false if they are not available; n is not charged then.
func (a *Account) Charge(n int64) bool {
	if a == nil || n <= 0 {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	var timer clock.Timer
	for {
		if a.isEnded {
			return false
		}
		if b.used+n <= b.limitOf(a) {
			b.add(a, n)
			return true
		}
		if timer == nil {
			if !b.endStalled(a, b.used+n-b.limitOf(a)) {
				b.counts[NoMemory]++
				return false
			}
			timer = b.clock.NewTimer(releaseTimeout)
			defer timer.Stop()
		}
		if !b.awaitRelease(timer) {
			b.counts[NoMemory]++
			return false
		}
	}
}

// awaitRelease waits until memory is released. It reports false when the timer fires. The caller
// holds b.mu, which is released meanwhile.
func (b *Budget) awaitRelease(timer clock.Timer) bool {
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	freed := b.freed
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case <-freed:
		return true
	case <-timer.C():
		return false
	}
}

// limitOf returns up to which use of the budget an account may be charged.
func (b *Budget) limitOf(a *Account) int64 {
	reserve := b.limit / sharedDenominator
	isNearlyComplete := a.stage == Receiving && a.missing >= 0 && a.missing <= nearlyComplete
	if isNearlyComplete || b.groups[a.group] < reserve {
		return b.limit
	}
	return b.limit - reserve
}

// endStalled ends stalled requests that hold at least n bytes together, besides those that were ended
// before. It reports false, and ends none, if there are none that hold enough.
func (b *Budget) endStalled(a *Account, n int64) bool {
	var victims []*Account
	now := b.clock.Now()
	chosen := make(map[*Account]bool)
	for other := range b.accounts {
		if other.isEnded && other != a {
			n -= other.held
		}
	}
	for n > 0 {
		var worst *Account
		worstCost := 0.0
		for other := range b.accounts {
			if other == a || chosen[other] || other.held == 0 || !other.isStalled(now) {
				continue
			}
			if cost := float64(other.held) * float64(now.Sub(other.progressAt)); cost > worstCost {
				worst, worstCost = other, cost
			}
		}
		if worst == nil {
			return false
		}
		chosen[worst] = true
		victims = append(victims, worst)
		n -= worst.held
	}
	for _, v := range victims {
		b.endAccount(v, Stalled)
	}
	return true
}

func (a *Account) isStalled(now time.Time) bool {
	return !a.isEnded && a.stage != Serving && now.Sub(a.progressAt) >= stallTime
}

func (b *Budget) endAccount(a *Account, r Reason) {
	a.isEnded = true
	b.counts[r]++
	a.end(a.stage)
}

// Stall returns for how long the connection has waited for the client without progress, or 0.
func (a *Account) Stall() time.Duration {
	if a == nil {
		return 0
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.stage == Serving || a.isEnded {
		return 0
	}
	return b.clock.Now().Sub(a.progressAt)
}

// IsReceiving reports whether the process waits for more bytes of a request.
func (a *Account) IsReceiving() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.stage == Receiving
}

// EndStalled ends the current request if it is stalled, and reports whether it did.
func (a *Account) EndStalled(r Reason) bool {
	if a == nil {
		return false
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !a.isStalled(b.clock.Now()) {
		return false
	}
	b.endAccount(a, r)
	return true
}

// Count counts in the account's budget that a client was refused or closed.
func (a *Account) Count(r Reason) {
	if a != nil {
		a.budget.Count(r)
	}
}

// add changes what an account holds by n bytes. The caller holds b.mu.
func (b *Budget) add(a *Account, n int64) {
	b.used += n
	a.held += n
	if left := b.groups[a.group] + n; left > 0 {
		b.groups[a.group] = left
	} else {
		delete(b.groups, a.group)
	}
	if n < 0 && b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// Release returns n bytes.
func (a *Account) Release(n int64) {
	if a == nil || n <= 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.isClosed {
		a.budget.add(a, -min(n, a.held))
	}
}

// Shrink returns all but n bytes.
func (a *Account) Shrink(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.held > n {
		a.budget.add(a, n-a.held)
	}
}

// Close returns all bytes of a connection that is closed.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(a, -a.held)
	a.isEnded, a.isClosed = true, true
	delete(b.accounts, a)
}

// Enter records what the connection waits for now, and returns what it waited for before.
func (a *Account) Enter(s Stage) Stage {
	if a == nil {
		return Serving
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	before := a.stage
	a.stage, a.missing, a.stepped, a.progressAt = s, -1, 0, b.clock.Now()
	return before
}

// IsEnded reports whether the current request was ended in favor of others.
func (a *Account) IsEnded() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.isEnded
}

// Progress records that n bytes were received, and how many the current body lacks, -1 if that is
// not known.
func (a *Account) Progress(n int, missing int64) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.missing = missing
	if a.stepped += int64(n); a.stepped >= progressStep {
		a.stepped, a.progressAt = 0, b.clock.Now()
	}
}
