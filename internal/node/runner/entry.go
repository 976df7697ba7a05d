package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/observer"
	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/process/poller"
	"hyssoprudder/internal/process/proposer"
	"hyssoprudder/internal/request/claimer"
	"hyssoprudder/internal/request/handler"
	"hyssoprudder/internal/request/limiter"
	"hyssoprudder/internal/request/router"
	"hyssoprudder/internal/request/streamer"
)

const (
	// maxStreamBytes limits the total size of the answers that an entry buffers for streams.
	maxStreamBytes = 256 << 20
	sweepInterval  = 5 * time.Second
)

// entry serves callers on a node with the entry role.
type entry struct {
	runner   *Runner
	observer *observer.Observer
	router   *router.Router
	limiter  *limiter.Limiter
	claimer  *claimer.Claimer
	handler  *handler.Handler
	poller   *poller.Poller

	sweeper *sweeper
	sharer  *sharer

	done  chan struct{}
	group sync.WaitGroup
}

func (r *Runner) buildEntry() error {
	e := &entry{runner: r, limiter: limiter.New(1), done: make(chan struct{})}
	e.sweeper = &sweeper{entry: e}
	e.sharer = &sharer{entry: e, mergedVersions: make(map[digestKey]digestVersion)}
	e.observer = observer.New(r.clock.Now())
	e.router = router.New(e.observer, r.settings.Domain(), router.Predictive())
	e.claimer = claimer.New(claimer.Config{
		Entry: r.settings.ID(), Propose: r.state.proposer.Propose,
		IsNotRun: func(err error) bool { return errors.Is(err, proposer.ErrNotRun) },
		Wait: func(ctx context.Context, node string, args *claimer.WaitArgs, reply *claimer.WaitReply) error {
			return r.callNode(ctx, node, claimer.WaitMethod, args, reply)
		},
		Clock: r.clock, Log: r.log.With("part", "claimer"),
	})
	e.handler = handler.New(handler.Config{
		Clock: r.clock, Router: e.router, Observer: e.observer, Limiter: e.limiter, Streams: streamer.NewRegistry(maxStreamBytes),
		Do: r.dialer.Do, Status: r.dialer.Status, Generate: r.dialer.Generate, Export: r.dialer.Export, Import: r.dialer.Import,
		TerminatesAt:   r.table.TerminatesAt,
		Claimer:        e.claimer,
		AttemptStarted: func(to lister.Endpoint, route string) { r.versions.attemptStarted(to, route) },
		AttemptEnded:   func(to lister.Endpoint, route string, a handler.AttemptResult) { r.versions.attemptEnded(to, route, a) },
		Peers:          handler.Peers{Nodes: r.entries, Read: e.readFromPeer, HandOver: e.handOverToPeer},
	})
	r.entry = e
	if err := r.messenger.Register(claimer.ServiceName, claimer.NewService(e.claimer)); err != nil {
		return err
	}
	return r.messenger.Register(streamService, &StreamService{entry: e})
}

func (e *entry) start() {
	r := e.runner
	e.claimer.Start()
	e.poller = poller.Start(poller.Config{
		Self: r.settings.ID(), Clock: r.clock, Observer: e.observer, Router: e.router, Endpoints: r.table.All, Nodes: r.entries,
		Load: func(ctx context.Context, at lister.Endpoint) (dialer.LoadReport, error) {
			return r.dialer.Load(ctx, at.Address())
		},
		Events: r.cacheEvents,
	})
	e.group.Add(2)
	go e.sweeper.run()
	go e.sharer.run()
}

// cacheEvents reads the cache events of an engine. Plain services are not queried: they
// have no cache events and would treat the request as a call.
func (r *Runner) cacheEvents(ctx context.Context, at lister.Endpoint, after uint64) ([]dialer.CacheEvent, error) {
	rules := r.rules.rules()
	if rules == nil {
		return nil, nil
	}
	if service, known := rules.Service(at.Service()); !known || service.Kind() != parser.KindModel {
		return nil, nil
	}
	return r.dialer.Events(ctx, at.Address(), after)
}

// stop stops the entry's goroutines, after all calls have ended or were aborted.
func (e *entry) stop() {
	e.poller.Stop()
	close(e.done)
	e.group.Wait()
	e.handler.Close()
	e.claimer.Stop()
}

// refresh updates the router with the endpoints and targets after a change of either.
func (r *Runner) refresh() {
	rules := r.rules.rules()
	if r.entry == nil || rules == nil {
		return
	}
	r.refreshMu.Lock()
	defer r.refreshMu.Unlock()
	targets := make(map[string]router.Target, len(rules.Services()))
	for _, s := range rules.Services() {
		targets[s.Name()] = router.Target{First: s.First(), Next: s.Next()}
	}
	all := r.table.All()
	listed := make(map[string]bool, len(all))
	for _, endpoint := range all {
		listed[endpoint.ID()] = true
		r.entry.observer.SetLeaving(endpoint.ID(), r.table.IsLeaving(endpoint.ID()))
	}
	r.entry.router.Update(r.domains.usable(r.versions.usable(all)), targets)
	r.entry.observer.Evict(listed)
}

// streamService is the name under which StreamService is registered.
const streamService = "stream"

// StreamService serves other entries' requests about this entry's streams.
type StreamService struct {
	entry *entry
}

// streamTimeout bounds one read of a stream by another entry.
const streamTimeout = 2 * time.Second

// Read returns a batch of tokens of a stream.
func (s *StreamService) Read(args *handler.StreamQuery, reply *handler.StreamBatch) error {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	*reply = s.entry.handler.ReadStream(ctx, *args)
	return nil
}

// HandArgs carries the record of a stream that is handed over.
type HandArgs struct {
	Record []byte `msgpack:"record"`
}

// HandReply acknowledges that a stream was taken over.
type HandReply struct{}

// Hand takes over a stream from an entry that stops.
func (s *StreamService) Hand(args *HandArgs, _ *HandReply) error {
	return s.entry.handler.Adopt(args.Record)
}

func (e *entry) readFromPeer(ctx context.Context, node string, q handler.StreamQuery) (handler.StreamBatch, error) {
	var batch handler.StreamBatch
	err := e.runner.callNode(ctx, node, streamService+".Read", &q, &batch)
	return batch, err
}

func (e *entry) handOverToPeer(ctx context.Context, node string, record []byte) error {
	return e.runner.callNode(ctx, node, streamService+".Hand", &HandArgs{Record: record}, &HandReply{})
}
