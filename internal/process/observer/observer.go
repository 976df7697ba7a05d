// Package observer keeps an entry's table of the load on each endpoint. The table is updated
// by the entry's own calls, by the endpoints' load reports, which lag behind, and by the
// digests of the other entries. It predicts how long a call takes at an endpoint.
package observer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 16
	peerTTL    = 3 * time.Second // how long a digest of another entry counts
)

// Work is the predicted work of one call.
type Work struct {
	Prompt int // words to prefill, without those in the prefix cache
	Decode int // tokens to generate; 0 for a call of a plain service
}

// Report is the answer of an endpoint to GET /load.
type Report struct {
	At      time.Time // by the receiver's clock
	Running int
	Queued  int
	Slots   int
	KVUsed  int     // words in the KV cache
	KVSize  int     // words that fit into the KV cache
	Prefill float64 // words per second
	Decode  float64 // tokens per second of a single sequence
}

// Observer is the table of loads. It is safe for concurrent use: its state is divided into
// shards with a lock each.
type Observer struct {
	shards    [shardCount]shard
	peers     peers
	peerStats peerStats
}

type shard struct {
	mu    sync.Mutex
	loads map[string]*Load
}

// Handle refers to one endpoint's row in the table without a lookup.
type Handle struct {
	shard *shard
	load  *Load
	index int
}

// New returns an empty table; now is the start of its clock.
func New(now time.Time) *Observer {
	o := &Observer{peers: peers{nodes: make(map[string]*peer)}, peerStats: peerStats{start: now}}
	for i := range o.shards {
		o.shards[i].loads = make(map[string]*Load)
	}
	return o
}

// Handle returns a handle for the row of an endpoint, which it adds if it is new.
func (o *Observer) Handle(id string) Handle {
	index := int(xxhash.Sum64String(id) % shardCount)
	s := &o.shards[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	load, ok := s.loads[id]
	if !ok {
		load = newLoad(id, &o.peerStats)
		s.loads[id] = load
	}
	return Handle{shard: s, load: load, index: index}
}

// Shard returns the number of the shard that holds the row. If the caller sorts its handles by
// shard, Visit takes each lock only once.
func (h Handle) Shard() int { return h.index }

// Visit calls read for the handles at the indexes, under the lock of the row's shard. read
// must not retain or modify the row.
func (o *Observer) Visit(handles []Handle, indexes []int, read func(i int, load *Load)) {
	var locked *shard
	for _, i := range indexes {
		if handles[i].shard != locked {
			if locked != nil {
				locked.mu.Unlock()
			}
			locked = handles[i].shard
			locked.mu.Lock()
		}
		read(i, handles[i].load)
	}
	if locked != nil {
		locked.mu.Unlock()
	}
}

// Load returns a copy of an endpoint's row. An unknown endpoint has an empty row.
func (o *Observer) Load(id string) Load {
	h := o.Handle(id)
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	return *h.load
}

// Report records a load report that was read from the endpoint. A report older than the last
// one is ignored.
func (o *Observer) Report(id string, r Report) { o.report(id, r, true) }

func (o *Observer) report(id string, r Report, direct bool) {
	h := o.Handle(id)
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	if h.load.setReport(r) {
		h.load.isDirect = direct
	}
}

// SetLeaving sets or clears the leaving mark of an endpoint.
func (o *Observer) SetLeaving(id string, leaving bool) {
	h := o.Handle(id)
	h.shard.mu.Lock()
	defer h.shard.mu.Unlock()
	h.load.leaving = leaving
}

// Evict evicts the rows of endpoints that are not in keep and have no calls in flight.
func (o *Observer) Evict(keep map[string]bool) {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for id, load := range s.loads {
			if !keep[id] && load.inFlight == 0 {
				delete(s.loads, id)
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
	c := &Call{handle: h, work: work, start: now, remainingDecode: work.Decode}
	c.expected = h.load.First(now, work)
	c.probe = h.load.startCall(now, work)
	return c
}

// Call is one call in flight at an endpoint. It is safe for concurrent use.
type Call struct {
	handle          Handle
	work            Work
	start           time.Time
	last            time.Time
	expected        time.Duration
	remainingDecode int
	gotFirst        bool // the first token or byte has arrived
	ended           bool
	probe           bool // the call probes an endpoint that was ejected
}

// Expected returns the time to the first byte that was predicted at the start.
func (c *Call) Expected() time.Duration { return c.expected }

// Token records that n tokens arrived; the first one ends the prefill. A call of a plain
// service records its first byte with n = 0.
func (c *Call) Token(now time.Time, n int) {
	c.handle.shard.mu.Lock()
	defer c.handle.shard.mu.Unlock()
	if c.ended {
		return
	}
	load := c.handle.load
	load.lastProgress = now
	done := min(n, c.remainingDecode)
	c.remainingDecode -= done
	load.pendingDecode -= done
	if !c.gotFirst {
		c.gotFirst = true
		load.pendingPrefill -= c.work.Prompt
		load.updateFactor(now.Sub(c.start), c.expected)
	} else if n > 0 {
		load.updateStepTime(now, now.Sub(c.last)/time.Duration(n))
	}
	c.last = now
}

// Result is the outcome of a call at an endpoint.
type Result int

// The results of a call.
const (
	// Done means that the call was answered.
	Done Result = iota
	// Failed means that the call failed because of the endpoint.
	Failed
	// Refused means that no connection was made; the endpoint is ejected at once.
	Refused
	// Canceled means that the call ended for a reason that says nothing about the endpoint.
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
	load.inFlight--
	load.pendingDecode -= c.remainingDecode
	if !c.gotFirst {
		load.pendingPrefill -= c.work.Prompt
	}
	load.recordHistory(now)
	if c.probe {
		load.probing = false
	}
	load.endCall(now, result, now.Sub(c.start))
}
