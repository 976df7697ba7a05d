// Package assembler builds the nodes of a deployment that a platform manages: entries, which
// serve callers, and keepers, which hold the replicated log and send directives to the
// entries. Code that depends on the platform is passed in as functions, in an Adapter.
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
	"hyssoprudder/internal/connection/screener"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/process/reporter"
	"hyssoprudder/internal/process/settings"
	"hyssoprudder/internal/process/submitter"
	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/version/mover"
)

// Operators holds the functions of a keeper that serve operators' requests.
type Operators struct {
	// Put proposes a ruleset and the document that it was read from.
	Put func(ctx context.Context, r *registrar.Ruleset, document []byte) error
	// Document returns the newest accepted document.
	Document func(ctx context.Context) ([]byte, error)
	// StartMove starts a move of a service to a version, to be decided within a duration.
	StartMove func(ctx context.Context, service, version string, within time.Duration) error
	// Move returns the state of a service's move; ok is false if no move was ordered.
	Move func(ctx context.Context, service string) (s mover.State, ok bool, err error)
	// IsDomain reports whether the deployment has a failure domain.
	IsDomain func(domain string) bool
	// SetEvacuated starts or ends the evacuation of a failure domain.
	SetEvacuated func(ctx context.Context, domain string, evacuated bool) error
	// Log records operators' requests.
	Log *log.Logger
}

// Serve serves a decoded call and writes the answer to w.
type Serve func(ctx context.Context, w http.ResponseWriter, call *forwarder.Call)

// Adapter holds the functions that depend on the platform: the handlers of requests, the
// encoding of calls to endpoints, and the requests to the provider.
type Adapter struct {
	// CallerHandler returns the handler that decodes callers' requests and passes them to serve.
	CallerHandler func(serve Serve, isClosing func() bool, now func() time.Time) http.Handler
	// ReadyHandler returns the handler of the load balancer's readiness checks.
	ReadyHandler func(isReady func() bool) http.Handler
	// OperatorHandler returns the handler for operators.
	OperatorHandler func(o *Operators) http.Handler
	// Encode, Decode and Refuse are described in forwarder.Config.
	Encode func(call *forwarder.Call, metadata *forwarder.AttemptMetadata) http.Header
	Decode func(response *http.Response) forwarder.Reply
	Refuse func(w http.ResponseWriter, call *forwarder.Call, refusal forwarder.Refusal, retryAfter time.Duration)
	// Born returns when the endpoint at an address was started, in milliseconds since 1970, as
	// it says itself. It may be nil if endpoints don't say that.
	Born func(ctx context.Context, address netip.AddrPort) (int64, error)
	// List, SendUsage and SendSize are described in submitter.Config.
	List      func(ctx context.Context) ([]coordinator.Endpoint, error)
	SendUsage func(ctx context.Context, h submitter.Holder, window int64, counts map[string]int) submitter.Outcome
	SendSize  func(ctx context.Context, h submitter.Holder, s submitter.SizeOrder) submitter.Outcome
	// HasUsage and HasSize select the duties toward the provider: reporting usage and
	// ordering sizes of services.
	HasUsage bool
	HasSize  bool
}

// confirmedFraction is the fraction of the bound on revoked keys for which a node
// serves by rules that were not confirmed again. The rest covers calls in flight.
const confirmedFraction = 0.75

// outdatedFraction is the fraction of the bound on changes for which a node serves by
// rules that it knows to be replaced. The rest covers the time until it learns of the
// new ones.
const outdatedFraction = 0.5

// Node is a node of a managed deployment. It is an entry, a keeper or both.
type Node struct {
	settings    *settings.Managed
	adapter     Adapter
	bootClock   *clock.Boot  // for leases and freshness
	clock       clock.System // for everything else
	log         *log.Logger
	registry    *prometheus.Registry
	incarnation uint64
	stopping    atomic.Bool
	failed      chan error

	messenger *messenger.Messenger
	reporter  *reporter.Reporter // entries only
	entry     *entry             // entries only
	keeper    *keeperRole        // keepers only
	metrics   *listener.Listener
	clients   *clients
}

