package runner

import (
	"context"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/observer"
	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/request/router"
)

const (
	probeInterval = time.Second
	probeTimeout  = 2 * time.Second
	probesAtOnce  = 16
	hexBase       = 16
	opDrop        = "drop"
)

// prober reads the load reports and cache events of the endpoints.
type prober struct {
	entry *entry

	mu    sync.Mutex
	after map[string]uint64 // endpoint to the last cache event
}

func (p *prober) run() {
	defer p.entry.group.Done()
	for clock.Sleep(p.entry.runner.clock, probeInterval, p.entry.done) {
		p.probeAll()
	}
}

func (p *prober) probeAll() {
	rules := p.entry.runner.rules.rules()
	if rules == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var probes errgroup.Group
	probes.SetLimit(probesAtOnce)
	for _, e := range p.entry.runner.table.All() {
		service, known := rules.Service(e.Service())
		if known {
			one := probe{prober: p, endpoint: e, model: service.Kind() == parser.KindModel, ctx: ctx}
			probes.Go(one.run)
		}
	}
	_ = probes.Wait() // a probe that fails leaves the last report in place
}

// probe is one look at one endpoint.
type probe struct {
	prober   *prober
	endpoint lister.Endpoint
	model    bool
	ctx      context.Context //nolint:containedctx // lives as long as one round
}

func (p probe) run() error {
	r := p.prober.entry.runner
	report, err := r.dialer.Load(p.ctx, p.endpoint.Address())
	if err != nil {
		return err
	}
	at := report.At
	if now := r.clock.Now(); at.After(now) {
		at = now
	}
	p.prober.entry.observer.Report(p.endpoint.ID(), observer.Report{
		At: at, Running: report.Running, Queued: report.Queued, Slots: report.Slots,
		Used: int(report.KVUsed), Size: int(report.KVSize), Prefill: report.PrefillRate, Decode: report.DecodeRate,
	})
	if !p.model {
		return nil
	}
	return p.readEvents(r.dialer)
}

func (p probe) readEvents(d *dialer.Dialer) error {
	id := p.endpoint.ID()
	events, err := d.Events(p.ctx, p.endpoint.Address(), p.prober.last(id))
	if err != nil {
		return err
	}
	learned := make([]router.Event, 0, len(events))
	for _, event := range events {
		prefix, err := strconv.ParseUint(event.Prefix, hexBase, 64)
		if err != nil {
			return err
		}
		learned = append(learned, router.Event{Sequence: event.Seq, Drop: event.Op == opDrop, Prefix: prefix})
		p.prober.seen(id, event.Seq)
	}
	p.prober.entry.router.Events(id, learned)
	return nil
}

func (p *prober) last(id string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.after[id]
}

func (p *prober) seen(id string, seq uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.after[id] = max(p.after[id], seq)
}
