// Package provisioner is a client of the provider's API, including its store of
// model weights.
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

	"hyssoprudder/internal/connection/inspector"
	"hyssoprudder/internal/connection/splitter"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/lister"
)

// maxAnswerBytes limits the size of the provider's answers, in bytes.
const maxAnswerBytes = 16 << 20

// Errors of the provider's API.
var (
	// ErrNoCapacity means that the provider has no capacity for a start (503).
	ErrNoCapacity = errors.New("the provider has no capacity")
	// ErrNotFound means that the provider does not know the instance (404).
	ErrNotFound = errors.New("no such instance")
)

// RateLimitedError means that the provider or the weight store rate-limited the request (429).
type RateLimitedError struct {
	retryAfter time.Duration
}

// Error returns the message.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("rate-limited, retry after %s", e.retryAfter)
}

// RetryAfter returns the minimum time before a retry, or 0 if the answer did not state one.
func (e *RateLimitedError) RetryAfter() time.Duration { return e.retryAfter }

// StatusError means that the answer had any other status than success.
type StatusError struct {
	status int
}

// Error returns the message.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.status) }

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// The states of an instance.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// Instance is one entry of the provider's list, which may lag behind.
type Instance struct {
	ID           string        `json:"id"`
	Address      string        `json:"address"`
	Domain       string        `json:"domain"`
	Class        string        `json:"class"`
	Market       lister.Market `json:"market"`
	Price        float64       `json:"price"`
	Service      string        `json:"service"`
	Version      string        `json:"version"`
	State        string        `json:"state"`
	TerminatesAt time.Time     `json:"until"`
}

// Leaving reports whether the instance is being reclaimed or has been released.
func (i Instance) Leaving() bool { return i.State != stateLive }

// Endpoint returns the instance as an endpoint. The error says why the entry, which another system may have
// written, names none.
func (i Instance) Endpoint() (lister.Endpoint, error) {
	address, err := netip.ParseAddrPort(i.Address)
	switch {
	case err != nil:
		return lister.Endpoint{}, fmt.Errorf("instance %s: %w", i.ID, err)
	case !lister.IsReachable(address):
		return lister.Endpoint{}, fmt.Errorf("instance %s: no process can have the address %s", i.ID, address)
	case i.State != stateLive && i.State != stateLeaving:
		return lister.Endpoint{}, fmt.Errorf("instance %s: unknown state %q", i.ID, i.State)
	case i.Service == "" || !i.isUsable():
		return lister.Endpoint{}, fmt.Errorf("instance %s: no service, or a value out of range", i.ID)
	}
	return lister.NewEndpoint(lister.Spec{
		ID: i.ID, Service: i.Service, Version: i.Version, Domain: i.Domain,
		Class: i.Class, Market: i.Market, Price: i.Price, Address: address,
	}), nil
}

// List is the provider's list of instances at a point in time.
type List struct {
	At        time.Time
	Instances []Instance
}

// Notice announces that an instance will be reclaimed at a given time.
type Notice struct {
	Seq          uint64    `json:"seq"`
	ID           string    `json:"id"`
	TerminatesAt time.Time `json:"until"`
}

// Class is an instance class that the provider offers in a failure domain and market.
type Class struct {
	Class  string        `json:"class"`
	Domain string        `json:"domain"`
	Market lister.Market `json:"market"`
	Price  float64       `json:"price"`
}

// Start requests an instance. It is idempotent: the same intent returns the same instance.
type Start struct {
	Intent  string        `json:"intent"`
	Domain  string        `json:"domain"`
	Class   string        `json:"class"`
	Market  lister.Market `json:"market"`
	Service string        `json:"service"`
	Version string        `json:"version"`
}

// Client is a client of the provider's API. It is safe for concurrent use. Requests
// have no timeout but their context.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the provider at an address.
func New(provider netip.AddrPort) *Client {
	return &Client{
		base: "http://" + provider.String(),
		http: &http.Client{Transport: inspector.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}, clock.System{})},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Instances returns the provider's list of instances, without entries that cannot be read.
