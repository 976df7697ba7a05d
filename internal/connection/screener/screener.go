// Package screener protects an HTTP/1.1 server from request smuggling. It parses the
// header block ("head") of each request before the server does, so that a connection
// delivers exactly one request at a time: a request whose length is ambiguous is refused,
// and bytes after a request of unknown length are never served as another request.
package screener

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"hyssoprudder/internal/process/reserver"
)

const (
	// serverSlack is how many bytes of a head http.Server reads beyond its limit on heads.
	serverSlack = 4 << 10
	// maxEmptyLines is how many empty lines before a request are ignored, see RFC 9112, section 2.2.
	maxEmptyLines = 4
	// readSize is the size of one read from a connection, in bytes.
	readSize = 4 << 10
)

// Limits bound the time that a caller may take. A limit of 0 means no limit.
type Limits struct {
	// Head is how long a caller may take to send the head of a request.
	Head time.Duration
	// Idle is how long a connection may stay open without a request.
	Idle time.Duration
}

// Screener wraps listeners so that their connections are screened.
type Screener struct {
	limits  func() Limits
	now     func() time.Time
	bounds  Bounds
	maxHead int // no server reads a head with more bytes

	mu         sync.Mutex
	listeners  []net.Listener
	accepting  map[*listener]struct{} // those whose connections are being accepted
	conns      map[*conn]struct{}
	isDraining bool
	drainedAt  time.Time // when the drain began
	isEmptied  bool
	emptied    chan struct{} // closed when the last connection of a drain is closed
}

// New returns a screener. It calls limits each time it applies a limit, so that changes
// take effect at once.
func New(limits func() Limits, now func() time.Time) *Screener {
	return &Screener{limits: limits, now: now, maxHead: http.DefaultMaxHeaderBytes + serverSlack, conns: make(map[*conn]struct{}), accepting: make(map[*listener]struct{}), emptied: make(chan struct{})}
}

// Install makes a server refuse the requests that must be refused. It must be called once, before the server is
// started on a listener that Wrap has returned; the server's handler and hooks must not be changed afterwards.
func (s *Screener) Install(server *http.Server) {
	server.Handler = guard(server.Handler)
	server.ConnContext, server.ConnState = connContext, connState
	// The server would answer these itself, past the guard.
	server.DisableGeneralOptionsHandler = true
	if server.MaxHeaderBytes > 0 {
		s.maxHead = server.MaxHeaderBytes + serverSlack
	}
}

// Wrap returns a listener whose connections are screened.
func (s *Screener) Wrap(l net.Listener) net.Listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, l)
	return &listener{Listener: l, screener: s}
}

type listener struct {
	net.Listener
	screener *Screener
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.screener.beginAccept(l)
		inner, err := l.Listener.Accept()
		if l.screener.mayAcceptAgain(l.Listener, err) {
			inner, err = l.Listener.Accept()
		}
		if err != nil {
			return nil, l.screener.acceptError(l, err)
		}
		now := l.screener.now()
		c := &conn{Conn: inner, screener: l.screener, address: addressOf(inner), isIdle: true, acceptedAt: now, idleAt: now}
		switch err := l.screener.add(c); {
		case err == nil:
			return c, nil
		case errors.Is(err, http.ErrServerClosed):
			inner.Close()
			return nil, err
		}
		inner.Close()
	}
}

// conn is a connection that delivers one request at a time. Only one goroutine reads
// at a time.
type conn struct {
	net.Conn
	screener      *Screener
	pending       []byte // received but not yet delivered
	lines         lineScanner
	emptyLines    int   // before the head that is being received
	headRemaining int   // number of bytes of pending that may be delivered: the rest of a head
	bodyRemaining int64 // number of bytes of the current body that are not yet delivered
	isUnbounded   bool  // all following bytes are delivered unparsed: they end the connection's last request
	isEnded       bool  // nothing after the current head is delivered

	acceptedAt  time.Time
	address     string
	account     *reserver.Account // nil without a budget
	headCharge  int64             // charged for the head that is being received
	left        atomic.Int64      // number of bytes of the current body not yet delivered, or 1 if that is not known
	isSendEnded atomic.Bool       // nothing more is written
	isPartial   atomic.Bool       // closing resets the connection, since the answer is not whole
	isDisplaced bool              // closed for a new connection; guarded by screener.mu

	mu           sync.Mutex
	screened     []screened // delivered, but not yet handled
	charges      []int64    // charged for the heads of screened
	idleAt       time.Time  // when the connection became idle
	pipelined    int        // requests in a row that arrived before the answer to the one before
	isLast       bool       // the connection is closed after the next answer
	receiveUntil time.Time  // end of the time for the rest of a request during a drain
	isIdle       bool       // the server handles no request
	hasBytes     bool       // bytes of the current or, if idle, of the next request were received
	hasServed    bool       // a request was handled
	isDraining   bool       // the connection is to be closed once it is idle
	isLastRead   bool       // the last read before that has begun
	readDeadline time.Time  // last deadline that the server has set
}

