package divider_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/divider"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

const lifetime = 5 * time.Second

var limit = divider.Limit{Rate: 100, Burst: 150, Initial: 30}

// node is a node's own view of its allowance.
type node struct {
	name        string
	incarnation uint64
	sequence    uint64
	unspent     float64
	expires     time.Time
}

func (n *node) report(now time.Time, demand float64) *divider.Report {
	r := &divider.Report{Node: n.name, Incarnation: n.incarnation, Sequence: n.sequence, Demand: map[string]float64{"masons": demand}, Unspent: map[string]float64{}}
	if now.Before(n.expires) {
		r.Unspent["masons"] = n.unspent
	}
	return r
}

func (n *node) accept(g divider.Grant, sent time.Time) {
	n.sequence, n.unspent, n.expires = g.Sequence, g.Allowances["masons"], sent.Add(lifetime)
}

// add adds what was granted by Take.
func (n *node) add(amount float64, now time.Time) {
	if amount <= 0 {
		return
	}
	if !now.Before(n.expires) {
		n.unspent = 0
	}
	n.unspent, n.expires = n.unspent+amount, now.Add(lifetime)
}

func newLeader(term uint64, now time.Time) *divider.Divider {
	d := divider.New(term, lifetime)
	d.SetLimits(map[string]divider.Limit{"masons": limit}, now)
	return d
}

// history records what was spent and which leaders started, by time.
type history struct {
	at     []time.Time
	spent  []float64
	leader []float64
}

func (s *history) add(at time.Time, spent, leader float64) {
	s.at, s.spent, s.leader = append(s.at, at), append(s.spent, spent), append(s.leader, leader)
}

// requireWithinLimit checks each span from one event to another.
func (s *history) requireWithinLimit(t require.TestingT) {
	for i := range s.at {
		spent, leaders := 0.0, 1.0
		for k := i; k < len(s.at); k++ {
			spent += s.spent[k]
			leaders += s.leader[k]
			allowed := limit.Rate*s.at[k].Sub(s.at[i]).Seconds() + limit.Burst + limit.Initial*leaders
			require.LessOrEqual(t, spent, allowed+1e-6, "from event %d to %d", i, k)
		}
	}
}

// All nodes together spend no more than the limit in any span, plus a little for each leader
// that starts, whatever is lost, delayed, restarted or taken over by a new leader.
func TestSpendingStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now, term := start, uint64(1)
		leader := newLeader(term, now)
		nodes := make([]*node, rapid.IntRange(1, 6).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = &node{name: fmt.Sprint(i)}
		}
		var all history
		for range rapid.IntRange(10, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "passed")) * time.Millisecond)
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 14).Draw(t, "event") {
			case 0: // the node restarts and has no allowance
				n.incarnation, n.sequence, n.unspent, n.expires = n.incarnation+1, 0, 0, time.Time{}
			case 1: // another leader starts without any state
				term++
				leader = newLeader(term, now)
				all.add(now, 0, 1)
			case 2, 3, 4, 5:
				if now.Before(n.expires) {
					amount := n.unspent * rapid.Float64Range(0, 1).Draw(t, "fraction")
					n.unspent -= amount
					all.add(now, amount, 0)
				}
			case 6, 7:
				// A call that is larger than the bucket passes when that is full, beyond the limit.
				amount := rapid.Float64Range(1, limit.Burst).Draw(t, "amount")
				granted, _ := leader.Take(&divider.Request{
					Node: n.name, Incarnation: n.incarnation, Sequence: n.sequence, Customer: "masons", Amount: amount, Least: amount * rapid.Float64Range(0.1, 1).Draw(t, "least"),
				}, now)
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					n.add(granted, now)
				}
			default:
				grant := leader.Renew(n.report(now, rapid.Float64Range(0, 100).Draw(t, "demand")), now)
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					n.accept(grant, now)
				}
			}
		}
		all.requireWithinLimit(t)
	})
}

// Nodes that spend all that they are granted let the whole limit through, however uneven the
// demand.
func TestWholeLimitCanBeSpent(t *testing.T) {
	cases := map[string][]float64{"even": {50, 50, 50, 50}, "one node": {200, 0, 0, 0}, "uneven": {150, 30, 15, 5}}
	for name, demands := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			leader := newLeader(1, start)
			nodes := make([]*node, len(demands))
			for i := range nodes {
				nodes[i] = &node{name: fmt.Sprint(i)}
			}
			const period = 250 * time.Millisecond
			spent := 0.0
			for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(period) {
				for i, n := range nodes {
					amount := min(n.unspent, demands[i]*period.Seconds())
					n.unspent -= amount
					spent += amount
					n.accept(leader.Renew(n.report(now, demands[i]), now), now)
				}
			}
			require.Greater(t, spent, 0.9*20*limit.Rate)
		})
	}
}

