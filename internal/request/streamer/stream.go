// Package streamer keeps the token streams of an entry. A stream is put together
// from one or more engines, so that each token is in it once and in order,
// and is read by any number of callers' connections at their own pace.
package streamer

import (
	"sync"
	"time"
)

// State tells how far a stream is.
type State int

// The states of a stream.
const (
	// Running streams get more tokens.
	Running State = iota
	// Finished streams are whole.
	Finished
	// Failed streams will not become whole.
	Failed
	// Moved streams were handed to another entry.
	Moved
)

// Verdict is the outcome of an event of a source.
type Verdict int

// The outcomes of an event.
const (
	// Accepted events have become part of the stream.
	Accepted Verdict = iota
	// Repeated tokens were already there and were dropped.
	Repeated
	// Stale events come from a source that was replaced, and were dropped.
	Stale
	// Gap means that tokens before the event are missing: the source is unusable.
	Gap
	// Overflow means that the stream would exceed its bounds.
	Overflow
)

const maxStreamBytes = 4 << 20

// Record is the whole state of a stream, in the form in which entries hand it over.
type Record struct {
	Customer   string    `msgpack:"customer"`
	Name       string    `msgpack:"name"`
	Request    string    `msgpack:"request"`
	Route      string    `msgpack:"route"`
	Service    string    `msgpack:"service"`
	Prompt     string    `msgpack:"prompt"`
	Max        int       `msgpack:"max"`
	Priority   int       `msgpack:"priority"`
	Deadline   time.Time `msgpack:"deadline"`
	Tokens     []string  `msgpack:"tokens"`
	State      State     `msgpack:"state"`
	Recomputed int       `msgpack:"recomputed"`
}

// Stream is the answer to one call as far as it has been generated. It is safe
// for concurrent use.
type Stream struct {
	mu         sync.Mutex
	record     Record // without its tokens
	text       []byte
	ends       []int32 // of the tokens in text
	source     int
	state      State
	recomputed int
	readers    int
	ended      time.Time
	changed    chan struct{}
	done       chan struct{}
	left       time.Time // when the last reader left
}

// New returns the stream of a record. A record of a running stream continues behind
// its tokens.
func New(r Record) *Stream {
	s := &Stream{record: r, state: r.State, recomputed: r.Recomputed, changed: make(chan struct{}), done: make(chan struct{})}
	for _, token := range r.Tokens {
		s.push(token)
	}
	s.record.Tokens = nil
	return s
}

// Customer returns the customer who owns the stream.
func (s *Stream) Customer() string { return s.record.Customer }

// Name returns the name by which the customer finds the stream.
func (s *Stream) Name() string { return s.record.Name }

// Request returns the id of the request that began the stream.
func (s *Stream) Request() string { return s.record.Request }

// Prompt returns the prompt.
func (s *Stream) Prompt() string { return s.record.Prompt }

// Max returns the number of tokens after which the answer ends at the latest.
func (s *Stream) Max() int { return s.record.Max }

// Deadline returns when the answer is due.
func (s *Stream) Deadline() time.Time { return s.record.Deadline }

// Recomputed returns the words and tokens that were prefilled again.
func (s *Stream) Recomputed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recomputed
}

// Count returns the number of tokens.
func (s *Stream) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ends)
}

// State returns how far the stream is.
func (s *Stream) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Snapshot returns the record with all tokens.
func (s *Stream) Snapshot() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot()
}

func (s *Stream) snapshot() Record {
	r := s.record
	r.Tokens = s.tokens(0, len(s.ends))
	r.State = s.state
	r.Recomputed = s.recomputed
	return r
}

// Attach makes a new source the only one that the stream takes tokens from. It
// returns the number of the source and the tokens that it has to go on behind.
func (s *Stream) Attach() (int, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source++
	return s.source, s.tokens(0, len(s.ends))
}

// Accept takes in a token of a source. The position of the first token is 1.
func (s *Stream) Accept(source, position int, token string) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case source != s.source || s.state != Running:
		return Stale
	case position <= len(s.ends):
		return Repeated
	case position > len(s.ends)+1:
		return Gap
	case position > s.record.Max || len(s.text)+len(token) > maxStreamBytes:
		return Overflow
	}
	s.push(token)
	s.wake()
	return Accepted
}

// Finish takes in that a source says the answer is whole with count tokens.
func (s *Stream) Finish(now time.Time, source, count int) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case source != s.source || s.state != Running:
		return Stale
	case count != len(s.ends):
		return Gap
	}
	s.end(now, Finished)
	return Accepted
}

// Fail ends a stream that cannot become whole. A stream that has ended stays as it is.
func (s *Stream) Fail(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == Running {
		s.end(now, Failed)
	}
}

// Move ends a running stream here and returns its record for another entry. It
// reports false if the stream has ended.
func (s *Stream) Move(now time.Time) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != Running {
		return Record{}, false
	}
	r := s.snapshot()
	s.source++
	s.end(now, Moved)
	return r, true
}

// Recompute counts words and tokens that an engine prefilled again.
func (s *Stream) Recompute(words int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recomputed += words
}

// Read returns up to limit tokens behind the first after tokens, the state, and
// a channel that is closed when there is more to read.
func (s *Stream) Read(after, limit int) ([]string, State, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := min(max(after, 0), len(s.ends))
	to := min(from+limit, len(s.ends))
	state := s.state
	if to < len(s.ends) {
		state = Running
	}
	return s.tokens(from, to), state, s.changed
}

// Join counts a reader, and Leave takes it off again. The reader need not read.
func (s *Stream) Join() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// Leave takes a reader off. It returns the readers that are left.
func (s *Stream) Leave(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.left = now
	return s.readers
}

// Abandoned reports whether nobody has read the stream for a while.
func (s *Stream) Abandoned(now time.Time, grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && !s.left.IsZero() && now.Sub(s.left) >= grace
}

// Done returns a channel that is closed when the stream has ended.
func (s *Stream) Done() <-chan struct{} { return s.done }

func (s *Stream) push(token string) {
	s.text = append(s.text, token...)
	s.ends = append(s.ends, int32(len(s.text)))
}

func (s *Stream) tokens(from, to int) []string {
	list := make([]string, 0, to-from)
	start := int32(0)
	if from > 0 {
		start = s.ends[from-1]
	}
	for _, end := range s.ends[from:to] {
		list = append(list, string(s.text[start:end]))
		start = end
	}
	return list
}

func (s *Stream) end(now time.Time, state State) {
	s.state = state
	s.ended = now
	s.wake()
	close(s.done)
}

func (s *Stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Stream) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.text) + 4*len(s.ends) + len(s.record.Prompt)
}

// endedBefore reports whether the stream ended before a time.
func (s *Stream) endedBefore(at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != Running && s.ended.Before(at)
}
