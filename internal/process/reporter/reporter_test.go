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

// waitTimeout bounds every wait for a condition and is reached only on a fault.
const waitTimeout = 60 * time.Second

var errUnresponsive = errors.New("no answer")

// request is one report as a keeper received it.
type request struct {
	to      netip.AddrPort
	timeout time.Duration
	loads   []coordinator.Load
}

// keepers simulates keepers that answer reports: one of them may be the leader, and the others
// may name it.
type keepers struct {
	mu           sync.Mutex
	all          []netip.AddrPort
	leader       netip.AddrPort // invalid: there is no leader
	namesLeader  bool           // the others name the leader
	unresponsive map[netip.AddrPort]bool
	newest       bool                             // the node has the newest ruleset
	ages         map[netip.AddrPort]time.Duration // of what relays know
	requests     []request
	loads        []coordinator.Load // that the node reports
	fields       int                // of a load that the keepers read
}

func newKeepers(n int) *keepers {
	k := &keepers{unresponsive: make(map[netip.AddrPort]bool), ages: make(map[netip.AddrPort]time.Duration), newest: true}
	for i := range n {
		k.all = append(k.all, netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)))
	}
	return k
}

// call answers at once; the timeout for an unresponsive keeper is recorded, not waited for.
func (k *keepers) call(ctx context.Context, to netip.AddrPort, _ string, args, reply any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	until, _ := ctx.Deadline()
	k.requests = append(k.requests, request{to, time.Until(until), args.(*coordinator.Report).Loads})
	if k.unresponsive[to] {
		return errUnresponsive
	}
	d := reply.(*coordinator.Directive)
	*d = coordinator.Directive{Leads: to == k.leader, Keepers: k.all, ReportInterval: 20 * time.Millisecond, RulesetNumber: 7, LoadFields: k.fields}
	if k.namesLeader || d.Leads {
		d.Leader = k.leader
	}
	return nil
}

func (k *keepers) set(change func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change()
}

func (k *keepers) sent() []request {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]request(nil), k.requests...)
}

