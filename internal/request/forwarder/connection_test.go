package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/screener"
)

// screened is the fixture behind a screened server, as callers reach it.
type screened struct {
	*fixture
	address string
	server  *http.Server
}

func newScreened(t *testing.T, limits screener.Limits, endpoints ...*endpoint) *screened {
	t.Helper()
	s := &screened{fixture: newFixture(t, endpoints...)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = l.Addr().String()
	s.server = &http.Server{
		Handler: screener.Guard(http.HandlerFunc(s.serve)), ConnContext: screener.ConnContext, ConnState: screener.ConnState,
	}
	done := make(chan struct{})
	listener := screener.New(func() screener.Limits { return limits }, time.Now).Wrap(l)
	go func() {
		defer close(done)
		_ = s.server.Serve(listener)
	}()
	t.Cleanup(func() {
		s.server.Close()
		<-done
	})
	return s
}

// dial opens a caller's connection.
func (s *screened) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// rawCall returns a request as a caller sends it.
func rawCall(method, path, fields, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\n%s: c1\r\nKey: k1\r\n%s\r\n%s", method, path, headerID, fields, body)
}

// An answer dropped "Connection: close" together with the endpoint's hop-by-hop fields, so the connection of a chunked
// request stayed open, and the bytes after that request were served as another one.
func TestConnectionIsClosedAfterAnswerToChunkedCall(t *testing.T) {
	for name, answer := range map[string]answerFunc{
		"plain":                     answerWith(200, "ok"),
		"kept open by the endpoint": keepAliveAnswer,
		"stream":                    answerEvents(2, 2),
		"long":                      answerWith(200, string(make([]byte, 300<<10))),
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, answer)
			path := "/once/1"
			if name == "stream" {
				path = "/stream/1"
			}
			s := newScreened(t, screener.Limits{}, e)
			c := s.dial(t)
			_, err := io.WriteString(c, rawCall("POST", path, "Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n0\r\n\r\n")+rawCall("GET", "/safe/hidden", "", ""))
			require.NoError(t, err)
			r := bufio.NewReader(c)
			response, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, 200, response.StatusCode)
			assert.True(t, response.Close, "the answer announces that the connection is closed")
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			_, err = http.ReadResponse(r, nil)
			require.Error(t, err, "nothing is served after a chunked request")
			require.Len(t, e.requests(), 1)
		})
	}
}

func keepAliveAnswer(c net.Conn, r *http.Request, _ string) bool {
	writeRaw(c, "HTTP/1.1 200 X\n%sConnection: keep-alive\nContent-Length: 2\n\nok", headerOf(r.Header.Get(headerID), ""))
	return true
}
