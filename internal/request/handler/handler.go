package handler

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/observer"
	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/request/admitter"
	"hyssoprudder/internal/request/claimer"
	"hyssoprudder/internal/request/limiter"
	"hyssoprudder/internal/request/retrier"
	"hyssoprudder/internal/request/router"
	"hyssoprudder/internal/request/streamer"
)

// Config holds the parts and seams of a handler.
type Config struct {
	Clock     clock.Clock
	Router    *router.Router
	Observer  *observer.Observer
	Limiter   *limiter.Limiter
	Streams   *streamer.Registry
	Admission func() admitter.Policy // nil means admitter.Fair

	// Do sends a call to a plain service.
	Do func(ctx context.Context, to netip.AddrPort, req dialer.Request) (dialer.Answer, error)
	// Status asks a plain service whether the call with a key has run.
	Status func(ctx context.Context, to netip.AddrPort, path, key string) (dialer.KeyStatus, error)
	// Generate starts a stream on an engine.
	Generate func(ctx context.Context, to netip.AddrPort, g dialer.Generation) (*dialer.Stream, error)
	// Export and Import move a KV cache between engines.
	Export func(ctx context.Context, from netip.AddrPort, request string) (dialer.Handle, error)
	Import func(ctx context.Context, to, from netip.AddrPort, handle string) (dialer.Handle, error)

	// Grace is how long the answer to a caller without a key goes on after the caller
	// has left; 0 means DefaultGrace.
	Grace time.Duration
	// Until returns when a leaving endpoint goes away, or a zero time if it is not
	// known. It may be nil.
	Until func(endpoint string) time.Time
	// Claimer grants the keys of calls that run once. Without it they are refused.
	Claimer *claimer.Claimer
	// Peers reaches the streams of other entries.
	Peers Peers
	// Began and Ended tell of each call to an endpoint. They may be nil.
	Began func(e lister.Endpoint, route string)
	Ended func(e lister.Endpoint, route string, a Attempt)
}

// Attempt tells how one call to an endpoint ended.
type Attempt struct {
	Failed  bool          // answered with an error, or not whole
	Excused bool          // says nothing about the endpoint
	First   time.Duration // to the first byte or token
	Next    time.Duration // mean time between two tokens
	Total   time.Duration
}

// Result tells what became of a call, for logs and metrics.
type Result struct {
	Outcome    Outcome
	Status     int
	Endpoint   string
	Attempts   int
	Recomputed int // words and tokens that were prefilled again
	Err        error
}

// Handler carries calls to endpoints. It is safe for concurrent use.
type Handler struct {
	cfg     Config
	base    context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup // generations

	mu       sync.Mutex
	services map[string]*service
}

// service is what the handler keeps for one service.
type service struct {
	gate   *admitter.Gate
	budget *retrier.Budget

	mu    sync.Mutex
	ratio float64 // tokens of an answer over the most that were asked for
}

// DefaultGrace is the time in which a caller without a key can come back.
const DefaultGrace = 3 * time.Second

// New returns a handler. Close ends it.
func New(cfg Config) *Handler {
	if cfg.Grace == 0 {
		cfg.Grace = DefaultGrace
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Handler{cfg: cfg, base: ctx, cancel: cancel, services: make(map[string]*service)}
}

// Close cuts the streams that still run and ends the handler's goroutines.
func (h *Handler) Close() {
	h.cancel()
	h.running.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.services {
		s.gate.Close()
	}
}

// Sweep forgets what has not been used for a while. It is called every few seconds.
func (h *Handler) Sweep(now time.Time) {
	h.cfg.Streams.Sweep(now)
	h.cfg.Limiter.Sweep(now)
	h.cfg.Observer.Sweep(now)
}

// Waiting returns the number of calls in the queue of each service.
func (h *Handler) Waiting() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	waiting := make(map[string]int, len(h.services))
	for name, s := range h.services {
		waiting[name] = s.gate.Admitter().Waiting()
	}
	return waiting
}

// Serve answers the call on w.
func (h *Handler) Serve(ctx context.Context, w http.ResponseWriter, call *Call) Result {
	if call.service.Kind() == parser.KindModel {
		return h.serveModel(ctx, w, call)
	}
	ctx, cancel := context.WithTimeout(ctx, call.deadline.Sub(h.cfg.Clock.Now()))
	defer cancel()
	if call.Once() {
		return h.serveOnce(ctx, w, call)
	}
	return h.servePlain(ctx, call).write(w, call)
}

