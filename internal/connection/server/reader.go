package server

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/process/reserver"
	"hyssoprudder/internal/request/handler"
)

const (
	maxKeyBytes = 255 // bytes
	minTimeout  = time.Millisecond
	maxTimeout  = time.Hour
)

// index finds customers by the hash of their token and routes by path, for one set of rules.
type index struct {
	rules     *parser.Rules
	customers map[string]parser.Customer
}

func (s *Server) rulesIndex() *index {
	rules := s.cfg.Rules()
	if rules == nil {
		return nil
	}
	current := s.index.Load()
	if current != nil && current.rules == rules {
		return current
	}
	updated := &index{rules: rules, customers: make(map[string]parser.Customer)}
	for _, c := range rules.Customers() {
		updated.customers[c.TokenHash()] = c
	}
	s.index.Store(updated)
	return updated
}

// route returns the route with the longest path that is a prefix of path.
func (x *index) route(path string) (parser.Route, bool) {
	var best parser.Route
	found := false
	for _, r := range x.rules.Routes() {
		if hasPathPrefix(path, r.Path()) && (!found || len(r.Path()) > len(best.Path())) {
			best, found = r, true
		}
	}
	return best, found
}

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// read validates an HTTP request and returns it as a call, or the problem to answer with.
func (s *Server) read(w http.ResponseWriter, r *http.Request, id string, start time.Time) (*handler.Call, *handler.Problem) {
	x := s.rulesIndex()
	if x == nil {
		return nil, refuse(http.StatusServiceUnavailable, "Not ready", "this entry has no rules yet").RetryAfter(time.Second)
	}
	customer, ok := x.customer(r)
	if !ok {
		return nil, refuse(http.StatusUnauthorized, "Unknown caller", "the bearer token names no customer")
	}
	route, ok := x.route(r.URL.Path)
	if !ok {
		return nil, refuse(http.StatusNotFound, "No route", "no route leads this path on")
	}
	service, _ := x.rules.Service(route.Service())
	f := handler.Fields{
		ID: id, Customer: customer, Route: route, Service: service, Key: r.Header.Get(handler.HeaderKey),
		Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Start: start,
	}
	if problem := s.readHeaders(&f, r); problem != nil {
		return nil, problem
	}
	body, problem := s.readBody(w, r)
	if problem != nil {
		return nil, problem
	}
	f.Body = body
	return handler.NewCall(f), nil
}

func (x *index) customer(r *http.Request) (parser.Customer, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return parser.Customer{}, false
	}
	sum := sha256.Sum256([]byte(token))
	customer, ok := x.customers[hex.EncodeToString(sum[:])]
	return customer, ok
}

func (s *Server) readHeaders(f *handler.Fields, r *http.Request) *handler.Problem {
	if len(f.Key) > maxKeyBytes {
		return refuse(http.StatusBadRequest, "Bad key", fmt.Sprintf("Idempotency-Key may have %d bytes", maxKeyBytes))
	}
	if f.Route.Once() && f.Key == "" && r.Method != http.MethodGet && r.Method != http.MethodHead {
		return refuse(http.StatusBadRequest, "Key needed", "this call runs at most once and needs an Idempotency-Key")
	}
	timeout := f.Service.Timeout()
	if text := r.Header.Get(handler.HeaderTimeout); text != "" {
		var err error
		timeout, err = time.ParseDuration(text)
		if err != nil || timeout < minTimeout || timeout > maxTimeout {
			return refuse(http.StatusBadRequest, "Bad timeout", "Timeout must be a duration from 1ms to 1h, such as 1500ms")
		}
	}
	f.Deadline = f.Start.Add(timeout)
	if text := r.Header.Get(handler.HeaderLastEventID); text != "" {
		after, err := strconv.Atoi(text)
		if err != nil || after < 0 {
			return refuse(http.StatusBadRequest, "Bad event id", "Last-Event-ID must be a whole number")
		}
		f.After = after
	}
	return nil
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *handler.Problem) {
	control := http.NewResponseController(w)
	// The deadline protects against callers that send the body slowly.
	if err := control.SetReadDeadline(s.cfg.Clock.Now().Add(s.cfg.Limits.Read())); err != nil {
		return nil, refuse(http.StatusInternalServerError, "Connection", err.Error())
	}
	body, err := reserver.FromContext(r.Context()).ReadBody(r.Body, r.ContentLength, s.cfg.Limits.Body(), func(int64) error { return nil })
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body is not read
	}
	switch {
	case errors.Is(err, reserver.ErrTooLarge):
		return nil, refuse(http.StatusRequestEntityTooLarge, "Body too large", fmt.Sprintf("the body may have %d bytes", s.cfg.Limits.Body()))
	case errors.Is(err, reserver.ErrFull):
		return nil, refuse(http.StatusServiceUnavailable, "Busy", "the memory for requests is full").RetryAfter(time.Second)
	case err != nil:
		return nil, refuse(http.StatusRequestTimeout, "Body cut", "the body did not arrive whole in time")
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, refuse(http.StatusInternalServerError, "Connection", err.Error())
	}
	return body, nil
}

func refuse(status int, title, detail string) *handler.Problem {
	return handler.NewProblem(status, handler.OutcomeNotRun, title, detail)
}
