package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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
	// A node that is gone runs nothing.
	require.Empty(t, c.Under(start.Add(10*time.Second)))
	// Places of another list say nothing.
	stray := with("c", coordinator.Load{Place: 1, Calls: 9})
	stray.Table.Number++
	c.Beat(stray, start)
	require.Equal(t, []coordinator.Load{{Place: 0, Calls: 2, Unread: 10}, {Place: 1, Calls: 4}}, c.Under(start))
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
