package platform

import (
	"net/http"
	"strconv"
	"time"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/faulter"
	"hyssoprudder/internal/standin/hoster"
)

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.waitWhileFrozen(p.getInstances))
	mux.HandleFunc("POST /instances", p.waitWhileFrozen(p.postInstance))
	mux.HandleFunc("DELETE /instances/{id}", p.waitWhileFrozen(p.deleteInstance))
	mux.HandleFunc("GET /notices", p.waitWhileFrozen(p.getNotices))
	mux.HandleFunc("GET /classes", p.waitWhileFrozen(p.getClasses))
	mux.HandleFunc("POST /weights", p.waitWhileFrozen(p.postWeights))
	mux.HandleFunc("POST /reclaim", p.reclaim)
	mux.HandleFunc("GET /bill", p.getBill)
	mux.HandleFunc("/faults", p.faults.Serve)
	mux.HandleFunc("POST /services/{service}/faults", p.postFault)
	return mux
}

// waitWhileFrozen delays requests while the platform is frozen by a fault.
func (p *Platform) waitWhileFrozen(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.faults.WaitUnfrozen(r.Context().Done()) {
			handle(w, r)
		}
	}
}

func (p *Platform) getInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	listing := p.samples[0]
	p.mu.Unlock()
	hoster.Reply(w, http.StatusOK, listing)
}

func (p *Platform) postInstance(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Intent string `json:"intent"`
		Instance
	}
	if !hoster.Decode(w, r, &body) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if started, ok := p.intents[body.Intent]; ok && body.Intent != "" {
		hoster.Reply(w, http.StatusCreated, started)
		return
	}
	if _, ok := p.settings.service(body.Service); !ok {
		http.Error(w, "unknown service", http.StatusBadRequest)
		return
	}
	if p.faults.Call(body.Class, 0, body.Domain).Refuse {
		http.Error(w, "no capacity", http.StatusServiceUnavailable)
		return
	}
	if !p.allowStart() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many starts", http.StatusTooManyRequests)
		return
	}
	started, err := p.launch(body.Instance, 0, true)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.intents[body.Intent] = started
	hoster.Reply(w, http.StatusCreated, started)
}

// allowStart reports whether the rate limit of starts allows one more. It is a
// token bucket. The caller holds the lock.
func (p *Platform) allowStart() bool {
	now := p.clock.Now()
	rate := p.settings.StartRate / p.settings.Scale
	if p.refilledAt.IsZero() {
		p.startTokens = max(p.settings.StartRate, 1)
	} else {
		p.startTokens = min(p.startTokens+rate*now.Sub(p.refilledAt).Seconds(), max(p.settings.StartRate, 1))
	}
	p.refilledAt = now
	if p.startTokens < 1 {
		return false
	}
	p.startTokens--
	return true
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	if !p.terminate(r.PathValue("id")) {
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getNotices(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	p.mu.Lock()
	notices := append([]Notice{}, p.notices[min(after, uint64(len(p.notices))):]...)
	p.mu.Unlock()
	hoster.Reply(w, http.StatusOK, struct {
		Notices []Notice `json:"notices"`
	}{notices})
}

func (p *Platform) getClasses(w http.ResponseWriter, _ *http.Request) {
	hoster.Reply(w, http.StatusOK, struct {
		Classes []Class `json:"classes"`
	}{p.settings.Classes})
}

// Bill is the answer to GET /bill.
type Bill struct {
	Rate  float64 `json:"rate"`  // total price per hour of the current instances
	Spent float64 `json:"spent"` // cost since the start of the platform; Scale is not applied
}

func (p *Platform) getBill(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	now := p.clock.Now()
	bill := Bill{Spent: p.endedCost}
	for _, rec := range p.instances {
		bill.Rate += rec.instance.Price
		bill.Spent += rec.cost(now)
	}
	p.mu.Unlock()
	hoster.Reply(w, http.StatusOK, bill)
}

// postFault sets a fault on all instances of a service, including those that start
// later.
func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	var fault faulter.Fault
	if !hoster.Decode(w, r, &fault) {
		return
	}
	service := r.PathValue("service")
	p.mu.Lock()
	p.serviceFaults[service] = append(p.serviceFaults[service], fault)
	count := 0
	for _, rec := range p.instances {
		if rec.instance.Service == service {
			rec.process.faults.Put(fault)
			count++
		}
	}
	p.mu.Unlock()
	hoster.Reply(w, http.StatusOK, struct {
		Instances int `json:"instances"`
	}{count})
}

func (p *Platform) postWeights(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		Version string `json:"version"`
		ID      string `json:"id"`
	}
	if !hoster.Decode(w, r, &body) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rec, ok := p.instances[body.ID]
	if !ok || rec.instance.Service != body.Service {
		http.NotFound(w, r)
		return
	}
	key := body.ID + " " + body.Version
	if !p.activeLoads[key] && len(p.activeLoads) >= p.settings.MaxLoads {
		wait := p.settings.scaled(rec.process.loadTime)
		w.Header().Set("Retry-After", strconv.Itoa(int(max(wait, time.Second)/time.Second)))
		http.Error(w, "the store is busy", http.StatusTooManyRequests)
		return
	}
	if !p.activeLoads[key] {
		p.activeLoads[key] = true
		rec.process.load(body.Version, rec.process.loadTime)
		p.ended.Add(1)
		go (&transfer{platform: p, key: key, duration: p.settings.scaled(rec.process.loadTime)}).run()
	}
	w.WriteHeader(http.StatusAccepted)
}

// transfer is one load from the weight store. It counts against MaxLoads until it ends.
type transfer struct {
	platform *Platform
	key      string
	duration time.Duration
}

func (t *transfer) run() {
	p := t.platform
	defer p.ended.Done()
	clock.Sleep(p.clock, t.duration, p.host.Done())
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.activeLoads, t.key)
}
