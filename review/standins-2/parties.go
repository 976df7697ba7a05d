package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// platform is a stand-in of the users' platform: the list of engines, usage and scaling with fences.
type platform struct {
	fleet  *fleet
	server *http.Server
	mu     sync.Mutex
	fences map[string]uint64
	hidden map[string]bool // engines that the list does not show
}

func startPlatform(f *fleet) (*platform, error) {
	p := &platform{fleet: f, fences: make(map[string]uint64), hidden: make(map[string]bool)}
	l, err := net.Listen("tcp", fmt.Sprintf("%s8.1:%d", f.prefix, portCloud))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.list)
	mux.HandleFunc("POST /usage", p.duty)
	mux.HandleFunc("POST /scaling", p.duty)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

func (p *platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := []map[string]any{}
	for _, e := range p.fleet.engines {
		if p.hidden[e.id] {
			continue
		}
		entries = append(entries, map[string]any{
			"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": e.version, "Slots": e.slots, "State": "ready", "ColdRemainingMs": 0, "Id": e.id,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Instances": entries, "Next": nil})
}

func (p *platform) duty(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var subject struct{ Service, Zone string }
	_ = json.Unmarshal(body, &subject)
	fence, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	key := r.URL.Path + " " + subject.Service + " " + subject.Zone
	p.mu.Lock()
	defer p.mu.Unlock()
	if fence < p.fences[key] {
		w.WriteHeader(http.StatusConflict)
		return
	}
	p.fences[key] = fence
	w.WriteHeader(http.StatusOK)
}

// engine is a stand-in of a plain engine. It runs what is sent to it and records it.
type engine struct {
	fleet    *fleet
	id       string
	service  string
	zone     string
	address  string
	work     time.Duration
	text     func(id string) string // the answer to a request; nil for a plain one
	slots    int
	version  string
	fails    func(r *http.Request) bool // whether a run ends with a failure; nil for none
	listener net.Listener
	mu       sync.Mutex
	runs     []run
	conns    map[net.Conn]bool
}

// run is a request that an engine has run.
type run struct {
	id, line string
	body     int
	at       time.Time
}

func (f *fleet) newEngine(i int, service string) *engine {
	return &engine{
		fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: service, zone: zones[i%3],
		address: fmt.Sprintf("%s9.%d:%d", f.prefix, i+1, portEngine), work: 15 * time.Millisecond, slots: 6, version: "v1", conns: make(map[net.Conn]bool),
	}
}

func (e *engine) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	return nil
}

func (e *engine) stop() {
	if e.listener != nil {
		e.listener.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

func (e *engine) serve(c net.Conn) {
	defer func() {
		c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if e.answer(c, r, body) != nil {
			return
		}
	}
}

func (e *engine) answer(c net.Conn, r *http.Request, body []byte) error {
	id := r.Header.Get("X-Request-Id")
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != e.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err
	}
	if id == "" {
		_, err := io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err
	}
	e.mu.Lock()
	e.runs = append(e.runs, run{id: id, line: r.Method + " " + r.RequestURI, body: len(body), at: time.Now()})
	e.mu.Unlock()
	if !e.fleet.isBusy {
		e.fleet.record.add("engine %s runs %s %s (id %s, body %d bytes)", e.id, r.Method, r.RequestURI, id, len(body))
	}
	time.Sleep(e.work)
	text, kind, status := "ran "+id, "text/plain", "200 OK"
	if e.fails != nil && e.fails(r) {
		text, status = "failed "+id, "500 Internal Server Error"
	}
	if e.text != nil {
		text, kind = e.text(id), "text/event-stream"
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Response-Seal: seal-%s\r\nContent-Type: %s\r\nX-Instance-Load: 1,0,%d\r\nContent-Length: %d\r\n\r\n%s",
		status, id, id, kind, e.slots, len(text), text)
	return err
}

// ran returns all runs of a request.
func (f *fleet) ran(id string) []run {
	var out []run
	for _, e := range f.engines {
		e.mu.Lock()
		for _, r := range e.runs {
			if r.id == id {
				out = append(out, r)
			}
		}
		e.mu.Unlock()
	}
	return out
}
