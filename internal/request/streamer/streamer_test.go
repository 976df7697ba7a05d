package streamer_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/request/streamer"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

func answer(n int) []string {
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("t%d", i)
	}
	return tokens
}

type engine struct {
	source  int
	emitted int // number of tokens sent
}

// Engines are replaced, repeat or skip tokens, and continue to send after they were
// replaced; the stream is handed over; readers read at different speeds. Each reader must
// receive every token exactly once and in order, up to the complete answer.
func TestReadersGetEachTokenOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := answer(rapid.IntRange(1, 30).Draw(t, "max"))
		stream := streamer.New(streamer.Record{Customer: "masons", Name: "n", Prompt: "p", Max: len(want)})
		var engines []engine
		got := [][]string{{}, {}, {}}
		attach := func() {
			source, after := stream.Attach()
			if source == 0 {
				return // the stream has ended
			}
			require.Equal(t, want[:len(after)], after)
			engines = append(engines, engine{source: source, emitted: len(after)})
		}
		emit := func(e *engine, position int) {
			token := "junk"
			if position <= len(want) {
				token = want[position-1]
			}
			if e != &engines[len(engines)-1] {
				token = "stale"
			}
			if stream.Accept(e.source, position, token) == streamer.Accepted {
				e.emitted = position
			}
		}
		attach()
		t.Repeat(map[string]func(*rapid.T){
			"attach": func(*rapid.T) { attach() },
			"token": func(t *rapid.T) {
				e := &engines[rapid.IntRange(0, len(engines)-1).Draw(t, "engine")]
				emit(e, max(e.emitted+rapid.IntRange(-1, 2).Draw(t, "step"), 1))
			},
			"finish": func(t *rapid.T) {
				e := engines[rapid.IntRange(0, len(engines)-1).Draw(t, "engine")]
				if e.emitted == len(want) {
					stream.Finish(epoch, e.source, e.emitted)
				}
			},
			"read": func(t *rapid.T) {
				i := rapid.IntRange(0, len(got)-1).Draw(t, "reader")
				tokens, _, _ := stream.Read(len(got[i]), rapid.IntRange(1, 5).Draw(t, "limit"))
				got[i] = append(got[i], tokens...)
			},
			"hand over": func(t *rapid.T) {
				record, ok := stream.Hold()
				if !ok {
					return
				}
				old := &engines[len(engines)-1]
				require.Equal(t, streamer.Stale, stream.Accept(old.source, old.emitted+1, "late"))
				stream.SetMoved(epoch)
				data, err := streamer.Encode(record)
				require.NoError(t, err)
				record, err = streamer.Decode(data)
				require.NoError(t, err)
				stream = streamer.New(record)
				engines = engines[:0]
				attach()
			},
			"": func(t *rapid.T) {
				for _, tokens := range got {
					require.Equal(t, want[:len(tokens)], tokens)
				}
			},
		})
		if stream.State() == streamer.Running {
			attach()
			e := &engines[len(engines)-1]
			for e.emitted < len(want) {
				emit(e, e.emitted+1)
			}
			require.Equal(t, streamer.Accepted, stream.Finish(epoch, e.source, len(want)))
		}
		for i := range got {
			for {
				tokens, state, _ := stream.Read(len(got[i]), 4)
				got[i] = append(got[i], tokens...)
				if state != streamer.Running {
					require.Equal(t, streamer.Finished, state)
					break
				}
			}
			require.Equal(t, want, got[i])
		}
	})
}

func TestFinishRequiresAllTokens(t *testing.T) {
	stream := streamer.New(streamer.Record{Max: 3})
	source, _ := stream.Attach()
	stream.Accept(source, 1, "a")
	require.Equal(t, streamer.Gap, stream.Finish(epoch, source, 2))
	require.Equal(t, streamer.Running, stream.State())
	require.Equal(t, streamer.Overflow, func() streamer.EventResult {
		stream.Accept(source, 2, "b")
		stream.Accept(source, 3, "c")
		return stream.Accept(source, 4, "d")
	}())
}

