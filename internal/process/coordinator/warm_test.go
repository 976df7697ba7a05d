package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/warmer"
	"hyssoprudder/internal/request/placer"
)

const (
	listLag      = 800 * time.Millisecond
	coldStart    = 4 * time.Second
	coldRate     = 12
	coldBound    = coldRate*1.5 + 5
	maxRulesAge  = 3750 * time.Millisecond
	warmingStep  = 25 * time.Millisecond
	warmingCalls = 4 // that an entry places in a step in which it places any
)

var warmingServices = map[string]coordinator.Warming{"desk": {Leases: warmer.Holders(coldRate, coldBound)}}

// coldEndpoint is an endpoint that is cold after each start.
type coldEndpoint struct {
	listed  coordinator.Endpoint
	life    int
	starts  []time.Time
	sent    []time.Time // when the calls were sent that arrived while it was cold
	arrived []time.Time // when they arrived
}

// remaining returns how long it is cold from a time on, as it was known then.
func (e *coldEndpoint) remaining(at time.Time) time.Duration {
	for i := len(e.starts) - 1; i >= 0; i-- {
		if !at.Before(e.starts[i]) {
			return max(coldStart-at.Sub(e.starts[i]), 0)
		}
	}
	return 0
}

// exchange is a report in flight.
type exchange struct {
	report            *coordinator.Report
	sentAt            time.Time
	handleAt, applyAt time.Time
	directive         coordinator.Directive
	isHandled, isLost bool
}

// warmEntry is an entry that has a connection to each endpoint.
type warmEntry struct {
	*entryNode
	placer      *placer.Placer
	lives       []int // of the endpoints to which it is connected
	inFlight    *exchange
	reportAt    time.Time
	confirmedAt time.Time
	frozenUntil time.Time
	cutUntil    time.Time
	relay       int
	chosen      []chosenCall
}

// chosenCall is a call that waits for a connection to the endpoint that was chosen for it.
type chosenCall struct {
	choice *placer.Choice
	sendAt time.Time
}

func newWarmEntry(name string, incarnation uint64) *warmEntry {
	e := &warmEntry{entryNode: newEntryNode(name, incarnation, nil), placer: placer.New()}
	e.placer.SetWarming(map[string]bool{"desk": true}, listLag)
	return e
}

// applyDirective does what the composition of an entry does.
func (e *warmEntry) applyDirective(t require.TestingT, d *coordinator.Directive, sentAt, now time.Time) {
	e.confirmedAt = sentAt.Add(-d.Age)
	if d.Length == 0 {
		return
	}
	if d.ListID != e.listID || d.Received != e.received {
		if d.ListID.Term != e.listID.Term {
			e.placer.DoubtCold(now)
		}
		e.apply(t, d, sentAt)
		var list []placer.Endpoint
		for _, listed := range e.list {
			list = append(list, placer.Endpoint(listed))
		}
		e.placer.SetEndpoints(list)
	}
	w := &placer.Warmups{Positions: d.Warmups, Until: sentAt.Add(d.WarmupLifetime), Offset: time.Unix(0, d.ClusterTime).Sub(now)}
	if d.ListRead > 0 {
		w.ListRead = sentAt.Add(-time.Duration(d.ClusterTime - d.ListRead))
	}
	e.placer.SetWarmups(w, now)
}

// warming is a deployment whose endpoints warm up.
type warming struct {
	random    *rand.Rand
	now       time.Time
	term      uint64
	leader    *coordinator.Core
	relays    []*relayNode
	relayAt   []time.Time
	relayCut  []time.Time
	endpoints []*coldEndpoint
	entries   []*warmEntry
	readAt    time.Time   // when the next reading of the list begins
	lastRead  time.Time   // when the last one began
	relayRead []time.Time // when the one began whose list a relay has
	isUnruly  bool        // nodes fail
	startedAt time.Time   // when an endpoint started last
}

func newWarming(seed uint64, entries, relays, endpoints int) *warming {
	w := &warming{random: rand.New(rand.NewPCG(seed, 0)), now: start}
	for i := range endpoints {
		w.endpoints = append(w.endpoints, &coldEndpoint{starts: []time.Time{start.Add(-time.Hour)}, listed: coordinator.Endpoint{
			ID: fmt.Sprint("e", i), Service: "desk", Domain: "a", Slots: 1000, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}})
	}
	for i := range relays {
		w.relays = append(w.relays, newRelayNode(fmt.Sprint("r", i), uint64(1+i)<<32))
		w.relayAt, w.relayCut, w.relayRead = append(w.relayAt, start), append(w.relayCut, start), append(w.relayRead, start)
	}
	for i := range entries {
		e := newWarmEntry(fmt.Sprint("n", i), 1)
		e.lives = make([]int, endpoints)
		if relays > 0 {
			e.relay = i % relays
		}
		w.entries = append(w.entries, e)
	}
	w.setLeader(1)
	return w
}

func (w *warming) setLeader(term uint64) {
	w.term, w.leader = term, coordinator.NewCore(term, w.now, allowanceLifetime, window)
	w.leader.SetWarming(warmingServices, listLag, w.now)
	w.readAt = w.now
}

func (w *warming) until(d int) time.Duration {
	return time.Duration(w.random.IntN(d)) * time.Millisecond
}

func (w *warming) step(t require.TestingT) {
	w.now = w.now.Add(warmingStep)
	if !w.now.Before(w.readAt) {
		w.readList()
	}
	for i, r := range w.relays {
		if !w.now.Before(w.relayAt[i]) && !w.now.Before(w.relayCut[i]) {
			isLost := w.isUnruly && w.random.IntN(10) == 0
			r.reportTo(t, w.leader, w.now, isLost)
			if !isLost {
				w.relayRead[i] = w.lastRead
			}
			w.relayAt[i] = w.now.Add(150 * time.Millisecond)
		}
	}
	for _, e := range w.entries {
		if w.now.Before(e.frozenUntil) {
			continue
		}
		w.exchange(t, e)
		if w.now.Sub(e.confirmedAt) < maxRulesAge && w.random.IntN(2) == 0 {
			for range warmingCalls {
				w.place(e)
			}
			w.sendAll(e)
		}
	}
}

// readList reads the list of the provider, which may be as old as its lag. Any part of that age may lie
// between what it states of different endpoints.
func (w *warming) readList() {
	took := w.until(100)
	var list []coordinator.Endpoint
	for _, e := range w.endpoints {
		listed := e.listed
		listed.ColdUntil = e.remaining(w.now.Add(took / 2).Add(-w.until(int(listLag.Milliseconds())))).Milliseconds()
		list = append(list, listed)
	}
	w.leader.ReadEndpoints(list, w.now, w.now.Add(took))
	w.lastRead, w.readAt = w.now, w.now.Add(300*time.Millisecond)
	if w.isUnruly && w.random.IntN(20) == 0 {
		w.readAt = w.now.Add(w.until(4000))
	}
}

// exchange sends a report of an entry, or delivers what is due.
func (w *warming) exchange(t require.TestingT, e *warmEntry) {
	x := e.inFlight
	switch {
	case x == nil && w.now.Before(e.reportAt):
	case x == nil:
		longest := 60
		if w.isUnruly && w.random.IntN(10) == 0 {
			longest = 440
		}
		x = &exchange{report: e.report(w.now), sentAt: w.now, isLost: w.now.Before(e.cutUntil)}
		x.handleAt = w.now.Add(w.until(longest))
		x.applyAt = x.handleAt.Add(w.until(longest))
		e.inFlight = x
	case !x.isHandled && !w.now.Before(x.handleAt):
		x.isHandled = true
		if x.isLost {
			break
		}
		if len(w.relays) == 0 {
			x.directive = w.leader.HandleReport(x.report, w.now)
			break
		}
		x.directive, _ = w.relays[e.relay].core.HandleReport(x.report, w.now)
	case x.isHandled && !w.now.Before(x.applyAt):
		if x.directive.Leads {
			e.applyDirective(t, &x.directive, x.sentAt, w.now)
		}
		e.inFlight, e.reportAt = nil, x.sentAt.Add(250*time.Millisecond)
	}
}

// place chooses an endpoint for a call. The call is sent later.
func (w *warming) place(e *warmEntry) {
	c, _, _ := e.placer.Place(&placer.Request{Service: "desk", Domain: "a", Now: w.now, Boot: w.now, Random: w.random.Float64(), MaxFirst: time.Hour, MaxQueueTime: time.Hour})
	if c != nil {
		e.chosen = append(e.chosen, chosenCall{choice: c, sendAt: w.now.Add(w.until(3) * time.Duration(w.random.IntN(200)))})
	}
}

