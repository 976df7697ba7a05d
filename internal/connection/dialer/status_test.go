package dialer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/dialer"
)

// An endpoint's answer with a status that no final answer has ended the handler, and the caller's connection with it.
func TestAnswerWithoutFinalStatusMayHaveRun(t *testing.T) {
	for _, status := range []string{"000", "042", "101"} {
		t.Run(status, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok")
				c.Close()
			}))
			defer server.Close()
			d := dialer.New()
			defer d.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
			defer cancel()
			address, err := netip.ParseAddrPort(server.Listener.Addr().(*net.TCPAddr).String())
			require.NoError(t, err)
			_, err = d.Do(ctx, address, dialer.Request{ID: "c1", Method: http.MethodPost, Path: "/one"})
			require.Error(t, err)
			require.True(t, dialer.MayHaveRun(err))
		})
	}
}
