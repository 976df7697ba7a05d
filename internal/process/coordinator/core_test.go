package coordinator_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/accountant"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/divider"
)

const (
	allowanceLifetime = 5 * time.Second
	window            = 5 * time.Second
)

var start = time.Unix(1000, 0)

func report(node string, wall time.Time) *coordinator.Report {
	return &coordinator.Report{LoadFields: coordinator.LoadFields, Node: node, Incarnation: 1, Entry: true, WallClock: wall.UnixNano()}
}

func apply(t require.TestingT, d *coordinator.Directive, list []coordinator.Endpoint) []coordinator.Endpoint {
	out, err := d.Apply(list)
	require.NoError(t, err)
	return out
}

// A long list is sent in pages, and changes made in the meantime are not missed.
func TestLongListIsSentInPages(t *testing.T) {
	c := coordinator.NewCore(3, start, allowanceLifetime, window)
	listed := make([]coordinator.Endpoint, 3000)
	for i := range listed {
		listed[i].ID = fmt.Sprint("e", i)
	}
	c.SetEndpoints(listed, start)
	r := report("a", start)
	var list []coordinator.Endpoint
	now := start.Add(time.Minute)
	for page := range 20 {
		d := c.HandleReport(r, now)
		require.Equal(t, page == 0, d.Reset)
		list, r.ListID, r.Received = apply(t, &d, list), d.ListID, d.Received
		require.Less(t, len(d.Page), 100<<10)
		if d.Received == d.Length {
			break
		}
		require.Less(t, d.ReportInterval, 100*time.Millisecond)
		// One endpoint that was sent and one that was not are marked as leaving; another is
		// added.
		listed[page].Leaving, listed[2990-page].Leaving = true, true
		listed = append(listed, coordinator.Endpoint{ID: fmt.Sprint("new", page)})
		c.SetEndpoints(listed, now)
	}
	require.Equal(t, listed, list)
}

// In a large fleet nodes receive only the loads of the endpoints with the highest load.
func TestLoadsAreBounded(t *testing.T) {
	c := coordinator.NewCore(3, start, allowanceLifetime, window)
	listed := make([]coordinator.Endpoint, 3000)
	for i := range listed {
		listed[i].ID = fmt.Sprint("e", i)
	}
	c.SetEndpoints(listed, start)
	busy := report("a", start)
	busy.ListID = c.HandleReport(report("b", start), start).ListID
	for position := range listed {
		busy.Loads = append(busy.Loads, coordinator.Load{Position: uint16(position), InFlight: uint16(1 + position%40)})
	}
	c.HandleReport(busy, start)
	require.Len(t, c.TotalLoads(start), len(listed), "the leader has the loads of all endpoints")
	now := start.Add(time.Second)
	loads := c.HandleReport(report("b", now), now).Loads
	require.Less(t, len(loads), 400)
	require.Greater(t, len(loads), 200)
	for _, l := range loads {
		require.Greater(t, l.InFlight, uint16(30))
	}
}

func TestEndpointsAreSentWhenTheyChange(t *testing.T) {
	c := coordinator.NewCore(3, start, allowanceLifetime, window)
	require.Zero(t, c.HandleReport(report("a", start), start).Length, "the list has not been read yet")
	e1, e2, e3 := coordinator.Endpoint{ID: "e1"}, coordinator.Endpoint{ID: "e2"}, coordinator.Endpoint{ID: "e3"}
	require.True(t, c.SetEndpoints([]coordinator.Endpoint{e1, e2}, start))
	require.False(t, c.SetEndpoints([]coordinator.Endpoint{e2, e1}, start), "the order is irrelevant")
	d := c.HandleReport(report("a", start), start)
	require.True(t, d.Reset)
	list := apply(t, &d, nil)
	require.Equal(t, []coordinator.Endpoint{e1, e2}, list)
	r := report("a", start)
	r.ListID, r.Received = d.ListID, d.Received
	d = c.HandleReport(r, start)
	require.False(t, d.Reset)
	require.Empty(t, d.Changes)
	require.Empty(t, d.Page)
	e1.Leaving = true
	require.True(t, c.SetEndpoints([]coordinator.Endpoint{e1, e2}, start))
	require.True(t, c.SetEndpoints([]coordinator.Endpoint{e1, e3}, start))
	d = c.HandleReport(r, start)
	require.False(t, d.Reset)
	require.Equal(t, []coordinator.Endpoint{e1, {}, e3}, apply(t, &d, list), "a position stays empty for a while")
	// Another leader's list is different, whatever its number.
	other := coordinator.NewCore(4, start, allowanceLifetime, window)
	other.SetEndpoints([]coordinator.Endpoint{e2}, start)
	d = other.HandleReport(r, start)
	require.True(t, d.Reset)
	require.Equal(t, []coordinator.Endpoint{e2}, apply(t, &d, list))
}

