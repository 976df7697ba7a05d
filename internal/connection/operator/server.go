package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	"hyssoprudder/internal/connection/certifier"
	"hyssoprudder/internal/connection/listener"
	"hyssoprudder/internal/connection/screener"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/reserver"
)

const (
	maxBodyBytes  = 2 << 20 // bytes
	headerTimeout = 5 * time.Second
	bodyTimeout   = 20 * time.Second
	idleTimeout   = time.Minute
)

// Config holds the settings of a server and the functions that answer requests.
// If a function returns a *Fault, it is sent unchanged; any other error is sent
// with CodeUnavailable.
type Config struct {
	Listen    netip.AddrPort
	Token     string
	Certifier *certifier.Certifier // nil without TLS
	Clock     clock.Clock
	Log       *log.Logger
	Metrics   http.Handler
	// Budget bounds what operators may make the process hold. It may be nil.
	Budget *reserver.Budget

	Rules     func(ctx context.Context) (Rules, error)
	Apply     func(ctx context.Context, change Change) (ChangeResult, error)
	History   func(ctx context.Context) ([]Revision, error)
	Waiting   func(ctx context.Context, revision uint64) Waiting
	Members   func() []Member
	Endpoints func() []Endpoint
	Moves     func(ctx context.Context) ([]Move, error)
	Abort     func(ctx context.Context, service string) (Move, error)
	Domains   func(ctx context.Context) ([]Domain, error)
	// SetEvacuated starts or ends the evacuation of a failure domain.
	SetEvacuated func(ctx context.Context, domain string, evacuated bool) (Domain, error)
	Claim        func(ctx context.Context, customer, key string) (Claim, error)
	State        func() (any, error)
	// Partition is nil if the settings do not allow drills.
	Partition func(partition Partition) error
}

// Server serves the operator API.
type Server struct {
	cfg      Config
	token    [sha256.Size]byte
	listener *listener.Listener
}