// naivePlan computes the cost of every option and returns the cheapest possible one.
func naivePlan(s streamer.PlanInput) streamer.Action {
	type option struct {
		action   streamer.Action
		possible bool
		cost     time.Duration
	}
	const margin = 250 * time.Millisecond
	fits := func(d time.Duration) bool { return s.TerminatesAt.IsZero() || s.TerminatesAt.Sub(s.Now) >= d+margin }
	wait := s.Silence + time.Duration(s.RemainingTokens)*s.Next
	decode := time.Duration(s.RemainingTokens) * s.AlternativeNext
	options := []option{
		{streamer.Wait, !s.Lost && fits(wait), wait},
		{streamer.Import, !s.Lost && s.HasAlternative && s.CopyTime > 0 && fits(s.CopyTime), s.CopyTime + s.AlternativeFirstCopied + decode},
		{streamer.Prefill, s.HasAlternative, s.AlternativeFirst + decode + time.Duration(s.Recomputed)*s.WordCost},
	}
	options = slices.DeleteFunc(options, func(w option) bool { return !w.possible })
	if len(options) == 0 {
		if s.Lost {
			return streamer.Abandon
		}
		return streamer.Wait
	}
	return slices.MinFunc(options, func(a, b option) int { return int(a.cost - b.cost) }).action
}

func TestPlanMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
		}
		s := streamer.PlanInput{
			Now: epoch, Lost: rapid.Bool().Draw(t, "lost"), Silence: ms("silence", 3000),
			RemainingTokens: rapid.IntRange(0, 200).Draw(t, "remaining"), Next: ms("next", 80), HasAlternative: rapid.Bool().Draw(t, "elsewhere"),
			AlternativeFirst: ms("first", 2000), AlternativeFirstCopied: ms("copied", 300), AlternativeNext: ms("there", 80), CopyTime: ms("copy", 1000),
			Recomputed: rapid.IntRange(0, 3000).Draw(t, "words"), WordCost: time.Duration(rapid.IntRange(0, 1000).Draw(t, "cost")) * time.Microsecond,
		}
		if rapid.Bool().Draw(t, "leaving") {
			s.TerminatesAt = epoch.Add(ms("until", 10000))
		}
		require.Equal(t, naivePlan(s), streamer.ChoosePlan(s).Action())
	})
}

func TestPlans(t *testing.T) {
	base := streamer.PlanInput{
		Now: epoch, RemainingTokens: 100, Next: 40 * time.Millisecond, HasAlternative: true, AlternativeFirst: 800 * time.Millisecond,
		AlternativeFirstCopied: 50 * time.Millisecond, AlternativeNext: 40 * time.Millisecond, CopyTime: 200 * time.Millisecond,
		Recomputed: 1500, WordCost: 500 * time.Microsecond,
	}
	cases := map[string]struct {
		change func(*streamer.PlanInput)
		want   streamer.Action
	}{
		"notice long enough to finish": {func(s *streamer.PlanInput) { s.TerminatesAt = epoch.Add(10 * time.Second) }, streamer.Wait},
		"notice long enough to copy":   {func(s *streamer.PlanInput) { s.TerminatesAt = epoch.Add(2 * time.Second) }, streamer.Import},
		"notice too short to copy":     {func(s *streamer.PlanInput) { s.TerminatesAt = epoch.Add(300 * time.Millisecond) }, streamer.Prefill},
		"killed":                       {func(s *streamer.PlanInput) { s.Lost = true }, streamer.Prefill},
		"killed, no other engine":      {func(s *streamer.PlanInput) { s.Lost, s.HasAlternative = true, false }, streamer.Abandon},
		"leaving, no other engine":     {func(s *streamer.PlanInput) { s.TerminatesAt, s.HasAlternative = epoch, false }, streamer.Wait},
		"silent for a moment":          {func(s *streamer.PlanInput) { s.Silence, s.CopyTime = 300*time.Millisecond, 0 }, streamer.Wait},
		"silent longer than a prefill": {func(s *streamer.PlanInput) { s.Silence, s.CopyTime = 2*time.Second, 0 }, streamer.Prefill},
		"slow":                         {func(s *streamer.PlanInput) { s.Next, s.CopyTime = 400*time.Millisecond, 0 }, streamer.Prefill},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := base
			tc.change(&s)
			require.Equal(t, tc.want, streamer.ChoosePlan(s).Action())
		})
	}
}