// sendAll sends the calls that are due.
func (w *warming) sendAll(e *warmEntry) {
	var rest []chosenCall
	for _, c := range e.chosen {
		if w.now.Before(c.sendAt) {
			rest = append(rest, c)
			continue
		}
		w.send(e, c.choice)
	}
	e.chosen = rest
}

// send sends a call. A connection to an earlier life of the endpoint is found lost.
func (w *warming) send(e *warmEntry, c *placer.Choice) {
	outcome := placer.Abandoned
	defer func() { e.placer.End(c, outcome, w.now) }()
	to := 0
	for i, endpoint := range w.endpoints {
		if endpoint.listed.ID == c.Endpoint().ID {
			to = i
		}
	}
	endpoint := w.endpoints[to]
	if w.random.IntN(10) == 0 || !e.placer.MaySend(c, w.now) {
		return // chosen and not sent
	}
	if e.lives[to] != endpoint.life {
		e.lives[to] = endpoint.life
		e.placer.LoseContact(endpoint.listed.Address, w.now)
		return
	}
	outcome = placer.Answered
	at := w.now.Add(w.until(40))
	remaining := endpoint.remaining(at)
	if remaining > 0 {
		endpoint.sent, endpoint.arrived = append(endpoint.sent, w.now), append(endpoint.arrived, at)
		if w.random.IntN(2) == 0 {
			e.placer.MarkCold(&placer.Endpoint{ID: endpoint.listed.ID, Service: "desk", Address: endpoint.listed.Address}, remaining, w.now)
		}
	}
}

// listShows reports whether the list that an entry gets was read late enough to show the last start of each
// endpoint.
func (w *warming) listShows(relay int) bool {
	read := w.lastRead
	if len(w.relays) > 0 {
		read = w.relayRead[relay]
	}
	return read.After(w.startedAt.Add(listLag))
}

func (w *warming) restart(i int) {
	e := w.endpoints[i]
	e.life++
	e.starts = append(e.starts, w.now)
	w.startedAt = w.now
}

// disturb plays failures of nodes.
func (w *warming) disturb() {
	e := w.entries[w.random.IntN(len(w.entries))]
	switch w.random.IntN(60) {
	case 0:
		e.cutUntil = w.now.Add(w.until(6000))
	case 1:
		e.frozenUntil = w.now.Add(w.until(4000))
	case 2:
		// An entry that starts has no connection to an earlier life of an endpoint. It depends on a list that
		// shows the present one.
		if !w.listShows(e.relay) {
			break
		}
		fresh := newWarmEntry(e.name, e.incarnation+1)
		fresh.relay, fresh.lives = e.relay, e.lives
		for i, endpoint := range w.endpoints {
			fresh.lives[i] = endpoint.life
		}
		*e = *fresh
	case 3:
		if w.random.IntN(4) == 0 {
			w.setLeader(w.term + 1)
		}
	case 4:
		w.restart(w.random.IntN(len(w.endpoints)))
	case 5:
		if len(w.relays) > 0 {
			e.relay = w.random.IntN(len(w.relays))
			w.relayCut[e.relay] = w.now.Add(w.until(6000))
		}
	case 6:
		if len(w.relays) > 0 && w.random.IntN(3) == 0 {
			r := w.relays[w.random.IntN(len(w.relays))]
			*r = *newRelayNode(r.name, r.incarnation+1000)
		}
	}
}

// requireWithinBound checks each second that begins with a call. Without jitter, a lease gives one call.
func (w *warming) requireWithinBound(t require.TestingT) (calls int) {
	for _, e := range w.endpoints {
		calls += len(e.arrived)
		require.LessOrEqual(t, most(e.arrived), int(coldBound), "endpoint %s", e.listed.ID)
		require.LessOrEqual(t, most(e.sent), warmer.Holders(coldRate, coldBound), "endpoint %s", e.listed.ID)
	}
	return calls
}

// most returns the largest number of times within a second.
func most(times []time.Time) int {
	sorted := slices.SortedFunc(slices.Values(times), time.Time.Compare)
	largest, from := 0, 0
	for to := range sorted {
		for sorted[to].Sub(sorted[from]) >= time.Second {
			from++
		}
		largest = max(largest, to-from+1)
	}
	return largest
}

