package placer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/placer"
)

// plainLoad is a load on a plain service with 3 endpoints of 6 slots, as the entries see it.
type plainLoad struct {
	entries int
	rate    float64 // calls per second
	burst   float64 // factor of the rate during bursts, which take a fifth of the time
	stalls  float64 // fraction of the time for which an endpoint takes 2.5 times as long
	speeds  [3]float64
	queue   int    // calls that wait at an endpoint before it rejects further ones
	reports string // load reports: true, none, or false ones of the first endpoint
	fault   string // what the first endpoint does to each call: answers nothing, or rejects
	policy  string // placer, random or two choices
	seed    uint64
}

type plainResult struct {
	calls, rejected, refused, late int
	byEndpoint                     [3]int
}

func (r *plainResult) lateShare() float64 { return float64(r.late+r.refused) / float64(r.calls) }

const (
	usualCallTime  = 30 * time.Millisecond
	plainObjective = 150 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	plainDuration  = 50 * time.Second
)

type plainEvent struct {
	at time.Duration
	do func()
}

type plainEvents []plainEvent

func (q plainEvents) Len() int           { return len(q) }
func (q plainEvents) Less(a, b int) bool { return q[a].at < q[b].at }
func (q plainEvents) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *plainEvents) Push(x any)        { *q = append(*q, x.(plainEvent)) }
func (q *plainEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type plainCall struct {
	entry  int
	began  time.Duration
	tried  []string
	sent   int
	choice *placer.Choice
	pick   int
}

type plainEndpoint struct {
	running int
	waiting []*plainCall
	stalled time.Duration // until when work takes longer
}

// plainSimulation plays a load without network or goroutines.
type plainSimulation struct {
	plainLoad
	rng       *rand.Rand // of choices
	loadRNG   *rand.Rand // of arrivals and stalls, the same for all policies
	now       time.Duration
	events    plainEvents
	placers   []*placer.Placer
	told      [][3]placer.ReportedLoad // by entry, for two choices
	peers     [][3]int                 // by entry, for two choices
	own       [][3]int
	reported  []map[int]placer.Load // what each entry reported last
	endpoints [3]plainEndpoint
	result    plainResult
	former    placer.ReportedLoad // for stale reports: the load at formerAt
	formerAt  time.Duration
}

func (s *plainSimulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, plainEvent{s.now + d, do})
}

func (s *plainSimulation) time() time.Time { return start.Add(s.now) }

