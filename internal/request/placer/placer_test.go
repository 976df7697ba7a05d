package placer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/request/placer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func newEndpoints(n, slots int) []placer.Endpoint {
	out := make([]placer.Endpoint, n)
	for i := range out {
		out[i] = placer.Endpoint{
			ID: fmt.Sprintf("e%d", i), Service: "desk", Domain: string(rune('a' + i%3)), Version: "v1", Slots: slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}
	}
	return out
}

func newRequest(now time.Time, session uint64) *placer.Request {
	return &placer.Request{
		Service: "desk", Domain: "a", Prompt: 4000, Answer: 100, KVSize: 300000, MaxFirst: 2 * time.Second, MaxQueueTime: time.Second, Now: now,
		Blocks: []placer.PromptBlock{{ID: session % 4, Tokens: 1000}, {ID: 100 + session, Tokens: 2000}, {ID: rand.Uint64(), Tokens: 1000}},
	}
}

// Nodes that do not communicate send prompts with the same blocks to the same
// endpoint.
func TestNodesAgreeOnAffinityEndpoint(t *testing.T) {
	for _, n := range []int{9, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			one, two := placer.New(), placer.New()
			one.SetEndpoints(newEndpoints(n, 64))
			two.SetEndpoints(newEndpoints(n, 64))
			same := 0
			for session := range uint64(50) {
				a, _, _ := one.Place(newRequest(start, session))
				b, _, _ := two.Place(newRequest(start, session))
				if a.Endpoint().ID == b.Endpoint().ID {
					same++
				}
				one.End(a, placer.Answered, start)
				two.End(b, placer.Answered, start)
			}
			require.Greater(t, same, 40)
		})
	}
}

// A single session that receives all calls must not overload its affinity endpoint:
// the calls spill over to other endpoints before they queue for long.
func TestHotKeySpillsOver(t *testing.T) {
	p := placer.New()
	p.SetEndpoints(newEndpoints(9, 64))
	used := make(map[string]int)
	for range 60 {
		c, refusal, _ := p.Place(newRequest(start, 7))
		if refusal == placer.RefusedNone {
			used[c.Endpoint().ID]++
		}
	}
	require.Greater(t, len(used), 4)
}

// Unreachable endpoints, for example in a failed domain, get no calls for a while and
// are then tried again.
func TestUnreachableEndpointIsEjected(t *testing.T) {
	p := placer.New()
	p.SetEndpoints(newEndpoints(2, 64))
	first, _, _ := p.Place(newRequest(start, 1))
	p.End(first, placer.Unreached, start)
	for range 5 {
		c, _, _ := p.Place(newRequest(start, 1))
		require.NotEqual(t, first.Endpoint().ID, c.Endpoint().ID)
		p.End(c, placer.Answered, start)
	}
	later := start.Add(time.Minute)
	again := false
	for session := range uint64(20) {
		c, _, _ := p.Place(newRequest(later, session))
		again = again || c.Endpoint().ID == first.Endpoint().ID
		p.End(c, placer.Answered, later)
	}
	require.True(t, again)
}

