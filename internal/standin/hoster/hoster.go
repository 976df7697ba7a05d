// Package hoster serves the HTTP interface of a stand-in. It can be stopped
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
	maxBody       = 8 << 20 // request body, in bytes
)

// Host is a listening HTTP server.
type Host struct {
	listener  net.Listener
	server    *http.Server
	done      chan struct{}
	closeDone sync.Once
	ended     sync.WaitGroup
}

// Listen serves handler on an IP address and port. Port 0 selects a free port.
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
		done:     make(chan struct{}),
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

// Address returns the listen address of the host.
func (h *Host) Address() netip.AddrPort {
	return h.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Done returns a channel that is closed when the host is killed or has stopped.
func (h *Host) Done() <-chan struct{} { return h.done }

// Kill closes the listener and all connections at once. The server closes only a listener that
// it has begun to serve, which it may not have yet.
func (h *Host) Kill() {
	h.closeDone.Do(func() { close(h.done) })
	_ = h.listener.Close()
	_ = h.server.Close()
}

// Stop accepts no new connections, lets requests in flight finish until ctx is
// done, and then closes the remaining connections.
func (h *Host) Stop(ctx context.Context) {
	_ = h.server.Shutdown(ctx)
	h.Kill()
	h.ended.Wait()
}

// Echo sets the id of the request in the answer to it.
func Echo(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Request"); id != "" {
		w.Header().Set("Request", id)
	}
}

// Reply writes v as JSON with a status code.
func Reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Decode reads the JSON body of r into v. It answers 400 and returns false if the
// body is invalid.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(v); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