func (h *Handler) service(s parser.Service) *service {
	h.mu.Lock()
	defer h.mu.Unlock()
	found, ok := h.services[s.Name()]
	if !ok {
		policy := admitter.Fair()
		if h.cfg.Admission != nil {
			policy = h.cfg.Admission()
		}
		room := serviceRoom{handler: h, name: s.Name()}
		found = &service{
			gate:   admitter.NewGate(h.cfg.Clock, admitter.New(policy, admitter.DefaultLimits()), room.room),
			budget: retrier.NewBudget(retrier.DefaultRatio, retrier.DefaultReserve),
			ratio:  1,
		}
		h.services[s.Name()] = found
	}
	return found
}

// serviceRoom tells an admitter what a service can still take.
type serviceRoom struct {
	handler *Handler
	name    string
}

// room gives the entry its share of the service: at least an even part among the
// entries, and as much more as its part of the running calls.
func (s serviceRoom) room(now time.Time) admitter.Room {
	room := s.handler.cfg.Router.Room(now, s.name)
	even := 1 / float64(s.handler.cfg.Observer.Peers()+1)
	return admitter.Room{Free: room.Free(), Limit: room.Limit() * max(room.Share(), even), Reserve: room.Reserve()}
}

// limit refuses a call over its customer's limit.
func (h *Handler) limit(call *Call) *Problem {
	wait, ok := h.cfg.Limiter.Allow(h.cfg.Clock.Now(), call.customer.Name(), limiter.Limit{Rate: call.customer.Rate(), Burst: call.customer.Burst()})
	if ok {
		return nil
	}
	return NewProblem(http.StatusTooManyRequests, OutcomeNotRun, "Over the limit",
		"the customer's calls per second are used up").RetryAfter(wait)
}

// admit waits for room for a call. After a nil problem the caller must leave the gate.
func (h *Handler) admit(ctx context.Context, call *Call, route router.Call) *Problem {
	now := h.cfg.Clock.Now()
	choice, ok := h.cfg.Router.Estimate(now, route)
	if !ok {
		return noEndpointProblem()
	}
	run := choice.Time()
	if !choice.Known() {
		run = 0 // nothing is refused on defaults
	}
	decision := h.service(call.service).gate.Enter(ctx, admitter.Request{
		Customer: call.customer.Name(), Weight: call.customer.Worth(), Worth: call.route.Worth(),
		Priority: call.route.Priority(), Deadline: call.deadline, PredictedDuration: run,
		MaxWait: patience(call), Bytes: len(call.body),
	})
	if decision.Kind() == admitter.Admit {
		return nil
	}
	return NewProblem(http.StatusServiceUnavailable, OutcomeNotRun, "No room",
		"the answer could not be in time: "+string(decision.Reason())).RetryAfter(decision.RetryAfter())
}

// patience returns how long the call may wait for room. The answers of the most urgent
// routes are of use only near their target.
func patience(call *Call) time.Duration {
	if call.route.Priority() == 0 {
		return patienceFactor * call.service.First()
	}
	return 0
}

const patienceFactor = 2

func (h *Handler) fail(w http.ResponseWriter, call *Call, p *Problem, r Result) Result {
	p.Write(w, call.id)
	r.Outcome, r.Status = p.outcome, p.status
	return r
}

func unknownProblem() *Problem {
	return NewProblem(http.StatusGatewayTimeout, OutcomeUnknown, "Answer lost",
		"the call reached an endpoint and no answer came; repeat it with the same Idempotency-Key")
}

func noEndpointProblem() *Problem {
	return NewProblem(http.StatusServiceUnavailable, OutcomeNotRun, "No endpoint",
		"no endpoint took the call").RetryAfter(time.Second)
}

func (h *Handler) began(e lister.Endpoint, route string) {
	if h.cfg.Began != nil {
		h.cfg.Began(e, route)
	}
}

func (h *Handler) ended(e lister.Endpoint, route string, a Attempt) {
	if h.cfg.Ended != nil {
		h.cfg.Ended(e, route, a)
	}
}
