package pooler_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"hyssoprudder/internal/connection/pooler"
	"hyssoprudder/internal/process/clock"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// endpoint is a test server that calls answer for each request.
type endpoint struct {
	listener net.Listener
	answer   func(c net.Conn, r *http.Request)
	accepted atomic.Int32
	requests atomic.Int32
	done     chan struct{}
}

func newEndpoint(t *testing.T, answer func(c net.Conn, r *http.Request)) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &endpoint{listener: l, answer: answer, done: make(chan struct{})}
	go e.run()
	t.Cleanup(func() {
		l.Close()
		<-e.done
	})
	return e
}

func (e *endpoint) run() {
	defer close(e.done)
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.accepted.Add(1)
		s := &servedConn{endpoint: e, conn: c}
		go s.run()
	}
}

type servedConn struct {
	endpoint *endpoint
	conn     net.Conn
}

func (s *servedConn) run() {
	defer s.conn.Close()
	reader := bufio.NewReader(s.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.endpoint.requests.Add(1)
		s.endpoint.answer(s.conn, r)
	}
}

func (e *endpoint) address() netip.AddrPort { return e.listener.Addr().(*net.TCPAddr).AddrPort() }

func write(c net.Conn, text string) { _, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n")) }

func answerOK(c net.Conn, _ *http.Request) { write(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nok") }

func get(target string) *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: "x", Opaque: target}, Host: "x", Header: make(http.Header)}
}

// call makes a call and releases the connection.
func call(t *testing.T, p *pooler.Pool, e *endpoint) error {
	t.Helper()
	c, err := p.Get(context.Background(), e.address(), 10)
	require.NoError(t, err)
	response, err := c.Do(get("/a"))
	if err != nil {
		return err
	}
	_, err = io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		c.Close()
		return err
	}
	c.Release()
	return nil
}

func TestConnectionIsReused(t *testing.T) {
	e := newEndpoint(t, answerOK)
	p := pooler.New(clock.System{})
	defer p.Close()
	for range 5 {
		require.NoError(t, call(t, p, e))
	}
	require.EqualValues(t, 1, e.accepted.Load())
	require.EqualValues(t, 1, p.Opened())
}

func TestLimitOfConnections(t *testing.T) {
	e := newEndpoint(t, answerOK)
	p := pooler.New(clock.System{})
	defer p.Close()
	first, err := p.Get(context.Background(), e.address(), 1)
	require.NoError(t, err)
	_, err = p.Get(context.Background(), e.address(), 1)
	require.ErrorIs(t, err, pooler.ErrFull)
	first.Close()
	second, err := p.Get(context.Background(), e.address(), 1)
	require.NoError(t, err)
	second.Close()
}

// The pool must not repeat a call without a body that fails on a reused connection,
// because the call may have run.
func TestFailedCallIsNotRepeated(t *testing.T) {
	e := newEndpoint(t, nil)
	e.answer = func(c net.Conn, r *http.Request) {
		if e.requests.Load() > 1 {
			c.Close()
			return
		}
		answerOK(c, r)
	}
	p := pooler.New(clock.System{})
	defer p.Close()
	require.NoError(t, call(t, p, e))
	err := call(t, p, e)
	var failure *pooler.Failure
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.IsSent())
	require.EqualValues(t, 2, e.requests.Load())
}

func TestUnreachableEndpoint(t *testing.T) {
	e := newEndpoint(t, answerOK)
	e.listener.Close()
	p := pooler.New(clock.System{})
	defer p.Close()
	_, err := p.Get(context.Background(), e.address(), 1)
	require.Error(t, err)
	var failure *pooler.Failure
	require.False(t, errors.As(err, &failure))
}

// A check opens a connection of its own even if an idle one exists, and later calls use it.
func TestCheckOpensAConnection(t *testing.T) {
	e := newEndpoint(t, answerOK)
	p := pooler.New(clock.System{})
	defer p.Close()
	require.NoError(t, p.Check(context.Background(), e.address(), 2))
	require.NoError(t, p.Check(context.Background(), e.address(), 2))
	require.ErrorIs(t, p.Check(context.Background(), e.address(), 2), pooler.ErrFull)
	require.EqualValues(t, 2, p.Opened())
	c, err := p.Get(context.Background(), e.address(), 2)
	require.NoError(t, err)
	require.False(t, c.IsFresh())
	c.Release()
	e.listener.Close()
	require.Error(t, p.Check(context.Background(), e.address(), 3), "the endpoint has ended")
}

