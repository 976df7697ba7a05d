package coordinator_test

import (
	"fmt"
	"testing"
	"time"

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
