package messenger

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// errLost is what net/rpc reports for calls whose connection broke.
var errLost = errors.New("connection lost")

// link is one connection that this node dialed, and the net/rpc client on it.
type link struct {
	messenger *Messenger
	to        netip.AddrPort
	stream    *stream
	client    *rpc.Client
	ready     chan struct{} // closed when the handshake is complete
	lost      chan struct{} // closed when the connection is closed

	mu        sync.Mutex
	arrived   sync.Cond
	inbox     [][]byte
	broken    bool
	retired   bool
	waiting   int
	used      time.Time
	heard     time.Time
	current   []byte
	readyOnce sync.Once
}

func newLink(m *Messenger, to netip.AddrPort) *link {
	l := &link{messenger: m, to: to, ready: make(chan struct{}), lost: make(chan struct{})}
	l.arrived.L = &l.mu
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	l.stream = &stream{messenger: m, link: l, session: newDialed(m.keys, m.self, to, nonce)}
	l.used = m.clock.Now()
	return l
}

// dial connects and waits for the handshake.
func (l *link) dial(ctx context.Context) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", l.to.String())
	if err != nil {
		return err
	}
	// The engine takes a copy of the descriptor and closes conn.
	registered, err := l.messenger.engine.Register(
		gnet.NewNetConnContext(gnet.NewContext(ctx, l.stream), conn))
	if err != nil {
		conn.Close()
		return fmt.Errorf("register connection: %w", err)
	}
	select {
	case result := <-registered:
		if result.Err != nil {
			return fmt.Errorf("register connection: %w", result.Err)
		}
	case <-ctx.Done():
		l.stream.close()
		return fmt.Errorf("register connection: %w", ctx.Err())
	}
	select {
	case <-l.ready:
		l.client = rpc.NewClientWithCodec(l)
		return nil
	case <-l.lost:
		return errLost
	case <-ctx.Done():
		l.stream.close()
		return fmt.Errorf("handshake: %w", ctx.Err())
	}
}

func (l *link) setReady() { l.readyOnce.Do(l.markReady) }

func (l *link) markReady() { close(l.ready) }

// push hands the content of an answer to net/rpc. It never blocks: the answers
// are no more than the calls that were sent.
func (l *link) push(content []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = l.messenger.clock.Now()
	l.inbox = append(l.inbox, content)
	l.arrived.Signal()
}

// fail ends the link after its connection was closed.
func (l *link) fail() {
	l.stream.setClosed()
	l.messenger.links.remove(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.broken {
		l.broken = true
		close(l.lost)
	}
	l.arrived.Broadcast()
}

// begin counts a call that waits on this link.
func (l *link) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting++
	l.used = l.messenger.clock.Now()
}

// end counts a call that no longer waits. A call that ended without an answer
// on a link that was silent since its start retires the link: new calls then
// take a new connection, in case the peer is gone without a word.
func (l *link) end(started time.Time, answered bool) {
	l.mu.Lock()
	l.waiting--
	if !answered && l.heard.Before(started) {
		l.retired = true
	}
	retired, idle := l.retired, l.waiting == 0
	l.mu.Unlock()
	if retired {
		l.messenger.links.remove(l)
		if idle {
			l.stream.close()
		}
	}
}

// isIdle reports whether no call waits and none began since before.
func (l *link) isIdle(before time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting == 0 && l.used.Before(before)
}

// WriteRequest sends a call.
func (l *link) WriteRequest(r *rpc.Request, body any) error {
	out := body.(*outgoing)
	header := callHeader{Method: r.ServiceMethod, Sequence: r.Seq, Wait: out.wait}
	content, err := encode(contentCall, header, out.args)
	if err != nil {
		return err
	}
	if l.messenger.isFiltered(l.to, true) {
		return nil
	}
	return l.stream.send(content)
}

// ReadResponseHeader waits for the next answer.
func (l *link) ReadResponseHeader(r *rpc.Response) error {
	content, ok := l.pop()
	if !ok {
		return errLost
	}
	var header answerHeader
	body, err := decodeHeader(content, &header)
	if err != nil {
		l.messenger.drop(dropMalformed, l.stream.session.peer)
		l.stream.close()
		return errLost
	}
	r.ServiceMethod, r.Seq, r.Error = header.Method, header.Sequence, header.Error
	l.current = body
	return nil
}

func (l *link) pop() ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.inbox) == 0 && !l.broken {
		l.arrived.Wait()
	}
	if len(l.inbox) == 0 {
		return nil, false
	}
	content := l.inbox[0]
	l.inbox = l.inbox[1:]
	return content, true
}

// ReadResponseBody keeps the bytes of the answer for the caller.
func (l *link) ReadResponseBody(body any) error {
	if in, ok := body.(*incoming); ok {
		in.body = l.current
	}
	return nil
}

// Close closes the connection.
func (l *link) Close() error {
	l.stream.close()
	return nil
}
