// Package limiter limits each customer to one rate over all entries together, without
// communication on the path of a call. Each entry uses the fraction of the rate that
// its demand has of the demand of all entries, as known from their digests.
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
	shardCount          = 16
	demandWindow        = 2 * time.Second
	digestTTL           = 3 * time.Second
	minDemand           = 0.02 // calls per second; less demand is not sent to other entries
	demandFloorFraction = 0.05 // fraction of the rate that is added to the demand of every entry
)

// Limit is the rate limit of one customer.
type Limit struct {
	Rate  float64 // calls per second over all entries; 0 means no limit
	Burst int
}

// Limiter limits the customers at one entry. It is safe for concurrent use: its state
// is divided into shards, each with its own lock.
type Limiter struct {
	shards [shardCount]shard

	mu      sync.RWMutex
	entries int
	peers   map[string]peerDemand
}

type shard struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	tokens     float64
	updatedAt  time.Time
	demand     float64 // calls in the window, with exponential decay
	observedAt time.Time
}

type peerDemand struct {
	receivedAt time.Time
	serial     int64
	rates      map[string]float64
}

// MaxDigest bounds the size of a digest, so that it fits into a datagram.
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

// New returns a limiter for one of the given number of entries.
func New(entries int) *Limiter {
	l := &Limiter{entries: max(entries, 1), peers: make(map[string]peerDemand)}
	for i := range l.shards {
		l.shards[i].buckets = make(map[string]*bucket)
	}
	return l
}

// SetEntries sets the number of entries in the membership, including this one. An
// entry whose digest is missing is assumed to have as much demand as this one.
func (l *Limiter) SetEntries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = max(n, 1)
}

// Allow counts a call against the customer's limit. If the call exceeds the limit,
// Allow returns how long it takes until the next call would be allowed.
func (l *Limiter) Allow(now time.Time, customer string, limit Limit) (time.Duration, bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	s := &l.shards[xxhash.Sum64String(customer)%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.buckets[customer]
	if !ok {
		b = &bucket{tokens: math.Inf(1), updatedAt: now, observedAt: now}
		s.buckets[customer] = b
	}
	b.observe(now)
	fraction := l.fraction(now, customer, b.rate(now), limit.Rate)
	rate := limit.Rate * fraction
	size := max(float64(limit.Burst)*fraction, 1)
	b.tokens = min(b.tokens+rate*max(now.Sub(b.updatedAt).Seconds(), 0), size)
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
}

// fraction returns the fraction of the rate that this entry may use.
func (l *Limiter) fraction(now time.Time, customer string, own, rate float64) float64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	floor := demandFloorFraction * rate
	own += floor
	total, received := own, 0
	for _, p := range l.peers {
		if now.Sub(p.receivedAt) <= digestTTL {
			received++
			total += p.rates[customer] + floor
		}
	}
	total += own * float64(max(l.entries-1-received, 0))
	return own / total
}

// Digest encodes the demand at this entry for the other entries. If the digest would
// be too large, the customers with the least demand are omitted.
func (l *Limiter) Digest(now time.Time) ([]byte, error) {
	d := digest{Serial: now.UnixNano()}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for customer, b := range s.buckets {
			if rate := b.rate(now); rate >= minDemand {
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

// Merge applies the digest of another entry. An outdated digest is ignored.
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
		l.peers[node] = peerDemand{receivedAt: now, serial: d.Serial, rates: demand}
	}
	return nil
}

// Sweep evicts the demand of entries that have sent no digest recently, and the
// buckets of customers without recent calls.
func (l *Limiter) Sweep(now time.Time) {
	l.mu.Lock()
	for node, p := range l.peers {
		if now.Sub(p.receivedAt) > digestTTL {
			delete(l.peers, node)
		}
	}
	l.mu.Unlock()
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for customer, b := range s.buckets {
			// A full bucket without demand is equivalent to a new one.
			if b.rate(now) < minDemand && now.Sub(b.updatedAt) > time.Minute {
				delete(s.buckets, customer)
			}
		}
		s.mu.Unlock()
	}
}

func (b *bucket) observe(now time.Time) {
	b.demand = b.demand*decay(now.Sub(b.observedAt)) + 1
	b.observedAt = now
}

// rate returns the calls per second, admitted or not.
func (b *bucket) rate(now time.Time) float64 {
	return b.demand * decay(now.Sub(b.observedAt)) / demandWindow.Seconds()
}

func decay(age time.Duration) float64 {
	return math.Exp(-max(age, 0).Seconds() / demandWindow.Seconds())
}
