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

// Config holds the dependencies of a handler.
type Config struct {
	Clock     clock.Clock
	Router    *router.Router
	Observer  *observer.Observer
	Limiter   *limiter.Limiter
	Streams   *streamer.Registry
	Admission func() admitter.Policy // nil means admitter.Fair

	// Do sends a call to a plain service.
	Do func(ctx context.Context, to netip.AddrPort, req dialer.Request) (dialer.Answer, error)
	// Status queries a plain service whether the call with the key has run.
	Status func(ctx context.Context, to netip.AddrPort, path, key string) (dialer.KeyStatus, error)
	// Generate starts a stream on an engine.
	Generate func(ctx context.Context, to netip.AddrPort, g dialer.Generation) (*dialer.Stream, error)
	// Export and Import copy a KV cache from one engine to another.
	Export func(ctx context.Context, from netip.AddrPort, request string) (dialer.Handle, error)
	Import func(ctx context.Context, to, from netip.AddrPort, handle string) (dialer.Handle, error)

	// Grace is how long a generation without an idempotency key continues after its last
	// reader has disconnected; 0 means DefaultGrace.
	Grace time.Duration
	// TerminatesAt returns when a leaving endpoint terminates, or the zero time if that
	// is not known. It may be nil.
	TerminatesAt func(endpoint string) time.Time
	// Claimer grants claims for at-most-once calls. If it is nil, they are refused.
	Claimer *claimer.Claimer
	// Peers gives access to the streams of other entries.
	Peers Peers
	// AttemptStarted and AttemptEnded are called at the start and the end of each attempt.
	// They may be nil.
	AttemptStarted func(e lister.Endpoint, route string)
	AttemptEnded   func(e lister.Endpoint, route string, a AttemptResult)
}

// AttemptResult describes how one attempt at an endpoint ended.
type AttemptResult struct {
	Failed   bool          // the endpoint returned an error or an incomplete answer
	Excluded bool          // not to be counted for or against the endpoint
	First    time.Duration // time to the first byte or token
	Next     time.Duration // mean time between two tokens
	Total    time.Duration
}

// Result describes how a call ended, for logs and metrics.
type Result struct {
	Outcome    Outcome
	Status     int
	Endpoint   string
	Attempts   int
	Recomputed int // words and tokens that were prefilled more than once
	Err        error
}

// Handler forwards calls to endpoints. It is safe for concurrent use.
type Handler struct {
	cfg         Config
	base        context.Context
	cancel      context.CancelFunc
	generations sync.WaitGroup // generations in flight

	mu       sync.Mutex
	services map[string]*service
}

// service is the handler's state for one service.
type service struct {
	gate   *admitter.Gate
	budget *retrier.Budget

	mu          sync.Mutex
	lengthRatio float64 // smoothed ratio of an answer's length to the requested maximum
}

// DefaultGrace is how long a caller without an idempotency key can reconnect to its stream.
const DefaultGrace = 3 * time.Second

// New returns a handler. The caller must close it with Close.
func New(cfg Config) *Handler {
	if cfg.Grace == 0 {
		cfg.Grace = DefaultGrace
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Handler{cfg: cfg, base: ctx, cancel: cancel, services: make(map[string]*service)}
}

// Close aborts the generations in flight and stops the handler's goroutines.
func (h *Handler) Close() {
	h.cancel()
	h.generations.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.services {
		s.gate.Close()
	}
}

// Sweep evicts expired state. It is called every few seconds.
func (h *Handler) Sweep(now time.Time) {
	h.cfg.Streams.Sweep(now)
	h.cfg.Limiter.Sweep(now)
	h.cfg.Observer.Sweep(now)
}

// Waiting returns the number of queued calls of each service.
func (h *Handler) Waiting() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	waiting := make(map[string]int, len(h.services))
	for name, s := range h.services {
		waiting[name] = s.gate.Admitter().Waiting()
	}
	return waiting
}

// Serve runs the call and writes its answer to w.
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
			gate:        admitter.NewGate(h.cfg.Clock, admitter.New(policy, admitter.DefaultLimits()), room.room),
			budget:      retrier.NewBudget(retrier.DefaultRatio, retrier.DefaultReserve),
			lengthRatio: 1,
		}
		h.services[s.Name()] = found
	}
	return found
}

// serviceRoom reports a service's free capacity to its admitter.
type serviceRoom struct {
	handler *Handler
	name    string
}

// room returns the entry's share of the service's capacity: its share of the calls in
// flight, but at least an equal share among the entries.
func (s serviceRoom) room(now time.Time) admitter.Room {
	room := s.handler.cfg.Router.Room(now, s.name)
	even := 1 / float64(s.handler.cfg.Observer.Peers()+1)
	return admitter.Room{Free: room.Free(), Limit: room.Limit() * max(room.Share(), even), Reserve: room.Reserve()}
}

// checkLimit returns a problem if the call exceeds its customer's limit.
func (h *Handler) checkLimit(call *Call) *Problem {
	wait, ok := h.cfg.Limiter.Allow(h.cfg.Clock.Now(), call.customer.Name(), limiter.Limit{Rate: call.customer.Rate(), Burst: call.customer.Burst()})
	if ok {
		return nil
	}
	return NewProblem(http.StatusTooManyRequests, OutcomeNotRun, "Over the limit",
		"the customer's calls per second are used up").RetryAfter(wait)
}

// admit waits until the service has capacity for the call. If it returns nil, the caller
// must call Leave on the service's gate after the call.
func (h *Handler) admit(ctx context.Context, call *Call, route router.Call) *Problem {
	now := h.cfg.Clock.Now()
	choice, ok := h.cfg.Router.Estimate(now, route)
	if !ok {
		return noEndpointProblem()
	}
	predicted := choice.Duration()
	if !choice.Known() {
		predicted = 0 // calls are not refused because of default estimates
	}
	decision := h.service(call.service).gate.Enter(ctx, admitter.Request{
		Customer: call.customer.Name(), Weight: call.customer.Worth(), Worth: call.route.Worth(),
		Priority: call.route.Priority(), Deadline: call.deadline, PredictedDuration: predicted,
		MaxWait: maxWait(call), Bytes: len(call.body),
	})
	if decision.Kind() == admitter.Admit {
		return nil
	}
	return NewProblem(http.StatusServiceUnavailable, OutcomeNotRun, "No room",
		"the answer could not be in time: "+string(decision.Reason())).RetryAfter(decision.RetryAfter())
}

// maxWait returns how long the call may wait for admission, or 0 for the admitter's limit.
// Answers on the most urgent routes are useful only close to their target for the time to
// first token.
func maxWait(call *Call) time.Duration {
	if call.route.Priority() == 0 {
		return maxWaitFactor * call.service.First()
	}
	return 0
}

const maxWaitFactor = 2

func (h *Handler) writeProblem(w http.ResponseWriter, call *Call, p *Problem, r Result) Result {
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

func (h *Handler) attemptStarted(e lister.Endpoint, route string) {
	if h.cfg.AttemptStarted != nil {
		h.cfg.AttemptStarted(e, route)
	}
}

func (h *Handler) attemptEnded(e lister.Endpoint, route string, a AttemptResult) {
	if h.cfg.AttemptEnded != nil {
		h.cfg.AttemptEnded(e, route, a)
	}
}
