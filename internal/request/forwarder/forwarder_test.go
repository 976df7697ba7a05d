package forwarder_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
)

func TestAnswers(t *testing.T) {
	ok := answerWith(200, "ok")
	cases := map[string]struct {
		path     string
		first    answerFunc
		status   int
		refusal  forwarder.Refusal
		body     string
		requests int // received by both endpoints
	}{
		"complete answer":                  {"/safe/1", ok, 200, "", "ok", 1},
		"failure of a call that runs once": {"/once/1", answerWith(500, "bad"), 500, "", "bad", 1},
		"failure of a repeatable call":     {"/safe/1", answerWith(500, "bad"), 200, "", "ok", 2},
		"not run, once":                    {"/once/1", answerNotRun, 200, "", "ok", 2},
		"not run, safe":                    {"/safe/1", answerNotRun, 200, "", "ok", 2},
		"lost, once":                       {"/once/1", closeUnanswered, 0, forwarder.Unknown, "", 1},
		"lost, safe":                       {"/safe/1", closeUnanswered, 200, "", "ok", 2},
		"truncated, once":                  {"/once/1", answerTruncated, 0, forwarder.Unknown, "", 1},
		"truncated, safe":                  {"/safe/1", answerTruncated, 200, "", "ok", 2},
		"another call's answer, once":      {"/once/1", answerOtherCall, 0, forwarder.Unknown, "", 1},
		"another call's answer, safe":      {"/safe/1", answerOtherCall, 200, "", "ok", 2},
		"no seal, once":                    {"/once/1", answerUnsealed, 0, forwarder.Unknown, "", 1},
		"neither length nor chunks":        {"/once/1", answerUnframed("whole"), 200, "", "whole", 1},
		"reset without length, safe":       {"/safe/1", resetUnframed("ha"), 200, "", "ok", 2},
		"reset without length, once":       {"/once/1", resetUnframed("ha"), 0, forwarder.Unknown, "", 1},
		"head without end, safe":           {"/safe/1", answerWithoutEnd("HTTP/1.1 200 X\n{id}", "X-More: more\r\n", 0), 200, "", "ok", 2},
		"head without end, once":           {"/once/1", answerWithoutEnd("HTTP/1.1 200 X\n{id}", "X-More: more\r\n", 0), 0, forwarder.Unknown, "", 1},
		"no head, bytes without end":       {"/safe/1", answerWithoutEnd("", "no answer", 0), 200, "", "ok", 2},
		"body without end, not sealed":     {"/safe/1", answerWithoutEnd("HTTP/1.1 200 X\nCall: c1\n\n", "more", 0), 200, "", "ok", 2},
		"slow body without end, safe":      {"/safe/1", answerWithoutEnd("HTTP/1.1 200 X\n{id}\n", "m", time.Millisecond), 200, "", "ok", 2},
		"slow failure without end, safe":   {"/safe/1", answerWithoutEnd("HTTP/1.1 500 X\n{id}\n", "m", time.Millisecond), 200, "", "ok", 2},
		"slow rejection without end":       {"/once/1", answerWithoutEnd("HTTP/1.1 503 X\n{id}Not-Run: 1\n\n", "m", time.Millisecond), 200, "", "ok", 2},
		"silence, safe":                    {"/safe/1", neverAnswer, 200, "", "ok", 2},
		"silence, once":                    {"/once/1", neverAnswer, 0, forwarder.TimedOut, "", 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// The endpoint that gets the first request sends the first answer.
			var once sync.Once
			either := func(c net.Conn, r *http.Request, body string) bool {
				chosen := ok
				once.Do(func() { chosen = tc.first })
				return chosen(c, r, body)
			}
			a, b := newEndpoint(t, either), newEndpoint(t, either)
			got := newFixture(t, a, b).call(t, tc.path, "k1", "body")
			require.NoError(t, got.err)
			if tc.refusal != "" {
				require.Equal(t, string(tc.refusal), got.refusal)
			} else {
				require.Equal(t, tc.status, got.status)
				require.Equal(t, tc.body, got.body)
			}
			seen := append(a.requests(), b.requests()...)
			require.Len(t, seen, tc.requests)
			for _, request := range seen {
				require.Equal(t, "POST "+tc.path+" after= owner=masons body", request)
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		path, key string
		prepare   func(f *fixture)
		refusal   forwarder.Refusal
	}{
		"unknown key":                {"/safe/1", "k9", nil, forwarder.Unauthorized},
		"no key":                     {"/safe/1", "", nil, forwarder.Unauthorized},
		"no route":                   {"/none/1", "k1", nil, forwarder.NoRoute},
		"rules not confirmed":        {"/safe/1", "k1", func(f *fixture) { f.confirmed = false }, forwarder.Unready},
		"unknown key, not confirmed": {"/safe/1", "k9", func(f *fixture) { f.confirmed = false }, forwarder.Unready},
		"no route, not confirmed":    {"/none/1", "k1", func(f *fixture) { f.confirmed = false }, forwarder.Unready},
		"no rules":                   {"/safe/1", "k1", func(f *fixture) { f.forwarder.SetTable(nil) }, forwarder.Unready},
		"over the limit":             {"/safe/1", "k1", func(f *fixture) { f.quotas.Take("masons", allowance, time.Now()) }, forwarder.OverQuota},
		"no answer on the allowance": {"/safe/1", "k1", func(f *fixture) {
			f.quotas.Take("masons", allowance, time.Now())
			f.ask = func() bool { return false }
		}, forwarder.AllowanceUnknown},
		"open route, not confirmed":      {"/open/1", "", func(f *fixture) { f.confirmed = false }, forwarder.Unready},
		"request crashes endpoints":      {"/safe/1", "k1", func(f *fixture) { f.isIsolated.Store(true) }, forwarder.Isolated},
		"open route with an unknown key": {"/open/1", "k9", nil, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, answerWith(200, "ok"))
			f := newFixture(t, e)
			if tc.prepare != nil {
				tc.prepare(f)
			}
			got := f.call(t, tc.path, tc.key, "")
			require.NoError(t, got.err)
			require.Equal(t, string(tc.refusal), got.refusal)
			if tc.refusal != "" {
				require.Empty(t, e.requests(), "a refused call reaches no endpoint")
			}
		})
	}
}

