// Package assembler puts together a node that a provider places: entries, which
// serve callers, and keepers, which hold the log and direct the entries. What
// lies outside is plugged in as functions.
package assembler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"hyssoprudder/internal/connection/listener"
	"hyssoprudder/internal/connection/messenger"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/process/reporter"
	"hyssoprudder/internal/process/settings"
	"hyssoprudder/internal/process/submitter"
	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/version/mover"
)

// Operators is what operators ask of a keeper.
type Operators struct {
	// Put accepts a ruleset and the document that it was read from.
	Put func(ctx context.Context, r *registrar.Ruleset, document []byte) error
	// Document returns the newest accepted document.
	Document func(ctx context.Context) ([]byte, error)
	// StartMove begins to move a service to a version.
	StartMove func(ctx context.Context, service, version string, within time.Duration) error
	// Move returns the state of a service's move; ok is false if there is none.
	Move func(ctx context.Context, service string) (s mover.State, ok bool, err error)
	// Log receives what is ordered.
	Log *log.Logger
}

// Serve answers a decoded call.
type Serve func(ctx context.Context, w http.ResponseWriter, call *forwarder.Call)

// Outside is how a node meets what is outside.
type Outside struct {
	// Front returns the handler for callers.
	Front func(serve Serve, isClosing func() bool, now func() time.Time) http.Handler
	// Ready returns the handler by which the balancer asks whether a node is ready.
	Ready func(isReady func() bool) http.Handler
	// Control returns the handler for operators.
	Control func(o *Operators) http.Handler
	// Encode, Decode and Refuse are described in forwarder.Config.
	Encode func(call *forwarder.Call, order *forwarder.AttemptMetadata) http.Header
	Decode func(response *http.Response) forwarder.Reply
	Refuse func(w http.ResponseWriter, call *forwarder.Call, refusal forwarder.Refusal, after time.Duration)
	// List, SendUsage and SendSize are described in submitter.Config.
	List      func(ctx context.Context) ([]coordinator.Endpoint, error)
	SendUsage func(ctx context.Context, h submitter.Holder, window int64, counts map[string]int) submitter.Outcome
	SendSize  func(ctx context.Context, h submitter.Holder, s submitter.SizeOrder) submitter.Outcome
	// HasUsage and HasSize say which duties there are.
	HasUsage bool
	HasSize  bool
}

// confirmedShare is the part of the bound on revoked keys for which a node serves
// on rules that were not confirmed anew. The rest covers what is under way.
const confirmedShare = 0.75

// Node is one managed node.
type Node struct {
	settings    *settings.Managed
	outside     Outside
	steady      *clock.Boot  // for leases and freshness
	clock       clock.System // for everything else
	log         *log.Logger
	registry    *prometheus.Registry
	incarnation uint64
	stopping    atomic.Bool
	failed      chan error

	messenger *messenger.Messenger
	reporter  *reporter.Reporter // entries only
	entry     *entry             // entries only
	keeper    *keeperPart        // keepers only
	metrics   *listener.Listener
}

// New makes a node from its settings. Nothing listens yet.
func New(s *settings.Managed, o Outside, l *log.Logger) (*Node, error) {
	n := &Node{
		settings: s, outside: o, steady: clock.NewBoot(), log: l,
		registry: prometheus.NewRegistry(), failed: make(chan error, 1),
	}
	n.incarnation = uint64(n.steady.Now().UnixNano())
	n.registry.MustRegister(collectors.NewGoCollector())
	var err error
	n.messenger, err = messenger.New(messenger.Config{
		ID: s.ID(), Incarnation: n.incarnation, Listen: s.Nodes(), Key: []byte(s.Secret()), Clock: n.clock,
		Log: l.With("part", "messenger"), Registerer: n.registry,
	})
	if err != nil {
		return nil, err
	}
	if s.Has(settings.RoleKeeper) {
		if err := n.buildKeeper(); err != nil {
			return nil, err
		}
	}
	if s.Has(settings.RoleEntry) {
		n.buildEntry()
	}
	return n, nil
}

// Start listens and begins to take part.
func (n *Node) Start() error {
	if err := n.messenger.Start(); err != nil {
		return err
	}
	if n.keeper != nil {
		if err := n.keeper.start(); err != nil {
			return err
		}
	}
	if n.entry != nil {
		if err := n.entry.start(); err != nil {
			return err
		}
	}
	if address := n.settings.Metrics(); address.IsValid() {
		n.metrics = listener.New("metrics", &http.Server{
			Handler: promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}), ReadHeaderTimeout: time.Second,
		}, nil, n.log)
		if err := n.metrics.Start(address); err != nil {
			return err
		}
	}
	n.log.Info("started", "nodes", n.messenger.Address(), "callers", n.settings.Callers(), "control", n.settings.Control())
	return nil
}

// Failed returns a channel that receives the error of a part that cannot go on.
func (n *Node) Failed() <-chan error { return n.failed }

// Stop ends the node without cutting calls, as long as ctx allows.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	if n.entry != nil {
		n.entry.stop(ctx)
	}
	if n.keeper != nil {
		n.keeper.stop(ctx)
	}
	if n.metrics != nil {
		n.metrics.Close()
	}
	// What still runs between nodes answers nobody any more.
	short, cancel := context.WithTimeout(ctx, lastCalls)
	defer cancel()
	if err := n.messenger.Stop(short); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stop: %w", err)
	}
	n.log.Info("stopped")
	return nil
}

// lastCalls is how long a stopping node waits for calls of other nodes.
const lastCalls = 200 * time.Millisecond

// Reload takes over what may change in the settings of a running node.
func (n *Node) Reload() {
	s, err := settings.LoadManaged(n.settings.File())
	if err != nil {
		n.log.Error("settings not reloaded; the old ones stay", "err", err)
		return
	}
	if n.reporter != nil {
		n.reporter.SetSeeds(s.Seeds())
	}
	n.log.Info("settings reloaded", "seeds", s.Seeds())
}

// reloadPause is the time between two looks at the settings file.
const reloadPause = time.Second

// Watcher reloads the settings when their file changes.
type Watcher struct {
	node *Node
	done <-chan struct{}
	seen time.Time
}

// NewWatcher returns a watcher that ends with done.
func NewWatcher(n *Node, done <-chan struct{}) *Watcher {
	w := &Watcher{node: n, done: done}
	w.seen = w.changed()
	return w
}

// Start begins to watch.
func (w *Watcher) Start() { go w.run() }

func (w *Watcher) run() {
	for clock.Sleep(w.node.clock, reloadPause, w.done) {
		if at := w.changed(); !at.Equal(w.seen) {
			w.seen = at
			w.node.Reload()
		}
	}
}

// changed returns when the file was written, or the zero time while it is replaced.
func (w *Watcher) changed() time.Time {
	info, err := os.Stat(w.node.settings.File())
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// call sends a request to another node.
func (n *Node) call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	return n.messenger.Call(ctx, to, method, args, reply)
}
