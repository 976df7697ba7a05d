// Package messenger transports calls and datagrams between the nodes of a
// deployment. One gnet engine serves TCP and UDP on the same port number. Each
// TCP frame holds one net/rpc call or its answer. All input is authenticated
// with the deployment's key and protected against replay.
package messenger

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/panjf2000/gnet/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/clock"
)

const (
	defaultWorkers       = 64
	callsQueuedPerWorker = 16
	datagramQueue        = 1024
	maxUnauthenticated   = 256 // connections, by default
	dialTimeout          = 3 * time.Second
	handshakeTimeout     = 5 * time.Second
	defaultTimeout       = 10 * time.Second
	idleTimeout          = 90 * time.Second
	maintenanceInterval  = time.Second
	maxIDSize            = 64 // bytes
)

// Filter reports whether to drop a message to a peer (outbound) or from it.
type Filter func(peer netip.AddrPort, outbound bool) bool

// Config configures a Messenger.
type Config struct {
	// ID is the node's identity, at most 64 bytes.
	ID string
	// Incarnation increases with each start of the node.
	Incarnation uint64
	// Listen is the address at which peers reach this node. Port 0 selects any
	// free port.
	Listen netip.AddrPort
	// Key is the deployment's key, used to sign and to verify.
	Key []byte
	// AcceptedKeys holds further keys that are accepted during a key rotation.
	AcceptedKeys [][]byte
	// Clock tells the time.
	Clock clock.Clock
	// Log receives the messenger's log messages.
	Log *log.Logger
	// Workers limits the calls of one service that run concurrently; 0 means 64.
	Workers int
	// MaxUnauthenticated limits the connections of peers that have not authenticated; 0 means 256.
	MaxUnauthenticated int
	// Registerer receives the metrics; nil means none.
	Registerer prometheus.Registerer
}

// Messenger transports calls and datagrams. Its methods are safe for concurrent
// use, but Register and HandleDatagrams must be called before Start.
type Messenger struct {
	clock      clock.Clock
	log        *log.Logger
	keys       keyring
	self       Sender
	listen     netip.AddrPort
	maxWorkers int

	maxUnauthenticated int

	meter      *meter
	server     *rpc.Server
	services   map[string]*workers
	onDatagram func(from Sender, body []byte)
	filter     atomic.Pointer[Filter]

	engine    gnet.Engine
	booted    chan struct{}
	bootOnce  sync.Once
	runError  error
	sealer    *datagramSealer
	opener    *datagramOpener
	socket    *datagramSocket
	streams   *streamTable
	links     *linkTable
	datagrams chan datagram
	done      chan struct{}
	group     sync.WaitGroup
	state     atomic.Int32
}

// The states of a messenger.
const (
	stateNew = iota
	stateRunning
	stateStopped
)

type datagram struct {
	from Sender
	body []byte
}

// New returns a messenger that is not yet started. It fails if the
// configuration is incomplete or a metric is registered twice.
func New(c Config) (*Messenger, error) {
	if c.ID == "" || len(c.ID) > maxIDSize {
		return nil, fmt.Errorf("identity %q must have 1 to %d bytes", c.ID, maxIDSize)
	}
	if !c.Listen.IsValid() || c.Listen.Addr().IsUnspecified() {
		return nil, fmt.Errorf("listen address %s must be an address at which peers reach this node", c.Listen)
	}
	if c.Clock == nil || c.Log == nil {
		return nil, errors.New("clock and log are required")
	}
	keys, err := newKeyring(c.Key, c.AcceptedKeys)
	if err != nil {
		return nil, err
	}
	meter, err := newMeter(c.Registerer)
	if err != nil {
		return nil, err
	}
	m := &Messenger{
		clock: c.Clock, log: c.Log, keys: keys, meter: meter, maxWorkers: c.Workers,
		listen:   netip.AddrPortFrom(c.Listen.Addr().Unmap(), c.Listen.Port()),
		server:   rpc.NewServer(),
		services: make(map[string]*workers),
		booted:   make(chan struct{}), done: make(chan struct{}),
		streams:   newStreamTable(),
		datagrams: make(chan datagram, datagramQueue),
	}
	m.self = NewSender(c.ID, c.Incarnation, m.listen)
	if m.maxUnauthenticated = c.MaxUnauthenticated; m.maxUnauthenticated <= 0 {
		m.maxUnauthenticated = maxUnauthenticated
	}
	if m.maxWorkers <= 0 {
		m.maxWorkers = defaultWorkers
	}
	m.links = newLinkTable(m)
	m.services[""] = newWorkers(m.serve, m.maxWorkers, m.maxWorkers*callsQueuedPerWorker)
	return m, nil
}

// Register publishes the methods of service under name. A method has the form
// func(args T, reply *R) error.
func (m *Messenger) Register(name string, service any) error {
	if m.state.Load() != stateNew {
		return errors.New("services must be registered before Start")
	}
	if err := m.server.RegisterName(name, service); err != nil {
		return fmt.Errorf("register service %s: %w", name, err)
	}
	m.services[name] = newWorkers(m.serve, m.maxWorkers, m.maxWorkers*callsQueuedPerWorker)
	return nil
}

