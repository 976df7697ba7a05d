package forwarder_test

import (
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
)

// answerStatus returns a function that sends an answer with any text for its status.
func answerStatus(status string) answerFunc {
	return func(c net.Conn, r *http.Request, _ string) bool {
		writeRaw(c, "HTTP/1.1 %s X\n%sContent-Length: 2\n\nok", status, headerOf(r.Header.Get(headerID), ""))
		return true
	}
}

// An endpoint's answer with a status that no final answer has ended the handler, and the caller's connection with it.
func TestAnswerWithoutFinalStatusIsNotDelivered(t *testing.T) {
	for _, path := range []string{"/safe/1", "/once/1", "/stream/1", "/resumable/1"} {
		for _, status := range []string{"000", "042", "101"} {
			t.Run(path+" "+status, func(t *testing.T) {
				t.Parallel()
				got := newFixture(t, newEndpoint(t, answerStatus(status))).call(t, path, "k1", "prompt")
				require.NoError(t, got.err, "the connection was closed without an answer")
				require.Equal(t, string(forwarder.Unknown), got.refusal)
			})
		}
	}
}

// Another endpoint answers a repeatable call after such an answer.
func TestAnswerWithoutFinalStatusIsReplaced(t *testing.T) {
	once := answersOnce(answerStatus("042"), answerWith(200, "ok"))
	got := newFixture(t, newEndpoint(t, once), newEndpoint(t, once)).call(t, "/safe/1", "k1", "prompt")
	require.NoError(t, got.err, "the connection was closed without an answer")
	require.Equal(t, "ok", got.body)
}

// answersOnce returns a function that gives the first answer to the first request and the next one to all others.
func answersOnce(first, next answerFunc) answerFunc {
	var once sync.Once
	return func(c net.Conn, r *http.Request, body string) bool {
		chosen := next
		once.Do(func() { chosen = first })
		return chosen(c, r, body)
	}
}
