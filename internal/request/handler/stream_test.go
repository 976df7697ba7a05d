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

// If an engine fails or leaves while it generates answers, each caller still receives its
// own complete answer, with every token exactly once and in order.
func TestAnswerCompletesWhenEngineFails(t *testing.T) {
	cases := map[string]func(e *entry, victim *engine.Engine){
		"no fault": func(*entry, *engine.Engine) {},
		"killed":   func(_ *entry, victim *engine.Engine) { victim.Kill() },
		"frozen":   func(_ *entry, victim *engine.Engine) { victim.Faults().Put(faulter.Fault{Freeze: true}) },
		"slow":     func(_ *entry, victim *engine.Engine) { victim.Faults().Put(faulter.Fault{Slowdown: 50}) },
		"leaving":  func(e *entry, victim *engine.Engine) { e.observer.SetLeaving(victim.ID(), true) },
		"leaving, killed before the notice ends": func(e *entry, victim *engine.Engine) {
			e.observer.SetLeaving(victim.ID(), true)
			victim.Kill()
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			engines, endpoints := startEngines(t, 3, nil)
			e := newEntry(t, endpoints, nil)
			var wait sync.WaitGroup
			for i := range 12 {
				c := &caller{entry: e, customer: "masons", prompt: promptText(i, 100), max: 150 + i}
				wait.Add(1)
				go c.run(&wait)
			}
			fault(e, e.waitForBusyEngine(engines))
			wait.Wait()
		})
	}
}

// The KV cache of a leaving engine is copied, so that the prompt is not prefilled again.
func TestLeavingEngineExportsItsCache(t *testing.T) {
	engines, endpoints := startEngines(t, 2, nil)
	e := newEntry(t, endpoints, nil)
	c := &caller{entry: e, customer: "masons", prompt: promptText(1, 400), max: 800}
	resp := c.post(false)
	victim := e.waitForBusyEngine(engines)
	e.observer.SetLeaving(victim.ID(), true)
	c.requireAnswer(resp)
	require.Eventually(t, func() bool {
		load := e.observer.Load(victim.ID())
		return load.OwnInFlight() == 0
	}, time.Minute, time.Millisecond)
	_, first := engines[0].Counts()
	_, second := engines[1].Counts()
	require.Less(t, first+second, uint64(500), "the prompt must be prefilled only once")
	require.Zero(t, e.recomputed())
}

func TestDisconnectedCallerCancelsItsAnswer(t *testing.T) {
	engines, endpoints := startEngines(t, 1, nil)
	e := newEntry(t, endpoints, nil)
	c := &caller{entry: e, customer: "masons", prompt: promptText(1, 20), max: 3000}
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
	engines, endpoints := startEngines(t, 1, nil)
	e := newEntry(t, endpoints, nil)
	first := &caller{entry: e, customer: "masons", key: "k", prompt: promptText(1, 50), max: 100}
	again := &caller{entry: e, customer: "masons", key: "k", prompt: promptText(1, 50), max: 100}
	other := &caller{entry: e, customer: "depots", key: "k", prompt: promptText(2, 50), max: 100}
	responses := []*http.Response{first.post(false), again.post(false), other.post(false)}
	for i, c := range []*caller{first, again, other} {
		c.requireAnswer(responses[i])
	}
	generated, _ := engines[0].Counts()
	require.Equal(t, uint64(200), generated, "three callers must share two answers")
	changed := &caller{entry: e, customer: "masons", key: "k", prompt: promptText(3, 50), max: 100}
	resp := changed.post(false)
	defer resp.Body.Close()
	require.Equal(t, http.StatusUnprocessableEntity, resp.StatusCode)

	unstreamed := &caller{entry: e, customer: "masons", key: "k", prompt: promptText(1, 50), max: 100}
	replay := unstreamed.post(true)
	defer replay.Body.Close()
	var answer struct {
		Tokens []string
		Count  int
	}
	require.NoError(t, json.NewDecoder(replay.Body).Decode(&answer))
	require.Equal(t, 100, answer.Count)
	for i, token := range answer.Tokens {
		require.Equal(t, engine.NewAnswer(unstreamed.prompt).Token(i), token)
	}
}

