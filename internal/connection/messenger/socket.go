package messenger

import (
	"fmt"
	"net/netip"
	"sync"

	"golang.org/x/sys/unix"
)

const reserveTries = 32

// reservation holds a TCP port without listening on it, so that no other process
// gets the port before the engine has bound it. gnet binds with SO_REUSEPORT,
// which alone would let two processes share a port without an error.
type reservation struct {
	fd      int
	address netip.AddrPort
}

// reserve reserves a port that is free for both TCP and UDP: the port of listen,
// or any if that is 0.
func reserve(listen netip.AddrPort) (*reservation, error) {
	if listen.Port() != 0 {
		return reserveExactly(listen)
	}
	var lastErr error
	for range reserveTries {
		r, err := holdTCP(listen)
		if err != nil {
			return nil, err
		}
		if lastErr = checkFree(unix.SOCK_DGRAM, r.address); lastErr == nil {
			return r, nil
		}
		r.release()
	}
	return nil, fmt.Errorf("no port is free for both TCP and UDP at %s: %w", listen.Addr(), lastErr)
}

func reserveExactly(listen netip.AddrPort) (*reservation, error) {
	for _, kind := range []int{unix.SOCK_STREAM, unix.SOCK_DGRAM} {
		if err := checkFree(kind, listen); err != nil {
			return nil, fmt.Errorf("bind %s: %w", listen, err)
		}
	}
	return holdTCP(listen)
}

// holdTCP binds a TCP socket that shares its port with the engine's listener.
func holdTCP(address netip.AddrPort) (*reservation, error) {
	fd, err := unix.Socket(family(address), unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("socket: %w", err)
	}
	r := &reservation{fd: fd}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		r.release()
		return nil, fmt.Errorf("set SO_REUSEPORT: %w", err)
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		r.release()
		return nil, fmt.Errorf("set SO_REUSEADDR: %w", err)
	}
	if err := unix.Bind(fd, sockaddr(address)); err != nil {
		r.release()
		return nil, fmt.Errorf("bind %s: %w", address, err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		r.release()
		return nil, fmt.Errorf("read bound address: %w", err)
	}
	r.address = netip.AddrPortFrom(address.Addr(), boundPort(bound))
	return r, nil
}

func (r *reservation) release() { _ = unix.Close(r.fd) }

// checkFree returns an error if the address can't be bound exclusively.
func checkFree(kind int, address netip.AddrPort) error {
	fd, err := unix.Socket(family(address), kind|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("socket: %w", err)
	}
	defer func() { _ = unix.Close(fd) }()
	if kind == unix.SOCK_STREAM {
		// Connections of an earlier process in TIME_WAIT must not block the port.
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
			return fmt.Errorf("set SO_REUSEADDR: %w", err)
		}
	}
	return unix.Bind(fd, sockaddr(address))
}

func family(a netip.AddrPort) int {
	if a.Addr().Is4() {
		return unix.AF_INET
	}
	return unix.AF_INET6
}

func sockaddr(a netip.AddrPort) unix.Sockaddr {
	if a.Addr().Is4() {
		return &unix.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
	}
	return &unix.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

func boundPort(s unix.Sockaddr) uint16 {
	switch s := s.(type) {
	case *unix.SockaddrInet4:
		return uint16(s.Port)
	case *unix.SockaddrInet6:
		return uint16(s.Port)
	default:
		return 0
	}
}

// datagramSocket sends datagrams from the engine's UDP port. It is safe for
// concurrent use.
type datagramSocket struct {
	mu     sync.RWMutex
	fd     int
	closed bool
}

func (s *datagramSocket) send(to netip.AddrPort, b []byte) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return ErrStopped
	}
	if err := unix.Sendto(s.fd, b, unix.MSG_DONTWAIT, sockaddr(to)); err != nil {
		return fmt.Errorf("send datagram to %s: %w", to, err)
	}
	return nil
}

func (s *datagramSocket) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		_ = unix.Close(s.fd)
	}
}
