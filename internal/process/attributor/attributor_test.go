package attributor_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/attributor"
)

const reportInterval = 250 * time.Millisecond

var start = time.Unix(1000, 0)

func key(block uint64) attributor.Key { return attributor.Key{Service: "desk", Block: block} }

// crashOf returns the report of a crash in which calls with the given blocks, in the order of their prompt, broke off.
// They were sent 0.1 s before.
func crashOf(endpoint string, at time.Time, blocks ...uint64) *attributor.Crash {
	c := &attributor.Crash{Endpoint: endpoint, At: at}
	for depth, b := range blocks {
		c.Exposures = append(c.Exposures, attributor.Exposure{Key: key(b), Depth: depth, StartedAt: at.Add(-100 * time.Millisecond)})
	}
	return c
}

// scenario advances a core in steps of a report interval.
type scenario struct {
	core *attributor.Core
	now  time.Time
}

func newScenario() *scenario { return &scenario{core: attributor.New(), now: start} }

// wait advances the time and returns the blocks that were isolated meanwhile.
func (s *scenario) wait(d time.Duration) []uint64 {
	var out []uint64
	for until := s.now.Add(d); s.now.Before(until); s.now = s.now.Add(reportInterval) {
		if i, ok := s.core.Review(s.now, attributor.Reports{Interval: reportInterval, MinInterval: reportInterval}); ok {
			out = append(out, i.Key.Block)
		}
	}
	return out
}

func (s *scenario) answer(block uint64) { s.core.Answer(attributor.Answer{Key: key(block), At: s.now}) }

// Requests with one prompt block crashed one endpoint after the other: nothing linked the crashes to the block.
func TestBlockThatCrashesEndpointsIsIsolated(t *testing.T) {
	const common, subject, deadly = 1, 2, 3
	s := newScenario()
	var isolated []uint64
	for i := range 5 {
		s.core.Add(crashOf(fmt.Sprint("e", i), s.now, common, subject, deadly), "entry")
		isolated = append(isolated, s.wait(500*time.Millisecond)...)
		s.answer(common)
	}
	isolated = append(isolated, s.wait(time.Second)...)
	require.Equal(t, []uint64{deadly}, isolated, "of blocks that are always together the last one")
	require.Equal(t, key(deadly), s.core.Isolations(s.now)[0].Key)
}

func TestSoundBlocksAreNotIsolated(t *testing.T) {
	cases := map[string]func(s *scenario){
		"a failure domain is lost": func(s *scenario) {
			for i := range 20 {
				s.core.Add(crashOf(fmt.Sprint("e", i), s.now.Add(time.Duration(i)*time.Millisecond), 1, 2), "entry")
			}
		},
		"calls are answered between crashes": func(s *scenario) {
			for i := range 20 {
				s.core.Add(crashOf(fmt.Sprint("e", i), s.now, 1), "entry")
				s.wait(time.Second)
				s.answer(1)
			}
		},
		"the same crash is reported by many entries, many times": func(s *scenario) {
			at := s.now
			for range 20 {
				c := crashOf("e1", at, 1, 2)
				at = at.Add(10 * time.Millisecond)
				s.core.Add(c, "entry")
				s.wait(reportInterval)
				s.core.Add(c, "entry")
			}
		},
		"two crashes": func(s *scenario) {
			s.core.Add(crashOf("e1", s.now, 1, 2), "entry")
			s.wait(time.Second)
			s.core.Add(crashOf("e2", s.now, 1, 2), "entry")
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScenario()
			run(s)
			require.Empty(t, s.wait(5*time.Second))
			require.Empty(t, s.core.Isolations(s.now))
		})
	}
}

func isolate(s *scenario, block uint64) []uint64 {
	var out []uint64
	for i := range 3 {
		s.core.Add(crashOf(fmt.Sprint("x", block, "-", i), s.now, block), "entry")
		out = append(out, s.wait(time.Second)...)
	}
	return append(out, s.wait(time.Second)...)
}

func TestIsolationEnds(t *testing.T) {
	s := newScenario()
	require.Equal(t, []uint64{7}, isolate(s, 7))
	s.answer(7)
	require.Empty(t, s.core.Isolations(s.now), "a call with the block was answered")

	require.Equal(t, []uint64{7}, isolate(s, 7))
	until := s.core.Isolations(s.now)[0].Until
	s.now = until.Add(time.Second)
	require.Empty(t, s.core.Isolations(s.now), "the time is over")
	s.wait(time.Second)
	s.core.Add(crashOf("again", s.now, 7), "entry")
	require.Equal(t, []uint64{7}, s.wait(2*time.Second), "one more crash isolates it again")
	require.Greater(t, s.core.Isolations(s.now)[0].Until.Sub(s.now), until.Sub(start), "and for longer")
}

// A new leader learns what an earlier one isolated from the entries.
func TestIsolationsSurviveTheLeader(t *testing.T) {
	s := newScenario()
	isolate(s, 7)
	next := attributor.New()
	next.Adopt(s.core.Isolations(s.now), s.now)
	require.Equal(t, s.core.Isolations(s.now), next.Isolations(s.now))
	next.Adopt(s.core.Isolations(s.now), s.now.Add(time.Hour))
	require.Empty(t, next.Isolations(s.now.Add(time.Hour)))
}

// Endpoints crash under calls with a deadly block, while calls with sound blocks share endpoints with them: the
// deadly block is isolated after few crashes, and no sound block ever is.
func TestOnlyTheDeadlyBlockIsIsolated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const deadly, endpoints, prompts = 1000, 12, 40
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		share := rapid.Float64Range(0.02, 0.3).Draw(t, "share")
		s := newScenario()
		crashes := 0
		type call struct {
			endpoint int
			blocks   []uint64
			sent     time.Time
		}
		var running []call
		downUntil := make([]time.Time, endpoints)
		for step := 0; step < 400 && len(s.core.Isolations(s.now)) == 0; step++ {
			for range 4 {
				// A few common blocks, many rare ones, and now and then the deadly one.
				c := call{random.IntN(endpoints), []uint64{random.Uint64N(4), 10 + random.Uint64N(prompts)}, s.now}
				if random.Float64() < share {
					c.blocks = append(c.blocks, deadly)
				}
				if s.now.After(downUntil[c.endpoint]) {
					running = append(running, c)
				}
			}
			s.now = s.now.Add(50 * time.Millisecond)
			crashing := make(map[int]bool)
			for _, c := range running {
				if len(c.blocks) == 3 && s.now.Sub(c.sent) >= 100*time.Millisecond {
					crashing[c.endpoint] = true
				}
			}
			for e := range crashing {
				crashes++
				downUntil[e] = s.now.Add(3 * time.Second)
			}
			rest := running[:0]
			for _, c := range running {
				switch {
				case crashing[c.endpoint]:
					report := crashOf(fmt.Sprint(c.endpoint), s.now, c.blocks...)
					for i := range report.Exposures {
						report.Exposures[i].StartedAt = c.sent
					}
					s.core.Add(report, "entry")
				case s.now.Sub(c.sent) >= 400*time.Millisecond:
					for _, b := range c.blocks {
						s.answer(b)
					}
				default:
					rest = append(rest, c)
				}
			}
			running = rest
			s.core.Review(s.now, attributor.Reports{Interval: reportInterval, MinInterval: reportInterval})
		}
		for _, i := range s.core.Isolations(s.now) {
			require.EqualValues(t, deadly, i.Key.Block, "after %d crashes", crashes)
		}
		if crashes > 40 {
			require.NotEmpty(t, s.core.Isolations(s.now), "after %d crashes", crashes)
		}
	})
}