// Bytes after an answer belong to no call, so the connection must not be reused.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, _ *http.Request) {
		write(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nokHTTP/1.1 200 OK\nContent-Length: 5\n\nother")
	})
	p := pooler.New(clock.System{})
	defer p.Close()
	require.NoError(t, call(t, p, e))
	require.Eventually(t, func() bool {
		_ = call(t, p, e)
		return e.accepted.Load() >= 2
	}, 10*time.Second, time.Millisecond)
}

func TestSilentEndpoint(t *testing.T) {
	e := newEndpoint(t, func(net.Conn, *http.Request) {})
	p := pooler.New(clock.System{})
	defer p.Close()
	c, err := p.Get(context.Background(), e.address(), 1)
	require.NoError(t, err)
	c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err = c.Do(get("/a"))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	var failure *pooler.Failure
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.IsSent())
}

// If an endpoint sends a Keep-Alive timeout, the pool closes the idle connection earlier.
func TestIdleConnectionExpiresBeforeTheEndpointClosesIt(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, _ *http.Request) {
		write(c, "HTTP/1.1 200 OK\nKeep-Alive: timeout=3\nContent-Length: 0\n\n")
	})
	now := clock.NewManual(time.Unix(1000, 0))
	p := pooler.New(now)
	defer p.Close()
	for _, elapsed := range []time.Duration{0, 2 * time.Second, 2400 * time.Millisecond} {
		now.Advance(elapsed)
		require.NoError(t, call(t, p, e))
	}
	require.EqualValues(t, 2, e.accepted.Load())
	p.Sweep(func(netip.AddrPort) bool { return false })
	require.NoError(t, call(t, p, e))
	require.EqualValues(t, 3, e.accepted.Load())
}

// A read whose deadline is extended must go on and lose no byte; one whose deadline is not
// extended must fail as at any deadline.
func TestReadDeadlineIsExtended(t *testing.T) {
	cases := map[string]struct {
		isLate     bool // the answer comes after the first deadline
		extensions int  // -1 for as many as are needed
		want       error
	}{
		"answer in time":             {false, 0, nil},
		"late, extended":             {true, -1, nil},
		"late, not extended":         {true, 0, os.ErrDeadlineExceeded},
		"late, extended a few times": {true, 2, os.ErrDeadlineExceeded},
	}
	for name, tc := range cases {
		for _, isBody := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, body %t", name, isBody), func(t *testing.T) {
				asked, proceed := make(chan struct{}, 1000), make(chan struct{})
				var once sync.Once
				goOn := func() { once.Do(func() { close(proceed) }) }
				t.Cleanup(goOn)
				e := newEndpoint(t, func(c net.Conn, _ *http.Request) {
					if isBody {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
					}
					<-proceed
					if isBody {
						_, _ = io.WriteString(c, "k")
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				})
				if !tc.isLate {
					goOn()
				}
				pool := pooler.New(clock.System{})
				defer pool.Close()
				conn, err := pool.Get(context.Background(), e.listener.Addr().(*net.TCPAddr).AddrPort(), 1)
				require.NoError(t, err)
				defer conn.Close()
				left := tc.extensions
				deadline := time.Now().Add(time.Hour)
				if tc.isLate {
					deadline = time.Now().Add(20 * time.Millisecond)
				}
				conn.SetExtensibleReadDeadline(deadline, func() (time.Time, bool) {
					asked <- struct{}{}
					if left--; left == -1 {
						return time.Time{}, false
					}
					if len(asked) > 3 {
						goOn()
					}
					return time.Now().Add(5 * time.Millisecond), true
				})
				body, err := roundTrip(conn)
				conn.SetReadDeadline(time.Time{})
				if tc.want != nil {
					require.ErrorIs(t, err, tc.want)
					require.Len(t, asked, tc.extensions+1)
					return
				}
				require.NoError(t, err)
				require.Equal(t, "ok", body)
				require.Equal(t, tc.isLate, len(asked) > 0)
			})
		}
	}
}

// roundTrip sends a call and reads the whole answer.
func roundTrip(conn *pooler.Conn) (string, error) {
	r := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: "a.example", Path: "/"}, Header: make(http.Header)}
	response, err := conn.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// What had arrived before the deadline must be read, even if the read begins after it: the
