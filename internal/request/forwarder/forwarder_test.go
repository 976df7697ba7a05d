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
	ok := answer(200, "ok")
	cases := map[string]struct {
		path     string
		first    answerer
		status   int
		refusal  forwarder.Refusal
		body     string
		requests int // over both endpoints
	}{
		"whole answer":                     {"/safe/1", ok, 200, "", "ok", 1},
		"failure of a call that runs once": {"/once/1", answer(500, "bad"), 500, "", "bad", 1},
		"failure of a repeatable call":     {"/safe/1", answer(500, "bad"), 200, "", "ok", 2},
		"not run, once":                    {"/once/1", notRun, 200, "", "ok", 2},
		"not run, safe":                    {"/safe/1", notRun, 200, "", "ok", 2},
		"lost, once":                       {"/once/1", cut, 0, forwarder.Unknown, "", 1},
		"lost, safe":                       {"/safe/1", cut, 200, "", "ok", 2},
		"truncated, once":                  {"/once/1", truncated, 0, forwarder.Unknown, "", 1},
		"truncated, safe":                  {"/safe/1", truncated, 200, "", "ok", 2},
		"another call's answer, once":      {"/once/1", foreign, 0, forwarder.Unknown, "", 1},
		"another call's answer, safe":      {"/safe/1", foreign, 200, "", "ok", 2},
		"no seal, once":                    {"/once/1", unsealed, 0, forwarder.Unknown, "", 1},
		"silence, safe":                    {"/safe/1", silent, 200, "", "ok", 2},
		"silence, once":                    {"/once/1", silent, 0, forwarder.TimedOut, "", 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// Whichever endpoint is asked first gives the first answer.
			var once sync.Once
			either := func(c net.Conn, r *http.Request, body string) bool {
				chosen := ok
				once.Do(func() { chosen = tc.first })
				return chosen(c, r, body)
			}
			a, b := newEndpoint(t, either), newEndpoint(t, either)
			got := newFront(t, a, b).call(t, tc.path, "k1", "body")
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
		prepare   func(f *front)
		refusal   forwarder.Refusal
	}{
		"unknown key":                   {"/safe/1", "k9", nil, forwarder.Unauthorized},
		"no key":                        {"/safe/1", "", nil, forwarder.Unauthorized},
		"no route":                      {"/none/1", "k1", nil, forwarder.NoRoute},
		"rules not confirmed":           {"/safe/1", "k1", func(f *front) { f.confirmed = false }, forwarder.Unready},
		"unknown key, not confirmed":    {"/safe/1", "k9", func(f *front) { f.confirmed = false }, forwarder.Unready},
		"no route, not confirmed":       {"/none/1", "k1", func(f *front) { f.confirmed = false }, forwarder.Unready},
		"no rules":                      {"/safe/1", "k1", func(f *front) { f.forwarder.SetTable(nil) }, forwarder.Unready},
		"over the limit":                {"/safe/1", "k1", func(f *front) { f.quotas.Take("masons", calls, time.Now()) }, forwarder.OverQuota},
		"open route, even when unsure":  {"/open/1", "", func(f *front) { f.confirmed = false }, ""},
		"open route with a foreign key": {"/open/1", "k9", nil, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEndpoint(t, answer(200, "ok"))
			f := newFront(t, e)
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

func piece(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func TestStreams(t *testing.T) {
	cases := map[string]struct {
		path    string
		first   answerer
		body    string
		refusal forwarder.Refusal
		isCut   bool
		after   []string // ids from which endpoints were asked to go on
	}{
		"whole":                            {"/stream/1", events(5, 5), piece(1, 5), "", false, []string{""}},
		"broken off, goes on elsewhere":    {"/resumable/1", events(3, 5), piece(1, 5), "", false, []string{"", "3"}},
		"broken off, can't go on":          {"/stream/1", events(3, 5), piece(1, 3), "", true, []string{""}},
		"broken within the first event":    {"/resumable/1", events(0, 5), piece(1, 5), "", false, []string{"", ""}},
		"lost before the first event":      {"/stream/1", cut, "", forwarder.Unknown, false, []string{""}},
		"lost before, goes on elsewhere":   {"/resumable/1", cut, piece(1, 5), "", false, []string{"", ""}},
		"failure at first, goes elsewhere": {"/resumable/1", answer(500, "bad"), piece(1, 5), "", false, []string{"", ""}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			either := func(c net.Conn, r *http.Request, body string) bool {
				chosen := events(5, 5)
				once.Do(func() { chosen = tc.first })
				return chosen(c, r, body)
			}
			a, b := newEndpoint(t, either), newEndpoint(t, either)
			f := newFront(t, a, b)
			got := f.call(t, tc.path, "k1", "prompt")
			if tc.isCut {
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
			require.ElementsMatch(t, tc.after, after)
			f.note(func() {
				want := 1
				if tc.refusal != "" {
					want = 0
				}
				require.Equal(t, want, f.began, "the call counts once for the usage")
			})
		})
	}
}

// A stream that has begun and whose next endpoint answers with a failure breaks
// off: neither the failure nor an end may follow its events.
func TestStreamThatGoesOnAtAFailure(t *testing.T) {
	for name, second := range map[string]answerer{"failure": answer(500, "bad"), "refusal": answer(404, "none"), "no run": notRun} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var once sync.Once
			either := func(c net.Conn, r *http.Request, body string) bool {
				chosen := second
				once.Do(func() { chosen = events(3, 5) })
				return chosen(c, r, body)
			}
			got := newFront(t, newEndpoint(t, either), newEndpoint(t, either)).call(t, "/resumable/1", "k1", "prompt")
			require.Error(t, got.err, "a stream that broke off must not look complete")
			require.Equal(t, piece(1, 3), got.body)
		})
	}
}

// A caller that leaves stops the endpoint's work.
func TestCallerLeaves(t *testing.T) {
	stopped := make(chan struct{})
	e := newEndpoint(t, func(c net.Conn, r *http.Request, body string) bool {
		defer close(stopped)
		return silent(c, r, body)
	})
	f := newFront(t, e)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.server.URL+"/once/1", nil)
	require.NoError(t, err)
	r.Header.Set(headerID, "c1")
	r.Header.Set("Key", "k1")
	done := make(chan error, 1)
	caller := &leaver{request: r, done: done}
	go caller.run()
	require.Eventually(t, func() bool { return len(e.requests()) == 1 }, 10*time.Second, time.Millisecond)
	cancel()
	require.Error(t, <-done)
	<-stopped
}

type leaver struct {
	request *http.Request
	done    chan error
}

func (l *leaver) run() {
	response, err := http.DefaultClient.Do(l.request)
	if err == nil {
		response.Body.Close()
	}
	l.done <- err
}

// All repeats of all nodes stay within the bound in any window, however the calls
// are spread.
func TestBudgetOfAllNodes(t *testing.T) {
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
			const rate = 40 // calls a second
			for i := range rate * 40 {
				at := start.Add(time.Duration(i) * time.Second / rate)
				b := budgets[share(i)]
				b.Call("desk", at)
				for b.Repeat("desk", at) {
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