// New creates a node from its settings. The node listens only after Start.
func New(s *settings.Managed, a Adapter, l *log.Logger) (*Node, error) {
	n := &Node{
		settings: s, adapter: a, bootClock: clock.NewBoot(), log: l,
		registry: prometheus.NewRegistry(), failed: make(chan error, 1),
	}
	n.incarnation = uint64(n.bootClock.Now().UnixNano())
	n.registry.MustRegister(collectors.NewGoCollector())
	n.clients = newClients(n)
	n.registry.MustRegister(n.clients)
	n.limitMemory()
	var err error
	n.messenger, err = messenger.New(messenger.Config{
		ID: s.ID(), Incarnation: n.incarnation, Listen: s.Nodes(), Key: []byte(s.Secret()), Clock: n.clock,
		Log: l.With("part", "messenger"), Registerer: n.registry, MaxUnauthenticated: n.clients.unauthenticated(),
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
	n.registry.MustRegister(&contact{n}, &evacuated{n})
	return n, nil
}

// Start starts the listeners and the background work of the node's roles.
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
		n.metrics.Screen(n.clients.screener(probeLimits, n.clients.probes()))
		if err := n.metrics.Start(address); err != nil {
			return err
		}
	}
	n.clients.start()
	n.log.Info("started", "nodes", n.messenger.Address(), "callers", n.settings.Callers(), "control", n.settings.Control())
	return nil
}

// probeLimits bounds the time for the head of a readiness check or of a request for metrics.
func probeLimits() screener.Limits { return screener.Limits{Head: time.Second} }

// Failed returns a channel that receives the error of a component that can't continue.
func (n *Node) Failed() <-chan error { return n.failed }

// Stop shuts the node down. Calls in flight may complete until the deadline of ctx.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.clients.stop()
	if n.entry != nil {
		n.entry.stop(ctx)
	}
	if n.keeper != nil {
		n.keeper.stop(ctx)
	}
	if n.metrics != nil {
		n.metrics.Close()
	}
	// Nobody waits any longer for the calls between nodes that are still in flight.
	stopCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	if err := n.messenger.Stop(stopCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stop: %w", err)
	}
	n.log.Info("stopped")
	return nil
}

// peerCallTimeout is how long a stopping node waits for calls of other nodes to end.
const peerCallTimeout = 200 * time.Millisecond

// Reload reads the settings file again and applies the settings that may change while
// the node runs: the seeds.
func (n *Node) Reload() {
	s, err := settings.LoadManaged(n.settings.File())
	if err != nil {
		n.log.Error("settings not reloaded; the previous settings stay in use", "err", err)
		return
	}
	if n.reporter != nil {
		n.reporter.SetSeeds(s.Seeds())
	}
	n.log.Info("settings reloaded", "seeds", s.Seeds())
}

// reloadInterval is the time between two checks of the settings file.
const reloadInterval = time.Second

// Watcher reloads the settings when their file changes.
type Watcher struct {
	node        *Node
	done        <-chan struct{}
	lastModTime time.Time
}

// NewWatcher returns a watcher that stops when done is closed.
func NewWatcher(n *Node, done <-chan struct{}) *Watcher {
	w := &Watcher{node: n, done: done}
	w.lastModTime = w.modTime()
	return w
}

// Start starts to watch in a new goroutine.
func (w *Watcher) Start() { go w.run() }

func (w *Watcher) run() {
	for clock.Sleep(w.node.clock, reloadInterval, w.done) {
		if current := w.modTime(); !current.Equal(w.lastModTime) {
			w.lastModTime = current
			w.node.Reload()
		}
	}
}

// modTime returns when the settings file was last modified, or the zero time if it
// doesn't exist, as while it is replaced.
func (w *Watcher) modTime() time.Time {
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