// HandleDatagrams sets the function that receives datagrams, one call at a time.
func (m *Messenger) HandleDatagrams(fn func(from Sender, body []byte)) {
	m.onDatagram = fn
}

// SetFilter sets a function that decides which messages are dropped, so that
// tests can partition nodes; nil removes it.
func (m *Messenger) SetFilter(f func(peer netip.AddrPort, outbound bool) bool) {
	if f == nil {
		m.filter.Store(nil)
		return
	}
	filter := Filter(f)
	m.filter.Store(&filter)
}

func (m *Messenger) isFiltered(peer netip.AddrPort, outbound bool) bool {
	f := m.filter.Load()
	return f != nil && (*f)(peer, outbound)
}

// Start binds the port and returns once calls and datagrams are served.
func (m *Messenger) Start() error {
	if !m.state.CompareAndSwap(stateNew, stateRunning) {
		return errors.New("messenger has already been started")
	}
	reserved, err := reserve(m.listen)
	if err != nil {
		m.state.Store(stateStopped)
		return err
	}
	defer reserved.release()
	m.self.address = reserved.address
	m.sealer = newDatagramSealer(m.keys, m.self)
	m.opener = newDatagramOpener(m.keys, m.self.address)
	m.group.Add(1)
	go m.run()
	<-m.booted
	if m.runError != nil {
		m.group.Wait()
		m.state.Store(stateStopped)
		return m.runError
	}
	fd, err := m.engine.DupListener("udp", m.self.address.String())
	if err != nil {
		m.stopEngine()
		m.group.Wait()
		m.state.Store(stateStopped)
		return fmt.Errorf("duplicate descriptor of UDP socket: %w", err)
	}
	m.socket = &datagramSocket{fd: fd}
	m.group.Add(2)
	go deliverer{m}.run()
	go maintainer{m}.run()
	return nil
}

// Address returns the address at which the messenger listens.
func (m *Messenger) Address() netip.AddrPort { return m.self.address }

// Self returns the identity with which this node sends.
func (m *Messenger) Self() Sender { return m.self }

