// Package listener runs an HTTP server on one address, with TLS if a
// certificate is given, and stops it gracefully.
package listener

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"github.com/charmbracelet/log"

	"hyssoprudder/internal/connection/certifier"
)

// Listener runs one HTTP server.
type Listener struct {
	name     string
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

// Start listens and serves until Stop.
func (l *Listener) Start(address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("listen for %s: %w", l.name, err)
	}
	l.listener = listener
	go l.run()
	return nil
}

func (l *Listener) run() {
	defer close(l.done)
	var err error
	if l.server.TLSConfig != nil {
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