func (c *Client) Instances(ctx context.Context) (List, error) {
	page, err := c.read(ctx, "/instances", "instances")
	if err != nil {
		return List{}, err
	}
	list := List{Instances: decodeEntries(page.Entries, Instance.isUsable)}
	if raw, ok := page.Members["at"]; ok {
		if err := json.Unmarshal(raw, &list.At); err != nil {
			return List{}, fmt.Errorf("decode the time of the list: %w", err)
		}
	}
	return list, nil
}

// Notices returns the notices after a sequence number, without entries that cannot be read. A notice may be late
// or duplicated.
func (c *Client) Notices(ctx context.Context, after uint64) ([]Notice, error) {
	page, err := c.read(ctx, "/notices?after="+strconv.FormatUint(after, 10), "notices")
	return decodeEntries(page.Entries, Notice.isUsable), err
}

// Classes returns the instance classes that the provider offers, without entries that cannot be read.
func (c *Client) Classes(ctx context.Context) ([]Class, error) {
	page, err := c.read(ctx, "/classes", "classes")
	return decodeEntries(page.Entries, Class.isUsable), err
}

// read reads a list of the provider, to which other systems may write.
func (c *Client) read(ctx context.Context, path, list string) (splitter.Page, error) {
	var page splitter.Page
	err := c.exchange(ctx, http.MethodGet, c.base+path, nil, func(body io.Reader) error {
		raw, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
		if err != nil {
			return err
		}
		page, err = splitter.Split(raw, list)
		return err
	})
	return page, err
}

// Start starts an instance. The error is ErrNoCapacity or a *RateLimitedError if the
// provider declined; after any other error the instance may have been started.
func (c *Client) Start(ctx context.Context, start Start) (Instance, error) {
	var instance Instance
	err := c.call(ctx, http.MethodPost, c.base+"/instances", start, &instance)
	return instance, err
}

// Release terminates an instance. ErrNotFound means that it no longer exists.
func (c *Client) Release(ctx context.Context, id string) error {
	return c.call(ctx, http.MethodDelete, c.base+"/instances/"+url.PathEscape(id), nil, nil)
}

// LoadWeights starts the transfer of weights to an instance.
func (c *Client) LoadWeights(ctx context.Context, service, version, id string) error {
	body := struct {
		Service string `json:"service"`
		Version string `json:"version"`
		ID      string `json:"id"`
	}{service, version, id}
	return c.call(ctx, http.MethodPost, c.base+"/weights", body, nil)
}

// call sends a request and decodes the answer into answer, if that is not nil.
func (c *Client) call(ctx context.Context, method, address string, body, answer any) error {
	return c.exchange(ctx, method, address, body, func(r io.Reader) error {
		if answer != nil {
			if err := json.NewDecoder(r).Decode(answer); err != nil {
				return err
			}
		}
		_, err := io.Copy(io.Discard, r)
		return err
	})
}

// exchange sends a request and passes the body of the answer to decode.
func (c *Client) exchange(ctx context.Context, method, address string, body any, decode func(r io.Reader) error) error {
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
	if err := responseError(response); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes))
		return fmt.Errorf("%s %s: %w", method, address, err)
	}
	if err := decode(io.LimitReader(response.Body, maxAnswerBytes)); err != nil {
		return fmt.Errorf("%s %s: decode answer: %w", method, address, err)
	}
	return nil
}

// maxRetryAfter is the longest delay in seconds that is accepted from the provider.
const maxRetryAfter = 60 * 60

func responseError(response *http.Response) error {
	switch status := response.StatusCode; {
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusServiceUnavailable:
		return ErrNoCapacity
	case status == http.StatusTooManyRequests:
		seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
		if err != nil {
			seconds = 0
		}
		return &RateLimitedError{retryAfter: time.Duration(min(max(seconds, 0), maxRetryAfter)) * time.Second}
	default:
		return &StatusError{status: status}
	}
}
