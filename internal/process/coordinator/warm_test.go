package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
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

var warmingServices = map[string]coordinator.Warming{"desk": {Leases: warmer.Holders(coldBound)}}

// coldEndpoint is an endpoint that is cold after each start.
type coldEndpoint struct {
	listed  coordinator.Endpoint
	life    int
	starts  []time.Time
	arrived []time.Time // calls that arrived while it was cold
}

func (e *coldEndpoint) started() time.Time { return e.starts[len(e.starts)-1] }

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
	readAt    time.Time // when the next reading of the list begins
	isUnruly  bool      // nodes fail
	startedAt time.Time // when an endpoint started last
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
		w.relayAt, w.relayCut = append(w.relayAt, start), append(w.relayCut, start)
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
	w.leader.SetWarming(warmingServices, listLag)
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
			r.reportTo(t, w.leader, w.now, w.isUnruly && w.random.IntN(10) == 0)
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
				w.call(e)
			}
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
	w.readAt = w.now.Add(300 * time.Millisecond)
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

// call places and sends one call. A connection to an earlier life of the endpoint is found lost.
func (w *warming) call(e *warmEntry) {
	c, _, _ := e.placer.Place(&placer.Request{Service: "desk", Domain: "a", Now: w.now, Boot: w.now, Random: w.random.Float64(), MaxFirst: time.Hour, MaxQueueTime: time.Hour})
	if c == nil {
		return
	}
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
		endpoint.arrived = append(endpoint.arrived, at)
		if w.random.IntN(2) == 0 {
			e.placer.MarkCold(&placer.Endpoint{ID: endpoint.listed.ID, Service: "desk", Address: endpoint.listed.Address}, remaining, w.now)
		}
	}
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
		// An entry has no connection yet when it starts: what it reaches is what the list shows.
		if w.now.Sub(w.startedAt) < 3*time.Second {
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
			w.relayCut[e.relay] = w.now.Add(w.until(3000))
		}
	case 6:
		if len(w.relays) > 0 && w.random.IntN(3) == 0 {
			r := w.relays[w.random.IntN(len(w.relays))]
			*r = *newRelayNode(r.name, r.incarnation+1000)
		}
	}
}

// requireWithinBound checks each second that begins with a call.
func (w *warming) requireWithinBound(t require.TestingT) (calls int) {
	for _, e := range w.endpoints {
		calls += len(e.arrived)
		for i, from := range e.arrived {
			n := 0
			for _, at := range e.arrived[max(i-100, 0):] {
				if !at.Before(from) && at.Sub(from) < time.Second {
					n++
				}
			}
			require.LessOrEqual(t, n, int(coldBound), "endpoint %s from %s", e.listed.ID, from.Sub(start))
		}
	}
	return calls
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
		for range 400 {
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
