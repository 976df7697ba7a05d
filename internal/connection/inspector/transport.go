package inspector

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"

	"hyssoprudder/internal/process/clock"
)

// Transport is an http.RoundTripper that returns only answers whose head is sound, and whose bodies
// end with an error if the connection was reset.
type Transport struct {
	inner *http.Transport
	clock clock.Clock
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewTransport returns a transport that sends requests through inner, which nothing else may use. inner must
// speak HTTP/1 only and must not send encrypted requests through a proxy: all its connections have to be a Conn.
func NewTransport(inner *http.Transport, c clock.Clock) *Transport {
	t := &Transport{inner: inner, clock: c, dial: inner.DialContext}
	if t.dial == nil {
		t.dial = (&net.Dialer{}).DialContext
	}
	if inner.TLSClientConfig == nil {
		inner.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12}
	}
	inner.DialContext, inner.DialTLSContext = t.dialPlain, t.dialTLS
	return t
}

func (t *Transport) dialPlain(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return NewConn(conn, t.clock), nil
}

// dialTLS checks the end of the encrypted stream, and the answers in the decrypted one.
func (t *Transport) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.dialPlain(ctx, network, address)
	if err != nil {
		return nil, err
	}
	config := t.inner.TLSClientConfig.Clone()
	if config.ServerName == "" {
		if config.ServerName, _, err = net.SplitHostPort(address); err != nil {
			conn.Close()
			return nil, err
		}
	}
	encrypted := tls.Client(conn, config)
	if err := encrypted.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return NewConn(encrypted, t.clock), nil
}

// RoundTrip sends a request. The error is a *MalformedError if the head of the answer is not sound.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used *Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn.(*Conn)
		used.Begin(request.ContentLength)
	}}
	response, err := t.inner.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := used.Check(response); err != nil {
		response.Body.Close()
		used.Close() // net/http keeps a connection whose answer has no body
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.inner.CloseIdleConnections() }