// Guards against endpoints that crash because all entries together send them more calls while they are cold
// than they tolerate: entries are cut off, frozen, restarted or late, leaders and relays change, the list
// lags and fails, and calls that were chosen are not sent.
func TestColdEndpointsGetNoMoreThanTheBound(t *testing.T) {
	calls := 0
	rapid.Check(t, func(t *rapid.T) {
		relays := rapid.SampledFrom([]int{0, 0, 1, 3, 8}).Draw(t, "relays")
		w := newWarming(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 60).Draw(t, "entries"), relays, rapid.IntRange(1, 3).Draw(t, "endpoints"))
		w.isUnruly = true
		for range 600 {
			w.step(t)
			w.disturb()
		}
		calls += w.requireWithinBound(t)
	})
	require.Greater(t, calls, 1000, "cold endpoints get calls")
}

// Guards against leases that are not used: without failures a cold endpoint gets at least half of the calls
// that it tolerates in each second, once the list shows that it is cold.
func TestColdEndpointsAreWarmedEvenly(t *testing.T) {
	cases := map[string]struct{ entries, relays, endpoints int }{
		"few entries":  {entries: 12, endpoints: 2},
		"many entries": {entries: 74, endpoints: 20},
		"relays":       {entries: 90, relays: 8, endpoints: 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWarming(1, c.entries, c.relays, c.endpoints)
			for w.now.Sub(start) < 5*time.Second {
				w.step(t)
			}
			for i := range w.endpoints {
				w.restart(i)
			}
			restarted := w.now
			for w.now.Sub(restarted) < coldStart {
				w.step(t)
			}
			require.Positive(t, w.requireWithinBound(t))
			for _, e := range w.endpoints {
				for from := restarted.Add(2 * time.Second); from.Before(restarted.Add(coldStart - time.Second)); from = from.Add(100 * time.Millisecond) {
					n := 0
					for _, at := range e.arrived {
						if !at.Before(from) && at.Sub(from) < time.Second {
							n++
						}
					}
					require.GreaterOrEqual(t, n, coldRate/2, "endpoint %s after %s", e.listed.ID, from.Sub(restarted))
				}
			}
		})
	}
}

// Guards against an endpoint that gets all calls again while it is cold, because a later read of the list is
// older than an earlier one, or lets the end of being cold vary.
func TestListThatVariesKeepsEndpointsCold(t *testing.T) {
	c := coordinator.NewCore(1, start, allowanceLifetime, window)
	c.SetWarming(warmingServices, listLag, start)
	listed := func(remaining time.Duration) []coordinator.Endpoint {
		return []coordinator.Endpoint{{ID: "e", Service: "desk", ColdUntil: remaining.Milliseconds()}}
	}
	until := func() time.Duration {
		list, _ := c.Endpoints()
		return time.UnixMilli(list[0].ColdUntil).Sub(start)
	}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	require.True(t, c.ReadEndpoints(listed(8*time.Second), at(0), at(0)))
	known := until()
	require.GreaterOrEqual(t, known, 8*time.Second)
	require.False(t, c.ReadEndpoints(listed(7900*time.Millisecond), at(300), at(300)), "jitter changes the list")
	require.False(t, c.ReadEndpoints(listed(0), at(600), at(600)), "an older list was read")
	require.False(t, c.ReadEndpoints(listed(7*time.Second), at(900), at(900)))
	require.True(t, c.ReadEndpoints(listed(8*time.Second), at(1200), at(1200)), "an endpoint was started again")
	require.GreaterOrEqual(t, until(), 9200*time.Millisecond)
	for ms := 1500; ms < 2300; ms += 300 {
		require.False(t, c.ReadEndpoints(listed(0), at(ms), at(ms)))
	}
	require.True(t, c.ReadEndpoints(listed(0), at(2400), at(2400)), "all lists of the lag show it as warm")
	list, _ := c.Endpoints()
	require.Zero(t, list[0].ColdUntil)
}

// Guards against calls to the endpoints of a failure domain that may have become cold unseen, before a list
// can show it.
func TestSuspectedDomainIsColdUntilTheListSaysOtherwise(t *testing.T) {
	c := coordinator.NewCore(1, start, allowanceLifetime, window)
	c.SetWarming(warmingServices, listLag, start)
	listed := []coordinator.Endpoint{{ID: "e1", Service: "desk", Domain: "a"}, {ID: "e2", Service: "desk", Domain: "b"}, {ID: "e3", Service: "plain", Domain: "a"}}
	c.ReadEndpoints(listed, start, start)
	cold := func() []bool {
		list, _ := c.Endpoints()
		var out []bool
		for _, e := range list {
			out = append(out, e.ColdUntil > 0)
		}
		return out
	}
	now := start.Add(10 * time.Second)
	before := c.HandleReport(report("n", now), now).ListID
	c.SuspectCold("a", now)
	require.Equal(t, []bool{true, false, false}, cold())
	require.NotEqual(t, before, c.HandleReport(report("n", now), now).ListID, "nodes are told")
	c.ReadEndpoints(listed, now.Add(listLag), now.Add(5*time.Second))
	require.Equal(t, []bool{true, false, false}, cold(), "this list may be older")
	c.ReadEndpoints(listed, now.Add(2*time.Second), now.Add(6*time.Second))
	require.Equal(t, []bool{false, false, false}, cold())
	c.SetWarming(nil, listLag, start)
	c.SuspectCold("a", now)
	require.Equal(t, []bool{false, false, false}, cold(), "no service warms up")
}

// Guards against lists and directives that change where no service warms up.
func TestNothingIsColdWithoutServicesThatWarmUp(t *testing.T) {
	c := coordinator.NewCore(1, start, allowanceLifetime, window)
	c.ReadEndpoints([]coordinator.Endpoint{{ID: "e", Service: "desk", ColdUntil: 8000}}, start, start)
	now := start.Add(10 * time.Second)
	d := c.HandleReport(report("n", now), now)
	require.Zero(t, apply(t, &d, nil)[0].ColdUntil)
	require.Empty(t, d.Warmups)
	require.Zero(t, d.WarmupLifetime)
	require.Zero(t, d.ListRead)
}

// Guards against entries of a relay that hold more leases than the relay has, or hold them for longer, and that
// take the list for newer than it is.
func TestWarmupsThroughARelay(t *testing.T) {
	leader, relay := coordinator.NewCore(1, start, allowanceLifetime, window), newRelayNode("r0", 1<<32)
	leader.SetWarming(warmingServices, listLag, start)
	listed := []coordinator.Endpoint{{ID: "e0", Service: "desk"}, {ID: "e1", Service: "desk", ColdUntil: 60_000}}
	var entries []*entryNode
	for i := range 30 {
		entries = append(entries, newEntryNode(fmt.Sprint("n", i), 1, nil))
	}
	answer := func(now time.Time) (leases int, longest time.Duration) {
		for _, e := range entries {
			r := e.report(now)
			d, _ := relay.core.HandleReport(r, now)
			if d.Length == 0 {
				continue
			}
			e.apply(t, &d, now)
			for _, position := range d.Warmups {
				require.Equal(t, "e1", e.list[position].ID)
			}
			leases += len(d.Warmups)
			longest = max(longest, d.WarmupLifetime)
			if d.ListRead > 0 {
				require.LessOrEqual(t, d.ListRead-d.ClusterTime, -100*time.Millisecond.Nanoseconds(), "the list was read 100 ms before the leader had it")
			}
		}
		return leases, longest
	}
	now := start
	for range 30 {
		now = now.Add(150 * time.Millisecond)
		leader.ReadEndpoints(listed, now.Add(-100*time.Millisecond), now)
		relay.reportTo(t, leader, now, false)
		leases, _ := answer(now)
		require.LessOrEqual(t, leases, warmer.Holders(coldRate, coldBound))
	}
	leases, longest := answer(now)
	require.Equal(t, warmer.Holders(coldRate, coldBound), leases)
	require.Equal(t, warmer.Lifetime, longest)
	for since := 100 * time.Millisecond; since < 3*time.Second; since += 100 * time.Millisecond {
		leases, longest = answer(now.Add(since)) // the relay is cut off from the leader
		require.LessOrEqual(t, longest, max(warmer.Lifetime-since, 0))
		require.Equal(t, since < warmer.Lifetime, leases > 0)
	}
}

// Guards against calls without a lease to a cold endpoint whose list was read before the ruleset came that makes
// its service warm up: entries get that ruleset at once, and the next list only later.
func TestListFromBeforeTheRulesetShowsColdEndpoints(t *testing.T) {
	c := coordinator.NewCore(1, start, allowanceLifetime, window)
	var service string
	for service = range warmingServices {
		break
	}
	c.SetEndpoints([]coordinator.Endpoint{{ID: "e", Service: service, ColdUntil: 5000}}, start)
	byPosition, _ := c.Endpoints()
	require.Zero(t, byPosition[0].ColdUntil, "the service is not known to warm up")
	c.SetWarming(warmingServices, listLag, start.Add(200*time.Millisecond))
	byPosition, _ = c.Endpoints()
	require.Greater(t, byPosition[0].ColdUntil, start.UnixMilli())
}
