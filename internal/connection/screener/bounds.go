package screener

import (
	"errors"
	"net"
	"os"
	"time"

	"hyssoprudder/internal/process/reserver"
)

const (
	// minStall is how long a connection must have been without progress, or without a request,
	// before it may be closed for a new one. A caller on a working link makes progress within milliseconds.
	minStall = 100 * time.Millisecond
	// maxClosingFraction is the fraction of the connections that may be closing at a time; beyond it, new ones
	// are refused, since closing ones still have their descriptors.
	maxClosingFraction = 0.25
	// drainTimeout is how long the rest of a body that no handler has read is received after the
	// handler's end, so that small ones do not cost their callers the connection.
	drainTimeout = 250 * time.Millisecond
	// receiveTimeout is how long the rest of a request may take once a drain has begun.
	receiveTimeout = 2 * time.Second
	// writeStep is how many bytes are written at a time, so that slow readers that make progress are
	// told from those that make none.
	writeStep = 16 << 10
	// fieldBytes is what one parsed header field takes, in bytes: its place in a map, its strings and its slice,
	// for the server and in a copy. 2,600 fields in 16,000 bytes took 0.6 MB.
	fieldBytes = 320
	// headCopies is how many times the bytes of a head are held: as received, as parsed, and as the blocks of a
	// prompt, which take up to four times their text.
	headCopies = 6
)

// Bounds bound what the callers of a screened server may make it hold. Values of 0 mean no bound.
type Bounds struct {
	// Budget is charged for heads, and carries the accounts of connections. It may be nil.
	Budget *reserver.Budget
	// Connections is the number of connections that are open at a time.
	Connections int
	// Share is the fraction of Connections that one address may have while there are no others left.
	Share float64
	// Write is how long a caller may take to read 16 KB of an answer.
	Write time.Duration
	// Pipelined is how many requests in a row may arrive before the answer to the one before.
	Pipelined int
	// Fields is the number of header fields of a request.
	Fields int
}

// SetBounds sets the bounds. It must be called before the screener is used.
func (s *Screener) SetBounds(b Bounds) { s.bounds = b }

// long ago, so that waiting reads or writes end.
var longAgo = time.Unix(1, 0)

func addressOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}

// openAccount opens the connection's account in the budget, if there is one.
func (c *conn) openAccount() {
	if b := c.screener.bounds.Budget; b != nil {
		c.account = b.Open(c.address, c.endRequest)
	}
}

// endRequest ends the current request, which waits in the given stage, in favor of others.
func (c *conn) endRequest(stage reserver.Stage) {
	if stage == reserver.Sending {
		c.isSendEnded.Store(true)
		_ = c.Conn.SetDeadline(longAgo)
		return
	}
	_ = c.Conn.SetReadDeadline(longAgo)
}

// makeRoom closes an older connection if there are as many as may be open. It reports false if the new one must
// be closed. The caller holds s.mu.
func (s *Screener) makeRoom(address string) bool {
	most := s.bounds.Connections
	if most <= 0 || len(s.conns) < most {
		return true
	}
	closing := 0
	held := make(map[string]int)
	for c := range s.conns {
		held[c.address]++
		if c.isDisplaced {
			closing++
		}
	}
	if len(s.conns)-closing < most && closing <= int(maxClosingFraction*float64(most)) {
		return true
	}
	if closing > int(maxClosingFraction*float64(most)) {
		return false
	}
	share := int(s.bounds.Share * float64(most))
	isOver := func(c *conn) bool { return s.bounds.Share > 0 && held[c.address] >= share }
	victim := s.leastUseful(isOver)
	if victim == nil && held[address] < share {
		victim = s.leastUseful(func(*conn) bool { return true })
	}
	if victim == nil {
		return false
	}
	victim.isDisplaced = true
	s.bounds.Budget.Count(reserver.Displaced)
	if !victim.account.EndStalled(reserver.Displaced) {
		closeNow(victim.Conn)
	}
	return true
}

// closeNow closes a connection without waiting for its peer, as the end of TLS would.
func closeNow(c net.Conn) { _ = innermost(c).Close() }

