package assembler

import "github.com/prometheus/client_golang/prometheus"

var (
	leavingDesc = prometheus.NewDesc("hyssoprudder_leaving_endpoints", "Listed endpoints that said to this node that they leave.", nil, nil)
	pausedDesc  = prometheus.NewDesc("hyssoprudder_paused_endpoints", "Listed endpoints that want no calls from this node for a while.", nil, nil)
)

// notices reports what endpoints said of themselves, in the log and as metrics.
type notices struct {
	*entry
}

// Describe sends the descriptions of the metrics.
func (n *notices) Describe(out chan<- *prometheus.Desc) {
	out <- leavingDesc
	out <- pausedDesc
}

// Collect sends the metrics.
func (n *notices) Collect(out chan<- prometheus.Metric) {
	leaving, paused := 0, 0
	now := n.node.bootClock.Now()
	for _, notice := range n.placer.Notices() {
		if !notice.IsListed {
			continue
		}
		if !notice.LeavingSince.IsZero() {
			leaving++
		}
		if notice.IsPaused(now) {
			paused++
		}
	}
	out <- prometheus.MustNewConstMetric(leavingDesc, prometheus.GaugeValue, float64(leaving))
	out <- prometheus.MustNewConstMetric(pausedDesc, prometheus.GaugeValue, float64(paused))
}

// expire logs the notices that have ended.
func (n *notices) expire() {
	now := n.node.bootClock.Now()
	returned, left := n.placer.Expire(now)
	for _, e := range returned {
		n.node.log.Info("pause of an endpoint over; it gets calls from here again", "endpoint", e.ID, "service", e.Service, "lasted", now.Sub(e.PausedSince))
	}
	for _, e := range left {
		n.node.log.Info("endpoint has left; what it said is forgotten", "endpoint", e.ID, "service", e.Service, "age", now.Sub(e.LeavingSince))
	}
}
