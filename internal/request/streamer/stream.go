// Package streamer holds the token streams of an entry. One or more engines generate a
// stream in succession, and it contains each token exactly once and in order. Any number
// of connections read it, each at its own speed.
package streamer

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a stream.
type State int

// The states of a stream.
const (
	// Running means that more tokens are expected.
	Running State = iota
	// Finished means that the stream is complete.
	Finished
	// Failed means that the stream ended incomplete.
	Failed
	// Moved means that another entry has taken over the stream.
	Moved
)

// EventResult is the result of an event from a source.
type EventResult int

// The results of an event.
const (
	// Accepted means that the event was added to the stream.
	Accepted EventResult = iota
	// Repeated means that the stream already has the token; it was dropped.
	Repeated
	// Stale means that the source was replaced or the stream has ended; the event was dropped.
	Stale
	// Gap means that tokens before the event are missing, so the source is unusable.
	Gap
	// Overflow means that the stream would exceed its maximum number of tokens or bytes.
	Overflow
)

const maxStreamBytes = 4 << 20

// Record is the complete state of a stream, as transferred between entries.
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

// Stream is the answer to one call, which may still be generated. It is safe for
// concurrent use.
type Stream struct {
	mu          sync.Mutex
	record      Record // without its tokens
	text        []byte
	ends        []int32 // offsets in text at which the tokens end
	source      int     // number of the source whose tokens are accepted
	sourceCount int     // number of sources attached so far
	held        bool    // being handed over; no tokens are accepted
	state       State
	recomputed  int
	endpoint    string
	failure     Failure
	readers     int
	endedAt     time.Time
	changed     chan struct{} // closed and replaced at each change
	done        chan struct{} // closed when the stream has ended
	idleSince   time.Time     // when a reader last left or Touch was called
}

// New returns the stream of a record. If it is running, it continues after the record's
// last token.
func New(r Record) *Stream {
	s := &Stream{record: r, state: r.State, recomputed: r.Recomputed, changed: make(chan struct{}), done: make(chan struct{})}
	for _, token := range r.Tokens {
		s.appendToken(token)
	}
	s.record.Tokens = nil
	return s
}

// Customer returns the customer who owns the stream.
func (s *Stream) Customer() string { return s.record.Customer }

// Name returns the name of the stream, which is unique for the customer.
func (s *Stream) Name() string { return s.record.Name }

// Request returns the id of the request that started the stream.
func (s *Stream) Request() string { return s.record.Request }

// Prompt returns the prompt.
func (s *Stream) Prompt() string { return s.record.Prompt }

// Max returns the maximum number of tokens.
func (s *Stream) Max() int { return s.record.Max }

// Deadline returns the deadline of the call.
func (s *Stream) Deadline() time.Time { return s.record.Deadline }

// Recomputed returns the number of words and tokens that were prefilled again.
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

// State returns the state of the stream.
func (s *Stream) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Snapshot returns the current record including the tokens.
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

// Attach replaces the stream's source by a new one. It returns the number of the new
// source and the tokens after which the source must continue. The number is 0 if the
// stream is held or has ended.
func (s *Stream) Attach() (int, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held || s.state != Running {
		return 0, nil
	}
	s.source++
	s.sourceCount++
	return s.source, s.tokens(0, len(s.ends))
}

// Accept adds a token from a source. The position of the first token is 1.
func (s *Stream) Accept(source, position int, token string) EventResult {
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
	s.appendToken(token)
	s.notify()
	return Accepted
}

// Finish ends the stream after a source reported that the answer is complete with count
// tokens.
func (s *Stream) Finish(now time.Time, source, count int) EventResult {
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

// Failure describes why a stream cannot be completed.
type Failure struct {
	Sent       bool          `msgpack:"sent"`   // an engine may have received the call
	Status     int           `msgpack:"status"` // HTTP status for the caller
	Detail     string        `msgpack:"detail"`
	RetryAfter time.Duration `msgpack:"retry"`
}

// Fail ends a stream that cannot be completed. It has no effect if the stream has ended.
func (s *Stream) Fail(now time.Time, failure Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == Running {
		s.failure = failure
		s.end(now, Failed)
	}
}

// Failure returns why the stream failed.
func (s *Stream) Failure() Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

// Hold stops accepting tokens and returns the stream's record for another entry. It
// reports false if the stream is held already or has ended. After Hold the caller must
// call SetMoved or Resume.
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

// Held reports whether the stream is held for a handover and accepts no tokens.
func (s *Stream) Held() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// Resume lets a held stream accept tokens again.
func (s *Stream) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = false
}

// SetMoved ends a held stream at this entry after another entry has taken it over.
func (s *Stream) SetMoved(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == Running {
		s.end(now, Moved)
	}
}

// AddRecomputed adds to the number of words and tokens that were prefilled again.
func (s *Stream) AddRecomputed(words int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recomputed += words
}

// Read returns up to limit tokens with positions above after, the state, and a channel
// that is closed at the next change. The state is Running until the last token
// has been returned.
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

// AddReader registers a reader. The reader must call RemoveReader when it is done.
func (s *Stream) AddReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
}

// RemoveReader removes a reader and returns the number of remaining readers.
func (s *Stream) RemoveReader(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.idleSince = now
	return s.readers
}

// Abandoned reports whether the stream has had no reader for at least grace.
func (s *Stream) Abandoned(now time.Time, grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readers == 0 && !s.idleSince.IsZero() && now.Sub(s.idleSince) >= grace
}

// Done returns a channel that is closed when the stream has ended.
func (s *Stream) Done() <-chan struct{} { return s.done }

func (s *Stream) appendToken(token string) {
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
	s.endedAt = now
	s.notify()
	close(s.done)
}

func (s *Stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Stream) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.text) + 4*len(s.ends) + len(s.record.Prompt)
}

// expired reports whether the retention of an ended stream is over.
func (s *Stream) expired(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.state {
	case Running:
		return false
	case Failed:
		return now.Sub(s.endedAt) >= FailedRetention
	}
	return now.Sub(s.endedAt) >= EndedRetention
}

// Touch records a read by a reader that is not registered, such as another entry.
func (s *Stream) Touch(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleSince = now
}

// Hash returns a hash of the route, the prompt and the maximum number of tokens.
func (s *Stream) Hash() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s", s.record.Route, s.record.Max, s.record.Prompt))
}

// SetEndpoint records the endpoint that currently generates the answer.
func (s *Stream) SetEndpoint(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoint = id
}

// Endpoint returns the endpoint that last generated the answer and the number of sources
// so far.
func (s *Stream) Endpoint() (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoint, s.sourceCount
}
