package assembler

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/placer"
)

var (
	coldDesc  = prometheus.NewDesc("hyssoprudder_cold_endpoints", "Listed endpoints that are or may be cold after their start, as this node knows.", nil, nil)
	leaseDesc = prometheus.NewDesc("hyssoprudder_warmup_leases", "Warm-up leases for cold endpoints that this node holds.", nil, nil)
)

// unstatedListAge is the assumed age of the list of a leader of an earlier release, which does not state it.
// Without it, an endpoint with which contact was lost would get no calls until that leader is replaced. Such a
// leader reads the list every 0.3 s, and a relay's copy is up to a second old.
const unstatedListAge = 2 * time.Second

// warmups connects an entry's placer with the rules and directives on cold endpoints, and reports on them.
type warmups struct {
	*entry
}

// Describe sends the descriptions of the metrics.
func (w *warmups) Describe(out chan<- *prometheus.Desc) {
	out <- coldDesc
	out <- leaseDesc
}

// Collect sends the metrics.
func (w *warmups) Collect(out chan<- prometheus.Metric) {
	cold, leases := w.placer.ColdState(w.node.bootClock.Now())
	out <- prometheus.MustNewConstMetric(coldDesc, prometheus.GaugeValue, float64(cold))
	out <- prometheus.MustNewConstMetric(leaseDesc, prometheus.GaugeValue, float64(leases))
}

// log logs which endpoints have become cold or warm.
func (w *warmups) log() {
	cold, warm := w.placer.ColdChanges(w.node.bootClock.Now())
	for _, e := range cold {
		w.node.log.Info("endpoint is or may be cold; it gets calls with a warm-up lease only", "endpoint", e.ID, "service", e.Service, "domain", e.Domain)
	}
	for _, e := range warm {
		w.node.log.Info("endpoint is warm", "endpoint", e.ID, "service", e.Service, "domain", e.Domain)
	}
}

// setRules sets which services have endpoints that warm up.
func (w *warmups) setRules(r *registrar.Ruleset) {
	services := make(map[string]bool)
	for i := range r.Services {
		if s := &r.Services[i]; s.ColdRate > 0 {
			services[s.Name] = true
		}
	}
	w.placer.SetWarming(services, w.node.settings.Provider().Lag())
}

// apply records the leases of a directive that answered a report sent at sentAt. The age of the list is
// counted from then, so that the time of its reading is not taken for too late.
func (w *warmups) apply(d *coordinator.Directive, sentAt time.Time) {
	leases := &placer.Warmups{Positions: d.Warmups, Until: sentAt.Add(d.WarmupLifetime), Offset: time.Unix(0, d.ClusterTime).Sub(w.node.bootClock.Now())}
	switch {
	case d.Received < d.Length:
	case d.ListRead > 0:
		leases.ListRead = sentAt.Add(-time.Duration(d.ClusterTime - d.ListRead))
	default:
		leases.ListRead = sentAt.Add(-unstatedListAge)
	}
	w.placer.SetWarmups(leases, w.node.bootClock.Now())
}
