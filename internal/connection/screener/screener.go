// Package screener reads the heads of HTTP requests before the server does, so
// that each connection delivers exactly one request at a time: a request whose
// length is ambiguous is refused, and bytes behind a request of unknown length
// are never served as a further one.
package screener

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// maxHead is the size in bytes up to which a head is read before it is passed
	// on as it is; the server's own limit is lower and answers with 431.
	maxHead = 256 << 10
	// readSize is the size in bytes of one read from a connection.
	readSize = 4 << 10
)

// Verdict says how the request that a connection delivers is framed.
type Verdict int

// The verdicts.
const (
	// Plain requests have a known length; the connection can be used again.
	Plain Verdict = iota
	// Chunked requests end where their last chunk says. The connection must be
	// closed after the answer, since what is behind may be hidden in the body.
	Chunked
	// Ambiguous requests have two lengths. They must be refused.
	Ambiguous
)

// Limits bound the time that a caller may take.
type Limits struct {
	// Head is how long a caller may take to send a head, 0 without limit.
	Head time.Duration
	// Idle is how long a connection may stay without a request, 0 without limit.
	Idle time.Duration
}

// Screener wraps listeners.
type Screener struct {
	limits func() Limits
	now    func() time.Time
}

// New returns a screener that applies the limits of the moment.
func New(limits func() Limits, now func() time.Time) *Screener {
	return &Screener{limits: limits, now: now}
}

// Wrap returns a listener whose connections are screened.
func (s *Screener) Wrap(l net.Listener) net.Listener { return &listener{Listener: l, screener: s} }

type listener struct {
	net.Listener
	screener *Screener
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: inner, screener: l.screener, isIdle: true}, nil
}

type contextKey struct{}

// Context is the server's ConnContext: it lets Guard find the connection.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// State is the server's ConnState: it notes which connections are idle.
func State(c net.Conn, state http.ConnState) {
	if screened, ok := c.(*conn); ok {
		screened.setIdle(state == http.StateIdle || state == http.StateNew)
	}
}

// Guard returns a handler that refuses ambiguous requests, and has the connections
// of chunked ones closed after their answers. It must see every request of a
// screened connection, so it stands before all other handlers.
func Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		verdict := verdictOf(r.Context())
		if verdict != Plain {
			w.Header().Set("Connection", "close")
		}
		if verdict == Ambiguous {
			http.Error(w, "a request states its length or comes in chunks, not both", http.StatusBadRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// verdictOf returns the verdict on the request whose handler runs with ctx.
func verdictOf(ctx context.Context) Verdict {
	c, ok := ctx.Value(contextKey{}).(*conn)
	if !ok {
		return Plain
	}
	return c.next()
}

// conn delivers one request at a time. Reads come from one goroutine at a time.
type conn struct {
	net.Conn
	screener *Screener
	pending  []byte // received and not yet delivered
	passing  int    // bytes of pending that may be delivered: the rest of a head
	body     int64  // bytes of the present body that are still to be delivered
	isOpen   bool   // what follows has no known end and is passed on
	isOver   bool   // nothing behind the present head is delivered

	mu       sync.Mutex
	verdicts []Verdict
	isIdle   bool
}

func (c *conn) next() Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.verdicts) == 0 {
		return Plain
	}
	v := c.verdicts[0]
	c.verdicts = c.verdicts[1:]
	return v
}

func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isIdle = idle
}

// SetReadDeadline bounds idle connections by the limits of the moment where the
// server sets no bound.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	idle := c.isIdle
	c.mu.Unlock()
	if limit := c.screener.limits().Idle; t.IsZero() && idle && limit > 0 {
		t = c.screener.now().Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}

// Read delivers bytes of the present request only.
func (c *conn) Read(p []byte) (int, error) {
	if c.passing == 0 && c.body == 0 && !c.isOpen && !c.isOver {
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	if c.passing > 0 {
		n := copy(p, c.pending[:c.passing])
		c.drop(n)
		c.passing -= n
		return n, nil
	}
	if c.isOver {
		return 0, net.ErrClosed
	}
	return c.readBody(p)
}

func (c *conn) readBody(p []byte) (int, error) {
	if !c.isOpen && int64(len(p)) > c.body {
		p = p[:c.body]
	}
	var n int
	var err error
	if len(c.pending) > 0 {
		n = copy(p, c.pending)
		c.drop(n)
	} else {
		n, err = c.Conn.Read(p)
	}
	if !c.isOpen {
		c.body -= int64(n)
	}
	return n, err
}

func (c *conn) drop(n int) {
	c.pending = c.pending[n:]
	if len(c.pending) == 0 {
		c.pending = nil
	}
}

// readHead receives a whole head and judges it.
func (c *conn) readHead() error {
	isBounded := false
	for searched := 0; ; {
		if end := headEnd(c.pending, searched); end > 0 {
			if isBounded {
				if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
					return err
				}
			}
			c.judge(end)
			return nil
		}
		if len(c.pending) > maxHead {
			c.passing, c.isOpen = len(c.pending), true
			return nil
		}
		searched = max(0, len(c.pending)-len(blankLine))
		var chunk [readSize]byte
		n, err := c.Conn.Read(chunk[:])
		c.pending = append(c.pending, chunk[:n]...)
		if err != nil && n == 0 {
			return c.flush(err)
		}
		if limit := c.screener.limits().Head; n > 0 && limit > 0 && !isBounded {
			isBounded = true
			if err := c.Conn.SetReadDeadline(c.screener.now().Add(limit)); err != nil {
				return err
			}
		}
	}
}

// flush passes an unfinished head on before the connection's error is reported. A
// deadline is none: the server sets one to end a read beside a handler, and reads
// on afterwards.
func (c *conn) flush(err error) error {
	if len(c.pending) == 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.passing, c.isOpen = len(c.pending), true
	return nil
}

var blankLine = []byte("\r\n\r\n")

// headEnd returns the length of the head at the start of b, 0 if it is not whole.
// Lines may end without a carriage return, as the server accepts that.
func headEnd(b []byte, from int) int {
	if i := bytes.Index(b[from:], blankLine); i >= 0 {
		return from + i + len(blankLine)
	}
	if i := bytes.Index(b[from:], []byte("\n\n")); i >= 0 {
		return from + i + 2
	}
	return 0
}

// judge sets how the request behind a head of the given length is delivered.
func (c *conn) judge(end int) {
	c.passing = end
	verdict := Plain
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(c.pending[:end])))
	switch {
	case err != nil:
		// The server refuses the same head and closes the connection.
		c.isOpen = true
	case len(request.TransferEncoding) > 0 && hasLength(c.pending[:end]):
		verdict, c.isOver = Ambiguous, true
	case len(request.TransferEncoding) > 0:
		verdict, c.isOpen = Chunked, true
	case request.ContentLength > 0:
		c.body = request.ContentLength
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verdicts = append(c.verdicts, verdict)
}

// hasLength reports whether a head that was parsed before states a length.
func hasLength(head []byte) bool {
	for line := range bytes.Lines(head) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		if ok && bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")) {
			return true
		}
	}
	return false
}
