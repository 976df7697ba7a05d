package handler_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/handler"
	"hyssoprudder/internal/standin/faulter"
)

// A caller that closed only its sending side got "200 OK" with an empty body, or a stream that ended as if it were complete
// at the level of HTTP.
func TestCallerThatClosedItsSendingSideGetsNoFalseSuccess(t *testing.T) {
	cases := map[string]struct {
		isStreamed, hasBegun bool
		status               int
	}{
		"one answer":       {false, false, http.StatusGatewayTimeout},
		"stream":           {true, false, http.StatusGatewayTimeout},
		"stream in events": {true, true, http.StatusOK},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			engines, endpoints := startEngines(t, 1, nil)
			if !tc.hasBegun {
				engines[0].Faults().Put(faulter.Fault{Freeze: true})
			}
			e := newEntry(t, endpoints, nil)
			c, err := net.Dial("tcp", e.server.Listener.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			body := fmt.Sprintf(`{"prompt":%q,"max":3000,"stream":%v}`, promptText(1, 20), tc.isStreamed)
			_, err = fmt.Fprintf(c, "POST /v1/answers HTTP/1.1\r\nHost: a\r\nCustomer: masons\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			require.NoError(t, err)
			r := bufio.NewReader(c)
			if tc.hasBegun {
				_, err = r.Peek(1)
				require.NoError(t, err)
			} else {
				require.Eventually(t, func() bool { return len(e.streams.Running()) == 1 }, time.Minute, time.Millisecond)
			}
			require.NoError(t, c.(*net.TCPConn).CloseWrite())
			response, err := http.ReadResponse(r, nil)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, tc.status, response.StatusCode)
			text, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			if tc.hasBegun {
				require.Contains(t, string(text), "event: error\n")
				require.NotContains(t, string(text), "event: done\n")
				return
			}
			require.Equal(t, string(handler.OutcomeUnknown), response.Header.Get(handler.HeaderOutcome))
			require.True(t, strings.Contains(string(text), string(handler.OutcomeUnknown)), string(text))
		})
	}
}
