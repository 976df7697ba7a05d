package screener_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/screener"
)

// lateListener fails the accept that waits when a deadline is set, although connections wait, as
// happens if the deadline passes before the goroutine runs.
type lateListener struct {
	mu       sync.Mutex
	waiting  []net.Conn
	deadline chan struct{}
	isSet    bool
}

func (l *lateListener) SetDeadline(time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isSet {
		l.isSet = true
		close(l.deadline)
	}
	return nil
}

func (l *lateListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	if l.isSet && len(l.waiting) > 0 {
		c := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.mu.Unlock()
		return c, nil
	}
	l.mu.Unlock()
	<-l.deadline
	return nil, os.ErrDeadlineExceeded
}

func (l *lateListener) Close() error   { return nil }
func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// server serves a listener until it is closed.
type server struct {
	http.Server
	ended chan error
}

func (s *server) run(l net.Listener) { s.ended <- s.Serve(l) }

// Connections that wait to be accepted when a drain begins were dropped on a busy machine, with
// the requests that had been sent on them.
func TestDrainAcceptsWhatWaits(t *testing.T) {
	const waiting = 3
	inner := &lateListener{deadline: make(chan struct{})}
	var callers []net.Conn
	for range waiting {
		caller, accepted := net.Pipe()
		callers, inner.waiting = append(callers, caller), append(inner.waiting, accepted)
	}
	s := screener.New(func() screener.Limits { return screener.Limits{} }, time.Now)
	srv := &server{ended: make(chan error, 1)}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	s.Install(&srv.Server)
	go srv.run(s.Wrap(inner))
	var group sync.WaitGroup
	answers := make([]error, waiting)
	for i, c := range callers {
		group.Add(1)
		caller := &pipedCaller{conn: c, result: &answers[i], group: &group}
		go caller.run()
	}
	require.Eventually(t, func() bool { return s.IsAccepting() }, drainTimeout, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	require.NoError(t, s.Drain(ctx))
	group.Wait()
	for _, err := range answers {
		require.NoError(t, err)
	}
	require.ErrorIs(t, <-srv.ended, http.ErrServerClosed)
}

// pipedCaller sends a request and reads its answer.
type pipedCaller struct {
	conn   net.Conn
	result *error
	group  *sync.WaitGroup
}

var errShort = errors.New("no whole answer")

func (c *pipedCaller) run() {
	defer c.group.Done()
	defer c.conn.Close()
	_ = c.conn.SetDeadline(time.Now().Add(drainTimeout)) // a pipe has deadlines
	if _, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		*c.result = err
		return
	}
	if all, err := io.ReadAll(c.conn); err != nil || len(all) < len("HTTP/1.1 200 OK") {
		*c.result = errors.Join(errShort, err)
	}
}
