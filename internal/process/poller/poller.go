// Package poller reads the load reports and cache events of endpoints. The entries of a cell divide the
// endpoints among themselves; an entry sends what it reads to the others in its digests.
package poller

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/semaphore"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/observer"
	"hyssoprudder/internal/request/router"
)

const (
	// DefaultInterval is the time between two reads of an endpoint.
	DefaultInterval = time.Second
	readTimeout     = time.Second
	maxReads        = 8 // concurrently, over all endpoints
)

// Config holds the settings and dependencies of a Poller.
type Config struct {
	Self     string
	Clock    clock.Clock
	Interval time.Duration // 0 means DefaultInterval
	Observer *observer.Observer
	Router   *router.Router
	// Endpoints returns the endpoints in use.
	Endpoints func() []lister.Endpoint
	// Nodes returns the names of the other live entries.
	Nodes func() []string
	// Load reads the load report of an endpoint.
	Load func(ctx context.Context, e lister.Endpoint) (dialer.LoadReport, error)
	// Events reads the cache events of an engine after a sequence number. It may be nil.
	Events func(ctx context.Context, e lister.Endpoint, after uint64) ([]dialer.CacheEvent, error)
}

// Poller reads the endpoints assigned to its entry at an interval.
type Poller struct {
	cfg    Config
	cancel context.CancelFunc
	reads  *semaphore.Weighted
	group  sync.WaitGroup

	mu      sync.Mutex
	lastSeq map[string]uint64 // last event's sequence number, by endpoint
}

// Start starts a poller. Stop stops it.
func Start(cfg Config) *Poller {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Poller{cfg: cfg, cancel: cancel, reads: semaphore.NewWeighted(maxReads), lastSeq: make(map[string]uint64)}
	p.group.Add(1)
	go p.run(ctx)
	return p
}

// Stop stops the poller and waits for reads in progress.
func (p *Poller) Stop() {
	p.cancel()
	p.group.Wait()
}

func (p *Poller) run(ctx context.Context) {
	defer p.group.Done()
	for {
		p.readAll(ctx)
		if !clock.Sleep(p.cfg.Clock, p.cfg.Interval, ctx.Done()) {
			return
		}
	}
}

// readAll reads each endpoint assigned to this entry once.
func (p *Poller) readAll(ctx context.Context) {
	nodes := p.cfg.Nodes()
	var round sync.WaitGroup
	for _, e := range p.cfg.Endpoints() {
		if !isAssigned(p.cfg.Self, nodes, e.ID()) {
			continue
		}
		if p.reads.Acquire(ctx, 1) != nil {
			break
		}
		round.Add(1)
		r := endpointReader{poller: p, endpoint: e, round: &round}
		go r.run(ctx)
	}
	round.Wait()
}

// isAssigned reports whether rendezvous hashing selects this entry for an endpoint.
func isAssigned(self string, nodes []string, endpoint string) bool {
	own := xxhash.Sum64String(self + "\x00" + endpoint)
	for _, node := range nodes {
		if xxhash.Sum64String(node+"\x00"+endpoint) > own {
			return false
		}
	}
	return true
}

type endpointReader struct {
	poller   *Poller
	endpoint lister.Endpoint
	round    *sync.WaitGroup
}

func (r endpointReader) run(ctx context.Context) {
	defer r.round.Done()
	defer r.poller.reads.Release(1)
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r.readLoad(ctx)
	if r.poller.cfg.Events != nil {
		r.readEvents(ctx)
	}
}

// readLoad reads the load report. The time of the report is assumed to be on this node's clock; a time in the
// future is replaced by the current time.
func (r endpointReader) readLoad(ctx context.Context) {
	cfg := r.poller.cfg
	report, err := cfg.Load(ctx, r.endpoint)
	if err != nil || !isInRange(&report) {
		return
	}
	at := report.At
	if now := cfg.Clock.Now(); at.After(now) {
		at = now
	}
	cfg.Observer.Report(r.endpoint.ID(), observer.Report{
		At: at, Running: report.Running, Queued: report.Queued, Slots: report.Slots,
		KVUsed: int(report.KVUsed), KVSize: int(report.KVSize), Prefill: report.PrefillRate, Decode: report.DecodeRate,
	})
}

// The largest numbers of a report, and the least rate, that an endpoint can have.
const (
	maxReportCalls = 1 << 20
	maxReportKV    = 1 << 50
	maxReportRate  = 1e9
	minReportRate  = 1e-3
)

// isInRange reports whether predictions can be based on a report. A rate of 0 is not known.
func isInRange(r *dialer.LoadReport) bool {
	for _, n := range []int{r.Running, r.Queued, r.Slots} {
		if n < 0 || n > maxReportCalls {
			return false
		}
	}
	for _, n := range []int64{r.KVUsed, r.KVSize} {
		if n < 0 || n > maxReportKV {
			return false
		}
	}
	for _, rate := range []float64{r.PrefillRate, r.DecodeRate} {
		if rate != 0 && (rate < minReportRate || rate > maxReportRate) {
			return false
		}
	}
	return true
}

func (r endpointReader) readEvents(ctx context.Context) {
	p, id := r.poller, r.endpoint.ID()
	p.mu.Lock()
	after := p.lastSeq[id]
	p.mu.Unlock()
	raw, err := p.cfg.Events(ctx, r.endpoint, after)
	if err != nil || len(raw) == 0 {
		return
	}
	events := make([]router.Event, 0, len(raw))
	for _, e := range raw {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			continue
		}
		events = append(events, router.Event{Sequence: e.Seq, Drop: e.Op == "drop", Prefix: prefix})
		after = max(after, e.Seq)
	}
	p.cfg.Router.ApplyEvents(id, events)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSeq[id] = after
}
