// Package runner assembles a node from its components, starts it, and stops it without
// aborting calls in flight.
package runner

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"hyssoprudder/internal/connection/certifier"
	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/connection/messenger"
	"hyssoprudder/internal/connection/operator"
	"hyssoprudder/internal/connection/server"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/fetcher"
	"hyssoprudder/internal/process/gossiper"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/meter"
	"hyssoprudder/internal/process/reserver"
	"hyssoprudder/internal/process/settings"
)

// clientMemory is the memory in bytes that callers and operators may make a node hold, besides streams. It
// follows the bound of managed nodes whose machine is not described.
const clientMemory = 80 << 20

// Runner runs one node.
type Runner struct {
	settings      *settings.Settings
	clock         clock.Clock
	log           *log.Logger
	registry      *prometheus.Registry
	incarnation   uint64
	failed        chan error
	stopping      atomic.Bool
	routerVersion atomic.Uint64 // version of the table that the router has
	refreshMu     sync.Mutex    // held while the router is updated

	rules     holder
	table     *lister.Table
	dialer    *dialer.Dialer
	messenger *messenger.Messenger
	gossiper  *gossiper.Gossiper
	fetcher   *fetcher.Fetcher
	state     *stateComponents
	versions  *versions
	entry     *entry         // nil without the role entry
	callers   *server.Server // nil without the role entry
	clients   *reserver.Budget
	operators *operator.Server
	domains   *domains
}

// New creates a node from its settings. The node listens only after Start.
func New(s *settings.Settings, c clock.Clock, l *log.Logger) (*Runner, error) {
	r := &Runner{
		settings: s, clock: c, log: l,
		registry:    prometheus.NewRegistry(),
		incarnation: uint64(c.Now().UnixNano()),
		failed:      make(chan error, 1),
		table:       lister.NewTable(),
		dialer:      dialer.New(),
		clients:     reserver.NewBudget(clientMemory, c),
	}
	r.domains = &domains{runner: r}
	r.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	r.registry.MustRegister(&collector{runner: r})
	cert, err := r.certifier()
	if err != nil {
		return nil, err
	}
	if err := r.buildMessenger(); err != nil {
		return nil, err
	}
	if err := r.buildState(); err != nil {
		return nil, err
	}
	if err := r.buildMembership(); err != nil {
		return nil, err
	}
	if s.Has(settings.RoleEntry) {
		if err := r.buildEntry(); err != nil {
			return nil, err
		}
		r.buildCallers(cert)
	}
	r.buildVersions()
	return r, r.buildOperators(cert)
}

func (r *Runner) certifier() (*certifier.Certifier, error) {
	cert, key := r.settings.Certificate()
	if cert == "" {
		return nil, nil //nolint:nilnil // no certificate means no TLS
	}
	return certifier.New(cert, key, r.clock, func(err error) { r.log.Error("certificate not reloaded; the previous one stays in use", "err", err) })
}

func (r *Runner) buildMessenger() error {
	keys, err := readKeys(r.settings.Key())
	if err != nil {
		return err
	}
	r.messenger, err = messenger.New(messenger.Config{
		ID: r.settings.ID(), Incarnation: r.incarnation, Listen: r.settings.Nodes(),
		Key: keys[0], AcceptedKeys: keys[1:], Clock: r.clock, Log: r.log.With("part", "messenger"), Registerer: r.registry,
	})
	return err
}

// readKeys returns the keys of a file that holds one per line. The first one signs.
func readKeys(path string) ([][]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the deployment's key: %w", err)
	}
	var keys [][]byte
	for _, line := range strings.Fields(string(raw)) {
		keys = append(keys, []byte(line))
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s holds no key; make one with \"hyssoprudder key create\"", path)
	}
	return keys, nil
}

func (r *Runner) buildCallers(cert *certifier.Certifier) {
	r.callers = server.New(server.Config{
		Listen: r.settings.Callers(), Limits: r.settings.Limits(), Certifier: cert,
		Clock: r.clock, Log: r.log, Meter: meter.NewCalls(r.registry), Budget: r.clients,
		Rules: r.rules.rules, Ready: r.ready, Serve: r.entry.handler.Serve,
	})
}

