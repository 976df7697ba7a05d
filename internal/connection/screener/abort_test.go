package screener_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/screener"
)

// abortingHandler sends a part of an answer and aborts it.
type abortingHandler struct {
	size     int
	isStream bool // the part is sent at once
	length   string
}

func (h abortingHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if h.length != "" {
		w.Header().Set("Content-Length", h.length)
	}
	_, _ = w.Write(make([]byte, h.size))
	if h.isStream {
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
	}
	panic(http.ErrAbortHandler)
}

// A caller of version 1.0 took the part of an aborted answer for the whole: without a length, its answer ends with the
// connection.
func TestAbortedAnswerNeverLooksWhole(t *testing.T) {
	requests := map[string]string{
		"1.0":      "GET /one HTTP/1.0\r\n\r\n",
		"1.0 kept": "GET /one HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
		"1.0 body": "POST /one HTTP/1.0\r\nContent-Length: 4\r\n\r\nbody",
		"1.1":      "GET /one HTTP/1.1\r\nHost: a\r\n\r\n",
		"1.1 last": "GET /one HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
	}
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	certified.Close()
	for name, request := range requests {
		for _, size := range []int{0, 10, 3000, 300 << 10} {
			for _, isStream := range []bool{false, true} {
				for _, length := range []string{"", "500000"} {
					for _, isEncrypted := range []bool{false, true} {
						t.Run(fmt.Sprintf("%s, %d bytes, stream %v, length %q, TLS %v", name, size, isStream, length, isEncrypted), func(t *testing.T) {
							t.Parallel()
							c, _ := dialAborting(t, abortingHandler{size, isStream, length}, certified, isEncrypted)
							_, err := io.WriteString(c, request)
							require.NoError(t, err)
							response, err := http.ReadResponse(bufio.NewReader(c), nil)
							if err != nil {
								return
							}
							defer response.Body.Close()
							body, err := io.ReadAll(response.Body)
							require.Error(t, err, "%d bytes", len(body))
						})
					}
				}
			}
		}
	}
}

// stoppedHandler sends a part of an answer and waits until the test is over.
type stoppedHandler struct {
	begun chan struct{}
	ended chan struct{}
}

func (h stoppedHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(make([]byte, 3000))
	_ = http.NewResponseController(w).Flush()
	close(h.begun)
	<-h.ended
}

// The same for an answer that is being sent when its server is closed.
func TestAnswerOfAClosedServerNeverLooksWhole(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	certified.Close()
	for _, version := range []string{"1.0", "1.1"} {
		for _, isEncrypted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, TLS %v", version, isEncrypted), func(t *testing.T) {
				h := stoppedHandler{make(chan struct{}), make(chan struct{})}
				c, server := dialAborting(t, h, certified, isEncrypted)
				defer close(h.ended)
				_, err := io.WriteString(c, "GET /one HTTP/"+version+"\r\nHost: a\r\n\r\n")
				require.NoError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				defer response.Body.Close()
				<-h.begun
				server.Close()
				body, err := io.ReadAll(response.Body)
				require.Error(t, err, "%d bytes", len(body))
			})
		}
	}
}

// dialAborting returns a connection to a server with the handler.
func dialAborting(t *testing.T, handler http.Handler, certified *httptest.Server, isEncrypted bool) (net.Conn, *http.Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	if isEncrypted {
		l = tls.NewListener(l, &tls.Config{Certificates: certified.TLS.Certificates, MinVersion: tls.VersionTLS12})
	}
	s := screener.New(func() screener.Limits { return screener.Limits{} }, time.Now)
	server, done := newServer(s, handler), make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(s.Wrap(l))
	}()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	if isEncrypted {
		config := certified.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
		config.ServerName = "example.com"
		c = tls.Client(c, config)
	}
	t.Cleanup(func() {
		c.Close()
		server.Close()
		<-done
	})
	return c, server
}
