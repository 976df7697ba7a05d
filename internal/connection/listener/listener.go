// Package listener runs an HTTP server on one address, with TLS if a
// certificate is given, and stops it gracefully.
package listener

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"github.com/charmbracelet/log"

	"hyssoprudder/internal/connection/certifier"
	"hyssoprudder/internal/connection/screener"
)

// Listener runs one HTTP server.
type Listener struct {
	name     string
	screener *screener.Screener // nil without Screen
	server   *http.Server
	log      *log.Logger
	listener net.Listener
	done     chan struct{}
}

// New returns a listener for a server, which is not changed later. name says in
// errors and logs whom it serves.
func New(name string, server *http.Server, cert *certifier.Certifier, l *log.Logger) *Listener {
	server.ErrorLog = l.StandardLog()
	if cert != nil {
		server.TLSConfig = cert.Config()
	}
	return &Listener{name: name, server: server, log: l, done: make(chan struct{})}
}

// Screen has the requests of each connection delivered one at a time, so that none
// can be hidden in another; see package screener. It is called before Start. With
// TLS only HTTP/1.1 is offered then.
func (l *Listener) Screen(s *screener.Screener) {
	l.screener = s
	l.server.ConnContext, l.server.ConnState = screener.Context, screener.State
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
		l.log.Error("server ended", "for", l.name, "err", err)
	}
}

// Address returns where the server listens.
func (l *Listener) Address() netip.AddrPort {
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Stop accepts no more connections and waits for the requests that run. When
// ctx ends first it returns the error of ctx, and Close cuts those that are left.
func (l *Listener) Stop(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		return err
	}
	<-l.done
	return nil
}

// Close cuts all connections.
func (l *Listener) Close() {
	l.server.Close()
	<-l.done
}
