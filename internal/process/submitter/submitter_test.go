package submitter_test

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/accountant"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/process/submitter"
)

// waitTimeout bounds every wait for a condition and is reached only on a fault.
const waitTimeout = 60 * time.Second

const window = time.Second

// leader is a single keeper with its own log and lease.
type leader struct {
	t       *testing.T
	state   *applier.Applier
	keeper  *keeper.Keeper
	core    *coordinator.Coordinator
	sub     *submitter.Submitter
	started time.Time

	mu          sync.Mutex
	failures    int // calls to the provider still to fail without an answer
	usage       []map[string]int
	windows     []int64
	orders      []submitter.SizeOrder
	firstCallAt time.Time // time of the first call to the provider
}

var errUnreached = errors.New("unreached")

func newLeader(t *testing.T, failures int, table *registrar.Table, lease time.Duration) *leader {
	t.Helper()
	l := &leader{t: t, state: applier.New(), failures: failures}
	self := keeper.Peer{Name: "a"}
	var err error
	l.keeper, err = keeper.New(keeper.Config{
		Journal: "main", Name: "a", Folder: t.TempDir(), Peers: []keeper.Peer{self}, Clock: clock.System{}, Log: log.New(io.Discard),
		Call:     func(context.Context, netip.AddrPort, string, any, any) error { return errUnreached },
		Register: func(string, any) error { return nil }, Applier: l.state, ElectionTimeout: 500 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
	})
	require.NoError(t, err)
	l.core = coordinator.New(coordinator.Config{
		Clock: clock.System{}, Log: log.New(io.Discard), Lease: l.keeper.CaughtUpLease, Window: window, AllowanceLifetime: time.Second,
	})
	l.sub = submitter.New(submitter.Config{
		Name: "a", Clock: clock.System{}, Log: log.New(io.Discard), Do: l.core.Do, Propose: l.keeper.Propose, Intent: l.state.Intent,
		Table: func() *registrar.Table { return table }, List: l.list, SendUsage: l.receiveUsage, SendSize: l.receiveSize,
		Lease: lease, Window: window, DueAfter: time.Hour, HasUsage: true, HasSize: true, IsCounted: func(coordinator.Endpoint) bool { return true },
		Evacuated: l.evacuated,
	})
	l.started = time.Now()
	require.NoError(t, l.keeper.Start())
	l.sub.Start()
	t.Cleanup(func() {
		l.sub.Stop()
		_ = l.keeper.Stop(context.Background())
	})
	return l
}

func (l *leader) evacuated() []string {
	var out []string
	for _, e := range l.state.Evacuations() {
		if e.Evacuated {
			out = append(out, e.Domain)
		}
	}
	return out
}

func (l *leader) list(context.Context) ([]coordinator.Endpoint, error) {
	return []coordinator.Endpoint{{ID: "e1", Service: "desk", Domain: "one"}}, nil
}

func (l *leader) answer() submitter.Outcome {
	if l.firstCallAt.IsZero() {
		l.firstCallAt = time.Now()
	}
	if l.failures > 0 {
		l.failures--
		return submitter.Outcome{Kind: submitter.Failed}
	}
	return submitter.Outcome{}
}

func (l *leader) receiveUsage(_ context.Context, h submitter.Holder, w int64, counts map[string]int) submitter.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Positive(l.t, h.Fence)
	l.usage = append(l.usage, counts)
	l.windows = append(l.windows, w)
	return l.answer()
}

func (l *leader) receiveSize(_ context.Context, h submitter.Holder, s submitter.SizeOrder) submitter.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Positive(l.t, h.Fence)
	l.orders = append(l.orders, s)
	return l.answer()
}

// endedWindow returns a window that ended some time ago and for which the leader is
// responsible.
func (l *leader) endedWindow() int64 {
	var w int64
	require.Eventually(l.t, func() bool {
		return l.core.Do(func(_ *coordinator.Core, _ keeper.Lease, now time.Time) { w = accountant.Window(now, window) - 4 })
	}, waitTimeout, time.Millisecond)
	return w
}

// addCounts adds a node's counts of a window to the leader's ledger.
func (l *leader) addCounts(w int64, n int) {
	require.Eventually(l.t, func() bool {
		return l.core.Do(func(core *coordinator.Core, _ keeper.Lease, _ time.Time) {
			core.Ledger().Add("n", 1, []accountant.Counts{{Window: w, Calls: map[string]int{"masons": n}}})
		})
	}, waitTimeout, time.Millisecond)
}

// A usage report without an answer is sent again with the same counts, whatever is counted in
// the meantime.
func TestUsageIsRepeatedUnchanged(t *testing.T) {
	l := newLeader(t, 2, nil, 300*time.Millisecond)
	ended := l.endedWindow()
	l.addCounts(ended, 7)
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.usage) >= 1
	}, waitTimeout, time.Millisecond)
	l.addCounts(ended, 9)
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.usage) >= 3
	}, waitTimeout, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, counts := range l.usage[:3] {
		require.Equal(t, map[string]int{"masons": 7}, counts)
	}
	require.Equal(t, []int64{ended, ended, ended}, l.windows[:3])
}

// A new leader does not know all counts yet, and usage that it reports cannot be corrected.
func TestNewLeaderWaitsForCounts(t *testing.T) {
	l := newLeader(t, 0, nil, 300*time.Millisecond)
	ended := l.endedWindow()
	startedAt := time.Now()
	l.addCounts(ended, 7)
	time.Sleep(600 * time.Millisecond) // several checks for due windows
	require.Eventually(t, func() bool {
		return l.core.Do(func(core *coordinator.Core, _ keeper.Lease, _ time.Time) {
			core.Ledger().Add("m", 1, []accountant.Counts{{Window: ended, Calls: map[string]int{"masons": 5}}})
		})
	}, waitTimeout, time.Millisecond)
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.usage) >= 1
	}, waitTimeout, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Equal(t, map[string]int{"masons": 12}, l.usage[0], "after %s", time.Since(startedAt))
}

// A newly started process may have acted just before its restart, so it waits for the time
// within which holders must not alternate.
func TestNewProcessWaitsBeforeItActs(t *testing.T) {
	table := registrar.NewTable(&registrar.Ruleset{Number: 1, Services: []registrar.Service{{Name: "desk", Capacity: &registrar.Capacity{
		Min: 1, Max: 4, StartupTime: time.Second, ReclaimablePriceRatio: 0.2, Prices: map[string]float64{"one": 1, "two": 1},
	}}}})
	// Longer than an election, which would hide that the process does not wait.
	const lease = 3 * time.Second
	l := newLeader(t, 0, table, lease)
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.orders) > 0
	}, waitTimeout, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	require.GreaterOrEqual(t, l.firstCallAt.Sub(l.started), lease)
}