// Whatever directives are lost, a node's list ends up equal to the leader's, and an endpoint
// keeps its position.
func TestChangesLeadToTheNewestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := coordinator.NewCore(3, start, allowanceLifetime, window)
		now := start
		var list []coordinator.Endpoint
		r := report("a", now)
		at := make(map[string]int)
		for range 40 {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			listed := []coordinator.Endpoint{}
			for i := range 6 {
				if rapid.Bool().Draw(t, "listed") {
					listed = append(listed, coordinator.Endpoint{ID: string(rune('a' + i)), Leaving: rapid.Bool().Draw(t, "leaving")})
				}
			}
			c.SetEndpoints(listed, now)
			d := c.HandleReport(r, now)
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			list, r.ListID, r.Received = apply(t, &d, list), d.ListID, d.Received
			var got []coordinator.Endpoint
			for position, e := range list {
				if e.ID == "" {
					continue
				}
				got = append(got, e)
				if last, ok := at[e.ID]; ok && slices.ContainsFunc(listed, func(o coordinator.Endpoint) bool { return o.ID == e.ID }) && last != position {
					require.NotEqual(t, e.ID, list[last].ID, "an endpoint has two positions")
				}
				at[e.ID] = position
			}
			require.ElementsMatch(t, listed, got)
		}
	})
}

func TestLoadsOfOthers(t *testing.T) {
	c := coordinator.NewCore(3, start, allowanceLifetime, window)
	c.SetEndpoints([]coordinator.Endpoint{{ID: "e1"}, {ID: "e2"}}, start)
	listID := c.HandleReport(report("a", start), start).ListID
	with := func(node string, loads ...coordinator.Load) *coordinator.Report {
		r := report(node, start)
		r.ListID, r.Loads = listID, loads
		return r
	}
	c.HandleReport(with("a", coordinator.Load{Position: 0, InFlight: 2, PendingPrefill: 10}), start)
	c.HandleReport(with("b", coordinator.Load{Position: 0, InFlight: 1}, coordinator.Load{Position: 1, InFlight: 4}), start)
	require.Equal(t, []coordinator.Load{{Position: 0, InFlight: 2, PendingPrefill: 10}}, c.HandleReport(with("b", coordinator.Load{Position: 1, InFlight: 4}), start).Loads)
	require.Equal(t, []coordinator.Load{{Position: 0, InFlight: 2, PendingPrefill: 10}, {Position: 1, InFlight: 4}}, c.TotalLoads(start))
	// Positions of another leader's list are ignored.
	stale := with("c", coordinator.Load{Position: 1, InFlight: 9})
	stale.ListID.Term++
	c.HandleReport(stale, start)
	require.Equal(t, []coordinator.Load{{Position: 0, InFlight: 2, PendingPrefill: 10}, {Position: 1, InFlight: 4}}, c.TotalLoads(start))
	// A node that is gone has no calls in flight.
	require.Empty(t, c.TotalLoads(start.Add(10*time.Second)))
}

// The wall clock jumps on a third of the nodes.
func TestClusterTimeIgnoresAFewClocks(t *testing.T) {
	c := coordinator.NewCore(3, start, allowanceLifetime, window)
	wall := start.Add(time.Hour)
	for i, jump := range []time.Duration{0, 2 * time.Millisecond, -2 * time.Second, time.Millisecond, 4 * time.Second, 0, 0} {
		c.HandleReport(report(string(rune('a'+i)), wall.Add(jump)), start)
	}
	require.InDelta(t, time.Hour, c.ClusterTimeOffset(start), float64(5*time.Millisecond))
	require.Zero(t, c.ClusterTimeOffset(start.Add(time.Minute)), "old reports are ignored")
}

// The leader's work does not grow with the fleet, since nodes report less often.
func TestReportIntervalGrowsWithTheFleet(t *testing.T) {
	for nodes, want := range map[int]time.Duration{6: 250 * time.Millisecond, 74: 296 * time.Millisecond, 370: 1480 * time.Millisecond} {
		c := coordinator.NewCore(3, start, allowanceLifetime, window)
		now := start.Add(time.Minute)
		var interval time.Duration
		for i := range nodes {
			interval = c.HandleReport(report(string(rune('a'+i)), now), now).ReportInterval
		}
		require.Equal(t, want, interval, "%d nodes", nodes)
	}
}

func TestUsageAndAllowances(t *testing.T) {
	c := coordinator.NewCore(3, start, allowanceLifetime, window)
	c.SetLimits(map[string]divider.Limit{"masons": {Rate: 10, Burst: 20, Initial: 20}}, start)
	r := report("a", start)
	r.Usage, r.Demand = []accountant.Counts{{Window: 200, Calls: map[string]int{"masons": 3}}}, map[string]float64{"masons": 5}
	d := c.HandleReport(r, start)
	require.Positive(t, d.Allowances["masons"])
	require.Equal(t, allowanceLifetime, d.AllowanceLifetime)
	require.Equal(t, map[string]int{"masons": 3}, c.Ledger().Sum(200))
	r.Entry = false
	require.Empty(t, c.HandleReport(r, start).Allowances, "only nodes that serve callers get allowances")
}

// Sums that are updated with each report equal those that are computed from scratch.
func TestLoadsAreTheSumOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := coordinator.NewCore(3, start, allowanceLifetime, window)
		now := start.Add(time.Minute)
		endpoints := 4
		setList := func() {
			listed := make([]coordinator.Endpoint, endpoints)
			for i := range listed {
				listed[i].ID = fmt.Sprint("e", i)
			}
			c.SetEndpoints(listed, now)
		}
		setList()
		type received struct {
			report *coordinator.Report
			at     time.Time
		}
		newest := make(map[string]received)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "list") == 0 {
				endpoints++
				setList()
			}
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "node")
			r := report(name, now)
			r.ListID = coordinator.ListID{Term: 3, Number: 1}
			if rapid.IntRange(0, 9).Draw(t, "old leader") == 0 {
				r.ListID.Term--
			}
			for range rapid.IntRange(0, 3).Draw(t, "loads") {
				r.Loads = append(r.Loads, coordinator.Load{
					Position: uint16(rapid.IntRange(0, 3).Draw(t, "place")), InFlight: uint16(rapid.IntRange(1, 9).Draw(t, "calls")), PendingPrefill: 7,
					PendingFirst: 4, PendingSecond: 2,
				})
			}
			newest[name] = received{r, now}
			c.HandleReport(r, now)
			want := make(map[uint16]coordinator.Load)
			for _, h := range newest {
				if h.report.ListID.Term != 3 || now.Sub(h.at) > 3*time.Second {
					continue
				}
				for _, l := range h.report.Loads {
					sum := want[l.Position]
					want[l.Position] = coordinator.Load{Position: l.Position, InFlight: sum.InFlight + l.InFlight, PendingPrefill: sum.PendingPrefill + l.PendingPrefill,
						PendingFirst: sum.PendingFirst + l.PendingFirst, PendingSecond: sum.PendingSecond + l.PendingSecond}
				}
			}
			got := make(map[uint16]coordinator.Load)
			for _, l := range c.TotalLoads(now) {
				got[l.Position] = l
			}
			require.Equal(t, want, got)
		}
	})
}
