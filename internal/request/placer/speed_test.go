package placer_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/placer"
)

const (
	promptRate     = 40.0 // tokens per millisecond of an endpoint of speed 1
	promptDuration = 25 * time.Second
	promptMaxFirst = time.Second
)

// promptLoad is a load of calls with prompts on endpoints that process one prompt after the other.
type promptLoad struct {
	entries, endpoints int
	use                float64 // fraction of the endpoints' capacity
	speeds             []float64
	stalls             float64
	isShared           bool    // entries exchange measurements
	isReported         bool    // endpoints report their slowdown
	isExact            bool    // entries know the speeds
	isTwoChoices       bool    // the shorter known queue of two endpoints drawn at random
	isSkewed           bool    // few sessions make most of the calls
	isUnshared         bool    // no prompts share blocks
	lie                float64 // slowdown that the first endpoint always reports; 0 if true
	seed               uint64
}

type promptResult struct {
	calls, refused, late int
	first                time.Duration // sum
	work                 int
	byEndpoint           []int
	speeds               placer.Speeds
}

func (r *promptResult) lateShare() float64 { return float64(r.late+r.refused) / float64(r.calls) }
func (r *promptResult) meanFirst() time.Duration {
	return r.first / time.Duration(max(r.calls-r.refused, 1))
}

type promptSimulation struct {
	promptLoad
	rng, loadRNG *rand.Rand
	now          time.Duration
	events       plainEvents
	placers      []*placer.Placer
	reported     []map[int]placer.Load
	sums         []placer.Load
	freeAt       []time.Duration
	stalledTo    []time.Duration
	pending      [][]int // own pending prefill by entry, for two choices
	peers        []map[int]placer.Load
	cached       []map[uint64]bool // shared blocks, by endpoint
	result       promptResult
}

func (s *promptSimulation) after(d time.Duration, do func()) {
	heap.Push(&s.events, plainEvent{s.now + d, do})
}

func (s *promptSimulation) time() time.Time { return start.Add(s.now) }

func (s *promptSimulation) speed(i int) float64 {
	if len(s.speeds) == 0 {
		return 1
	}
	return s.speeds[i%len(s.speeds)]
}

func playPromptLoad(l promptLoad) promptResult {
	s := &promptSimulation{
		promptLoad: l, rng: rand.New(rand.NewPCG(l.seed, 1)), loadRNG: rand.New(rand.NewPCG(l.seed, 2)), reported: make([]map[int]placer.Load, l.entries),
		sums: make([]placer.Load, l.endpoints), freeAt: make([]time.Duration, l.endpoints), stalledTo: make([]time.Duration, l.endpoints),
	}
	s.result.byEndpoint = make([]int, l.endpoints)
	s.peers, s.pending = make([]map[int]placer.Load, l.entries), make([][]int, l.entries)
	for range l.endpoints {
		s.cached = append(s.cached, make(map[uint64]bool))
	}
	for i := range l.entries {
		s.pending[i] = make([]int, l.endpoints)
		p := placer.New()
		p.SetEndpoints(newEndpoints(l.endpoints, 0))
		s.placers = append(s.placers, p)
		s.after(time.Duration(s.loadRNG.Int64N(int64(reportInterval))), func() { s.exchange(i) })
	}
	if l.stalls > 0 {
		for i := range l.endpoints {
			s.after(s.untilStall(), func() { s.stall(i) })
		}
	}
	s.after(0, s.arrive)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(plainEvent)
		if e.at > promptDuration {
			break
		}
		s.now = e.at
		e.do()
	}
	s.result.speeds = s.placers[0].Speeds()["desk"]
	return s.result
}

func (s *promptSimulation) untilStall() time.Duration {
	return time.Duration(s.loadRNG.ExpFloat64() * float64(stallTime) * (1 - s.stalls) / s.stalls)
}

func (s *promptSimulation) stall(i int) {
	s.stalledTo[i] = s.now + stallTime
	s.after(stallTime+s.untilStall(), func() { s.stall(i) })
}

func (s *promptSimulation) slowdown(i int, at time.Duration) float64 {
	if at < s.stalledTo[i] {
		return 2.5
	}
	return 1
}

