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

// MaxDigest bounds the size of a digest, so that it fits into a datagram.
const MaxDigest = 1000 // bytes

// digest is the load of one entry's own calls, sent to the other entries.
type digest struct {
	Serial  uint64      `msgpack:"s"`
	Rows    []loadRow   `msgpack:"r"`
	Reports []reportRow `msgpack:"p,omitempty"`
}

// reportRow is a load report that the entry read from the endpoint itself.
type reportRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	ID       string
	Age      uint32 // of the report, in milliseconds
	Running  uint32
	Queued   uint32
	Slots    uint32
	Prefill  float32
	Decode   float32
}

func (r reportRow) decode(now time.Time) Report {
	return Report{
		At: now.Add(-time.Duration(r.Age) * time.Millisecond), Running: int(r.Running), Queued: int(r.Queued),
		Slots: int(r.Slots), Prefill: float64(r.Prefill), Decode: float64(r.Decode),
	}
}

// loadRow is the load of the entry's own calls on one endpoint.
type loadRow struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	ID       string
	Calls    uint32
	Prompt   uint32
}

// peerLoad is the load of the other entries' calls on one endpoint.
type peerLoad struct {
	inFlight       float64
	pendingPrefill float64
	known          bool
}

// peers holds the newest digest of each other entry.
type peers struct {
	mu    sync.Mutex
	nodes map[string]*peer
}

type peer struct {
	serial uint64
	at     time.Time
	rows   []loadRow
}

// Digest encodes the entry's own load and the load reports that it read itself. now orders the
// digests of one entry. If the digest would be too large, the endpoints with the fewest calls
// are dropped, and then reports.
func (o *Observer) Digest(now time.Time) ([]byte, error) {
	d := digest{Serial: uint64(now.UnixNano())}
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for id, load := range s.loads {
			if load.inFlight > 0 {
				d.Rows = append(d.Rows, loadRow{ID: id, Calls: uint32(load.inFlight), Prompt: uint32(max(load.pendingPrefill, 0))})
			}
			if load.isDirect && now.Sub(load.report.At) < peerTTL {
				d.Reports = append(d.Reports, load.encodeReport(now))
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(d.Rows, func(a, b loadRow) int { return cmp.Compare(b.Calls, a.Calls) })
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

func (l *Load) encodeReport(now time.Time) reportRow {
	r := l.report
	return reportRow{
		ID: l.id, Age: uint32(max(now.Sub(r.At).Milliseconds(), 0)), Running: uint32(r.Running), Queued: uint32(r.Queued),
		Slots: uint32(r.Slots), Prefill: float32(r.Prefill), Decode: float32(r.Decode),
	}
}

// Merge replaces the last digest of another entry. A digest older than the last one is
// ignored.
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
	o.addRows(p.rows, -1)
	o.addRows(d.Rows, 1)
	o.peerStats.replace(p.at, now)
	for _, r := range d.Reports {
		o.report(r.ID, r.decode(now), false)
	}
	*p = peer{serial: d.Serial, at: now, rows: d.Rows}
	return nil
}

// Sweep discards the load of entries whose last digest is older than peerTTL.
func (o *Observer) Sweep(now time.Time) {
	o.peers.mu.Lock()
	defer o.peers.mu.Unlock()
	for node, p := range o.peers.nodes {
		if now.Sub(p.at) > peerTTL {
			o.addRows(p.rows, -1)
			delete(o.peers.nodes, node)
			o.peerStats.replace(p.at, time.Time{})
		}
	}
}

// Peers returns the number of entries with a current digest.
func (o *Observer) Peers() int { return int(o.peerStats.count.Load()) }

// Staleness returns the mean age of the other entries' digests.
func (o *Observer) Staleness(now time.Time) time.Duration { return o.peerStats.age(now) }

// peerStats tracks the number of other entries and the age of their digests.
type peerStats struct {
	count   atomic.Int64
	timeSum atomic.Int64 // sum of the digests' times, in nanoseconds since start
	start   time.Time
}

func (c *peerStats) peers() float64 { return float64(c.count.Load()) }

func (c *peerStats) age(now time.Time) time.Duration {
	count := c.count.Load()
	if count == 0 {
		return 0
	}
	age := now.Sub(c.start) - time.Duration(c.timeSum.Load()/count)
	return min(max(age, 0), peerTTL)
}

// replace replaces the digest time of one entry. A zero time means no digest.
func (c *peerStats) replace(last, next time.Time) {
	if !last.IsZero() {
		c.count.Add(-1)
		c.timeSum.Add(-int64(last.Sub(c.start)))
	}
	if !next.IsZero() {
		c.count.Add(1)
		c.timeSum.Add(int64(next.Sub(c.start)))
	}
}

func (o *Observer) addRows(rows []loadRow, sign float64) {
	for _, row := range rows {
		h := o.Handle(row.ID)
		h.shard.mu.Lock()
		sum := &h.load.peers
		sum.inFlight = max(sum.inFlight+sign*float64(row.Calls), 0)
		sum.pendingPrefill = max(sum.pendingPrefill+sign*float64(row.Prompt), 0)
		sum.known = true
		h.shard.mu.Unlock()
	}
}