// A customer uses many nodes. A call that is large compared with one node's part is let
// through and is charged to all of them.
func TestLargeCallAtOneOfManyNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	leader := newLeader(1, now)
	nodes := make([]*node, 70)
	for i := range nodes {
		nodes[i] = &node{name: fmt.Sprint(i)}
		nodes[i].accept(leader.Renew(nodes[i].report(now, 1), now), now)
	}
	nodes[3].unspent -= 60
	now = now.Add(300 * time.Millisecond)
	for _, n := range nodes {
		n.accept(leader.Renew(n.report(now, 1), now), now)
	}
	sum := 0.0
	for _, n := range nodes {
		sum += n.unspent
	}
	require.Less(t, sum, limit.Burst-60+0.3*limit.Rate+1)
}

// A node that is out of contact keeps its allowance until it expires.
func TestAllowanceOfALostNodeIsNotGrantedTwice(t *testing.T) {
	now := time.Unix(1000, 0)
	leader := newLeader(1, now)
	a, b := &node{name: "a"}, &node{name: "b"}
	a.accept(leader.Renew(a.report(now, 1), now), now)
	b.accept(leader.Renew(b.report(now, 1), now), now)
	require.LessOrEqual(t, a.unspent+b.unspent, limit.Initial+1e-9)
}

// A node returns what it has, and the answer is lost: it goes on to spend that, also if it never
// reports again here.
func TestReturnedAllowanceWithLostAnswerIsNotGrantedTwice(t *testing.T) {
	cases := map[string]func(d *divider.Divider, now time.Time){
		"never reports again": func(*divider.Divider, time.Time) {},
		"was granted elsewhere": func(d *divider.Divider, now time.Time) {
			d.Renew(&divider.Report{Node: "a", IsForeign: true}, now)
		},
	}
	for name, goOn := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			d := divider.New(1, lifetime)
			d.SetLimits(map[string]divider.Limit{"masons": {Rate: 1e-3, Burst: 150, Initial: 100}}, now)
			sequence := d.Renew(&divider.Report{Node: "a"}, now).Sequence
			granted, _ := d.Take(&divider.Request{Node: "a", Sequence: sequence, Customer: "masons", Amount: 60, Least: 60}, now)
			require.InDelta(t, 60, granted, 1e-9)
			// Without demand it is granted nothing; this does not reach it, and it spends the 60.
			d.Renew(&divider.Report{Node: "a", Sequence: sequence, Unspent: map[string]float64{"masons": 60}}, now)
			goOn(d, now)
			now = now.Add(2 * lifetime)
			sequence = d.Renew(&divider.Report{Node: "b"}, now).Sequence
			rest, _ := d.Take(&divider.Request{Node: "b", Sequence: sequence, Customer: "masons", Amount: 150, Least: 1}, now)
			require.LessOrEqual(t, rest, 40.1)
		})
	}
}

// A rise of the demand after an idle period. Allowances that nodes hold are part of the
// bucket.
func TestAllowancesCountInTheBucket(t *testing.T) {
	now := time.Unix(1000, 0)
	leader := newLeader(1, now)
	nodes := make([]*node, 4)
	for i := range nodes {
		nodes[i] = &node{name: fmt.Sprint(i)}
	}
	for range 80 {
		now = now.Add(250 * time.Millisecond)
		for _, n := range nodes {
			n.accept(leader.Renew(n.report(now, 1), now), now)
		}
	}
	sum := 0.0
	for range 3 {
		for _, n := range nodes {
			sum += n.unspent
			n.unspent = 0
			n.accept(leader.Renew(n.report(now, 1), now), now)
			granted, _ := leader.Take(&divider.Request{Node: n.name, Incarnation: n.incarnation, Sequence: n.sequence, Customer: "masons", Amount: limit.Burst, Least: 1}, now)
			n.unspent += granted
		}
	}
	require.LessOrEqual(t, sum, limit.Burst+1e-6)
}

// A call that is larger than the limit ever allows was let through as soon as the bucket was full, and the customer had
// nothing left for years. Calls of that size that were refused kept others from their allowances.
func TestCallsBeyondTheLargestAreNeverGranted(t *testing.T) {
	now := time.Unix(1000, 0)
	bounded := limit
	bounded.Largest = 200
	d := divider.New(1, lifetime)
	d.SetLimits(map[string]divider.Limit{"masons": bounded}, now)
	now = now.Add(10 * time.Second) // the bucket is full
	sequence := d.Renew(&divider.Report{Node: "a"}, now).Sequence
	for _, amount := range []float64{201, 1e12, math.MaxInt64, math.Inf(1)} {
		granted, wait := d.Take(&divider.Request{Node: "a", Sequence: sequence, Customer: "masons", Amount: amount, Least: amount}, now)
		require.Zero(t, granted)
		require.Positive(t, wait)
	}
	g := d.Renew(&divider.Report{Node: "a", Sequence: sequence, Demand: map[string]float64{"masons": 50}}, now)
	require.Positive(t, g.Allowances["masons"])
	granted, _ := d.Take(&divider.Request{Node: "a", Sequence: g.Sequence, Customer: "masons", Amount: 60, Least: 60}, now)
	require.InDelta(t, 60, granted, 1e-9)
}
