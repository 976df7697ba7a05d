package server_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
