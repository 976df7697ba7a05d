package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// newRecord returns a record that is appended to a file.
func newRecord(path string) (*record, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return &record{file: f, started: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// cloud is the platform's API: the list of servers, and the duties, which it accepts.
type cloud struct {
	mu      sync.Mutex
	servers []*server
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/instances" {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusOK)
		return
	}
	c.mu.Lock()
	list := []any{}
	for _, s := range c.servers {
		list = append(list, map[string]any{
			"Id": s.id, "Service": s.service, "Address": s.address, "Zone": s.zone, "Version": s.version, "Slots": 6, "State": s.state, "ColdRemainingMs": 0,
		})
	}
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Instances": list, "Next": nil})
}

// serve serves a handler at a free port of an address.
func serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

// server is a sound server of a plain service.
type server struct {
	id, service, address, zone string
	version                    string
	state                      string // as the platform lists it; the platform's mutex guards it
	work                       time.Duration
	slowPath                   string // requests whose path begins so take slowWork, if it is set
	slowWork                   time.Duration
	record                     *record

	mu      sync.Mutex
	runs    map[string]int
	targets map[string]string // request targets of what ran
}

// newServer starts a sound server and doesn't list it yet.
func newServer(f *fleet, id, service, zone, version string, work time.Duration) (*server, error) {
	s := &server{id: id, service: service, zone: zone, version: version, state: "ready", work: work, record: f.record}
	s.runs, s.targets = make(map[string]int), make(map[string]string)
	var err error
	s.address, err = serve(fmt.Sprintf("%s.%d", f.prefix, 240+rand.Intn(5)), s)
	return s, err
}

// list adds servers to the platform's list.
func (c *cloud) list(servers ...*server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(c.servers, servers...)
}

// remove takes servers off the platform's list.
func (c *cloud) remove(servers ...*server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool { return slices.Contains(servers, s) })
}

