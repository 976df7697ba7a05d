// Package engine is a stand-in for a model inference engine. It implements
// continuous batching, a bounded prefix cache, priorities, resuming and
// cancelling of generations, KV cache transfer, delayed load reports and orders.
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
	maxEvents  = 8192  // cache events that stay readable
	maxHandles = 256   // exported or imported KV caches that stay readable
	maxTokens  = 16384 // largest max of a request
	// samplesPerLag is the number of load samples taken per lag.
	samplesPerLag = 2
)

// Engine is one running engine.
type Engine struct {
	spec   Spec
	clock  clock.Clock
	host   *hoster.Host
	faults *faulter.Set
	wake   chan struct{}
	ended  sync.WaitGroup

	mu         sync.Mutex
	batch      *Batch
	calls      map[string]*call
	lastCallID uint64
	handles    map[string]handle
	handleIDs  []string
	samples    []hoster.Report // oldest first; GET /load answers the oldest
	events     []event
	seq        uint64 // of the last cache event, including lost ones
	random     *rand.Rand
	order      orderState
	serving    string          // version served; empty: none
	weights    map[string]bool // by version: the weights are loaded
	tokens     uint64          // generated so far
}

// call is one generation in flight.
type call struct {
	job     Job
	answer  Answer
	outputs chan Output
	moved   chan struct{} // closed when the KV cache of the call is exported
}

// handle describes an exported KV cache.
type handle struct {
	Prompt uint64 `json:"prompt"` // xxhash of the prompt
	Tokens int    `json:"tokens"` // words and tokens in the KV cache
}

// Start starts an engine that listens on an IP address and port.
func Start(address string, spec Spec, c clock.Clock) (*Engine, error) {
	if spec.Slots < 1 || spec.Chunk < 1 || spec.PrefillRate <= 0 || spec.DecodeRate <= 0 || spec.CopyRate <= 0 || spec.Scale <= 0 {
		return nil, fmt.Errorf("engine %s: slots, chunk, rates and scale must be greater than 0", spec.ID)
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

// ID returns the ID of the engine.
func (e *Engine) ID() string { return e.spec.ID }

// Address returns the listen address of the engine.
func (e *Engine) Address() netip.AddrPort { return e.host.Address() }

// Faults returns the faults injected into the engine.
func (e *Engine) Faults() *faulter.Set { return e.faults }

// Kill stops the engine abruptly.
func (e *Engine) Kill() {
	e.host.Kill()
	e.ended.Wait()
}

// Stop stops the engine gracefully: calls in flight may finish until ctx is done.
func (e *Engine) Stop(ctx context.Context) {
	e.host.Stop(ctx)
	e.ended.Wait()
}

// Serving returns the served version, or an empty string if none is loaded.
func (e *Engine) Serving() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.serving
}

// Counts returns the number of tokens generated and the number of words and
// tokens prefilled so far.
func (e *Engine) Counts() (generated, computed uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens, e.batch.totalPrefilled
}

// run executes the steps of the batch in real time. If it is late by more than a
// step, it shifts the schedule instead of catching up.
func (e *Engine) run() {
	defer e.ended.Done()
	due := e.clock.Now()
	for {
		if !e.faults.WaitUnfrozen(e.host.Done()) {
			return
		}
		e.mu.Lock()
		stepTime, outputs := e.batch.Step()
		version, running := e.serving, e.batch.Running()
		e.mu.Unlock()
		if stepTime == 0 {
			select {
			case <-e.wake:
			case <-e.host.Done():
				return
			}
			due = e.clock.Now()
			continue
		}
		stepTime = time.Duration(float64(e.spec.scaled(stepTime)) * e.faults.Slowdown(version, running))
		due = due.Add(stepTime)
		if late := e.clock.Now().Sub(due); late > stepTime {
			due = due.Add(late)
		}
		if !clock.Sleep(e.clock, due.Sub(e.clock.Now()), e.host.Done()) {
			return
		}
		e.deliver(outputs)
		if len(outputs) > 0 && e.faults.RecordTokens(version, len(outputs)) {
			e.host.Kill()
		}
	}
}

// loop samples the load periodically, so that reports can lag.
func (e *Engine) loop() {
	defer e.ended.Done()
	for clock.Sleep(e.clock, max(e.spec.scaled(e.spec.ReportLag)/samplesPerLag, time.Millisecond), e.host.Done()) {
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
		PrefillRate: e.spec.PrefillRate / e.spec.Scale, DecodeRate: e.spec.DecodeRate / e.spec.Scale,
	})
	if len(e.samples) > samplesPerLag {
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

// add starts a call. It fails if the ID is in use or no version is served.
func (e *Engine) add(job Job, kv string) (*call, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.order.State == stateLoading || e.serving == "" {
		return nil, errLoading
	}
	if job.ID == "" {
		e.lastCallID++
		job.ID = fmt.Sprintf("%s-%d", e.spec.ID, e.lastCallID)
	}
	if _, duplicate := e.calls[job.ID]; duplicate {
		return nil, errDuplicateID
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
