// Package messenger carries calls and datagrams between the nodes of a
// deployment. One gnet engine serves TCP and UDP on the same port number. Each
// TCP frame is one net/rpc call or its answer, and each input is authenticated
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
	defaultWorkers      = 64
	callsQueuedPerTask  = 16 // queued calls for each worker
	datagramQueue       = 1024
	maxUnauthenticated  = 256 // connections
	dialTimeout         = 3 * time.Second
	handshakeTimeout    = 5 * time.Second
	defaultTimeout      = 10 * time.Second
	idleTimeout         = 90 * time.Second
	maintenanceInterval = time.Second
	maxIDSize           = 64 // bytes
)

// Filter decides whether a message to (outbound) or from a peer is dropped.
type Filter func(peer netip.AddrPort, outbound bool) bool

// Config holds what New makes a messenger from.
type Config struct {
	// ID is the node's identity, at most 64 bytes.
	ID string
	// Incarnation rises with each start of the node.
	Incarnation uint64
	// Listen is the address under which peers reach this node. Port 0 takes
	// any free port.
	Listen netip.AddrPort
	// Key is the deployment's key; it signs and is accepted.
	Key []byte
	// Accepted holds further keys that are accepted while keys are exchanged.
	Accepted [][]byte
	// Clock tells the time.
	Clock clock.Clock
	// Log receives the messenger's events.
	Log *log.Logger
	// Workers bounds the calls of one service that run at a time; 0 means 64.
	Workers int
	// Registerer receives the metrics; nil means none.
	Registerer prometheus.Registerer
}

// Messenger carries calls and datagrams. Its methods are safe for concurrent
// use; Register and HandleDatagrams come before Start.
type Messenger struct {
	clock      clock.Clock
	log        *log.Logger
	keys       keyring
	self       Sender
	listen     netip.AddrPort
	limit      int
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
		return nil, fmt.Errorf("listen address %s must be the one that peers use", c.Listen)
	}
	if c.Clock == nil || c.Log == nil {
		return nil, errors.New("clock and log are required")
	}
	keys, err := newKeyring(c.Key, c.Accepted)
	if err != nil {
		return nil, err
	}
	meter, err := newMeter(c.Registerer)
	if err != nil {
		return nil, err
	}
	m := &Messenger{
		clock: c.Clock, log: c.Log, keys: keys, meter: meter, limit: c.Workers,
		listen:   netip.AddrPortFrom(c.Listen.Addr().Unmap(), c.Listen.Port()),
		server:   rpc.NewServer(),
		services: make(map[string]*workers),
		booted:   make(chan struct{}), done: make(chan struct{}),
		streams:   newStreamTable(),
		datagrams: make(chan datagram, datagramQueue),
	}
	m.self = NewSender(c.ID, c.Incarnation, m.listen)
	if m.limit <= 0 {
		m.limit = defaultWorkers
	}
	m.links = newLinkTable(m)
	m.services[""] = newWorkers(m.serve, m.limit, m.limit*callsQueuedPerTask)
	return m, nil
}

// Register publishes the methods of service under name. A method has the form
// func(args T, reply *R) error.
func (m *Messenger) Register(name string, service any) error {
	if m.state.Load() != stateNew {
		return errors.New("services are registered before the start")
	}
	if err := m.server.RegisterName(name, service); err != nil {
		return fmt.Errorf("register service %s: %w", name, err)
	}
	m.services[name] = newWorkers(m.serve, m.limit, m.limit*callsQueuedPerTask)
	return nil
}

// HandleDatagrams sets the function that receives datagrams, one at a time.
func (m *Messenger) HandleDatagrams(fn func(from Sender, body []byte)) {
	m.onDatagram = fn
}

// SetFilter sets a function that says which messages are dropped, so that
// tests can cut links; nil removes it.
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

// Start binds the port and returns when calls and datagrams are served.
func (m *Messenger) Start() error {
	if !m.state.CompareAndSwap(stateNew, stateRunning) {
		return errors.New("messenger was started before")
	}
	held, err := reserve(m.listen)
	if err != nil {
		m.state.Store(stateStopped)
		return err
	}
	defer held.release()
	m.self.address = held.address
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
		return fmt.Errorf("copy descriptor of UDP socket: %w", err)
	}
	m.socket = &datagramSocket{fd: fd}
	m.group.Add(2)
	go deliverer{m}.run()
	go maintainer{m}.run()
	return nil
}

// Address returns the address at which the messenger listens.
func (m *Messenger) Address() netip.AddrPort { return m.self.address }

// Self returns the identity under which this node sends.
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
	m.log.Debug("dropped", "reason", string(d), "peer", from.id)
}

// acceptDatagram checks a datagram and queues it for the handler.
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

// Send sends one datagram. A nil error does not mean that it arrives.
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
	if c.header.Wait > 0 && m.clock.Now().Sub(c.arrived) > c.header.Wait {
		m.drop(dropExpired, c.stream.session.peer)
		c.refuse()
		return
	}
	_ = m.server.ServeRequest(c)
}

// awaitUncut waits while a filter cuts the link to a peer.
func (m *Messenger) awaitUncut(ctx context.Context, to netip.AddrPort) error {
	if !m.isFiltered(to, true) && !m.isFiltered(to, false) {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// Call runs method at the node that listens at to, and waits for the answer as
// long as ctx allows, or 10 s. An error is ErrUnsent when no byte left this
// node, ErrBusy when the peer did not run the call, ErrUnanswered when it is
// unknown whether it ran, and a *RemoteError when the method returned one.
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
		// The pooled connection had broken before the call; dial once more.
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

// errNotWritten says that a link broke before the call was written to it.
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
	out := &outgoing{args: args, wait: max(deadline.Sub(started), 0)}
	call := l.client.Go(method, out, in, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		l.end(started, true)
		return result(call, in, reply)
	case <-ctx.Done():
		l.end(started, false)
		return fmt.Errorf("%w: %w", ErrUnanswered, ctx.Err())
	}
}

// result turns what net/rpc says about a call into this package's errors.
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
	case errors.Is(err, errLost):
		return fmt.Errorf("%w: %w", ErrUnanswered, err)
	case errors.Is(err, ErrTooLarge):
		return fmt.Errorf("%w: %w", ErrUnsent, err)
	default:
		return fmt.Errorf("%w: %w", errNotWritten, err)
	}
}

// outcome returns the metric label of a call's error.
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

// Stop refuses new calls, waits for those that run and closes everything.
// When ctx ends first, running calls are cut and the error of ctx is returned.
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
			return fmt.Errorf("calls cut at stop: %w", ctx.Err())
		}
	}
	return nil
}

// stopEngine makes the engine end without waiting in its polling Stop.
func (m *Messenger) stopEngine() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = m.engine.Stop(ctx)
}
