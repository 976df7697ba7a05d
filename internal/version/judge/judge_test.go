package judge

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// version is the behavior of one version in a simulated second.
type version struct {
	failure float64
	slow    float64 // factor on latencies
}

// simulate passes one block a second to a judge and returns the block in which the verdict became Bad, or 0.
func simulate(j *Judge, rng *rand.Rand, blocks int, share float64, behave func(block int, route string) (old, latest version)) int {
	table := make(Table)
	for i := 1; i <= blocks; i++ {
		for _, route := range []string{"answers", "summaries"} {
			old, latest := behave(i, route)
			for range 10 {
				p := table.pair(route)
				if rng.Float64() < share {
					recordCall(rng, &p.latest, latest)
				} else {
					recordCall(rng, &p.old, old)
				}
			}
		}
		j.Observe(1, table)
		if j.Verdict(nil, 0).Outcome() == Bad {
			return i
		}
	}
	return 0
}

func recordCall(rng *rand.Rand, c *Counts, v version) {
	c.started++
	first := time.Duration(float64(80*time.Millisecond) * v.slow * (0.5 + rng.ExpFloat64()))
	c.record(Result{Failed: rng.Float64() < v.failure, First: first, Next: first / 8, Total: 5 * first})
}

var bothRoutes = []string{"answers", "summaries"}

func TestFalseAlarmsStayWithinAlpha(t *testing.T) {
	config := DefaultConfig()
	config.Alpha = 0.1
	const moves = 600
	alarms := 0
	for seed := range uint64(moves) {
		rng := rand.New(rand.NewPCG(seed, 7))
		level, share := 0.002+0.2*rng.Float64(), 0.02+0.88*rng.Float64()
		behave := func(block int, route string) (version, version) {
			v := version{failure: level, slow: 1 + float64(block%40)/20}
			if route == "answers" {
				v.failure /= 4
			}
			return v, v
		}
		if simulate(New(config, bothRoutes), rng, 120, share, behave) > 0 {
			alarms++
		}
	}
	t.Logf("%d false alarms in %d moves at alpha %g", alarms, moves, config.Alpha)
	require.LessOrEqual(t, float64(alarms), config.Alpha*moves, "false alarms in %d moves", moves)
}

func TestBadVersionsAreFound(t *testing.T) {
	tests := map[string]struct {
		share  float64
		within int // blocks after the fault begins
		begin  int
		bad    version
		route  string
		kind   Kind
	}{
		"fails at once":          {share: 0.1, within: 10, begin: 1, bad: version{failure: 1, slow: 1}, kind: Failure},
		"fails later":            {share: 0.5, within: 15, begin: 60, bad: version{failure: 0.3, slow: 1}, kind: Failure},
		"fails on one route":     {share: 0.3, within: 15, begin: 1, bad: version{failure: 0.4, slow: 1}, route: "answers", kind: Failure},
		"slow instead of failed": {share: 0.3, within: 60, begin: 20, bad: version{failure: 0.001, slow: 3}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			j := New(DefaultConfig(), bothRoutes)
			good := version{failure: 0.001, slow: 1}
			at := simulate(j, rand.New(rand.NewPCG(3, 3)), tt.begin+tt.within, tt.share, func(block int, route string) (version, version) {
				if block < tt.begin || (tt.route != "" && route != tt.route) {
					return good, good
				}
				return good, tt.bad
			})
			require.GreaterOrEqual(t, at, tt.begin)
			f := j.Verdict(nil, 0).Fault()
			require.GreaterOrEqual(t, f.Value, f.Limit)
			if tt.kind != "" {
				require.Equal(t, tt.kind, f.Kind)
			}
		})
	}
}

// The mean e-value of a block over all outcomes, calculated by enumeration, is at most one for every common
// rate and for every better new version.
func TestBlockValueIsFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.001, 0.9).Draw(t, "old")
		better := rate * rapid.Float64Range(0.01, 1).Draw(t, "ratio")
		base := rapid.Float64Range(0.001, 0.9).Draw(t, "base")
		effect := rapid.SampledFrom(failureEffects).Draw(t, "effect")
		old, latest := rapid.IntRange(1, 8).Draw(t, "oldCalls"), rapid.IntRange(1, 8).Draw(t, "newCalls")
		mean := 0.0
		for i := 0; i <= old; i++ {
			for k := 0; k <= latest; k++ {
				b := block{
					oldCalls: float64(old), oldHits: float64(i),
					newCalls: float64(latest), newHits: float64(k), base: base,
				}
				mean += binomial(old, i, rate) * binomial(latest, k, better) * b.eValue(effect)
			}
		}
		require.LessOrEqual(t, mean, 1+1e-9)
	})
}

func binomial(n, k int, p float64) float64 {
	v := 1.0
	for i := range k {
		v *= float64(n-i) / float64(i+1) * p
	}
	for range n - k {
		v *= 1 - p
	}
	return v
}

