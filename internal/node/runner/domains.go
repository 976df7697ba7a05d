package runner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"hyssoprudder/internal/connection/operator"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/lister"
)

const (
	// minDomainsInterval is the shortest time between two reads of the evacuated domains, and
	// perMemberDomainsInterval what each member adds to it, so that the leader's work does not grow
	// with the fleet.
	minDomainsInterval       = time.Second
	perMemberDomainsInterval = 10 * time.Millisecond
	// domainsTimeout bounds one read.
	domainsTimeout = 2 * time.Second
)

// domains is a node's view of the evacuated failure domains. It reads them from the leader of the
// log; while that fails, the known ones stay in force.
type domains struct {
	runner *Runner
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu          sync.Mutex
	evacuations []applier.Evacuation
}

func (d *domains) start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.group.Add(1)
	go d.run(ctx)
}

func (d *domains) stop() {
	d.cancel()
	d.group.Wait()
}

func (d *domains) run(ctx context.Context) {
	defer d.group.Done()
	for {
		d.read(ctx)
		interval := max(minDomainsInterval, time.Duration(len(d.runner.gossiper.Members()))*perMemberDomainsInterval)
		if !clock.Sleep(d.runner.clock, interval, ctx.Done()) {
			return
		}
	}
}

func (d *domains) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, domainsTimeout)
	defer cancel()
	list, err := d.runner.state.proposer.Evacuations(ctx)
	if err != nil {
		return
	}
	d.mu.Lock()
	before := d.evacuations
	d.evacuations = list
	d.mu.Unlock()
	if slices.Equal(before, list) {
		return
	}
	for _, e := range list {
		if !slices.Contains(before, e) {
			d.runner.log.Info("evacuation of a failure domain changed", "domain", e.Domain, "evacuated", e.Evacuated)
		}
	}
	d.runner.refresh()
}

// evacuated returns the evacuated domains, sorted.
func (d *domains) evacuated() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []string{}
	for _, e := range d.evacuations {
		if e.Evacuated {
			out = append(out, e.Domain)
		}
	}
	return out
}

// usable returns the endpoints that are not in evacuated domains.
func (d *domains) usable(all []lister.Endpoint) []lister.Endpoint {
	evacuated := d.evacuated()
	if len(evacuated) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(e lister.Endpoint) bool { return slices.Contains(evacuated, e.Domain()) })
}

// listDomains returns all failure domains, as recorded in the log.
func (r *Runner) listDomains(ctx context.Context) ([]operator.Domain, error) {
	recorded, err := r.state.proposer.Evacuations(ctx)
	if err != nil {
		return nil, proposeFault(err)
	}
	out := make([]operator.Domain, 0, len(r.settings.Domains()))
	for _, name := range r.settings.Domains() {
		domain := operator.Domain{Name: name}
		if i := slices.IndexFunc(recorded, func(e applier.Evacuation) bool { return e.Domain == name }); i >= 0 {
			domain = operatorDomain(recorded[i])
		}
		out = append(out, domain)
	}
	return out, nil
}

// setEvacuated starts or ends the evacuation of a domain.
func (r *Runner) setEvacuated(ctx context.Context, domain string, evacuated bool) (operator.Domain, error) {
	if !slices.Contains(r.settings.Domains(), domain) {
		return operator.Domain{}, &operator.Fault{Code: operator.CodeNotFound, Message: fmt.Sprintf("the deployment has no failure domain %q; \"domain list\" lists them", domain)}
	}
	state, err := r.state.proposer.SetEvacuated(ctx, domain, evacuated)
	if err != nil {
		return operator.Domain{}, proposeFault(err)
	}
	r.log.Info("evacuation committed", "domain", domain, "evacuated", evacuated, "number", state.Number)
	return operatorDomain(state), nil
}

func operatorDomain(e applier.Evacuation) operator.Domain {
	out := operator.Domain{Name: e.Domain, Evacuated: e.Evacuated}
	if e.At != 0 {
		out.Since = time.Unix(0, e.At).UTC()
	}
	return out
}