func (k *keepers) start(t *testing.T) *reporter.Reporter {
	t.Helper()
	r := reporter.New(reporter.Config{
		Clock: clock.System{}, Log: log.New(io.Discard), Call: k.call, Seeds: k.all[:min(2, len(k.all))],
		Fill: func(r *coordinator.Report) { r.Loads = slices.Clone(k.loads) },
		Apply: func(*coordinator.Directive, time.Time) bool {
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
	for name, namesLeader := range map[string]bool{"leader is named by other keepers": true, "keepers are tried in turn": false} {
		t.Run(name, func(t *testing.T) {
			k := newKeepers(5)
			k.leader, k.namesLeader = k.all[4], namesLeader // not a seed
			r := k.start(t)
			require.Eventually(t, func() bool { return !r.Confirmed().IsZero() }, waitTimeout, time.Millisecond)
			// The leader fails and another one takes over.
			before := r.Confirmed()
			k.set(func() { k.unresponsive[k.all[4]], k.leader = true, k.all[2] })
			require.Eventually(t, func() bool {
				requests := k.sent()
				return r.Confirmed().After(before) && requests[len(requests)-1].to == k.all[2]
			}, waitTimeout, time.Millisecond)
		})
	}
}

// Only an answer of the leader after which the newest rules are in force confirms them, as of
// the time when the report was sent.
func TestConfirmation(t *testing.T) {
	k := newKeepers(3)
	k.namesLeader, k.newest = true, false
	r := k.start(t)
	require.Eventually(t, func() bool { return len(k.sent()) > 3 }, waitTimeout, time.Millisecond)
	require.Zero(t, r.Confirmed(), "there is no leader")
	k.set(func() { k.leader = k.all[1] })
	require.Eventually(t, func() bool { requests := k.sent(); return requests[len(requests)-1].to == k.all[1] }, waitTimeout, time.Millisecond)
	require.Zero(t, r.Confirmed(), "the node lacks the newest rules")
	k.set(func() { k.newest = true })
	require.Eventually(t, func() bool { return !r.Confirmed().IsZero() }, waitTimeout, time.Millisecond)
	require.False(t, r.Confirmed().After(time.Now()))
}

// While no leader is known, an unresponsive keeper delays the search only briefly; if none
// answers, each gets a longer timeout, since all may be slow.
// A ruleset that is put in force after the answer that named it is confirmed by that answer, unless a later one was
// named.
func TestRulesetIsConfirmedWhenItIsApplied(t *testing.T) {
	k := newKeepers(1)
	k.leader, k.newest = k.all[0], false
	r := k.start(t)
	require.Eventually(t, func() bool { return len(k.sent()) > 2 }, waitTimeout, time.Millisecond)
	r.RulesetApplied(6)
	require.Zero(t, r.Confirmed(), "an older ruleset than the one that was named")
	answered := r.Answered()
	before := time.Now()
	r.RulesetApplied(7)
	<-answered
	require.NotZero(t, r.Confirmed())
	require.True(t, r.Confirmed().Before(before))
}

func TestSearchDoesNotWaitForUnresponsiveKeepers(t *testing.T) {
	k := newKeepers(2)
	k.unresponsive[k.all[0]], k.unresponsive[k.all[1]] = true, true
	k.start(t)
	require.Eventually(t, func() bool { return len(k.sent()) >= 9 }, waitTimeout, time.Millisecond)
	requests := k.sent()
	for _, a := range requests[:2] {
		require.LessOrEqual(t, a.timeout, 150*time.Millisecond)
	}
	longest := slices.MaxFunc(requests, func(a, b request) int { return cmp.Compare(a.timeout, b.timeout) })
	require.Greater(t, longest.timeout, 150*time.Millisecond)
}

func TestReportNowShortensTheInterval(t *testing.T) {
	k := newKeepers(1)
	k.leader = k.all[0]
	r := k.start(t)
	require.Eventually(t, func() bool { return !r.Confirmed().IsZero() }, waitTimeout, time.Millisecond)
	before := r.Confirmed()
	<-r.ReportNow()
	require.True(t, r.Confirmed().After(before))
}

// relays makes all keepers but the leader relays, in three failure domains.
func (k *keepers) relays() []coordinator.RelayAddress {
	var out []coordinator.RelayAddress
	for i, address := range k.all {
		out = append(out, coordinator.RelayAddress{Address: address, Domain: fmt.Sprint("d", i%3)})
	}
	return out
}

// startRelayed starts a reporter of a node in the domain d1 that is sent to relays.
func (k *keepers) startRelayed(t *testing.T, node string) *reporter.Reporter {
	t.Helper()
	r := reporter.New(reporter.Config{
		Clock: clock.System{}, Log: log.New(io.Discard), Call: k.callRelayed, Seeds: k.all[:2], Node: node, Domain: "d1",
		Fill: func(*coordinator.Report) {}, Apply: func(*coordinator.Directive, time.Time) bool { return true },
	})
	r.Start()
	t.Cleanup(r.Stop)
	return r
}

// callRelayed answers as call does, and as a relay that is up to date, or as one that has lost
// the leader.
func (k *keepers) callRelayed(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	if err := k.call(ctx, to, method, args, reply); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	d := reply.(*coordinator.Directive)
	d.Relays, d.ReportInterval = k.relays(), 5*time.Millisecond
	if args.(*coordinator.Report).IsRedirected {
		d.Leads, d.Granter, d.Age = true, 1, k.ages[to]
	}
	return nil
}

func (k *keepers) lastTo() netip.AddrPort {
	requests := k.sent()
	return requests[len(requests)-1].to
}

// A node reports to a relay of its own failure domain, to another one when that does not
// answer or has long lost the leader, and to the leader if there is none.
func TestRelayIsChosen(t *testing.T) {
	cases := map[string]func(k *keepers, relay netip.AddrPort){
		"does not answer":     func(k *keepers, relay netip.AddrPort) { k.unresponsive[relay] = true },
		"has lost the leader": func(k *keepers, relay netip.AddrPort) { k.ages[relay] = 2 * time.Second },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			k := newKeepers(7)
			k.leader, k.namesLeader = k.all[0], true
			k.startRelayed(t, "n")
			isOwn := func() bool { return k.lastTo() == k.all[1] || k.lastTo() == k.all[4] }
			require.Eventually(t, func() bool { return len(k.sent()) > 4 && isOwn() }, waitTimeout, time.Millisecond)
			first := k.lastTo()
			k.set(func() { fail(k, first) })
			require.Eventually(t, func() bool { return isOwn() && k.lastTo() != first }, waitTimeout, time.Millisecond)
			second := k.lastTo()
			k.set(func() { fail(k, second) })
			require.Eventually(t, func() bool { return !isOwn() }, waitTimeout, time.Millisecond)
			require.NotEqual(t, k.leader, k.lastTo())
			k.set(func() {
				for _, address := range k.all[1:] {
					fail(k, address)
				}
			})
			require.Eventually(t, func() bool { return k.lastTo() == k.leader }, waitTimeout, time.Millisecond)
		})
	}
}

// Nodes spread over the relays of their domain.
func TestNodesSpreadOverRelays(t *testing.T) {
	counts := make(map[netip.AddrPort]int)
	for i := range 40 {
		k := newKeepers(7)
		k.leader, k.namesLeader = k.all[0], true
		k.startRelayed(t, fmt.Sprint("node", i))
		require.Eventually(t, func() bool { return len(k.sent()) > 3 && k.lastTo() != k.leader }, waitTimeout, time.Millisecond)
		counts[k.lastTo()]++
	}
	require.Len(t, counts, 2)
	for _, n := range counts {
		require.Greater(t, n, 10)
	}
}

// The rules are confirmed as of when the relay reported to the leader.
func TestConfirmationThroughARelayIsAsOldAsTheRelays(t *testing.T) {
	k := newKeepers(3)
	k.leader, k.namesLeader = k.all[0], true
	k.set(func() { k.ages[k.all[1]], k.ages[k.all[2]] = 700*time.Millisecond, 700*time.Millisecond })
	r := k.startRelayed(t, "n")
	require.Eventually(t, func() bool { return len(k.sent()) > 20 && k.lastTo() != k.leader }, waitTimeout, time.Millisecond)
	from := len(k.sent())
	require.Eventually(t, func() bool { return len(k.sent()) > from+200 }, waitTimeout, time.Millisecond)
	require.Greater(t, time.Since(r.Confirmed()), 500*time.Millisecond)
}

// Guards against a report that a keeper of an earlier release can't read: until it has stated that
// it reads more, and after it did not answer, a keeper gets five fields of a load.
func TestFurtherFieldsAreSentToKeepersThatReadThem(t *testing.T) {
	k := newKeepers(1)
	k.leader, k.fields = k.all[0], coordinator.LoadFields
	k.loads = []coordinator.Load{{Position: 1, InFlight: 2, PrefillTokens: 900, PrefillTime: 30}, {Position: 2, PrefillTokens: 100, PrefillTime: 3}}
	short := []coordinator.Load{{Position: 1, InFlight: 2}}
	r := k.start(t)
	require.Eventually(t, func() bool { return len(k.sent()) > 2 }, waitTimeout, time.Millisecond)
	require.Equal(t, short, k.sent()[0].loads)
	require.Equal(t, k.loads, k.sent()[1].loads)
	k.set(func() { k.unresponsive[k.all[0]] = true })
	before := len(k.sent())
	require.Eventually(t, func() bool { return len(k.sent()) > before+2 }, waitTimeout, time.Millisecond)
	require.Equal(t, short, k.sent()[before+2].loads)
	k.set(func() { k.unresponsive[k.all[0]], k.fields = false, 0 })
	before = len(k.sent())
	require.Eventually(t, func() bool { return len(k.sent()) > before+2 }, waitTimeout, time.Millisecond)
	r.ReportNow()
	for _, sent := range k.sent()[before:] {
		require.Equal(t, short, sent.loads)
	}
}