func (s *promptSimulation) exchange(entry int) {
	s.after(reportInterval, func() { s.exchange(entry) })
	p := s.placers[entry]
	for i, l := range s.reported[entry] {
		s.sums[i] = addLoad(s.sums[i], l, -1)
	}
	own := p.Loads()
	if s.isTwoChoices {
		for i, pending := range s.pending[entry] {
			own[i] = placer.Load{PendingPrefill: pending}
		}
	}
	if s.isShared {
		for i, measured := range p.Prefills(s.time()) {
			own[i] = addLoad(own[i], measured, 1)
		}
	}
	s.reported[entry] = own
	for i, l := range own {
		s.sums[i] = addLoad(s.sums[i], l, 1)
	}
	peers := make(map[int]placer.Load)
	for i, l := range s.sums {
		peers[i] = addLoad(l, own[i], -1)
	}
	if s.isExact {
		for i := range s.sums {
			l := peers[i]
			l.PrefillTokens, l.PrefillTime = int(s.speed(i)*promptRate*1e6), 1e6
			peers[i] = l
		}
	}
	s.after(2*time.Millisecond, func() {
		p.SetPeerLoads(peers, s.time())
		s.peers[entry] = peers
	})
}

func addLoad(a, b placer.Load, sign int) placer.Load {
	return placer.Load{
		InFlight: a.InFlight + sign*b.InFlight, Waiting: a.Waiting + sign*b.Waiting, PendingPrefill: a.PendingPrefill + sign*b.PendingPrefill,
		KVTokens: a.KVTokens + sign*b.KVTokens, PrefillTokens: a.PrefillTokens + sign*b.PrefillTokens, PrefillTime: a.PrefillTime + sign*b.PrefillTime,
	}
}

func (s *promptSimulation) arrive() {
	capacity := 0.0
	for i := range s.endpoints {
		capacity += promptRate * s.speed(i)
	}
	const meanPrompt = (543 + 9190) / 2.0
	s.after(time.Duration(s.loadRNG.ExpFloat64()*meanPrompt/(s.use*capacity)*float64(time.Millisecond)), s.arrive)
	entry, prompt := s.loadRNG.IntN(s.entries), 543+s.loadRNG.IntN(9190-543)
	s.result.calls++
	p := s.placers[entry]
	session := uint64(s.loadRNG.IntN(600))
	if s.isSkewed {
		u := s.loadRNG.Float64()
		session = uint64(600 * u * u * u)
	}
	var blocks []placer.PromptBlock
	if !s.isUnshared {
		blocks = []placer.PromptBlock{{ID: session % 4, Tokens: prompt / 5}, {ID: 100 + session, Tokens: prompt / 4}, {ID: s.loadRNG.Uint64(), Tokens: prompt - prompt/5 - prompt/4}}
	}
	if s.isTwoChoices {
		i := s.shorter(entry)
		s.pending[entry][i] += prompt
		s.process(i, prompt, blocks, func() { s.pending[entry][i] -= prompt })
		return
	}
	c, _, _ := p.Place(&placer.Request{
		Service: "desk", Domain: string(rune('a' + entry%3)), Prompt: prompt, Answer: 50, Blocks: blocks, KVSize: 1 << 30, MaxFirst: promptMaxFirst, MaxQueueTime: promptMaxFirst,
		Now: s.time(), Random: s.rng.Float64(),
	})
	if c == nil {
		s.result.refused++
		return
	}
	i := 0
	_, _ = fmt.Sscanf(c.Endpoint().ID, "e%d", &i)
	s.process(i, prompt, blocks, func() {
		if s.isReported {
			slowdown := s.slowdown(i, s.now)
			if i == 0 && s.lie > 0 {
				slowdown = s.lie
			}
			p.RecordLoad(c, placer.ReportedLoad{Running: 1, Slots: 64, Slowdown: slowdown}, s.time())
		}
		p.RecordFirst(c, s.time())
		p.End(c, placer.Answered, s.time())
	})
}

// shorter returns the endpoint with the shorter known queue of two.
func (s *promptSimulation) shorter(entry int) int {
	a, b := s.rng.IntN(s.endpoints), s.rng.IntN(s.endpoints)
	if s.peers[entry][b].PendingPrefill+s.pending[entry][b] < s.peers[entry][a].PendingPrefill+s.pending[entry][a] {
		return b
	}
	return a
}

