// Package limiter holds each customer to one rate over all entries together,
// without asking anybody on the path of a call. An entry takes the part of the rate
// that its demand is of the demand of all entries, as their digests show it.
package limiter

import (
	"bytes"
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	shardCount   = 16
	demandWindow = 2 * time.Second
	digestHold   = 3 * time.Second
	smallest     = 0.02 // calls per second; less demand is not told to others
	smoothing    = 0.05 // of the rate, as demand that every entry is taken to have
)

// Limit is the rule of one customer.
type Limit struct {
	Rate  float64 // calls per second over all entries; 0 means no limit
	Burst int
}

// Limiter limits the customers at one entry. It is safe for concurrent use: its
// state lies in shards, each under its own lock.
type Limiter struct {
	shards [shardCount]shard

	mu      sync.RWMutex
	entries int
	peers   map[string]peer
}

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
	demand float64 // calls in the window, exponentially forgotten
	seen   time.Time
}

type peer struct {
	at     time.Time
	serial int64
	demand map[string]float64
}

// MaxDigest bounds a digest, so that it fits into a datagram.
const MaxDigest = 1000 // bytes

type digest struct {
	Serial int64      `msgpack:"s"`
	Demand []demanded `msgpack:"d"`
}

type demanded struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Customer string
	Rate     float32
}

// New returns a limiter of one among a number of entries.
func New(entries int) *Limiter {
	l := &Limiter{entries: max(entries, 1), peers: make(map[string]peer)}
	for i := range l.shards {
		l.shards[i].buckets = make(map[string]*bucket)
	}
	return l
}

// SetEntries sets how many entries the membership counts, this one included. An
// entry that is counted but not heard of is taken to have as much demand as this one.
func (l *Limiter) SetEntries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = max(n, 1)
}

// Allow counts a call against the customer's limit. If the call is over the limit it
// returns when the next one would be allowed.
func (l *Limiter) Allow(now time.Time, customer string, limit Limit) (time.Duration, bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	s := &l.shards[xxhash.Sum64String(customer)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[customer]
	if !ok {
		b = &bucket{tokens: math.Inf(1), at: now, seen: now}
		s.buckets[customer] = b
	}
	b.observe(now)
	share := l.share(now, customer, b.rate(now), limit.Rate)
	rate := limit.Rate * share
	size := max(float64(limit.Burst)*share, 1)
	b.tokens = min(b.tokens+rate*max(now.Sub(b.at).Seconds(), 0), size)
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
}

// share returns the part of the rate that this entry may use.
func (l *Limiter) share(now time.Time, customer string, own, rate float64) float64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	floor := smoothing * rate
	own += floor
	total, heard := own, 0
	for _, p := range l.peers {
		if now.Sub(p.at) <= digestHold {
			heard++
			total += p.demand[customer] + floor
		}
	}
	total += own * float64(max(l.entries-1-heard, 0))
	return own / total
}

// Digest encodes the demand that this entry sees, for the other entries. If it would be
// too large, the customers with the least demand are left out.
func (l *Limiter) Digest(now time.Time) ([]byte, error) {
	d := digest{Serial: now.UnixNano()}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for customer, b := range s.buckets {
			if rate := b.rate(now); rate >= smallest {
				d.Demand = append(d.Demand, demanded{Customer: customer, Rate: float32(rate)})
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(d.Demand, func(a, b demanded) int { return cmp.Compare(b.Rate, a.Rate) })
	for {
		var data bytes.Buffer
		encoder := msgpack.NewEncoder(&data)
		encoder.UseCompactInts(true)
		if err := encoder.Encode(&d); err != nil {
			return nil, fmt.Errorf("encode demand digest: %w", err)
		}
		if data.Len() <= MaxDigest {
			return data.Bytes(), nil
		}
		d.Demand = d.Demand[:len(d.Demand)*3/4]
	}
}

// Merge takes in the digest of another entry. An older digest is dropped.
func (l *Limiter) Merge(now time.Time, node string, data []byte) error {
	var d digest
	if err := msgpack.Unmarshal(data, &d); err != nil {
		return fmt.Errorf("decode demand digest of %s: %w", node, err)
	}
	demand := make(map[string]float64, len(d.Demand))
	for _, row := range d.Demand {
		demand[row.Customer] = float64(row.Rate)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if d.Serial > l.peers[node].serial {
		l.peers[node] = peer{at: now, serial: d.Serial, demand: demand}
	}
	return nil
}

// Sweep forgets silent entries and customers without calls for a while.
func (l *Limiter) Sweep(now time.Time) {
	l.mu.Lock()
	for node, p := range l.peers {
		if now.Sub(p.at) > digestHold {
			delete(l.peers, node)
		}
	}
	l.mu.Unlock()
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for customer, b := range s.buckets {
			// A full bucket without demand is like a new one.
			if b.rate(now) < smallest && now.Sub(b.at) > time.Minute {
				delete(s.buckets, customer)
			}
		}
		s.mu.Unlock()
	}
}

func (b *bucket) observe(now time.Time) {
	b.demand = b.demand*fade(now.Sub(b.seen)) + 1
	b.seen = now
}

// rate returns the calls per second, admitted or not.
func (b *bucket) rate(now time.Time) float64 {
	return b.demand * fade(now.Sub(b.seen)) / demandWindow.Seconds()
}

func fade(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / demandWindow.Seconds())
}
