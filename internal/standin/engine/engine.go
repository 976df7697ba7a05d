// Package engine is a stand-in for a model engine: it batches continuously, keeps
// a bounded prefix cache, honours priorities, resumes, cancels, moves KV caches,
// reports its load with a lag and takes orders.
package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/faulter"
	"hyssoprudder/internal/standin/hoster"
)

const (
	maxEvents  = 8192
	maxHandles = 256
	maxTokens  = 16384
	// samples is the number of load samples in one lag.
	samples = 2
)

// Engine is one running engine.
type Engine struct {
	spec   Spec
	clock  clock.Clock
	host   *hoster.Host
	faults *faulter.Set
	wake   chan struct{}
	ended  sync.WaitGroup

	mu        sync.Mutex
	batch     *Batch
	calls     map[string]*call
	counter   uint64
	handles   map[string]handle
	handleIDs []string
	samples   []hoster.Report
	events    []event
	seq       uint64
	random    *rand.Rand
	order     orderState
	serving   string
	weights   map[string]bool
	tokens    uint64
}

// call is one generation in progress.
type call struct {
	job     Job
	answer  Answer
	outputs chan Output
	moved   chan struct{}
}

// handle is an exported KV cache.
type handle struct {
	Prompt uint64 `json:"prompt"` // xxhash
	Tokens int    `json:"tokens"`
}

// Start runs an engine that listens on an IP address and port.
func Start(address string, spec Spec, c clock.Clock) (*Engine, error) {
	if spec.Slots < 1 || spec.Chunk < 1 || spec.Prefill <= 0 || spec.Decode <= 0 || spec.Copy <= 0 || spec.Scale <= 0 {
		return nil, fmt.Errorf("engine %s: slots, chunk, rates and scale must be above 0", spec.ID)
	}
	e := &Engine{
		spec: spec, clock: c,
		faults:  faulter.New(spec.Seed, c.Now),
		wake:    make(chan struct{}, 1),
		calls:   make(map[string]*call),
		handles: make(map[string]handle),
		random:  rand.New(rand.NewPCG(spec.Seed, xxhash.Sum64String(spec.ID))),
		weights: make(map[string]bool),
	}
	e.batch = newBatch(spec, e.record)
	e.order = orderState{Order: Order{Service: spec.Service, Version: spec.Version}, State: stateReady}
	if spec.Empty {
		e.order.State = stateLoading
	} else {
		e.serving = spec.Version
		e.weights[spec.Version] = true
	}
	e.sample()
	host, err := hoster.Listen(address, e.handler())
	if err != nil {
		return nil, err
	}
	e.host = host
	e.ended.Add(2)
	go e.run()
	go e.loop()
	return e, nil
}

// ID returns the identity of the engine.
func (e *Engine) ID() string { return e.spec.ID }

// Address returns the address that the engine listens on.
func (e *Engine) Address() netip.AddrPort { return e.host.Address() }

// Faults returns the faults of the engine.
func (e *Engine) Faults() *faulter.Set { return e.faults }

// Kill ends the engine abruptly.
func (e *Engine) Kill() {
	e.host.Kill()
	e.ended.Wait()
}

// Stop lets the running calls finish until ctx ends.
func (e *Engine) Stop(ctx context.Context) {
	e.host.Stop(ctx)
	e.ended.Wait()
}

// Serving returns the version that is served, or an empty string.
func (e *Engine) Serving() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serving
}

// Counts returns the tokens generated and the words and tokens computed for
// prefill so far.
func (e *Engine) Counts() (generated, computed uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens, e.batch.work
}

// run makes the steps of the batch.
func (e *Engine) run() {
	defer e.ended.Done()
	due := e.clock.Now()
	for {
		if !e.faults.Thaw(e.host.Dead()) {
			return
		}
		e.mu.Lock()
		took, outputs := e.batch.Step()
		version, running := e.serving, e.batch.Running()
		e.mu.Unlock()
		if took == 0 {
			select {
			case <-e.wake:
			case <-e.host.Dead():
				return
			}
			due = e.clock.Now()
			continue
		}
		took = time.Duration(float64(e.spec.scaled(took)) * e.faults.Factor(version, running))
		due = due.Add(took)
		if late := e.clock.Now().Sub(due); late > took {
			due = due.Add(late)
		}
		if !clock.Sleep(e.clock, due.Sub(e.clock.Now()), e.host.Dead()) {
			return
		}
		e.deliver(outputs)
		if len(outputs) > 0 && e.faults.Dies(version, len(outputs)) {
			e.host.Kill()
		}
	}
}

// loop samples the load, so that reports can be late.
func (e *Engine) loop() {
	defer e.ended.Done()
	for clock.Sleep(e.clock, max(e.spec.scaled(e.spec.Lag)/samples, time.Millisecond), e.host.Dead()) {
		e.sample()
	}
}

func (e *Engine) sample() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.samples = append(e.samples, hoster.Report{
		ID: e.spec.ID, Service: e.order.Service, Version: e.serving, Domain: e.spec.Domain, At: e.clock.Now(),
		Running: e.batch.Running(), Queued: e.batch.Queued(), Slots: e.spec.Slots,
		KVUsed: len(e.batch.cache.blocks) * blockWords, KVSize: e.spec.Cache,
		PrefillRate: e.spec.Prefill / e.spec.Scale, DecodeRate: e.spec.Decode / e.spec.Scale,
	})
	if len(e.samples) > samples {
		e.samples = e.samples[1:]
	}
}

func (e *Engine) deliver(outputs []Output) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens += uint64(len(outputs))
	for _, output := range outputs {
		c, ok := e.calls[output.ID]
		if !ok {
			continue
		}
		c.outputs <- output
	}
}

// add starts a call, unless its identity is in use or no version is served.
func (e *Engine) add(job Job, kv string) (*call, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.order.State == stateLoading || e.serving == "" {
		return nil, errLoading
	}
	if job.ID == "" {
		e.counter++
		job.ID = fmt.Sprintf("%s-%d", e.spec.ID, e.counter)
	}
	if _, taken := e.calls[job.ID]; taken {
		return nil, errTaken
	}
	c := &call{
		job: job, answer: NewAnswer(job.Prompt),
		outputs: make(chan Output, job.Max-job.After),
		moved:   make(chan struct{}),
	}
	if h, ok := e.handles[kv]; ok && h.Prompt == c.answer.seed {
		c.job.Imported = h.Tokens
	}
	e.calls[job.ID] = c
	e.batch.Add(c.job)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return c, nil
}

func (e *Engine) remove(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, known := e.calls[id]
	delete(e.calls, id)
	e.batch.Remove(id)
	return known
}

func (e *Engine) running() (string, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serving, e.batch.Running()
}
