package screener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/screener"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/reserver"
)

// boundedFront is a server with bounds. Its handler reads no bodies.
type boundedFront struct {
	budget  *reserver.Budget
	address string
}

func newBoundedFront(t *testing.T, bounds screener.Bounds, handler http.HandlerFunc) *boundedFront {
	t.Helper()
	f := &boundedFront{budget: reserver.NewBudget(1<<20, clock.System{})}
	bounds.Budget = f.budget
	s := screener.New(func() screener.Limits { return screener.Limits{} }, time.Now)
	s.SetBounds(bounds)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = l.Addr().String()
	server := newServer(s, handler)
	go func() { _ = server.Serve(s.Wrap(l)) }()
	t.Cleanup(func() { server.Close() })
	return f
}

// send opens a connection and sends text.
func (f *boundedFront) send(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(30*time.Second)))
	return conn
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

const (
	wholeRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	partOfAHead  = "GET / HTTP/1.1\r\nHost"
	partOfABody  = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nb"
)

// A crowd that had all connections locked out everybody else: the connections with incomplete requests are closed for new ones.
func TestIncompleteRequestsMakeRoomForNewConnections(t *testing.T) {
	for name, text := range map[string]string{"nothing": "", "part of a head": partOfAHead, "part of a body": partOfABody} {
		t.Run(name, func(t *testing.T) {
			f := newBoundedFront(t, screener.Bounds{Connections: 8, Share: 0.5}, func(w http.ResponseWriter, r *http.Request) {
				_, err := reserver.FromContext(r.Context()).ReadBody(r.Body, r.ContentLength, 1<<20, func(int64) error { return nil })
				if err == nil {
					answerOK(w, r)
				}
			})
			for range 8 {
				f.send(t, text)
			}
			require.Eventually(t, func() bool {
				conn, err := net.Dial("tcp", f.address)
				if err != nil {
					return false
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, wholeRequest)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				return err == nil && response.StatusCode == http.StatusOK
			}, 30*time.Second, 20*time.Millisecond)
		})
	}
}

// Requests that are being served are never given up for new connections.
func TestServedRequestsAreNotDisplaced(t *testing.T) {
	release := make(chan struct{})
	f := newBoundedFront(t, screener.Bounds{Connections: 2, Share: 0.5}, func(w http.ResponseWriter, r *http.Request) {
		<-release
		answerOK(w, r)
	})
	served := []net.Conn{f.send(t, wholeRequest), f.send(t, wholeRequest)}
	time.Sleep(200 * time.Millisecond) // until they could be displaced
	refused := f.send(t, "")
	_, err := refused.Read(make([]byte, 1))
	require.Error(t, err)
	close(release)
	for _, conn := range served {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	require.Equal(t, uint64(1), f.budget.Counts()[reserver.TooManyConnections])
}

// A body that no handler reads held its connection for as long as its caller wished, and delayed the answer.
func TestUnreadBodyIsAnsweredAndClosed(t *testing.T) {
	for name, framing := range map[string]string{"stated size": "Content-Length: 1000\r\n\r\nb", "chunked": "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n"} {
		t.Run(name, func(t *testing.T) {
			f := newBoundedFront(t, screener.Bounds{}, http.NotFound)
			answer, err := io.ReadAll(f.send(t, "POST / HTTP/1.1\r\nHost: a\r\n"+framing))
			require.NoError(t, err)
			require.Contains(t, string(answer), "HTTP/1.1 404 ")
		})
	}
}

// Many requests that do not wait for answers end with the connection; those before it are answered.
func TestPipelinedRequestsAreBounded(t *testing.T) {
	f := newBoundedFront(t, screener.Bounds{Pipelined: 4}, answerOK)
	answers, _ := io.ReadAll(f.send(t, strings.Repeat(wholeRequest, 100))) // ends with a reset, since the rest is not read
	require.LessOrEqual(t, strings.Count(string(answers), "HTTP/1.1 200 OK"), 6)
	require.Equal(t, uint64(1), f.budget.Counts()[reserver.Pipelined])
}

// Heads of very many fields took a multiple of their size.
func TestHeaderFieldsAreBounded(t *testing.T) {
	cases := map[string]struct {
		bounds screener.Bounds
		status string
	}{
		"number": {screener.Bounds{Fields: 100}, "HTTP/1.1 431 "},
		"memory": {screener.Bounds{}, "HTTP/1.1 503 "},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newBoundedFront(t, tc.bounds, answerOK)
			var head strings.Builder
			for i := range 4_000 {
				fmt.Fprintf(&head, "%x:\r\n", 0xa00+i)
			}
			answer, err := io.ReadAll(f.send(t, "GET / HTTP/1.1\r\nHost: a\r\n"+head.String()+"\r\n"))
			require.NoError(t, err)
			require.Contains(t, string(answer), tc.status)
		})
	}
}

// Requests that were received in part delayed a planned stop until its end.
func TestDrainDoesNotWaitForIncompleteRequests(t *testing.T) {
	for name, text := range map[string]string{"part of a head": partOfAHead, "part of a body": partOfABody} {
		t.Run(name, func(t *testing.T) {
			began := make(chan struct{}, 1)
			s := screener.New(func() screener.Limits { return screener.Limits{} }, time.Now)
			s.SetBounds(screener.Bounds{Budget: reserver.NewBudget(1<<20, clock.System{})})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			server := newServer(s, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				began <- struct{}{}
				_, _ = reserver.FromContext(r.Context()).ReadBody(r.Body, r.ContentLength, 1<<20, func(int64) error { return nil })
				http.Error(w, "too slow", http.StatusRequestTimeout)
			}))
			go func() { _ = server.Serve(s.Wrap(l)) }()
			defer server.Close()
			f := &boundedFront{address: l.Addr().String()}
			f.send(t, text)
			if text == partOfABody {
				<-began
			} else {
				require.Eventually(t, func() bool { return s.Counts().Receiving == 1 }, 30*time.Second, time.Millisecond)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			require.NoError(t, s.Drain(ctx))
		})
	}
}
