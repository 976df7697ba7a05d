// Package servicer is a stand-in for a plain booking service. It records every
// executed call, so that duplicate and lost executions can be counted from outside.
package servicer

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/faulter"
	"hyssoprudder/internal/standin/hoster"
)

const maxBody = 1 << 20 // request body, in bytes

// Spec describes an instance of the service. Scale is applied to all durations.
type Spec struct {
	ID         string        `toml:"id"`
	Service    string        `toml:"service"`
	Version    string        `toml:"version"`
	Domain     string        `toml:"domain"`
	StatusPath string        `toml:"status"` // path prefix of the status requests
	Slots      int           `toml:"slots"`  // maximum number of calls that run concurrently
	Queue      int           `toml:"queue"`  // maximum number of calls that wait for a slot
	CallTime   time.Duration `toml:"took"`   // execution time of one call
	ReportLag  time.Duration `toml:"lag"`    // age of the load report
	Scale      float64       `toml:"scale"`
	Seed       uint64        `toml:"seed"`
}

// Defaults returns the spec of a booking service.
func Defaults() Spec {
	return Spec{
		Service: "bookings", Version: "3", Domain: "focsani", StatusPath: "/bookings/",
		Slots: 32, Queue: 256, CallTime: 20 * time.Millisecond, ReportLag: 500 * time.Millisecond, Scale: 1, Seed: 1,
	}
}

// Register adds a flag for each field to set, with the current values as defaults.
func (s *Spec) Register(set *flag.FlagSet) {
	set.StringVar(&s.Service, "service", s.Service, "name of the service")
	set.StringVar(&s.Version, "version", s.Version, "version that is served")
	set.StringVar(&s.Domain, "domain", s.Domain, "failure domain")
	set.StringVar(&s.StatusPath, "status", s.StatusPath, "path prefix of the status calls")
	set.IntVar(&s.Slots, "slots", s.Slots, "calls that run at once")
	set.IntVar(&s.Queue, "queue", s.Queue, "calls that wait at most")
	set.DurationVar(&s.CallTime, "took", s.CallTime, "time that one call runs")
	set.DurationVar(&s.ReportLag, "lag", s.ReportLag, "age of the load report")
	set.Float64Var(&s.Scale, "scale", s.Scale, "factor of all times of the service")
	set.Uint64Var(&s.Seed, "seed", s.Seed, "seed of random choices")
}

// Service is one running instance of the service.
type Service struct {
	spec   Spec
	clock  clock.Clock
	ledger *Ledger
	host   *hoster.Host
	faults *faulter.Set
	slots  chan struct{} // one element for each call that runs
	ended  sync.WaitGroup

	mu      sync.Mutex
	calls   int             // running and queued
	samples []hoster.Report // oldest first; GET /load answers the oldest
}

// Start starts an instance that listens on an IP address and port. The instances
// of one service share a ledger.
func Start(address string, spec Spec, ledger *Ledger, c clock.Clock) (*Service, error) {
	if spec.Slots < 1 || spec.Scale <= 0 {
		return nil, fmt.Errorf("service %s: slots and scale must be greater than 0", spec.ID)
	}
	s := &Service{
		spec: spec, clock: c, ledger: ledger,
		faults: faulter.New(spec.Seed, c.Now),
		slots:  make(chan struct{}, spec.Slots),
	}
	s.sample()
	host, err := hoster.Listen(address, s.handler())
	if err != nil {
		return nil, err
	}
	s.host = host
	s.ended.Add(1)
	go s.loop()
	return s, nil
}

// ID returns the ID of the instance.
func (s *Service) ID() string { return s.spec.ID }

// Address returns the listen address of the instance.
func (s *Service) Address() netip.AddrPort { return s.host.Address() }

// Faults returns the faults injected into the instance.
func (s *Service) Faults() *faulter.Set { return s.faults }

// Serving returns the served version.
func (s *Service) Serving() string { return s.spec.Version }

// Kill stops the instance abruptly. The ledger keeps its calls.
func (s *Service) Kill() {
	s.host.Kill()
	s.ended.Wait()
}

