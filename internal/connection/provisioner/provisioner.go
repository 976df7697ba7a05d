// Package provisioner is the client of the cloud platform and of its weight
// store.
package provisioner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"hyssoprudder/internal/process/lister"
)

// maxAnswer bounds the answers of the platform, in bytes.
const maxAnswer = 16 << 20

// The ways in which the platform or an engine declines.
var (
	// ErrRefused means that the platform has no capacity for a start (503).
	ErrRefused = errors.New("the platform refused")
	// ErrMissing means that the platform does not know the instance (404).
	ErrMissing = errors.New("no such instance")
)

// BusyError means that the platform or the weight store is rate-limited (429).
type BusyError struct {
	after time.Duration
}

// Error returns the message.
func (e *BusyError) Error() string { return fmt.Sprintf("rate-limited, retry after %s", e.after) }

// After returns how long to wait at least; 0 if that was not said.
func (e *BusyError) After() time.Duration { return e.after }

// StatusError is any other answer that is not a success.
type StatusError struct {
	status int
}

// Error returns the message.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.status) }

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Instance is one entry of the platform's lagging list.
type Instance struct {
	ID      string        `json:"id"`
	Address string        `json:"address"`
	Domain  string        `json:"domain"`
	Class   string        `json:"class"`
	Market  lister.Market `json:"market"`
	Price   float64       `json:"price"`
	Service string        `json:"service"`
	Version string        `json:"version"`
	State   string        `json:"state"`
	Until   time.Time     `json:"until"`
}

// Leaving reports whether the instance has been reclaimed or given back.
func (i Instance) Leaving() bool { return i.State != "live" }

// Endpoint returns the instance as an endpoint.
func (i Instance) Endpoint() (lister.Endpoint, error) {
	address, err := netip.ParseAddrPort(i.Address)
	if err != nil {
		return lister.Endpoint{}, fmt.Errorf("instance %s: %w", i.ID, err)
	}
	return lister.NewEndpoint(lister.Spec{
		ID: i.ID, Service: i.Service, Version: i.Version, Domain: i.Domain,
		Class: i.Class, Market: i.Market, Price: i.Price, Address: address,
	}), nil
}

// List is the platform's list as it was at a time.
type List struct {
	At        time.Time  `json:"at"`
	Instances []Instance `json:"instances"`
}

// Notice announces that an instance is reclaimed at a time.
type Notice struct {
	Seq   uint64    `json:"seq"`
	ID    string    `json:"id"`
	Until time.Time `json:"until"`
}

// Class is something that the platform sells.
type Class struct {
	Class  string        `json:"class"`
	Domain string        `json:"domain"`
	Market lister.Market `json:"market"`
	Price  float64       `json:"price"`
}

// Start asks for an instance. The same intent gives the same instance.
type Start struct {
	Intent  string        `json:"intent"`
	Domain  string        `json:"domain"`
	Class   string        `json:"class"`
	Market  lister.Market `json:"market"`
	Service string        `json:"service"`
	Version string        `json:"version"`
}

// Client calls the platform. It is safe for concurrent use. Calls end with
// their context.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at an address.
func New(platform netip.AddrPort) *Client {
	return &Client{
		base: "http://" + platform.String(),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}},
	}
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Instances returns the platform's list.
func (c *Client) Instances(ctx context.Context) (List, error) {
	var list List
	err := c.call(ctx, http.MethodGet, c.base+"/instances", nil, &list)
	return list, err
}

// Notices returns the notices after a sequence number. A notice may come late
// or twice.
func (c *Client) Notices(ctx context.Context, after uint64) ([]Notice, error) {
	var answer struct {
		Notices []Notice `json:"notices"`
	}
	err := c.call(ctx, http.MethodGet, c.base+"/notices?after="+strconv.FormatUint(after, 10), nil, &answer)
	return answer.Notices, err
}

// Classes returns what the platform sells.
func (c *Client) Classes(ctx context.Context) ([]Class, error) {
	var answer struct {
		Classes []Class `json:"classes"`
	}
	err := c.call(ctx, http.MethodGet, c.base+"/classes", nil, &answer)
	return answer.Classes, err
}

// Start starts an instance. The error is ErrRefused or a *BusyError if the
// platform has declined; after any other error it may have started.
func (c *Client) Start(ctx context.Context, start Start) (Instance, error) {
	var instance Instance
	err := c.call(ctx, http.MethodPost, c.base+"/instances", start, &instance)
	return instance, err
}

// Release gives an instance back. ErrMissing means that it is gone already.
func (c *Client) Release(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, c.base+"/instances/"+url.PathEscape(id), nil, nil)
}

// Load starts the transfer of weights to an instance.
func (c *Client) Load(ctx context.Context, service, version, id string) error {
	body := struct {
		Service string `json:"service"`
		Version string `json:"version"`
		ID      string `json:"id"`
	}{service, version, id}
	return c.call(ctx, http.MethodPost, c.base+"/weights", body, nil)
}

func (c *Client) call(ctx context.Context, method, address string, body, answer any) error {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, reader)
	if err != nil {
		return fmt.Errorf("make request: %w", err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, address, err)
	}
	defer response.Body.Close()
	if err := declined(response); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswer))
		return fmt.Errorf("%s %s: %w", method, address, err)
	}
	if answer == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswer))
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(answer); err != nil {
		return fmt.Errorf("%s %s: decode answer: %w", method, address, err)
	}
	return nil
}

func declined(response *http.Response) error {
	switch status := response.StatusCode; {
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrMissing
	case status == http.StatusServiceUnavailable:
		return ErrRefused
	case status == http.StatusTooManyRequests:
		seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
		if err != nil || seconds < 0 {
			seconds = 0
		}
		return &BusyError{after: time.Duration(seconds) * time.Second}
	default:
		return &StatusError{status: status}
	}
}
