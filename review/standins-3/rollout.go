package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a server of a service whose version is changed. Its answers are plain or streams.
type worker struct {
	d       *deployment
	id      string
	address string
	version string
	server  *http.Server
}

// arrival is a request that a server began to run.
type arrival struct {
	version string
	path    string
	at      time.Time
}

// deployment is a fleet with one service, which is moved from v1 to v2, and the load on it.
type deployment struct {
	*fleet
	service string
	answer  func(w http.ResponseWriter, r *http.Request, version string) (isGood bool)

	mu       sync.Mutex
	sent     map[string]time.Time // by request id
	arrivals map[string]arrival
	bad      []time.Time // ends of bad answers of v2
	statuses map[string]int
	states   []string
	nextID   int
	old      []*worker
	fresh    []*worker
}

// newDeployment starts five core machines and two fronts, and waits until they serve the first configuration.
func newDeployment(record, service, document string) (*deployment, error) {
	f, err := newFleet(record)
	if err != nil {
		return nil, err
	}
	d := &deployment{fleet: f, service: service, sent: make(map[string]time.Time), arrivals: make(map[string]arrival), statuses: make(map[string]int)}
	zones := []string{"focsani", "adjud", "panciu"}
	for i := range 5 {
		f.add(fmt.Sprintf("core-%s-%d", zones[i%3], i/3+1), 11+i, zones[i%3], true)
	}
	for i := range 2 {
		f.add(fmt.Sprintf("front-%s-1", zones[i]), 31+i, zones[i], false)
	}
	for _, n := range f.nodes {
		if err := n.start(true); err != nil {
			return d, err
		}
	}
	for i := range 3 {
		w, err := d.startWorker(101+i, "v1")
		if err != nil {
			return d, err
		}
		d.old = append(d.old, w)
	}
	d.publish(d.old, "ready")
	if !f.operate(document, time.Now().Add(15*time.Second)) {
		return d, fmt.Errorf("the first configuration was not acknowledged")
	}
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			return d, nil
		}
		if time.Now().After(until) {
			return d, fmt.Errorf("the fronts are not ready")
		}
	}
}

func (d *deployment) isReady() bool {
	for _, n := range d.fronts() {
		response, err := http.Get(fmt.Sprintf("http://%s:%d/readiness", n.ip, portReady))
		if err != nil {
			return false
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

func (d *deployment) startWorker(number int, version string) (*worker, error) {
	w := &worker{d: d, id: fmt.Sprintf("i-%08x", 0x7f3a0000+number), address: fmt.Sprintf("%s.%d:%d", d.net, number, portServer), version: version}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// publish shows servers in the platform's list with a state, or removes them from it if the state is empty.
func (d *deployment) publish(workers []*worker, state string) {
	c := d.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range workers {
		kept := c.list[:0:0]
		for _, e := range c.list {
			if e["Id"] != w.id {
				kept = append(kept, e)
			}
		}
		if state != "" {
			kept = append(kept, map[string]any{
				"Service": d.service, "Address": w.address, "Zone": "focsani", "Version": w.version, "Slots": 64, "State": state, "ColdRemainingMs": 0, "Id": w.id,
			})
		}
		c.list = kept
	}
}

// ServeHTTP runs a request. The answer itself is up to the case.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	rw.Header().Set("X-Instance-Id", w.id)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != w.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	d := w.d
	d.mu.Lock()
	d.arrivals[id+" "+w.id] = arrival{w.version, r.URL.Path, arrived}
	sent := d.sent[id]
	d.mu.Unlock()
	d.record.line("server %s (%s): runs %s %s, sent %.3f s before", w.id, w.version, id, r.RequestURI, arrived.Sub(sent).Seconds())
	rw.Header().Set("X-Response-Seal", "seal."+id)
	isGood := d.answer(rw, r, w.version)
	if !isGood {
		d.mu.Lock()
		d.bad = append(d.bad, time.Now())
		d.mu.Unlock()
	}
	d.record.line("server %s (%s): ends %s, good=%v", w.id, w.version, id, isGood)
}

// load sends requests at a rate to the fronts in turn, until done is closed.
func (d *deployment) load(path string, perSecond float64, deadline time.Duration, done <-chan struct{}, group *sync.WaitGroup) {
	defer group.Done()
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	fronts := d.fronts()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			d.call(client, fronts[i%len(fronts)], path, deadline)
		}()
	}
}

func (d *deployment) call(client *http.Client, n *node, path string, deadline time.Duration) {
	d.mu.Lock()
	d.nextID++
	id := fmt.Sprintf("%016x", d.nextID)
	d.sent[id] = time.Now()
	d.mu.Unlock()
	r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", n.ip, portFront, path), strings.NewReader("order"))
	r.Host = "desk.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Request-Deadline", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := client.Do(r)
	outcome := "no answer"
	if err == nil {
		outcome = strconv.Itoa(response.StatusCode)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			outcome += ", not whole"
		}
		response.Body.Close()
	}
	d.record.line("client: %s %s at %s: %s", id, path, n.name, outcome)
	d.mu.Lock()
	d.statuses[path+" "+outcome]++
	d.mu.Unlock()
}

