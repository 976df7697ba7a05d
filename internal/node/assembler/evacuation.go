package assembler

import (
	"context"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"hyssoprudder/internal/process/coordinator"
)

// isDomain reports whether the deployment has the failure domain.
func (k *keeperRole) isDomain(name string) bool {
	return slices.Contains(k.node.settings.Domains(), name)
}

// setEvacuated starts or ends the evacuation of a domain. It returns nil once the order is committed.
func (k *keeperRole) setEvacuated(ctx context.Context, domain string, evacuated bool) error {
	state, err := k.proposer.SetEvacuated(ctx, domain, evacuated)
	if err != nil {
		return err
	}
	k.node.log.Info("evacuation committed", "domain", domain, "evacuated", evacuated, "number", state.Number)
	return nil
}

// evacuated returns the domains that are evacuated according to what this keeper has applied.
func (k *keeperRole) evacuated() []string {
	var out []string
	for _, e := range k.state.Evacuations() {
		if e.Evacuated {
			out = append(out, e.Domain)
		}
	}
	return out
}

// applyEvacuated passes the evacuated domains of a directive to the placer.
func (e *entry) applyEvacuated(d *coordinator.Directive) {
	e.mu.Lock()
	defer e.mu.Unlock()
	began, ended := e.evacuated.Apply(d)
	if len(began) == 0 && len(ended) == 0 {
		return
	}
	for _, domain := range ended {
		e.placer.DoubtDomain(domain, e.node.bootClock.Now())
	}
	e.placer.SetEvacuated(e.evacuated.Domains())
	for _, domain := range began {
		e.node.log.Info("failure domain evacuated; its endpoints get no calls from here", "domain", domain)
	}
	for _, domain := range ended {
		e.node.log.Info("evacuation ended; the domain's endpoints get calls again", "domain", domain)
	}
}

var evacuatedDesc = prometheus.NewDesc("hyssoprudder_evacuated_domains", "Failure domains that are evacuated, as far as this role of the node knows.", []string{"role"}, nil)

// evacuated reports the number of evacuated domains as a metric.
type evacuated struct {
	*Node
}

// Describe sends the description of the metric.
func (m *evacuated) Describe(out chan<- *prometheus.Desc) { out <- evacuatedDesc }

// Collect sends the metric.
func (m *evacuated) Collect(out chan<- prometheus.Metric) {
	if e := m.entry; e != nil {
		e.mu.Lock()
		n := len(e.evacuated.Domains())
		e.mu.Unlock()
		out <- prometheus.MustNewConstMetric(evacuatedDesc, prometheus.GaugeValue, float64(n), "entry")
	}
	if m.keeper != nil {
		out <- prometheus.MustNewConstMetric(evacuatedDesc, prometheus.GaugeValue, float64(len(m.keeper.evacuated())), "keeper")
	}
}
