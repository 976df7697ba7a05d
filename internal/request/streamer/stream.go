// Package streamer keeps the token streams of an entry. A stream is put together
// from one or more engines, so that each token is in it once and in order,
// and is read by any number of callers' connections at their own pace.
package streamer

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	source     int     // that tokens are taken from
	sources    int     // that there have been
	held       bool
	state      State
	recomputed int
	endpoint   string
	failure    Failure
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
// returns the number of the source and the tokens that it has to go on behind. The
// number is 0 if the stream is held or has ended.
func (s *Stream) Attach() (int, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held || s.state != Running {
		return 0, nil
	}
	s.source++
	s.sources++
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

// Failure says why a stream cannot become whole.
type Failure struct {
	Sent       bool          `msgpack:"sent"`   // an engine may have seen a byte of the call
	Status     int           `msgpack:"status"` // HTTP status for the caller
	Detail     string        `msgpack:"detail"`
	RetryAfter time.Duration `msgpack:"retry"`
}

// Fail ends a stream that cannot become whole. A stream that has ended stays as it is.
func (s *Stream) Fail(now time.Time, failure Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == Running {
		s.failure = failure
		s.end(now, Failed)
	}
}

// Failure returns why a failed stream did not become whole.
func (s *Stream) Failure() Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// Hold makes a running stream take no more tokens, and returns its record for
// another entry. It reports false if the stream has ended. Move or Resume follows.
func (s *Stream) Hold() (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held || s.state != Running {
		return Record{}, false
	}
	s.held = true
	s.source++
	return s.snapshot(), true
}

// Held reports whether the stream takes no tokens.
func (s *Stream) Held() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Resume lets a held stream take tokens again.
func (s *Stream) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = false
}

// Move ends a held stream here: another entry goes on with it.
func (s *Stream) Move(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == Running {
		s.end(now, Moved)
	}
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

// expired reports whether the stream ended so long ago that it can be dropped.
func (s *Stream) expired(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.state {
	case Running:
		return false
	case Failed:
		return now.Sub(s.ended) >= FailedHold
	}
	return now.Sub(s.ended) >= EndedHold
}

// Touch records a reader that comes and goes, such as another entry.
func (s *Stream) Touch(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = now
}

// Hash identifies what the stream answers: route, prompt and size.
func (s *Stream) Hash() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s", s.record.Route, s.record.Max, s.record.Prompt))
}

// SetEndpoint records the endpoint that generates the answer now.
func (s *Stream) SetEndpoint(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoint = id
}

// Endpoint returns the endpoint that generated last, and how many sources there were.
func (s *Stream) Endpoint() (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoint, s.sources
}