// process processes a prompt after those that wait at the endpoint, without the blocks that are
// cached there.
func (s *promptSimulation) process(i, prompt int, blocks []placer.PromptBlock, ended func()) {
	work := prompt
	isCached := true
	for _, b := range blocks {
		if isCached = isCached && s.cached[i][b.ID]; isCached {
			work -= b.Tokens
		}
		s.cached[i][b.ID] = true
	}
	s.result.byEndpoint[i]++
	s.result.work += work
	arrived, began := s.now, max(s.now, s.freeAt[i])
	s.freeAt[i] = began + time.Duration(float64(work)/(promptRate*s.speed(i))*s.slowdown(i, began)*float64(time.Millisecond))
	s.after(s.freeAt[i]-s.now, func() {
		ended()
		s.result.first += s.now - arrived
		if s.now-arrived > promptMaxFirst {
			s.result.late++
		}
	})
}

func newPromptLoad() promptLoad {
	return promptLoad{entries: 64, endpoints: 60, use: 1, seed: 1, isShared: true, isReported: true}
}

// playSpeedPolicy plays a load with one of the policies that the design note compares.
func playSpeedPolicy(policy string, l promptLoad) promptResult {
	l.isShared, l.isReported = policy == "shared speeds", policy != "former"
	l.isExact, l.isTwoChoices = policy == "known speeds", policy == "two choices"
	return playPromptLoad(l)
}

// Guards against choices that ignore that endpoints differ, or that are worse than the former rule
// and than two choices. The log is the table of the design note.
func TestStaticSpeedClassesAndStalls(t *testing.T) {
	equal, classes, stalling, both, few := newPromptLoad(), newPromptLoad(), newPromptLoad(), newPromptLoad(), newPromptLoad()
	classes.speeds = []float64{0.6, 1, 1.6}
	stalling.stalls = 0.15
	both.speeds, both.stalls = classes.speeds, stalling.stalls
	skewed, unshared := both, both
	skewed.isSkewed, unshared.isUnshared, unshared.use = true, true, 0.75
	few.endpoints, few.speeds, few.stalls = 12, classes.speeds, stalling.stalls
	loads := map[string]promptLoad{
		"equal endpoints": equal, "static speed classes": classes, "moving stall": stalling, "speed classes and stalls": both,
		"speed classes and stalls, 12 endpoints": few,
		"speed classes and stalls, few sessions": skewed, "speed classes and stalls, nothing shared": unshared,
	}
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			results := make(map[string]promptResult)
			for _, policy := range []string{"former", "two choices", "small sample", "shared speeds", "known speeds"} {
				r := playSpeedPolicy(policy, l)
				results[policy] = r
				t.Logf("| %s | %s | %d | %d | %.2f | %d | %d |", name, policy, r.calls, r.refused, 100*r.lateShare(), r.meanFirst().Milliseconds(), r.work/max(r.calls-r.refused, 1))
			}
			chosen, former, two := results["shared speeds"], results["former"], results["two choices"]
			require.LessOrEqual(t, chosen.lateShare(), former.lateShare())
			require.LessOrEqual(t, chosen.lateShare(), two.lateShare()+0.005, "samples are drawn at random")
			require.Less(t, chosen.meanFirst(), former.meanFirst())
			if len(l.speeds) > 0 {
				require.True(t, chosen.speeds.IsUneven, "%+v", chosen.speeds)
			}
		})
	}
}

// Guards against an endpoint that attracts or loses most of its calls by a false slowdown.
func TestFalseSlowdown(t *testing.T) {
	truth := playPromptLoad(newPromptLoad())
	usual := float64(truth.calls) / float64(len(truth.byEndpoint))
	for name, lie := range map[string]float64{"always fast": 0.1, "always slow": 20} {
		t.Run(name, func(t *testing.T) {
			l := newPromptLoad()
			l.lie = lie
			r := playPromptLoad(l)
			t.Logf("%d calls at the endpoint, usually %.0f; %.2f %% late", r.byEndpoint[0], usual, 100*r.lateShare())
			require.Less(t, float64(r.byEndpoint[0]), 2*usual)
			require.Greater(t, float64(r.byEndpoint[0]), usual/4)
			require.Less(t, r.lateShare(), 0.01)
		})
	}
}