func playPlainLoad(l plainLoad) plainResult {
	s := &plainSimulation{plainLoad: l, rng: rand.New(rand.NewPCG(l.seed, 1)), loadRNG: rand.New(rand.NewPCG(l.seed, 2))}
	s.told, s.peers, s.own = make([][3]placer.ReportedLoad, l.entries), make([][3]int, l.entries), make([][3]int, l.entries)
	s.reported = make([]map[int]placer.Load, l.entries)
	for i := range l.entries {
		p := placer.New()
		p.SetEndpoints(newEndpoints(3, 6))
		s.placers = append(s.placers, p)
		s.after(time.Duration(s.rng.Int64N(int64(reportInterval))), func() { s.exchange(i) })
	}
	for i := range s.endpoints {
		if l.stalls > 0 {
			s.after(s.untilStall(), func() { s.stall(i) })
		}
	}
	s.after(0, s.arrive)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(plainEvent)
		if e.at > plainDuration {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.result
}

const stallTime = 600 * time.Millisecond

func (s *plainSimulation) untilStall() time.Duration {
	return time.Duration(s.loadRNG.ExpFloat64() * float64(stallTime) * (1 - s.stalls) / s.stalls)
}

func (s *plainSimulation) stall(i int) {
	s.endpoints[i].stalled = s.now + stallTime
	s.after(stallTime+s.untilStall(), func() { s.stall(i) })
}

func (s *plainSimulation) slowdown(i int) float64 {
	if s.now < s.endpoints[i].stalled {
		return 2.5
	}
	return 1
}

// arrive begins a call. In bursts of 200 ms, one in a second, calls come faster.
func (s *plainSimulation) arrive() {
	rate := s.rate
	if s.burst > 0 {
		rate *= (1 - s.burst*0.2) / 0.8
		if s.now%time.Second < 200*time.Millisecond {
			rate = s.rate * s.burst
		}
	}
	s.after(time.Duration(s.loadRNG.ExpFloat64()/rate*float64(time.Second)), s.arrive)
	s.result.calls++
	s.send(&plainCall{entry: s.loadRNG.IntN(s.entries), began: s.now})
}

// exchange sends the report of an entry and applies the directive that answers it: the sums of
// what the other entries reported last.
func (s *plainSimulation) exchange(entry int) {
	s.after(reportInterval, func() { s.exchange(entry) })
	s.reported[entry] = s.placers[entry].Loads()
	if s.policy != "placer" {
		s.reported[entry] = make(map[int]placer.Load)
		for i, n := range s.own[entry] {
			s.reported[entry][i] = placer.Load{InFlight: n}
		}
	}
	sums := make(map[int]placer.Load)
	for other, loads := range s.reported {
		for i, l := range loads {
			if other != entry {
				sum := sums[i]
				sum.InFlight += l.InFlight
				sums[i] = sum
			}
		}
	}
	for i := range s.endpoints {
		s.peers[entry][i] = sums[i].InFlight
	}
	at := s.now
	s.after(2*time.Millisecond, func() { s.placers[entry].SetPeerLoads(sums, start.Add(at)) })
}

func (s *plainSimulation) send(c *plainCall) {
	pick, ok := s.choose(c)
	if !ok {
		s.result.refused++
		return
	}
	c.pick, c.sent = pick, c.sent+1
	c.tried = append(c.tried, fmt.Sprintf("e%d", pick))
	s.own[c.entry][pick]++
	s.result.byEndpoint[pick]++
	e := &s.endpoints[pick]
	switch {
	case pick == 0 && s.fault == "answers nothing":
		s.after(225*time.Millisecond, func() { s.end(c, placer.Failed) })
		return
	case pick == 0 && s.fault == "answers nothing until the deadline":
		s.after(600*time.Millisecond, func() { s.end(c, placer.Abandoned) })
		return
	case pick == 0 && s.fault == "rejects":
		s.result.rejected++
		s.end(c, placer.Rejected)
		return
	}
	if e.running >= 6 {
		if len(e.waiting) >= s.queue {
			s.result.rejected++
			s.end(c, placer.Rejected)
			return
		}
		e.waiting = append(e.waiting, c)
		return
	}
	e.running++
	s.run(c)
}

func (s *plainSimulation) choose(c *plainCall) (int, bool) {
	if s.policy == "placer" {
		choice, _, _ := s.placers[c.entry].Place(&placer.Request{
			Service: "desk", Domain: string(rune('a' + c.entry%3)), Exclude: c.tried, Now: s.time(), Random: s.rng.Float64(),
		})
		if choice == nil {
			return 0, false
		}
		c.choice = choice
		return int(choice.Endpoint().ID[1] - '0'), true
	}
	var left []int
	for i := range s.endpoints {
		isTried := false
		for _, id := range c.tried {
			isTried = isTried || id == fmt.Sprintf("e%d", i)
		}
		if !isTried {
			left = append(left, i)
		}
	}
	if len(left) == 0 {
		return 0, false
	}
	if s.policy == "current load" {
		best := left[0]
		cost := func(i int) float64 {
			e := &s.endpoints[i]
			return float64(e.running+len(e.waiting)+1) * s.slowdown(i)
		}
		for _, i := range left {
			if cost(i) < cost(best) {
				best = i
			}
		}
		return best, true
	}
	a, b := left[s.rng.IntN(len(left))], left[s.rng.IntN(len(left))]
	if s.policy == "two choices" && s.known(c.entry, b) < s.known(c.entry, a) {
		a = b
	}
	return a, true
}

func (s *plainSimulation) known(entry, i int) float64 {
	r := s.told[entry][i]
	return (float64(r.Running+r.Waiting+s.own[entry][i]) + 1) * max(r.Slowdown, 1)
}

func (s *plainSimulation) run(c *plainCall) {
	took := time.Duration(float64(usualCallTime) * s.slowdown(c.pick) / cmpOr(s.speeds[c.pick], 1) * (0.8 + 0.4*s.rng.Float64()))
	s.after(took, func() {
		e := &s.endpoints[c.pick]
		e.running--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			e.running++
			s.run(next)
		}
		s.end(c, placer.Answered)
	})
}

