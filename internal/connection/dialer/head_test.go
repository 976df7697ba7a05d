package dialer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/dialer"
)

// cutServer sends the first bytes of an answer to each request and closes the connection, or
// resets it.
type cutServer struct {
	listener net.Listener
	text     string
	isReset  bool
	requests chan int // number of requests so far
}

func (s *cutServer) run() {
	for n := 1; ; n++ {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4096))
		s.requests <- n
		_, _ = c.Write([]byte(s.text))
		if s.isReset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	}
}

// Other operators saw endpoints that stopped in the middle of an answer's head and closed: the
// callers got a success with an empty or short body.
func TestAnswerThatStopsInItsHeadIsNoSuccess(t *testing.T) {
	heads := map[string]string{
		"length":     "HTTP/1.1 200 OK\r\nOutcome: done\r\nContent-Length: 12\r\n\r\n",
		"chunked":    "HTTP/1.1 200 OK\r\nOutcome: done\r\nTransfer-Encoding: chunked\r\n\r\n",
		"to the end": "HTTP/1.1 200 OK\r\nOutcome: done\r\nConnection: close\r\n\r\n",
	}
	for name, head := range heads {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s reset=%v", name, isReset), func(t *testing.T) {
				t.Parallel()
				for length := range head {
					l, err := net.Listen("tcp", "127.0.0.1:0")
					require.NoError(t, err)
					s := &cutServer{listener: l, text: head[:length], isReset: isReset, requests: make(chan int, 8)}
					go s.run()
					d := dialer.New()
					answer, err := d.Do(context.Background(), netip.MustParseAddrPort(l.Addr().String()), dialer.Request{
						ID: "r", Method: http.MethodPost, Path: "/", Body: []byte("x"),
					})
					require.Error(t, err, "cut after %q: %v", strings.TrimSpace(head[:length]), answer)
					require.True(t, dialer.MayHaveRun(err))
					require.Equal(t, 1, <-s.requests)
					require.Empty(t, s.requests, "sent again")
					d.Close()
					l.Close()
				}
			})
		}
	}
}
