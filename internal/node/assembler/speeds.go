package assembler

import (
	"github.com/prometheus/client_golang/prometheus"
)

var speedDesc = prometheus.NewDesc("hyssoprudder_endpoint_speed",
	"Measured prefill speed of a service's slowest and fastest endpoint, relative to the service's mean.", []string{"service", "endpoint"}, nil)

// speeds reports how much the endpoints of services differ, in the log and as metrics.
type speeds struct {
	*entry
}

// Describe sends the description of the metric.
func (s *speeds) Describe(out chan<- *prometheus.Desc) { out <- speedDesc }

// Collect sends the metrics: two series a service, however many endpoints it has.
func (s *speeds) Collect(out chan<- prometheus.Metric) {
	for service, speed := range s.placer.Speeds() {
		out <- prometheus.MustNewConstMetric(speedDesc, prometheus.GaugeValue, speed.Slowest, service, "slowest")
		out <- prometheus.MustNewConstMetric(speedDesc, prometheus.GaugeValue, speed.Fastest, service, "fastest")
	}
}

// check logs services whose endpoints turned out to differ, or not to differ any more. Only the
// sweeper calls it.
func (s *speeds) check() {
	if s.uneven == nil {
		s.uneven = make(map[string]bool)
	}
	for service, speed := range s.placer.Speeds() {
		if speed.IsUneven == s.uneven[service] {
			continue
		}
		s.uneven[service] = speed.IsUneven
		message := "endpoints differ in speed; predictions use the measured speeds"
		if !speed.IsUneven {
			message = "endpoints don't differ in speed any more"
		}
		s.node.log.Info(message, "service", service, "slowest", speed.Slowest, "fastest", speed.Fastest)
	}
}