func TestRegistrySeparatesCustomers(t *testing.T) {
	r := streamer.NewRegistry(1 << 20)
	first, result := r.Begin(streamer.Record{Customer: "masons", Name: "key:1", Prompt: "a", Max: 2})
	require.Equal(t, streamer.Started, result)
	other, result := r.Begin(streamer.Record{Customer: "depots", Name: "key:1", Prompt: "a", Max: 2})
	require.Equal(t, streamer.Started, result)
	require.NotSame(t, first, other)
	again, result := r.Begin(streamer.Record{Customer: "masons", Name: "key:1", Prompt: "a", Max: 2})
	require.Equal(t, streamer.Joined, result)
	require.Same(t, first, again)
	_, result = r.Begin(streamer.Record{Customer: "masons", Name: "key:1", Prompt: "b", Max: 2})
	require.Equal(t, streamer.Mismatch, result)
	_, found := r.Find("clerks", "key:1")
	require.False(t, found)
	first.Fail(epoch, streamer.Failure{})
	require.Len(t, r.Running(), 1)
	r.Sweep(epoch.Add(streamer.EndedRetention + time.Second))
	_, found = r.Find("masons", "key:1")
	require.False(t, found)
}

func TestRegistryMemoryIsBounded(t *testing.T) {
	const limit = 16 << 10
	r := streamer.NewRegistry(limit)
	full := 0
	for i := range 2000 {
		stream, result := r.Begin(streamer.Record{Customer: "masons", Name: fmt.Sprint(i), Prompt: string(make([]byte, 100)), Max: 2})
		if result == streamer.Full {
			full++
			continue
		}
		if i%2 == 0 {
			stream.Fail(epoch.Add(time.Duration(i)), streamer.Failure{})
		}
	}
	require.Positive(t, full)
	require.LessOrEqual(t, len(r.Running())*100, limit+16*100)
}

func TestNodeOrderIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringMatching(`e[0-9]{1,3}`), 2, 8, rapid.ID).Draw(t, "nodes")
		name := rapid.String().Draw(t, "name")
		order := streamer.RankNodes(nodes, "masons", name)
		require.Equal(t, order, streamer.RankNodes(rapid.Permutation(nodes).Draw(t, "order"), "masons", name))
		removed := rapid.SampledFrom(nodes).Draw(t, "removed")
		rest := slices.DeleteFunc(slices.Clone(order), func(n string) bool { return n == removed })
		require.Equal(t, rest, streamer.RankNodes(slices.DeleteFunc(slices.Clone(nodes), func(n string) bool { return n == removed }), "masons", name))
	})
}

func ExampleStream() {
	stream := streamer.New(streamer.Record{Customer: "masons", Name: "key:7", Prompt: "a b c", Max: 3})
	first, _ := stream.Attach()
	stream.Accept(first, 1, "red")
	second, after := stream.Attach() // the first engine was lost
	fmt.Println("resume after", after)
	fmt.Println("late token dropped:", stream.Accept(first, 2, "junk") == streamer.Stale)
	stream.Accept(second, 2, "stone")
	tokens, _, _ := stream.Read(0, 10)
	fmt.Println(tokens)
	// Output:
	// resume after [red]
	// late token dropped: true
	// [red stone]
}
