package observer

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxDigest bounds a digest, so that it fits into a datagram.
const MaxDigest = 1000 // bytes

// digest is the load of one entry's own calls, for the other entries.
type digest struct {
	Serial  uint64     `msgpack:"s"`
	Rows    []digested `msgpack:"r"`
	Reports []reported `msgpack:"p,omitempty"`
}

// reported is a load report that the entry read itself.
type reported struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	ID       string
	Age      uint32 // of the report, in milliseconds
	Running  uint32
	Queued   uint32
	Slots    uint32
	Prefill  float32
	Decode   float32
}

func (r reported) report(now time.Time) Report {
	return Report{
		At: now.Add(-time.Duration(r.Age) * time.Millisecond), Running: int(r.Running), Queued: int(r.Queued),
		Slots: int(r.Slots), Prefill: float64(r.Prefill), Decode: float64(r.Decode),
	}
}

type digested struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	ID       string
	Calls    uint32
	Prompt   uint32
}

type peerSum struct {
	calls  float64
	prompt float64
	known  bool
}

type peers struct {
	mu    sync.Mutex
	nodes map[string]*peer
}

type peer struct {
	serial uint64
	at     time.Time
	rows   []digested
}

// Digest encodes the entry's own load and the reports that it read itself. now orders
// the digests of one entry. If it would be too large, endpoints with the fewest
// calls and then reports are left out.
func (o *Observer) Digest(now time.Time) ([]byte, error) {
	d := digest{Serial: uint64(now.UnixNano())}
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for id, load := range s.cells {
			if load.running > 0 {
				d.Rows = append(d.Rows, digested{ID: id, Calls: uint32(load.running), Prompt: uint32(max(load.prompt, 0))})
			}
			if load.direct && now.Sub(load.report.At) < peerHold {
				d.Reports = append(d.Reports, load.digested(now))
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(d.Rows, func(a, b digested) int { return cmp.Compare(b.Calls, a.Calls) })
	for {
		var data bytes.Buffer
		encoder := msgpack.NewEncoder(&data)
		encoder.UseCompactInts(true)
		if err := encoder.Encode(&d); err != nil {
			return nil, fmt.Errorf("encode load digest: %w", err)
		}
		if data.Len() <= MaxDigest {
			return data.Bytes(), nil
		}
		if len(d.Rows) > len(d.Reports) {
			d.Rows = d.Rows[:len(d.Rows)*3/4]
		} else {
			d.Reports = d.Reports[:len(d.Reports)*3/4]
		}
	}
}

func (l *Load) digested(now time.Time) reported {
	r := l.report
	return reported{
		ID: l.id, Age: uint32(max(now.Sub(r.At).Milliseconds(), 0)), Running: uint32(r.Running), Queued: uint32(r.Queued),
		Slots: uint32(r.Slots), Prefill: float32(r.Prefill), Decode: float32(r.Decode),
	}
}

// Merge takes in the digest of another entry, in place of its last one. An older
// digest is dropped.
func (o *Observer) Merge(now time.Time, node string, data []byte) error {
	var d digest
	if err := msgpack.Unmarshal(data, &d); err != nil {
		return fmt.Errorf("decode load digest of %s: %w", node, err)
	}
	o.peers.mu.Lock()
	defer o.peers.mu.Unlock()
	p, ok := o.peers.nodes[node]
	if !ok {
		p = &peer{}
		o.peers.nodes[node] = p
	}
	if d.Serial <= p.serial {
		return nil
	}
	o.shift(p.rows, -1)
	o.shift(d.Rows, 1)
	o.crowd.replace(p.at, now)
	for _, r := range d.Reports {
		o.report(r.ID, r.report(now), false)
	}
	*p = peer{serial: d.Serial, at: now, rows: d.Rows}
	return nil
}

// Sweep drops the load of entries that have sent no digest for a while.
func (o *Observer) Sweep(now time.Time) {
	o.peers.mu.Lock()
	defer o.peers.mu.Unlock()
	for node, p := range o.peers.nodes {
		if now.Sub(p.at) > peerHold {
			o.shift(p.rows, -1)
			delete(o.peers.nodes, node)
			o.crowd.replace(p.at, time.Time{})
		}
	}
}

// Peers returns the number of entries whose digests are held.
func (o *Observer) Peers() int { return int(o.crowd.count.Load()) }

// Staleness returns the mean age of the other entries' digests.
func (o *Observer) Staleness(now time.Time) time.Duration { return o.crowd.age(now) }

// crowd tells how many other entries there are and how old their digests are.
type crowd struct {
	count atomic.Int64
	times atomic.Int64 // sum of the digests' times, in nanoseconds since start
	start time.Time
}

func (c *crowd) peers() float64 { return float64(c.count.Load()) }

func (c *crowd) age(now time.Time) time.Duration {
	count := c.count.Load()
	if count == 0 {
		return 0
	}
	age := now.Sub(c.start) - time.Duration(c.times.Load()/count)
	return min(max(age, 0), peerHold)
}

// replace exchanges the digest time of one entry. A zero time stands for no digest.
func (c *crowd) replace(last, next time.Time) {
	if !last.IsZero() {
		c.count.Add(-1)
		c.times.Add(-int64(last.Sub(c.start)))
	}
	if !next.IsZero() {
		c.count.Add(1)
		c.times.Add(int64(next.Sub(c.start)))
	}
}

func (o *Observer) shift(rows []digested, sign float64) {
	for _, row := range rows {
		h := o.Handle(row.ID)
		h.shard.mu.Lock()
		sum := &h.load.others
		sum.calls = max(sum.calls+sign*float64(row.Calls), 0)
		sum.prompt = max(sum.prompt+sign*float64(row.Prompt), 0)
		sum.known = true
		h.shard.mu.Unlock()
	}
}