func cmpOr(a, b float64) float64 {
	if a == 0 {
		return b
	}
	return a
}

// end ends an attempt, and the call unless it is tried again.
func (s *plainSimulation) end(c *plainCall, outcome placer.Outcome) {
	s.own[c.entry][c.pick]--
	e := &s.endpoints[c.pick]
	load := placer.ReportedLoad{Running: e.running, Waiting: len(e.waiting), Slots: 6, Slowdown: s.slowdown(c.pick)}
	if c.pick == 0 {
		switch s.reports {
		case "always idle":
			load = placer.ReportedLoad{Slots: 6, Slowdown: 1}
		case "stale":
			load.Running, load.Waiting = s.former.Running, s.former.Waiting
			if s.now-s.formerAt > 2*time.Second {
				s.former, s.formerAt = placer.ReportedLoad{Running: e.running, Waiting: len(e.waiting)}, s.now
			}
		case "always fast":
			load = placer.ReportedLoad{Slots: 60000, Slowdown: 0.1}
		case "always full":
			load = placer.ReportedLoad{Running: 6, Waiting: 60000, Slots: 6, Slowdown: 1}
		case "always slow":
			load.Slowdown = 20
		}
	}
	if outcome == placer.Answered || outcome == placer.Rejected {
		s.told[c.entry][c.pick] = load
	}
	if c.choice != nil {
		isAnswered := outcome != placer.Failed && outcome != placer.Abandoned
		if s.reports != "none" && isAnswered && (s.reports != "missing" || c.pick != 0) {
			s.placers[c.entry].RecordLoad(c.choice, load, s.time())
		}
		if outcome == placer.Answered {
			s.placers[c.entry].RecordFirst(c.choice, s.time())
		}
		s.placers[c.entry].End(c.choice, outcome, s.time())
	}
	if outcome == placer.Answered {
		if s.now-c.began > plainObjective {
			s.result.late++
		}
		return
	}
	if c.sent >= 3 || outcome == placer.Abandoned {
		s.result.refused++
		return
	}
	s.after(time.Millisecond, func() { s.send(c) })
}

func newPlainLoad() plainLoad {
	return plainLoad{entries: 73, rate: 206, burst: 2.5, stalls: 0.15, queue: 12, reports: "true", policy: "placer", seed: 1}
}

// playPolicy sums the results of a policy over several seeds.
func playPolicy(policy string, l plainLoad) plainResult {
	switch policy {
	case "former":
		l.reports = "none"
	case "random", "two choices", "current load":
		l.policy = policy
	}
	var sum plainResult
	for seed := range uint64(2) {
		l.seed = seed
		r := playPlainLoad(l)
		sum.calls += r.calls
		sum.rejected += r.rejected
		sum.refused += r.refused
		sum.late += r.late
		for i, n := range r.byEndpoint {
			sum.byEndpoint[i] += n
		}
	}
	return sum
}

// Guards against herding on few slots, and against a choice that is worse than those that it
// was preferred to. Its log is the table of the design note.
func TestHerdingOnFewSlots(t *testing.T) {
	bursty, stalling, classes, all := newPlainLoad(), newPlainLoad(), newPlainLoad(), newPlainLoad()
	bursty.stalls, stalling.burst = 0, 0
	classes.burst, classes.stalls, classes.speeds = 0, 0, [3]float64{0.6, 1, 1.6}
	all.speeds = classes.speeds
	short := newPlainLoad()
	short.queue = 0
	loads := map[string]plainLoad{
		"bursty arrivals": bursty, "moving stall": stalling, "static speed classes": classes, "bursts and stalls": newPlainLoad(),
		"bursts, stalls and speed classes": all, "bursts and stalls, nothing waits": short,
	}
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			results := make(map[string]plainResult)
			for _, policy := range []string{"former", "random", "two choices", "free capacity", "current load"} {
				r := playPolicy(policy, l)
				results[policy] = r
				t.Logf("| %s | %s | %d | %d | %d | %.2f |", name, policy, r.calls, r.rejected, r.refused, 100*r.lateShare())
			}
			chosen, former, two := results["free capacity"], results["former"], results["two choices"]
			require.LessOrEqual(t, chosen.lateShare(), former.lateShare())
			require.LessOrEqual(t, chosen.lateShare(), two.lateShare()+0.003)
		})
	}
}

