package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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
	"hyssoprudder/internal/request/rationer"
)

// fixture is a forwarder in front of stand-in endpoints.
type fixture struct {
	forwarder *forwarder.Forwarder
	quotas    *apportioner.Quotas
	server    *httptest.Server

	mu         sync.Mutex
	confirmed  bool
	isIsolated atomic.Bool
	usage      int
	results    []forwarder.Result
	version    forwarder.Version
	sent       []string
	attempts   []forwarder.AttemptResult
	placer     *placer.Placer
	endpoints  []placer.Endpoint
	changed    chan struct{}
	waits      int
	boot       *clock.Manual // ends pauses
	pool       *pooler.Pool
	placing    func()        // called before an endpoint is chosen
	sending    func()        // called before a call is sent, and when it arrives
	maxWait    time.Duration // of all calls
	ask        func() bool   // answers a request for an allowance; by default the limit is spent
	lapseAfter int           // number of checks after which the rules are not confirmed; 0 for never
	budget     *forwarder.Budget
	decode     func(call *forwarder.Call) // called with each call as it arrives
}

const (
	allowance   = 10 // the customer's allowance
	largestCall = 1e6
	drain       = 3 * time.Second // the time to drain
)

func newFixture(t *testing.T, endpoints ...*endpoint) *fixture {
	t.Helper()
	f := &fixture{quotas: apportioner.New(), confirmed: true, boot: clock.NewManual(time.Unix(1000, 0)), maxWait: 1500 * time.Millisecond, budget: forwarder.NewBudget(0.2, 1000, 10*time.Second)}
	p := placer.New()
	var list []placer.Endpoint
	for i, e := range endpoints {
		list = append(list, placer.Endpoint{
			ID: strconv.Itoa(i), Service: "desk", Slots: 6, Address: e.listener.Addr().(*net.TCPAddr).AddrPort(),
		})
	}
	p.SetDrain(drain)
	p.SetEndpoints(list)
	f.placer, f.endpoints = p, list
	pool := pooler.New(clock.System{})
	f.pool = pool
	f.forwarder = forwarder.New(forwarder.Config{
		Clock: clock.System{}, BootClock: f.boot, Log: log.New(io.Discard), IsConfirmed: f.isConfirmed, ServesUntil: func() time.Time { return time.Time{} }, Encode: encode, Decode: decode, Refuse: refuse,
		LargestCall: func(*registrar.Customer) float64 { return largestCall }, AskAllowance: f.askAllowance, ReportAnswered: f.reportAnswered, CallBegan: func(string) { f.locked(func() { f.usage++ }) },
		CallEnded: func(_ *forwarder.Call, r *forwarder.Result) { f.locked(func() { f.results = append(f.results, *r) }) },
		IsIsolated: func(string, []placer.PromptBlock, func() uint64) bool {
			f.hook(&f.placing)
			return f.isIsolated.Load()
		},
		Version:        f.chooseVersion,
		AttemptStarted: func(route string, _ placer.Endpoint) { f.locked(func() { f.sent = append(f.sent, route) }) },
		AttemptEnded:   f.recordAttempt,
		Quotas:         f.quotas, Rationer: rationer.New(), Placer: p, Pool: pool, Budget: f.budget,
	})
	f.forwarder.SetTable(registrar.NewTable(rules()))
	f.quotas.SetRates(map[string]float64{"masons": 100})
	f.quotas.SetAllowances(1, map[string]float64{"masons": allowance}, time.Now().Add(time.Hour))
	f.server = httptest.NewServer(http.HandlerFunc(f.serve))
	t.Cleanup(func() {
		f.server.Close()
		pool.Sweep(func(netip.AddrPort) bool { return false })
	})
	return f
}

func (f *fixture) recordAttempt(result *forwarder.AttemptResult) {
	kept := *result
	kept.Fingerprint = nil // it holds the body of the call
	f.locked(func() { f.attempts = append(f.attempts, kept) })
}

func (f *fixture) locked(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do()
}

// reportAnswered returns a channel that notifyChange closes.
func (f *fixture) reportAnswered() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	f.waits++
	return f.changed
}

// askAllowance answers a call that is short of its allowance.
func (f *fixture) askAllowance(_ context.Context, customer string, cost float64) bool {
	if f.ask != nil {
		return f.ask()
	}
	f.quotas.Exhaust(customer, cost, time.Second, time.Now())
	return true
}

