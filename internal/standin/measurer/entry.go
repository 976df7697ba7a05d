package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/observer"
	"hyssoprudder/internal/request/admitter"
	"hyssoprudder/internal/request/router"
	"hyssoprudder/internal/standin/hoster"
)

const (
	pollTimeout = 250 * time.Millisecond
	stateLive   = "live"
	hexBase     = 16
	wordBits    = 64
)

// entry is an entry that makes the decisions of one arm.
type entry struct {
	site      *site
	id        string
	dialer    *dialer.Dialer
	observer  *observer.Observer
	router    *router.Router
	gate      *admitter.Gate
	host      *hoster.Host
	ended     sync.WaitGroup
	endpoints []lister.Endpoint // accessed by the loop only

	mu          sync.Mutex
	random      *rand.Rand
	lastRequest int
	leaving     map[string]time.Time
	eventSeqs   map[string]uint64 // last cache event by endpoint; accessed by the loop only
	relays      map[*relay]struct{}
}

func newEntry(s *site, id, domain string, seed uint64) (*entry, error) {
	e := &entry{
		site: s, id: id,
		dialer:    dialer.New(),
		observer:  observer.New(s.clock.Now()),
		random:    rand.New(rand.NewPCG(seed, seed)),
		leaving:   make(map[string]time.Time),
		eventSeqs: make(map[string]uint64),
		relays:    make(map[*relay]struct{}),
	}
	e.router = router.New(e.observer, domain, s.arm.Policy())
	e.router.Random = e.draw
	e.refresh()
	policy := admitter.None()
	if s.arm.Admission != nil {
		policy = s.arm.Admission(s.firm)
	}
	e.gate = admitter.NewGate(s.clock, admitter.New(policy, admitter.DefaultLimits()), e.room)
	host, err := hoster.Listen("127.0.0.1:0", http.HandlerFunc(e.serve))
	if err != nil {
		return nil, err
	}
	e.host = host
	e.ended.Add(1)
	go e.loop()
	return e, nil
}

func (e *entry) draw() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64()
}

func (e *entry) stop(ctx context.Context) {
	e.host.Stop(ctx)
	e.ended.Wait()
	e.gate.Close()
	e.dialer.Close()
}

// loop periodically refreshes the endpoints, their load and their cache events.
func (e *entry) loop() {
	defer e.ended.Done()
	for clock.Sleep(e.site.clock, e.site.scaled(pollInterval), e.host.Done()) {
		e.refresh()
	}
}

func (e *entry) refresh() {
	var endpoints []lister.Endpoint
	var polled []lister.Endpoint
	for _, i := range e.site.platform.Instances() {
		address, err := netip.ParseAddrPort(i.Address)
		if err != nil {
			continue
		}
		endpoint := lister.NewEndpoint(lister.Spec{
			ID: i.ID, Service: i.Service, Version: i.Version, Domain: i.Domain, Class: i.Class,
			Market: lister.Market(i.Market), Price: i.Price, Address: address,
		})
		endpoints = append(endpoints, endpoint)
		e.markLeaving(endpoint, i.TerminatesAt)
		if i.State == stateLive {
			polled = append(polled, endpoint)
		}
	}
	// Update builds the router's table of endpoints anew, so it is called only if the
	// endpoints have changed.
	if !slices.Equal(endpoints, e.endpoints) {
		e.endpoints = endpoints
		e.router.Update(endpoints, map[string]router.Target{e.site.firm.Service: e.site.firm.Targets})
	}
	for _, endpoint := range polled {
		e.poll(endpoint)
	}
	e.observer.Sweep(e.site.clock.Now())
}

// markLeaving records that an endpoint is leaving, and notifies the relays.
func (e *entry) markLeaving(endpoint lister.Endpoint, terminatesAt *time.Time) {
	e.mu.Lock()
	_, known := e.leaving[endpoint.ID()]
	if terminatesAt == nil || known {
		e.mu.Unlock()
		return
	}
	e.leaving[endpoint.ID()] = *terminatesAt
	var affected []*relay
	for r := range e.relays {
		affected = append(affected, r)
	}
	e.mu.Unlock()
	e.observer.SetLeaving(endpoint.ID(), true)
	for _, r := range affected {
		r.handleLeaving(endpoint, *terminatesAt)
	}
}