func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func TestStreams(t *testing.T) {
	cases := map[string]struct {
		path      string
		first     answerFunc
		body      string
		refusal   forwarder.Refusal
		isAborted bool
		afterIDs  []string // event IDs after which endpoints were asked to resume
	}{
		"complete":                       {"/stream/1", answerEvents(5, 5), eventText(1, 5), "", false, []string{""}},
		"broken off, resumed elsewhere":  {"/resumable/1", answerEvents(3, 5), eventText(1, 5), "", false, []string{"", "3"}},
		"broken off, not resumable":      {"/stream/1", answerEvents(3, 5), eventText(1, 3), "", true, []string{""}},
		"broken within the first event":  {"/resumable/1", answerEvents(0, 5), eventText(1, 5), "", false, []string{"", ""}},
		"lost before the first event":    {"/stream/1", closeUnanswered, "", forwarder.Unknown, false, []string{""}},
		"lost before, resumed elsewhere": {"/resumable/1", closeUnanswered, eventText(1, 5), "", false, []string{"", ""}},
		"neither length nor chunks":      {"/stream/1", answerUnframed(eventText(1, 5)), eventText(1, 5), "", false, []string{""}},
		"no length, ends in an event":    {"/stream/1", answerUnframed(eventText(1, 3) + "id: 4\nda"), eventText(1, 3), "", true, []string{""}},
		"no length, resumed elsewhere":   {"/resumable/1", answerUnframed(eventText(1, 3) + "id: 4\nda"), eventText(1, 5), "", false, []string{"", "3"}},
		"no length, reset":               {"/resumable/1", resetUnframed(eventText(1, 3)), eventText(1, 5), "", false, []string{"", "3"}},
		"event without end":              {"/resumable/1", answerWithoutEnd("HTTP/1.1 200 X\n{id}\nid: 1\ndata: ", strings.Repeat("more", 1024), 0), eventText(1, 5), "", false, []string{"", ""}},
		"event without end, not resumed": {"/stream/1", answerWithoutEnd("HTTP/1.1 200 X\n{id}\nid: 1\ndata: ", strings.Repeat("more", 1024), 0), "", forwarder.Unknown, false, []string{""}},
		"slow event without end":         {"/resumable/1", answerWithoutEnd("HTTP/1.1 200 X\n{id}\nid: 1\ndata: 1\n\nid: 2\ndata: ", "m", time.Millisecond), "id: 1\r\ndata: 1\r\n\r\n" + eventText(2, 5), "", false, []string{"", "1"}},
		"slow first event without end":   {"/resumable/1", answerWithoutEnd("HTTP/1.1 200 X\n{id}\nid: 1\ndata: ", "m", time.Millisecond), eventText(1, 5), "", false, []string{"", ""}},
		"failure, resumed elsewhere":     {"/resumable/1", answerWith(500, "bad"), eventText(1, 5), "", false, []string{"", ""}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			either := func(c net.Conn, r *http.Request, body string) bool {
				chosen := answerEvents(5, 5)
				once.Do(func() { chosen = tc.first })
				return chosen(c, r, body)
			}
			a, b := newEndpoint(t, either), newEndpoint(t, either)
			f := newFixture(t, a, b)
			got := f.call(t, tc.path, "k1", "prompt")
			if tc.isAborted {
				require.Error(t, got.err, "a stream that broke off must not look complete")
			} else {
				require.NoError(t, got.err)
			}
			require.Equal(t, string(tc.refusal), got.refusal)
			require.Equal(t, tc.body, got.body)
			var after []string
			for _, request := range append(a.requests(), b.requests()...) {
				after = append(after, strings.TrimSuffix(strings.SplitN(request, "after=", 2)[1], " owner=masons prompt"))
			}
			require.ElementsMatch(t, tc.afterIDs, after)
			f.locked(func() {
				want := 1
				if tc.refusal != "" {
					want = 0
				}
				require.Equal(t, want, f.usage, "the call counts once for the usage")
			})
		})
	}
}

