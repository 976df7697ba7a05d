package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/screener"
	"hyssoprudder/internal/request/forwarder"
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
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	done := make(chan struct{})
	screen := screener.New(func() screener.Limits { return limits }, time.Now)
	screen.Install(s.server)
	listener := screen.Wrap(l)
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
			require.True(t, response.Close, "the answer announces that the connection is closed")
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

// A caller that closed only its sending side and waited for the answer got none: its connection was closed without a word.
func TestCallerThatClosedItsSendingSideIsAnswered(t *testing.T) {
	cases := map[string]struct {
		path    string
		answer  answerFunc
		refusal forwarder.Refusal
	}{
		"safe, sent":   {"/safe/1", neverAnswer, forwarder.Unknown},
		"once, sent":   {"/once/1", neverAnswer, forwarder.Unknown},
		"stream, sent": {"/stream/1", neverAnswer, forwarder.Unknown},
		"begun answer": {"/once/1", answerBegun, forwarder.Unknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sent := make(chan struct{}, 8)
			e := newEndpoint(t, func(c net.Conn, r *http.Request, body string) bool {
				sent <- struct{}{}
				return tc.answer(c, r, body)
			})
			s := newScreened(t, screener.Limits{}, e)
			c := s.dial(t)
			_, err := io.WriteString(c, rawCall("POST", tc.path, "Content-Length: 2\r\n", "hi"))
			require.NoError(t, err)
			<-sent
			require.NoError(t, c.CloseWrite())
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err, "the connection was closed without an answer")
			defer response.Body.Close()
			require.Equal(t, string(tc.refusal), response.Header.Get("Refusal"))
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
		})
	}
}

// answerBegun sends a part of an answer and waits until the client closes the connection.
func answerBegun(c net.Conn, r *http.Request, body string) bool {
	writeRaw(c, "HTTP/1.1 200 X\n%sContent-Length: 10\n\nhalf", headerOf(r.Header.Get(headerID), ""))
	return neverAnswer(c, r, body)
}

// The limit on the time for a head ran for the head of a caller's next request while its previous one was served. When it
// was exceeded, the call in service was canceled and its connection closed.
func TestHalfOfANextRequestDoesNotCancelTheCall(t *testing.T) {
	for name, limits := range map[string]screener.Limits{
		"limit on heads":            {Head: time.Millisecond},
		"limit on idle connections": {Idle: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan struct{}, 1)
			e := newEndpoint(t, func(c net.Conn, r *http.Request, body string) bool {
				sent <- struct{}{}
				time.Sleep(100 * time.Millisecond) // beyond the limit
				return answerWith(200, "ok")(c, r, body)
			})
			s := newScreened(t, limits, e)
			c := s.dial(t)
			_, err := io.WriteString(c, rawCall("POST", "/once/1", "Content-Length: 2\r\n", "hi"))
			require.NoError(t, err)
			<-sent
			_, err = io.WriteString(c, "GET /safe/2 HT")
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err, "the connection was closed without an answer")
			defer response.Body.Close()
			require.Equal(t, 200, response.StatusCode)
		})
	}
}
