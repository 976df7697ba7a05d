package dialer_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/standin/answerer"
)

// A service answered a long upload at once without a length and reset the connection while the upload was being written:
// the part was taken for the whole answer.
func TestPartOfAnswerIsRejectedAfterReset(t *testing.T) {
	heads := map[string]string{
		"200": "HTTP/1.1 200 OK\r\n\r\n", "200 close": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "200 1.0": "HTTP/1.0 200 OK\r\n\r\n",
		"201": "HTTP/1.1 201 Created\r\n\r\n", "404": "HTTP/1.1 404 Not Found\r\n\r\n",
	}
	ends := map[string]func(c *net.TCPConn){
		"reset": answerer.Reset, "abandoned": answerer.Abandon, "ended and reset": answerer.EndAndReset, "vanished": answerer.Vanish,
	}
	for name, head := range heads {
		for _, size := range []int{100, 60 << 10, 300 << 10} {
			for _, wait := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
				for end, do := range ends {
					t.Run(fmt.Sprintf("%s, %d bytes, %s after %s", name, size, end, wait), func(t *testing.T) {
						t.Parallel()
						text := head + strings.Repeat("a", size)
						s, err := answerer.Listen(answerer.Early(func(*http.Request) string { return text }, wait, do))
						require.NoError(t, err)
						defer s.Close()
						for i := range 10 {
							d := dialer.New()
							answer, err := d.Do(t.Context(), s.Address(), dialer.Request{ID: "c1", Method: http.MethodPost, Path: "/one", Body: make([]byte, 4<<20)})
							require.Error(t, err, "call %d: %d with %d bytes", i, answer.Status, len(answer.Body))
							require.True(t, dialer.MayHaveRun(err))
							d.Close()
						}
					})
				}
			}
		}
	}
}

// The same, with an answer that ends in order while the upload is being written.
func TestAnswerIsAcceptedBesideUpload(t *testing.T) {
	for _, size := range []int{100, 60 << 10, 300 << 10} {
		text := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("a", size)
		s, err := answerer.Listen(answerer.Early(func(*http.Request) string { return text }, 5*time.Millisecond, answerer.Linger))
		require.NoError(t, err)
		d := dialer.New()
		answer, err := d.Do(t.Context(), s.Address(), dialer.Request{ID: "c1", Method: http.MethodPost, Path: "/one", Body: make([]byte, 4<<20)})
		require.NoError(t, err)
		require.Len(t, answer.Body, size)
		d.Close()
		s.Close()
	}
}

// Answers with a length that are sent before the upload is read are accepted, however the connection ends after them.
func TestEarlyAnswerWithLengthIsAccepted(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){
		"reset": answerer.Reset, "abandoned": answerer.Abandon, "ended and reset": answerer.EndAndReset, "read": answerer.Linger, "not read": answerer.Stall,
	}
	for _, head := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 413 Too Large", "HTTP/1.0 404 Not Found"} {
		for _, size := range []int{100, 60 << 10} {
			for end, do := range ends {
				t.Run(fmt.Sprintf("%s, %d bytes, %s", head, size, end), func(t *testing.T) {
					t.Parallel()
					text := fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", head, size, strings.Repeat("a", size))
					s, err := answerer.Listen(answerer.Early(func(*http.Request) string { return text }, 50*time.Millisecond, do))
					require.NoError(t, err)
					defer s.Close()
					d := dialer.New()
					defer d.Close()
					answer, err := d.Do(t.Context(), s.Address(), dialer.Request{ID: "c1", Method: http.MethodPost, Path: "/one", Body: make([]byte, 4<<20)})
					require.NoError(t, err)
					require.Len(t, answer.Body, size)
				})
			}
		}
	}
}
