package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/divider"
)

// BenchmarkHandleReport measures the leader's work for one report by the size of the fleet.
func BenchmarkHandleReport(b *testing.B) {
	for _, nodes := range []int{20, 83, 370} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			c := coordinator.NewCore(3, start, allowanceLifetime, window)
			limits := make(map[string]divider.Limit)
			for i := range 16 {
				limits[fmt.Sprint("customer", i)] = divider.Limit{Rate: 1000, Burst: 1000, Initial: 100}
			}
			c.SetLimits(limits, start)
			endpoints := make([]coordinator.Endpoint, 2*nodes)
			for i := range endpoints {
				endpoints[i] = coordinator.Endpoint{ID: fmt.Sprint("e", i)}
			}
			c.SetEndpoints(endpoints, start)
			now := start.Add(time.Minute)
			listID := c.HandleReport(report("n0", now), now).ListID
			reports := make([]*coordinator.Report, nodes)
			for i := range reports {
				r := report(fmt.Sprint("n", i), now)
				r.ListID, r.Demand = listID, make(map[string]float64)
				for k := range 16 {
					r.Demand[fmt.Sprint("customer", k)] = float64(k + 1)
				}
				for k := range 10 {
					r.Loads = append(r.Loads, coordinator.Load{Position: uint16((7*i + k) % len(endpoints)), InFlight: 2, PendingPrefill: 500})
				}
				reports[i] = r
			}
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(4 * time.Millisecond)
				r := reports[i%nodes]
				r.WallClock = now.UnixNano()
				c.HandleReport(r, now)
			}
		})
	}
}

// benchCustomers is the number of customers with limits in a large deployment.
const benchCustomers = 40

// benchReport is the report of entry i of a fleet with twice as many endpoints.
func benchReport(i, fleet int, listID coordinator.ListID, received int, now time.Time) *coordinator.Report {
	r := report(fmt.Sprint("n", i), now)
	r.IsRedirected, r.ListID, r.Received = true, listID, received
	r.Demand = make(map[string]float64)
	for k := range 6 {
		r.Demand[fmt.Sprint("customer", (i+7*k)%benchCustomers)] = float64(1000 * (k + 1))
	}
	for k := range 6 {
		r.Loads = append(r.Loads, coordinator.Load{Position: uint16((7*i + k) % (2 * fleet)), InFlight: 1, PendingPrefill: 500})
	}
	return r
}

// encodedSize returns the size of a message.
func encodedSize(b *testing.B, v any) float64 {
	b.Helper()
	raw, err := msgpack.Marshal(v)
	require.NoError(b, err)
	return float64(len(raw))
}

// relayedFleet returns a leader and eight relays before a fleet of entries.
func relayedFleet(b *testing.B, entries int) (*coordinator.Core, []*relayNode, time.Time) {
	b.Helper()
	leader := coordinator.NewCore(3, start, allowanceLifetime, window)
	limits := make(map[string]divider.Limit)
	for i := range benchCustomers {
		limits[fmt.Sprint("customer", i)] = divider.Limit{Rate: 1e6, Burst: 1e6, Initial: 1e5}
	}
	leader.SetLimits(limits, start)
	endpoints := make([]coordinator.Endpoint, 2*entries)
	for i := range endpoints {
		endpoints[i] = coordinator.Endpoint{ID: fmt.Sprint("e", i)}
	}
	leader.SetEndpoints(endpoints, start)
	now := start.Add(time.Minute)
	relays := make([]*relayNode, 8)
	for i := range relays {
		relays[i] = newRelayNode(fmt.Sprint("r", i), uint64(1+i)<<32)
		for range 2 + len(endpoints)/512 {
			relays[i].reportTo(b, leader, now, false)
		}
	}
	var listID coordinator.ListID
	for round := range 2 {
		for i := range entries {
			d, ok := relays[i%len(relays)].core.HandleReport(benchReport(i, entries, listID, 2*entries, now), now)
			require.True(b, ok)
			if round == 0 && d.Length > 0 {
				listID = d.ListID
			}
		}
	}
	return leader, relays, now
}

var benchFleets = []int{30, 100, 300, 1000}

// BenchmarkRelayedLeader measures the leader's work for the report of one of eight relays, by
// the number of entries behind them.
func BenchmarkRelayedLeader(b *testing.B) {
	for _, entries := range benchFleets {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			leader, relays, now := relayedFleet(b, entries)
			reports := make([]*coordinator.Report, len(relays))
			for i, r := range relays {
				reports[i] = r.core.Report(now)
			}
			d := leader.HandleReport(reports[0], now)
			size := encodedSize(b, reports[0]) + encodedSize(b, &d)
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(20 * time.Millisecond)
				reports[i%len(reports)].WallClock = now.UnixNano()
				leader.HandleReport(reports[i%len(reports)], now)
			}
			b.ReportMetric(size, "bytes/op")
		})
	}
}

// BenchmarkRelay measures a relay's work for the report of an entry, by the number of entries of
// the fleet.
func BenchmarkRelay(b *testing.B) {
	for _, entries := range benchFleets {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			leader, relays, now := relayedFleet(b, entries)
			r := relays[0]
			r.reportTo(b, leader, now, false)
			var listID coordinator.ListID
			d, _ := r.core.HandleReport(benchReport(0, entries, listID, 0, now), now)
			listID = d.ListID
			size := 0.0
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				e := benchReport(8*(i%(entries/8)), entries, listID, 2*entries, now)
				d, _ = r.core.HandleReport(e, now)
				if i == 0 {
					size = encodedSize(b, e) + encodedSize(b, &d)
				}
			}
			b.ReportMetric(size, "bytes/op")
		})
	}
}
