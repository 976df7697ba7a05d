package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/pooler"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/apportioner"
	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/placer"
)

// The headers of the stand-in endpoints.
const (
	headerID     = "Call"
	headerNotRun = "Not-Run"
	headerSeal   = "Seal"
	headerAfter  = "After"
	headerOwner  = "Owner"
)

// answerer writes raw bytes for one request; it returns false to close.
type answerer func(c net.Conn, r *http.Request, body string) bool

// endpoint is a stand-in that answers by a list of functions, the last for all
// further requests, and notes what reaches it.
type endpoint struct {
	listener net.Listener
	answers  []answerer

	mu   sync.Mutex
	seen []string
	done sync.WaitGroup
}

func newEndpoint(t *testing.T, answers ...answerer) *endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &endpoint{listener: l, answers: answers}
	e.done.Add(1)
	go e.run()
	t.Cleanup(func() { l.Close() })
	return e
}

func (e *endpoint) run() {
	defer e.done.Done()
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		s := &served{e, c}
		go s.run()
	}
}

type served struct {
	endpoint *endpoint
	conn     net.Conn
}

func (s *served) run() {
	defer s.conn.Close()
	reader := bufio.NewReader(s.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !s.endpoint.next(r, string(body))(s.conn, r, string(body)) {
			return
		}
	}
}

func (e *endpoint) next(r *http.Request, body string) answerer {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, fmt.Sprintf("%s %s after=%s owner=%s %s", r.Method, r.RequestURI, r.Header.Get(headerAfter), r.Header.Get(headerOwner), body))
	return e.answers[min(len(e.seen), len(e.answers))-1]
}

func (e *endpoint) requests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.seen...)
}

func raw(c net.Conn, format string, values ...any) {
	_, _ = io.WriteString(c, strings.ReplaceAll(fmt.Sprintf(format, values...), "\n", "\r\n"))
}

func head(id, more string) string { return headerID + ": " + id + "\n" + headerSeal + ": x\n" + more }

// answer is a whole answer with a status.
func answer(status int, body string) answerer {
	return func(c net.Conn, r *http.Request, _ string) bool {
		raw(c, "HTTP/1.1 %d X\n%sContent-Length: %d\n\n%s", status, head(r.Header.Get(headerID), ""), len(body), body)
		return true
	}
}

func notRun(c net.Conn, r *http.Request, _ string) bool {
	raw(c, "HTTP/1.1 503 X\n%s: %s\n%s: 1\nContent-Length: 0\n\n", headerID, r.Header.Get(headerID), headerNotRun)
	return true
}

func cut(net.Conn, *http.Request, string) bool { return false }

func silent(c net.Conn, _ *http.Request, _ string) bool {
	_, _ = c.Read(make([]byte, 1)) // until the caller closes
	return false
}

func truncated(c net.Conn, r *http.Request, _ string) bool {
	raw(c, "HTTP/1.1 200 X\n%sContent-Length: 10\n\nhalf", head(r.Header.Get(headerID), ""))
	return false
}

func foreign(c net.Conn, _ *http.Request, _ string) bool {
	raw(c, "HTTP/1.1 200 X\n%sContent-Length: 5\n\nother", head("another", ""))
	return true
}

func unsealed(c net.Conn, r *http.Request, _ string) bool {
	raw(c, "HTTP/1.1 200 X\n%s: %s\nContent-Length: 2\n\nok", headerID, r.Header.Get(headerID))
	return true
}