// Guards against an endpoint that attracts or loses more calls by a false report than the others
// can make up for, and against one that claims to be idle and does no work.
func TestFalseLoadReport(t *testing.T) {
	cases := map[string]struct {
		reports, fault string
		least, most    float64 // share of the calls that the first endpoint gets
	}{
		"true":                            {"true", "", 0.25, 0.42},
		"missing":                         {"missing", "", 0.2, 0.42},
		"stale":                           {"stale", "", 0.25, 0.42},
		"always idle":                     {"always idle", "", 0.25, 0.45},
		"more slots and speed than usual": {"always fast", "", 0.15, 0.5},
		"always full":                     {"always full", "", 0.1, 0.42},
		"always slow":                     {"always slow", "", 0.1, 0.45},
		"idle, and answers nothing":       {"always idle", "answers nothing", 0, 0.05},
		"idle, and answers nothing until the deadline": {"always idle", "answers nothing until the deadline", 0, 0.05},
		"idle, and rejects all":                        {"always idle", "rejects", 0, 0.05},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l := newPlainLoad()
			l.stalls, l.burst, l.reports, l.fault = 0, 0, tc.reports, tc.fault
			r := playPolicy("free capacity", l)
			share := float64(r.byEndpoint[0]) / float64(r.calls)
			t.Logf("%.3f of the calls; %d rejected, %d refused, %.2f %% late", share, r.rejected, r.refused, 100*r.lateShare())
			require.GreaterOrEqual(t, share, tc.least)
			require.LessOrEqual(t, share, tc.most)
			require.Less(t, r.lateShare(), 0.05, "each entry has to find out by itself")
		})
	}
}

// Guards against changed choices where endpoints report no load, or reported none lately.
func TestChoiceWithoutReportedLoad(t *testing.T) {
	former, silent := placer.New(), placer.New()
	former.SetEndpoints(newEndpoints(3, 6))
	silent.SetEndpoints(newEndpoints(3, 6))
	rng := rand.New(rand.NewPCG(1, 1))
	request := func(now time.Time) *placer.Request {
		return &placer.Request{Service: "desk", Domain: "a", Now: now, Random: rng.Float64()}
	}
	c, _, _ := silent.Place(request(start))
	silent.RecordLoad(c, placer.ReportedLoad{Running: 6, Waiting: 9, Slots: 6, Slowdown: 9}, start)
	silent.End(c, placer.Answered, start)
	now := start.Add(time.Minute)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		loads := map[int]placer.Load{0: {InFlight: rng.IntN(5)}, 1: {InFlight: rng.IntN(5)}, 2: {InFlight: rng.IntN(5)}}
		former.SetPeerLoads(loads, now)
		silent.SetPeerLoads(loads, now)
		req := request(now)
		a, _, _ := former.Place(req)
		b, _, _ := silent.Place(req)
		require.Equal(t, cheapest(loads, req), a.Endpoint().ID)
		require.Equal(t, a.Endpoint().ID, b.Endpoint().ID)
		former.End(a, placer.Answered, now)
		silent.End(b, placer.Answered, now)
	}
}

// cheapest returns the endpoint that the rule for endpoints without reported load chooses: 0.8 ms and
// a sixth of 6 ms for each call, and 2 ms for another domain.
func cheapest(loads map[int]placer.Load, req *placer.Request) string {
	best, least := "", math.Inf(1)
	for i, e := range newEndpoints(3, 6) {
		cost := 1.8*float64(loads[i].InFlight) + req.Random*0.01*float64(xxhash.Sum64String(e.ID)%97)
		if e.Domain != req.Domain {
			cost += 2
		}
		if cost < least {
			best, least = e.ID, cost
		}
	}
	return best
}
