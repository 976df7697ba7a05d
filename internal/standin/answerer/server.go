package answerer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"hyssoprudder/internal/process/clock"
)

const (
	// receiveBuffer is so small that the sender of a long body has to wait, in bytes.
	receiveBuffer = 4 << 10
	// vanishAfter is how much of a request is read before the server vanishes, in bytes.
	vanishAfter = 64 << 10
	// stallTime is longer than a client waits for a reset.
	stallTime = time.Second
	// lingerTime bounds how long a server reads what the client still sends.
	lingerTime = 10 * time.Second
)

// Handler answers a request, whose body it may read. It reports whether the connection serves another one; it is
// closed otherwise.
type Handler func(c *net.TCPConn, r *http.Request) bool

// Server serves requests.
type Server struct {
	listener net.Listener
	handle   Handler
	group    sync.WaitGroup

	mu       sync.Mutex
	requests int
	conns    map[net.Conn]struct{}
}

// Listen returns a server at a free port of the loopback address.
func Listen(handle Handler) (*Server, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s := &Server{listener: listener, handle: handle, conns: make(map[net.Conn]struct{})}
	s.group.Add(1)
	go s.run()
	return s, nil
}

// Address returns the address of the server.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Listener returns the listener of the server.
func (s *Server) Listener() net.Listener { return s.listener }

// Requests returns the number of requests so far.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// Close closes the listener and all connections, and waits until no request is being served.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Server) run() {
	defer s.group.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.group.Add(1)
		go (&serverConn{s, c.(*net.TCPConn)}).run()
	}
}

type serverConn struct {
	server *Server
	conn   *net.TCPConn
}

func (c *serverConn) run() {
	s := c.server
	defer s.group.Done()
	defer func() {
		_ = c.conn.Close() // fails only if it is closed already
		s.mu.Lock()
		delete(s.conns, c.conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(c.conn, receiveBuffer)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests++
		s.mu.Unlock()
		if !s.handle(c.conn, r) {
			return
		}
	}
}

// Whole returns a handler that reads the request and sends the answer. It closes the connection in order unless the
// answer is delimited, since a client may send another request on it then.
func Whole(answer Answer, fields func(r *http.Request) http.Header, body string) Handler {
	return func(c *net.TCPConn, r *http.Request) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		if _, err := io.WriteString(c, answer.Text(fields(r), body)); err != nil {
			return false
		}
		if answer.isDelimited() {
			return true
		}
		Linger(c)
		return false
	}
}

// Early returns a handler that sends a text before it has read the body of the request, waits, and ends the
// connection.
func Early(text func(r *http.Request) string, wait time.Duration, end func(c *net.TCPConn)) Handler {
	return func(c *net.TCPConn, r *http.Request) bool {
		if _, err := io.WriteString(c, text(r)); err == nil {
			clock.Sleep(clock.System{}, wait, nil)
			end(c)
		}
		return false
	}
}

// Linger closes the connection in order: it says that nothing follows, and reads what the client
// still sends.
func Linger(c *net.TCPConn) {
	if c.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(clock.System{}.Now().Add(lingerTime)) == nil {
		_, _ = io.Copy(io.Discard, c)
	}
}

// Stall ends the connection in order, and reads nothing for a while.
func Stall(c *net.TCPConn) {
	_ = c.CloseWrite()
	clock.Sleep(clock.System{}, stallTime, nil)
}

// Reset resets the connection.
func Reset(c *net.TCPConn) {
	// Both fail only if the connection is closed.
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Abandon closes the connection once something has arrived that was not read, as a process does that ends. The
// kernel then resets it.
func Abandon(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return !errors.Is(err, syscall.EAGAIN)
	})
	_ = c.Close()
}

// EndAndReset ends the connection in order and resets it at once.
func EndAndReset(c *net.TCPConn) {
	// All fail only if the connection is closed.
	_ = c.SetLinger(0)
	_ = c.CloseWrite()
	_ = c.Close()
}

// Vanish closes the connection while it reads what arrives, as a process does that ends. The kernel ends it in order if
// everything that has arrived was read, and resets it when more arrives.
func Vanish(c *net.TCPConn) {
	_, _ = io.CopyN(io.Discard, c, vanishAfter)
	_ = c.Close()
}
