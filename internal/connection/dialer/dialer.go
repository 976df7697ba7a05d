// Package dialer is the HTTP client for endpoints, which are model engines and plain
// services. No other package implements their protocol, which docs/PROTOCOLS.md
// describes.
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

	"hyssoprudder/internal/connection/inspector"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/reserver"
)

const (
	connectTimeout = time.Second
	idleTimeout    = time.Minute
	maxConns       = 256
	maxIdleConns   = 64
	maxAnswerBytes = 8 << 20
	maxHeaderBytes = 16 << 10
	// maxReportBytes bounds the answers that nodes ask for themselves, in bytes.
	maxReportBytes = 1 << 20
	// maxAnswerMemory bounds the memory for all answers that are being read, in bytes, besides
	// freeAnswer bytes for each of them.
	maxAnswerMemory = 24 << 20
	freeAnswer      = 16 << 10
	headerRequest   = "Request"
	headerOutcome   = "Outcome"
	headerKey       = "Idempotency-Key"
	outcomeNotRun   = "notrun"
	contentType     = "Content-Type"
	contentTypeJSON = "application/json"
	keyStateDone    = "done"
)

// ErrNotRun is returned if the endpoint itself reported that it did not run the call.
var ErrNotRun = errors.New("the endpoint did not run the call")

// ErrTooLarge is returned if an answer is larger than maxAnswerBytes, or than the memory that is
// left for answers.
var ErrTooLarge = errors.New("the answer of the endpoint is too large")

// SendError is the error of a call that failed before its answer was received completely.
type SendError struct {
	sent bool
	err  error
}

// Error returns the text of the cause and whether the call was sent.
func (e *SendError) Error() string {
	if e.sent {
		return "call may have reached the endpoint: " + e.err.Error()
	}
	return "call did not reach the endpoint: " + e.err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.err }

// Sent reports whether the endpoint may have received any byte of the call.
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
	memory *reserver.Memory
}

// New returns a dialer without open connections.
func New() *Dialer {
	connect := &net.Dialer{Timeout: connectTimeout, KeepAlive: 15 * time.Second}
	return &Dialer{memory: reserver.New(maxAnswerMemory, freeAnswer), client: &http.Client{
		Transport: inspector.NewTransport(&http.Transport{
			DialContext:            dialTracked(connect),
			MaxConnsPerHost:        maxConns,
			MaxIdleConnsPerHost:    maxIdleConns,
			MaxIdleConns:           0,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		}, clock.System{}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes the idle connections.
func (d *Dialer) Close() { d.client.CloseIdleConnections() }

// Request is one call to a plain service.
type Request struct {
	ID     string
	Key    string
	Method string
	Path   string // including the query
	Header http.Header
	Body   []byte
}

// Answer is the complete answer of a plain service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends one call to a plain service and reads the complete answer. The error is a
// *SendError, ErrNotRun or ErrTooLarge.
func (d *Dialer) Do(ctx context.Context, to netip.AddrPort, req Request) (Answer, error) {
	// With a body that cannot be rewound, net/http does not repeat the call by itself
	// when a pooled connection breaks.
	body := io.NopCloser(bytes.NewReader(req.Body))
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+to.String()+req.Path, body)
	if err != nil {
		return Answer{}, &SendError{err: err}
	}
	out.ContentLength = int64(len(req.Body))
	if len(req.Body) == 0 {
		out.ContentLength = -1
	}
	copyForwardedHeaders(out.Header, req.Header)
	out.Header.Set(headerRequest, req.ID)
	if req.Key != "" {
		out.Header.Set(headerKey, req.Key)
	}
	resp, used, err := d.send(out)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	isRefusal := resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(headerOutcome) == outcomeNotRun
	if err := used.checkAnswer(resp, req.ID, isRefusal); err != nil {
		return Answer{}, err
	}
	content, err := d.readAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return Answer{}, err
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: content}, nil
}

// send sends the request and records whether anything was sent. The call counts as sent
// as soon as it has been assigned a connection.
func (d *Dialer) send(req *http.Request) (*http.Response, usedConn, error) {
	var used atomic.Pointer[usedConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn.(*inspector.Conn).Conn.(*trackedConn)
		used.Store(&usedConn{conn: conn, isReused: info.Reused})
	}}
	resp, err := d.client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, usedConn{}, &SendError{sent: used.Load() != nil, err: err}
	}
	return resp, *used.Load(), nil
}

func (d *Dialer) readAll(body io.Reader, limit int) ([]byte, error) {
	memory := d.memory.Reserve()
	defer memory.Release()
	content, isWhole, err := memory.ReadAll(body, limit)
	if err != nil {
		return nil, &SendError{sent: true, err: err}
	}
	if !isWhole {
		return nil, ErrTooLarge
	}
	return content, nil
}

// forwardedHeaders are the request headers of a caller that are sent to the endpoint.
var forwardedHeaders = []string{contentType, "Accept", "Accept-Language"}

func copyForwardedHeaders(to, from http.Header) {
	for _, name := range forwardedHeaders {
		if values := from.Values(name); len(values) > 0 {
			to[name] = values
		}
	}
}

// callJSON sends in as JSON, if it is not nil, and decodes the answer into out, if that is
// not nil.
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
	resp, _, err := d.send(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	content, err := d.readAll(resp.Body, maxReportBytes)
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

// StatusError is returned for an answer with a status other than 200.
type StatusError struct {
	status int
	path   string
}

// Error returns the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d %s", e.path, e.status, http.StatusText(e.status))
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }
