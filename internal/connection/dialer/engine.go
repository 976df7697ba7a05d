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

// Generation asks an engine for tokens.
type Generation struct {
	Request  string   `json:"request"`
	Prompt   string   `json:"prompt"`
	Max      int      `json:"max"`
	Priority int      `json:"priority"`
	After    []string `json:"after,omitempty"`
	KV       string   `json:"kv,omitempty"`
}

// LoadReport is what an endpoint says of its load, as it was at the time At.
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
	PrefillRate float64   `json:"prefill_rate"` // prompt tokens a second
	DecodeRate  float64   `json:"decode_rate"`  // tokens a second of one stream, alone
}

// CacheEvent says that an engine cached or dropped a prefix.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Op     string `json:"op"`     // "add" or "drop"
	Prefix string `json:"prefix"` // hexadecimal xxhash
}

// Fence is the fencing number of an order; a later one has a larger term, or
// the same term and a larger count.
type Fence struct {
	Term  uint64 `json:"term"`
	Count uint64 `json:"count"`
}

// Order is the full state that an engine is to reach.
type Order struct {
	Intent  string `json:"intent"`
	Fence   Fence  `json:"fence"`
	Service string `json:"service"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// Handle names an exported KV cache.
type Handle struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
}

// KeyStatus is what a service's status path says of a call with a key.
type KeyStatus struct {
	Key    string `json:"key"`
	State  string `json:"state"`
	Status int    `json:"status"`
	Body   string `json:"body"`
}

// Done reports whether the call with the key has run.
func (s KeyStatus) Done() bool { return s.State == statusPathAnswer }

// Generate starts a stream of tokens. The caller closes the stream; closing it
// before its end cancels the generation.
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
	resp, err := d.send(req)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		notRun := resp.Header.Get(headerOutcome) == outcomeNotRun
		resp.Body.Close()
		cancel()
		if notRun {
			return nil, ErrNotRun
		}
		return nil, &StatusError{status: resp.StatusCode, path: "/generate"}
	}
	return newStream(resp.Body, cancel), nil
}

// Load reads the load report of an endpoint.
func (d *Dialer) Load(ctx context.Context, to netip.AddrPort) (LoadReport, error) {
	var report LoadReport
	err := d.callJSON(ctx, http.MethodGet, to, "/load", nil, &report)
	return report, err
}

type cacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// Events reads the cache events of an engine after a sequence number.
func (d *Dialer) Events(ctx context.Context, to netip.AddrPort, after uint64) ([]CacheEvent, error) {
	var events cacheEvents
	err := d.callJSON(ctx, http.MethodGet, to, "/events?after="+strconv.FormatUint(after, 10), nil, &events)
	return events.Events, err
}

type exportRequest struct {
	Request string `json:"request"`
}

// Export makes the engine export the KV cache of a running request.
func (d *Dialer) Export(ctx context.Context, from netip.AddrPort, request string) (Handle, error) {
	var handle Handle
	err := d.callJSON(ctx, http.MethodPost, from, "/kv/export", exportRequest{Request: request}, &handle)
	return handle, err
}

type importRequest struct {
	From   string `json:"from"`
	Handle string `json:"handle"`
}

// Import makes an engine copy an exported KV cache from another.
func (d *Dialer) Import(ctx context.Context, to, from netip.AddrPort, handle string) (Handle, error) {
	var copied Handle
	err := d.callJSON(ctx, http.MethodPost, to, "/kv/import", importRequest{From: from.String(), Handle: handle}, &copied)
	return copied, err
}

// ErrStale says that an engine has seen an order with a newer fencing number.
var ErrStale = errors.New("the order carries an old fencing number")

// Order gives an engine the state that it is to reach. An engine that checks
// fencing numbers refuses an old one, which is ErrStale.
func (d *Dialer) Order(ctx context.Context, to netip.AddrPort, order Order) error {
	err := d.callJSON(ctx, http.MethodPost, to, "/orders", order, nil)
	var refused *StatusError
	if errors.As(err, &refused) && refused.status == http.StatusConflict {
		return ErrStale
	}
	return err
}

// Ordered reads back the order that an engine follows.
func (d *Dialer) Ordered(ctx context.Context, to netip.AddrPort) (Order, error) {
	var order Order
	err := d.callJSON(ctx, http.MethodGet, to, "/orders", nil, &order)
	return order, err
}

// Status asks the status path of a service for a key. A call that has not run
// and will not run is reported by a *StatusError with status 404.
func (d *Dialer) Status(ctx context.Context, to netip.AddrPort, path, key string) (KeyStatus, error) {
	var status KeyStatus
	err := d.callJSON(ctx, http.MethodGet, to, expandKey(path, key), nil, &status)
	return status, err
}

func expandKey(path, key string) string {
	return strings.Replace(path, "{key}", url.PathEscape(key), 1)
}
