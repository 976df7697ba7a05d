package reporter_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/reporter"
)

// patience bounds every wait for a condition; only a fault can reach it.
const patience = 60 * time.Second

var errSilent = errors.New("no answer")

// ask is one report as a keeper saw it.
type ask struct {
	to   netip.AddrPort
	wait time.Duration
}

// keepers answer reports: one of them may lead, others know or don't know it.
type keepers struct {
	mu      sync.Mutex
	all     []netip.AddrPort
	leader  netip.AddrPort // invalid: nobody leads
	telling bool           // the others name the leader
	silent  map[netip.AddrPort]bool
	newest  bool // the node has the newest ruleset
	asked   []ask
}

func newKeepers(n int) *keepers {
	k := &keepers{silent: make(map[netip.AddrPort]bool), newest: true}
	for i := range n {
		k.all = append(k.all, netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)))
	}
	return k
}

// call answers at once; a silent keeper's time is noted, not waited for.
func (k *keepers) call(ctx context.Context, to netip.AddrPort, _ string, _, reply any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	until, _ := ctx.Deadline()
	k.asked = append(k.asked, ask{to, time.Until(until)})
	if k.silent[to] {
		return errSilent
	}
	d := reply.(*coordinator.Directive)
	*d = coordinator.Directive{Leads: to == k.leader, Keepers: k.all, Pause: 20 * time.Millisecond}
	if k.telling || d.Leads {
		d.Leader = k.leader
	}
	return nil
}

func (k *keepers) set(change func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change()
}

func (k *keepers) asks() []ask {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]ask(nil), k.asked...)
}

func (k *keepers) start(t *testing.T) *reporter.Reporter {
	t.Helper()
	r := reporter.New(reporter.Config{
		Clock: clock.System{}, Log: log.New(io.Discard), Call: k.call, Seeds: k.all[:min(2, len(k.all))],
		Fill: func(*coordinator.Report) {},
		Take: func(*coordinator.Directive, time.Time) bool {
			k.mu.Lock()
			defer k.mu.Unlock()
			return k.newest
		},
	})
	r.Start()
	t.Cleanup(r.Stop)
	return r
}

func TestLeaderIsFound(t *testing.T) {
	for name, telling := range map[string]bool{"named by others": true, "asked one after the other": false} {
		t.Run(name, func(t *testing.T) {
			k := newKeepers(5)
			k.leader, k.telling = k.all[4], telling // not a seed
			r := k.start(t)
			require.Eventually(t, func() bool { return !r.Confirmed().IsZero() }, patience, time.Millisecond)
			// The leader is lost and another one leads.
			before := r.Confirmed()
			k.set(func() { k.silent[k.all[4]], k.leader = true, k.all[2] })
			require.Eventually(t, func() bool {
				asks := k.asks()
				return r.Confirmed().After(before) && asks[len(asks)-1].to == k.all[2]
			}, patience, time.Millisecond)
		})
	}
}

// Only an answer of the leader after which the newest rules are in force confirms
// them, as of when the report was sent.
func TestConfirmation(t *testing.T) {
	k := newKeepers(3)
	k.telling, k.newest = true, false
	r := k.start(t)
	require.Eventually(t, func() bool { return len(k.asks()) > 3 }, patience, time.Millisecond)
	require.Zero(t, r.Confirmed(), "nobody leads")
	k.set(func() { k.leader = k.all[1] })
	require.Eventually(t, func() bool { asks := k.asks(); return asks[len(asks)-1].to == k.all[1] }, patience, time.Millisecond)
	require.Zero(t, r.Confirmed(), "the node lacks the newest rules")
	k.set(func() { k.newest = true })
	require.Eventually(t, func() bool { return !r.Confirmed().IsZero() }, patience, time.Millisecond)
	require.False(t, r.Confirmed().After(time.Now()))
}

// While no leader is known, a keeper without power holds the search up for a short
// time only; if none answers, each gets more time, since all may be slow.
func TestSearchDoesNotWaitForSilentKeepers(t *testing.T) {
	k := newKeepers(2)
	k.silent[k.all[0]], k.silent[k.all[1]] = true, true
	k.start(t)
	require.Eventually(t, func() bool { return len(k.asks()) >= 9 }, patience, time.Millisecond)
	asks := k.asks()
	for _, a := range asks[:2] {
		require.LessOrEqual(t, a.wait, 150*time.Millisecond)
	}
	most := slices.MaxFunc(asks, func(a, b ask) int { return cmp.Compare(a.wait, b.wait) })
	require.Greater(t, most.wait, 150*time.Millisecond)
}

func TestHurryShortensThePause(t *testing.T) {
	k := newKeepers(1)
	k.leader = k.all[0]
	r := k.start(t)
	require.Eventually(t, func() bool { return !r.Confirmed().IsZero() }, patience, time.Millisecond)
	before := r.Confirmed()
	<-r.Hurry()
	require.True(t, r.Confirmed().After(before))
}