// drain lists servers as draining.
func (c *cloud) drain(servers ...*server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range servers {
		s.state = "draining"
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", s.id)
	if r.Method == http.MethodGet && r.URL.Path == "/health" && id == "" {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); id == "" || expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		status := http.StatusMisdirectedRequest
		if id == "" {
			status = http.StatusBadRequest
		}
		w.WriteHeader(status)
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.targets[id] = r.RequestURI
	s.mu.Unlock()
	s.record.add("server %s runs %s: %s %s, %d bytes of body", s.id, id, r.Method, r.RequestURI, len(body))
	work := s.work
	if s.slowPath != "" && strings.HasPrefix(r.URL.Path, s.slowPath) {
		work = s.slowWork
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done(): // the connection was closed
		s.record.add("server %s drops %s", s.id, id)
		return
	}
	w.Header().Set("X-Response-Seal", "seal."+id)
	_, _ = io.WriteString(w, "done "+id)
}

// operator sends orders as PROTOCOL.md tells: an order without a clear answer is sent again,
// to another machine.
type operator struct {
	fleet  *fleet
	client http.Client
}

func newOperator(f *fleet) *operator {
	return &operator{fleet: f, client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (o *operator) call(method, address, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	answer, err := o.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	b, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, b
}

// put sends a configuration until it is acknowledged or the time is over.
func (o *operator) put(version int, document []byte, within time.Duration) bool {
	o.fleet.record.add("operator sends configuration %d", version)
	end := time.Now().Add(within)
	for i := 0; time.Now().Before(end); i++ {
		cores := o.fleet.running("core")
		m := cores[i%len(cores)]
		status, _ := o.call(http.MethodPost, m.control(), "/Configuration.Replace", document)
		if status == http.StatusOK {
			o.fleet.record.add("%s acknowledges configuration %d", m.name, version)
			return true
		}
		o.fleet.record.add("%s answers %d to configuration %d", m.name, status, version)
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// read returns the version that a machine answers, 0 if it gives none.
func (o *operator) read(m *machine) int {
	status, body := o.call(http.MethodGet, m.control(), "/Configuration.Get", nil)
	var got struct{ Version int }
	if status != http.StatusOK || json.Unmarshal(body, &got) != nil {
		o.fleet.record.add("%s answers %d to a read", m.name, status)
		return 0
	}
	o.fleet.record.add("%s reads back configuration %d", m.name, got.Version)
	return got.Version
}

// configuration returns a configuration with routes to the plain service, given as pairs of a
// prefix and a kind.
func configuration(version int, pairs ...string) []byte {
	return configurationOf(version, 2, 100, pairs...)
}

func configurationOf(version, attempts, targetMs int, pairs ...string) []byte {
	var routes []any
	for i := 0; i < len(pairs); i += 2 {
		routes = append(routes, map[string]any{
			"Name": fmt.Sprintf("r-%d", i), "Host": "orders.example", "PathPrefix": pairs[i], "Kind": pairs[i+1], "TimeoutMs": 5000,
			"TargetLatencyMs": targetMs, "Priority": 0, "Service": "orders", "MaxAttempts": attempts, "AllowAnonymous": false,
		})
	}
	b, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{map[string]any{"Name": "orders", "HealthCheckPath": "/health", "MaxConnections": 96, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []any{map[string]any{"Name": "depot", "ApiKeys": []any{"key1"}, "Priority": 1, "RatePerS": 0, "Burst": 0}},
	})
	return b
}

// deployment is a fleet with a platform and three servers of one service.
type deployment struct {
	*fleet
	cloud    *cloud
	servers  []*server
	operator *operator
}

func deploy(r *record, cores, fronts int) (*deployment, error) {
	f, err := newFleet(r)
	if err != nil {
		return nil, err
	}
	d := &deployment{fleet: f, cloud: &cloud{}, operator: newOperator(f)}
	if f.cloud, err = serve(f.prefix+".250", d.cloud); err != nil {
		return d, err
	}
	for i, zone := range zones {
		s, err := newServer(f, fmt.Sprintf("i-v1-%d", i), "orders", zone, "v1", 15*time.Millisecond)
		if err != nil {
			return d, err
		}
		d.servers = append(d.servers, s)
	}
	d.cloud.list(d.servers...)
	var all []*machine
	var seeds []string
	for i := range cores {
		m := f.add("core", zones[i%len(zones)], true)
		all = append(all, m)
		if len(seeds) < 3 {
			seeds = append(seeds, m.control())
		}
	}
	for i := range fronts {
		all = append(all, f.add("front", zones[i%len(zones)], true))
	}
	for _, m := range all {
		if err := f.start(m, seeds); err != nil {
			return d, err
		}
	}
	return d, nil
}

// clients send requests to the machines in turn, each on a connection of its own.
type clients struct {
	d      *deployment
	paths  []string // in turn
	method string
	prefix string // of the IDs of requests
	quit   chan struct{}
	group  sync.WaitGroup

	mu       sync.Mutex
	sent     int
	statuses map[int]int
}

func (c *clients) run(interval time.Duration) {
	c.quit, c.statuses = make(chan struct{}), make(map[int]int)
	c.group.Add(1)
	go func() {
		defer c.group.Done()
		fronts := c.d.running("front")
		for i := 0; ; i++ {
			select {
			case <-c.quit:
				return
			case <-time.After(interval):
			}
			c.group.Add(1)
			go c.one(fronts[i/len(c.paths)%len(fronts)], i)
		}
	}()
}

func (c *clients) one(m *machine, n int) {
	defer c.group.Done()
	id := c.prefix + fmt.Sprintf("%015x", n+1)
	status := request(m, c.method, c.paths[n%len(c.paths)], id, c.d.record)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	c.statuses[status]++
}

// take returns the number of answers by status since the last call.
func (c *clients) take() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.statuses
	c.statuses = make(map[int]int)
	return out
}

func (c *clients) stop() {
	close(c.quit)
	c.group.Wait()
}

// request sends one request on a new connection and returns the status, 0 if there is none.
func request(m *machine, method, path, id string, r *record, headers ...string) int {
	extra := ""
	for _, h := range headers {
		extra += h + "\r\n"
	}
	conn, err := net.DialTimeout("tcp", m.front(), time.Second)
	if err != nil {
		r.add("client: %s to %s: no connection", id, m.name)
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2500 * time.Millisecond))
	r.add("client sends %s to %s: %s %s", id, m.name, method, path)
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: %s\r\nX-Request-Deadline: 2500\r\nAuthorization: Bearer key1\r\nContent-Length: 0\r\n%s\r\n", method, path, id, extra)
	answer, err := readAnswer(conn)
	if err != nil {
		r.add("client: %s has no answer: %v", id, err)
		return 0
	}
	r.add("client: %s is answered %d", id, answer)
	return answer
}
