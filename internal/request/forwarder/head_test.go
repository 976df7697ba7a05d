package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
)

// cutAnswer returns a function that sends the first bytes of an answer and closes the
// connection, or resets it.
func cutAnswer(template string, length int, isReset bool) answerFunc {
	return func(c net.Conn, r *http.Request, _ string) bool {
		text := strings.ReplaceAll(fmt.Sprintf(template, headerOf(r.Header.Get(headerID), "")), "\n", "\r\n")
		_, _ = c.Write([]byte(text[:min(length, len(text))]))
		if tcp, ok := c.(*net.TCPConn); ok && isReset {
			_ = tcp.SetLinger(0)
		}
		return false
	}
}

// Other operators saw endpoints that stopped in the middle of an answer's head and closed: the
// callers got a success with an empty or short body.
func TestAnswerThatStopsInItsHeadIsNoSuccess(t *testing.T) {
	templates := map[string]string{
		"length":     "HTTP/1.1 200 OK\n%sContent-Length: 12\n\ntwelve bytes",
		"chunked":    "HTTP/1.1 200 OK\n%sTransfer-Encoding: chunked\n\nc\ntwelve bytes\n0\n\n",
		"to the end": "HTTP/1.1 200 OK\n%sConnection: close\n\ntwelve bytes",
	}
	for name, template := range templates {
		for _, path := range []string{"/once/1", "/stream/1", "/safe/1", "/resumable/1"} {
			for _, isReset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s %s reset=%v", name, path, isReset), func(t *testing.T) {
					t.Parallel()
					head := strings.Index(strings.ReplaceAll(fmt.Sprintf(template, headerOf("c1", "")), "\n", "\r\n"), "\r\n\r\n") + len("\r\n\r\n")
					for length := range head {
						e := newEndpoint(t, cutAnswer(template, length, isReset))
						f := newFixture(t, e)
						got := f.call(t, path, "k1", "body")
						if got.err == nil {
							require.NotEqual(t, http.StatusOK, got.status, "cut after %d bytes: %q", length, got.body)
							require.Equal(t, string(forwarder.Unknown), got.refusal, "cut after %d bytes", length)
						}
						if path == "/once/1" || path == "/stream/1" {
							require.Len(t, e.requests(), 1, "cut after %d bytes", length)
						}
					}
				})
			}
		}
	}
}
