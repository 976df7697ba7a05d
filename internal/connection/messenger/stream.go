package messenger

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// maxUnwritten limits the bytes buffered for a peer that reads slowly.
const maxUnwritten = 4 * maxFrameSize

// stream is one TCP connection with its session.
type stream struct {
	messenger *Messenger
	link      *link // nil on the accepting side
	session   *session
	opened    time.Time
	unwritten atomic.Int64

	mu      sync.Mutex
	conn    gnet.Conn
	closing bool
	closed  bool
}

// send seals content and queues it for writing.
func (s *stream) send(content []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	if s.unwritten.Load() > maxUnwritten {
		_ = s.conn.Close()
		return net.ErrClosed
	}
	b := s.session.seal(content)
	s.unwritten.Add(int64(len(b)))
	s.messenger.meter.sent(transportTCP, len(b))
	return s.conn.AsyncWrite(b, s.written)
}

// written runs on the event loop after a frame was passed to the socket.
func (s *stream) written(c gnet.Conn, err error) error {
	if err == nil {
		s.unwritten.Store(int64(c.OutboundBuffered()))
	}
	return nil
}

// answer sends the answer of a call unless the filter drops it.
func (s *stream) answer(content []byte) error {
	if s.messenger.isFiltered(s.session.peer.address, true) {
		return nil
	}
	return s.send(content)
}

// close closes the connection after the frames queued before are written.
func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	if !s.closed && s.conn != nil {
		_ = s.conn.Close()
	}
}

// setConn sets the connection. It reports whether the connection is still
// needed, that is, close was not called before.
func (s *stream) setConn(c gnet.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = c
	return !s.closing
}

func (s *stream) setClosed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}

// read processes all complete records that the connection has received. It runs
// on the event loop.
func (s *stream) read(c gnet.Conn) gnet.Action {
	for {
		header, err := c.Peek(4)
		if err != nil {
			return gnet.None
		}
		size, err := s.session.recordSize(header)
		if err != nil {
			return s.reject(err)
		}
		if c.InboundBuffered() < 4+size {
			return gnet.None
		}
		b, err := c.Peek(4 + size)
		if err != nil {
			return gnet.None
		}
		s.messenger.meter.received(transportTCP, len(b))
		if err := s.accept(c, b[4:]); err != nil {
			return s.reject(err)
		}
		if _, err := c.Discard(4 + size); err != nil {
			return gnet.Close
		}
	}
}

func (s *stream) reject(err error) gnet.Action {
	s.messenger.drop(err, s.session.peer)
	return gnet.Close
}

// accept passes one record to the session and handles the result: the end of the
// handshake, a reply to send, or the content of a frame.
func (s *stream) accept(c gnet.Conn, b []byte) error {
	wasEstablished := s.session.established
	reply, content, err := s.session.accept(b)
	if err != nil {
		return err
	}
	if s.session.established && !wasEstablished {
		if s.link != nil {
			s.link.setReady()
		} else {
			s.messenger.streams.establish(s)
		}
	}
	if reply != nil {
		if s.messenger.isFiltered(s.session.peer.address, true) {
			return nil
		}
		s.messenger.meter.sent(transportTCP, len(reply))
		if _, err := c.Write(reply); err != nil {
			return dropMalformed
		}
	}
	if content != nil {
		return s.deliver(content)
	}
	return nil
}

// deliver passes the content of a frame to the link or to the workers.
func (s *stream) deliver(content []byte) error {
	if s.messenger.isFiltered(s.session.peer.address, false) {
		s.messenger.drop(dropFiltered, s.session.peer)
		return nil
	}
	if len(content) == 0 {
		return dropMalformed
	}
	kind, content := content[0], append([]byte(nil), content[1:]...)
	switch {
	case kind == contentCall && s.link == nil:
		return s.messenger.acceptCall(s, content)
	case kind == contentAnswer && s.link != nil:
		s.link.push(content)
		return nil
	default:
		return dropUnexpected
	}
}

// streamTable holds the accepted connections.
type streamTable struct {
	mu              sync.Mutex
	streams         map[*stream]bool // value: established
	unauthenticated int
}

func newStreamTable() *streamTable {
	return &streamTable{streams: make(map[*stream]bool)}
}

// minHandshake is how long a connection may take to authenticate before it can be closed for a new
// one. Peers take milliseconds.
const minHandshake = 500 * time.Millisecond

// add adds a connection that has not authenticated yet. If there are already limit such connections, it
// returns the oldest one, which must be closed. It reports false if that one is too young, so that the
// new one must be closed.
func (t *streamTable) add(s *stream, limit int) (oldest *stream, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unauthenticated >= limit {
		for other, established := range t.streams {
			if !established && (oldest == nil || other.opened.Before(oldest.opened)) {
				oldest = other
			}
		}
		if oldest == nil || s.opened.Sub(oldest.opened) < minHandshake {
			return nil, false
		}
		t.unauthenticated--
		delete(t.streams, oldest)
	}
	t.streams[s] = false
	t.unauthenticated++
	return oldest, true
}

func (t *streamTable) establish(s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if established, ok := t.streams[s]; ok && !established {
		t.streams[s] = true
		t.unauthenticated--
	}
}

func (t *streamTable) remove(s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if established, ok := t.streams[s]; ok && !established {
		t.unauthenticated--
	}
	delete(t.streams, s)
}

// overdue returns the unauthenticated connections that were opened before the
// given time.
func (t *streamTable) overdue(before time.Time) []*stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var late []*stream
	if t.unauthenticated == 0 {
		return nil
	}
	for s, established := range t.streams {
		if !established && s.opened.Before(before) {
			late = append(late, s)
		}
	}
	return late
}
