package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/standin/answerer"
)

var brokenPaths = []string{"/safe/1", "/once/1", "/stream/1", "/resumable/1"}

// wholeBody returns a body that is an answer on the route.
func wholeBody(path string) string {
	if strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/resumable") {
		return "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
	}
	return "an answer of an endpoint"
}

func soundFields(r *http.Request) http.Header {
	return http.Header{headerID: {r.Header.Get(headerID)}, headerSeal: {"x"}}
}

// answerText returns a function that sends an answer and closes the connection in order.
func answerText(answer answerer.Answer, body string) answerFunc {
	return func(c net.Conn, r *http.Request, _ string) bool {
		_, _ = c.Write([]byte(answer.Text(soundFields(r), body)))
		answerer.Linger(c.(*net.TCPConn))
		return false
	}
}

// testBroken checks that the answers are not delivered on any route, whatever the endpoints of a repeatable call answer,
// and that another endpoint answers such a call.
func testBroken(t *testing.T, answers map[string]answerer.Answer) {
	for name, answer := range answers {
		for _, path := range brokenPaths {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				broken := answerText(answer, wholeBody(path))
				e := newEndpoint(t, broken)
				got := newFixture(t, e).call(t, path, "k1", "prompt")
				require.NoError(t, got.err)
				require.Equal(t, string(forwarder.Unknown), got.refusal, "%d %q", got.status, got.body)
				require.Empty(t, got.body)
				require.Len(t, e.requests(), 1, "sent again to the same endpoint")
				once := answersOnce(broken, answerText(answerer.Sound()["length"], wholeBody(path)))
				first, second := newEndpoint(t, once), newEndpoint(t, once)
				got = newFixture(t, first, second).call(t, path, "k1", "prompt")
				require.NoError(t, got.err)
				if path == "/once/1" || path == "/stream/1" {
					require.Equal(t, string(forwarder.Unknown), got.refusal, "%d %q", got.status, got.body)
					require.Len(t, append(first.requests(), second.requests()...), 1)
					return
				}
				require.Equal(t, wholeBody(path), got.body)
			})
		}
	}
}

// Answers with a blank in the name of a field were delivered, without the line or with a body of another length.
func TestAnswerWithMalformedNameIsNotDelivered(t *testing.T) { testBroken(t, answerer.Misnamed()) }

// Statuses above those of the protocol were delivered.
func TestAnswerWithImpossibleStatusIsNotDelivered(t *testing.T) { testBroken(t, answerer.Misstated()) }

func TestAnswerOfUnknownVersionIsNotDelivered(t *testing.T) { testBroken(t, answerer.Misversioned()) }

// The lines of the chunks were delivered as parts of the body.
func TestChunksInOldVersionAreNotDelivered(t *testing.T) { testBroken(t, answerer.Misframed()) }

// The same on a connection that has served a call before.
func TestBrokenAnswerOnAKeptConnectionIsNotDelivered(t *testing.T) {
	for name, answer := range answerer.Malformed() {
		for _, path := range brokenPaths {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				kept := func(c net.Conn, r *http.Request, _ string) bool {
					_, err := c.Write([]byte(answerer.Sound()["length"].Text(soundFields(r), wholeBody(path))))
					return err == nil
				}
				f := newFixture(t, newEndpoint(t, kept, answerText(answer, wholeBody(path))))
				require.Equal(t, wholeBody(path), f.callAs(t, "c1", path, "k1", "prompt").body)
				got := f.callAs(t, "c2", path, "k1", "prompt")
				require.NoError(t, got.err)
				require.Equal(t, string(forwarder.Unknown), got.refusal, "%d %q", got.status, got.body)
				require.EqualValues(t, 1, f.pool.Opened())
			})
		}
	}
}

func TestSoundAnswerIsDelivered(t *testing.T) {
	for name, answer := range answerer.Sound() {
		for _, path := range brokenPaths {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				got := newFixture(t, newEndpoint(t, answerText(answer, wholeBody(path)))).call(t, path, "k1", "prompt")
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, wholeBody(path), got.body)
			})
		}
	}
}

// What is malformed beside a sound answer, in an interim answer or in a trailer, is not passed on.
func TestMalformedPartsBesideAnAnswerAreNotPassedOn(t *testing.T) {
	for _, name := range []string{"blank in a trailer's name", "blank in an interim name", "trailer"} {
		for _, path := range brokenPaths {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, newEndpoint(t, answerText(answerer.Sound()[name], wholeBody(path))))
				c, err := net.Dial("tcp", f.server.Listener.Addr().String())
				require.NoError(t, err)
				defer c.Close()
				_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\nKey: k1\r\n"+headerID+": c1\r\nConnection: close\r\n\r\n")
				require.NoError(t, err)
				text, err := io.ReadAll(c)
				require.NoError(t, err)
				require.Contains(t, string(text), "200 OK")
				require.NotContains(t, string(text), "103")
				require.NotContains(t, string(text), "X-")
			})
		}
	}
}

// A broken answer counts against its endpoint as a failed call. If its head was read, it is no sign that the endpoint has
// ended.
func TestBrokenAnswerCountsAsFailure(t *testing.T) {
	for name, answer := range answerer.Malformed() {
		for _, path := range brokenPaths {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, newEndpoint(t, answerText(answer, wholeBody(path))))
				f.call(t, path, "k1", "prompt")
				var ended []forwarder.AttemptResult
				require.Eventually(t, func() bool {
					f.locked(func() { ended = slices.Clone(f.attempts) })
					return len(ended) == 1
				}, time.Minute, time.Millisecond)
				require.True(t, ended[0].IsFailed)
				require.False(t, ended[0].IsAnswered)
				require.False(t, ended[0].IsExcluded)
				if response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer.Text(nil, "body"))), nil); err == nil {
					response.Body.Close()
					require.False(t, ended[0].IsBroken)
				}
			})
		}
	}
}
