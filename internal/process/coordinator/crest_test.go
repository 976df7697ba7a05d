package coordinator_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/divider"
	"hyssoprudder/internal/request/apportioner"
)

// event happens at a time.
type event struct {
	at time.Time
	do func(now time.Time)
}

// schedule is a queue of events by time.
type schedule []event

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, k int) bool { return s[i].at.Before(s[k].at) }
func (s schedule) Swap(i, k int)      { s[i], s[k] = s[k], s[i] }
func (s *schedule) Push(e any)        { *s = append(*s, e.(event)) }
func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// crest is the load of a fleet whose traffic rises by 0.3 to a crest, while one customer
// requests more than its limit.
type crest struct {
	t        *testing.T
	events   schedule
	random   *rand.Rand
	leader   *coordinator.Core
	relays   []*crestRelay
	entries  []*entryNode
	rates    map[string]float64
	passed   map[string]float64
	refused  map[string]int
	unknown  int
	asks     int // of relays to the leader
	requests int // of entries to relays
}

// crestRelay is a relay that asks the leader for what its entries lack.
type crestRelay struct {
	*relayNode
	wanted   map[string]coordinator.Shortage
	isAsking bool
	spent    map[string]bool // customers whose limit the leader has just found to be spent
}

// latency is the time of a message between two nodes.
const latency = 1400 * time.Microsecond

func (c *crest) at(when time.Time, do func(now time.Time)) { heap.Push(&c.events, event{when, do}) }

func (c *crest) reportRelay(r *crestRelay, now time.Time) {
	report := r.core.Report(now)
	c.at(now.Add(latency), func(arrived time.Time) {
		d := c.leader.HandleReport(report, arrived)
		c.at(arrived.Add(latency), func(answered time.Time) { require.NoError(c.t, r.core.Apply(&d, now, answered)) })
	})
	c.at(now.Add(150*time.Millisecond), func(next time.Time) { c.reportRelay(r, next) })
}

func (c *crest) reportEntry(i int, now time.Time) {
	e, r := c.entries[i], c.relays[i%len(c.relays)]
	report := e.report(now)
	c.at(now.Add(latency), func(arrived time.Time) {
		if d, ok := r.core.HandleReport(report, arrived); ok {
			c.at(arrived.Add(latency), func(time.Time) { e.apply(c.t, &d, now) })
		}
	})
	c.at(now.Add(500*time.Millisecond), func(next time.Time) { c.reportEntry(i, next) })
}

// call is one call of a customer at an entry.
func (c *crest) call(i int, name string, cost float64, until, now time.Time) {
	e, r := c.entries[i], c.relays[i%len(c.relays)]
	switch verdict, _ := e.quotas.Take(name, cost, now); {
	case verdict == apportioner.Passed:
		c.passed[name] += cost
	case verdict == apportioner.Over:
		c.refused[name]++
	case now.After(until):
		c.unknown++
	default:
		c.at(now.Add(latency), func(arrived time.Time) { c.requests++; c.take(e, r, name, cost, true, until, arrived) })
		return
	}
}

// take answers an entry at its relay, at once or after the leader's answer.
func (c *crest) take(e *entryNode, r *crestRelay, name string, cost float64, isFirst bool, until, now time.Time) {
	shortage := coordinator.Shortage{Amount: cost, Least: cost}
	reply, missing := r.core.Take(&coordinator.AllowanceRequest{Node: e.name, Incarnation: 1, Sequence: e.quotas.Sequence(), Shortages: map[string]coordinator.Shortage{name: shortage}}, now)
	i := c.indexOf(e)
	switch {
	case reply.MustReport: // a report is under way
		c.at(now.Add(latency+20*time.Millisecond), func(later time.Time) { c.call(i, name, cost, until, later) })
	case len(missing) == 0:
		c.at(now.Add(latency), func(answered time.Time) {
			e.quotas.Add(name, reply.Granted[name], answered, answered.Add(reply.Lifetime))
			c.call(i, name, cost, until, answered)
		})
	case r.spent[name]:
		c.at(now.Add(latency), func(answered time.Time) {
			e.quotas.Exhaust(name, cost, 100*time.Millisecond, answered)
			c.call(i, name, cost, until, answered)
		})
	case isFirst:
		w, ok := r.wanted[name]
		if !ok || cost < w.Least {
			w.Least = cost
		}
		w.Amount += cost
		r.wanted[name] = w
		c.ask(r, now)
		c.at(now.Add(10*time.Millisecond), func(later time.Time) { c.take(e, r, name, cost, false, until, later) })
	default:
		c.at(now.Add(latency+20*time.Millisecond), func(later time.Time) { c.call(i, name, cost, until, later) })
	}
}

