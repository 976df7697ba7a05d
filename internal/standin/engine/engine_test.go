package engine_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/engine"
	"hyssoprudder/internal/standin/faulter"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	if err := goleak.Find(); code == 0 && err != nil {
		fmt.Println(err)
		code = 1
	}
	os.Exit(code)
}

func start(t *testing.T, change func(*engine.Spec)) *engine.Engine {
	t.Helper()
	spec := engine.Defaults()
	spec.ID, spec.Scale, spec.EventLossRate, spec.EventLag = "e1", 0.01, 0, 0
	if change != nil {
		change(&spec)
	}
	e, err := engine.Start("127.0.0.1:0", spec, clock.System{})
	require.NoError(t, err)
	t.Cleanup(e.Kill)
	return e
}

func call(t *testing.T, e *engine.Engine, path string, body any) (int, string) {
	t.Helper()
	raw, err := json.Marshal(body)
	require.NoError(t, err)
	answer, err := http.Post("http://"+e.Address().String()+path, "application/json", bytes.NewReader(raw))
	require.NoError(t, err)
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text)
}

// get polls until the response contains want, and returns the response.
func get(t *testing.T, e *engine.Engine, path, want string) string {
	t.Helper()
	var text []byte
	require.Eventually(t, func() bool {
		answer, err := http.Get("http://" + e.Address().String() + path)
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		text, _ = io.ReadAll(answer.Body)
		return strings.Contains(string(text), want)
	}, 30*time.Second, time.Millisecond, path+" "+want)
	return string(text)
}

func words(n int) string { return strings.TrimSpace(strings.Repeat("sack ", n)) }

func TestGenerateContinuesAndCounts(t *testing.T) {
	answer := engine.NewAnswer(words(40))
	tests := map[string]struct {
		after int
		want  string
	}{
		"no earlier tokens":       {after: 0, want: `{"count":4,"cached":0,"computed":40}`},
		"two earlier tokens":      {after: 2, want: `{"count":4,"cached":0,"computed":42}`},
		"all tokens generated":    {after: 4, want: `{"count":4,"cached":0,"computed":0}`},
		"more than max generated": {after: 6, want: `{"count":4,"cached":0,"computed":0}`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := start(t, nil)
			status, text := call(t, e, "/generate", engine.Request{Prompt: words(40), Max: 4, After: make([]string, test.after)})
			require.Equal(t, http.StatusOK, status)
			var want strings.Builder
			for i := test.after; i < 4; i++ {
				fmt.Fprintf(&want, "id: %d\ndata: {\"token\":%q}\n\n", i+1, answer.Token(i))
			}
			require.Equal(t, want.String()+"event: done\ndata: "+test.want+"\n\n", text)
		})
	}
}

func TestCacheIsUsedAndReported(t *testing.T) {
	e := start(t, nil)
	call(t, e, "/generate", engine.Request{Prompt: words(40), Max: 1})
	_, text := call(t, e, "/generate", engine.Request{Prompt: words(40), Max: 1})
	require.Contains(t, text, `"cached":32,"computed":8`)
	events := get(t, e, "/events?after=0", "add")
	require.Equal(t, 2, strings.Count(events, `"op":"add"`))
	require.NotContains(t, get(t, e, "/events?after=2", "events"), "add")
}

func TestMovedCacheIsNotComputedAgain(t *testing.T) {
	from, to := start(t, nil), start(t, func(s *engine.Spec) { s.ID = "e2" })
	raw, _ := json.Marshal(engine.Request{Request: "r1", Prompt: words(64), Max: 5000})
	stream, err := http.Post("http://"+from.Address().String()+"/generate", "application/json", bytes.NewReader(raw))
	require.NoError(t, err)
	defer stream.Body.Close()
	lines := bufio.NewReader(stream.Body)
	_, err = lines.ReadString('\n')
	require.NoError(t, err)

	_, text := call(t, from, "/kv/export", engine.Request{Request: "r1"})
	var exported struct {
		Handle string
		Tokens int
	}
	require.NoError(t, json.Unmarshal([]byte(text), &exported))
	rest, _ := io.ReadAll(lines)
	require.Contains(t, string(rest), "event: moved")
	_, text = call(t, to, "/kv/import", map[string]string{"from": from.Address().String(), "handle": exported.Handle})
	require.NoError(t, json.Unmarshal([]byte(text), &exported))
	after := make([]string, exported.Tokens-64)
	_, text = call(t, to, "/generate", engine.Request{Prompt: words(64), Max: len(after) + 2, After: after, KV: exported.Handle})
	require.Contains(t, text, `"computed":0`)
}

func TestCancelEndsTheStream(t *testing.T) {
	e := start(t, nil)
	raw, _ := json.Marshal(engine.Request{Request: "r1", Prompt: words(4), Max: 9000})
	stream, err := http.Post("http://"+e.Address().String()+"/generate", "application/json", bytes.NewReader(raw))
	require.NoError(t, err)
	defer stream.Body.Close()
	request, _ := http.NewRequest(http.MethodDelete, "http://"+e.Address().String()+"/generate/r1", http.NoBody)
	answer, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	answer.Body.Close()
	require.Equal(t, http.StatusNoContent, answer.StatusCode)
	text, _ := io.ReadAll(stream.Body)
	require.NotContains(t, string(text), "done")
	get(t, e, "/load", `"running":0`)
}

func TestOrders(t *testing.T) {
	older := engine.Order{Version: "11", Fence: engine.Fence{Term: 1, Count: 9}}
	newer := engine.Order{Version: "13", Fence: engine.Fence{Term: 2, Count: 1}}
	tests := map[string]struct {
		fence  bool
		fault  faulter.Fault
		orders []engine.Order
		status int // of the last order
		want   string
	}{
		"loads the version":                     {fence: true, orders: []engine.Order{newer}, status: 202, want: `"state":"ready","serving":"13"`},
		"refuses an old number":                 {fence: true, orders: []engine.Order{newer, older}, status: 409, want: `"state":"ready","serving":"13"`},
		"accepts an old number without fencing": {orders: []engine.Order{newer, older}, status: 202, want: `"state":"ready","serving":"11"`},
		"keeps serving if the load fails":       {fault: faulter.Fault{Version: "13", FailLoad: true}, orders: []engine.Order{newer}, status: 202, want: `"state":"failed","serving":"12"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := start(t, func(s *engine.Spec) { s.Fence = test.fence })
			e.Faults().Put(test.fault)
			status := 0
			for _, order := range test.orders {
				status, _ = call(t, e, "/orders", order)
			}
			require.Equal(t, test.status, status)
			get(t, e, "/orders", test.want)
			get(t, e, "/healthz", "ok")
		})
	}
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		fault  faulter.Fault
		prompt string
		status int
		whole  bool
	}{
		"fails":                       {fault: faulter.Fault{FailRate: 1}, prompt: "a b", status: 500},
		"refuses":                     {fault: faulter.Fault{RefuseRate: 1}, prompt: "a b", status: 503},
		"loses the connection":        {fault: faulter.Fault{LoseAnswerRate: 1}, prompt: "a b", status: 200},
		"dies during the stream":      {fault: faulter.Fault{DieAfterTokens: 3}, prompt: "a b", status: 200},
		"other route is unaffected":   {fault: faulter.Fault{Route: "c", FailRate: 1}, prompt: "a b", status: 200, whole: true},
		"other version is unaffected": {fault: faulter.Fault{Version: "13", FailRate: 1}, prompt: "a b", status: 200, whole: true},
		"first calls are unaffected":  {fault: faulter.Fault{SkipCalls: 2, FailRate: 1}, prompt: "a b", status: 200, whole: true},
		"unaffected without load":     {fault: faulter.Fault{MinRunning: 1, FailRate: 1}, prompt: "a b", status: 200, whole: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := start(t, nil)
			e.Faults().Put(test.fault)
			status, text := call(t, e, "/generate", engine.Request{Prompt: test.prompt, Max: 6})
			require.Equal(t, test.status, status)
			require.Equal(t, test.whole, strings.Contains(text, "event: done"))
		})
	}
}
