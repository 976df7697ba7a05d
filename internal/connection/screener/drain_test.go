package screener_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/screener"
)

// drainTimeout bounds every drain. It is so long that only a fault exceeds it.
const drainTimeout = 60 * time.Second

// drained is a server whose connections are recorded below the screener.
type drained struct {
	t        *testing.T
	address  string
	server   *http.Server
	screener *screener.Screener
	served   chan struct{} // closed when the server has stopped to accept

	answered  atomic.Int64
	lost      atomic.Int64 // connections that were closed after bytes of a request were read and before the answer
	blocked   chan struct{}
	releasing chan struct{}
}

func newDrained(t *testing.T) *drained {
	t.Helper()
	return newDrainedOver(t, func(l net.Listener) net.Listener { return l })
}

// newDrainedOver starts a server on a listener that wrap returns.
func newDrainedOver(t *testing.T, wrap func(net.Listener) net.Listener) *drained {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &drained{
		t: t, address: l.Addr().String(), served: make(chan struct{}), blocked: make(chan struct{}, 1), releasing: make(chan struct{}),
		screener: screener.New(func() screener.Limits { return screener.Limits{} }, time.Now),
	}
	d.server = newServer(d.screener, d)
	wrapped := d.screener.Wrap(wrap(&recordingListener{l, d}))
	go func() {
		defer close(d.served)
		_ = d.server.Serve(wrapped)
	}()
	t.Cleanup(func() {
		d.server.Close()
		<-d.served
	})
	return d
}

func (d *drained) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/blocked" {
		d.blocked <- struct{}{}
		<-d.releasing
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = io.WriteString(w, "answer "+string(body))
}

func (d *drained) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return d.screener.Drain(ctx)
}

// startDrain drains the server in the background until it accepts no more connections. The
// returned channel receives the result.
func (d *drained) startDrain() <-chan error {
	result := make(chan error, 1)
	go func() { result <- d.drain() }()
	<-d.served
	return result
}

type recordingListener struct {
	net.Listener
	drained *drained
}

func (l *recordingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordingConn{Conn: c, drained: l.drained}, nil
}

func (l *recordingListener) SetDeadline(t time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(t)
}

// recordingConn records whether it was closed between a request and its answer.
type recordingConn struct {
	net.Conn
	drained    *drained
	isAwaiting atomic.Bool
	closing    sync.Once
}

func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.isAwaiting.Store(true)
	}
	return n, err
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.isAwaiting.Store(false)
	return c.Conn.Write(p)
}

func (c *recordingConn) Close() error {
	c.closing.Do(func() {
		if c.isAwaiting.Load() {
			c.drained.lost.Add(1)
		}
	})
	return c.Conn.Close()
}

type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (d *drained) dial() *client {
	d.t.Helper()
	c, err := net.Dial("tcp", d.address)
	require.NoError(d.t, err)
	d.t.Cleanup(func() { c.Close() })
	return &client{d.t, c, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

func (c *client) requireAnswer(want string) {
	c.t.Helper()
	body, _, err := c.answer()
	require.NoError(c.t, err, "the connection was closed without an answer")
	require.Equal(c.t, want, body)
}

func (c *client) requireClosed() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

// answer returns the body of the next answer and whether the answer announces that the
// connection is closed.
func (c *client) answer() (string, bool, error) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", false, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), response.Close, err
}

const post = "POST /one HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"

// A server that stopped dropped requests of which it had read the whole or a part: each one must be answered, and idle
// connections are closed meanwhile.
func TestDrainAnswersWhatWasReceived(t *testing.T) {
	chunked := "POST /one HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	cases := map[string]struct {
		before, after string
		want          string
	}{
		"one byte":             {post[:1], post[1:], "answer hello"},
		"half of the head":     {post[:20], post[20:], "answer hello"},
		"the head":             {post[:len(post)-5], post[len(post)-5:], "answer hello"},
		"half of the body":     {post[:len(post)-2], post[len(post)-2:], "answer hello"},
		"half of the chunks":   {chunked[:len(chunked)-7], chunked[len(chunked)-7:], "answer hello"},
		"a request in service": {"GET /blocked HTTP/1.1\r\nHost: a\r\n\r\n", "", "answer "},
	}
	for name, tc := range cases {
		for kind, isKept := range map[string]bool{"kept": true, "fresh": false} {
			t.Run(name+" on a "+kind+" connection", func(t *testing.T) {
				d := newDrained(t)
				c, idle := d.dial(), d.dial()
				idle.send(get)
				idle.requireAnswer("answer ")
				if isKept {
					c.send(get)
					c.requireAnswer("answer ")
				}
				c.send(tc.before)
				if tc.after == "" {
					<-d.blocked
				} else {
					require.Eventually(t, func() bool { n := d.screener.Counts(); return n.Receiving+n.Busy == 1 }, drainTimeout, time.Millisecond)
				}
				result := d.startDrain()
				idle.requireClosed()
				close(d.releasing)
				c.send(tc.after)
				c.requireAnswer(tc.want)
				c.requireClosed()
				require.NoError(t, <-result)
			})
		}
	}
}