// Digests that arrive twice, late or not at all give the same sums as a plain count of all calls, once the last
// digest of each incarnation has arrived.
func TestTallyDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent [][]byte
		limit := rapid.SampledFrom([]int{100, 1000}).Draw(t, "limit")
		reference := make(Table)
		for i := range rapid.IntRange(1, 5).Draw(t, "incarnations") {
			r := NewRecorder(fmt.Sprintf("entry%d", i%2), uint64(i), GuardConfig(0.005, 16))
			r.Follow(Subject{Move: 9, Epoch: 2, Service: "pumice", From: "12", To: "13", Routes: bothRoutes})
			for range rapid.IntRange(1, 20).Draw(t, "calls") {
				route := rapid.SampledFrom(bothRoutes).Draw(t, "route")
				result := Result{Failed: rapid.Bool().Draw(t, "failed"), Total: 7 * time.Millisecond}
				r.Begin("pumice", route, "13")
				r.Record("pumice", route, "13", result)
				reference.pair(route).latest.started++
				reference.pair(route).latest.record(result)
				reference.pair(route).events += 2
				b, err := r.Encode(limit)
				require.NoError(t, err)
				require.LessOrEqual(t, len(b), limit)
				sent = append(sent, b)
			}
			b, err := r.Encode(limit)
			require.NoError(t, err)
			sent = append(sent, b)
		}
		tally := NewTally(9, 2)
		for _, b := range rapid.Permutation(append(sent, sent...)).Draw(t, "order") {
			d, err := DecodeDigest(b)
			require.NoError(t, err)
			require.NoError(t, tally.Merge(d))
		}
		require.Equal(t, reference, tally.Table())
	})
}

func TestGuardTripsAndStaysSo(t *testing.T) {
	r := NewRecorder("a", 1, GuardConfig(0.005, 16))
	s := Subject{Move: 9, Epoch: 1, Service: "pumice", From: "12", To: "13", Routes: bothRoutes}
	r.Follow(s)
	for i := range 40 {
		r.Begin("pumice", "answers", "12")
		r.Record("pumice", "answers", "12", Result{Total: time.Second})
		if i%8 == 0 {
			r.Begin("pumice", "answers", "13")
			r.Record("pumice", "answers", "13", Result{Failed: true})
			r.Check()
		}
	}
	require.True(t, r.Tripped("pumice", 9))
	s.Epoch = 2
	r.Follow(s)
	require.True(t, r.Tripped("pumice", 9), "a new epoch does not reset the guard")
	tally := NewTally(9, 5)
	require.NoError(t, tally.Merge(r.Digest()))
	_, tripped := tally.Tripped()
	require.True(t, tripped, "a reported fault is kept in every epoch")
}

func TestMalformedDigestsAreRefused(t *testing.T) {
	for name, pairs := range map[string][]uint64{
		"odd": {1}, "beyond the last bucket": {Buckets, 1}, "distances beyond the last bucket": {79, 1, 79, 1}, "overflow": {1, 1, ^uint64(0), 1},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeHistogram(pairs)
			require.ErrorIs(t, err, errMalformedDigest)
		})
	}
	_, err := DecodeDigest([]byte("no"))
	require.ErrorIs(t, err, errMalformedDigest)
}

func ExampleJudge() {
	j := New(DefaultConfig(), []string{"answers"})
	table := make(Table)
	for range 5 {
		p := table.pair("answers")
		for range 20 {
			p.old.record(Result{Total: time.Second})
		}
		p.latest.record(Result{Failed: true})
		j.Observe(1, table)
	}
	v := j.Verdict([]string{"answers"}, 60)
	fmt.Println(v.Outcome(), v.Fault().Route, v.Fault().Kind)
	// Output: bad answers failure
}

// The digest of a busy entry fits into one gossip datagram.
func TestDigestFits(t *testing.T) {
	const limit = 1000 // bytes
	r := NewRecorder("entry-reykjavik-a-1", 1<<60, GuardConfig(0.005, 16))
	rng := rand.New(rand.NewPCG(1, 1))
	tally := NewTally(9, 1)
	routes := []string{"answers", "summaries", "drafts", "notes"}
	r.Follow(Subject{Move: 9, Epoch: 1, Service: "pumice", From: "12", To: "13", Routes: routes})
	for range 20000 {
		first := time.Duration(float64(100*time.Millisecond) * (0.3 + rng.ExpFloat64()))
		for i, version := range []string{"12", "13"} {
			r.Begin("pumice", routes[i], version)
			r.Record("pumice", routes[rng.IntN(4)], version, Result{First: first, Next: first / 8, Total: 9 * first})
		}
	}
	for range 4 {
		b, err := r.Encode(limit)
		require.NoError(t, err)
		require.LessOrEqual(t, len(b), limit)
		d, err := DecodeDigest(b)
		require.NoError(t, err)
		require.NoError(t, tally.Merge(d))
	}
	want, err := decodeTable(r.Digest().Moves[0].Routes)
	require.NoError(t, err)
	require.Equal(t, want, tally.Table())
	full, err := r.Digest().Encode()
	require.NoError(t, err)
	t.Logf("digest of all %d routes: %d bytes", len(routes), len(full))
}
