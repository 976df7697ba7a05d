package inspector

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"hyssoprudder/internal/process/clock"
)

const (
	// maxHead is the size in bytes up to which the head of an answer of version 1.0 is
	// accepted, together with the interim answers before any answer.
	maxHead = 64 << 10
	// usualStart begins the head of the usual answer, up to the first digit of its status.
	usualStart = "HTTP/1.1 "
	// resetWait is how long a reset may take to follow the end of an answer, and resetInterval the time between two
	// checks. The kernel sends the next byte to a peer that took nothing lately after 200 ms.
	resetWait     = 300 * time.Millisecond
	resetInterval = time.Millisecond
)

// Conn is a client's connection, on which one request at a time is sent. A body that ends with
// the connection is whole only if Read returns io.EOF.
type Conn struct {
	net.Conn
	clock       clock.Clock
	isRecording atomic.Bool
	isUnframed  atomic.Bool  // the answer ends with the connection
	written     atomic.Int64 // number of bytes written since Begin
	bodySize    atomic.Int64 // of the request, in bytes

	mu   sync.Mutex
	head []byte // what was read since Begin, unless the answer is a usual one
}

// NewConn returns a connection that checks what is read from inner.
func NewConn(inner net.Conn, c clock.Clock) *Conn { return &Conn{Conn: inner, clock: c} }

// Begin must be called before a request is sent. bodySize is the size of its body in bytes.
func (c *Conn) Begin(bodySize int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = nil
	c.isRecording.Store(true)
	c.isUnframed.Store(false)
	c.written.Store(0)
	c.bodySize.Store(bodySize)
}

// Write writes b.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Read reads into b. It returns io.EOF only if the peer ended the connection in order. The error is
// syscall.ECONNRESET after a reset, and net.ErrClosed if this side has closed the connection meanwhile.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.isRecording.Load() {
		c.record(b[:n])
	}
	if n == 0 && errors.Is(err, io.EOF) {
		if broken := c.checkEnd(); broken != nil {
			return 0, fmt.Errorf("read %s: %w", c.RemoteAddr(), broken)
		}
	}
	return n, err
}

// checkEnd returns an error if the connection, whose stream has ended, did not end in order. The kernel tells of a
// reset once. If a blocked write is told, the next read returns the end of the stream. After an orderly end this side
// can still send, while the kernel closes a connection that was reset.
//
// A process that ends with nothing left to read ends its connections in order, and resets them when more arrives. A reset
// right behind the end of an answer without a length is therefore waited for while the request is being sent, unless the
// peer takes more of it.
func (c *Conn) checkEnd() error {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil // TLS, beneath which there is another Conn
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return err
	}
	first, err := stateOf(raw)
	until := c.clock.Now().Add(resetWait)
	for state := first; ; state, err = stateOf(raw) {
		switch {
		case err != nil:
			// net/http has closed the connection after a write that failed.
			return err
		case state.isReset:
			return syscall.ECONNRESET
		case !c.isUnframed.Load() || c.isSent(state) || state.taken > first.taken || !c.clock.Now().Before(until):
			return nil
		}
		clock.Sleep(c.clock, resetInterval, nil)
	}
}

// isSent reports whether the peer has the whole request.
func (c *Conn) isSent(state connState) bool {
	return !state.isSending && c.written.Load() >= c.bodySize.Load()
}

// connState is the state of a connection whose stream has ended.
type connState struct {
	isReset   bool
	isSending bool   // the peer has not acknowledged all that was written
	taken     uint64 // number of bytes that it has acknowledged
}

// stateOf asks the kernel for the state of a connection. The error tells that this side has closed it.
func stateOf(raw syscall.RawConn) (connState, error) {
	var state connState
	err := raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = connState{
				isReset:   info.State == unix.BPF_TCP_CLOSE,
				isSending: info.Unacked > 0 || info.Notsent_bytes > 0,
				taken:     info.Bytes_acked,
			}
		}
	})
	return state, err
}

// record keeps the start of an answer, unless it begins as a final one of version 1.1.
func (c *Conn) record(read []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.head) == 0 && isUsual(read) {
		c.isRecording.Store(false)
		return
	}
	c.head = append(c.head, read[:min(len(read), maxHead-len(c.head))]...)
}

// isUsual reports whether an answer begins as a final one of version 1.1.
func isUsual(start []byte) bool {
	return len(start) > len(usualStart) && bytes.HasPrefix(start, []byte(usualStart)) && start[len(usualStart)] != '1'
}

// Check checks the head of the answer to the request since Begin. The error is a *MalformedError.
func (c *Conn) Check(response *http.Response) error {
	c.mu.Lock()
	head := c.head
	c.head = nil
	c.isRecording.Store(false)
	c.mu.Unlock()
	c.isUnframed.Store(response.ContentLength < 0 && len(response.TransferEncoding) == 0)
	if err := checkHead(response); err != nil {
		return err
	}
	// net/http ignores and removes the field before version 1.1.
	if !response.ProtoAtLeast(1, 1) && mayHaveEncoding(head) {
		return &MalformedError{reason: "transfer encoding in version 1.0"}
	}
	return nil
}

// mayHaveEncoding reports whether the head of the final answer has a Transfer-Encoding field,
// or is not recorded completely. There may be interim answers before it.
func mayHaveEncoding(recorded []byte) bool {
	for {
		isInterim := len(recorded) > len(usualStart) && recorded[len(usualStart)] == '1'
		hasEncoding, rest, isComplete := scanHead(recorded)
		if !isComplete || !isInterim {
			return hasEncoding || !isComplete
		}
		recorded = rest
	}
}

// scanHead reports whether a head has a Transfer-Encoding field, and returns what follows the head.
func scanHead(text []byte) (hasEncoding bool, rest []byte, isComplete bool) {
	for {
		line, rest, isComplete := bytes.Cut(text, []byte("\n"))
		if line = bytes.TrimSuffix(line, []byte("\r")); len(line) == 0 || !isComplete {
			return hasEncoding, rest, isComplete
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		hasEncoding = hasEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		text = rest
	}
}
