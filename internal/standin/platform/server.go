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
	mux.HandleFunc("GET /instances", p.thawed(p.getInstances))
	mux.HandleFunc("POST /instances", p.thawed(p.postInstance))
	mux.HandleFunc("DELETE /instances/{id}", p.thawed(p.deleteInstance))
	mux.HandleFunc("GET /notices", p.thawed(p.getNotices))
	mux.HandleFunc("GET /classes", p.thawed(p.getClasses))
	mux.HandleFunc("POST /weights", p.thawed(p.postWeights))
	mux.HandleFunc("POST /reclaim", p.reclaim)
	mux.HandleFunc("GET /bill", p.getBill)
	mux.HandleFunc("/faults", p.faults.Serve)
	mux.HandleFunc("POST /services/{service}/faults", p.postFault)
	return mux
}

// thawed holds a call while the platform is frozen.
func (p *Platform) thawed(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.faults.Thaw(r.Context().Done()) {
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
	if made, ok := p.intents[body.Intent]; ok && body.Intent != "" {
		hoster.Reply(w, http.StatusCreated, made)
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
	if !p.allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many starts", http.StatusTooManyRequests)
		return
	}
	made, err := p.launch(body.Instance, 0, true)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.intents[body.Intent] = made
	hoster.Reply(w, http.StatusCreated, made)
}

// allow limits the rate of starts. The caller holds the lock.
func (p *Platform) allow() bool {
	now := p.clock.Now()
	rate := p.settings.Rate / p.settings.Scale
	if p.refilled.IsZero() {
		p.tokens = max(p.settings.Rate, 1)
	} else {
		p.tokens = min(p.tokens+rate*now.Sub(p.refilled).Seconds(), max(p.settings.Rate, 1))
	}
	p.refilled = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	if !p.end(r.PathValue("id")) {
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) getNotices(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	p.mu.Lock()
	found := append([]Notice{}, p.notices[min(after, uint64(len(p.notices))):]...)
	p.mu.Unlock()
	hoster.Reply(w, http.StatusOK, struct {
		Notices []Notice `json:"notices"`
	}{found})
}

func (p *Platform) getClasses(w http.ResponseWriter, _ *http.Request) {
	hoster.Reply(w, http.StatusOK, struct {
		Classes []Class `json:"classes"`
	}{p.settings.Classes})
}

// Bill is the answer to GET /bill.
type Bill struct {
	Rate  float64 `json:"rate"`  // price per hour of what runs now
	Spent float64 `json:"spent"` // since the start of the platform, by the unscaled clock
}

func (p *Platform) getBill(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	now := p.clock.Now()
	bill := Bill{Spent: p.spent}
	for _, u := range p.units {
		bill.Rate += u.instance.Price
		bill.Spent += u.cost(now)
	}
	p.mu.Unlock()
	hoster.Reply(w, http.StatusOK, bill)
}

// postFault sets a fault on all instances of a service, also later ones.
func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	var fault faulter.Fault
	if !hoster.Decode(w, r, &fault) {
		return
	}
	service := r.PathValue("service")
	p.mu.Lock()
	p.faulted[service] = append(p.faulted[service], fault)
	count := 0
	for _, u := range p.units {
		if u.instance.Service == service {
			u.process.faults.Put(fault)
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
	u, ok := p.units[body.ID]
	if !ok || u.instance.Service != body.Service {
		http.NotFound(w, r)
		return
	}
	name := body.ID + " " + body.Version
	if !p.loading[name] && len(p.loading) >= p.settings.Loads {
		wait := p.settings.scaled(u.process.took)
		w.Header().Set("Retry-After", strconv.Itoa(int(max(wait, time.Second)/time.Second)))
		http.Error(w, "the store is busy", http.StatusTooManyRequests)
		return
	}
	if !p.loading[name] {
		p.loading[name] = true
		u.process.load(body.Version, u.process.took)
		p.ended.Add(1)
		go (&transfer{platform: p, name: name, took: p.settings.scaled(u.process.took)}).run()
	}
	w.WriteHeader(http.StatusAccepted)
}

// transfer holds one place of the weight store.
type transfer struct {
	platform *Platform
	name     string
	took     time.Duration
}

func (t *transfer) run() {
	p := t.platform
	defer p.ended.Done()
	clock.Sleep(p.clock, t.took, p.host.Dead())
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.loading, t.name)
}