func (r *Runner) buildOperators(cert *certifier.Certifier) error {
	token, err := os.ReadFile(r.settings.Token())
	if err != nil {
		return fmt.Errorf("read the operators' token: %w", err)
	}
	if strings.TrimSpace(string(token)) == "" {
		return fmt.Errorf("%s holds no token; make one with \"hyssoprudder key create\"", r.settings.Token())
	}
	config := operator.Config{
		Listen: r.settings.Operators(), Token: strings.TrimSpace(string(token)), Budget: r.clients, Certifier: cert, Clock: r.clock, Log: r.log,
		Metrics: promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}),
		Rules:   r.currentRules, Apply: r.applyRules, History: r.history, Waiting: r.waiting,
		Members: r.members, Endpoints: r.endpoints, Moves: r.moves, Abort: r.abort, Claim: r.claim, Domains: r.listDomains, SetEvacuated: r.setEvacuated, State: r.dump,
	}
	if r.settings.Drill() {
		config.Partition = r.partitionLinks
	}
	r.operators = operator.NewServer(config)
	return nil
}

// Start starts the listeners and the goroutines of the node. It returns when every port
// is bound; the node becomes ready later, when it knows the rules in force.
func (r *Runner) Start() error {
	if err := r.messenger.Start(); err != nil {
		return err
	}
	if err := r.startKeeper(); err != nil {
		return err
	}
	r.startState()
	r.versions.start()
	r.domains.start()
	if r.callers != nil {
		r.entry.start()
		if err := r.callers.Start(); err != nil {
			return err
		}
	}
	if err := r.operators.Start(); err != nil {
		return err
	}
	r.log.Info("started", "nodes", r.messenger.Address(), "callers", r.callersAddress(), "operators", r.operators.Address())
	return nil
}

func (r *Runner) callersAddress() netip.AddrPort {
	if r.callers == nil {
		return netip.AddrPort{}
	}
	return r.callers.Address()
}

// Failed returns a channel that receives the error of a component that can't continue.
func (r *Runner) Failed() <-chan error { return r.failed }

var errStopping = errors.New("the node is stopping")

// ready returns nil if the node may get calls, and otherwise the reason why not.
func (r *Runner) ready() error {
	if r.stopping.Load() {
		return errStopping
	}
	return r.checkRules()
}

// Stop shuts the node down without aborting calls: the node reports that it is not ready,
// waits until the load balancer has detected that, completes the calls in flight, transfers
// leadership and leaves the membership. When ctx ends first, the calls that are still in
// flight are aborted, and their number is logged.
func (r *Runner) Stop(ctx context.Context) error {
	r.stopping.Store(true)
	r.gossiper.Leave()
	var aborted int64
	if r.callers != nil {
		aborted = r.stopEntry(ctx)
	}
	r.domains.stop()
	r.versions.stop()
	r.stopState(ctx)
	r.operators.Stop(ctx)
	err := r.messenger.Stop(ctx)
	r.dialer.Close()
	r.log.Info("stopped", "cut", aborted)
	if aborted > 0 {
		return fmt.Errorf("%d calls were cut at the end of the time to stop", aborted)
	}
	return err
}

// stopEntry serves new calls until the load balancer has detected that the node is not
// ready. Then it waits for the calls in flight; after half of the configured time to stop,
// it hands the remaining streams over to other entries. It returns the number of aborted
// calls.
func (r *Runner) stopEntry(ctx context.Context) int64 {
	r.callers.Drain()
	clock.Sleep(r.clock, r.settings.Limits().Lame(), ctx.Done())
	h := &handover{entry: r.entry, wait: r.settings.Limits().Stop() / 2, done: make(chan struct{}), ended: make(chan struct{})}
	go h.run(ctx)
	aborted := r.callers.Stop(ctx)
	close(h.done)
	<-h.ended
	r.entry.stop()
	return aborted
}

// handover hands the streams that are still in flight after wait over to other entries.
type handover struct {
	entry *entry
	wait  time.Duration
	done  chan struct{}
	ended chan struct{}
}

func (h *handover) run(ctx context.Context) {
	defer close(h.ended)
	if !clock.Sleep(h.entry.runner.clock, h.wait, h.done) {
		return
	}
	remaining, err := h.entry.handler.HandOver(ctx)
	h.entry.runner.log.Info("streams handed over", "left", remaining, "err", err)
}
