// Package pooler is a pool of HTTP connections to endpoints. A connection serves one call
// at a time. The pool never repeats a call, and reports for each failed call whether any
// byte of it was sent.
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

	"hyssoprudder/internal/connection/inspector"
	"hyssoprudder/internal/process/clock"
)

const (
	// DialTimeout bounds the time to open a connection. A round trip between failure
	// domains takes about a millisecond.
	DialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection is kept if the endpoint sends no
	// Keep-Alive timeout.
	DefaultIdleTimeout = 8 * time.Second
	// idleMargin is how much earlier than the endpoint the pool closes an idle connection,
	// so that no call is sent while the endpoint closes it.
	idleMargin = 700 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before a connection counts
	// as lost. It must be shorter than any limit on how long a faulty node may disturb calls.
	ackTimeout = 2 * time.Second
	// maxAnswerHeader is the maximum size of the header of an answer, in bytes.
	maxAnswerHeader = 16 << 10
)

// ErrFull is returned by Get if the limit of connections to the endpoint is reached.
var ErrFull = errors.New("no free connection to the endpoint")

// Pool holds the connections to all endpoints. It is safe for concurrent use.
type Pool struct {
	clock     clock.Clock
	transport *http.Transport
	opened    atomic.Uint64
	lost      func(address netip.AddrPort)
	broken    func(address netip.AddrPort)

	mu     sync.Mutex
	hosts  map[netip.AddrPort]*host
	losses map[netip.AddrPort][]time.Time // when endpoints closed connections lately
}

// host holds the connections to one address.
type host struct {
	idle []*Conn // the most recently used connection is last
	open int     // number of connections, including those in use and those that are being opened
	all  map[*Conn]struct{}
}

// New returns an empty pool.
func New(c clock.Clock) *Pool {
	return &Pool{
		clock: c, hosts: make(map[netip.AddrPort]*host), losses: make(map[netip.AddrPort][]time.Time),
		transport: &http.Transport{
			DialContext: dial, DisableCompression: true, MaxResponseHeaderBytes: maxAnswerHeader,
			WriteBufferSize: 32 << 10, ReadBufferSize: 8 << 10,
		},
	}
}

// SetLost sets the function that is called when a connection that no call uses is found closed by the
// endpoint before its idle timeout. It must not use the pool. SetLost must be called before the pool is used.
func (p *Pool) SetLost(lost func(address netip.AddrPort)) { p.lost = lost }

// checkLost reports a closed idle connection that is not expired.
func (p *Pool) checkLost(c *Conn, now time.Time) {
	if p.lost != nil && c.client.Err() != nil && now.Sub(c.idleSince) < c.idleTimeout {
		p.lost(c.address)
	}
}

// Conn is one connection. It is not safe for concurrent use.
type Conn struct {
	pool        *Pool
	address     netip.AddrPort
	client      *http.ClientConn
	conn        *countingConn
	idleTimeout time.Duration // how long it is kept while idle
	openedAt    time.Time
	idleSince   time.Time // when it became idle
	isFresh     bool
	closed      atomic.Bool // by this side
	isLost      atomic.Bool // by the endpoint
	refused     []uint64    // hashes of the IDs of refused calls
}

// Opened returns the number of connections opened since the pool was created.
func (p *Pool) Opened() uint64 { return p.opened.Load() }

// Get returns an idle connection or opens a new one. It returns ErrFull if limit
// connections to the address are open already.
func (p *Pool) Get(ctx context.Context, address netip.AddrPort, limit int) (*Conn, error) {
	c, err := p.acquire(address, limit)
	if c != nil || err != nil {
		return c, err
	}
	c, err = p.open(ctx, address)
	if err != nil {
		p.releaseSlot(address)
		return nil, err
	}
	return c, nil
}

// acquire returns an idle connection, or nil after it has reserved a slot for a new one.
func (p *Pool) acquire(address netip.AddrPort, limit int) (*Conn, error) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hostOf(address)
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if c.client.Err() == nil && c.client.Available() > 0 && now.Sub(c.idleSince) < c.idleTimeout {
			c.isFresh = false
			return c, nil
		}
		p.checkLost(c, now)
		h.remove(c)
		c.closeClient()
	}
	if h.open >= limit {
		return nil, ErrFull
	}
	h.open++
	return nil, nil
}

// hostOf returns the connections to an address. The caller holds p.mu.
func (p *Pool) hostOf(address netip.AddrPort) *host {
	h := p.hosts[address]
	if h == nil {
		h = &host{all: make(map[*Conn]struct{})}
		p.hosts[address] = h
	}
	return h
}

func (p *Pool) open(ctx context.Context, address netip.AddrPort) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	w := &countingConn{clock: p.clock}
	client, err := p.transport.NewClientConn(context.WithValue(ctx, countingConnKey{}, w), "http", address.String())
	if err != nil {
		return nil, fmt.Errorf("connect to endpoint: %w", err)
	}
	p.opened.Add(1)
	c := &Conn{pool: p, address: address, client: client, conn: w, idleTimeout: DefaultIdleTimeout, openedAt: p.clock.Now(), isFresh: true}
	p.mu.Lock()
	p.hostOf(address).all[c] = struct{}{}
	p.mu.Unlock()
	client.SetStateHook(func(client *http.ClientConn) {
		if client.Err() != nil {
			p.recordLoss(c)
		}
	})
	return c, nil
}

// Check opens a connection to an address and keeps it for a later call. It returns an error
// if none can be opened. If limit connections are open already, it returns ErrFull.
func (p *Pool) Check(ctx context.Context, address netip.AddrPort, limit int) error {
	if err := p.reserve(address, limit); err != nil {
		return err
	}
	c, err := p.open(ctx, address)
	if err != nil {
		p.releaseSlot(address)
		return err
	}
	c.Release()
	return nil
}

// reserve reserves a slot for a new connection.
func (p *Pool) reserve(address netip.AddrPort, limit int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hostOf(address)
	if h.open >= limit {
		return ErrFull
	}
	h.open++
	return nil
}

// releaseSlot releases the slot of a connection that was closed or could not be opened.
func (p *Pool) releaseSlot(address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.open--
	if h.open == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// Sweep closes the connections whose idle timeout has expired, and all idle connections
// to addresses for which isWanted returns false.
func (p *Pool) Sweep(isWanted func(netip.AddrPort) bool) {
	now := p.clock.Now()
	var expired []*Conn
	p.mu.Lock()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if isWanted(address) && now.Sub(c.idleSince) < c.idleTimeout && c.client.Err() == nil {
				kept = append(kept, c)
				continue
			}
			p.checkLost(c, now)
			h.remove(c)
			expired = append(expired, c)
		}
		h.idle = kept
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
	p.forgetLosses(now)
	p.mu.Unlock()
	for _, c := range expired {
		c.closeClient()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Sweep(func(netip.AddrPort) bool { return false }) }

// Failure is the error of a call that received no answer.
type Failure struct {
	isSent bool
	cause  error
}

// Error returns the text of the cause.
func (f *Failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// IsSent reports whether the endpoint may have received bytes of the call.
func (f *Failure) IsSent() bool { return f.isSent }

// Do sends a call and returns the answer, whose body the caller must read and close. The
// error is a *Failure; the connection is then closed. It wraps an *inspector.MalformedError if
// the endpoint sent an answer that cannot be used.
func (c *Conn) Do(request *http.Request) (*http.Response, error) {
	before := c.conn.written.Load()
	c.conn.inspected.Begin(request.ContentLength)
	response, err := c.client.RoundTrip(request)
	if err != nil {
		c.Close()
		return nil, &Failure{isSent: c.conn.written.Load() != before, cause: err}
	}
	if err := c.conn.inspected.Check(response); err != nil {
		c.Close()
		response.Body.Close()
		return nil, &Failure{isSent: true, cause: err}
	}
	if idle, ok := keepAlive(response.Header); ok {
		c.idleTimeout = idle
	}
	return response, nil
}

// IsFresh reports whether the connection was opened for the current call.
func (c *Conn) IsFresh() bool { return c.isFresh }

// Release returns the connection to the pool. The body of the answer must have been read
// to its end.
func (c *Conn) Release() {
	if c.closed.Load() || c.client.Err() != nil || len(c.refused) >= maxRefusals {
		if !c.closed.Load() && c.client.Err() != nil && c.pool.lost != nil {
			c.pool.lost(c.address)
		}
		c.Close()
		return
	}
	c.idleSince = c.pool.clock.Now()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	h := c.pool.hosts[c.address]
	h.idle = append(h.idle, c)
}

// Close closes the connection. If the endpoint still runs a call, closing cancels it.
func (c *Conn) Close() {
	if c.closed.Load() {
		return
	}
	c.closeClient()
	c.pool.mu.Lock()
	delete(c.pool.hosts[c.address].all, c)
	c.pool.mu.Unlock()
	c.pool.releaseSlot(c.address)
}

func (c *Conn) closeClient() {
	c.closed.Store(true)
	// The connection is not used any more, so an error has no consequence.
	_ = c.client.Close()
}

// maxKeepAlive is the longest time in seconds that is accepted in a Keep-Alive header.
const maxKeepAlive = 24 * 60 * 60

// keepAlive returns how long an idle connection may be kept, given the endpoint's
// Keep-Alive header.
func keepAlive(h http.Header) (time.Duration, bool) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(text)
		if strings.EqualFold(name, "timeout") && err == nil {
			return max(time.Duration(min(seconds, maxKeepAlive))*time.Second-idleMargin, idleMargin/2), true
		}
	}
	return 0, false
}

type countingConnKey struct{}

// countingConn counts the bytes written to a connection, and extends its read deadline.
type countingConn struct {
	net.Conn  // the same as inspected
	inspected *inspector.Conn
	clock     clock.Clock
	written   atomic.Int64
	deadline  readDeadline
}

// Write writes b. Its bytes are counted before the write, because some of them may be sent
// even if the write fails.
func (w *countingConn) Write(b []byte) (int, error) {
	w.written.Add(int64(len(b)))
	return w.Conn.Write(b)
}

// dial opens a connection with TCP keep-alives and a user timeout, so that the kernel
// detects a peer that disappeared without closing it.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: ackTimeout, Interval: ackTimeout / 2, Count: 2}}
	inner, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(inner); err != nil {
		inner.Close()
		return nil, err
	}
	w, ok := ctx.Value(countingConnKey{}).(*countingConn)
	if !ok {
		return inner, nil
	}
	w.inspected = inspector.NewConn(inner, w.clock)
	w.Conn = w.inspected
	return w, nil
}

func setUserTimeout(inner net.Conn) error {
	raw, err := inner.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return failed
}
