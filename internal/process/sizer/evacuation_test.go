package sizer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/sizer"
)

// runEvacuated runs the market while domains are evacuated, in each of which a number of calls is
// in flight. It requires that no instances are ordered there.
func (m *market) runEvacuated(d time.Duration, calls int, domains ...string) (ordersThere int) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(decideInterval) {
		m.arrive()
		obs := &sizer.Observation{
			Serving: make(map[sizer.Group]int), Waiting: m.waiting(), InFlight: m.waiting() + 1, Slots: slots,
			Evacuated: make(map[string]int), EvacuatedInstances: make(map[sizer.Group]int),
		}
		for _, domain := range domains {
			obs.Evacuated[domain] = calls
		}
		for g, n := range m.serving {
			if _, ok := obs.Evacuated[g.Domain]; ok {
				obs.EvacuatedInstances[g] = n
				continue
			}
			obs.Serving[g] = n
		}
		for _, o := range m.sizer.Decide(&m.market, obs, m.now) {
			if _, ok := obs.Evacuated[o.Group.Domain]; ok {
				ordersThere++
				require.LessOrEqual(m.t, o.Count, m.market.Min)
			}
			m.order(o)
		}
	}
	return ordersThere
}

// elsewhere returns the number of instances in other domains that serve or start.
func (m *market) elsewhere(domain string) int {
	n := 0
	for g, count := range m.serving {
		if g.Domain != domain {
			n += count
		}
	}
	for _, a := range m.starting {
		if a.group.Domain != domain {
			n++
		}
	}
	return n
}

func (m *market) in(domain string) int {
	return m.serving[sizer.Group{Domain: domain}] + m.serving[sizer.Group{Domain: domain, Reclaimable: true}]
}

// Guards against replacements that are ordered late, in the evacuated domain, or as for a reclaim, and against
// instances that are stopped while calls run there.
func TestEvacuatedDomainIsReplacedElsewhere(t *testing.T) {
	for name, tc := range map[string]struct{ ratio float64 }{"reclaimable": {0.2}, "on demand": {0}} {
		t.Run(name, func(t *testing.T) {
			m := newMarket(t, 3, 3)
			m.market.ReclaimablePriceRatio = tc.ratio
			m.run(30 * time.Second)
			before, there := m.total(), m.in("a")
			require.Positive(t, there)
			needed := m.sizer.Size()
			m.maxOnDemand = 0

			require.Zero(t, m.runEvacuated(decideInterval, 5, "a"), "calls run there")
			if tc.ratio > 0 {
				require.GreaterOrEqual(t, m.elsewhere("a"), 2*min(needed, m.market.Max), "ordered at once, so that one of the others may be lost")
				require.Zero(t, m.maxOnDemand, "no reclaim is inferred")
			}
			require.Zero(t, m.runEvacuated(startTime, 5, "a"), "calls run there")
			require.Equal(t, there, m.in("a"))
			m.runEvacuated(10*time.Second, 0, "a")
			require.LessOrEqual(t, m.in("a"), m.market.Min)
			require.GreaterOrEqual(t, float64(m.total()), m.busy/0.55)

			m.run(60 * time.Second)
			require.LessOrEqual(t, m.total(), before+1, "the domain counts again")
			require.GreaterOrEqual(t, float64(m.total()), m.busy/0.55)
			if tc.ratio > 0 {
				require.Greater(t, m.in("a"), m.market.Min)
			}
		})
	}
}

// Guards against a reclaim that is inferred when an evacuation begins or ends: on-demand instances would be ordered.
func TestEvacuationIsNoReclaim(t *testing.T) {
	m := newMarket(t, 3, 2)
	m.run(30 * time.Second)
	require.Zero(t, m.onDemand())
	m.maxOnDemand = 0
	for range 3 {
		m.runEvacuated(2*time.Second, 1, "b")
		m.run(2 * time.Second)
	}
	require.Zero(t, m.maxOnDemand)
}

// All domains are evacuated: nothing is ordered, and the size is known when the first one returns.
func TestAllDomainsEvacuated(t *testing.T) {
	m := newMarket(t, 3, 3)
	m.run(30 * time.Second)
	needed := m.sizer.Size()
	m.runEvacuated(10*time.Second, 0, "a", "b", "c")
	require.Equal(t, needed, m.sizer.Size())
	m.runEvacuated(decideInterval, 0, "b", "c")
	require.GreaterOrEqual(t, m.elsewhere("b"), min(needed, m.market.Max))
}

// A new leader does not shrink the other domains because it does not see the evacuated one.
func TestNewLeaderDuringAnEvacuationKeepsTheSize(t *testing.T) {
	m := newMarket(t, 3, 3)
	m.run(30 * time.Second)
	m.runEvacuated(20*time.Second, 0, "c")
	before := m.elsewhere("c")
	m.sizer = sizer.New()
	m.runEvacuated(6*time.Second, 0, "c")
	require.GreaterOrEqual(t, m.elsewhere("c"), before-2)
}