// nextScreened returns what is known of the request that is to be handled next. Without a request that was delivered
// it is Unscreened.
func (c *conn) nextScreened() (screened, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isLast := c.isDraining || c.isLast
	if len(c.screened) == 0 {
		return screened{framing: Unscreened}, isLast
	}
	v := c.screened[0]
	c.screened = c.screened[1:]
	if len(c.charges) > 0 {
		c.charges = c.charges[1:]
	}
	return v, isLast
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle = idle
	if !idle {
		c.hasServed = true
		return
	}
	// Nothing is being read at this moment. Bytes are left if the caller sends the next
	// request before it has the answer.
	c.hasBytes = !c.skipEmptyLines() || len(c.pending) > 0
	c.idleAt = c.screener.now()
	c.account.Enter(reserver.Serving)
	c.account.Shrink(c.waitingCharge())
	c.countPipelined()
	c.endIdle()
}

// waitingCharge returns what is charged for heads that were received before their turn. The caller holds c.mu.
func (c *conn) waitingCharge() int64 {
	sum := c.headCharge
	for _, n := range c.charges {
		sum += n
	}
	return sum
}

// countPipelined counts requests that did not wait for the answer to the one before. The caller holds c.mu.
func (c *conn) countPipelined() {
	if !c.hasServed || !c.hasBytes {
		c.pipelined = 0
		return
	}
	c.pipelined++
	if most := c.screener.bounds.Pipelined; most > 0 && c.pipelined >= most && !c.isLast {
		c.isLast = true
		c.account.Count(reserver.Pipelined)
	}
}

// isWaiting reports whether the server waits for a request. While it handles one, the head of
// the next one has no limit, since the server takes a failed read for the loss of the caller.
func (c *conn) isWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIdle
}

// SetReadDeadline sets the read deadline. If the server sets none for an idle
// connection, the idle limit applies, or the limit on heads if a part of one was received.
func (c *conn) SetReadDeadline(t time.Time) error {
	limits := c.screener.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := limits.Idle
	if c.hasBytes && limits.Head > 0 {
		limit = limits.Head
	}
	// Once a head was read, the server reads the body, though it may not have said so yet.
	if t.IsZero() && c.isIdle && len(c.screened) == 0 && limit > 0 {
		t = c.screener.now().Add(limit)
	}
	c.readDeadline = t
	if c.isDraining && c.isIdle && !c.hasBytes {
		return nil // the deadline of the drain applies
	}
	if c.account.IsEnded() {
		t = longAgo
	}
	if c.isReceiving() && !c.receiveUntil.IsZero() && (t.IsZero() || t.After(c.receiveUntil)) {
		t = c.receiveUntil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read returns bytes of the current request only.
func (c *conn) Read(p []byte) (int, error) {
	if c.headRemaining == 0 && c.bodyRemaining == 0 && !c.isUnbounded && !c.isEnded {
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	if c.headRemaining > 0 {
		n := copy(p, c.pending[:c.headRemaining])
		c.discard(n)
		c.headRemaining -= n
		return n, nil
	}
	if c.isEnded {
		return 0, net.ErrClosed
	}
	return c.readBody(p)
}

func (c *conn) readBody(p []byte) (int, error) {
	if !c.isUnbounded && int64(len(p)) > c.bodyRemaining {
		p = p[:c.bodyRemaining]
	}
	var n int
	var err error
	if len(c.pending) > 0 {
		n = copy(p, c.pending)
		c.discard(n)
	} else {
		n, err = c.Conn.Read(p)
	}
	if !c.isUnbounded {
		c.bodyRemaining -= int64(n)
		c.left.Store(c.bodyRemaining)
	}
	return n, err
}

func (c *conn) discard(n int) {
	c.pending = c.pending[n:]
	if len(c.pending) == 0 {
		c.pending = nil
	}
}

// readHead receives a complete head and determines the request's framing.
func (c *conn) readHead() error {
	hasDeadline := false
	c.lines = lineScanner{}
	for {
		if !c.skipEmptyLines() {
			// The server might ignore these bytes, or follow them otherwise.
			c.pending = bytes.Clone(malformedHead)
			return c.deliverMalformed(len(c.pending))
		}
		if end := c.lines.headEnd(c.pending); end > 0 {
			if hasDeadline {
				if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
					return err
				}
			}
			return c.setFraming(end)
		}
		if len(c.pending) > c.screener.maxHead {
			return c.deliverMalformed(len(c.pending)) // the server answers with 431
		}
		var chunk [readSize]byte
		n, err := c.Conn.Read(chunk[:])
		c.pending = append(c.pending, chunk[:n]...)
		if err != nil && n == 0 {
			if c.mayReadAgain(err) {
				continue
			}
			return c.flush(err)
		}
		if c.skipEmptyLines() && len(c.pending) == 0 {
			continue
		}
		if err := c.received(); err != nil {
			return err
		}
		if !c.chargePending(n) {
			c.refuse(refusedMemory)
			return io.EOF
		}
		if limit := c.screener.limits().Head; n > 0 && limit > 0 && !hasDeadline && c.isWaiting() {
			hasDeadline = true
			if err := c.Conn.SetReadDeadline(c.screener.now().Add(limit)); err != nil {
				return err
			}
		}
	}
}

// malformedHead is delivered in place of what the screener can't follow, so that the server answers with 400.
var malformedHead = []byte("malformed\r\n\r\n")

// deliverMalformed delivers the first end bytes received, which hold no head that can be parsed, so that the server
// answers in its turn, and nothing after them.
func (c *conn) deliverMalformed(end int) error {
	c.headRemaining, c.isEnded = end, true
	c.left.Store(0)
	c.add(screened{framing: Malformed}, 0)
	return nil
}

// flush delivers an incomplete head before it reports the connection's error. An
// exceeded deadline is not such an error: the server sets one to interrupt a background
// read during a handler, and continues to read afterwards.
func (c *conn) flush(err error) error {
	if len(c.pending) == 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.headRemaining, c.isUnbounded = len(c.pending), true
	return nil
}

// chargePending charges n bytes of a head that have arrived.
func (c *conn) chargePending(n int) bool {
	if !c.account.Charge(int64(n)) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headCharge += int64(n)
	return true
}

// setFraming determines the framing of the request whose head ends at end, and thereby how
// its body is delivered.
func (c *conn) setFraming(end int) error {
	charged, refusal := c.chargeHead(c.pending[:end], bytes.Count(c.pending[:end], []byte("\n")))
	if refusal != "" {
		c.refuse(refusal)
		return io.EOF
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.pending[:end])))
	if err != nil {
		return c.deliverMalformed(end)
	}
	c.headRemaining = end
	framing, left := Plain, int64(0)
	isChunked := len(request.TransferEncoding) > 0
	switch {
	case hasField(c.pending[:end], "Transfer-Encoding") && (!isChunked || hasField(c.pending[:end], "Content-Length")):
		framing, c.isEnded = Ambiguous, true
	case isChunked:
		framing, c.isUnbounded = Chunked, true
		left = 1
	case request.ContentLength > 0:
		c.bodyRemaining = request.ContentLength
		left = c.bodyRemaining
	}
	c.left.Store(left)
	c.add(screened{framing, request.Method, request.RequestURI, request.ContentLength}, charged)
	return nil
}

// add records a request that is delivered, and what was charged for its parsed head.
func (c *conn) add(request screened, charged int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.screened, c.charges = append(c.screened, request), append(c.charges, charged+c.headCharge)
	c.headCharge, c.emptyLines = 0, 0
	if c.isIdle {
		c.account.Enter(reserver.Serving)
	}
}

// hasField reports whether a head that http.ReadRequest accepted has a header field with the name.
// The parsed request does not tell, since net/http deletes fields that it ignores.
func hasField(head []byte, field string) bool {
	for line := range bytes.Lines(head) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		if ok && bytes.EqualFold(bytes.TrimSpace(name), []byte(field)) {
			return true
		}
	}
	return false
}
