package handler_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/observer"
	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/request/handler"
	"hyssoprudder/internal/request/limiter"
	"hyssoprudder/internal/request/router"
	"hyssoprudder/internal/request/streamer"
	"hyssoprudder/internal/standin/engine"
)

const rulesText = `customer masons worth=1 rate=1000 burst=1000 token=sha256:%x # masons' desk, Vrancea
customer depots worth=1 rate=1 burst=1 token=sha256:%x # depots, Vrancea
service pumice kind=model first=1300ms next=52ms timeout=20s # clerks' desk, Vrancea
service bookings kind=plain status=/bookings/{key} timeout=2s # orders office, Vrancea
route answers path=/v1/answers service=pumice # clerks' desk, Vrancea
route orders path=/orders service=bookings once=true # orders office, Vrancea
route stock path=/bookings service=bookings # orders office, Vrancea
`

var domains = []string{"focsani", "adjud", "panciu"}

// entry is a handler behind a test HTTP server.
type entry struct {
	t         *testing.T
	handler   *handler.Handler
	router    *router.Router
	observer  *observer.Observer
	streams   *streamer.Registry
	rules     *parser.Rules
	server    *httptest.Server
	endpoints []lister.Endpoint

	mu      sync.Mutex
	id      int
	results []handler.Result
}

func newEntry(t *testing.T, endpoints []lister.Endpoint, change func(*handler.Config)) *entry {
	t.Helper()
	rules, err := parser.Parse(fmt.Sprintf(rulesText, sha256.Sum256([]byte("masons")), sha256.Sum256([]byte("depots"))))
	require.NoError(t, err)
	c, d := clock.System{}, dialer.New()
	e := &entry{t: t, rules: rules, observer: observer.New(c.Now()), streams: streamer.NewRegistry(1 << 24), endpoints: endpoints}
	e.router = router.New(e.observer, "focsani", router.Predictive())
	e.router.Update(endpoints, map[string]router.Target{"pumice": {First: 1300 * time.Millisecond, Next: 52 * time.Millisecond}})
	cfg := handler.Config{
		Clock: c, Router: e.router, Observer: e.observer, Limiter: limiter.New(1), Streams: e.streams,
		Do: d.Do, Status: d.Status, Generate: d.Generate, Export: d.Export, Import: d.Import, Grace: 50 * time.Millisecond,
	}
	if change != nil {
		change(&cfg)
	}
	e.handler = handler.New(cfg)
	e.server = httptest.NewServer(e)
	t.Cleanup(func() {
		e.handler.Close()
		e.server.Close()
		d.Close()
	})
	return e
}

// ServeHTTP converts the request to a call, as the production server does.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.id++
	id := fmt.Sprintf("%s-%d", e.server.Listener.Addr(), e.id)
	e.mu.Unlock()
	f := handler.Fields{ID: id, Key: r.Header.Get(handler.HeaderKey), Method: r.Method, Path: r.URL.Path, Header: r.Header, Start: time.Now()}
	for _, c := range e.rules.Customers() {
		if c.Name() == r.Header.Get("Customer") {
			f.Customer = c
		}
	}
	for _, route := range e.rules.Routes() {
		if strings.HasPrefix(r.URL.Path, route.Path()) {
			f.Route = route
			f.Service, _ = e.rules.Service(route.Service())
		}
	}
	timeout := f.Service.Timeout()
	if text := r.Header.Get(handler.HeaderTimeout); text != "" {
		timeout, _ = time.ParseDuration(text)
	}
	f.Deadline = f.Start.Add(timeout)
	_, _ = fmt.Sscan(r.Header.Get(handler.HeaderLastEventID), &f.After)
	body := new(strings.Builder)
	_, _ = bufio.NewReader(r.Body).WriteTo(body)
	f.Body = []byte(body.String())
	result := e.handler.Serve(r.Context(), w, handler.NewCall(f))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.results = append(e.results, result)
}

func (e *entry) recomputed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0
	for _, r := range e.results {
		total += r.Recomputed
	}
	return total
}

type event struct {
	id    int
	token string
	kind  string
}

// caller is a caller of a model service.
type caller struct {
	entry    *entry
	customer string
	key      string
	request  string
	prompt   string
	max      int
	after    int
	timeout  string
	cancel   context.CancelFunc
}

