package inspector_test

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/inspector"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/answerer"
)

// newEncrypted returns the address of a server that answers over TLS, and a client that trusts it.
func newEncrypted(t *testing.T, answer func(c *tls.Conn, r *http.Request)) (string, *http.Client) {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		answer(c.(*tls.Conn), r)
	}))
	server.StartTLS()
	t.Cleanup(server.Close)
	trusted := server.Client().Transport.(*http.Transport).TLSClientConfig
	client := &http.Client{Transport: inspector.NewTransport(&http.Transport{TLSClientConfig: trusted}, clock.System{})}
	t.Cleanup(client.CloseIdleConnections)
	return server.URL, client
}

func get(client *http.Client, url string) (string, error) {
	response, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Answers over TLS are checked as others are.
func TestEncryptedAnswersAreChecked(t *testing.T) {
	play := func(t *testing.T, answer answerer.Answer) (string, error) {
		t.Parallel()
		url, client := newEncrypted(t, func(c *tls.Conn, _ *http.Request) { _, _ = io.WriteString(c, answer.Text(nil, "body")) })
		return get(client, url)
	}
	for name, answer := range answerer.Broken() {
		t.Run(name, func(t *testing.T) {
			body, err := play(t, answer)
			require.Error(t, err, "%q", body)
		})
	}
	for name, answer := range answerer.Sound() {
		t.Run(name, func(t *testing.T) {
			body, err := play(t, answer)
			require.NoError(t, err)
			require.Equal(t, "body", body)
		})
	}
}

// The part of an answer before a reset is not whole over TLS either.
func TestEncryptedAnswerIsNotWholeAfterReset(t *testing.T) {
	url, client := newEncrypted(t, func(c *tls.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(5 * time.Millisecond)
		answerer.Reset(c.NetConn().(*net.TCPConn))
	})
	for i := range 20 {
		response, err := client.Post(url, "text/plain", bytes.NewReader(make([]byte, 16<<20)))
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		require.Error(t, err, "call %d: %q", i, body)
		response.Body.Close()
	}
}

// A connection whose answer was rejected serves no other request, even if the answer has no body.
func TestConnectionOfARejectedAnswerIsClosed(t *testing.T) {
	closed := make(chan struct{})
	s, err := answerer.Listen(func(c *net.TCPConn, _ *http.Request) bool {
		defer close(closed)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-A : v\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, c)
		return false
	})
	require.NoError(t, err)
	defer s.Close()
	client := &http.Client{Transport: inspector.NewTransport(&http.Transport{}, clock.System{})}
	_, err = get(client, "http://"+s.Address().String())
	require.True(t, inspector.IsMalformed(err), "%v", err)
	<-closed
}
