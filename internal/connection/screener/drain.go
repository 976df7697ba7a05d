package screener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"hyssoprudder/internal/process/reserver"
)

const (
	// lastWait is how long a last read from an idle connection, or a last accept, waits.
	// Both also return what had arrived before.
	lastWait = 10 * time.Millisecond
	// maxLastAccepts is how long after the start of a drain connections that wait are accepted.
	maxLastAccepts = 200 * time.Millisecond
	// firstRequestTimeout is how long after it was accepted a connection without a
	// request is kept during a drain: its caller is about to send one.
	firstRequestTimeout = 500 * time.Millisecond
)

// Counts is the number of connections by what is going on at them.
type Counts struct {
	Fresh     int // no byte was received yet
	Idle      int // between two requests
	Receiving int // the head of a request is being received
	Busy      int // a request is being handled
}

// Counts returns the number of open connections.
func (s *Screener) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out Counts
	for c := range s.conns {
		c.count(&out)
	}
	return out
}

// Drain accepts no more connections and closes each open one as soon as it is idle. A
// connection from which a byte of a request was read is kept until that request is answered;
// http.Server.Shutdown would drop requests that it has read. Drain returns nil when no
// connection is left, or the error of ctx. The server must be closed afterwards.
func (s *Screener) Drain(ctx context.Context) error {
	s.mu.Lock()
	if !s.isDraining {
		s.isDraining, s.drainedAt = true, s.now()
		for _, l := range s.listeners {
			s.stopAccepting(l)
		}
		for c := range s.conns {
			c.drain()
		}
		s.closeIfEmpty()
	}
	s.mu.Unlock()
	select {
	case <-s.emptied:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stopAccepting makes the server's next call of Accept fail that finds no connection
// waiting. The server then closes the listener.
func (s *Screener) stopAccepting(l net.Listener) {
	if limited, ok := l.(interface{ SetDeadline(t time.Time) error }); ok && limited.SetDeadline(s.now().Add(lastWait)) == nil {
		return
	}
	l.Close()
}

// mayAcceptAgain prepares a last accept after the deadline of a drain has passed: a deadline that
// passes before the goroutine runs hides connections that wait.
func (s *Screener) mayAcceptAgain(l net.Listener, err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	limited, ok := l.(interface{ SetDeadline(t time.Time) error })
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return ok && s.isDraining && now.Sub(s.drainedAt) < maxLastAccepts && limited.SetDeadline(now.Add(lastWait)) == nil
}

// errTooMany means that there are as many connections as there may be.
var errTooMany = errors.New("too many connections")

// add registers a connection. The error is http.ErrServerClosed if the screener has been drained, or
// errTooMany.
func (s *Screener) add(c *conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isEmptied {
		return http.ErrServerClosed
	}
	if !s.makeRoom(c.address) {
		s.bounds.Budget.Count(reserver.TooManyConnections)
		return errTooMany
	}
	c.openAccount()
	s.conns[c] = struct{}{}
	if s.isDraining {
		c.drain()
	}
	return nil
}

func (s *Screener) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.closeIfEmpty()
}

func (s *Screener) closeIfEmpty() {
	if s.isDraining && !s.isEmptied && len(s.conns) == 0 && len(s.accepting) == 0 {
		s.isEmptied = true
		close(s.emptied)
	}
}

// beginAccept records that connections of a listener are being accepted. A drain waits until the
// server has stopped to accept.
func (s *Screener) beginAccept(l *listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepting[l] = struct{}{}
}

// acceptError returns the error for the server if Accept has failed.
func (s *Screener) acceptError(l *listener, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.accepting, l)
	if !s.isDraining {
		return err
	}
	s.closeIfEmpty()
	return http.ErrServerClosed
}

// Close closes the connection.
func (c *conn) Close() error {
	c.screener.remove(c)
	c.account.Close()
	if c.isPartial.Load() {
		return innermost(c.Conn).Close() // TLS would tell of an orderly end
	}
	return c.Conn.Close()
}

func (c *conn) count(to *Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.isIdle:
		to.Busy++
	case c.hasBytes:
		to.Receiving++
	case c.hasServed:
		to.Idle++
	default:
		to.Fresh++
	}
}

// drain closes the connection as soon as it is idle.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDraining = true
	c.endIdle()
	c.boundReceiving()
}

// endIdle interrupts the read from an idle connection that is to be closed. The reader
// decides whether it closes, so that it never does so after it has read a byte. The caller
// holds c.mu.
func (c *conn) endIdle() {
	if !c.isDraining || !c.isIdle || c.hasBytes {
		return
	}
	until := c.screener.now()
	if earliest := c.acceptedAt.Add(firstRequestTimeout); !c.hasServed && until.Before(earliest) {
		until = earliest
	}
	_ = c.Conn.SetReadDeadline(until) // fails only if the connection is closed
}

// received records that bytes of a request have arrived. During a drain it removes the
// deadline of the idle connection.
func (c *conn) received() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasBytes {
		return nil
	}
	c.hasBytes, c.isLastRead = true, false
	if !c.isIdle {
		return nil
	}
	c.idleAt = c.screener.now()
	c.account.Enter(reserver.Receiving)
	if !c.isDraining {
		return nil
	}
	if err := c.Conn.SetReadDeadline(c.readDeadline); err != nil {
		return err
	}
	c.boundReceiving()
	return nil
}

// mayReadAgain decides what follows when the deadline of a read without any byte has passed:
// before an idle connection is closed by a drain, it is read once more.
func (c *conn) mayReadAgain(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) || !c.isDraining || !c.isIdle || c.hasBytes || c.isLastRead {
		return false
	}
	c.isLastRead = true
	return c.Conn.SetReadDeadline(c.screener.now().Add(lastWait)) == nil
}