func (e *entry) poll(endpoint lister.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	report, err := e.dialer.Load(ctx, endpoint.Address())
	if err != nil {
		return
	}
	e.observer.Report(endpoint.ID(), observer.Report{
		At: report.At, Running: report.Running, Queued: report.Queued, Slots: report.Slots,
		KVUsed: int(report.KVUsed), KVSize: int(report.KVSize), Prefill: report.PrefillRate, Decode: report.DecodeRate,
	})
	cacheEvents, err := e.dialer.Events(ctx, endpoint.Address(), e.eventSeqs[endpoint.ID()])
	if err != nil || len(cacheEvents) == 0 {
		return
	}
	events := make([]router.Event, 0, len(cacheEvents))
	for _, f := range cacheEvents {
		prefix, err := strconv.ParseUint(f.Prefix, hexBase, wordBits)
		if err != nil {
			continue
		}
		events = append(events, router.Event{Sequence: f.Seq, Drop: f.Op == "drop", Prefix: prefix})
	}
	e.eventSeqs[endpoint.ID()] = cacheEvents[len(cacheEvents)-1].Seq
	e.router.ApplyEvents(endpoint.ID(), events)
}

// body is the body of a request from a caller.
type body struct {
	Prompt string `json:"prompt"`
	Max    int    `json:"max"`
	Stream *bool  `json:"stream"`
}

func (e *entry) serve(w http.ResponseWriter, r *http.Request) {
	var b body
	if !hoster.Decode(w, r, &b) {
		return
	}
	words, prefixes := router.Prefixes(b.Prompt)
	call := router.Call{
		Service: e.site.firm.Service, Route: r.URL.Path, Prefixes: prefixes, Words: words, Decode: b.Max,
	}
	rl := &relay{entry: e, call: call, body: b, w: w, id: e.newRequestID(), unstreamed: b.Stream != nil && !*b.Stream}
	choice, chosen := e.router.Choose(e.site.clock.Now(), call)
	decision := e.gate.Enter(r.Context(), e.admissionRequest(r, rl, choice))
	if decision.Kind() != admitter.Admit {
		w.Header().Set("Outcome", "notrun")
		http.Error(w, string(decision.Reason()), http.StatusServiceUnavailable)
		return
	}
	defer e.gate.Leave()
	if chosen && decision.Waited() == 0 {
		rl.admitted = &choice
	}
	e.site.tally.addPrompt(words, router.BlockWords, prefixes)
	e.track(rl, true)
	defer e.track(rl, false)
	rl.serve(r.Context())
}

// admissionRequest returns the input of admission for a call, and sets the priority of
// the relay.
func (e *entry) admissionRequest(r *http.Request, rl *relay, choice router.Choice) admitter.Request {
	now := e.site.clock.Now()
	request := admitter.Request{Bytes: len(rl.body.Prompt)}
	if choice.Known() {
		request.PredictedDuration = choice.Duration()
	}
	for _, call := range e.site.firm.Load.Calls {
		if call.Path == r.URL.Path {
			request.Worth, request.Priority = call.Worth, call.Priority
		}
	}
	rl.priority = request.Priority
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	for _, customer := range e.site.firm.Load.Customers {
		if customer.Token == token {
			request.Customer, request.Weight = customer.Name, customer.Worth
		}
	}
	if timeout, err := time.ParseDuration(r.Header.Get("Timeout")); err == nil {
		request.Deadline = now.Add(timeout)
	}
	return request
}

// room returns the load that the service can still accept from this entry.
func (e *entry) room(now time.Time) admitter.Room {
	room := e.router.Room(now, e.site.firm.Service)
	fraction := max(room.Share(), 1/float64(len(e.site.firm.Load.Entries)))
	return admitter.Room{Free: room.Free(), Limit: room.Limit() * fraction, Reserve: room.Reserve()}
}

func (e *entry) newRequestID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastRequest++
	return fmt.Sprintf("%s-%d", e.id, e.lastRequest)
}

func (e *entry) track(r *relay, inFlight bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if inFlight {
		e.relays[r] = struct{}{}
	} else {
		delete(e.relays, r)
	}
}