// Guards against other choices than before where endpoints report nothing and are equal.
func TestChoiceAmongEqualEndpoints(t *testing.T) {
	measured, former := placer.New(), placer.New()
	measured.SetEndpoints(newEndpoints(12, 64))
	former.SetEndpoints(newEndpoints(12, 64))
	rng := rand.New(rand.NewPCG(1, 1))
	now := start
	for session := range uint64(200) {
		now = now.Add(50 * time.Millisecond)
		loads, bare := make(map[int]placer.Load), make(map[int]placer.Load)
		for i := range 12 {
			l := placer.Load{InFlight: rng.IntN(9), PendingPrefill: rng.IntN(9000)}
			bare[i] = l
			l.PrefillTokens, l.PrefillTime = 200000+rng.IntN(40000), 5000
			loads[i] = l
		}
		measured.SetPeerLoads(loads, now)
		former.SetPeerLoads(bare, now)
		req := newRequest(now, session)
		req.Random = rng.Float64()
		a, _, _ := measured.Place(req)
		b, _, _ := former.Place(req)
		require.Equal(t, b.Endpoint().ID, a.Endpoint().ID)
		require.Equal(t, b.Predicted(), a.Predicted())
		for p, c := range map[*placer.Placer]*placer.Choice{measured: a, former: b} {
			p.RecordFirst(c, now.Add(100*time.Millisecond))
			p.End(c, placer.Answered, now.Add(100*time.Millisecond))
		}
	}
	require.False(t, measured.Speeds()["desk"].IsUneven)
}

// Guards against a refusal although one endpoint of a small service, which the sample can miss, is
// able to take the call.
func TestOnlyUsableEndpointIsFound(t *testing.T) {
	p := placer.New()
	list := newEndpoints(20, 64)
	p.SetEndpoints(list)
	c, _, _ := p.Place(newRequest(start, 1))
	p.RecordLoad(c, placer.ReportedLoad{Slots: 64, Slowdown: 1}, start)
	p.End(c, placer.Answered, start)
	for i := range list {
		list[i].Leaving = i != 7
	}
	p.SetEndpoints(list)
	for session := range uint64(50) {
		req := newRequest(start, session)
		req.Blocks = nil
		c, refusal, _ := p.Place(req)
		require.Equal(t, placer.RefusedNone, refusal)
		require.Equal(t, "e7", c.Endpoint().ID)
		p.End(c, placer.Answered, start)
	}
}

// Guards against measurements of something else than the speed.
func TestPrefillIsMeasuredWhereItIsKnown(t *testing.T) {
	cases := map[string]struct {
		change  func(e *placer.Endpoint, req *placer.Request)
		queued  int
		took    time.Duration
		outcome placer.Outcome
		isKnown bool
	}{
		"prompt":                 {nil, 0, 100 * time.Millisecond, placer.Answered, true},
		"short queue":            {nil, 1000, 125 * time.Millisecond, placer.Answered, true},
		"long queue":             {nil, 9000, 300 * time.Millisecond, placer.Answered, false},
		"small prompt":           {func(_ *placer.Endpoint, req *placer.Request) { req.Prompt, req.Blocks = 500, nil }, 0, 100 * time.Millisecond, placer.Answered, false},
		"cold endpoint":          {func(e *placer.Endpoint, _ *placer.Request) { e.ColdUntil = 1 }, 0, 100 * time.Millisecond, placer.Answered, false},
		"answered at once":       {nil, 0, time.Millisecond, placer.Answered, false},
		"failed":                 {nil, 0, 100 * time.Millisecond, placer.Failed, false},
		"caller that left early": {nil, 0, 100 * time.Millisecond, placer.Abandoned, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p, list, req := placer.New(), newEndpoints(1, 64), newRequest(start, 1)
			if tc.change != nil {
				tc.change(&list[0], req)
			}
			p.SetEndpoints(list)
			p.SetPeerLoads(map[int]placer.Load{0: {PendingPrefill: tc.queued}}, start)
			c, refusal, _ := p.Place(req)
			require.Equal(t, placer.RefusedNone, refusal)
			now := start.Add(tc.took)
			if tc.outcome == placer.Answered {
				p.RecordFirst(c, now)
			}
			p.End(c, tc.outcome, now)
			require.Equal(t, tc.isKnown, len(p.Prefills(now)) > 0)
			if tc.isKnown {
				require.Equal(t, placer.Load{PrefillTokens: 4000 + tc.queued, PrefillTime: int(tc.took.Milliseconds())}, p.Prefills(now)[0])
				require.Empty(t, p.Prefills(now.Add(time.Hour)), "old measurements are forgotten")
			}
		})
	}
}
