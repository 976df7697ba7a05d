package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/hoster"
)

const (
	fetchTimeout = 30 * time.Second // time allowed for fetching a handle from another engine
	bytesPerWord = 131072           // KV cache size of one word or token
)

var (
	errLoading     = errors.New("no version is ready")
	errDuplicateID = errors.New("a call with this request id runs already")
)

// Request is the body of POST /generate. After holds the tokens that are already
// generated, and KV is the handle of an imported KV cache.
type Request struct {
	Request  string   `json:"request"`
	Prompt   string   `json:"prompt"`
	Max      int      `json:"max"`
	Priority int      `json:"priority"`
	After    []string `json:"after"`
	KV       string   `json:"kv"`
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.waitWhileFrozen(e.generate))
	mux.HandleFunc("DELETE /generate/{request}", e.waitWhileFrozen(e.cancel))
	mux.HandleFunc("POST /kv/export", e.waitWhileFrozen(e.export))
	mux.HandleFunc("POST /kv/import", e.waitWhileFrozen(e.importKV))
	mux.HandleFunc("GET /kv/{handle}", e.waitWhileFrozen(e.getKV))
	mux.HandleFunc("GET /load", e.waitWhileFrozen(e.getLoad))
	mux.HandleFunc("GET /events", e.waitWhileFrozen(e.getEvents))
	mux.HandleFunc("POST /orders", e.waitWhileFrozen(e.postOrder))
	mux.HandleFunc("GET /orders", e.waitWhileFrozen(e.getOrder))
	mux.HandleFunc("GET /healthz", e.waitWhileFrozen(e.healthz))
	mux.HandleFunc("/faults", e.faults.Serve)
	return mux
}

// waitWhileFrozen delays requests while the engine is frozen by a fault.
func (e *Engine) waitWhileFrozen(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.faults.WaitUnfrozen(r.Context().Done()) {
			hoster.Echo(w, r)
			handle(w, r)
		}
	}
}

func (e *Engine) healthz(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	ready := e.serving != "" && e.order.State != stateLoading
	e.mu.Unlock()
	if !ready {
		http.Error(w, errLoading.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ok")
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.samples[0]
	e.mu.Unlock()
	hoster.Reply(w, http.StatusOK, report)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var body Request
	if !hoster.Decode(w, r, &body) {
		return
	}
	if body.Max < 1 || body.Max > maxTokens || body.Prompt == "" {
		http.Error(w, "prompt and max are required", http.StatusBadRequest)
		return
	}
	version, running := e.running()
	effect := e.faults.Call(version, running, r.Header.Get("Route"), body.Prompt)
	effect.Announce(w)
	if effect.Refuse || effect.Pause > 0 {
		refuse(w, "refused")
		return
	}
	if effect.Fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	if !clock.Sleep(e.clock, effect.Delay, r.Context().Done()) {
		return
	}
	job := Job{
		ID: body.Request, Prompt: body.Prompt, Max: body.Max, Priority: body.Priority,
		After: min(len(body.After), body.Max), Slowdown: effect.Slowdown,
	}
	c, err := e.add(job, body.KV)
	switch {
	case errors.Is(err, errDuplicateID):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		refuse(w, err.Error())
	default:
		defer e.remove(c.job.ID)
		s := stream{engine: e, call: c, w: w, controller: http.NewResponseController(w)}
		if effect.LoseAnswer {
			s.abortAfter = max((job.Max-job.After)/2, 1)
		}
		s.send(r.Context())
	}
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Outcome", "notrun")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("request")
	e.mu.Lock()
	c, known := e.calls[id]
	if known {
		delete(e.calls, id)
		e.batch.Remove(id)
		close(c.outputs)
	}
	e.mu.Unlock()
	if !known {
		http.NotFound(w, r)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) export(w http.ResponseWriter, r *http.Request) {
	var body Request
	if !hoster.Decode(w, r, &body) {
		return
	}
	e.mu.Lock()
	c, known := e.calls[body.Request]
	var h handle
	if known {
		tokens, _ := e.batch.Remove(body.Request)
		delete(e.calls, body.Request)
		h = handle{Prompt: c.answer.seed, Tokens: tokens}
		close(c.moved)
	}
	name := e.storeHandle(h)
	e.mu.Unlock()
	if !known {
		http.NotFound(w, r)
		return
	}
	e.replyHandle(w, name, h)
}

func (e *Engine) replyHandle(w http.ResponseWriter, name string, h handle) {
	hoster.Reply(w, http.StatusOK, struct {
		Handle string `json:"handle"`
		Tokens int    `json:"tokens"`
		Bytes  int    `json:"bytes"`
	}{name, h.Tokens, h.Tokens * bytesPerWord})
}

// storeHandle stores a handle under a new name, and evicts the oldest one above
// maxHandles. The caller holds the lock.
func (e *Engine) storeHandle(h handle) string {
	name := fmt.Sprintf("%s-%016x", e.spec.ID, e.random.Uint64())
	e.handles[name] = h
	e.handleIDs = append(e.handleIDs, name)
	if len(e.handleIDs) > maxHandles {
		delete(e.handles, e.handleIDs[0])
		e.handleIDs = e.handleIDs[1:]
	}
	return name
}

func (e *Engine) getKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	h, ok := e.handles[r.PathValue("handle")]
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	hoster.Reply(w, http.StatusOK, h)
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var body struct {
		From   string `json:"from"`
		Handle string `json:"handle"`
	}
	if !hoster.Decode(w, r, &body) {
		return
	}
	h, err := e.fetch(r.Context(), body.From, body.Handle)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	copyTime := time.Duration(float64(h.Tokens) / e.spec.CopyRate * float64(time.Second))
	if !clock.Sleep(e.clock, e.spec.scaled(copyTime), r.Context().Done()) {
		return
	}
	e.mu.Lock()
	name := e.storeHandle(h)
	e.mu.Unlock()
	e.replyHandle(w, name, h)
}

func (e *Engine) fetch(ctx context.Context, from, name string) (handle, error) {
	address, err := netip.ParseAddrPort(from)
	if err != nil {
		return handle{}, fmt.Errorf("import from %q: %w", from, err)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/kv/%s", address, name), nil)
	if err != nil {
		return handle{}, err
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return handle{}, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return handle{}, fmt.Errorf("import from %s: status %d", address, answer.StatusCode)
	}
	var h handle
	return h, json.NewDecoder(answer.Body).Decode(&h)
}