// process may have been suspended, or the caller may have been slow to take what came before.
func TestAnswerThatArrivedBeforeTheDeadlineIsRead(t *testing.T) {
	begun, sent := make(chan struct{}), make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
		<-begun
		_, _ = io.WriteString(c, "k")
		close(sent)
	})
	pool := pooler.New(clock.System{})
	defer pool.Close()
	conn, err := pool.Get(context.Background(), e.address(), 1)
	require.NoError(t, err)
	defer conn.Close()
	conn.SetExtensibleReadDeadline(time.Now().Add(time.Hour), nil)
	response, err := conn.Do(get("/a"))
	require.NoError(t, err)
	defer response.Body.Close()
	close(begun)
	<-sent
	conn.SetExtensibleReadDeadline(time.Now().Add(-time.Second), func() (time.Time, bool) { return time.Time{}, false })
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
}

// Guards against an endpoint that was started again unseen: an idle connection that it closed is the only sign
// until the next call.
func TestClosedIdleConnectionIsReported(t *testing.T) {
	cases := map[string]func(t *testing.T, p *pooler.Pool, e *endpoint){
		"next call": func(t *testing.T, p *pooler.Pool, e *endpoint) {
			c, err := p.Get(context.Background(), e.address(), 9)
			require.NoError(t, err)
			c.Release()
		},
		"sweep":   func(_ *testing.T, p *pooler.Pool, _ *endpoint) { p.Sweep(func(netip.AddrPort) bool { return true }) },
		"release": func(*testing.T, *pooler.Pool, *endpoint) {},
	}
	for name, look := range cases {
		t.Run(name, func(t *testing.T) {
			released := make(chan struct{})
			e := newEndpoint(t, func(c net.Conn, r *http.Request) {
				answerOK(c, r)
				<-released
				c.Close()
			})
			p := pooler.New(clock.System{})
			defer p.Close()
			var lost atomic.Int32
			p.SetLost(func(address netip.AddrPort) {
				if address == e.address() {
					lost.Add(1)
				}
			})
			if name == "release" {
				c, err := p.Get(context.Background(), e.address(), 9)
				require.NoError(t, err)
				response, err := c.Do(get("/a"))
				require.NoError(t, err)
				_, err = io.ReadAll(response.Body)
				require.NoError(t, err)
				response.Body.Close()
				close(released)
				time.Sleep(50 * time.Millisecond) // for the end of the connection to arrive
				c.Release()
			} else {
				require.NoError(t, call(t, p, e))
				close(released)
			}
			require.Eventually(t, func() bool {
				look(t, p, e)
				return lost.Load() > 0
			}, 5*time.Second, 5*time.Millisecond)
		})
	}
}

// A survey tells connections that the endpoint has closed, used or idle, from those that live there and elsewhere. Those that
// this side closes are not lost.
func TestSurveyTellsLostConnectionsFromLivingOnes(t *testing.T) {
	ends := make(chan struct{})
	ending := newEndpoint(t, func(c net.Conn, r *http.Request) {
		if r.URL.Path == "/idle" {
			answerOK(c, r)
		}
		<-ends
		c.Close()
	})
	other := newEndpoint(t, answerOK)
	p := pooler.New(clock.System{})
	defer p.Close()
	var broken atomic.Int32
	p.SetBroken(func(address netip.AddrPort) {
		if address == ending.address() {
			broken.Add(1)
		}
	})
	open := func(e *endpoint) *pooler.Conn {
		c, err := p.Get(context.Background(), e.address(), 9)
		require.NoError(t, err)
		return c
	}
	idle, used, closed, elsewhere := open(ending), open(ending), open(ending), open(other)
	for _, c := range []*pooler.Conn{idle, elsewhere} {
		response, err := c.Do(get("/idle"))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		response.Body.Close()
		c.Release()
	}
	failed := make(chan error, 1)
	go func() {
		_, err := used.Do(get("/used"))
		failed <- err
	}()
	require.Eventually(t, func() bool { return ending.requests.Load() == 2 }, 30*time.Second, time.Millisecond)
	closed.Close()
	require.Equal(t, pooler.Survey{Alive: 2, IsAliveElsewhere: true}, p.Survey(ending.address(), time.Now()))
	at := time.Now()
	close(ends)
	require.Error(t, <-failed)
	require.Eventually(t, func() bool {
		return p.Survey(ending.address(), at) == pooler.Survey{Lost: 2, IsAliveElsewhere: true}
	}, 30*time.Second, time.Millisecond)
	require.EqualValues(t, 2, broken.Load())
	require.Equal(t, pooler.Survey{Alive: 1}, p.Survey(other.address(), at))
	require.NoError(t, p.Check(context.Background(), other.address(), 9))
	require.Equal(t, pooler.Survey{Alive: 1}, p.Survey(other.address(), at), "later connections do not count")
}
