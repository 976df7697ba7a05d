// Package dialer is the HTTP client of the endpoints: model engines and plain
// services. It is the one package that knows their protocol, which is
// described in docs/PROTOCOLS.md.
package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"
)

const (
	connectTimeout   = time.Second
	idleTimeout      = time.Minute
	maxConns         = 256
	maxIdleConns     = 64
	maxAnswer        = 8 << 20 // bytes
	maxHeader        = 64 << 10
	headerRequest    = "Request"
	headerOutcome    = "Outcome"
	headerKey        = "Idempotency-Key"
	outcomeNotRun    = "notrun"
	contentType      = "Content-Type"
	contentTypeJSON  = "application/json"
	statusPathAnswer = "done"
)

// ErrNotRun says that the endpoint itself declared that it did not run the call.
var ErrNotRun = errors.New("the endpoint did not run the call")

// ErrTooLarge says that an answer was larger than the bound.
var ErrTooLarge = errors.New("the answer of the endpoint is too large")

// SendError is a failed call. Sent tells whether the endpoint may have seen any
// byte of it.
type SendError struct {
	sent bool
	err  error
}

// Error returns the text of the cause.
func (e *SendError) Error() string {
	if e.sent {
		return "call may have reached the endpoint: " + e.err.Error()
	}
	return "call did not reach the endpoint: " + e.err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.err }

// Sent reports whether the endpoint may have seen any byte of the call.
func (e *SendError) Sent() bool { return e.sent }

// MayHaveRun reports whether a call that ended with err may have run.
func MayHaveRun(err error) bool {
	if err == nil {
		return true
	}
	if errors.Is(err, ErrNotRun) {
		return false
	}
	var send *SendError
	return !errors.As(err, &send) || send.sent
}

// Dialer calls endpoints over pooled connections. It is safe for concurrent use.
type Dialer struct {
	client *http.Client
}

// New returns a dialer with an empty pool.
func New() *Dialer {
	connect := &net.Dialer{Timeout: connectTimeout, KeepAlive: 15 * time.Second}
	return &Dialer{client: &http.Client{
		Transport: &http.Transport{
			DialContext:            connect.DialContext,
			MaxConnsPerHost:        maxConns,
			MaxIdleConnsPerHost:    maxIdleConns,
			MaxIdleConns:           0,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeader,
			DisableCompression:     true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close drops the idle connections.
func (d *Dialer) Close() { d.client.CloseIdleConnections() }

// Request is one call to a plain service.
type Request struct {
	ID     string
	Key    string
	Method string
	Path   string // with the query
	Header http.Header
	Body   []byte
}

// Answer is the whole answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends one call to a plain service and reads the whole answer. The error is
// a *SendError, ErrNotRun or ErrTooLarge.
func (d *Dialer) Do(ctx context.Context, to netip.AddrPort, req Request) (Answer, error) {
	// A body that cannot be rewound keeps net/http from repeating the call on
	// its own when a pooled connection breaks.
	body := io.NopCloser(bytes.NewReader(req.Body))
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+to.String()+req.Path, body)
	if err != nil {
		return Answer{}, &SendError{err: err}
	}
	out.ContentLength = int64(len(req.Body))
	if len(req.Body) == 0 {
		out.ContentLength = -1
	}
	copyHeader(out.Header, req.Header)
	out.Header.Set(headerRequest, req.ID)
	if req.Key != "" {
		out.Header.Set(headerKey, req.Key)
	}
	resp, err := d.send(out)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerOutcome) == outcomeNotRun {
		return Answer{}, ErrNotRun
	}
	content, err := readAll(resp.Body)
	if err != nil {
		return Answer{}, err
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: content}, nil
}

// send runs the round trip and notes whether anything was written. A
// connection counts as written to as soon as the call has been given to it.
func (d *Dialer) send(req *http.Request) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	resp, err := d.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, &SendError{sent: sent.Load(), err: err}
	}
	return resp, nil
}

func readAll(body io.Reader) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxAnswer+1))
	if err != nil {
		return nil, &SendError{sent: true, err: err}
	}
	if len(content) > maxAnswer {
		return nil, ErrTooLarge
	}
	return content, nil
}

// passedHeaders are the headers of a caller that an endpoint sees.
var passedHeaders = []string{contentType, "Accept", "Accept-Language"}

func copyHeader(to, from http.Header) {
	for _, name := range passedHeaders {
		if values := from.Values(name); len(values) > 0 {
			to[name] = values
		}
	}
}

// callJSON sends in, if it is not nil, and decodes the answer into out.
func (d *Dialer) callJSON(ctx context.Context, method string, to netip.AddrPort, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode %s: %w", path, err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, body)
	if err != nil {
		return &SendError{err: err}
	}
	req.Header.Set(contentType, contentTypeJSON)
	resp, err := d.send(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	content, err := readAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &StatusError{status: resp.StatusCode, path: path}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(content, out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return nil
}

// StatusError is an answer with a status other than 200.
type StatusError struct {
	status int
	path   string
}

// Error names the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d %s", e.path, e.status, http.StatusText(e.status))
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }
