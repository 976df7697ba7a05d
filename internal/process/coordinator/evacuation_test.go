package coordinator_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/coordinator"
)

const evacuationBound = 5 * time.Second

// evacuationLog is a log of evacuations with a leader, a relay, and entries that report to either.
type evacuationLog struct {
	state   *applier.Applier
	index   uint64
	now     time.Time
	skew    time.Duration // of the leader's clock
	term    uint64
	leader  *coordinator.Core
	relay   *coordinator.GroupCore
	direct  coordinator.Evacuated // of an entry that always reports to the leader
	relayed coordinator.Evacuated // of one that reports to the leader or to the relay
	// changedAt is when a domain last changed.
	changedAt map[string]time.Time
	// known are the numbers of evacuations that the relayed entry was told of, and relayedNumber
	// those of all domains when everybody knew the same.
	known, relayedNumber map[string]uint64
}

func newEvacuationLog() *evacuationLog {
	l := &evacuationLog{
		state: applier.New(), now: start, changedAt: make(map[string]time.Time), known: make(map[string]uint64), relayedNumber: make(map[string]uint64),
		relay: coordinator.NewGroupCore(coordinator.GroupConfig{Node: "r", Incarnation: 1, Window: window}),
	}
	l.elect(0)
	return l
}

// elect starts the term of another leader, whose clock differs.
func (l *evacuationLog) elect(skew time.Duration) {
	l.term++
	l.skew = skew
	l.leader = coordinator.NewCore(l.term, l.now.Add(skew), allowanceLifetime, window)
}

func (l *evacuationLog) set(domain string, evacuated bool) {
	base := applier.Evacuation{}
	for _, e := range l.state.Evacuations() {
		if e.Domain == domain {
			base = e
		}
	}
	l.index++
	command := applier.Command{At: l.now.UnixNano(), EvacuationSet: &applier.EvacuationSet{Domain: domain, Evacuated: evacuated, Base: base.Number}}
	if l.state.Apply(l.index, l.term, command).Evacuation.Number != base.Number {
		l.changedAt[domain] = l.now
	}
}

// ask returns the leader's directive for a report.
func (l *evacuationLog) ask(r *coordinator.Report) coordinator.Directive {
	now := l.now.Add(l.skew)
	l.leader.SetEvacuations(l.state.Evacuations(), evacuationBound, now)
	return l.leader.HandleReport(r, now)
}

func (l *evacuationLog) reportRelay(t require.TestingT) {
	d := l.ask(l.relay.Report(l.now))
	require.NoError(t, l.relay.Apply(&d, l.now, l.now))
}

func (l *evacuationLog) reportEntries(t require.TestingT, viaRelay bool) {
	d := l.ask(report("direct", l.now))
	l.direct.Apply(sent(t, &d))
	r := report("relayed", l.now)
	if viaRelay {
		r.IsRedirected = true
		if d, ok := l.relay.HandleReport(r, l.now); ok {
			l.relayed.Apply(sent(t, &d))
		}
		return
	}
	d = l.ask(r)
	l.relayed.Apply(sent(t, &d))
}

// sent returns the directive as it arrives.
func sent(t require.TestingT, d *coordinator.Directive) *coordinator.Directive {
	raw, err := msgpack.Marshal(d)
	require.NoError(t, err)
	var out coordinator.Directive
	require.NoError(t, msgpack.Unmarshal(raw, &out))
	return &out
}

// fixSeed lets rapid draw the same in each run of the test, unless a seed is given.
func fixSeed(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		require.NoError(t, seed.Value.Set("1"))
		t.Cleanup(func() { _ = seed.Value.Set("0") })
	}
}

// Guards against an evacuation that an entry forgets or learns of too late, and against an end that it misses: orders,
// changes of the leader, leaders with other clocks, relays that lag, and nodes that know of no order come in any
// sequence.
func TestEntriesKeepEvacuations(t *testing.T) {
	fixSeed(t)
	domains := []string{"one", "two"}
	rapid.Check(t, func(t *rapid.T) {
		l := newEvacuationLog()
		for range 100 {
			l.now = l.now.Add(time.Duration(rapid.IntRange(20, 400).Draw(t, "time")) * time.Millisecond)
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0, 1:
				l.set(rapid.SampledFrom(domains).Draw(t, "domain"), rapid.Bool().Draw(t, "evacuated"))
			case 2:
				l.elect(time.Duration(rapid.IntRange(-20, 20).Draw(t, "skew")) * time.Second)
			case 3:
				l.relayed.Apply(&coordinator.Directive{Leads: true}) // of a former release
			case 4:
				l.reportRelay(t)
			case 5:
				l.settle(t)
			default:
				l.reportEntries(t, rapid.Bool().Draw(t, "relay"))
			}
			l.check(t)
		}
	})
}

// check asks the leader as an entry that is in contact, and requires of all entries that they keep what they know.
func (l *evacuationLog) check(t require.TestingT) {
	d := l.ask(report("direct", l.now))
	l.direct.Apply(sent(t, &d))
	for _, e := range l.state.Evacuations() {
		isDirect, isRelayed := slices.Contains(l.direct.Domains(), e.Domain), slices.Contains(l.relayed.Domains(), e.Domain)
		if !e.Evacuated {
			require.False(t, isDirect, "the end is known at once")
			delete(l.known, e.Domain)
			continue
		}
		if l.now.Sub(l.changedAt[e.Domain]) >= evacuationBound/2 {
			require.True(t, isDirect, "told within half of the bound")
		}
		if number, ok := l.known[e.Domain]; ok && number == e.Number {
			require.True(t, isRelayed, "an evacuation that is in force was forgotten")
		}
		if isRelayed && l.relayedNumber[e.Domain] == e.Number {
			l.known[e.Domain] = e.Number
		}
	}
}

// settle lets the relay and its entry report, after which all entries know the same.
func (l *evacuationLog) settle(t require.TestingT) {
	l.reportRelay(t)
	l.reportEntries(t, true)
	require.Equal(t, l.direct.Domains(), l.relayed.Domains())
	for _, e := range l.state.Evacuations() {
		l.relayedNumber[e.Domain] = e.Number
	}
}

// Calls move after the capacity elsewhere was ordered, and at once if there is enough already.
func TestEntriesAreToldAfterTheCapacityOrder(t *testing.T) {
	for name, tc := range map[string]struct {
		hasSpare bool
		told     time.Duration
	}{
		"capacity is ordered": {false, 1500 * time.Millisecond},
		"enough elsewhere":    {true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := newEvacuationLog()
			l.ask(report("direct", l.now))
			l.set("one", true)
			l.ask(report("direct", l.now))
			if tc.hasSpare {
				l.leader.SetSpare([]string{"one"}, l.now)
			}
			for ; !l.now.After(start.Add(3 * time.Second)); l.now = l.now.Add(100 * time.Millisecond) {
				d := l.ask(report("direct", l.now))
				require.Equal(t, l.now.Sub(start) >= tc.told, len(d.Evacuated) == 1, "after %s", l.now.Sub(start))
			}
		})
	}
}

// Guards against a moment that begins again with each leader: entries would never be told.
func TestChangesOfTheLeaderDoNotDelayAnEvacuation(t *testing.T) {
	l := newEvacuationLog()
	l.set("one", true)
	for range 20 {
		l.elect(0)
		l.reportEntries(t, false)
		l.now = l.now.Add(100 * time.Millisecond)
	}
	require.Equal(t, []string{"one"}, l.direct.Domains())
}

// The end of an evacuation is noticed once by the leader, and by a new leader if it was shortly before.
func TestEndOfAnEvacuationIsNoticedOnce(t *testing.T) {
	l := newEvacuationLog()
	ended := func() []string {
		_, ended := l.leader.SetEvacuations(l.state.Evacuations(), evacuationBound, l.now.Add(l.skew))
		return ended
	}
	l.set("one", true)
	require.Empty(t, ended())
	l.set("one", false)
	require.Equal(t, []string{"one"}, ended())
	require.Empty(t, ended())
	l.set("one", true)
	l.set("one", false) // between two reports
	require.Equal(t, []string{"one"}, ended())
	l.now = l.now.Add(4 * time.Second)
	l.elect(0)
	require.Equal(t, []string{"one"}, ended())
	require.Empty(t, ended())
	l.now = l.now.Add(4 * time.Second)
	l.elect(0)
	require.Empty(t, ended(), "long ago")
}

// Guards against an entry that is only sent to a relay by the leader and serves meanwhile without the evacuations.
func TestRedirectedEntriesAreToldToo(t *testing.T) {
	l := newEvacuationLog()
	l.set("one", true)
	l.elect(0)
	l.leader.SetRelayed(1)
	for i := range 20 {
		l.now = l.now.Add(100 * time.Millisecond)
		l.reportRelay(t)
		d := l.ask(report("e", l.now))
		require.Equal(t, []string{"one"}, d.Evacuated)
		if d.IsPartial {
			return
		}
		require.Less(t, i, 19, "the entry was not sent to a relay")
	}
}
