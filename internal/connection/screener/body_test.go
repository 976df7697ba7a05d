package screener_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/screener"
)

// The limit for the head of a request broke off a body that took longer.
func TestSlowBodyIsNoSlowHead(t *testing.T) {
	const limit = time.Second
	for name, limits := range map[string]screener.Limits{"head": {Head: limit}, "head and idle": {Head: limit, Idle: limit}, "idle": {Idle: limit}} {
		for framing, body := range map[string][2]string{
			"length": {"Content-Length: 4\r\n\r\nab", "cd"},
			"chunks": {"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "2\r\ncd\r\n0\r\n\r\n"},
		} {
			for kind, before := range map[string]int{"fresh": 0, "kept": 1} {
				t.Run(name+" "+framing+" "+kind, func(t *testing.T) {
					t.Parallel()
					f := newFront(t, limits)
					c, err := net.Dial("tcp", f.address)
					require.NoError(t, err)
					defer c.Close()
					r := bufio.NewReader(c)
					for range before {
						_, err = io.WriteString(c, get)
						require.NoError(t, err)
						requireStatus(t, r)
					}
					_, err = io.WriteString(c, "POST /one HTTP/1.1\r\nHost: a\r\n"+body[0])
					require.NoError(t, err)
					time.Sleep(2 * limit)
					_, err = io.WriteString(c, body[1])
					require.NoError(t, err)
					requireStatus(t, r)
				})
			}
		}
	}
}

func requireStatus(t *testing.T, r *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}
