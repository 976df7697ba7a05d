package sizer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/sizer"
)

// Instances that want no calls are replaced, and the provider, which counts them as
// serving, is not asked to stop others in their place.
func TestUnusableInstancesAreReplaced(t *testing.T) {
	m := newMarket(t, 2, 2)
	m.market.ReclaimablePriceRatio = 0
	m.run(30 * time.Second)
	before := m.total()
	require.Greater(t, before, 2)
	unusable := make(map[sizer.Group]int)
	for g, n := range m.serving { // all instances at once
		unusable[g], m.serving[g] = n, 0
	}
	for range 60 {
		m.arrive()
		obs := &sizer.Observation{Serving: m.serving, Unusable: unusable, InFlight: 1, Slots: slots, Refused: true}
		for _, o := range m.sizer.Decide(&m.market, obs, m.now) {
			require.GreaterOrEqual(t, o.Count, unusable[o.Group], "the provider would stop instances")
			require.LessOrEqual(t, o.Count, m.market.Max)
			have := m.serving[o.Group] + unusable[o.Group]
			for _, a := range m.starting {
				if a.group == o.Group {
					have++
				}
			}
			for ; have < o.Count; have++ {
				m.starting = append(m.starting, arrival{o.Group, m.now.Add(startTime)})
			}
			m.sizer.Accepted(o, m.now)
		}
		m.now = m.now.Add(decideInterval)
	}
	require.GreaterOrEqual(t, float64(m.total()), m.busy, "replaced")

	// They are usable again: the surplus is stopped later, as ever.
	for g, n := range unusable {
		m.serving[g] += n
		delete(unusable, g)
	}
	m.run(60 * time.Second)
	require.LessOrEqual(t, m.total(), before+1)
}