func (c *crest) indexOf(e *entryNode) int {
	var i int
	_, _ = fmt.Sscanf(e.name, "e%d", &i)
	return i
}

func (c *crest) ask(r *crestRelay, now time.Time) {
	if r.isAsking || len(r.wanted) == 0 {
		return
	}
	r.isAsking = true
	wanted := r.wanted
	r.wanted = make(map[string]coordinator.Shortage)
	c.asks++
	c.at(now.Add(latency), func(arrived time.Time) {
		reply := r.ask(c.leader, wanted, arrived, true)
		c.at(arrived.Add(latency), func(answered time.Time) {
			r.core.AddGranted(&reply, now)
			for name := range wanted {
				_, r.spent[name] = reply.Waits[name]
			}
			c.at(answered.Add(6*time.Millisecond), func(next time.Time) { r.isAsking = false; c.ask(r, next) })
		})
	})
}

// 300 entries and 40 customers of unlike size, at a crest of 1.3: no call of a customer that
// stays within its limit is refused, and the one that requests six times its usual gets all of
// its limit, and no more.
func TestCrestOfTrafficAtManyEntries(t *testing.T) {
	const (
		entries   = 300
		customers = 40
		hot       = "c7"
		length    = 12 * time.Second
		callCost  = 9000.0
		total     = 1000.0 // calls a second
	)
	c := &crest{
		t: t, random: rand.New(rand.NewPCG(1, 2)), rates: make(map[string]float64), passed: make(map[string]float64), refused: make(map[string]int),
		leader: coordinator.NewCore(1, start, allowanceLifetime, window),
	}
	limits, share := make(map[string]divider.Limit), make(map[string]float64)
	sum := 0.0
	for i := range customers {
		share[fmt.Sprint("c", i)] = 1 / float64(1+i)
		sum += 1 / float64(1+i)
	}
	for name := range share {
		share[name] /= sum
		c.rates[name] = 2 * share[name] * total * callCost
		limits[name] = divider.Limit{Rate: c.rates[name], Burst: c.rates[name] + 50000, Initial: 30000}
	}
	c.leader.SetLimits(limits, start)
	for i := range 8 {
		r := &crestRelay{relayNode: newRelayNode(fmt.Sprint("r", i), uint64(1+i)<<32), wanted: make(map[string]coordinator.Shortage), spent: make(map[string]bool)}
		c.relays = append(c.relays, r)
		c.at(start.Add(time.Duration(i)*10*time.Millisecond), func(now time.Time) { c.reportRelay(r, now) })
	}
	for i := range entries {
		c.entries = append(c.entries, newEntryNode(fmt.Sprint("e", i), 1, c.rates))
		c.at(start.Add(100*time.Millisecond+time.Duration(i)*1500*time.Microsecond), func(now time.Time) { c.reportEntry(i, now) })
	}
	// The buckets fill before the first call.
	first := start.Add(2 * time.Second)
	hotPassed := 0.0
	for name := range share {
		factor := 1.0
		if name == hot {
			factor = 6
		}
		for at := first; at.Before(first.Add(length)); {
			rate := share[name] * total * factor
			if since := at.Sub(first); since > 4*time.Second && since < 8*time.Second {
				rate *= 1.3
			}
			at = at.Add(time.Duration(c.random.ExpFloat64() / rate * float64(time.Second)))
			cost := callCost * (0.1 + 1.8*c.random.Float64())
			c.at(at, func(now time.Time) { c.call(c.random.IntN(entries), name, cost, now.Add(800*time.Millisecond), now) })
		}
	}
	for end := first.Add(length); len(c.events) > 0 && c.events[0].at.Before(end); {
		e := heap.Pop(&c.events).(event)
		e.do(e.at)
	}
	hotPassed = c.passed[hot]
	t.Logf("asks of entries %d, of relays %d; refused %v", c.requests, c.asks, c.refused)
	require.Zero(t, c.unknown)
	limit := limits[hot]
	require.Greater(t, hotPassed, 0.9*limit.Rate*length.Seconds())
	require.LessOrEqual(t, hotPassed, limit.Rate*length.Seconds()+limit.Burst+limit.Initial)
	delete(c.refused, hot)
	require.Empty(t, c.refused)
}