func (f *fixture) notifyChange() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// hook calls a function of the test without the lock.
func (f *fixture) hook(do *func()) {
	f.mu.Lock()
	called := *do
	f.mu.Unlock()
	if called != nil {
		called()
	}
}

func (f *fixture) chooseVersion(string, bool, float64) forwarder.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

func (f *fixture) isConfirmed() bool {
	f.hook(&f.sending)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lapseAfter > 0 {
		if f.lapseAfter--; f.lapseAfter == 0 {
			f.confirmed = false
		}
	}
	return f.confirmed
}

func rules() *registrar.Ruleset {
	route := func(name string, kind registrar.Kind, attempts int) registrar.Route {
		return registrar.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond,
			NextObjective: 200 * time.Millisecond, MaxAttempts: attempts, Shares: []registrar.Share{{Service: "desk", Weight: 1}},
		}
	}
	resumable := route("resumable", registrar.Stream, 2)
	resumable.Resumable = true
	open := route("open", registrar.Repeatable, 2)
	open.Open = true
	return &registrar.Ruleset{
		Number: 1, RequiresKeys: true, Services: []registrar.Service{{Name: "desk"}},
		Routes:    []registrar.Route{route("safe", registrar.Repeatable, 2), route("once", registrar.Once, 2), route("stream", registrar.Stream, 1), resumable, open},
		Customers: []registrar.Customer{{Name: "masons", Keys: []string{"k1"}, Rate: 100, Burst: 100}},
	}
}

func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	call := &forwarder.Call{
		ID: r.Header.Get(headerID), Method: r.Method, Target: r.RequestURI, Host: "a.example", Path: r.URL.Path, Header: r.Header,
		Key: r.Header.Get("Key"), IsKeyed: r.Header.Get("Key") != "", Arrived: time.Now(), MaxWait: f.maxWait,
		Body: func(int64) ([]byte, forwarder.Refusal) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return nil, forwarder.Malformed
			}
			return body, forwarder.None
		},
	}
	if f.decode != nil {
		f.decode(call)
	}
	f.forwarder.Serve(r.Context(), w, call)
}

func encode(call *forwarder.Call, metadata *forwarder.AttemptMetadata) http.Header {
	h := make(http.Header)
	h.Set(headerID, call.ID)
	h.Set(headerAfter, metadata.After)
	h.Set("Pause", call.Header.Get("Pause"))
	h.Set(headerOwner, metadata.Customer)
	return h
}

func decode(r *http.Response) forwarder.Reply {
	return forwarder.Reply{
		ID: r.Header.Get(headerID), IsNotRun: r.Header.Get(headerNotRun) != "", IsSealed: r.Header.Get(headerSeal) != "",
		IsMisdirected: r.StatusCode == http.StatusMisdirectedRequest, IsClosing: r.Close,
		IsLeaving: r.Header.Get(headerLeaving) != "", Pause: pauseOf(r), ColdRemaining: durationOf(r, headerCold),
	}
}

func pauseOf(r *http.Response) time.Duration { return durationOf(r, headerPause) }

func durationOf(r *http.Response, header string) time.Duration {
	d, err := time.ParseDuration(r.Header.Get(header))
	if err != nil {
		return 0
	}
	return d
}

func refuse(w http.ResponseWriter, _ *forwarder.Call, refusal forwarder.Refusal, after time.Duration) {
	w.Header().Set("Refusal", string(refusal))
	w.Header().Set("After", after.String())
	w.WriteHeader(http.StatusTeapot)
}

// reply is what a caller received.
type reply struct {
	status  int
	refusal string
	body    string
	err     error
	after   time.Duration // when the caller may try again, if it was refused
}

func (f *fixture) call(t *testing.T, path, key, body string) reply {
	t.Helper()
	return f.callAs(t, "c1", path, key, body)
}

// callers is the client of all callers. httptest.Server.Close closes the idle connections of the
// default client, one of which another test may just have taken.
var callers = &http.Client{Transport: &http.Transport{}}

// callAs sends a call with the given ID.
func (f *fixture) callAs(t *testing.T, id, path, key, body string) reply {
	t.Helper()
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(context.Background(), method, f.server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set(headerID, id)
	if key != "" {
		r.Header.Set("Key", key)
	}
	response, err := callers.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	after, _ := time.ParseDuration(response.Header.Get("After")) // none unless refused
	return reply{response.StatusCode, response.Header.Get("Refusal"), string(text), err, after}
}
