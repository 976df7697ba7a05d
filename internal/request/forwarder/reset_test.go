package forwarder_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/standin/answerer"
)

// newEarlyEndpoint returns an endpoint that answers before it has read the body of a call.
func newEarlyEndpoint(t *testing.T, handle answerer.Handler) *endpoint {
	t.Helper()
	s, err := answerer.Listen(handle)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return &endpoint{listener: s.Listener()}
}

const (
	// uploadSize is more than the kernel takes while the endpoint reads nothing, in bytes.
	uploadSize = 4 << 20
	// resetRepeats is how often each case is played. The upload has to meet the reset while it is being written.
	resetRepeats = 4
)

// unframedHeads begin answers that end with their connections.
var unframedHeads = map[string]string{
	"200":       "HTTP/1.1 200 OK\r\n%s\r\n",
	"200 close": "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n",
	"200 1.0":   "HTTP/1.0 200 OK\r\n%s\r\n",
	"201":       "HTTP/1.1 201 Created\r\n%s\r\n",
	"404":       "HTTP/1.1 404 Not Found\r\n%s\r\n",
	"500":       "HTTP/1.1 500 Error\r\n%s\r\n",
}

func unframedText(head, path string, size int) func(r *http.Request) string {
	event := wholeBody(path)
	body := strings.Repeat(event, size/len(event)+1)
	if !strings.HasPrefix(event, "id") {
		body = body[:size]
	}
	return func(r *http.Request) string {
		return strings.ReplaceAll(fmt.Sprintf(head, headerOf(r.Header.Get(headerID), "")), ": x\n", ": x\r\n") + body
	}
}

// An endpoint answered a long upload at once without a length and reset the connection while the upload was being written.
// The write took the error of the connection, the next read found the end of the stream, and the part was delivered as whole.
func TestPartOfAnswerIsNotDeliveredAfterReset(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){
		"reset": answerer.Reset, "abandoned": answerer.Abandon, "ended and reset": answerer.EndAndReset, "vanished": answerer.Vanish,
	}
	for name, head := range unframedHeads {
		for i, size := range []int{100, 60 << 10, 300 << 10} {
			for j, wait := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
				for end, do := range ends {
					path := brokenPaths[(i+j)%len(brokenPaths)]
					t.Run(fmt.Sprintf("%s, %d bytes, %s after %s%s", name, size, end, wait, path), func(t *testing.T) {
						t.Parallel()
						f := newFixture(t, newEarlyEndpoint(t, answerer.Early(unframedText(head, path, size), wait, do)))
						f.maxWait = 10 * time.Second
						for call := range resetRepeats {
							got := f.callAs(t, fmt.Sprintf("c%d", call), path, "k1", strings.Repeat("u", uploadSize))
							if got.err == nil {
								require.Equal(t, string(forwarder.Unknown), got.refusal, "call %d: %d with %d bytes", call, got.status, len(got.body))
							}
						}
					})
				}
			}
		}
	}
}

// Whole answers that end in order are delivered, also while the upload is being written, and if no more of it is read.
func TestAnswerIsDeliveredBesideUpload(t *testing.T) {
	ends := map[string]func(c *net.TCPConn){"the upload is read": answerer.Linger, "the upload is not read": answerer.Stall}
	for name, head := range unframedHeads {
		for _, size := range []int{100, 60 << 10, 300 << 10} {
			for _, path := range brokenPaths {
				for end, do := range ends {
					t.Run(fmt.Sprintf("%s, %d bytes, %s%s", name, size, end, path), func(t *testing.T) {
						t.Parallel()
						text := unframedText(head, path, size)
						f := newFixture(t, newEarlyEndpoint(t, answerer.Early(text, 5*time.Millisecond, do)))
						f.maxWait = 10 * time.Second
						got := f.call(t, path, "k1", strings.Repeat("u", uploadSize))
						require.NoError(t, got.err)
						require.Empty(t, got.refusal)
						_, body, _ := strings.Cut(text(&http.Request{Header: http.Header{headerID: {"c1"}}}), "\r\n\r\n")
						require.Equal(t, len(body), len(got.body))
						require.Equal(t, name[:3], fmt.Sprint(got.status))
					})
				}
			}
		}
	}
}

// Answers with a length that are sent before the upload is read are delivered, however the connection ends after them.
func TestEarlyAnswerWithLengthIsDelivered(t *testing.T) {
	heads := map[string]string{
		"200": "HTTP/1.1 200 OK\r\n%s", "404": "HTTP/1.1 404 Not Found\r\n%s", "413": "HTTP/1.1 413 Too Large\r\n%sConnection: close\r\n",
		"403 in 1.0": "HTTP/1.0 403 Forbidden\r\n%s",
	}
	ends := map[string]func(c *net.TCPConn){
		"reset": answerer.Reset, "abandoned": answerer.Abandon, "ended and reset": answerer.EndAndReset, "read": answerer.Linger, "not read": answerer.Stall,
	}
	for name, head := range heads {
		for _, size := range []int{100, 60 << 10} {
			for end, do := range ends {
				for _, path := range brokenPaths {
					t.Run(fmt.Sprintf("%s, %d bytes, %s%s", name, size, end, path), func(t *testing.T) {
						t.Parallel()
						text := func(r *http.Request) string {
							start, body, _ := strings.Cut(unframedText(head+"\r\n", path, size)(r), "\r\n\r\n")
							return fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", start, len(body), body)
						}
						f := newFixture(t, newEarlyEndpoint(t, answerer.Early(text, 50*time.Millisecond, do)))
						f.maxWait = 10 * time.Second
						got := f.call(t, path, "k1", strings.Repeat("u", uploadSize))
						require.NoError(t, got.err)
						require.Equal(t, name[:3], fmt.Sprint(got.status), "refusal %q", got.refusal)
						_, body, _ := strings.Cut(text(&http.Request{Header: http.Header{headerID: {"c1"}}}), "\r\n\r\n")
						require.Equal(t, len(body), len(got.body))
					})
				}
			}
		}
	}
}