// roll orders the move to v2, starts the new servers beside the old ones, and does what the platform does at its end.
func (d *deployment) roll(duration time.Duration) (ordered time.Time, err error) {
	for i := range 3 {
		w, err := d.startWorker(121+i, "v2")
		if err != nil {
			return time.Time{}, err
		}
		d.fresh = append(d.fresh, w)
	}
	body := fmt.Sprintf(`{"Service":%q,"Target":"v2","DurationS":%g}`, d.service, duration.Seconds())
	client := &http.Client{Timeout: time.Second}
	for i := 0; ; i++ {
		n := d.cores()[i%5]
		ordered = time.Now()
		response, err := client.Post(fmt.Sprintf("http://%s:%d/Rollouts.Start", n.ip, portControl), "application/json", strings.NewReader(body))
		if err == nil {
			response.Body.Close()
			d.record.line("operator: Rollouts.Start at %s: %d %s", n.name, response.StatusCode, body)
			if response.StatusCode == http.StatusOK {
				break
			}
		}
		if i == 20 {
			return ordered, fmt.Errorf("the order was not acknowledged")
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.publish(d.fresh, "ready")
	return ordered, nil
}

// watch asks for the state of the move until it has ended, and acts as the platform does then.
func (d *deployment) watch(done <-chan struct{}, group *sync.WaitGroup) {
	defer group.Done()
	client := &http.Client{Timeout: time.Second}
	last := ""
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(300 * time.Millisecond):
		}
		response, err := client.Get(fmt.Sprintf("http://%s:%d/Rollouts.Get/%s", d.cores()[i%5].ip, portControl, d.service))
		if err != nil {
			continue
		}
		var state struct{ State, Target string }
		_ = json.NewDecoder(response.Body).Decode(&state)
		response.Body.Close()
		if response.StatusCode != http.StatusOK || state.State == last {
			continue
		}
		last = state.State
		d.record.line("operator: Rollouts.Get: %s", last)
		d.mu.Lock()
		d.states = append(d.states, last)
		d.mu.Unlock()
		switch last {
		case "completed":
			d.publish(d.old, "")
			for _, w := range d.old {
				w.server.Close()
			}
		case "rolled_back":
			go func() {
				time.Sleep(2 * time.Second)
				d.publish(d.fresh, "draining")
			}()
		}
	}
}

// exposure checks the rule EXPOSURE for v2 as it is written, and returns whether it was broken.
func (d *deployment) exposure(ordered time.Time, duration time.Duration) bool {
	const share, slack, rollback = 0.1, 50, 5 * time.Second
	d.mu.Lock()
	defer d.mu.Unlock()
	all, onNew, late := 0, 0, 0
	var since time.Time
	if len(d.bad) >= 50 {
		since = d.bad[49].Add(rollback)
	}
	for key, a := range d.arrivals {
		id, _, _ := strings.Cut(key, " ")
		if a.at.After(ordered) && a.at.Before(ordered.Add(duration)) {
			all++
			if a.version == "v2" {
				onNew++
			}
		}
		if a.version == "v2" && !since.IsZero() && d.sent[id].After(since) {
			late++
		}
	}
	limit := share*float64(all) + slack
	isBad := len(d.bad) > 0
	d.record.line("bad answers of v2: %d", len(d.bad))
	if !since.IsZero() {
		d.record.line("the 50th came %.3f s after the order; requests to v2 that were sent later than %s after it: %d", since.Add(-rollback).Sub(ordered).Seconds(), rollback, late)
	}
	d.record.line("requests at the service between the order and the deadline: %d, of these at v2: %d, allowed for a bad version: %.0f", all, onNew, limit)
	for what, n := range d.statuses {
		d.record.line("clients: %s: %d", what, n)
	}
	d.record.line("states of the move: %s", strings.Join(d.states, ", "))
	isBroken := isBad && (late > 0 || float64(onNew) > limit)
	d.record.line("EXPOSURE broken: %v", isBroken)
	fmt.Printf("EXPOSURE broken: %v; bad answers %d; v2 got %d of %d (allowed %.0f), %d sent over 5 s after the 50th bad answer; states %v\n", isBroken, len(d.bad), onNew, all, limit, late, d.states)
	return isBroken
}
