package warmer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/warmer"
)

var start = time.Unix(1000, 0)

func cold(leases, endpoints int) []warmer.Endpoint {
	var out []warmer.Endpoint
	for i := range endpoints {
		out = append(out, warmer.Endpoint{Key: warmer.Key{ID: fmt.Sprint("e", i)}, Position: uint16(i), Leases: leases})
	}
	return out
}

func entry(i, total int) warmer.Holder {
	return warmer.Holder{Node: fmt.Sprint("n", i), Incarnation: 1, Weight: 1, Total: total}
}

// Guards against a number of holders whose calls exceed the bound: two of each arrive within a second.
func TestHolders(t *testing.T) {
	cases := map[string]struct {
		rate, bound float64
		want        int
	}{
		"between what is tolerated and the bound": {12, 23, 17},
		"rounded down":         {2, 3, 2},
		"at least one":         {0.2, 0.4, 1},
		"rate above the bound": {9, 4, 4},
		"huge":                 {1e9, 1e12, 65535},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, warmer.Holders(c.rate, c.bound)) })
	}
}

// Guards against endpoints that all have the same holders, which would send calls one after the other, and
// against leases that nobody has because too few nodes prefer the endpoint.
func TestLeasesAreSpread(t *testing.T) {
	const entries, endpoints, leases = 74, 60, 11
	g := warmer.NewGranter(start)
	g.SetCold(cold(leases, endpoints), start)
	held, byEndpoint := make([]int, entries), make([]int, endpoints)
	for i := range entries {
		positions, lifetime := g.Renew(entry(i, entries), start)
		held[i] = len(positions)
		if len(positions) > 0 {
			require.Equal(t, warmer.Lifetime, lifetime)
		}
		for _, p := range positions {
			byEndpoint[p]++
		}
	}
	for _, n := range byEndpoint {
		require.GreaterOrEqual(t, n, leases/2)
		require.LessOrEqual(t, n, leases)
	}
	holders := 0
	for _, n := range held {
		if n > 0 {
			holders++
		}
		require.Less(t, n, 3*endpoints*leases/entries)
	}
	require.Greater(t, holders, entries/2)
	few := warmer.NewGranter(start)
	few.SetCold(cold(1, 20), start)
	for ms := 0; ms < 3000; ms += 300 {
		for i := range entries {
			few.Renew(entry(i, entries), start.Add(time.Duration(ms)*time.Millisecond))
		}
	}
	require.Equal(t, 20, few.Held(start.Add(3*time.Second)))
}

// Guards against more holders than leases after a holder restarts, has less to pass on, or is not heard of.
func TestFormerLeasesCountUntilTheyEnd(t *testing.T) {
	g := warmer.NewGranter(start.Add(time.Second))
	g.SetCold(cold(3, 1), start)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	relay := func(incarnation uint64, weight int) warmer.Holder {
		return warmer.Holder{Node: "relay", Incarnation: incarnation, Weight: weight, Total: weight}
	}
	renew := func(h warmer.Holder, ms int) int {
		positions, _ := g.Renew(h, at(ms))
		return len(positions)
	}
	require.Zero(t, renew(relay(1, 9), 999), "the former leader's leases may be valid")
	require.Equal(t, 3, renew(relay(1, 9), 1000))
	require.Zero(t, renew(relay(2, 9), 1000), "the relay has restarted")
	require.Equal(t, 1, renew(relay(1, 1), 1100))
	require.Zero(t, renew(entry(1, 2), 3400), "the directive with fewer leases may be lost")
	require.Equal(t, 1, renew(entry(1, 2), 3500), "a lease of 1.5 s and a call interval have passed")
	require.Equal(t, 1, renew(entry(1, 2), 4000))
	g.SetCold(nil, at(4000))
	require.Zero(t, renew(entry(1, 2), 4100))
	require.Equal(t, 1, g.Held(at(4100)))
	g.SetCold(cold(1, 1), at(4200))
	require.Zero(t, renew(relay(3, 9), 4300), "an endpoint that is cold again still has its holders")
}

// Guards against leases of a relay's entries that outlast its own.
func TestLeasesEndWithTheRelays(t *testing.T) {
	g := warmer.NewGranter(time.Time{})
	g.SetCold(cold(2, 1), start)
	g.LimitTo(start.Add(400 * time.Millisecond))
	positions, lifetime := g.Renew(entry(1, 2), start)
	require.Len(t, positions, 1)
	require.Equal(t, 400*time.Millisecond, lifetime)
	positions, _ = g.Renew(entry(1, 2), start.Add(400*time.Millisecond))
	require.Empty(t, positions)
}
