// Package observer keeps an entry's table of the load on each endpoint. It is fed
// by the entry's own calls, by the endpoints' lagging load reports and by the
// digests of the other entries, and predicts how long an endpoint takes.
package observer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 16
	peerHold   = 3 * time.Second
)

// Work is the predicted work of one call.
type Work struct {
	Prompt int // words to prefill, those in the prefix cache not counted
	Decode int // tokens to generate; 0 for a call of a plain service
}

// Report is the answer of an endpoint to GET /load.
type Report struct {
	At      time.Time // by the receiver's clock
	Running int
	Queued  int
	Slots   int
	Used    int     // words in the KV cache
	Size    int     // words that fit into the KV cache
	Prefill float64 // words per second
	Decode  float64 // tokens per second of a lone sequence
}

// Observer is the table. It is safe for concurrent use: its state lies in
// shards, each under its own lock.
type Observer struct {
	shards [shardCount]shard
	peers  peers
	crowd  crowd
}

type shard struct {
	mu    sync.Mutex
	cells map[string]*Load
}

// Handle names one endpoint's row in the table without a lookup.
type Handle struct {
	shard *shard
	load  *Load
	index int
}

// New returns an empty table at a time.
func New(now time.Time) *Observer {
	o := &Observer{peers: peers{nodes: make(map[string]*peer)}, crowd: crowd{start: now}}
	for i := range o.shards {
		o.shards[i].cells = make(map[string]*Load)
	}
	return o
}

// Handle returns the row of an endpoint and adds it if it is new.
func (o *Observer) Handle(id string) Handle {
	index := int(xxhash.Sum64String(id) % shardCount)
	s := &o.shards[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	load, ok := s.cells[id]
	if !ok {
		load = newLoad(id, &o.crowd)
		s.cells[id] = load
	}
	return Handle{shard: s, load: load, index: index}
}

// Shard returns the number of the shard that holds the row. A caller that sorts
// its handles by it takes each lock once in Visit.
func (h Handle) Shard() int { return h.index }

// Visit calls read for the handles at the indexes, under the lock of the row's shard. The row
// must not be kept or changed.
func (o *Observer) Visit(handles []Handle, indexes []int, read func(i int, load *Load)) {
	var held *shard
	for _, i := range indexes {
		if handles[i].shard != held {
			if held != nil {
				held.mu.Unlock()
			}
			held = handles[i].shard
			held.mu.Lock()
		}
		read(i, handles[i].load)
	}
	if held != nil {
		held.mu.Unlock()
	}
}

// Load returns a copy of an endpoint's row. An unknown endpoint has an empty row.
func (o *Observer) Load(id string) Load {
	h := o.Handle(id)
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	return *h.load
}

// Report takes in a load report that was read from the endpoint. A report older than the
// last is dropped.
func (o *Observer) Report(id string, r Report) { o.report(id, r, true) }

func (o *Observer) report(id string, r Report, direct bool) {
	h := o.Handle(id)
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	if h.load.setReport(r) {
		h.load.direct = direct
	}
}

// SetLeaving sets or withdraws the mark that an endpoint is leaving.
func (o *Observer) SetLeaving(id string, leaving bool) {
	h := o.Handle(id)
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	h.load.leaving = leaving
}

// Forget drops the rows of endpoints that keep does not name and that have no
// call running.
func (o *Observer) Forget(keep map[string]bool) {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for id, load := range s.cells {
			if !keep[id] && load.running == 0 {
				delete(s.cells, id)
			}
		}
		s.mu.Unlock()
	}
}

// Start records that a call was sent to an endpoint.
func (o *Observer) Start(now time.Time, id string, work Work) *Call {
	h := o.Handle(id)
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	c := &Call{handle: h, work: work, start: now, left: work.Decode}
	c.expected = h.load.First(now, work)
	c.probe = h.load.begin(now, work)
	return c
}

// Call is one call that runs on an endpoint. It is safe for concurrent use.
type Call struct {
	handle   Handle
	work     Work
	start    time.Time
	last     time.Time
	expected time.Duration
	left     int
	begun    bool
	ended    bool
	probe    bool // of an endpoint that was ejected
}

// Expected returns the time to the first byte that was predicted at the start.
func (c *Call) Expected() time.Duration { return c.expected }

// Token records that n tokens arrived; the first ends the prefill. A call of a
// plain service records its first byte with n = 0.
func (c *Call) Token(now time.Time, n int) {
	c.handle.shard.mu.Lock()
	defer c.handle.shard.mu.Unlock()
	if c.ended {
		return
	}
	load := c.handle.load
	load.progress = now
	done := min(n, c.left)
	c.left -= done
	load.decode -= done
	if !c.begun {
		c.begun = true
		load.prompt -= c.work.Prompt
		load.learnFirst(now.Sub(c.start), c.expected)
	} else if n > 0 {
		load.learnNext(now, now.Sub(c.last)/time.Duration(n))
	}
	c.last = now
}

// Result tells how a call on an endpoint ended.
type Result int

// The results of a call.
const (
	// Done calls were answered.
	Done Result = iota
	// Failed calls count against the endpoint.
	Failed
	// Refused calls could not connect; the endpoint is kept out at once.
	Refused
	// Canceled calls say nothing about the endpoint.
	Canceled
)

// End records that the call has ended. Only the first End counts.
func (c *Call) End(now time.Time, result Result) {
	c.handle.shard.mu.Lock()
	defer c.handle.shard.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	load := c.handle.load
	load.running--
	load.decode -= c.left
	if !c.begun {
		load.prompt -= c.work.Prompt
	}
	load.note(now)
	if c.probe {
		load.probing = false
	}
	load.finish(now, result, now.Sub(c.start))
}