// NewServer returns a server that does not listen yet.
func NewServer(cfg Config) *Server {
	s := &Server{cfg: cfg, token: sha256.Sum256([]byte(cfg.Token))}
	s.listener = listener.New("operators", &http.Server{
		Handler: s.routes(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}, cfg.Certifier, cfg.Log)
	screen := screener.New(func() screener.Limits { return screener.Limits{Head: headerTimeout} }, cfg.Clock.Now)
	screen.SetBounds(screener.Bounds{Budget: cfg.Budget})
	s.listener.Screen(screen)
	return s
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rules", answer(func(r *http.Request) (any, error) { return s.cfg.Rules(r.Context()) }))
	mux.HandleFunc("POST /rules", answer(s.apply))
	mux.HandleFunc("GET /rules/history", answer(func(r *http.Request) (any, error) { return s.cfg.History(r.Context()) }))
	mux.HandleFunc("GET /rules/waiting", answer(s.waiting))
	mux.HandleFunc("GET /members", answer(func(*http.Request) (any, error) { return s.cfg.Members(), nil }))
	mux.HandleFunc("GET /endpoints", answer(func(*http.Request) (any, error) { return s.cfg.Endpoints(), nil }))
	mux.HandleFunc("GET /moves", answer(func(r *http.Request) (any, error) { return s.cfg.Moves(r.Context()) }))
	mux.HandleFunc("POST /moves/{service}/abort", answer(func(r *http.Request) (any, error) {
		return s.cfg.Abort(r.Context(), r.PathValue("service"))
	}))
	mux.HandleFunc("GET /domains", answer(func(r *http.Request) (any, error) { return s.cfg.Domains(r.Context()) }))
	mux.HandleFunc("POST /domains/{domain}/evacuate", answer(func(r *http.Request) (any, error) {
		return s.cfg.SetEvacuated(r.Context(), r.PathValue("domain"), true)
	}))
	mux.HandleFunc("POST /domains/{domain}/return", answer(func(r *http.Request) (any, error) {
		return s.cfg.SetEvacuated(r.Context(), r.PathValue("domain"), false)
	}))
	mux.HandleFunc("GET /claims", answer(func(r *http.Request) (any, error) {
		return s.cfg.Claim(r.Context(), r.FormValue("customer"), r.FormValue("key"))
	}))
	mux.HandleFunc("GET /state", answer(func(*http.Request) (any, error) { return s.cfg.State() }))
	if s.cfg.Partition != nil {
		mux.HandleFunc("POST /links/cut", answer(s.cutLinks))
	}
	mux.Handle("GET /metrics", s.cfg.Metrics)
	return s.authenticate(mux)
}

// Start listens and serves until Stop.
func (s *Server) Start() error { return s.listener.Start(s.cfg.Listen) }

// Address returns the address that the server listens on.
func (s *Server) Address() netip.AddrPort { return s.listener.Address() }

// Stop shuts the server down after the requests in flight; when ctx ends, it closes
// the remaining connections.
func (s *Server) Stop(ctx context.Context) {
	if err := s.listener.Stop(ctx); err != nil {
		s.listener.Abort()
	}
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare(sum[:], s.token[:]) != 1 {
			writeFault(w, http.StatusUnauthorized, &Fault{Code: CodeInvalid, Message: "the operators' token is missing or wrong; name its file with -token"})
			return
		}
		if fault := s.receive(w, r); fault != nil {
			w.Header().Set("Connection", "close") // the rest of the body is not read
			writeFault(w, statuses[fault.Code], fault)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// receive reads the body of a request, in time and within the memory for requests.
func (s *Server) receive(w http.ResponseWriter, r *http.Request) *Fault {
	if r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(w)
	body, err := reserver.FromContext(r.Context()).ReadBody(r.Body, r.ContentLength, maxBodyBytes, func(received int64) error {
		if received > 0 {
			return nil
		}
		return control.SetReadDeadline(s.cfg.Clock.Now().Add(bodyTimeout))
	})
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	switch {
	case errors.Is(err, reserver.ErrFull):
		return &Fault{Code: CodeUnavailable, Message: err.Error()}
	case err != nil:
		return &Fault{Code: CodeInvalid, Message: "the body cannot be read: " + err.Error()}
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

func (s *Server) apply(r *http.Request) (any, error) {
	change, err := decode[Change](r)
	if err != nil {
		return nil, err
	}
	if change.ID == "" {
		return nil, &Fault{Code: CodeInvalid, Message: "the change needs an id"}
	}
	return s.cfg.Apply(r.Context(), change)
}

func (s *Server) cutLinks(r *http.Request) (any, error) {
	partition, err := decode[Partition](r)
	if err != nil {
		return nil, err
	}
	return partition, s.cfg.Partition(partition)
}

// decode reads the JSON body of a request.
func decode[T any](r *http.Request) (T, error) {
	var value T
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return value, &Fault{Code: CodeInvalid, Message: err.Error()}
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		return value, &Fault{Code: CodeInvalid, Message: "the body is not as expected: " + err.Error()}
	}
	return value, nil
}

func (s *Server) waiting(r *http.Request) (any, error) {
	revision, err := strconv.ParseUint(r.FormValue("revision"), 10, 64)
	if err != nil {
		return nil, &Fault{Code: CodeInvalid, Message: "revision must be a whole number"}
	}
	return s.cfg.Waiting(r.Context(), revision), nil
}

// answer adapts a function to an HTTP handler: it sends the value as JSON and an error
// as a Fault.
func answer(fn func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := fn(r)
		if err != nil {
			fault := &Fault{Code: CodeUnavailable, Message: err.Error()}
			errors.As(err, &fault)
			writeFault(w, statuses[fault.Code], fault)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the operator has disconnected. Changes can be
		// repeated safely, since they are idempotent by id.
		_ = json.NewEncoder(w).Encode(value)
	}
}

var statuses = map[Code]int{
	CodeInvalid:     http.StatusUnprocessableEntity,
	CodeConflict:    http.StatusConflict,
	CodeUnavailable: http.StatusServiceUnavailable,
	CodeUnknown:     http.StatusGatewayTimeout,
	CodeNotFound:    http.StatusNotFound,
}

func writeFault(w http.ResponseWriter, status int, fault *Fault) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fault)
}