// An idle connection was closed although bytes of a request had just been read from it.
func TestDrainNeverClosesBetweenRequestAndAnswer(t *testing.T) {
	for range 40 {
		d := newDrained(t)
		var group sync.WaitGroup
		for i := range 16 {
			c := d.dial()
			group.Add(1)
			go func() {
				defer group.Done()
				d.callUntilClosed(c, i)
			}()
		}
		require.Eventually(t, func() bool { return d.answered.Load() > 50 }, drainTimeout, time.Millisecond)
		require.NoError(t, d.drain())
		group.Wait()
		require.Zero(t, d.lost.Load())
	}
}

// callUntilClosed sends requests, some of them in pieces, until the connection is closed.
func (d *drained) callUntilClosed(c *client, number int) {
	for i := 0; ; i++ {
		piece := len(post)
		if (i+number)%3 == 0 {
			piece = 30
		}
		for rest := post; rest != ""; rest = strings.TrimPrefix(rest, rest[:min(piece, len(rest))]) {
			if _, err := io.WriteString(c, rest[:min(piece, len(rest))]); err != nil {
				return
			}
		}
		_, isClosing, err := c.answer()
		if err != nil {
			return
		}
		d.answered.Add(1)
		if isClosing {
			return
		}
	}
}

// A drain ends at its deadline if a request isn't answered by then.
func TestDrainEndsAtItsDeadline(t *testing.T) {
	d := newDrained(t)
	c := d.dial()
	c.send("GET /blocked HTTP/1.1\r\nHost: a\r\n\r\n")
	<-d.blocked
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, d.screener.Drain(ctx), context.Canceled)
	require.Equal(t, screener.Counts{Busy: 1}, d.screener.Counts())
	close(d.releasing)
	require.NoError(t, d.drain())
}

// A drain of connections with TLS answers what was received and closes idle ones too.
func TestDrainOverTLS(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	certified.Close()
	d := newDrainedOver(t, func(l net.Listener) net.Listener {
		return tls.NewListener(l, &tls.Config{Certificates: certified.TLS.Certificates, MinVersion: tls.VersionTLS12})
	})
	trusted := certified.Client().Transport.(*http.Transport).TLSClientConfig
	dial := func() *client {
		c := d.dial()
		config := trusted.Clone()
		config.ServerName = "example.com"
		secure := tls.Client(c.Conn, config)
		return &client{t, secure, bufio.NewReader(secure)}
	}
	c, idle := dial(), dial()
	for _, kept := range []*client{c, idle} {
		kept.send(get)
		kept.requireAnswer("answer ")
	}
	c.send(post[:20])
	result := d.startDrain()
	idle.requireClosed()
	c.send(post[20:])
	c.requireAnswer("answer hello")
	c.requireClosed()
	require.NoError(t, <-result)
}

// Empty lines after a request are no beginning of another one: the connection stays idle, and a drain closes it at once.
func TestEmptyLinesLeaveAConnectionIdle(t *testing.T) {
	for name, lines := range map[string]string{"with the request": "\r\n", "newline with the request": "\n"} {
		t.Run(name, func(t *testing.T) {
			d := newDrained(t)
			c := d.dial()
			c.send(post + lines)
			c.requireAnswer("answer hello")
			require.Eventually(t, func() bool { return d.screener.Counts() == screener.Counts{Idle: 1} }, drainTimeout, time.Millisecond)
			c.send(lines)
			c.send(post)
			c.requireAnswer("answer hello")
			c.send(lines)
			require.NoError(t, d.drain())
			c.requireClosed()
		})
	}
}
