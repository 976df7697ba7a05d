// Package pooler keeps connections to endpoints. One call at a time runs on a
// connection; a call is never repeated by the pool, and the pool knows of each
// failed call whether a byte of it was sent.
package pooler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"hyssoprudder/internal/process/clock"
)

const (
	// DialTimeout bounds the time until an endpoint accepts a connection; a round
	// trip between failure domains takes about a millisecond.
	DialTimeout = 400 * time.Millisecond
	// DefaultIdle is how long an idle connection is kept when the endpoint does
	// not say how long it keeps it.
	DefaultIdle = 8 * time.Second
	// idleMargin is how much sooner than the endpoint an idle connection is given
	// up, so that no call crosses the endpoint's close.
	idleMargin = 700 * time.Millisecond
	// silence is how long sent bytes may stay unacknowledged before a connection
	// counts as lost. It stays below the shortest bound of a disturbed node.
	silence = 2 * time.Second
	// maxAnswerHeader bounds the header of an answer, in bytes.
	maxAnswerHeader = 64 << 10
)

// ErrFull says that the endpoint has as many connections of this node as it may.
var ErrFull = errors.New("no free connection to the endpoint")

// Pool keeps the connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	clock     clock.Clock
	transport *http.Transport
	opened    atomic.Uint64

	mu    sync.Mutex
	hosts map[netip.AddrPort]*host
}

// host is what is kept for one address.
type host struct {
	idle []*Conn // the most recently used one last
	open int
}

// New returns an empty pool.
func New(c clock.Clock) *Pool {
	return &Pool{
		clock: c, hosts: make(map[netip.AddrPort]*host),
		transport: &http.Transport{
			DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxAnswerHeader,
			WriteBufferSize: 32 << 10, ReadBufferSize: 8 << 10,
		},
	}
}

// Conn is one connection. It is used by one goroutine at a time.
type Conn struct {
	pool    *Pool
	address netip.AddrPort
	client  *http.ClientConn
	wire    *wire
	idle    time.Duration // how long it is kept when idle
	since   time.Time     // when it became idle
	isFresh bool
	closed  bool
}

// Opened returns the number of connections that were opened since the start.
func (p *Pool) Opened() uint64 { return p.opened.Load() }

// Get returns an idle connection or opens one, unless limit are open already.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort, limit int) (*Conn, error) {
	c, err := p.take(address, limit)
	if c != nil || err != nil {
		return c, err
	}
	c, err = p.open(ctx, address)
	if err != nil {
		p.forget(address)
		return nil, err
	}
	return c, nil
}

// take returns an idle connection, or reserves a place for a new one.
func (p *Pool) take(address netip.AddrPort, limit int) (*Conn, error) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if c.client.Err() == nil && c.client.Available() > 0 && now.Sub(c.since) < c.idle {
			c.isFresh = false
			return c, nil
		}
		h.open--
		c.shut()
	}
	if h.open >= limit {
		return nil, ErrFull
	}
	h.open++
	return nil, nil
}

func (p *Pool) open(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	w := &wire{}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, wireKey{}, w), "http", address.String())
	if err != nil {
		return nil, fmt.Errorf("connect to endpoint: %w", err)
	}
	p.opened.Add(1)
	return &Conn{pool: p, address: address, client: client, wire: w, idle: DefaultIdle, isFresh: true}, nil
}

func (p *Pool) forget(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	if h.open == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// Sweep closes connections that have been idle for too long, and all idle ones
// to addresses for which isWanted is false.
func (p *Pool) Sweep(isWanted func(netip.AddrPort) bool) {
	now := p.clock.Now()
	var dropped []*Conn
	p.mu.Lock()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if isWanted(address) && now.Sub(c.since) < c.idle && c.client.Err() == nil {
				kept = append(kept, c)
				continue
			}
			h.open--
			dropped = append(dropped, c)
		}
		h.idle = kept
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
	p.mu.Unlock()
	for _, c := range dropped {
		c.shut()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Sweep(func(netip.AddrPort) bool { return false }) }

// Failure is a call that got no answer.
type Failure struct {
	isSent bool
	cause  error
}

// Error says what failed.
func (f *Failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// IsSent reports whether the endpoint may have received bytes of the call.
func (f *Failure) IsSent() bool { return f.isSent }

// Do sends a call and returns the head of the answer. The error is a *Failure,
// after which the connection is closed.
func (c *Conn) Do(request *http.Request) (*http.Response, error) {
	before := c.wire.written.Load()
	response, err := c.client.RoundTrip(request)
	if err != nil {
		c.Close()
		return nil, &Failure{isSent: c.wire.written.Load() != before, cause: err}
	}
	if idle, ok := keepAlive(response.Header); ok {
		c.idle = idle
	}
	return response, nil
}

// IsFresh reports whether the connection was opened for the present call.
func (c *Conn) IsFresh() bool { return c.isFresh }

// Release keeps the connection for further calls. The answer must have been read
// to its end.
func (c *Conn) Release() {
	if c.closed || c.client.Err() != nil {
		c.Close()
		return
	}
	c.since = c.pool.clock.Now()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	h := c.pool.hosts[c.address]
	h.idle = append(h.idle, c)
}

// Close closes the connection; an endpoint that still works on its call stops.
func (c *Conn) Close() {
	if c.closed {
		return
	}
	c.shut()
	c.pool.forget(c.address)
}

func (c *Conn) shut() {
	c.closed = true
	// Nothing more is expected of the connection, so an error changes nothing.
	_ = c.client.Close()
}

// keepAlive returns how long the endpoint's connections may be kept idle here.
func keepAlive(h http.Header) (time.Duration, bool) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(text)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, idleMargin/2), true
		}
	}
	return 0, false
}

type wireKey struct{}

// wire counts the bytes that were sent on a connection.
type wire struct {
	net.Conn
	written atomic.Int64
}

// Write sends bytes. They count as sent before the outcome is known.
func (w *wire) Write(b []byte) (int, error) {
	w.written.Add(int64(len(b)))
	return w.Conn.Write(b)
}

// dial connects, and makes the kernel report a peer that is gone without a word.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silence, Interval: silence / 2, Count: 2}}
	inner, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(inner); err != nil {
		inner.Close()
		return nil, err
	}
	w, ok := ctx.Value(wireKey{}).(*wire)
	if !ok {
		return inner, nil
	}
	w.Conn = inner
	return w, nil
}

func setUserTimeout(inner net.Conn) error {
	raw, err := inner.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	}); err != nil {
		return err
	}
	return failed
}

// SetReadDeadline bounds the endpoint's silence; the zero time means no bound. A
// call that waits longer fails with os.ErrDeadlineExceeded.
func (c *Conn) SetReadDeadline(t time.Time) {
	// An error means that the connection is closed, which the next read reports.
	_ = c.wire.SetReadDeadline(t)
}
