package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/screener"
)

// A call that was canceled after an endpoint had answered with a failure was told that its answer is lost.
func TestCanceledCallGetsTheFailureThatAnEndpointAnswered(t *testing.T) {
	sent := make(chan struct{}, 8)
	either := answersOnce(answerWith(500, "failed"), func(c net.Conn, r *http.Request, body string) bool {
		sent <- struct{}{}
		return neverAnswer(c, r, body)
	})
	s := newScreened(t, screener.Limits{}, newEndpoint(t, either), newEndpoint(t, either))
	c := s.dial(t)
	_, err := io.WriteString(c, rawCall("POST", "/safe/1", "Content-Length: 2\r\n", "hi"))
	require.NoError(t, err)
	<-sent
	require.NoError(t, c.CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "the connection was closed without an answer")
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, 500, response.StatusCode)
	require.Equal(t, "failed", string(body))
}
