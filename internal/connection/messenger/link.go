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

// errConnectionLost is what net/rpc returns for calls whose connection was lost.
var errConnectionLost = errors.New("connection lost")

// link is a connection that this node dialed, with its net/rpc client. It is
// the client's codec.
type link struct {
	messenger *Messenger
	to        netip.AddrPort
	stream    *stream
	client    *rpc.Client
	ready     chan struct{} // closed when the handshake is complete
	lost      chan struct{} // closed when the connection is closed

	mu         sync.Mutex
	arrived    sync.Cond
	inbox      [][]byte
	broken     bool
	retired    bool
	inFlight   int
	lastCall   time.Time
	lastAnswer time.Time
	answerBody []byte
	readyOnce  sync.Once
}

func newLink(m *Messenger, to netip.AddrPort) *link {
	l := &link{messenger: m, to: to, ready: make(chan struct{}), lost: make(chan struct{})}
	l.arrived.L = &l.mu
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	l.stream = &stream{messenger: m, link: l, session: newDialed(m.keys, m.self, to, nonce)}
	l.lastCall = m.clock.Now()
	return l
}

// dial connects and completes the handshake.
func (l *link) dial(ctx context.Context) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", l.to.String())
	if err != nil {
		return err
	}
	// The engine duplicates the descriptor and closes conn.
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
		return errConnectionLost
	case <-ctx.Done():
		l.stream.close()
		return fmt.Errorf("handshake: %w", ctx.Err())
	}
}

func (l *link) setReady() { l.readyOnce.Do(l.markReady) }

func (l *link) markReady() { close(l.ready) }

// push queues the content of an answer for net/rpc. It never blocks. The queue
// is bounded, because there are at most as many answers as calls sent.
func (l *link) push(content []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAnswer = l.messenger.clock.Now()
	l.inbox = append(l.inbox, content)
	l.arrived.Signal()
}

// fail marks the link as broken after its connection was closed.
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

// begin counts a call as in flight on this link.
func (l *link) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	l.lastCall = l.messenger.clock.Now()
}

// end counts a call as no longer in flight. When it ended without an answer and
// the link received no answer since the call started, the link is retired: new
// calls then use a new connection, in case the peer disappeared without closing
// this one.
func (l *link) end(started time.Time, answered bool) {
	l.mu.Lock()
	l.inFlight--
	if !answered && l.lastAnswer.Before(started) {
		l.retired = true
	}
	retired, idle := l.retired, l.inFlight == 0
	l.mu.Unlock()
	if retired {
		l.messenger.links.remove(l)
		if idle {
			l.stream.close()
		}
	}
}

// isIdle reports whether no call is in flight and none started since the given
// time.
func (l *link) isIdle(before time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight == 0 && l.lastCall.Before(before)
}

// WriteRequest sends a call.
func (l *link) WriteRequest(r *rpc.Request, body any) error {
	out := body.(*outgoing)
	header := callHeader{Method: r.ServiceMethod, Sequence: r.Seq, Remaining: out.remaining}
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
		return errConnectionLost
	}
	var header answerHeader
	body, err := decodeHeader(content, &header)
	if err != nil {
		l.messenger.drop(dropMalformed, l.stream.session.peer)
		l.stream.close()
		return errConnectionLost
	}
	r.ServiceMethod, r.Seq, r.Error = header.Method, header.Sequence, header.Error
	l.answerBody = body
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

// ReadResponseBody stores the bytes of the answer, which the caller decodes.
func (l *link) ReadResponseBody(body any) error {
	in, ok := body.(*incoming)
	if !ok {
		return nil
	}
	if in.isTimedOut.Load() {
		l.messenger.dropUnused(l.to, "answer arrived after its call had timed out; dropping it", len(l.answerBody))
		return nil
	}
	in.body = l.answerBody
	return nil
}

// Close closes the connection.
func (l *link) Close() error {
	l.stream.close()
	return nil
}
