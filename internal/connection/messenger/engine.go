package messenger

import (
	"crypto/rand"
	"net"
	"net/netip"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// tickInterval is long because only the first tick matters: it shows that the
// engine has started.
const tickInterval = time.Hour

// engine receives the events of gnet. Its methods run on the event loop and
// never block.
type engine struct {
	gnet.BuiltinEventEngine
	messenger *Messenger
}

// OnBoot stores the handle of the engine, whose sockets are already bound.
func (e *engine) OnBoot(eng gnet.Engine) gnet.Action {
	e.messenger.engine = eng
	return gnet.None
}

// OnTick signals that the event loop runs.
func (e *engine) OnTick() (time.Duration, gnet.Action) {
	e.messenger.bootOnce.Do(e.messenger.markBooted)
	return tickInterval, gnet.None
}

// OnOpen starts the handshake on an accepted connection, and attaches a dialed
// connection to its stream.
func (e *engine) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if s, ok := c.Context().(*stream); ok {
		if !s.setConn(c) {
			return nil, gnet.Close
		}
		return nil, gnet.None
	}
	m := e.messenger
	nonce := make([]byte, nonceSize)
	_, _ = rand.Read(nonce)
	s := &stream{messenger: m, session: newAccepted(m.keys, m.self, nonce), opened: m.clock.Now(), conn: c}
	oldest, ok := m.streams.add(s, m.maxUnauthenticated)
	if oldest != nil {
		m.drop(dropOverflow, Sender{})
		oldest.close()
	}
	if !ok {
		m.drop(dropOverflow, Sender{})
		return nil, gnet.Close
	}
	c.SetContext(s)
	return s.session.greeting(), gnet.None
}

// OnClose ends the stream of a connection.
func (e *engine) OnClose(c gnet.Conn, _ error) gnet.Action {
	s, ok := c.Context().(*stream)
	if !ok {
		return gnet.None
	}
	s.setClosed()
	if s.link != nil {
		if n := c.InboundBuffered(); n > 0 && s.session.established {
			e.messenger.dropUnused(s.link.to, "connection closed amid an answer; its bytes are lost", n)
		}
		s.link.fail()
	} else {
		e.messenger.streams.remove(s)
	}
	return gnet.None
}

// OnTraffic reads a datagram or the records of a connection.
func (e *engine) OnTraffic(c gnet.Conn) gnet.Action {
	if s, ok := c.Context().(*stream); ok {
		return s.read(c)
	}
	remote, ok := c.RemoteAddr().(*net.UDPAddr)
	if !ok {
		return gnet.Close
	}
	b, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	from := remote.AddrPort()
	e.messenger.acceptDatagram(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b)
	return gnet.None
}
