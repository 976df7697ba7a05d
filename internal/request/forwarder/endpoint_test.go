package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// The headers of the stand-in endpoints.
const (
	headerID     = "Call"
	headerNotRun = "Not-Run"
	headerSeal   = "Seal"
	headerAfter  = "After"
	headerOwner  = "Owner"
)

// answerer writes raw bytes for one request; it returns false to close.
type answerer func(c net.Conn, r *http.Request, body string) bool

// endpoint is a stand-in that answers by a list of functions, the last for all
// further requests, and notes what reaches it.
type endpoint struct {
	listener net.Listener
	answers  []answerer

	mu   sync.Mutex
	seen []string
	done sync.WaitGroup
}

func newEndpoint(t *testing.T, answers ...answerer) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &endpoint{listener: l, answers: answers}
	e.done.Add(1)
	go e.run()
	t.Cleanup(func() { l.Close() })
	return e
}

func (e *endpoint) run() {
	defer e.done.Done()
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		s := &served{e, c}
		go s.run()
	}
}

type served struct {
	endpoint *endpoint
	conn     net.Conn
}

func (s *served) run() {
	defer s.conn.Close()
	reader := bufio.NewReader(s.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !s.endpoint.next(r, string(body))(s.conn, r, string(body)) {
			return
		}
	}
}

func (e *endpoint) next(r *http.Request, body string) answerer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, fmt.Sprintf("%s %s after=%s owner=%s %s", r.Method, r.RequestURI, r.Header.Get(headerAfter), r.Header.Get(headerOwner), body))
	return e.answers[min(len(e.seen), len(e.answers))-1]
}

func (e *endpoint) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.seen...)
}

func raw(c net.Conn, format string, values ...any) {
	_, _ = io.WriteString(c, strings.ReplaceAll(fmt.Sprintf(format, values...), "\n", "\r\n"))
}

func head(id, more string) string { return headerID + ": " + id + "\n" + headerSeal + ": x\n" + more }

// answer is a whole answer with a status.
func answer(status int, body string) answerer {
	return func(c net.Conn, r *http.Request, _ string) bool {
		raw(c, "HTTP/1.1 %d X\n%sContent-Length: %d\n\n%s", status, head(r.Header.Get(headerID), ""), len(body), body)
		return true
	}
}

func notRun(c net.Conn, r *http.Request, _ string) bool {
	raw(c, "HTTP/1.1 503 X\n%s: %s\n%s: 1\nContent-Length: 0\n\n", headerID, r.Header.Get(headerID), headerNotRun)
	return true
}

func cut(net.Conn, *http.Request, string) bool { return false }

func silent(c net.Conn, _ *http.Request, _ string) bool {
	_, _ = c.Read(make([]byte, 1)) // until the caller closes
	return false
}

func truncated(c net.Conn, r *http.Request, _ string) bool {
	raw(c, "HTTP/1.1 200 X\n%sContent-Length: 10\n\nhalf", head(r.Header.Get(headerID), ""))
	return false
}

func foreign(c net.Conn, _ *http.Request, _ string) bool {
	raw(c, "HTTP/1.1 200 X\n%sContent-Length: 5\n\nother", head("another", ""))
	return true
}

func unsealed(c net.Conn, r *http.Request, _ string) bool {
	raw(c, "HTTP/1.1 200 X\n%s: %s\nContent-Length: 2\n\nok", headerID, r.Header.Get(headerID))
	return true
}

// events streams the events from..to and ends the stream, or breaks off within the
// event behind to.
func events(to, last int) answerer {
	return func(c net.Conn, r *http.Request, _ string) bool {
		from, _ := strconv.Atoi(r.Header.Get(headerAfter))
		raw(c, "HTTP/1.1 200 X\n%sTransfer-Encoding: chunked\n\n", head(r.Header.Get(headerID), ""))
		for i := from + 1; i <= to; i++ {
			chunk(c, fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i))
		}
		if to < last {
			chunk(c, fmt.Sprintf("id: %d\nda", to+1))
			return false
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
}

func chunk(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }
