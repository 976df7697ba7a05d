package assembler

import (
	"github.com/prometheus/client_golang/prometheus"
)

var (
	confirmationDesc = prometheus.NewDesc("hyssoprudder_confirmation_age_seconds", "Age of the last confirmation that this node's rules are the newest.", nil, nil)
	sourceDesc       = prometheus.NewDesc("hyssoprudder_report_source_seconds", "Time for which this node has reported to a keeper without a change.", []string{"keeper"}, nil)
	relayEntriesDesc = prometheus.NewDesc("hyssoprudder_relay_entries", "Entries that report to this keeper while it does not lead.", nil, nil)
	relayAgeDesc     = prometheus.NewDesc("hyssoprudder_relay_age_seconds", "Age of what this keeper was last told by the leader.", nil, nil)
)

// contact reports a node's contact with the leader as metrics.
type contact struct {
	*Node
}

// Describe sends the descriptions of the metrics.
func (c *contact) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{confirmationDesc, sourceDesc, relayEntriesDesc, relayAgeDesc} {
		out <- d
	}
}

// Collect sends the metrics.
func (c *contact) Collect(out chan<- prometheus.Metric) {
	now := c.bootClock.Now()
	if c.reporter != nil {
		if confirmed := c.reporter.Confirmed(); !confirmed.IsZero() {
			out <- prometheus.MustNewConstMetric(confirmationDesc, prometheus.GaugeValue, now.Sub(confirmed).Seconds())
		}
		if keeper, since := c.reporter.Source(); !since.IsZero() {
			out <- prometheus.MustNewConstMetric(sourceDesc, prometheus.GaugeValue, now.Sub(since).Seconds(), keeper.String())
		}
	}
	if c.keeper != nil {
		state := c.keeper.relay.State()
		out <- prometheus.MustNewConstMetric(relayEntriesDesc, prometheus.GaugeValue, float64(state.Members))
		if !state.ConfirmedAt.IsZero() {
			out <- prometheus.MustNewConstMetric(relayAgeDesc, prometheus.GaugeValue, now.Sub(state.ConfirmedAt).Seconds())
		}
	}
}
