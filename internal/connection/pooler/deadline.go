package pooler

import (
	"errors"
	"os"
	"sync"
	"time"
)

// lastWait is how long a read that begins after the deadline waits. It also returns what had
// arrived before.
const lastWait = 10 * time.Millisecond

// readDeadline is the deadline of the reads from a connection. It is safe for concurrent
// use, because net/http reads the head of an answer in a goroutine of its own.
type readDeadline struct {
	mu     sync.Mutex
	extend func() (time.Time, bool)
	until  time.Time // the deadline without its extensions
	isLast bool      // a read after that deadline was allowed
}

// SetReadDeadline sets the deadline for reads from the endpoint; the zero time means no
// deadline. A call that is waiting at the deadline fails with os.ErrDeadlineExceeded.
func (c *Conn) SetReadDeadline(t time.Time) { c.SetExtensibleReadDeadline(t, nil) }

// SetExtensibleReadDeadline sets the deadline for reads from the endpoint. A read that finds
// no byte at the deadline calls extend, and goes on until the time that extend returns, or
// fails with os.ErrDeadlineExceeded if it returns false. A later call of this method or of
// SetReadDeadline waits for extend to return, and extend is not called afterwards.
func (c *Conn) SetExtensibleReadDeadline(t time.Time, extend func() (time.Time, bool)) {
	d := &c.conn.deadline
	d.mu.Lock()
	defer d.mu.Unlock()
	d.extend = extend
	if !t.Equal(d.until) {
		d.until, d.isLast = t, false
	}
	// An error means that the connection is closed, which the next read returns.
	_ = c.conn.SetReadDeadline(t)
}

// Read reads into b. At the deadline, it goes on if the deadline is extended.
func (w *countingConn) Read(b []byte) (int, error) {
	for {
		n, err := w.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !w.allowLastRead() && !w.extendDeadline() {
			return n, err
		}
	}
}

// allowLastRead reports whether to read once more before the deadline is extended. A read
// that begins after the deadline fails even if bytes have arrived before. This is allowed once
// for each deadline, so that an endpoint that sends byte after byte does not move it.
func (w *countingConn) allowLastRead() bool {
	d := &w.deadline
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.extend == nil || d.isLast {
		return false
	}
	d.isLast = true
	return w.SetReadDeadline(w.clock.Now().Add(lastWait)) == nil
}

// extendDeadline reports whether the deadline was extended.
func (w *countingConn) extendDeadline() bool {
	d := &w.deadline
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.extend == nil {
		return false
	}
	t, ok := d.extend()
	return ok && w.SetReadDeadline(t) == nil
}
