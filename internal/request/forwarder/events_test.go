package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
)

// answerChunked returns a function that sends a complete answer in chunks.
func answerChunked(header string, chunks ...string) answerFunc {
	return func(c net.Conn, r *http.Request, _ string) bool {
		writeRaw(c, "HTTP/1.1 200 X\n%sTransfer-Encoding: chunked\n\n", headerOf(r.Header.Get(headerID), header))
		for _, text := range chunks {
			writeChunk(c, text)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
}

// streamFrom calls a streaming route whose first endpoint sends first and whose next ones send next.
func streamFrom(t *testing.T, path string, first, next answerFunc) reply {
	t.Helper()
	var once sync.Once
	either := func(c net.Conn, r *http.Request, body string) bool {
		chosen := next
		once.Do(func() { chosen = first })
		return chosen(c, r, body)
	}
	return newFixture(t, newEndpoint(t, either), newEndpoint(t, either)).call(t, path, "k1", "prompt")
}

const errorHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\nContent-Length: 17\r\n\r\n{\"error\":\"oops\"}\n"

// Guards against the text of another endpoint's error in a stream that has begun, pieces that
// come twice or are missing, and a stream that looks complete though it broke off.
func TestResumedStreamTakesOnlyWhatContinuesIt(t *testing.T) {
	cases := map[string]struct {
		next answerFunc
		more int // last event that the caller gets
	}{
		"no events":                     {answerChunked(""), 3},
		"no events, with a length":      {answerWith(200, ""), 3},
		"no events, unframed":           {answerUnframed(""), 3},
		"error in JSON":                 {answerWith(200, `{"error":"oops"}`), 3},
		"error in JSON, ends a block":   {answerChunked("", "{\"error\":\"oops\"}\n\n"), 3},
		"error in HTML":                 {answerChunked("", "<html>\n\n<h1>500</h1>\n\n</html>\n\n"), 3},
		"another content type":          {answerChunked("Content-Type: application/json\n", "id: 4\ndata: piece 4\n\n"), 3},
		"encoded body":                  {answerChunked("Content-Encoding: gzip\n", "id: 4\ndata: piece 4\n\n"), 3},
		"head of an error, unframed":    {answerUnframed(errorHead), 3},
		"head of an error, in a chunk":  {answerChunked("", errorHead), 3},
		"head of an error, then events": {answerChunked("", errorHead, eventText(4, 5)), 3},
		"event with an error":           {answerChunked("", "event: error\ndata: oops\n\n"), 3},
		"event with an error, with ID":  {answerChunked("", "id: x\nevent: error\ndata: oops\n\n"), 3},
		"bare word":                     {answerChunked("", "error\n\n"), 3},
		"from the start":                {answerChunked("", eventText(1, 5)), 3},
		"last event again":              {answerChunked("", eventText(3, 5)), 3},
		"event left out":                {answerChunked("", eventText(5, 5)), 3},
		"ID that is no number":          {answerChunked("", "id: four\ndata: piece 4\n\n"), 3},
		"ID too large":                  {answerChunked("", "id: 99999999999999999999999\ndata: piece 4\n\n"), 3},
		"two IDs in an event":           {answerChunked("", "id: 4\nid: 9\ndata: piece 4\n\n"), 3},
		"head of an error after one":    {answerChunked("", eventText(4, 4)+errorHead), 4},
		"goes back after one":           {answerChunked("", eventText(4, 4)+eventText(1, 5)), 4},
		"error after one, unframed":     {answerUnframed(eventText(4, 4) + errorHead), 4},
		"error without end after one":   {answerUnframed(eventText(4, 4) + "oops"), 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := streamFrom(t, "/resumable/1", answerEvents(3, 5), tc.next)
			require.Error(t, got.err, "a stream that broke off must not look complete")
			require.Equal(t, eventText(1, tc.more), got.body)
		})
	}
}

// What an endpoint sends as events continues a stream unchanged.
func TestResumedStreamKeepsEventsUnchanged(t *testing.T) {
	for name, events := range map[string]string{
		"events":                  eventText(4, 5),
		"comment between":         ": still here\n\n" + eventText(4, 4) + ": still here\n\n" + eventText(5, 5),
		"comment in an event":     ":\nid: 4\n: more\ndata: piece 4\n\n",
		"line with the version":   "x-weight-versions: 8\nid: 4\ndata: piece 4\n\n" + eventText(5, 5),
		"line ends of two bytes":  strings.ReplaceAll(eventText(4, 5), "\n", "\r\n"),
		"several lines, no blank": "id:4\ndata:a\ndata: b\ndata\nretry: 10\nevent: token\n\nid:5\ndata:\n\n",
		"closing event, no ID":    eventText(4, 5) + "event: done\ndata: {\"count\":5}\n\n",
		"blank lines":             "\n\n" + eventText(4, 4) + "\n" + eventText(5, 5),
		"several tokens at once":  "id: 5\ndata: pieces 4 and 5\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := "id: 1\ndata: piece 1\n\nid: 3\ndata: pieces 2 and 3\n\n"
			got := streamFrom(t, "/resumable/1", answerUnframed(first+"id: 4\nda"), answerChunked("", events))
			require.NoError(t, got.err)
			require.Equal(t, first+events, got.body)
		})
	}
}

