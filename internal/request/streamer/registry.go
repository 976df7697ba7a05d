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
	// EndedHold is how long a stream can be read again after its end.
	EndedHold = time.Minute
	// FailedHold is how long a stream that failed is kept.
	FailedHold = 5 * time.Second
)

// Joining is the outcome of Begin.
type Joining int

// The outcomes of Begin.
const (
	// Started means that the stream is new and the caller of Begin runs it.
	Started Joining = iota
	// Joined means that the stream was already there.
	Joined
	// Mismatch means that the name belongs to a stream with another prompt.
	Mismatch
	// Full means that the bound on the streams' memory is reached.
	Full
)

// Registry finds the streams of an entry by customer and name. It is safe for
// concurrent use: its state lies in shards, each under its own lock.
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

// NewRegistry returns an empty registry. limit bounds the memory of the streams in bytes.
func NewRegistry(limit int) *Registry {
	r := &Registry{limit: limit}
	for i := range r.shards {
		r.shards[i].streams = make(map[streamKey]*Stream)
	}
	return r
}

// Begin returns the stream with the record's customer and name, and makes it if
// there is none. A stream that failed is made anew.
func (r *Registry) Begin(record Record) (*Stream, Joining) {
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

// Find returns the stream that a customer knows by a name.
func (r *Registry) Find(customer, name string) (*Stream, bool) {
	key := streamKey{customer: customer, name: name}
	s := r.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	stream, ok := s.streams[key]
	return stream, ok
}

// Sweep drops the streams that ended long ago.
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

// Running returns the streams that have not ended.
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

// evict drops the stream that ended first, and reports whether there was one.
func (s *registryShard) evict() bool {
	var oldest streamKey
	var at time.Time
	for key, stream := range s.streams {
		stream.mu.Lock()
		ended := stream.ended
		stream.mu.Unlock()
		if !ended.IsZero() && (at.IsZero() || ended.Before(at)) {
			oldest, at = key, ended
		}
	}
	if at.IsZero() {
		return false
	}
	delete(s.streams, oldest)
	return true
}

// Encode returns the form in which a record goes to another entry.
func Encode(r Record) ([]byte, error) {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, fmt.Errorf("encode stream record: %w", err)
	}
	return data, nil
}

// Decode reads a record of another entry.
func Decode(data []byte) (Record, error) {
	var r Record
	if err := msgpack.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("decode stream record: %w", err)
	}
	return r, nil
}

// Homes returns nodes in the order in which they are to be asked for a stream: the
// first is the one that takes it over. All entries that know the same nodes
// agree on the order.
func Homes(nodes []string, customer, name string) []string {
	rank := func(node string) uint64 {
		return xxhash.Sum64String(node + "\x00" + customer + "\x00" + name)
	}
	sorted := slices.Clone(nodes)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a, b))
	})
	return sorted
}