func (c *caller) post(unstreamed bool) *http.Response {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	stream := !unstreamed
	body, err := json.Marshal(handler.Prompt{Prompt: c.prompt, Max: c.max, Stream: &stream})
	require.NoError(c.entry.t, err)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.entry.server.URL+"/v1/answers", strings.NewReader(string(body)))
	require.NoError(c.entry.t, err)
	for name, value := range map[string]string{"Customer": c.customer, handler.HeaderKey: c.key, handler.HeaderRequest: c.request, handler.HeaderTimeout: c.timeout} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	if c.after > 0 {
		req.Header.Set(handler.HeaderLastEventID, fmt.Sprint(c.after))
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(c.entry.t, err)
	return resp
}

// read calls accept for each event of the answer until accept returns false.
func (c *caller) read(resp *http.Response, accept func(event) bool) {
	defer resp.Body.Close()
	require.Equal(c.entry.t, http.StatusOK, resp.StatusCode)
	c.request = resp.Header.Get(handler.HeaderRequest)
	var e event
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			_, _ = fmt.Sscan(value, &e.id)
		case "event":
			e.kind = value
		case "data":
			var data struct{ Token string }
			_ = json.Unmarshal([]byte(value), &data)
			e.token = data.Token
			if !accept(e) {
				return
			}
			e = event{}
		}
	}
}

// requireAnswer reads the answer to its end and requires every token exactly once and in order.
func (c *caller) requireAnswer(resp *http.Response) {
	t := c.entry.t
	done := false
	c.read(resp, func(e event) bool {
		if e.kind != "" {
			require.Equal(t, "done", e.kind)
			done = true
			return false
		}
		c.requireNext(e)
		return true
	})
	require.True(t, done, "the answer ended without a done event")
	require.Equal(t, c.max, c.after)
}

func (c *caller) requireNext(e event) {
	require.Equal(c.entry.t, c.after+1, e.id)
	require.Equal(c.entry.t, engine.NewAnswer(c.prompt).Token(c.after), e.token, "token %d belongs to another answer", e.id)
	c.after++
}

func (c *caller) run(wait *sync.WaitGroup) {
	defer wait.Done()
	c.requireAnswer(c.post(false))
}

func promptText(seed, words int) string {
	list := make([]string, words)
	for i := range list {
		list[i] = fmt.Sprintf("w%d-%d", seed, i)
	}
	return strings.Join(list, " ")
}

func startEngines(t *testing.T, n int, change func(*engine.Spec)) (engines []*engine.Engine, endpoints []lister.Endpoint) {
	t.Helper()
	for i := range n {
		spec := engine.Defaults()
		spec.ID, spec.Domain, spec.DecodeRate = fmt.Sprintf("engine-%d", i), domains[i%3], 200
		if change != nil {
			change(&spec)
		}
		e, err := engine.Start("127.0.0.1:0", spec, clock.System{})
		require.NoError(t, err)
		t.Cleanup(e.Kill)
		engines = append(engines, e)
		endpoints = append(endpoints, endpoint(spec.ID, "pumice", spec.Domain, e.Address()))
	}
	return engines, endpoints
}

func endpoint(id, service, domain string, address netip.AddrPort) lister.Endpoint {
	return lister.NewEndpoint(lister.Spec{ID: id, Service: service, Version: "12", Domain: domain, Address: address})
}

// reportLoad passes the engines' load reports to the observer.
func (e *entry) reportLoad() {
	d := dialer.New()
	defer d.Close()
	for _, endpoint := range e.endpoints {
		report, err := d.Load(context.Background(), endpoint.Address())
		require.NoError(e.t, err)
		e.observer.Report(endpoint.ID(), observer.Report{
			At: report.At, Running: report.Running, Queued: report.Queued, Slots: report.Slots, Prefill: report.PrefillRate, Decode: report.DecodeRate,
		})
	}
}

// waitForBusyEngine waits until an engine generates tokens for the entry and returns it.
func (e *entry) waitForBusyEngine(engines []*engine.Engine) *engine.Engine {
	var found *engine.Engine
	require.Eventually(e.t, func() bool {
		for _, candidate := range engines {
			load := e.observer.Load(candidate.ID())
			if generated, _ := candidate.Counts(); load.OwnInFlight() > 0 && generated > 3 {
				found = candidate
			}
		}
		return found != nil
	}, time.Minute, time.Millisecond)
	return found
}
