// Package server is the HTTP server for callers. It authenticates and validates each
// call, reads it within the limits, passes it to the handler and reports the outcome.
package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"hyssoprudder/internal/connection/certifier"
	"hyssoprudder/internal/connection/listener"
	"hyssoprudder/internal/connection/screener"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/meter"
	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/process/reserver"
	"hyssoprudder/internal/process/settings"
	"hyssoprudder/internal/request/handler"
)

// maxPipelined is how many requests in a row may arrive on a connection before the answer to the one before.
const maxPipelined = 16

// Config holds the settings and dependencies of a server.
type Config struct {
	Listen    netip.AddrPort
	Limits    settings.Limits
	Certifier *certifier.Certifier // nil without TLS
	Clock     clock.Clock
	Log       *log.Logger
	Meter     *meter.Calls
	// Rules returns the rules in force, or nil if there are none yet.
	Rules func() *parser.Rules
	// Ready returns nil if the node is ready for calls, or else the reason why not.
	Ready func() error
	// Budget bounds what callers may make the process hold. It may be nil.
	Budget *reserver.Budget
	// Serve answers a call.
	Serve func(ctx context.Context, w http.ResponseWriter, call *handler.Call) handler.Result
}

// Server serves callers.
type Server struct {
	cfg      Config
	listener *listener.Listener
	index    atomic.Pointer[index]
	closing  atomic.Bool
	until    atomic.Pointer[time.Time] // when calls that arrive now must have ended; nil unless the server stops
	inFlight atomic.Int64
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("/", s.serveCall)
	s.listener = listener.New("callers", &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: cfg.Limits.Read(),
		IdleTimeout:       cfg.Limits.Idle(),
		MaxHeaderBytes:    cfg.Limits.Header(),
	}, cfg.Certifier, cfg.Log)
	screen := screener.New(func() screener.Limits { return screener.Limits{} }, cfg.Clock.Now)
	screen.SetBounds(screener.Bounds{Budget: cfg.Budget, Pipelined: maxPipelined})
	s.listener.Screen(screen)
	return s
}

// Start listens and serves until Stop.
func (s *Server) Start() error { return s.listener.Start(s.cfg.Listen) }

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort { return s.listener.Address() }

// InFlight returns the number of calls in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Drain makes every further answer close its connection, so that callers reconnect
// to other entries. Calls that arrive meanwhile are still served.
func (s *Server) Drain() { s.closing.Store(true) }

// Stop accepts no more connections and waits for the calls in flight. When ctx ends,
// it aborts the remaining calls and returns their number. Calls that arrive meanwhile on open
// connections are refused if they may not end by then; streams are not, since they go on at
// another entry.
func (s *Server) Stop(ctx context.Context) int64 {
	s.Drain()
	if until, ok := ctx.Deadline(); ok {
		s.until.Store(&until)
	}
	if err := s.listener.Stop(ctx); err == nil {
		return 0
	}
	aborted := s.inFlight.Load()
	s.listener.Abort()
	return aborted
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	err := s.cfg.Ready()
	if err == nil && s.closing.Load() {
		err = errStopping
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

var errStopping = errors.New("the node is stopping")

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	start := s.cfg.Clock.Now()
	id := uuid.NewString()
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.cfg.Meter.Begin()
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	call, problem := s.read(w, r, id, start)
	if problem == nil {
		problem = s.refuseLate(call)
	}
	var result handler.Result
	if problem != nil {
		problem.Write(w, id)
		result = handler.Result{Outcome: problem.Outcome(), Status: problem.Status(), Err: problem}
	} else {
		result = s.cfg.Serve(r.Context(), w, call)
	}
	s.report(id, call, result, s.cfg.Clock.Now().Sub(start))
}

// refuseLate returns the problem for a call that may not end before the server does. A call
// with a key may have run already, since callers repeat such calls.
func (s *Server) refuseLate(call *handler.Call) *handler.Problem {
	until := s.until.Load()
	if until == nil || call.Service().Kind() == parser.KindModel || !call.Deadline().After(*until) {
		return nil
	}
	outcome := handler.OutcomeNotRun
	if call.Key() != "" {
		outcome = handler.OutcomeUnknown
	}
	return handler.NewProblem(http.StatusServiceUnavailable, outcome, "Stopping", "this entry stops before the call would end; send it again").RetryAfter(time.Second)
}

func (s *Server) report(id string, call *handler.Call, result handler.Result, duration time.Duration) {
	ended := meter.CompletedCall{Route: "none", Customer: "none", Outcome: string(result.Outcome), Status: result.Status, Attempts: result.Attempts, RecomputedTokens: result.Recomputed, Duration: duration}
	if call != nil {
		ended.Route, ended.Customer = call.Route().Name(), call.Customer().Name()
	}
	s.cfg.Meter.End(ended)
	fields := []any{"request", id, "customer", ended.Customer, "route", ended.Route, "endpoint", result.Endpoint,
		"outcome", result.Outcome, "status", result.Status, "attempts", result.Attempts, "took", duration}
	if result.Err != nil {
		s.cfg.Log.Warn("call", append(fields, "err", result.Err)...)
		return
	}
	s.cfg.Log.Info("call", fields...)
}
