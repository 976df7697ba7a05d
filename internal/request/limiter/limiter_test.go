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

// site is entries that gossip every period; lag is how many periods digests take.
type site struct {
	entries []*limiter.Limiter
	shares  []float64 // of the calls
	rate    float64   // calls per second
	period  time.Duration
	lag     int
	sent    [][][]byte
}

func (s *site) run(t require.TestingT, random *rand.Rand, from time.Time, lasts time.Duration) (allowed int) {
	const step = time.Millisecond
	for now := from; now.Before(from.Add(lasts)); now = now.Add(step) {
		if now.Sub(from)%s.period == 0 {
			s.gossip(t, now)
		}
		if random.Float64() < s.rate*step.Seconds() {
			at := random.Float64()
			for i, share := range s.shares {
				if at -= share; at < 0 {
					if _, ok := s.entries[i].Allow(now, "large", limit); ok {
						allowed++
					}
					break
				}
			}
		}
	}
	return allowed
}

func (s *site) gossip(t require.TestingT, now time.Time) {
	var round [][]byte
	for _, e := range s.entries {
		data, err := e.Digest(now)
		require.NoError(t, err)
		round = append(round, data)
	}
	s.sent = append(s.sent, round)
	if len(s.sent) <= s.lag {
		return
	}
	for from, data := range s.sent[len(s.sent)-1-s.lag] {
		for to, e := range s.entries {
			if to != from {
				require.NoError(t, e.Merge(now, fmt.Sprint(from), data))
			}
		}
	}
}

func newSite(n int, shares []float64, rate float64, lag int) *site {
	s := &site{shares: shares, rate: rate, period: 200 * time.Millisecond, lag: lag}
	for range n {
		s.entries = append(s.entries, limiter.New(n))
	}
	return s
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

// Over all entries the rate holds whatever the split of the calls, the lag of the
// digests and the entries that restart; and it can be used.
func TestRateHoldsOverAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "entries")
		s := newSite(n, drawShares(t, n), rapid.Float64Range(10, 300).Draw(t, "rate"), rapid.IntRange(0, 5).Draw(t, "lag"))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		const part = 8 * time.Second
		now, allowed := epoch, 0
		for range 2 {
			allowed += s.run(t, random, now, part)
			now = now.Add(part)
			if rapid.Bool().Draw(t, "restart") {
				s.entries[rapid.IntRange(0, n-1).Draw(t, "entry")] = limiter.New(n)
			}
			s.shares = drawShares(t, n)
		}
		seconds := (2 * part).Seconds()
		require.LessOrEqual(t, float64(allowed), 1.15*limit.Rate*seconds+float64(limit.Burst+2*n))
		require.GreaterOrEqual(t, float64(allowed), 0.6*min(s.rate, limit.Rate)*seconds-20)
	})
}

// An entry that hears of no other takes no more than its even part.
func TestEntryThatHearsNothingTakesAnEvenPart(t *testing.T) {
	l := limiter.New(5)
	allowed := 0
	for i := range 10000 {
		if _, ok := l.Allow(epoch.Add(time.Duration(i)*time.Millisecond), "large", limit); ok {
			allowed++
		}
	}
	require.InDelta(t, 10*limit.Rate/5, allowed, 5)
}

// Compared on uneven calls with a fixed part for each entry, and with the whole rate at
// each entry.
func TestUsesTheRateWhereTheCallsAre(t *testing.T) {
	shares := []float64{0.7, 0.1, 0.1, 0.05, 0.03, 0.02}
	const lasts = 30 * time.Second
	use := func(s *site) float64 {
		s.run(t, rand.New(rand.NewPCG(1, 1)), epoch, lasts)
		allowed := s.run(t, rand.New(rand.NewPCG(2, 1)), epoch.Add(lasts), lasts)
		return float64(allowed) / (limit.Rate * lasts.Seconds())
	}
	shared := use(newSite(6, shares, 150, 1))
	even := newSite(6, shares, 150, 1<<20)
	whole := newSite(6, shares, 150, 1<<20)
	for i := range whole.entries {
		whole.entries[i] = limiter.New(1)
	}
	evenUse, wholeUse := use(even), use(whole)
	t.Logf("allowed over the rate: shared %.3f, even parts %.3f, whole rate at each %.3f", shared, evenUse, wholeUse)
	require.InDelta(t, 1, shared, 0.05)
	require.Less(t, evenUse, 0.8)
	require.Greater(t, wholeUse, 1.5)
}

func TestRefusalNamesATimeAtWhichItIsAllowed(t *testing.T) {
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
