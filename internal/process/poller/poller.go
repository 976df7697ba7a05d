// Package poller reads the load reports and cache events of endpoints. The entries of a
// cell divide the endpoints among themselves; what one reads reaches the
// others by its digests.
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
	// DefaultInterval is the time between two reads of one endpoint.
	DefaultInterval = time.Second
	readLimit       = time.Second
	maxReads        = 8 // at once
)

// Config holds the parts and seams of a poller.
type Config struct {
	Self     string
	Clock    clock.Clock
	Interval time.Duration // 0 means DefaultInterval
	Observer *observer.Observer
	Router   *router.Router
	// Endpoints returns the endpoints that are in use.
	Endpoints func() []lister.Endpoint
	// Nodes returns the other entries that are alive.
	Nodes func() []string
	// Load reads the load report of an endpoint.
	Load func(ctx context.Context, e lister.Endpoint) (dialer.LoadReport, error)
	// Events reads the cache events of an engine after a sequence number. It may be nil.
	Events func(ctx context.Context, e lister.Endpoint, after uint64) ([]dialer.CacheEvent, error)
}

// Poller reads the endpoints of its part at an interval.
type Poller struct {
	cfg    Config
	cancel context.CancelFunc
	reads  *semaphore.Weighted
	group  sync.WaitGroup

	mu    sync.Mutex
	after map[string]uint64 // sequence number of the last event
}

// Start starts a poller. Stop ends it.
func Start(cfg Config) *Poller {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &Poller{cfg: cfg, cancel: cancel, reads: semaphore.NewWeighted(maxReads), after: make(map[string]uint64)}
	p.group.Add(1)
	go p.run(ctx)
	return p
}

// Stop ends the poller and waits for its reads.
func (p *Poller) Stop() {
	p.cancel()
	p.group.Wait()
}

func (p *Poller) run(ctx context.Context) {
	defer p.group.Done()
	for {
		p.poll(ctx)
		if !clock.Sleep(p.cfg.Clock, p.cfg.Interval, ctx.Done()) {
			return
		}
	}
}

// poll reads each endpoint of this entry's part once.
func (p *Poller) poll(ctx context.Context) {
	nodes := p.cfg.Nodes()
	var round sync.WaitGroup
	for _, e := range p.cfg.Endpoints() {
		if !owns(p.cfg.Self, nodes, e.ID()) {
			continue
		}
		if p.reads.Acquire(ctx, 1) != nil {
			break
		}
		round.Add(1)
		r := reader{poller: p, endpoint: e, round: &round}
		go r.run(ctx)
	}
	round.Wait()
}

// owns reports whether rendezvous hashing puts this entry first for an endpoint.
func owns(self string, nodes []string, endpoint string) bool {
	own := xxhash.Sum64String(self + "\x00" + endpoint)
	for _, node := range nodes {
		if xxhash.Sum64String(node+"\x00"+endpoint) > own {
			return false
		}
	}
	return true
}

type reader struct {
	poller   *Poller
	endpoint lister.Endpoint
	round    *sync.WaitGroup
}

func (r reader) run(ctx context.Context) {
	defer r.round.Done()
	defer r.poller.reads.Release(1)
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	r.readLoad(ctx)
	if r.poller.cfg.Events != nil {
		r.readEvents(ctx)
	}
}

// readLoad reads the report. The report's time is taken for one of the own clock's, but
// not for a time to come.
func (r reader) readLoad(ctx context.Context) {
	cfg := r.poller.cfg
	report, err := cfg.Load(ctx, r.endpoint)
	if err != nil {
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

func (r reader) readEvents(ctx context.Context) {
	p, id := r.poller, r.endpoint.ID()
	p.mu.Lock()
	after := p.after[id]
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
	p.after[id] = after
}
