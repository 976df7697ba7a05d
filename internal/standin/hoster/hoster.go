// Package hoster serves the HTTP interface of one stand-in, and can end it
// gracefully or abruptly.
package hoster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	headerTimeout = 10 * time.Second
	maxBody       = 8 << 20 // bytes
)

// Host is a listening HTTP server.
type Host struct {
	listener net.Listener
	server   *http.Server
	dead     chan struct{}
	die      sync.Once
	ended    sync.WaitGroup
}

// Listen serves handler on an IP address and port; port 0 takes a free one.
func Listen(address string, handler http.Handler) (*Host, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, fmt.Errorf("listen address %q: %w", address, err)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	h := &Host{
		listener: listener,
		server:   &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		dead:     make(chan struct{}),
	}
	h.ended.Add(1)
	go h.run()
	return h, nil
}

func (h *Host) run() {
	defer h.ended.Done()
	if err := h.server.Serve(h.listener); !errors.Is(err, http.ErrServerClosed) {
		h.Kill()
	}
}

// Address returns the address that the host listens on.
func (h *Host) Address() netip.AddrPort {
	return h.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Dead is closed when the host was killed or stopped.
func (h *Host) Dead() <-chan struct{} { return h.dead }

// Kill closes the listener and cuts every connection.
func (h *Host) Kill() {
	h.die.Do(func() { close(h.dead) })
	_ = h.server.Close()
}

// Stop takes no new connections, lets the running calls finish until ctx ends,
// and then closes what is left.
func (h *Host) Stop(ctx context.Context) {
	_ = h.server.Shutdown(ctx)
	h.Kill()
	h.ended.Wait()
}

// Reply writes v as JSON with a status.
func Reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Decode reads the JSON body of r into v, and answers 400 if it cannot.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(v); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
