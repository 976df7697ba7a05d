package assembler

import (
	"github.com/prometheus/client_golang/prometheus"
)

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