// events streams the events from..to and ends the stream, or breaks off within the
// event behind to.
func events(to, last int) answerer {
	return func(c net.Conn, r *http.Request, _ string) bool {
		from, _ := strconv.Atoi(r.Header.Get(headerAfter))
		raw(c, "HTTP/1.1 200 X\n%sTransfer-Encoding: chunked\n\n", head(r.Header.Get(headerID), ""))
		for i := from + 1; i <= to; i++ {
			chunk(c, fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i))
		}
		if to < last {
			chunk(c, fmt.Sprintf("id: %d\nda", to+1))
			return false
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
}

func chunk(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// front is a forwarder before stand-in endpoints.
type front struct {
	forwarder *forwarder.Forwarder
	quotas    *apportioner.Quotas
	server    *httptest.Server

	mu        sync.Mutex
	confirmed bool
	began     int
	results   []forwarder.Result
	version   forwarder.Version
	sent      []string
	trials    []forwarder.Trial
	placer    *placer.Placer
	endpoints []placer.Endpoint
	announced chan struct{}
	awaited   int
}

const calls = 10 // the customer's allowance

func newFront(t *testing.T, endpoints ...*endpoint) *front {
	t.Helper()
	f := &front{quotas: apportioner.New(), confirmed: true}
	place := placer.New()
	var list []placer.Endpoint
	for i, e := range endpoints {
		list = append(list, placer.Endpoint{
			ID: strconv.Itoa(i), Service: "desk", Slots: 6, Address: e.listener.Addr().(*net.TCPAddr).AddrPort(),
		})
	}
	place.SetEndpoints(list)
	f.placer, f.endpoints = place, list
	pool := pooler.New(clock.System{})
	f.forwarder = forwarder.New(forwarder.Config{
		Clock: clock.System{}, Log: log.New(io.Discard), IsConfirmed: f.isConfirmed, Encode: encode, Decode: decode, Refuse: refuse,
		Renew: func() <-chan struct{} { return nil }, Await: f.await, Began: func(string) { f.note(func() { f.began++ }) },
		Ended:   func(_ *forwarder.Call, r *forwarder.Result) { f.note(func() { f.results = append(f.results, *r) }) },
		Version: func(string, bool, float64) forwarder.Version { return f.version },
		Sent:    func(route string, _ placer.Endpoint) { f.note(func() { f.sent = append(f.sent, route) }) },
		Tried:   func(trial *forwarder.Trial) { f.note(func() { f.trials = append(f.trials, *trial) }) },
		Quotas:  f.quotas, Placer: place, Pool: pool, Budget: forwarder.NewBudget(0.2, 1000, 10*time.Second),
	})
	f.forwarder.SetTable(registrar.NewTable(rules()))
	f.quotas.SetRates(map[string]float64{"masons": 100})
	f.quotas.SetAllowances(1, map[string]float64{"masons": calls}, time.Now(), time.Now().Add(time.Hour))
	f.server = httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(func() {
		f.server.Close()
		pool.Sweep(func(netip.AddrPort) bool { return false })
	})
	return f
}

func (f *front) note(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// await returns a channel that announce closes.
func (f *front) await() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.announced == nil {
		f.announced = make(chan struct{})
	}
	f.awaited++
	return f.announced
}

func (f *front) announce() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.announced != nil {
		close(f.announced)
		f.announced = nil
	}
}

func (f *front) isConfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

func rules() *registrar.Ruleset {
	route := func(name string, kind registrar.Kind, attempts int) registrar.Route {
		return registrar.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
			Pause: 200 * time.Millisecond, Attempts: attempts, Shares: []registrar.Share{{Service: "desk", Weight: 1}},
		}
	}
	resumable := route("resumable", registrar.Stream, 2)
	resumable.Resumable = true
	open := route("open", registrar.Repeatable, 2)
	open.Open = true
	return &registrar.Ruleset{
		Number: 1, Keyed: true, Services: []registrar.Service{{Name: "desk"}},
		Routes:    []registrar.Route{route("safe", registrar.Repeatable, 2), route("once", registrar.Once, 2), route("stream", registrar.Stream, 1), resumable, open},
		Customers: []registrar.Customer{{Name: "masons", Keys: []string{"k1"}, Rate: 100, Burst: 100}},
	}
}

func (f *front) serve(w http.ResponseWriter, r *http.Request) {
	call := &forwarder.Call{
		ID: r.Header.Get(headerID), Method: r.Method, Target: r.RequestURI, Host: "a.example", Path: r.URL.Path, Header: r.Header,
		Key: r.Header.Get("Key"), IsKeyed: r.Header.Get("Key") != "", Arrived: time.Now(), Wait: 1500 * time.Millisecond,
		Body: func(int64) ([]byte, forwarder.Refusal) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return nil, forwarder.Malformed
			}
			return body, forwarder.None
		},
	}
	f.forwarder.Serve(r.Context(), w, call)
}

func encode(call *forwarder.Call, order *forwarder.Order) http.Header {
	h := make(http.Header)
	h.Set(headerID, call.ID)
	h.Set(headerAfter, order.After)
	h.Set(headerOwner, order.Customer)
	return h
}

func decode(r *http.Response) forwarder.Reply {
	return forwarder.Reply{
		ID: r.Header.Get(headerID), IsNotRun: r.Header.Get(headerNotRun) != "", IsSealed: r.Header.Get(headerSeal) != "", IsClosing: r.Close,
	}
}

func refuse(w http.ResponseWriter, _ *forwarder.Call, refusal forwarder.Refusal, _ time.Duration) {
	w.Header().Set("Refusal", string(refusal))
	w.WriteHeader(http.StatusTeapot)
}

// reply is what a caller got.
type reply struct {
	status  int
	refusal string
	body    string
	err     error
}

func (f *front) call(t *testing.T, path, key, body string) reply {
	t.Helper()
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(context.Background(), method, f.server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set(headerID, "c1")
	if key != "" {
		r.Header.Set("Key", key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header.Get("Refusal"), string(text), err}
}

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
