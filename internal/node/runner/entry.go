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
	// maxStreamBytes bounds the answers that an entry holds, in bytes.
	maxStreamBytes = 256 << 20
	sweepInterval  = 5 * time.Second
)

// entry is the part of a node that serves callers.
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
	e.sharer = &sharer{entry: e, merged: make(map[digestKey]digestMark)}
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
		AttemptStarted: func(to lister.Endpoint, route string) { r.versions.began(to, route) },
		AttemptEnded:   func(to lister.Endpoint, route string, a handler.AttemptResult) { r.versions.ended(to, route, a) },
		Peers:          handler.Peers{Nodes: r.entries, Read: e.readPeer, HandOver: e.handPeer},
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

// cacheEvents reads the cache events of an engine. A plain service has none, and
// would take the question for a call.
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

// stop ends the entry's loops. No call runs any more.
func (e *entry) stop() {
	e.poller.Stop()
	close(e.done)
	e.group.Wait()
	e.handler.Close()
	e.claimer.Stop()
}

// refresh takes the endpoints and targets over into the router after a change.
func (r *Runner) refresh() {
	rules := r.rules.rules()
	if r.entry == nil || rules == nil {
		return
	}
	r.refreshing.Lock()
	defer r.refreshing.Unlock()
	targets := make(map[string]router.Target, len(rules.Services()))
	for _, s := range rules.Services() {
		targets[s.Name()] = router.Target{First: s.First(), Next: s.Next()}
	}
	all := r.table.All()
	keep := make(map[string]bool, len(all))
	for _, endpoint := range all {
		keep[endpoint.ID()] = true
		r.entry.observer.SetLeaving(endpoint.ID(), r.table.Leaving(endpoint.ID()))
	}
	r.entry.router.Update(r.versions.usable(all), targets)
	r.entry.observer.Evict(keep)
}

// streamService is the name under which StreamService is registered.
const streamService = "stream"

// StreamService answers other entries about this entry's streams.
type StreamService struct {
	entry *entry
}

// streamTimeout bounds the answer to one question about a stream.
const streamTimeout = 2 * time.Second

// Read answers with tokens of a stream.
func (s *StreamService) Read(args *handler.StreamQuery, reply *handler.StreamBatch) error {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	*reply = s.entry.handler.ReadStream(ctx, *args)
	return nil
}

// HandArgs carries the record of a stream.
type HandArgs struct {
	Record []byte `msgpack:"record"`
}

// HandReply says that a record was taken over.
type HandReply struct{}

// Hand takes a stream over from an entry that stops.
func (s *StreamService) Hand(args *HandArgs, _ *HandReply) error {
	return s.entry.handler.Adopt(args.Record)
}

func (e *entry) readPeer(ctx context.Context, node string, q handler.StreamQuery) (handler.StreamBatch, error) {
	var batch handler.StreamBatch
	err := e.runner.callNode(ctx, node, streamService+".Read", &q, &batch)
	return batch, err
}

func (e *entry) handPeer(ctx context.Context, node string, record []byte) error {
	return e.runner.callNode(ctx, node, streamService+".Hand", &HandArgs{Record: record}, &HandReply{})
}
