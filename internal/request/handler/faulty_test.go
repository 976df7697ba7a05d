package handler_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/lister"
)

// scriptedEngines are engines that share a script: the nth call gets the nth answer, all
// further ones the rest of the tokens.
type scriptedEngines struct {
	mu      sync.Mutex
	calls   int
	answers []func(w http.ResponseWriter)
}

const scriptedTokens = 6

func (s *scriptedEngines) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var g dialer.Generation
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	n := s.calls
	s.calls++
	s.mu.Unlock()
	if n < len(s.answers) {
		s.answers[n](w)
		return
	}
	writeTokens(w, len(g.After)+1, scriptedTokens)
	fmt.Fprintf(w, "event: done\ndata: {\"count\":%d}\n\n", scriptedTokens)
}

func writeTokens(w io.Writer, from, to int) {
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: {\"token\":\"t%d\"}\n\n", i, i)
	}
}

func breakOff(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// Guards against an engine's error in a stream that has begun, tokens that are missing or come
// twice, and a stream that looks complete though it is not.
func TestFaultyEngineSpoilsNoStream(t *testing.T) {
	const errorHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: application/json\r\n\r\n{\"error\":\"oops\"}\n\n"
	cases := map[string]string{
		"no events":                 "",
		"error in JSON":             `{"error":"oops"}` + "\n\n",
		"head of an error":          errorHead,
		"error event":               "event: error\ndata: {\"detail\":\"oops\"}\n\n",
		"error as data":             "data: {\"error\":\"oops\"}\n\n",
		"error as the next token":   "id: 4\ndata: {\"error\":\"oops\"}\n\nid: 5\ndata: {\"token\":\"t5\"}\n\n",
		"null as the next token":    "id: 4\ndata: null\n\n",
		"token of another type":     "id: 4\ndata: {\"token\":7}\n\n",
		"token without ID":          "data: {\"token\":\"t4\"}\n\n",
		"left out":                  "id: 6\ndata: {\"token\":\"t6\"}\n\n",
		"done with too few":         "event: done\ndata: {\"count\":2}\n\n",
		"done with another count":   "event: done\ndata: {\"count\":7}\n\n",
		"done without a count":      "event: done\ndata: {}\n\n",
		"count of another type":     "event: done\ndata: {\"count\":\"3\"}\n\n",
		"number too large":          "id: 99999999999999999999\ndata: {\"token\":\"t4\"}\n\n",
		"deeply nested":             "id: 4\ndata: " + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + "\n\n",
		"moved, though not ordered": "event: moved\ndata: {}\n\n",
	}
	for name, text := range cases {
		// The faulty answer is the one that is to resume the stream, or the first one.
		for _, sent := range []int{3, 0} {
			t.Run(fmt.Sprint(name, " after ", sent), func(t *testing.T) {
				t.Parallel()
				script := &scriptedEngines{answers: []func(w http.ResponseWriter){func(w http.ResponseWriter) { fmt.Fprint(w, text) }}}
				if sent > 0 {
					broken := func(w http.ResponseWriter) { writeTokens(w, 1, sent); breakOff(w) }
					script.answers = append([]func(w http.ResponseWriter){broken}, script.answers...)
				}
				body := scriptedAnswer(t, script)
				var want bytes.Buffer
				writeTokens(&want, 1, scriptedTokens)
				fmt.Fprintf(&want, "event: done\ndata: {\"count\":%d}\n\n", scriptedTokens)
				require.Equal(t, want.String(), body)
			})
		}
	}
}

// Guards against an event without end that is kept in memory.
func TestEventWithoutEndIsCut(t *testing.T) {
	script := &scriptedEngines{answers: []func(w http.ResponseWriter){func(w http.ResponseWriter) {
		line := "data: " + strings.Repeat(" ", 32<<10) + "\n"
		fmt.Fprint(w, "id: 1\n")
		for range 1 << 10 {
			if _, err := io.WriteString(w, line); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		fmt.Fprint(w, "data: {\"token\":\"odd\"}\n\n")
	}}}
	require.NotContains(t, scriptedAnswer(t, script), "odd")
}

// scriptedAnswer returns the body of the answer to a call that the scripted engines serve.
func scriptedAnswer(t *testing.T, script *scriptedEngines) string {
	t.Helper()
	var endpoints []lister.Endpoint
	for i, domain := range domains {
		s := httptest.NewServer(script)
		t.Cleanup(s.Close)
		endpoints = append(endpoints, lister.NewEndpoint(lister.Spec{
			ID: fmt.Sprint("e", i), Service: "pumice", Domain: domain, Address: netip.MustParseAddrPort(s.Listener.Addr().String()),
		}))
	}
	c := &caller{entry: newEntry(t, endpoints, nil), customer: "masons", prompt: "one two", max: 50}
	response := c.post(false)
	defer response.Body.Close()
	timer := time.AfterFunc(time.Minute, c.cancel)
	defer timer.Stop()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}
