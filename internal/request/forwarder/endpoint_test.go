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
	"time"

	"github.com/stretchr/testify/require"
)

// The headers of the stand-in endpoints.
const (
	headerID     = "Call"
	headerNotRun = "Not-Run"
	headerSeal   = "Seal"
	headerAfter  = "After"
	headerOwner  = "Owner"

	headerLeaving = "Leaving"
	headerPause   = "Pause"
	headerCold    = "Cold"
)

// answerFunc answers one request with raw bytes. It returns false to close the
// connection.
type answerFunc func(c net.Conn, r *http.Request, body string) bool

// endpoint is a stand-in that answers request after request with the listed
// functions, the last one for all further requests, and records the requests.
type endpoint struct {
	listener net.Listener
	answers  []answerFunc

	mu       sync.Mutex
	received []string
	done     sync.WaitGroup
}

func newEndpoint(t *testing.T, answers ...answerFunc) *endpoint {
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
		s := &endpointConn{e, c}
		go s.run()
	}
}

type endpointConn struct {
	endpoint *endpoint
	conn     net.Conn
}

func (s *endpointConn) run() {
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
		if !s.endpoint.nextAnswer(r, string(body))(s.conn, r, string(body)) {
			return
		}
	}
}

func (e *endpoint) nextAnswer(r *http.Request, body string) answerFunc {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, fmt.Sprintf("%s %s after=%s owner=%s %s", r.Method, r.RequestURI, r.Header.Get(headerAfter), r.Header.Get(headerOwner), body))
	return e.answers[min(len(e.received), len(e.answers))-1]
}

func (e *endpoint) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.received...)
}

func writeRaw(c net.Conn, format string, values ...any) {
	_, _ = io.WriteString(c, strings.ReplaceAll(fmt.Sprintf(format, values...), "\n", "\r\n"))
}

func headerOf(id, more string) string {
	return headerID + ": " + id + "\n" + headerSeal + ": x\n" + more
}

// answerWith returns a function that sends a complete answer.
func answerWith(status int, body string) answerFunc {
	return func(c net.Conn, r *http.Request, _ string) bool {
		writeRaw(c, "HTTP/1.1 %d X\n%sContent-Length: %d\n\n%s", status, headerOf(r.Header.Get(headerID), ""), len(body), body)
		return true
	}
}

func answerNotRun(c net.Conn, r *http.Request, _ string) bool {
	writeRaw(c, "HTTP/1.1 503 X\n%s: %s\n%s: 1\nContent-Length: 0\n\n", headerID, r.Header.Get(headerID), headerNotRun)
	return true
}

func closeUnanswered(net.Conn, *http.Request, string) bool { return false }

func neverAnswer(c net.Conn, _ *http.Request, _ string) bool {
	_, _ = c.Read(make([]byte, 1)) // until the client closes the connection
	return false
}

func answerTruncated(c net.Conn, r *http.Request, _ string) bool {
	writeRaw(c, "HTTP/1.1 200 X\n%sContent-Length: 10\n\nhalf", headerOf(r.Header.Get(headerID), ""))
	return false
}

func answerOtherCall(c net.Conn, _ *http.Request, _ string) bool {
	writeRaw(c, "HTTP/1.1 200 X\n%sContent-Length: 5\n\nother", headerOf("another", ""))
	return true
}

func answerUnsealed(c net.Conn, r *http.Request, _ string) bool {
	writeRaw(c, "HTTP/1.1 200 X\n%s: %s\nContent-Length: 2\n\nok", headerID, r.Header.Get(headerID))
	return true
}

// answerEvents returns a function that streams the events after the requested one up
// to to. It ends the stream if to is last, and otherwise breaks off within the next
// event.
func answerEvents(to, last int) answerFunc {
	return func(c net.Conn, r *http.Request, _ string) bool {
		from, _ := strconv.Atoi(r.Header.Get(headerAfter))
		writeRaw(c, "HTTP/1.1 200 X\n%sTransfer-Encoding: chunked\n\n", headerOf(r.Header.Get(headerID), ""))
		for i := from + 1; i <= to; i++ {
			writeChunk(c, fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i))
		}
		if to < last {
			writeChunk(c, fmt.Sprintf("id: %d\nda", to+1))
			return false
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
}

func writeChunk(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// answerUnframed returns a function that sends an answer with neither a length nor chunks, which ends with its
// connection.
func answerUnframed(body string) answerFunc {
	return func(c net.Conn, r *http.Request, _ string) bool {
		writeRaw(c, "HTTP/1.1 200 X\n%s\n", headerOf(r.Header.Get(headerID), ""))
		_, _ = io.WriteString(c, body)
		return false
	}
}

// resetUnframed returns a function that sends the beginning of such an answer and resets the connection.
func resetUnframed(body string) answerFunc {
	return func(c net.Conn, r *http.Request, text string) bool {
		answerUnframed(body)(c, r, text)
		time.Sleep(20 * time.Millisecond) // the reset would overtake the answer
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
}

// answerWithoutEnd returns a function that sends start, and then text until the client closes the connection.
func answerWithoutEnd(start, text string, pause time.Duration) answerFunc {
	return func(c net.Conn, r *http.Request, _ string) bool {
		writeRaw(c, "%s", strings.ReplaceAll(start, "{id}", headerOf(r.Header.Get(headerID), "")))
		for {
			if _, err := io.WriteString(c, text); err != nil {
				return false
			}
			time.Sleep(pause)
		}
	}
}
