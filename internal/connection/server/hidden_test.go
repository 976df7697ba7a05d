package server_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/handler"
)

// Guards against request smuggling: a request with both Content-Length and chunks is
// refused and its connection closed, so the request hidden after the chunks is not served.
func TestHiddenRequestIsNotServed(t *testing.T) {
	hidden := "POST /hidden HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer masons-token\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]struct {
		raw    string
		answer string
	}{
		"length and chunks":     {"POST /answers HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "400 Bad Request"},
		"chunks":                {"GET /healthz HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "200 OK"},
		"after a request":       {"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\nPOST /answers HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "400 Bad Request"},
		"after bare newlines":   {"GET /healthz HTTP/1.1\nHost: a\n\nPOST /answers HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "400 Bad Request"},
		"after mixed line ends": {"GET /healthz HTTP/1.1\r\nHost: a\n\r\nGET /healthz HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "200 OK"},
		"after all options":     {"OPTIONS * HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "400 Bad Request"},
		"chunks in version 1.0": {"POST /answers HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n67\r\n" + hidden, "400 Bad Request"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int32
			_, address := start(t, func(ctx context.Context, w http.ResponseWriter, call *handler.Call) handler.Result {
				served.Add(1)
				return answerRoute(ctx, w, call)
			})
			c, err := net.Dial("tcp", strings.TrimPrefix(address, "http://"))
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, tc.raw)
			require.NoError(t, err)
			answers, _ := io.ReadAll(c) // the server closes the connection, with a reset if it left bytes unread
			require.Contains(t, string(answers), tc.answer)
			require.NotContains(t, string(answers), "401")
			require.Zero(t, served.Load())
		})
	}
}