// innermost returns the connection beneath TLS.
func innermost(c net.Conn) net.Conn {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		return wrapped.NetConn()
	}
	return c
}

// leastUseful returns the connection, of those that may be chosen, that can be closed best: one with an incomplete
// request before one that had no request yet, before one between two requests; of these the one that has
// waited longest. Connections whose requests are being served are never chosen.
func (s *Screener) leastUseful(mayChoose func(*conn) bool) *conn {
	now := s.now()
	var worst *conn
	worstRank, worstWait := 0, time.Duration(0)
	for c := range s.conns {
		if c.isDisplaced || !mayChoose(c) {
			continue
		}
		rank, wait := c.waits(now)
		if rank == 0 || wait < minStall {
			continue
		}
		if rank > worstRank || rank == worstRank && wait > worstWait {
			worst, worstRank, worstWait = c, rank, wait
		}
	}
	return worst
}

// waits returns how little is lost if the connection is closed, 0 if too much, and for how long it has waited.
func (c *conn) waits(now time.Time) (rank int, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stall := c.account.Stall(); stall > 0 {
		return 3, stall
	}
	switch {
	case !c.isIdle:
		return 0, 0
	case c.hasBytes:
		return 3, now.Sub(c.idleAt)
	case !c.hasServed:
		return 2, now.Sub(c.idleAt)
	default:
		return 1, now.Sub(c.idleAt)
	}
}

// refusals are sent without a request having been served.
const (
	refusedFields = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	refusedMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// chargeHead charges what the parsed head takes. It returns the answer to a head that is refused, or "".
func (c *conn) chargeHead(head []byte, fields int) (charged int64, refusal string) {
	if most := c.screener.bounds.Fields; most > 0 && fields > most {
		c.account.Count(reserver.TooManyFields)
		return 0, refusedFields
	}
	cost := int64(fields)*fieldBytes + int64(len(head))*headCopies
	if !c.account.Charge(cost) {
		return 0, refusedMemory
	}
	return cost, ""
}

// refuse answers a head that is not passed on, unless the server is still answering another request, and ends the
// connection.
func (c *conn) refuse(answer string) {
	if c.isWaiting() {
		_, _ = c.Write([]byte(answer))
	}
	c.isEnded, c.headRemaining, c.pending = true, 0, nil
	c.left.Store(0)
}

// Write writes within the time that the caller may take to read.
func (c *conn) Write(p []byte) (int, error) {
	limit := c.screener.bounds.Write
	if c.account == nil && limit <= 0 {
		return c.Conn.Write(p)
	}
	before := c.account.Enter(reserver.Sending)
	written := 0
	for {
		if limit > 0 {
			_ = c.Conn.SetWriteDeadline(c.screener.now().Add(limit)) // fails only if the connection is closed
		}
		if c.isSendEnded.Load() {
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writeStep)])
		written += n
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.isSendEnded.Load() {
				c.account.Count(reserver.NotRead)
			}
			return written, err
		}
		if written == len(p) {
			c.account.Enter(before)
			return written, nil
		}
		c.account.Enter(reserver.Sending)
	}
}

// boundDrain bounds the time for which the server receives the rest of a body that the handler has not read.
func (c *conn) boundDrain() {
	if c.left.Load() == 0 {
		return
	}
	c.account.Enter(reserver.Receiving)
	_ = c.Conn.SetReadDeadline(c.screener.now().Add(drainTimeout)) // fails only if the connection is closed
}

// isReceiving reports whether a part of a request is being received. The caller holds c.mu.
func (c *conn) isReceiving() bool {
	return c.isIdle && c.hasBytes || !c.isIdle && c.account.IsReceiving()
}

// boundReceiving bounds the time for the rest of a request during a drain. The caller holds c.mu.
func (c *conn) boundReceiving() {
	if !c.isDraining || !c.isReceiving() {
		return
	}
	c.receiveUntil = c.screener.now().Add(receiveTimeout)
	if c.readDeadline.IsZero() || c.readDeadline.After(c.receiveUntil) {
		_ = c.Conn.SetReadDeadline(c.receiveUntil) // fails only if the connection is closed
	}
}
