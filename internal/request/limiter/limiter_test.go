package limiter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/request/limiter"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var (
	epoch = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)
	limit = limiter.Limit{Rate: 50, Burst: 20}
)

// cluster simulates entries that exchange digests every period. A digest arrives
// after lag periods.
type cluster struct {
	entries []*limiter.Limiter
	shares  []float64 // of the calls
	rate    float64   // calls per second
	period  time.Duration
	lag     int
	digests [][][]byte
}

func (c *cluster) run(t require.TestingT, random *rand.Rand, from time.Time, duration time.Duration) (allowed int) {
	const step = time.Millisecond
	for now := from; now.Before(from.Add(duration)); now = now.Add(step) {
		if now.Sub(from)%c.period == 0 {
			c.gossip(t, now)
		}
		if random.Float64() < c.rate*step.Seconds() {
			at := random.Float64()
			for i, share := range c.shares {
				if at -= share; at < 0 {
					if _, ok := c.entries[i].Allow(now, "large", limit); ok {
						allowed++
					}
					break
				}
			}
		}
	}
	return allowed
}

func (c *cluster) gossip(t require.TestingT, now time.Time) {
	var round [][]byte
	for _, e := range c.entries {
		data, err := e.Digest(now)
		require.NoError(t, err)
		round = append(round, data)
	}
	c.digests = append(c.digests, round)
	if len(c.digests) <= c.lag {
		return
	}
	for from, data := range c.digests[len(c.digests)-1-c.lag] {
		for to, e := range c.entries {
			if to != from {
				require.NoError(t, e.Merge(now, fmt.Sprint(from), data))
			}
		}
	}
}

func newCluster(n int, shares []float64, rate float64, lag int) *cluster {
	c := &cluster{shares: shares, rate: rate, period: 200 * time.Millisecond, lag: lag}
	for range n {
		c.entries = append(c.entries, limiter.New(n))
	}
	return c
}

func drawShares(t *rapid.T, n int) []float64 {
	shares, total := make([]float64, n), 0.0
	for i := range shares {
		shares[i] = float64(rapid.IntRange(0, 10).Draw(t, "share")) + 0.01
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// The rate must hold over all entries, however calls are distributed, digests lag and
// entries restart; and it must be usable.
func TestRateHoldsOverAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "entries")
		c := newCluster(n, drawShares(t, n), rapid.Float64Range(10, 300).Draw(t, "rate"), rapid.IntRange(0, 5).Draw(t, "lag"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		const phase = 8 * time.Second
		now, allowed := epoch, 0
		for range 2 {
			allowed += c.run(t, random, now, phase)
			now = now.Add(phase)
			if rapid.Bool().Draw(t, "restart") {
				c.entries[rapid.IntRange(0, n-1).Draw(t, "entry")] = limiter.New(n)
			}
			c.shares = drawShares(t, n)
		}
		seconds := (2 * phase).Seconds()
		require.LessOrEqual(t, float64(allowed), 1.15*limit.Rate*seconds+float64(limit.Burst+2*n))
		require.GreaterOrEqual(t, float64(allowed), 0.6*min(c.rate, limit.Rate)*seconds-20)
	})
}

// An entry that receives no digests must use no more than an equal fraction of the
// rate.
func TestEntryWithoutDigestsUsesEqualFraction(t *testing.T) {
	l := limiter.New(5)
	allowed := 0
	for i := range 10000 {
		if _, ok := l.Allow(epoch.Add(time.Duration(i)*time.Millisecond), "large", limit); ok {
			allowed++
		}
	}
	require.InDelta(t, 10*limit.Rate/5, allowed, 5)
}

// With unevenly distributed calls, compares sharing by demand with equal fractions
// for each entry, and with the whole rate at each entry.
func TestRateFollowsDemand(t *testing.T) {
	shares := []float64{0.7, 0.1, 0.1, 0.05, 0.03, 0.02}
	const duration = 30 * time.Second
	utilization := func(c *cluster) float64 {
		c.run(t, rand.New(rand.NewPCG(1, 1)), epoch, duration)
		allowed := c.run(t, rand.New(rand.NewPCG(2, 1)), epoch.Add(duration), duration)
		return float64(allowed) / (limit.Rate * duration.Seconds())
	}
	shared := utilization(newCluster(6, shares, 150, 1))
	equal := newCluster(6, shares, 150, 1<<20)
	whole := newCluster(6, shares, 150, 1<<20)
	for i := range whole.entries {
		whole.entries[i] = limiter.New(1)
	}
	equalUse, wholeUse := utilization(equal), utilization(whole)
	t.Logf("allowed over the rate: shared %.3f, equal fractions %.3f, whole rate at each %.3f", shared, equalUse, wholeUse)
	require.InDelta(t, 1, shared, 0.05)
	require.Less(t, equalUse, 0.8)
	require.Greater(t, wholeUse, 1.5)
}

func TestRetryAfterReturnedWaitIsAllowed(t *testing.T) {
	l := limiter.New(1)
	_, ok := l.Allow(epoch, "masons", limiter.Limit{Rate: 2, Burst: 1})
	require.True(t, ok)
	wait, ok := l.Allow(epoch, "masons", limiter.Limit{Rate: 2, Burst: 1})
	require.False(t, ok)
	_, ok = l.Allow(epoch.Add(wait+time.Microsecond), "masons", limiter.Limit{Rate: 2, Burst: 1})
	require.True(t, ok)
}

func BenchmarkAllow(b *testing.B) {
	for _, customers := range []int{5, 500} {
		for _, peers := range []int{5, 20} {
			b.Run(fmt.Sprintf("customers=%d/peers=%d", customers, peers), func(b *testing.B) {
				l := limiter.New(peers + 1)
				names := make([]string, customers)
				for i := range names {
					names[i] = fmt.Sprint("customer", i)
					l.Allow(epoch, names[i], limit)
				}
				data, _ := l.Digest(epoch)
				for p := range peers {
					_ = l.Merge(epoch, fmt.Sprint(p), data)
				}
				b.ReportMetric(float64(len(data)), "digest-bytes")
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					l.Allow(epoch, names[i%customers], limit)
				}
			})
		}
	}
}
