package runner

import "github.com/prometheus/client_golang/prometheus"

var (
	readyDesc = prometheus.NewDesc("hyssoprudder_node_ready",
		"1 if the node takes calls, else 0.", nil, nil)
	revisionDesc = prometheus.NewDesc("hyssoprudder_rules_revision",
		"Revision of the rules in force at this node.", nil, nil)
	waitingDesc = prometheus.NewDesc("hyssoprudder_calls_waiting",
		"Calls that wait for room, by service.", []string{"service"}, nil)
	leaderDesc = prometheus.NewDesc("hyssoprudder_keeper_leader",
		"1 if this keeper leads, else 0.", nil, nil)
	failedDesc = prometheus.NewDesc("hyssoprudder_keeper_failed",
		"1 if this keeper has stopped after a failure of its disk, else 0.", nil, nil)
	commitDesc = prometheus.NewDesc("hyssoprudder_keeper_commit_index",
		"Last committed entry that this keeper knows.", nil, nil)
	evacuatedDesc = prometheus.NewDesc("hyssoprudder_evacuated_domains",
		"Failure domains that are evacuated, as far as this node knows.", nil, nil)
	claimsDesc = prometheus.NewDesc("hyssoprudder_keeper_claims",
		"Claims that this keeper holds.", nil, nil)
)

// collector is a Prometheus collector that reads the state of a node at each scrape.
type collector struct {
	runner *Runner
}

// Describe sends the descriptions of the metrics to ch.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{readyDesc, revisionDesc, waitingDesc, leaderDesc, failedDesc, commitDesc, claimsDesc, evacuatedDesc} {
		ch <- d
	}
}

// Collect sends the present values of the metrics to ch.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	r := c.runner
	ch <- gauge(readyDesc, boolToFloat(r.ready() == nil))
	ch <- gauge(revisionDesc, float64(r.rules.revision()))
	ch <- gauge(evacuatedDesc, float64(len(r.domains.evacuated())))
	if r.entry != nil {
		for service, n := range r.entry.handler.Waiting() {
			ch <- gauge(waitingDesc, float64(n), service)
		}
	}
	if r.state.keeper == nil {
		return
	}
	status := r.state.keeper.Status()
	ch <- gauge(leaderDesc, boolToFloat(status.Leader == r.settings.ID()))
	ch <- gauge(failedDesc, boolToFloat(status.Failure != ""))
	ch <- gauge(commitDesc, float64(status.Commit))
	ch <- gauge(claimsDesc, float64(status.Claims))
}

func gauge(desc *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