// Guards against the head and text of an error that an endpoint writes into its own stream.
func TestErrorWithinAStreamIsABreak(t *testing.T) {
	for name, text := range map[string]string{"head": errorHead, "HTML": "<html>\n\n</html>\n\n", "JSON": "{\"error\":\"oops\"}\n\n"} {
		for framing, first := range map[string]answerFunc{"chunked": answerChunked("", eventText(1, 3), text), "unframed": answerUnframed(eventText(1, 3) + text)} {
			t.Run(fmt.Sprint(name, " ", framing), func(t *testing.T) {
				t.Parallel()
				got := streamFrom(t, "/stream/1", first, answerChunked(""))
				require.Error(t, got.err, "a stream that broke off must not look complete")
				require.Equal(t, eventText(1, 3), got.body)
				got = streamFrom(t, "/resumable/1", first, answerEvents(5, 5))
				require.NoError(t, got.err)
				require.Equal(t, eventText(1, 5), got.body)
			})
		}
	}
}

// An answer of a streaming route that holds no events at all passes as it is.
func TestAnswerWithoutEventsPassesUnchanged(t *testing.T) {
	got := streamFrom(t, "/stream/1", answerChunked("", "plain\n\ntext\n\n"), answerChunked(""))
	require.NoError(t, got.err)
	require.Equal(t, "plain\n\ntext\n\n", got.body)
	require.NotEqual(t, string(forwarder.Unknown), got.refusal)
}

// Guards against events behind the text of an answer that held none and broke off.
func TestAnswerWithoutEventsIsNotResumed(t *testing.T) {
	got := streamFrom(t, "/resumable/1", resetUnframed("plain\n\n"), answerEvents(5, 5))
	require.Error(t, got.err, "an answer that broke off must not look complete")
	require.Equal(t, "plain\n\n", got.body)
}

// Guards against events that come twice where a stream without IDs is begun anew, and against
// a stream that isn't resumed though its IDs are no numbers or it holds no event yet.
func TestResumedStreamWithoutNumbers(t *testing.T) {
	cases := map[string]struct {
		first, next, body string
		isBroken          bool
	}{
		"events without ID":    {"data: a\n\nda", "data: a\n\ndata: b\n\n", "data: a\n\n", true},
		"no ID, then with":     {"data: a\n\nda", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "data: a\n\n", true},
		"first events without": {"data: a\n\nid: 1\ndata: 1\n\nda", "id: 2\ndata: 2\n\n", "data: a\n\nid: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", false},
		"comment only":         {": begun\n\nid: 1\nda", eventText(1, 5), ": begun\n\n" + eventText(1, 5), false},
		"IDs are no numbers":   {"id: a1\ndata: 1\n\nda", "id: a2\ndata: 2\n\nid: a3\ndata: 3\n\n", "id: a1\ndata: 1\n\nid: a2\ndata: 2\n\nid: a3\ndata: 3\n\n", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got := streamFrom(t, "/resumable/1", answerUnframed(tc.first), answerChunked("", tc.next))
			require.Equal(t, tc.isBroken, got.err != nil)
			require.Equal(t, tc.body, got.body)
		})
	}
}

// An event whose empty line ended otherwise than the line before was held back until the next one, and lost when the
// stream broke off: each line may end with a newline or with a return and a newline.
func TestLinesOfEventsMayEndInBothWays(t *testing.T) {
	ends := []string{"\n", "\r\n"}
	for _, field := range ends {
		for _, empty := range ends {
			for _, size := range []int{1, 1 << 10} {
				t.Run(fmt.Sprintf("%q then %q in pieces of %d", field, empty, size), func(t *testing.T) {
					event := func(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d%s%s", i, i, field, empty) }
					first := func(c net.Conn, r *http.Request, _ string) bool {
						writeRaw(c, "HTTP/1.1 200 X\n%sTransfer-Encoding: chunked\n\n", headerOf(r.Header.Get(headerID), ""))
						for text := event(1) + event(2); text != ""; {
							n := min(size, len(text))
							writeChunk(c, text[:n])
							text = text[n:]
						}
						return false
					}
					var after string
					next := func(c net.Conn, r *http.Request, body string) bool {
						after = r.Header.Get(headerAfter)
						return answerChunked("", event(3))(c, r, body)
					}
					got := streamFrom(t, "/resumable/1", first, next)
					require.Equal(t, event(1)+event(2)+event(3), got.body)
					require.Equal(t, "2", after)
				})
			}
		}
	}
}
