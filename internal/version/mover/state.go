// Package mover implements the state machine of a version move. The share of calls that go to the new
// version grows in steps as evidence accumulates, and every move gets a verdict before its deadline.
package mover

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/version/judge"
)

// increasedShare returns the share that the step increases: that of at-most-once calls if any of them move,
// otherwise that of repeatable calls.
func (s Step) increasedShare() float64 {
	if s.Once > 0 {
		return s.Once
	}
	return s.Repeatable
}

// Phase is the phase of a move.
type Phase string

// The phases of a move. Done and RolledBack are final.
const (
	Moving     Phase = "moving"
	Done       Phase = "done"
	RolledBack Phase = "takenback"
)

// Reason is why a move was rolled back.
type Reason string

// The reasons for rolling a move back.
const (
	// Faulty means that the judge found the new version to be worse.
	Faulty Reason = "fault"
	// Aborted means that an operator aborted the move.
	Aborted Reason = "abort"
	// Withdrawn means that the rule that requested the move was removed.
	Withdrawn Reason = "withdrawn"
	// InsufficientTime means that the remaining time was too short to finish.
	InsufficientTime Reason = "short"
	// Expired means that no leader declared a verdict in time.
	Expired Reason = "expired"
)

// Step is one step of a move: the shares of calls that go to the new version.
type Step struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Repeatable float64
	Once       float64
}

// maxShare returns the larger of the two shares. It determines the number of instances.
func (s Step) maxShare() float64 { return max(s.Repeatable, s.Once) }

// State is the replicated state of one move. It is written only by compare-and-set. Epoch rises with every
// change of the shares.
type State struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Service  string
	From, To string
	// Deadline is when the move must have a verdict. From Expiry on, every node treats a move without a verdict
	// as rolled back, without any message.
	Deadline, Expiry time.Time
	// CreatedAt is when the move was created, StepStarted is when the current step was entered.
	CreatedAt, StepStarted time.Time
	Steps                  []Step
	// StepIndex is the index of the current step. Step 0 sends no calls to the new version.
	StepIndex int
	Epoch     uint64
	// Term is the term of the leader that last wrote the state. LeaderChanges is the number of leaders
	// of the move before that one.
	Term          uint64
	LeaderChanges int
	// Size is the number of instances that are needed to serve all of the traffic.
	Size   int
	Phase  Phase
	Reason Reason
	Fault  *judge.Fault
	// Declared is when the verdict was declared.
	Declared time.Time
	// Base is the version that ran before the move; it is empty until the leader has planned the move.
	Base string `msgpack:"-"`
	// Rejected are the versions of earlier moves that must get no calls, the newest last.
	Rejected []Rejection `msgpack:"-"`
}

// extension holds the fields of a State that the first releases did not have. It follows the state, where those
// releases do not read it: the number of fields of the state itself must not change.
type extension struct {
	Base     string      `msgpack:"base,omitempty"`
	Rejected []Rejection `msgpack:"rejected,omitempty"`
}

// ID returns the identity of a move. A move with another version or deadline has another identity.
func ID(service, from, to string, deadline time.Time) uint64 {
	h := xxhash.New()
	for _, s := range []string{service, from, to, deadline.UTC().Format(time.RFC3339Nano)} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// ID returns the identity of the move.
func (s State) ID() uint64 { return ID(s.Service, s.From, s.To, s.Deadline) }

// Subject returns what an entry records for the move.
func (s State) Subject(routes []string) judge.Subject {
	return judge.Subject{
		Move: s.ID(), Epoch: s.Epoch, Service: s.Service, From: s.From, To: s.To,
		Routes: routes, Window: s.Deadline.Sub(s.CreatedAt),
	}
}

// Final reports whether the move has a verdict.
func (s State) Final() bool { return s.Phase != Moving }

// Effective returns the state as of a time: a move that has no verdict at Expiry is rolled back.
func (s State) Effective(now time.Time) State {
	if s.Final() || now.Before(s.Expiry) {
		return s
	}
	return s.rollBack(s.Expiry, Expired)
}

// Share returns the share of calls that go to the new version at a time, for at-most-once or for
// repeatable calls.
func (s State) Share(now time.Time, once bool) float64 {
	e := s.Effective(now)
	switch {
	case e.Phase == Done, e.IsInPlace():
		return 1
	case e.Phase == RolledBack:
		return 0
	case once:
		return e.Steps[e.StepIndex].Once
	default:
		return e.Steps[e.StepIndex].Repeatable
	}
}

// Instances returns how many instances of the new version serve calls in the current step, so that each of
// them has about the load that it will have after the move.
func (s State) Instances() int { return s.instancesAt(s.StepIndex) }

// RequiredInstances returns how many instances of the new version are required: those of the current step, or of the
// next one if that is more.
func (s State) RequiredInstances(now time.Time) int {
	e := s.Effective(now)
	switch {
	case e.Phase == Done:
		return e.Size
	case e.Phase == RolledBack:
		return 0
	case e.StepIndex+1 == len(e.Steps):
		return e.Size
	default:
		return max(e.instancesAt(e.StepIndex), e.instancesAt(e.StepIndex+1))
	}
}

// Abort returns the state after an operator has aborted the move.
func (s State) Abort(now time.Time) State {
	if s = s.Effective(now); s.Final() {
		return s
	}
	return s.rollBack(now, Aborted)
}

// Changed reports whether next has to be written over s.
func (s State) Changed(next State) bool {
	return s.Epoch != next.Epoch || s.Term != next.Term
}

// Encode returns the state as msgpack.
func (s State) Encode() ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	if err := e.Encode(s); err != nil {
		return nil, err
	}
	if err := e.Encode(extension{Base: s.Base, Rejected: s.Rejected}); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Decode reads a state that Encode wrote.
func Decode(b []byte) (State, error) {
	d := msgpack.NewDecoder(bytes.NewReader(b))
	var s State
	if err := d.Decode(&s); err != nil {
		return State{}, err
	}
	var x extension
	if err := d.Decode(&x); err != nil && !errors.Is(err, io.EOF) {
		return State{}, err
	}
	s.Base, s.Rejected = x.Base, x.Rejected
	if s.Phase == Moving && (s.StepIndex < 0 || s.StepIndex >= len(s.Steps)) {
		return State{}, errBadState
	}
	return s, nil
}

func (s State) instancesAt(step int) int {
	if s.Phase != Moving {
		return s.Size
	}
	return int(math.Ceil(s.Steps[step].maxShare()*float64(s.Size) - 1e-9))
}

func (s State) rollBack(now time.Time, reason Reason) State {
	s.Phase = RolledBack
	s.Reason = reason
	s.Declared = now
	s.Epoch++
	return s
}

// Complete returns the state after the move is done.
func (s State) Complete(now time.Time) State {
	s.Phase = Done
	s.Declared = now
	s.Epoch++
	return s
}

func (s State) enter(step int, now time.Time) State {
	s.StepIndex = step
	s.StepStarted = now
	s.Epoch++
	return s
}

// hashFraction maps a key to [0, 1), in the same way at every entry.
func hashFraction(move uint64, key string) float64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], move)
	h := xxhash.New()
	_, _ = h.Write(seed[:])
	_, _ = h.WriteString(key)
	return float64(h.Sum64()>>11) / (1 << 53)
}
