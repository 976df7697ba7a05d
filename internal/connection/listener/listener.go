// Package listener runs an HTTP server on one address, with TLS if it has a
// certificate, and shuts it down gracefully.
package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"

	"hyssoprudder/internal/connection/certifier"
	"hyssoprudder/internal/connection/screener"
)

// abortTimeout is how long the answers to canceled requests may take.
const abortTimeout = 150 * time.Millisecond

var errStopping = errors.New("the node is stopping")

// Listener runs one HTTP server.
type Listener struct {
	name     string
	screener *screener.Screener // nil unless Screen was called
	server   *http.Server
	abort    context.CancelCauseFunc // cancels the contexts of all requests
	log      *log.Logger
	listener net.Listener
	done     chan struct{}
}

// New returns a listener for a server, which must not be changed afterwards. name
// identifies the served clients in errors and logs. With a certificate it uses TLS.
func New(name string, server *http.Server, cert *certifier.Certifier, l *log.Logger) *Listener {
	server.ErrorLog = l.StandardLog()
	if cert != nil {
		server.TLSConfig = cert.Config()
	}
	ctx, abort := context.WithCancelCause(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	return &Listener{name: name, server: server, abort: abort, log: l, done: make(chan struct{})}
}

// Screen protects the server from request smuggling: each connection delivers one
// request at a time; see package screener. It must be called before Start. With TLS,
// a screened server offers only HTTP/1.1.
func (l *Listener) Screen(s *screener.Screener) {
	l.screener = s
	s.Install(l.server)
}

// Start listens and serves until Stop.
func (l *Listener) Start(address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("listen for %s: %w", l.name, err)
	}
	if l.screener != nil {
		if l.server.TLSConfig != nil {
			config := l.server.TLSConfig.Clone()
			config.NextProtos = []string{"http/1.1"}
			listener = tls.NewListener(listener, config)
		}
		listener = l.screener.Wrap(listener)
	}
	l.listener = listener
	go l.run()
	return nil
}

func (l *Listener) run() {
	defer close(l.done)
	var err error
	if l.server.TLSConfig != nil && l.screener == nil {
		err = l.server.ServeTLS(l.listener, "", "")
	} else {
		err = l.server.Serve(l.listener)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		l.log.Error("server failed; it accepts no more connections", "for", l.name, "err", err)
	}
}

// Address returns the address that the server listens on.
func (l *Listener) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Counts returns the number of connections of a screened server by what is going on at them.
func (l *Listener) Counts() screener.Counts { return l.screener.Counts() }

// Stop accepts no more connections and waits for the requests in flight; a screened server
// also answers each request of which it has read a part. If ctx ends first, Stop returns its
// error, and Abort ends the remaining requests.
func (l *Listener) Stop(ctx context.Context) error {
	if l.screener != nil {
		if err := l.screener.Drain(ctx); err != nil {
			return err
		}
		l.Close()
		return nil
	}
	if err := l.server.Shutdown(ctx); err != nil {
		return err
	}
	<-l.done
	return nil
}

// Abort cancels the requests in flight after Stop has failed, gives those of a screened server
// a moment to answer, and closes all connections.
func (l *Listener) Abort() {
	l.abort(errStopping)
	if l.screener != nil {
		ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
		defer cancel()
		if err := l.screener.Drain(ctx); err != nil {
			l.log.Warn("closing connections with requests that can't be answered in time", "for", l.name, "busy", l.screener.Counts().Busy)
		}
	}
	l.Close()
}

// Close closes all connections immediately.
func (l *Listener) Close() {
	l.server.Close()
	<-l.done
}
