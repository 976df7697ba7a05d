package screener

import (
	"context"
	"net"
	"net/http"

	"hyssoprudder/internal/process/reserver"
)

// Framing is how the body of a request is framed.
type Framing int

// The kinds of framing.
const (
	// Plain requests have a known length; the connection can be reused.
	Plain Framing = iota
	// Chunked requests end with their last chunk, which the screener does not parse.
	// The connection must be closed after the answer, since bytes after the request
	// may be a smuggled request.
	Chunked
	// Ambiguous requests have both a Content-Length and a Transfer-Encoding, or the latter in a version of HTTP
	// that does not know it. They must be refused.
	Ambiguous
	// Malformed requests have a head that the screener can't parse. They must be refused.
	Malformed
	// Unscreened requests were not delimited by a screener, or by the server in another way. They must be refused.
	Unscreened
)

// refusals are the answers to requests that must be refused.
var refusals = map[Framing]string{
	Ambiguous:  "a request states its length or comes in chunks, not both; chunks need HTTP/1.1",
	Malformed:  "the head of the request is malformed",
	Unscreened: "the beginning of the request is ambiguous",
}

// screened is what the screener knows of a request that it has delivered.
type screened struct {
	framing Framing
	method  string
	target  string
	length  int64 // of the body, in bytes; -1 if it is unknown
}

// matches reports whether the server has parsed the same request.
func (q screened) matches(r *http.Request) bool {
	return q.method == r.Method && q.target == r.RequestURI && q.length == r.ContentLength
}

type contextKey struct{}

// connContext is the server's ConnContext hook. It stores the connection in the context of
// its requests, where the guard finds it.
func connContext(ctx context.Context, c net.Conn) context.Context {
	ctx = context.WithValue(ctx, contextKey{}, c)
	if screened, ok := c.(*conn); ok && screened.account != nil {
		ctx = reserver.NewContext(ctx, screened.account)
	}
	return ctx
}

// connState is the server's ConnState hook. It records which connections are idle.
func connState(c net.Conn, state http.ConnState) {
	if screened, ok := c.(*conn); ok {
		screened.setIdle(state == http.StateIdle || state == http.StateNew)
	}
}

// guard returns a handler that refuses the requests that must be refused, and closes the connections of these and of
// chunked ones, and during a drain of all, after their answers. It must handle every request of a screened connection.
func guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		framing, isDraining := framingOf(r)
		if framing != Plain || isDraining {
			w.Header().Set("Connection", "close")
		}
		if reason, isRefused := refusals[framing]; isRefused {
			http.Error(w, reason, http.StatusBadRequest)
			return
		}
		c := connOf(r) // not nil, since the request would be Unscreened
		if r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
		} else {
			c.serveUnframed(next, w, r)
		}
		c.boundDrain()
	})
}

// serveUnframed serves a request of version 1.0, whose answer ends with the connection if it has no length. Until the
// answer is whole, whatever closes the connection resets it, so that a part never looks whole: an abort of the handler, a
// stop of the server, or the end of the process.
func (c *conn) serveUnframed(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c.setPartial(true)
	next.ServeHTTP(w, r)
	c.setPartial(false)
}

// setPartial sets whether the answer that is being sent is not whole yet.
func (c *conn) setPartial(isPartial bool) {
	c.isPartial.Store(isPartial)
	if tcp, ok := innermost(c.Conn).(*net.TCPConn); ok {
		seconds := -1 // the kernel sends what was written
		if isPartial {
			seconds = 0
		}
		_ = tcp.SetLinger(seconds) // fails only if the connection is closed
	}
}

// framingOf returns the framing of a request, and whether its connection is being drained.
func framingOf(r *http.Request) (Framing, bool) {
	c := connOf(r)
	if c == nil {
		return Unscreened, false
	}
	next, isDraining := c.nextScreened()
	if next.framing != Malformed && !next.matches(r) {
		return Unscreened, isDraining
	}
	return next.framing, isDraining
}

// connOf returns the screened connection that a request came on, or nil.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(contextKey{}).(*conn)
	return c
}