// Stop stops the instance gracefully: calls in flight may finish until ctx is done.
func (s *Service) Stop(ctx context.Context) {
	s.host.Stop(ctx)
	s.ended.Wait()
}

// loop samples the load periodically, so that reports lag.
func (s *Service) loop() {
	defer s.ended.Done()
	for clock.Sleep(s.clock, max(s.scaled(s.spec.ReportLag), time.Millisecond), s.host.Done()) {
		s.sample()
	}
}

func (s *Service) sample() {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := min(s.calls, s.spec.Slots)
	s.samples = append(s.samples, hoster.Report{
		ID: s.spec.ID, Service: s.spec.Service, Version: s.spec.Version, Domain: s.spec.Domain, At: s.clock.Now(),
		Running: running, Queued: s.calls - running, Slots: s.spec.Slots,
	})
	if len(s.samples) > 2 {
		s.samples = s.samples[1:]
	}
}

func (s *Service) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.spec.Scale)
}

func (s *Service) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.waitWhileFrozen(s.serve))
	mux.HandleFunc("GET /load", s.waitWhileFrozen(s.getLoad))
	mux.HandleFunc("GET /healthz", s.waitWhileFrozen(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") }))
	mux.HandleFunc("GET /record", s.ledger.Serve)
	mux.HandleFunc("/faults", s.faults.Serve)
	return mux
}

func (s *Service) waitWhileFrozen(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.faults.WaitUnfrozen(r.Context().Done()) {
			hoster.Echo(w, r)
			handle(w, r)
		}
	}
}

func (s *Service) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := s.samples[0]
	s.mu.Unlock()
	hoster.Reply(w, http.StatusOK, report)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, s.spec.StatusPath) {
		s.ledger.serveStatus(w, r, strings.TrimPrefix(r.URL.Path, s.spec.StatusPath))
		return
	}
	s.mu.Lock()
	ahead := s.calls
	full := ahead >= s.spec.Slots+s.spec.Queue
	if !full {
		s.calls++
	}
	s.mu.Unlock()
	if full {
		refuse(w, "queue is full")
		return
	}
	defer s.callEnded()
	effect := s.faults.Call(s.spec.Version, min(ahead, s.spec.Slots), r.URL.Path)
	effect.Announce(w)
	switch {
	case effect.Refuse, effect.Pause > 0:
		refuse(w, "refused")
	case effect.Fail:
		http.Error(w, "failed", http.StatusInternalServerError)
	default:
		s.execute(w, r, effect)
	}
}

func (s *Service) callEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
}

// execute waits for a slot and runs one call. Once a call has a slot, it runs to
// its end even if the caller disconnects.
func (s *Service) execute(w http.ResponseWriter, r *http.Request, effect faulter.Effect) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer s.releaseSlot()
	case <-r.Context().Done():
		return
	}
	call := Call{
		Key: r.Header.Get("Idempotency-Key"), Request: r.Header.Get("Request"), Instance: s.spec.ID, Version: s.spec.Version,
		Method: r.Method, Path: r.URL.Path, Hash: fmt.Sprintf("%016x", xxhash.Sum64(body)), At: s.clock.Now(),
	}
	if err := s.ledger.begin(call.Key); err != nil {
		refuse(w, err.Error())
		return
	}
	slow := effect.Slowdown * s.faults.Slowdown(s.spec.Version, len(s.slots))
	ran := clock.Sleep(s.clock, time.Duration(float64(s.scaled(s.spec.CallTime))*slow), s.host.Done())
	if !ran {
		s.ledger.abort(call.Key)
		return
	}
	call.Body = fmt.Sprintf(`{"booked":%q}`, call.Hash)
	s.ledger.end(call)
	if effect.LoseAnswer || !clock.Sleep(s.clock, effect.Delay, s.host.Done()) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	fmt.Fprint(w, call.Body)
}

func (s *Service) releaseSlot() { <-s.slots }

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Outcome", "notrun")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

var errSealed = errors.New("the key was reported as not run and is sealed")
