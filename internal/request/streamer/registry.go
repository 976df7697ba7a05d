package streamer

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	registryShards = 16
	// EndedRetention is how long a finished or moved stream can still be read.
	EndedRetention = time.Minute
	// FailedRetention is how long a failed stream is kept.
	FailedRetention = 5 * time.Second
)

// BeginResult is the result of Registry.Begin.
type BeginResult int

// The results of Registry.Begin.
const (
	// Started means that the stream is new; the caller of Begin must generate its tokens.
	Started BeginResult = iota
	// Joined means that the stream already existed.
	Joined
	// Mismatch means that the name belongs to a stream with another prompt, maximum or route.
	Mismatch
	// Full means that the memory limit is reached.
	Full
)

// Registry holds the streams of an entry by customer and name. It is safe for concurrent
// use. Its shards have a lock each, to reduce contention.
type Registry struct {
	shards [registryShards]registryShard
	limit  int
}

type registryShard struct {
	mu      sync.Mutex
	streams map[streamKey]*Stream
}

type streamKey struct {
	customer string
	name     string
}

// NewRegistry returns an empty registry. limit is the maximum memory of the streams in
// bytes; 0 means no limit.
func NewRegistry(limit int) *Registry {
	r := &Registry{limit: limit}
	for i := range r.shards {
		r.shards[i].streams = make(map[streamKey]*Stream)
	}
	return r
}

// Begin returns the stream with the record's customer and name. It creates the stream if
// there is none, or if the existing one has failed or moved.
func (r *Registry) Begin(record Record) (*Stream, BeginResult) {
	key := streamKey{customer: record.Customer, name: record.Name}
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if stream, ok := s.streams[key]; ok && stream.State() != Failed {
		if stream.record.Prompt != record.Prompt || stream.record.Max != record.Max || stream.record.Route != record.Route {
			return nil, Mismatch
		}
		if stream.State() != Moved {
			return stream, Joined
		}
	}
	if r.limit > 0 && s.bytes() > r.limit/registryShards && !s.evict() {
		return nil, Full
	}
	stream := New(record)
	s.streams[key] = stream
	return stream, Started
}

// Find returns the customer's stream with the name.
func (r *Registry) Find(customer, name string) (*Stream, bool) {
	key := streamKey{customer: customer, name: name}
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	stream, ok := s.streams[key]
	return stream, ok
}

// Sweep discards streams whose retention has expired.
func (r *Registry) Sweep(now time.Time) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for key, stream := range s.streams {
			if stream.expired(now) {
				delete(s.streams, key)
			}
		}
		s.mu.Unlock()
	}
}

// Running returns the streams in state Running.
func (r *Registry) Running() []*Stream {
	var list []*Stream
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, stream := range s.streams {
			if stream.State() == Running {
				list = append(list, stream)
			}
		}
		s.mu.Unlock()
	}
	return list
}

func (r *Registry) shard(key streamKey) *registryShard {
	return &r.shards[xxhash.Sum64String(key.customer+"\x00"+key.name)%registryShards]
}

func (s *registryShard) bytes() int {
	total := 0
	for _, stream := range s.streams {
		total += stream.size()
	}
	return total
}

// evict discards the stream that ended first and reports whether there was one.
func (s *registryShard) evict() bool {
	var oldest streamKey
	var oldestEnd time.Time
	for key, stream := range s.streams {
		stream.mu.Lock()
		endedAt := stream.endedAt
		stream.mu.Unlock()
		if !endedAt.IsZero() && (oldestEnd.IsZero() || endedAt.Before(oldestEnd)) {
			oldest, oldestEnd = key, endedAt
		}
	}
	if oldestEnd.IsZero() {
		return false
	}
	delete(s.streams, oldest)
	return true
}

// Encode encodes a record for the transfer to another entry.
func Encode(r Record) ([]byte, error) {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("encode stream record: %w", err)
	}
	return data, nil
}

// Decode decodes a record from another entry.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode stream record: %w", err)
	}
	return r, nil
}

// RankNodes returns nodes in the order of rendezvous hashing for a stream: the first one
// that accepts the stream takes it over. All entries with the same list of nodes get the
// same order.
func RankNodes(nodes []string, customer, name string) []string {
	weight := func(node string) uint64 {
		return xxhash.Sum64String(node + "\x00" + customer + "\x00" + name)
	}
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return sorted
}
