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

// patience bounds every wait for a condition; only a fault can reach it.
const patience = 60 * time.Second

const window = time.Second

// leader is one keeper with a log and a lease of its own.
type leader struct {
	t       *testing.T
	state   *applier.Applier
	keeper  *keeper.Keeper
	core    *coordinator.Coordinator
	duties  *submitter.Submitter
	started time.Time

	mu      sync.Mutex
	fails   int // calls to the provider that get no answer
	usage   []map[string]int
	windows []int64
	orders  []submitter.Size
	acted   time.Time // first call to the provider
}

var errUnreached = errors.New("unreached")

func newLeader(t *testing.T, fails int, table *registrar.Table, lease time.Duration) *leader {
	t.Helper()
	l := &leader{t: t, state: applier.New(), fails: fails}
	self := keeper.Peer{Name: "a"}
	var err error
	l.keeper, err = keeper.New(keeper.Config{
		Journal: "main", Name: "a", Folder: t.TempDir(), Peers: []keeper.Peer{self}, Clock: clock.System{}, Log: log.New(io.Discard),
		Call:     func(context.Context, netip.AddrPort, string, any, any) error { return errUnreached },
		Register: func(string, any) error { return nil }, Applier: l.state, Election: 500 * time.Millisecond, Heartbeat: 100 * time.Millisecond,
	})
	require.NoError(t, err)
	l.core = coordinator.New(coordinator.Config{
		Clock: clock.System{}, Log: log.New(io.Discard), Lease: l.keeper.Settled, Window: window, Share: time.Second,
	})
	l.duties = submitter.New(submitter.Config{
		Name: "a", Clock: clock.System{}, Log: log.New(io.Discard), Do: l.core.Do, Propose: l.keeper.Propose, Intent: l.state.Intent,
		Table: func() *registrar.Table { return table }, List: l.list, SendUsage: l.takeUsage, SendSize: l.takeSize,
		Lease: lease, Window: window, Late: time.Hour, HasUsage: true, HasSize: true, IsCounted: func(coordinator.Endpoint) bool { return true },
	})
	l.started = time.Now()
	require.NoError(t, l.keeper.Start())
	l.duties.Start()
	t.Cleanup(func() {
		l.duties.Stop()
		_ = l.keeper.Stop(context.Background())
	})
	return l
}

func (l *leader) list(context.Context) ([]coordinator.Endpoint, error) {
	return []coordinator.Endpoint{{ID: "e1", Service: "desk", Domain: "one"}}, nil
}

func (l *leader) answer() submitter.Outcome {
	if l.acted.IsZero() {
		l.acted = time.Now()
	}
	if l.fails > 0 {
		l.fails--
		return submitter.Outcome{Kind: submitter.Failed}
	}
	return submitter.Outcome{}
}

func (l *leader) takeUsage(_ context.Context, h submitter.Holder, w int64, counts map[string]int) submitter.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Positive(l.t, h.Fence)
	l.usage = append(l.usage, counts)
	l.windows = append(l.windows, w)
	return l.answer()
}

func (l *leader) takeSize(_ context.Context, h submitter.Holder, s submitter.Size) submitter.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Positive(l.t, h.Fence)
	l.orders = append(l.orders, s)
	return l.answer()
}

// ended returns a window that ended a while ago and that the leader looks after.
func (l *leader) ended() int64 {
	var w int64
	require.Eventually(l.t, func() bool {
		return l.core.Do(func(_ *coordinator.Core, _ keeper.Lease, now time.Time) { w = accountant.Window(now, window) - 4 })
	}, patience, time.Millisecond)
	return w
}

// report gives the leader counts of a window.
func (l *leader) report(w int64, n int) {
	require.Eventually(l.t, func() bool {
		return l.core.Do(func(core *coordinator.Core, _ keeper.Lease, _ time.Time) {
			core.Ledger().Add("n", 1, []accountant.Counts{{Window: w, Calls: map[string]int{"masons": n}}})
		})
	}, patience, time.Millisecond)
}

// A report without an answer is sent again with the same counts, whatever is
// counted meanwhile.
func TestUsageIsRepeatedUnchanged(t *testing.T) {
	l := newLeader(t, 2, nil, 300*time.Millisecond)
	ended := l.ended()
	l.report(ended, 7)
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.usage) >= 1
	}, patience, time.Millisecond)
	l.report(ended, 9)
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.usage) >= 3
	}, patience, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, counts := range l.usage[:3] {
		require.Equal(t, map[string]int{"masons": 7}, counts)
	}
	require.Equal(t, []int64{ended, ended, ended}, l.windows[:3])
}

// A leader that has just begun does not know all counts yet, and what it reports
// can't be corrected.
func TestNewLeaderWaitsForCounts(t *testing.T) {
	l := newLeader(t, 0, nil, 300*time.Millisecond)
	ended := l.ended()
	began := time.Now()
	l.report(ended, 7)
	time.Sleep(600 * time.Millisecond) // some looks at what is due
	require.Eventually(t, func() bool {
		return l.core.Do(func(core *coordinator.Core, _ keeper.Lease, _ time.Time) {
			core.Ledger().Add("m", 1, []accountant.Counts{{Window: ended, Calls: map[string]int{"masons": 5}}})
		})
	}, patience, time.Millisecond)
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.usage) >= 1
	}, patience, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Equal(t, map[string]int{"masons": 12}, l.usage[0], "after %s", time.Since(began))
}

// A process that was just started may have acted in its last life, so it waits for
// as long as holders must not alternate.
func TestFreshProcessWaitsBeforeItActs(t *testing.T) {
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
	}, patience, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	require.GreaterOrEqual(t, l.acted.Sub(l.started), lease)
}