// An endpoint that fails some of its calls without being down gets fewer calls.
func TestFailingEndpointGetsFewerCalls(t *testing.T) {
	p := placer.New()
	p.SetEndpoints(newEndpoints(3, 64))
	counts := make(map[string]int)
	for session := range uint64(300) {
		c, _, _ := p.Place(newRequest(start, session))
		counts[c.Endpoint().ID]++
		outcome := placer.Answered
		if c.Endpoint().ID == "e0" && session%2 == 0 {
			outcome = placer.Failed
		}
		p.End(c, outcome, start)
	}
	require.Less(t, counts["e0"], 60, "%v", counts)
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		change   func(a *placer.Request)
		list     []placer.Endpoint
		inFlight int // calls already in flight
		refusal  placer.Refusal
	}{
		"placed":           {func(*placer.Request) {}, newEndpoints(1, 64), 0, placer.RefusedNone},
		"no endpoint":      {func(*placer.Request) {}, nil, 0, placer.RefusedEmpty},
		"another service":  {func(a *placer.Request) { a.Service = "app" }, newEndpoints(1, 64), 0, placer.RefusedEmpty},
		"tried before":     {func(a *placer.Request) { a.Exclude = []string{"e0"} }, newEndpoints(1, 64), 0, placer.RefusedEmpty},
		"other version":    {func(a *placer.Request) { a.Version = "v2" }, newEndpoints(1, 64), 0, placer.RefusedEmpty},
		"unwanted version": {func(a *placer.Request) { a.Unwanted = []string{"v1"} }, newEndpoints(1, 64), 0, placer.RefusedEmpty},
		"no slot":          {func(a *placer.Request) { a.Prompt = 10 }, newEndpoints(1, 3), 4, placer.RefusedFull},
		"too late":         {func(a *placer.Request) { a.MaxFirst = time.Millisecond }, newEndpoints(1, 64), 0, placer.RefusedLate},
		"waits too long":   {func(a *placer.Request) { a.MaxQueueTime = 100 * time.Millisecond }, newEndpoints(1, 64), 5, placer.RefusedLate},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := placer.New()
			p.SetEndpoints(tc.list)
			for i := range tc.inFlight {
				_, refusal, _ := p.Place(newRequest(start, uint64(i)))
				require.Equal(t, placer.RefusedNone, refusal)
			}
			req := newRequest(start, 99)
			tc.change(req)
			_, refusal, wait := p.Place(req)
			require.Equal(t, tc.refusal, refusal)
			require.Equal(t, tc.refusal == placer.RefusedLate, wait > 0)
		})
	}
}

// A leaving endpoint gets no new calls, and loads reported by other nodes count.
func TestLeavingEndpointsAndPeerLoads(t *testing.T) {
	p := placer.New()
	list := newEndpoints(2, 64)
	list[0].Leaving = true
	p.SetEndpoints(list)
	p.SetPeerLoads(map[int]placer.Load{1: {InFlight: 80}}, start)
	_, refusal, _ := p.Place(newRequest(start, 1))
	require.Equal(t, placer.RefusedFull, refusal)
	c, refusal, _ := p.Place(newRequest(start.Add(3*time.Second), 1))
	require.Equal(t, placer.RefusedNone, refusal, "an outdated report is ignored")
	require.Equal(t, "e1", c.Endpoint().ID)
}

// Whatever the sequence of events, the recorded loads return to zero when all calls
// have ended.
func TestLoadsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := placer.New()
		p.SetEndpoints(newEndpoints(4, 8))
		var running []*placer.Choice
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch n := len(running); rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				if c, refusal, _ := p.Place(newRequest(now, rapid.Uint64Range(0, 9).Draw(t, "session"))); refusal == placer.RefusedNone {
					running = append(running, c)
				}
			case 2:
				if n > 0 {
					p.RecordFirst(running[rapid.IntRange(0, n-1).Draw(t, "first")], now)
				}
			default:
				if n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "ended")
					p.End(running[i], placer.Outcome(rapid.IntRange(0, 5).Draw(t, "outcome")), now)
					running = append(running[:i], running[i+1:]...)
				}
			}
		}
		for _, c := range running {
			p.End(c, placer.Abandoned, now)
		}
		require.Empty(t, p.Loads())
	})
}

// The endpoint of a call in flight is read without the placer's lock, so a list that
// replaces the endpoints meanwhile must not change it.
func TestChoiceIsReadWhileEndpointsAreReplaced(t *testing.T) {
	p := placer.New()
	list := newEndpoints(1, 64)
	p.SetEndpoints(list)
	c, refusal, _ := p.Place(newRequest(start, 1))
	require.Equal(t, placer.RefusedNone, refusal)
	changed := newEndpoints(1, 64)
	changed[0].Version = "another version"
	r := &endpointsReplacer{placer: p, lists: [][]placer.Endpoint{changed, list}, done: make(chan struct{})}
	go r.run()
	for range 1000 {
		require.Equal(t, list[0], c.Endpoint())
	}
	<-r.done
	p.End(c, placer.Answered, start)
}

type endpointsReplacer struct {
	placer *placer.Placer
	lists  [][]placer.Endpoint
	done   chan struct{}
}

func (r *endpointsReplacer) run() {
	defer close(r.done)
	for i := range 1000 {
		r.placer.SetEndpoints(r.lists[i%len(r.lists)])
	}
}
