package server_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/server"
	"hyssoprudder/internal/request/handler"
)

// stopTimeout bounds the waits of these tests. It is so long that only a fault exceeds it.
const stopTimeout = 60 * time.Second

const rawRequest = "GET /v1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer masons-demo\r\n\r\n"

// A server that stopped dropped requests of which it had read a part, on kept and on fresh connections.
func TestStopAnswersWhatWasReceived(t *testing.T) {
	srv, address := startWith(t, answerRoute, io.Discard, "60s")
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c, bufio.NewReader(c)
	}
	send := func(c net.Conn, text string) {
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
	}
	requireAnswer := func(r *bufio.Reader) {
		response, err := http.ReadResponse(r, nil)
		require.NoError(t, err, "the connection was closed without an answer")
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "answers", string(body))
	}
	kept, keptReader := dial()
	send(kept, rawRequest)
	requireAnswer(keptReader)
	fresh, freshReader := dial()
	half := len(rawRequest) / 2
	send(kept, rawRequest[:half])
	send(fresh, rawRequest[:half])
	s := &stopper{srv: srv, aborted: make(chan int64, 1)}
	go s.run()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", address)
		if err == nil {
			c.Close()
		}
		return err != nil
	}, stopTimeout, time.Millisecond)
	send(kept, rawRequest[half:])
	requireAnswer(keptReader)
	send(fresh, rawRequest[half:])
	requireAnswer(freshReader)
	require.Zero(t, <-s.aborted)
	_, err := keptReader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

// A call that was still in flight at the end of the time to stop got no answer at all.
func TestStopAnswersCallsThatItAborts(t *testing.T) {
	received := make(chan struct{}, 1)
	srv, address := startWith(t, func(ctx context.Context, w http.ResponseWriter, call *handler.Call) handler.Result {
		received <- struct{}{}
		<-ctx.Done()
		problem := handler.NewProblem(http.StatusGatewayTimeout, handler.OutcomeUnknown, context.Cause(ctx).Error(), "")
		problem.Write(w, call.ID())
		return handler.Result{Outcome: handler.OutcomeUnknown, Status: http.StatusGatewayTimeout}
	}, io.Discard, "60s")
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, rawRequest)
	require.NoError(t, err)
	<-received
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.Equal(t, int64(1), srv.Stop(ctx), "the number of aborted calls")
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "the connection was closed without an answer")
	defer response.Body.Close()
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), "the node is stopping")
}

// The deadline for a body, if it were left on the connection, would cancel a call that takes longer.
func TestDeadlineForBodyDoesNotCancelTheCall(t *testing.T) {
	canceled := make(chan error, 1)
	srv, address := startWith(t, func(ctx context.Context, w http.ResponseWriter, call *handler.Call) handler.Result {
		time.Sleep(2500 * time.Millisecond) // beyond the deadline
		canceled <- ctx.Err()
		return answerRoute(ctx, w, call)
	}, io.Discard, "2s")
	defer srv.Stop(context.Background())
	head := "POST /v1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer masons-demo\r\n"
	for name, rest := range map[string]string{
		"length": "Content-Length: 2\r\n\r\nhi",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, head+rest)
			require.NoError(t, err)
			require.NoError(t, <-canceled)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, http.StatusOK, response.StatusCode)
		})
	}
}

// A request that came late in the time to stop was taken and passed on, and cut at its end.
func TestStopRefusesCallsThatMayNotEndInTime(t *testing.T) {
	cases := map[string]struct {
		header  string
		status  int
		outcome handler.Outcome
	}{
		"ends in time":                  {"Timeout: 50ms\r\n", http.StatusOK, handler.OutcomeDone},
		"may not end in time":           {"Timeout: 55m\r\n", http.StatusServiceUnavailable, handler.OutcomeNotRun},
		"may not end in time, with key": {"Timeout: 55m\r\nIdempotency-Key: k\r\n", http.StatusServiceUnavailable, handler.OutcomeUnknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			srv, address := startWith(t, answerRoute, io.Discard, "60s")
			c, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer c.Close()
			request := "GET /v1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer masons-demo\r\n" + tc.header + "\r\n"
			_, err = io.WriteString(c, request[:20])
			require.NoError(t, err)
			require.Eventually(t, func() bool { return srv.Counts().Receiving == 1 }, stopTimeout, time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Minute)
			defer cancel()
			aborted := make(chan int64, 1)
			s := &limitedStopper{srv: srv, ctx: ctx, aborted: aborted}
			go s.run()
			require.Eventually(t, func() bool {
				other, err := net.Dial("tcp", address)
				if err == nil {
					other.Close()
				}
				return err != nil
			}, stopTimeout, time.Millisecond)
			_, err = io.WriteString(c, request[20:])
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, tc.status, response.StatusCode)
			require.Equal(t, string(tc.outcome), response.Header.Get(handler.HeaderOutcome))
			require.Zero(t, <-aborted)
		})
	}
}

// limitedStopper stops a server within the time of a context.
type limitedStopper struct {
	srv     *server.Server
	ctx     context.Context //nolint:containedctx // passed to Stop by run
	aborted chan int64
}

func (s *limitedStopper) run() { s.aborted <- s.srv.Stop(s.ctx) }