// run runs the engine until it is stopped.
func (m *Messenger) run() {
	defer m.group.Done()
	address := m.self.address.String()
	err := gnet.Rotate(&engine{messenger: m}, []string{"tcp://" + address, "udp://" + address},
		gnet.WithNumEventLoop(1),
		gnet.WithLoadBalancing(gnet.LeastConnections),
		gnet.WithReuseAddr(true),
		gnet.WithReusePort(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithTicker(true),
		gnet.WithLogger(engineLogger{log: m.log}))
	if err != nil {
		m.runError = fmt.Errorf("run engine: %w", err)
	}
	m.bootOnce.Do(m.markBooted)
}

func (m *Messenger) markBooted() { close(m.booted) }

func (m *Messenger) drop(reason error, from Sender) {
	var d dropError
	if !errors.As(reason, &d) {
		d = dropMalformed
	}
	m.meter.dropped.WithLabelValues(string(d)).Inc()
	m.log.Debug("message dropped", "reason", string(d), "peer", from.id)
}

// dropUnused records an answer, or the part of one that was received, that no call
// waits for.
func (m *Messenger) dropUnused(from netip.AddrPort, event string, size int) {
	m.meter.unused.Inc()
	m.meter.unusedBytes.Add(float64(size))
	m.log.Info(event, "peer", from, "bytes", size)
}

// acceptDatagram verifies a datagram and queues it for the handler.
func (m *Messenger) acceptDatagram(from netip.AddrPort, b []byte) {
	m.meter.received(transportUDP, len(b))
	if m.isFiltered(from, false) {
		m.drop(dropFiltered, Sender{})
		return
	}
	sender, body, err := m.opener.open(from, b, m.clock.Now())
	if err != nil {
		m.drop(err, sender)
		return
	}
	select {
	case m.datagrams <- datagram{from: sender, body: append([]byte(nil), body...)}:
	default:
		m.drop(dropOverflow, sender)
	}
}

// Send sends one datagram. A nil error does not mean that it arrived.
func (m *Messenger) Send(to netip.AddrPort, body []byte) error {
	if m.state.Load() != stateRunning {
		return ErrStopped
	}
	b, err := m.sealer.seal(to, body, m.clock.Now())
	if err != nil {
		return err
	}
	if m.isFiltered(to, true) {
		return nil
	}
	m.meter.sent(transportUDP, len(b))
	return m.socket.send(to, b)
}

// acceptCall queues a call for the workers of its service.
func (m *Messenger) acceptCall(s *stream, content []byte) error {
	c := &serverCall{stream: s, arrived: m.clock.Now()}
	body, err := decodeHeader(content, &c.header)
	if err != nil {
		return dropMalformed
	}
	c.body = body
	service, _, _ := strings.Cut(c.header.Method, ".")
	w, ok := m.services[service]
	if !ok {
		w = m.services[""]
	}
	if !w.submit(c) {
		m.drop(dropOverflow, s.session.peer)
		c.refuse()
	}
	return nil
}

// serve runs one call on a worker.
func (m *Messenger) serve(c *serverCall) {
	if c.header.Remaining > 0 && m.clock.Now().Sub(c.arrived) > c.header.Remaining {
		m.drop(dropExpired, c.stream.session.peer)
		c.refuse()
		return
	}
	_ = m.server.ServeRequest(c)
}

// awaitUnfiltered blocks until ctx ends if the filter drops messages to or from
// a peer, as a dial in a partition would.
func (m *Messenger) awaitUnfiltered(ctx context.Context, to netip.AddrPort) error {
	if !m.isFiltered(to, true) && !m.isFiltered(to, false) {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// Call runs method at the node that listens at to, and waits for the answer
// until ctx ends, or 10 s if ctx has no deadline. The error wraps ErrUnsent if no
// byte of the call left this node, ErrBusy if the peer refused the call without
// running it, ErrUnanswered if it is unknown whether the call ran, and a
// *RemoteError if the method returned an error.
func (m *Messenger) Call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	err := m.call(ctx, to, method, args, reply)
	m.meter.calls.WithLabelValues(outcome(err)).Inc()
	return err
}

func (m *Messenger) call(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	if m.state.Load() != stateRunning {
		return fmt.Errorf("%w: %w", ErrUnsent, ErrStopped)
	}
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	to = netip.AddrPortFrom(to.Addr().Unmap(), to.Port())
	err := m.try(ctx, to, method, args, reply)
	if errors.Is(err, errNotWritten) {
		// The pooled connection was lost before the call was written; dial again.
		err = m.try(ctx, to, method, args, reply)
	}
	if err != nil {
		return fmt.Errorf("call %s at %s: %w", method, to, err)
	}
	return nil
}

func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// errNotWritten is returned when a link broke before the call was written to it.
var errNotWritten = fmt.Errorf("%w: connection broke before", ErrUnsent)

func (m *Messenger) try(ctx context.Context, to netip.AddrPort, method string, args, reply any) error {
	l, err := m.links.get(ctx, to)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	started := m.clock.Now()
	deadline, _ := ctx.Deadline()
	l.begin()
	in := new(incoming)
	out := &outgoing{args: args, remaining: max(deadline.Sub(started), 0)}
	call := l.client.Go(method, out, in, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		l.end(started, true)
		return result(call, in, reply)
	case <-ctx.Done():
		in.isTimedOut.Store(true)
		l.end(started, false)
		return fmt.Errorf("%w: %w", ErrUnanswered, ctx.Err())
	}
}

// result decodes the answer of a call, or converts the error of net/rpc into an
// error of this package.
func result(call *rpc.Call, in *incoming, reply any) error {
	var remote rpc.ServerError
	switch err := call.Error; {
	case err == nil:
		if err := msgpack.Unmarshal(in.body, reply); err != nil {
			return fmt.Errorf("%w: decode answer: %w", ErrUnanswered, err)
		}
		return nil
	case errors.As(err, &remote) && string(remote) == refusedText:
		return ErrBusy
	case errors.As(err, &remote):
		return &RemoteError{text: string(remote)}
	case errors.Is(err, errConnectionLost):
		return fmt.Errorf("%w: %w", ErrUnanswered, err)
	case errors.Is(err, ErrTooLarge):
		return fmt.Errorf("%w: %w", ErrUnsent, err)
	default:
		return fmt.Errorf("%w: %w", errNotWritten, err)
	}
}

// outcome returns the metric label for the error of a call.
func outcome(err error) string {
	var remote *RemoteError
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &remote):
		return "failed"
	case errors.Is(err, ErrUnsent):
		return "unsent"
	case errors.Is(err, ErrBusy):
		return "refused"
	default:
		return "unanswered"
	}
}

// Stop refuses new calls, waits for the calls in flight and closes all
// connections and sockets. If ctx ends first, the calls in flight are aborted and
// the error of ctx is returned.
func (m *Messenger) Stop(ctx context.Context) error {
	if !m.state.CompareAndSwap(stateRunning, stateStopped) {
		return nil
	}
	err := m.drain(ctx)
	m.links.stop()
	close(m.done)
	m.socket.close()
	m.stopEngine()
	m.group.Wait()
	return err
}

func (m *Messenger) drain(ctx context.Context) error {
	for _, w := range m.services {
		select {
		case <-w.stop():
		case <-ctx.Done():
			return fmt.Errorf("calls aborted at stop: %w", ctx.Err())
		}
	}
	return nil
}

// stopEngine tells the engine to stop. The context is already canceled, so that
// gnet's Stop, which polls for the end, does not wait.
func (m *Messenger) stopEngine() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = m.engine.Stop(ctx)
}
