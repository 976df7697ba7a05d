package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Generation is a request to an engine to generate tokens.
type Generation struct {
	Request  string   `json:"request"`
	Prompt   string   `json:"prompt"`
	Max      int      `json:"max"`
	Priority int      `json:"priority"`
	After    []string `json:"after,omitempty"` // tokens of the answer that were generated before
	KV       string   `json:"kv,omitempty"`    // handle of an imported KV cache
}

// LoadReport is the load of an endpoint at the time At, as reported by the endpoint.
type LoadReport struct {
	ID          string    `json:"id"`
	Service     string    `json:"service"`
	Version     string    `json:"version"`
	Domain      string    `json:"domain"`
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Queued      int       `json:"queued"`
	Slots       int       `json:"slots"`
	KVUsed      int64     `json:"kv_used"`
	KVSize      int64     `json:"kv_size"`
	PrefillRate float64   `json:"prefill_rate"` // prompt tokens per second
	DecodeRate  float64   `json:"decode_rate"`  // tokens per second of a single stream without other load
}

// CacheEvent reports that an engine cached or evicted a prefix.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"`     // "add" or "drop"
	Prefix string `json:"prefix"` // hexadecimal xxhash
}

// Fence is the fencing number of an order. A later one has a larger term, or the same
// term and a larger count.
type Fence struct {
	Term  uint64 `json:"term"`
	Count uint64 `json:"count"`
}

// Order is the complete desired state of an engine.
type Order struct {
	Intent  string `json:"intent"`
	Fence   Fence  `json:"fence"`
	Service string `json:"service"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// Handle identifies an exported KV cache.
type Handle struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
}

// KeyStatus is the state of the call with a key, as reported by a service's status path.
type KeyStatus struct {
	Key    string `json:"key"`
	State  string `json:"state"`
	Status int    `json:"status"`
	Body   string `json:"body"`
}

// Done reports whether the call with the key has run.
func (s KeyStatus) Done() bool { return s.State == keyStateDone }

// Generate starts a stream of tokens. The caller must close the stream. Closing it before
// its end cancels the generation.
func (d *Dialer) Generate(ctx context.Context, to netip.AddrPort, g Generation) (*Stream, error) {
	raw, err := json.Marshal(g)
	if err != nil {
		return nil, fmt.Errorf("encode generation: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.String()+"/generate", bytes.NewReader(raw))
	if err != nil {
		cancel()
		return nil, &SendError{err: err}
	}
	req.Header.Set(contentType, contentTypeJSON)
	req.Header.Set(headerRequest, g.Request)
	resp, used, err := d.send(req)
	if err != nil {
		cancel()
		return nil, err
	}
	isFailure := resp.StatusCode != http.StatusOK
	err = used.checkAnswer(resp, g.Request, isFailure && resp.Header.Get(headerOutcome) == outcomeNotRun)
	if err == nil && isFailure {
		err = &StatusError{status: resp.StatusCode, path: "/generate"}
	}
	if err != nil {
		resp.Body.Close()
		cancel()
		return nil, err
	}
	return newStream(resp.Body, cancel), nil
}

// Load returns the load report of an endpoint.
func (d *Dialer) Load(ctx context.Context, to netip.AddrPort) (LoadReport, error) {
	var report LoadReport
	err := d.callJSON(ctx, http.MethodGet, to, "/load", nil, &report)
	return report, err
}

type cacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// Events returns the cache events of an engine with sequence numbers above after.
func (d *Dialer) Events(ctx context.Context, to netip.AddrPort, after uint64) ([]CacheEvent, error) {
	var events cacheEvents
	err := d.callJSON(ctx, http.MethodGet, to, "/events?after="+strconv.FormatUint(after, 10), nil, &events)
	return events.Events, err
}

type exportRequest struct {
	Request string `json:"request"`
}

// Export requests that the engine export the KV cache of a request in flight.
func (d *Dialer) Export(ctx context.Context, from netip.AddrPort, request string) (Handle, error) {
	var handle Handle
	err := d.callJSON(ctx, http.MethodPost, from, "/kv/export", exportRequest{Request: request}, &handle)
	return handle, err
}

type importRequest struct {
	From   string `json:"from"`
	Handle string `json:"handle"`
}

// Import requests that the engine at to copy an exported KV cache from the one at from.
func (d *Dialer) Import(ctx context.Context, to, from netip.AddrPort, handle string) (Handle, error) {
	var copied Handle
	err := d.callJSON(ctx, http.MethodPost, to, "/kv/import", importRequest{From: from.String(), Handle: handle}, &copied)
	return copied, err
}

// ErrStale is returned if the engine has received an order with a newer fencing number.
var ErrStale = errors.New("the order carries an old fencing number")

// Order sends an engine its desired state. It returns ErrStale if the engine rejects the
// fencing number as old.
func (d *Dialer) Order(ctx context.Context, to netip.AddrPort, order Order) error {
	err := d.callJSON(ctx, http.MethodPost, to, "/orders", order, nil)
	var refused *StatusError
	if errors.As(err, &refused) && refused.status == http.StatusConflict {
		return ErrStale
	}
	return err
}

// CurrentOrder returns the order that an engine follows.
func (d *Dialer) CurrentOrder(ctx context.Context, to netip.AddrPort) (Order, error) {
	var order Order
	err := d.callJSON(ctx, http.MethodGet, to, "/orders", nil, &order)
	return order, err
}

// Status queries the status path of a service for a key. If the call has not run and will
// not run, the error is a *StatusError with status 404.
func (d *Dialer) Status(ctx context.Context, to netip.AddrPort, path, key string) (KeyStatus, error) {
	var status KeyStatus
	err := d.callJSON(ctx, http.MethodGet, to, expandKey(path, key), nil, &status)
	return status, err
}

func expandKey(path, key string) string {
	return strings.Replace(path, "{key}", url.PathEscape(key), 1)
}