func TestCallerReconnectsAfterTheLastEvent(t *testing.T) {
	_, endpoints := startEngines(t, 1, nil)
	e := newEntry(t, endpoints, func(cfg *handler.Config) { cfg.Grace = time.Minute })
	c := &caller{entry: e, customer: "masons", prompt: promptText(1, 50), max: 200}
	c.read(c.post(false), func(got event) bool {
		c.requireNext(got)
		return got.id < 20
	})
	c.cancel()
	c.requireAnswer(c.post(false))
}

// peerGroup connects entries within one process.
type peerGroup struct {
	entries map[string]*entry
	down    map[string]bool
}

func (m *peerGroup) peers(self string) handler.Peers {
	return handler.Peers{
		Nodes: func() []string {
			var nodes []string
			for name := range m.entries {
				if name != self && !m.down[name] {
					nodes = append(nodes, name)
				}
			}
			return nodes
		},
		Read: func(ctx context.Context, node string, q handler.StreamQuery) (handler.StreamBatch, error) {
			if m.down[node] {
				return handler.StreamBatch{}, fmt.Errorf("entry %s is down", node)
			}
			return m.entries[node].handler.ReadStream(ctx, q), nil
		},
		HandOver: func(_ context.Context, node string, record []byte) error {
			return m.entries[node].handler.Adopt(record)
		},
	}
}

func newPeerGroup(t *testing.T, names ...string) (*peerGroup, []*engine.Engine) {
	engines, endpoints := startEngines(t, 2, nil)
	m := &peerGroup{entries: make(map[string]*entry), down: make(map[string]bool)}
	for _, name := range names {
		m.entries[name] = newEntry(t, endpoints, func(cfg *handler.Config) {
			cfg.Grace, cfg.Peers = time.Minute, m.peers(name)
		})
	}
	return m, engines
}

// A leaving entry hands over its streams, and the caller can reconnect at any other entry.
func TestLeavingEntryHandsItsStreamsOver(t *testing.T) {
	for name, key := range map[string]string{"with a key": "k", "by the request's id": ""} {
		t.Run(name, func(t *testing.T) {
			m, _ := newPeerGroup(t, "a", "b", "c")
			c := &caller{entry: m.entries["a"], customer: "masons", key: key, prompt: promptText(1, 50), max: 300}
			moved := false
			c.read(c.post(false), func(got event) bool {
				if got.kind != "" {
					moved = got.kind == "moved"
					return false
				}
				c.requireNext(got)
				if got.id == 20 {
					remaining, err := m.entries["a"].handler.HandOver(context.Background())
					require.NoError(t, err)
					require.Zero(t, remaining)
				}
				return true
			})
			require.True(t, moved)
			m.down["a"] = true
			for _, other := range []string{"b", "c"} {
				again := *c
				again.entry = m.entries[other]
				again.requireAnswer(again.post(false))
			}
		})
	}
}

func TestCallerJoinsAnAnswerOfAnotherEntry(t *testing.T) {
	m, engines := newPeerGroup(t, "a", "b")
	first := &caller{entry: m.entries["a"], customer: "masons", key: "k", prompt: promptText(1, 50), max: 200}
	again := &caller{entry: m.entries["b"], customer: "masons", key: "k", prompt: promptText(1, 50), max: 200}
	resp := first.post(false)
	m.entries["a"].waitForBusyEngine(engines)
	again.requireAnswer(again.post(false))
	first.requireAnswer(resp)
	one, _ := engines[0].Counts()
	two, _ := engines[1].Counts()
	require.Equal(t, uint64(200), one+two)
}

// After an entry is lost without notice, another entry generates the answer again and
// continues after the last token that the caller received.
func TestCallerResumesAfterEntryLoss(t *testing.T) {
	m, _ := newPeerGroup(t, "a", "b")
	c := &caller{entry: m.entries["a"], customer: "masons", key: "k", prompt: promptText(1, 50), max: 200}
	c.read(c.post(false), func(got event) bool {
		c.requireNext(got)
		return got.id < 20
	})
	c.cancel()
	m.down["a"] = true
	c.entry = m.entries["b"]
	c.requireAnswer(c.post(false))
}

// blockedWriter blocks the first write until it is released.
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

type servedCall struct {
	entry *entry
	done  chan struct{}
}

func (s servedCall) run(w http.ResponseWriter, r *http.Request) {
	defer close(s.done)
	s.entry.ServeHTTP(w, r)
}

// A caller that does not read blocks neither the engine nor another caller of the same
// answer, and receives the complete answer later.
func TestSlowCallerDoesNotBlockOthers(t *testing.T) {
	_, endpoints := startEngines(t, 1, nil)
	e := newEntry(t, endpoints, nil)
	w := &blockedWriter{ResponseRecorder: httptest.NewRecorder(), blocked: make(chan struct{}), release: make(chan struct{})}
	fast := &caller{entry: e, customer: "masons", key: "k", prompt: promptText(1, 50), max: 400}
	body, err := json.Marshal(handler.Prompt{Prompt: fast.prompt, Max: fast.max})
	require.NoError(t, err)
	r := httptest.NewRequest(http.MethodPost, "/v1/answers", bytes.NewReader(body))
	r.Header.Set("Customer", "masons")
	r.Header.Set(handler.HeaderKey, "k")
	slow := servedCall{entry: e, done: make(chan struct{})}
	go slow.run(w, r)
	<-w.blocked
	fast.requireAnswer(fast.post(false))
	close(w.release)
	<-slow.done
	late := &caller{entry: e, prompt: fast.prompt, max: fast.max}
	late.requireAnswer(w.Result())
}

func TestRefusalsOfAModelCall(t *testing.T) {
	engines, endpoints := startEngines(t, 1, nil)
	e := newEntry(t, endpoints, nil)
	cases := map[string]struct {
		caller caller
		status int
	}{
		"deadline that cannot be met": {caller{customer: "masons", prompt: promptText(1, 20), max: 5000, timeout: "300ms"}, http.StatusServiceUnavailable},
		"over the limit":              {caller{customer: "depots", prompt: promptText(1, 20), max: 5}, http.StatusTooManyRequests},
	}
	e.reportLoad()
	spend := &caller{entry: e, customer: "depots", prompt: promptText(5, 20), max: 5}
	spend.requireAnswer(spend.post(false))
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
			require.Equal(t, before, computed, "no engine received the call")
		})
	}
}

func TestOutcomeWithoutEngineAndAfterLoss(t *testing.T) {
	engines, endpoints := startEngines(t, 1, nil)
	e := newEntry(t, endpoints, nil)
	c := &caller{entry: e, customer: "masons", prompt: promptText(1, 20), max: 10, timeout: "400ms"}
	engines[0].Faults().Put(faulter.Fault{FailRate: 1})
	resp := c.post(false)
	resp.Body.Close()
	require.Equal(t, "unknown", resp.Header.Get(handler.HeaderOutcome))
	engines[0].Kill()
	resp = c.post(false)
	resp.Body.Close()
	require.Equal(t, "notrun", resp.Header.Get(handler.HeaderOutcome))
}

// deadlineWriter records the last write deadline.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (w *deadlineWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

// A write deadline left on a keep-alive connection would truncate a later answer.
func TestStreamLeavesNoDeadlineOnTheConnection(t *testing.T) {
	_, endpoints := startEngines(t, 1, nil)
	e := newEntry(t, endpoints, nil)
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder(), deadline: time.Unix(1, 0)}
	r := httptest.NewRequest(http.MethodPost, "/v1/answers", strings.NewReader(`{"prompt":"a b c","max":5}`))
	r.Header.Set("Customer", "masons")
	e.ServeHTTP(w, r)
	require.Contains(t, w.Body.String(), "event: done")
	require.Zero(t, w.deadline)
}
