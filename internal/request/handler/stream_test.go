package handler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/handler"
	"hyssoprudder/internal/standin/engine"
	"hyssoprudder/internal/standin/faulter"
)

// Whatever happens to the engine in the middle of many answers, each caller gets its own
// answer whole, each token once and in order.
func TestAnswersSurviveTheirEngine(t *testing.T) {
	cases := map[string]func(e *entry, victim *engine.Engine){
		"nothing": func(*entry, *engine.Engine) {},
		"killed":  func(_ *entry, victim *engine.Engine) { victim.Kill() },
		"frozen":  func(_ *entry, victim *engine.Engine) { victim.Faults().Put(faulter.Fault{Freeze: true}) },
		"slow":    func(_ *entry, victim *engine.Engine) { victim.Faults().Put(faulter.Fault{Slow: 50}) },
		"leaving": func(e *entry, victim *engine.Engine) { e.observer.SetLeaving(victim.ID(), true) },
		"leaving, then killed before the notice ends": func(e *entry, victim *engine.Engine) {
			e.observer.SetLeaving(victim.ID(), true)
			victim.Kill()
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			engines, fleet := startEngines(t, 3, nil)
			e := newEntry(t, fleet, nil)
			var wait sync.WaitGroup
			for i := range 12 {
				c := &caller{entry: e, customer: "masons", prompt: text(i, 100), max: 150 + i}
				wait.Add(1)
				go c.run(&wait)
			}
			fault(e, e.busy(engines))
			wait.Wait()
		})
	}
}

// An announced leave moves the KV cache, so that nothing is computed twice.
func TestLeavingEngineExportsItsCache(t *testing.T) {
	engines, fleet := startEngines(t, 2, nil)
	e := newEntry(t, fleet, nil)
	c := &caller{entry: e, customer: "masons", prompt: text(1, 400), max: 800}
	resp := c.post(false)
	victim := e.busy(engines)
	e.observer.SetLeaving(victim.ID(), true)
	c.check(resp)
	require.Eventually(t, func() bool {
		load := e.observer.Load(victim.ID())
		return load.OwnInFlight() == 0
	}, time.Minute, time.Millisecond)
	_, first := engines[0].Counts()
	_, second := engines[1].Counts()
	require.Less(t, first+second, uint64(500), "the prompt was computed once")
	require.Zero(t, e.recomputed())
}

func TestCallerThatLeavesCancelsItsAnswer(t *testing.T) {
	engines, fleet := startEngines(t, 1, nil)
	e := newEntry(t, fleet, nil)
	c := &caller{entry: e, customer: "masons", prompt: text(1, 20), max: 3000}
	resp := c.post(false)
	c.read(resp, func(got event) bool { return got.id < 5 })
	c.cancel()
	require.Eventually(t, func() bool {
		load := e.observer.Load(engines[0].ID())
		return load.OwnInFlight() == 0 && len(e.streams.Running()) == 0
	}, time.Minute, time.Millisecond)
	generated, _ := engines[0].Counts()
	require.Less(t, generated, uint64(2500))
}

func TestKeyJoinsTheAnswerOfTheSameCustomerOnly(t *testing.T) {
	engines, fleet := startEngines(t, 1, nil)
	e := newEntry(t, fleet, nil)
	first := &caller{entry: e, customer: "masons", key: "k", prompt: text(1, 50), max: 100}
	again := &caller{entry: e, customer: "masons", key: "k", prompt: text(1, 50), max: 100}
	other := &caller{entry: e, customer: "depots", key: "k", prompt: text(2, 50), max: 100}
	responses := []*http.Response{first.post(false), again.post(false), other.post(false)}
	for i, c := range []*caller{first, again, other} {
		c.check(responses[i])
	}
	generated, _ := engines[0].Counts()
	require.Equal(t, uint64(200), generated, "two answers were generated for three callers")
	changed := &caller{entry: e, customer: "masons", key: "k", prompt: text(3, 50), max: 100}
	resp := changed.post(false)
	defer resp.Body.Close()
	require.Equal(t, http.StatusUnprocessableEntity, resp.StatusCode)

	whole := &caller{entry: e, customer: "masons", key: "k", prompt: text(1, 50), max: 100}
	replay := whole.post(true)
	defer replay.Body.Close()
	var answer struct {
		Tokens []string
		Count  int
	}
	require.NoError(t, json.NewDecoder(replay.Body).Decode(&answer))
	require.Equal(t, 100, answer.Count)
	for i, token := range answer.Tokens {
		require.Equal(t, engine.NewAnswer(whole.prompt).Token(i), token)
	}
}

func TestCallerReconnectsBehindTheLastEvent(t *testing.T) {
	_, fleet := startEngines(t, 1, nil)
	e := newEntry(t, fleet, func(cfg *handler.Config) { cfg.Grace = time.Minute })
	c := &caller{entry: e, customer: "masons", prompt: text(1, 50), max: 200}
	c.read(c.post(false), func(got event) bool {
		c.take(got)
		return got.id < 20
	})
	c.cancel()
	c.check(c.post(false))
}

// mesh joins entries in one process.
type mesh struct {
	entries map[string]*entry
	dead    map[string]bool
}

func (m *mesh) peers(self string) handler.Peers {
	return handler.Peers{
		Nodes: func() []string {
			var nodes []string
			for name := range m.entries {
				if name != self && !m.dead[name] {
					nodes = append(nodes, name)
				}
			}
			return nodes
		},
		Read: func(ctx context.Context, node string, q handler.Query) (handler.Batch, error) {
			if m.dead[node] {
				return handler.Batch{}, fmt.Errorf("%s is gone", node)
			}
			return m.entries[node].handler.Read(ctx, q), nil
		},
		Hand: func(_ context.Context, node string, record []byte) error {
			return m.entries[node].handler.Adopt(record)
		},
	}
}

func newMesh(t *testing.T, names ...string) (*mesh, []*engine.Engine) {
	engines, fleet := startEngines(t, 2, nil)
	m := &mesh{entries: make(map[string]*entry), dead: make(map[string]bool)}
	for _, name := range names {
		m.entries[name] = newEntry(t, fleet, func(cfg *handler.Config) {
			cfg.Grace, cfg.Peers = time.Minute, m.peers(name)
		})
	}
	return m, engines
}

// An entry that leaves hands its streams over; the caller comes back at any entry.
func TestLeavingEntryHandsItsStreamsOver(t *testing.T) {
	for name, key := range map[string]string{"with a key": "k", "by the request's id": ""} {
		t.Run(name, func(t *testing.T) {
			m, _ := newMesh(t, "a", "b", "c")
			c := &caller{entry: m.entries["a"], customer: "masons", key: key, prompt: text(1, 50), max: 300}
			moved := false
			c.read(c.post(false), func(got event) bool {
				if got.kind != "" {
					moved = got.kind == "moved"
					return false
				}
				c.take(got)
				if got.id == 20 {
					left, err := m.entries["a"].handler.HandOver(context.Background())
					require.NoError(t, err)
					require.Zero(t, left)
				}
				return true
			})
			require.True(t, moved)
			m.dead["a"] = true
			for _, other := range []string{"b", "c"} {
				again := *c
				again.entry = m.entries[other]
				again.check(again.post(false))
			}
		})
	}
}

func TestCallerJoinsAnAnswerOfAnotherEntry(t *testing.T) {
	m, engines := newMesh(t, "a", "b")
	first := &caller{entry: m.entries["a"], customer: "masons", key: "k", prompt: text(1, 50), max: 200}
	again := &caller{entry: m.entries["b"], customer: "masons", key: "k", prompt: text(1, 50), max: 200}
	resp := first.post(false)
	m.entries["a"].busy(engines)
	again.check(again.post(false))
	first.check(resp)
	one, _ := engines[0].Counts()
	two, _ := engines[1].Counts()
	require.Equal(t, uint64(200), one+two)
}

// After an entry was lost without notice, another one generates the answer anew and
// goes on behind what the caller has.
func TestCallerGoesOnAfterItsEntryWasLost(t *testing.T) {
	m, _ := newMesh(t, "a", "b")
	c := &caller{entry: m.entries["a"], customer: "masons", key: "k", prompt: text(1, 50), max: 200}
	c.read(c.post(false), func(got event) bool {
		c.take(got)
		return got.id < 20
	})
	c.cancel()
	m.dead["a"] = true
	c.entry = m.entries["b"]
	c.check(c.post(false))
}

// blockedWriter takes nothing until it is released.
type blockedWriter struct {
	*httptest.ResponseRecorder
	blocked chan struct{}
	release chan struct{}
	once    sync.Once
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	w.once.Do(w.block)
	return w.ResponseRecorder.Write(b)
}

func (w *blockedWriter) block() {
	close(w.blocked)
	<-w.release
}

type serving struct {
	entry *entry
	done  chan struct{}
}

func (s serving) run(w http.ResponseWriter, r *http.Request) {
	defer close(s.done)
	s.entry.ServeHTTP(w, r)
}

// A caller that takes nothing holds up neither the engine nor another caller of the same
// answer, and gets the whole of it later.
func TestSlowCallerDoesNotHoldUpOthers(t *testing.T) {
	_, fleet := startEngines(t, 1, nil)
	e := newEntry(t, fleet, nil)
	w := &blockedWriter{ResponseRecorder: httptest.NewRecorder(), blocked: make(chan struct{}), release: make(chan struct{})}
	fast := &caller{entry: e, customer: "masons", key: "k", prompt: text(1, 50), max: 400}
	body, err := json.Marshal(handler.Prompt{Prompt: fast.prompt, Max: fast.max})
	require.NoError(t, err)
	r := httptest.NewRequest(http.MethodPost, "/v1/answers", bytes.NewReader(body))
	r.Header.Set("Customer", "masons")
	r.Header.Set(handler.HeaderKey, "k")
	slow := serving{entry: e, done: make(chan struct{})}
	go slow.run(w, r)
	<-w.blocked
	fast.check(fast.post(false))
	close(w.release)
	<-slow.done
	late := &caller{entry: e, prompt: fast.prompt, max: fast.max}
	late.check(w.Result())
}

func TestRefusalsOfAModelCall(t *testing.T) {
	engines, fleet := startEngines(t, 1, nil)
	e := newEntry(t, fleet, nil)
	cases := map[string]struct {
		caller caller
		status int
	}{
		"deadline that cannot be met": {caller{customer: "masons", prompt: text(1, 20), max: 5000, timeout: "300ms"}, http.StatusServiceUnavailable},
		"over the limit":              {caller{customer: "depots", prompt: text(1, 20), max: 5}, http.StatusTooManyRequests},
	}
	e.report()
	spend := &caller{entry: e, customer: "depots", prompt: text(5, 20), max: 5}
	spend.check(spend.post(false))
	_, before := engines[0].Counts()
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tc.caller.entry = e
			resp := tc.caller.post(false)
			defer resp.Body.Close()
			require.Equal(t, tc.status, resp.StatusCode)
			require.Equal(t, "notrun", resp.Header.Get(handler.HeaderOutcome))
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			_, computed := engines[0].Counts()
			require.Equal(t, before, computed, "nothing was sent")
		})
	}
}

func TestNoEngineIsNotRunAndLostIsUnknown(t *testing.T) {
	engines, fleet := startEngines(t, 1, nil)
	e := newEntry(t, fleet, nil)
	c := &caller{entry: e, customer: "masons", prompt: text(1, 20), max: 10, timeout: "400ms"}
	engines[0].Faults().Put(faulter.Fault{FailRate: 1})
	resp := c.post(false)
	resp.Body.Close()
	require.Equal(t, "unknown", resp.Header.Get(handler.HeaderOutcome))
	engines[0].Kill()
	resp = c.post(false)
	resp.Body.Close()
	require.Equal(t, "notrun", resp.Header.Get(handler.HeaderOutcome))
}

// deadlineWriter keeps the write deadline that was set last.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (w *deadlineWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

// A deadline that stays on a kept connection would cut a later answer on it.
func TestStreamLeavesNoDeadlineOnTheConnection(t *testing.T) {
	_, fleet := startEngines(t, 1, nil)
	e := newEntry(t, fleet, nil)
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder(), deadline: time.Unix(1, 0)}
	r := httptest.NewRequest(http.MethodPost, "/v1/answers", strings.NewReader(`{"prompt":"a b c","max":5}`))
	r.Header.Set("Customer", "masons")
	e.ServeHTTP(w, r)
	require.Contains(t, w.Body.String(), "event: done")
	require.Zero(t, w.deadline)
}
