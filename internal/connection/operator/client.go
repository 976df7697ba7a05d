package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"hyssoprudder/internal/connection/inspector"
	"hyssoprudder/internal/process/clock"
)

const (
	maxAnswerBytes = 256 << 20 // bytes
	// dialTimeout bounds the time until the node accepts a connection.
	dialTimeout = 30 * time.Second
)

// Client is an HTTP client of one node's operator API.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client. If roots is not nil, it uses TLS and trusts only those roots.
func NewClient(address netip.AddrPort, token string, roots *x509.CertPool) *Client {
	c := &Client{base: "http://" + address.String(), token: token}
	dial := (&net.Dialer{Timeout: dialTimeout, KeepAlive: dialTimeout}).DialContext
	transport := &http.Transport{DialContext: dial, Proxy: http.ProxyFromEnvironment}
	if roots != nil {
		c.base = "https://" + address.String()
		transport = &http.Transport{DialContext: dial, TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}}
	}
	c.http = &http.Client{Transport: inspector.NewTransport(transport, clock.System{})}
	return c
}

// Rules returns the rules in force at the node.
func (c *Client) Rules(ctx context.Context) (Rules, error) {
	return fetch[Rules](ctx, c, http.MethodGet, "/rules", nil)
}

// Apply sends a change. If the answer is lost, the error is a *Fault with
// CodeUnknown; the change may then be repeated with the same id.
func (c *Client) Apply(ctx context.Context, change Change) (ChangeResult, error) {
	return fetch[ChangeResult](ctx, c, http.MethodPost, "/rules", change)
}

// History returns the accepted changes, oldest first.
func (c *Client) History(ctx context.Context) ([]Revision, error) {
	return fetch[[]Revision](ctx, c, http.MethodGet, "/rules/history", nil)
}

// Waiting returns the live members that have not applied the revision yet.
func (c *Client) Waiting(ctx context.Context, revision uint64) (Waiting, error) {
	return fetch[Waiting](ctx, c, http.MethodGet, "/rules/waiting?revision="+strconv.FormatUint(revision, 10), nil)
}

// Members returns the members of the deployment as the node sees them.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	return fetch[[]Member](ctx, c, http.MethodGet, "/members", nil)
}

// Endpoints returns the endpoints as the node sees them.
func (c *Client) Endpoints(ctx context.Context) ([]Endpoint, error) {
	return fetch[[]Endpoint](ctx, c, http.MethodGet, "/endpoints", nil)
}

// Moves returns the version moves.
func (c *Client) Moves(ctx context.Context) ([]Move, error) {
	return fetch[[]Move](ctx, c, http.MethodGet, "/moves", nil)
}

// Abort rolls back the move of a service.
func (c *Client) Abort(ctx context.Context, service string) (Move, error) {
	return fetch[Move](ctx, c, http.MethodPost, "/moves/"+url.PathEscape(service)+"/abort", nil)
}

// Domains returns the failure domains and which of them are evacuated.
func (c *Client) Domains(ctx context.Context) ([]Domain, error) {
	return fetch[[]Domain](ctx, c, http.MethodGet, "/domains", nil)
}

// Evacuate starts the evacuation of a failure domain. It can be repeated.
func (c *Client) Evacuate(ctx context.Context, domain string) (Domain, error) {
	return fetch[Domain](ctx, c, http.MethodPost, "/domains/"+url.PathEscape(domain)+"/evacuate", nil)
}

// Return ends the evacuation of a failure domain. It can be repeated.
func (c *Client) Return(ctx context.Context, domain string) (Domain, error) {
	return fetch[Domain](ctx, c, http.MethodPost, "/domains/"+url.PathEscape(domain)+"/return", nil)
}

// Claim returns the claim of a customer's key.
func (c *Client) Claim(ctx context.Context, customer, key string) (Claim, error) {
	query := url.Values{"customer": {customer}, "key": {key}}
	return fetch[Claim](ctx, c, http.MethodGet, "/claims?"+query.Encode(), nil)
}

// Partition partitions the node from peers. The node accepts it only if its settings allow drills.
func (c *Client) Partition(ctx context.Context, partition Partition) error {
	_, err := fetch[Partition](ctx, c, http.MethodPost, "/links/cut", partition)
	return err
}

// State copies the node's state dump, which is JSON, to w.
func (c *Client) State(ctx context.Context, w io.Writer) error {
	var raw json.RawMessage
	if err := c.call(ctx, http.MethodGet, "/state", nil, &raw); err != nil {
		return err
	}
	_, err := w.Write(raw)
	return err
}

// fetch sends a request to the node and decodes the answer as a T.
func fetch[T any](ctx context.Context, c *Client, method, path string, in any) (T, error) {
	var out T
	err := c.call(ctx, method, path, in, &out)
	return out, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode: %w", err)
		}
		body = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return noAnswer(method, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return noAnswer(method, err)
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(raw, out)
	}
	fault := &Fault{Code: CodeUnavailable}
	if err := json.Unmarshal(raw, fault); err != nil {
		return fmt.Errorf("node answered %s", resp.Status)
	}
	return fault
}

func noAnswer(method string, err error) error {
	if method == http.MethodGet {
		return &Fault{Code: CodeUnavailable, Message: fmt.Sprintf("no answer from the node: %v; check -address, or try another node", err)}
	}
	return &Fault{Code: CodeUnknown, Message: fmt.Sprintf("no answer from the node: %v; repeat with the same -id at any node", err)}
}
