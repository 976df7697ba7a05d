package assembler

import (
	"math"

	"github.com/prometheus/client_golang/prometheus"

	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/request/rationer"
)

// rationingFields is the number of figures that are exchanged for each rank.
const rationingFields = 3

func exportRationing(services map[string][rationer.Ranks]rationer.Work) coordinator.Rationing {
	if len(services) == 0 {
		return nil
	}
	out := make(coordinator.Rationing, len(services))
	for service, works := range services {
		fields := make([]uint32, 0, rationingFields*rationer.Ranks)
		for _, w := range works {
			for _, v := range []float64{w.Asked, w.Bad, w.Admitted} {
				fields = append(fields, uint32(min(max(v, 0), math.MaxUint32)))
			}
		}
		out[service] = fields
	}
	return out
}

// importRationing reads the sums over all nodes. Figures that a node of another release leaves
// out are 0, and further ones are ignored.
func importRationing(sums coordinator.Rationing) map[string][rationer.Ranks]rationer.Work {
	out := make(map[string][rationer.Ranks]rationer.Work, len(sums))
	for service, fields := range sums {
		var works [rationer.Ranks]rationer.Work
		for i := 0; i < len(works) && rationingFields*(i+1) <= len(fields); i++ {
			f := fields[rationingFields*i:]
			works[i] = rationer.Work{Asked: float64(f[0]), Bad: float64(f[1]), Admitted: float64(f[2])}
		}
		out[service] = works
	}
	return out
}

var levelDesc = prometheus.NewDesc("hyssoprudder_rationing_level",
	"Fraction of their usual queue time that calls of a priority have at this node; 1 without a shortage.", []string{"service", "priority"}, nil)

// rationing shows the levels of the rationer as metrics.
type rationing struct {
	*entry
}

// Describe sends the description of the metric.
func (r *rationing) Describe(out chan<- *prometheus.Desc) { out <- levelDesc }

// Collect sends the metric of each service that was called lately.
func (r *rationing) Collect(out chan<- prometheus.Metric) {
	for service, levels := range r.rationer.Levels(r.node.clock.Now()) {
		for priority, level := range levels {
			out <- prometheus.MustNewConstMetric(levelDesc, prometheus.GaugeValue, level, service, rankLabel(priority))
		}
	}
}
