package scaler_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/scaler"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var markets = []lister.Market{lister.Reclaimable, lister.OnDemand}

// The choice costs as much as the cheapest one that an exhaustive search finds.
func TestDecideAgainstFullSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		need := scaler.Need{Min: rapid.IntRange(0, 4).Draw(t, "min"), Spare: rapid.Bool().Draw(t, "spare")}
		need.Max = need.Min + rapid.IntRange(0, 4).Draw(t, "more")
		need.OnDemandFraction = rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "onDemand")
		var offers []scaler.Offer
		for d := range 3 {
			for _, m := range markets {
				if rapid.IntRange(0, 4).Draw(t, "offered") > 0 {
					price := float64(rapid.IntRange(1, 9).Draw(t, "price"))
					offers = append(offers, scaler.NewOffer("a", fmt.Sprint(d), m, price))
				}
			}
		}
		plan := scaler.Decide(need, offers, nil)
		goal, cost := search(need, offers)
		require.Equal(t, need.Min-goal, plan.Shortfall())
		if math.IsInf(cost, 1) {
			return
		}
		got := 0.0
		for _, o := range plan.Starts() {
			got += o.Price()
		}
		require.InDelta(t, cost, got, 1e-9)
	})
}

// search tries all counts of all offers and returns the highest reachable goal with its lowest
// cost.
func search(need scaler.Need, offers []scaler.Offer) (int, float64) {
	for goal := need.Min; goal >= 0; goal-- {
		best := math.Inf(1)
		counts := make([]int, len(offers))
		for {
			if cost, ok := evaluate(need, goal, offers, counts); ok {
				best = min(best, cost)
			}
			if !increment(counts, need.Max) {
				break
			}
		}
		if !math.IsInf(best, 1) {
			return goal, best
		}
	}
	return 0, math.Inf(1)
}

func evaluate(need scaler.Need, goal int, offers []scaler.Offer, counts []int) (float64, bool) {
	domains := make(map[string]int)
	total, onDemand, cost := 0, 0, 0.0
	for i, n := range counts {
		total += n
		domains[offers[i].Domain()] += n
		cost += float64(n) * offers[i].Price()
		if offers[i].Market() == lister.OnDemand {
			onDemand += n
		}
	}
	if total > need.Max || float64(onDemand) < need.OnDemandFraction*float64(goal)-1e-9 {
		return 0, false
	}
	if !need.Spare {
		return cost, total >= goal
	}
	remaining := total
	for _, n := range domains {
		remaining = min(remaining, total-n)
	}
	return cost, remaining >= goal && total >= need.Min
}

func increment(counts []int, limit int) bool {
	for i := range counts {
		sum := 0
		for _, n := range counts {
			sum += n
		}
		if sum < limit {
			counts[i]++
			return true
		}
		counts[i] = 0
	}
	return false
}

func fleet(count, starting int) []scaler.Instance {
	var have []scaler.Instance
	for i := range count {
		o := scaler.NewOffer("a", fmt.Sprint(i%3), lister.Reclaimable, 1)
		have = append(have, scaler.NewInstance(fmt.Sprint("i", i), o, i < starting))
	}
	return have
}

func TestDecideOnRunningInstances(t *testing.T) {
	var offers []scaler.Offer
	for d := range 3 {
		offers = append(offers, scaler.NewOffer("a", fmt.Sprint(d), lister.Reclaimable, 0.9),
			scaler.NewOffer("a", fmt.Sprint(d), lister.OnDemand, 3))
	}
	need := scaler.Need{Min: 6, Max: 12, Spare: true}
	tests := map[string]struct {
		have           []scaler.Instance
		offers         []scaler.Offer
		starts, drains int
		short          int
		market         lister.Market
	}{
		"nothing to do":                  {have: fleet(9, 0), offers: offers},
		"a domain is reclaimed":          {have: fleet(6, 0), offers: offers, starts: 3, market: lister.Reclaimable},
		"too many":                       {have: fleet(12, 0), offers: offers, drains: 3},
		"no drain while one is starting": {have: fleet(12, 12), offers: offers},
		"reclaimable refused":            {have: fleet(6, 0), offers: []scaler.Offer{offers[1], offers[3], offers[5]}, starts: 3, market: lister.OnDemand},
		"nothing offered":                {have: fleet(6, 0), short: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			plan := scaler.Decide(need, tt.offers, tt.have)
			require.Len(t, plan.Starts(), tt.starts)
			require.Len(t, plan.Drains(), tt.drains)
			require.Equal(t, tt.short, plan.Shortfall())
			for _, o := range plan.Starts() {
				require.Equal(t, tt.market, o.Market())
			}
		})
	}
}

func ExampleBackoff() {
	now := time.Date(2027, 1, 10, 5, 0, 0, 0, time.UTC)
	cheap := scaler.NewOffer("a", "focsani", lister.Reclaimable, 1)
	safe := scaler.NewOffer("a", "focsani", lister.OnDemand, 3)
	b := scaler.NewBackoff()
	b.Refused(cheap, now)
	for _, o := range b.Allowed([]scaler.Offer{cheap, safe}, now) {
		fmt.Println(o.Market())
	}
	// Output: ondemand
}