// If the endpoint that should resume a stream answers with a failure, the stream must
// break off: neither the failure nor an end of the stream may follow its events.
func TestResumedStreamMeetsFailure(t *testing.T) {
	for name, second := range map[string]answerFunc{"failure": answerWith(500, "bad"), "refusal": answerWith(404, "none"), "no run": answerNotRun} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			either := func(c net.Conn, r *http.Request, body string) bool {
				chosen := second
				once.Do(func() { chosen = answerEvents(3, 5) })
				return chosen(c, r, body)
			}
			got := newFixture(t, newEndpoint(t, either), newEndpoint(t, either)).call(t, "/resumable/1", "k1", "prompt")
			require.Error(t, got.err, "a stream that broke off must not look complete")
			require.Equal(t, eventText(1, 3), got.body)
		})
	}
}

// When a caller disconnects, the request at the endpoint must be canceled.
func TestCallerDisconnects(t *testing.T) {
	stopped := make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *http.Request, body string) bool {
		defer close(stopped)
		return neverAnswer(c, r, body)
	})
	f := newFixture(t, e)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.server.URL+"/once/1", nil)
	require.NoError(t, err)
	r.Header.Set(headerID, "c1")
	r.Header.Set("Key", "k1")
	done := make(chan error, 1)
	caller := &disconnectingCaller{request: r, done: done}
	go caller.run()
	require.Eventually(t, func() bool { return len(e.requests()) == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.Error(t, <-done)
	<-stopped
}

type disconnectingCaller struct {
	request *http.Request
	done    chan error
}

func (l *disconnectingCaller) run() {
	response, err := callers.Do(l.request)
	if err == nil {
		response.Body.Close()
	}
	l.done <- err
}

// The repeats of all nodes together must stay within the bound in every window,
// however the calls are distributed.
func TestBudgetHoldsOverAllNodes(t *testing.T) {
	const nodes, ratio, extra, window = 6, 0.2, 52.0, 10 * time.Second
	for name, share := range map[string]func(i int) int{"even": func(i int) int { return i % nodes }, "one node": func(int) int { return 0 }} {
		t.Run(name, func(t *testing.T) {
			budgets := make([]*forwarder.Budget, nodes)
			for i := range budgets {
				budgets[i] = forwarder.NewBudget(ratio, extra, window)
				budgets[i].SetNodes(nodes)
			}
			start := time.Unix(1000, 0)
			var repeats []time.Time
			const rate = 40 // calls per second
			for i := range rate * 40 {
				at := start.Add(time.Duration(i) * time.Second / rate)
				b := budgets[share(i)]
				b.RecordCall("desk", at)
				for b.AllowRepeat("desk", at) {
					repeats = append(repeats, at)
				}
			}
			for i, from := range repeats {
				n := 0
				for _, at := range repeats[i:] {
					if at.Sub(from) < window {
						n++
					}
				}
				require.LessOrEqual(t, float64(n), ratio*rate*window.Seconds()+extra)
			}
			require.NotEmpty(t, repeats)
		})
	}
}
