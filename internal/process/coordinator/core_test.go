package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/accountant"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/divider"
)

const (
	share  = 5 * time.Second
	window = 5 * time.Second
)

var start = time.Unix(1000, 0)

func report(node string, wall time.Time) *coordinator.Report {
	return &coordinator.Report{Node: node, Incarnation: 1, Entry: true, Wall: wall.UnixNano()}
}

func TestEndpointsAreSentWhenTheyChange(t *testing.T) {
	c := coordinator.NewCore(3, start, share, window)
	require.False(t, c.Beat(report("a", start), start).Fresh, "nothing was read yet")
	require.True(t, c.SetEndpoints([]coordinator.Endpoint{{ID: "e1"}}))
	require.False(t, c.SetEndpoints([]coordinator.Endpoint{{ID: "e1"}}))
	d := c.Beat(report("a", start), start)
	require.True(t, d.Fresh)
	r := report("a", start)
	r.Table = d.Table
	require.False(t, c.Beat(r, start).Fresh)
	require.True(t, c.SetEndpoints([]coordinator.Endpoint{{ID: "e1", Leaving: true}}))
	require.True(t, c.Beat(r, start).Fresh)
	// The list of another leader is another one, whatever its number.
	other := coordinator.NewCore(4, start, share, window)
	other.SetEndpoints([]coordinator.Endpoint{{ID: "e2"}})
	require.True(t, other.Beat(r, start).Fresh)
}

func TestLoadsOfOthers(t *testing.T) {
	c := coordinator.NewCore(3, start, share, window)
	c.SetEndpoints([]coordinator.Endpoint{{ID: "e1"}, {ID: "e2"}})
	table := c.Beat(report("a", start), start).Table
	with := func(node string, loads ...coordinator.Load) *coordinator.Report {
		r := report(node, start)
		r.Table, r.Loads = table, loads
		return r
	}
	c.Beat(with("a", coordinator.Load{Place: 0, Calls: 2, Unread: 10}), start)
	c.Beat(with("b", coordinator.Load{Place: 0, Calls: 1}, coordinator.Load{Place: 1, Calls: 4}), start)
	require.Equal(t, []coordinator.Load{{Place: 0, Calls: 2, Unread: 10}}, c.Beat(with("b", coordinator.Load{Place: 1, Calls: 4}), start).Loads)
	require.Equal(t, []coordinator.Load{{Place: 0, Calls: 2, Unread: 10}, {Place: 1, Calls: 4}}, c.Under(start))
	// Places of another list say nothing.
	stray := with("c", coordinator.Load{Place: 1, Calls: 9})
	stray.Table.Number++
	c.Beat(stray, start)
	require.Equal(t, []coordinator.Load{{Place: 0, Calls: 2, Unread: 10}, {Place: 1, Calls: 4}}, c.Under(start))
	// A node that is gone runs nothing.
	require.Empty(t, c.Under(start.Add(10*time.Second)))
}

// Pattern: the time of day jumps on a third of the nodes.
func TestAgreedTimeIgnoresAFewClocks(t *testing.T) {
	c := coordinator.NewCore(3, start, share, window)
	wall := start.Add(time.Hour)
	for i, jump := range []time.Duration{0, 2 * time.Millisecond, -2 * time.Second, time.Millisecond, 4 * time.Second, 0, 0} {
		c.Beat(report(string(rune('a'+i)), wall.Add(jump)), start)
	}
	require.InDelta(t, time.Hour, c.Ahead(start), float64(5*time.Millisecond))
	require.Zero(t, c.Ahead(start.Add(time.Minute)), "old reports say nothing")
}

// The work of the leader does not grow with the fleet: nodes report more seldom.
func TestPauseGrowsWithTheFleet(t *testing.T) {
	for nodes, want := range map[int]time.Duration{6: 250 * time.Millisecond, 74: 296 * time.Millisecond, 370: 1480 * time.Millisecond} {
		c := coordinator.NewCore(3, start, share, window)
		now := start.Add(time.Minute)
		var pause time.Duration
		for i := range nodes {
			pause = c.Beat(report(string(rune('a'+i)), now), now).Pause
		}
		require.Equal(t, want, pause, "%d nodes", nodes)
	}
}

func TestUsageAndAllowances(t *testing.T) {
	c := coordinator.NewCore(3, start, share, window)
	c.SetLimits(map[string]divider.Limit{"masons": {Rate: 10, Burst: 20, Spare: 20}}, start)
	r := report("a", start)
	r.Usage = []accountant.Counts{{Window: 200, Calls: map[string]int{"masons": 3}}}
	d := c.Beat(r, start)
	require.Positive(t, d.Allowances["masons"])
	require.Equal(t, share, d.Lasting)
	require.Equal(t, map[string]int{"masons": 3}, c.Ledger().Sum(200))
	r.Entry = false
	require.Empty(t, c.Beat(r, start).Allowances, "only nodes that serve callers get a part")
}

// What is kept up to date with each report is what one would add up anew.
func TestLoadsAreTheSumsOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := coordinator.NewCore(3, start, share, window)
		c.SetEndpoints(make([]coordinator.Endpoint, 4))
		now := start.Add(time.Minute)
		table := c.Beat(report("z", now), now).Table
		type held struct {
			report *coordinator.Report
			at     time.Time
		}
		newest := make(map[string]held)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 19).Draw(t, "list") == 0 {
				c.SetEndpoints(make([]coordinator.Endpoint, rapid.IntRange(5, 50).Draw(t, "endpoints")))
				table = c.Beat(report("z", now), now).Table
			}
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "node")
			r := report(name, now)
			r.Table = table
			if rapid.IntRange(0, 9).Draw(t, "old list") == 0 {
				r.Table.Number--
			}
			for range rapid.IntRange(0, 3).Draw(t, "loads") {
				r.Loads = append(r.Loads, coordinator.Load{
					Place: uint16(rapid.IntRange(0, 5).Draw(t, "place")), Calls: uint16(rapid.IntRange(1, 9).Draw(t, "calls")), Unread: 7,
				})
			}
			newest[name] = held{r, now}
			c.Beat(r, now)
			list, _ := c.Endpoints()
			want := make(map[uint16]coordinator.Load)
			for _, h := range newest {
				if h.report.Table != table || now.Sub(h.at) > 3*time.Second {
					continue
				}
				for _, l := range h.report.Loads {
					if int(l.Place) < len(list) {
						sum := want[l.Place]
						want[l.Place] = coordinator.Load{Place: l.Place, Calls: sum.Calls + l.Calls, Unread: sum.Unread + l.Unread}
					}
				}
			}
			got := make(map[uint16]coordinator.Load)
			for _, l := range c.Under(now) {
				got[l.Place] = l
			}
			require.Equal(t, want, got)
		}
	})
}
