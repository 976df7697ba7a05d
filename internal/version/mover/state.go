// Package mover holds the state machine of a version move: shares that grow in
// steps with evidence, and a verdict before the deadline in every case.
package mover

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/version/judge"
)

// growing returns the share that the step tries: of calls that run once if any
// of those move.
func (s Step) growing() float64 {
	if s.Once > 0 {
		return s.Once
	}
	return s.Repeatable
}

// Phase is how far a move has come.
type Phase string

// The phases of a move. Done and TakenBack are final.
const (
	Moving    Phase = "moving"
	Done      Phase = "done"
	TakenBack Phase = "takenback"
)

// Reason says why a move was taken back.
type Reason string

// The reasons for taking a move back.
const (
	// Faulty means that the judge has found the new version worse.
	Faulty Reason = "fault"
	// Aborted means that an operator asked for it.
	Aborted Reason = "abort"
	// Withdrawn means that the rule of the move is gone.
	Withdrawn Reason = "withdrawn"
	// Short means that the time left was too short to finish.
	Short Reason = "short"
	// Expired means that no leader has declared a verdict in time.
	Expired Reason = "expired"
)

// Step is one step of a move: the shares of calls that go to the new version.
type Step struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Repeatable float64
	Once       float64
}

// share returns the larger share, which sets the number of instances.
func (s Step) share() float64 { return max(s.Repeatable, s.Once) }

// State is the replicated state of one move. It is written by compare-and-set
// only; Epoch rises with every change of the shares.
type State struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Service  string
	From, To string
	// By is the deadline; Until is the time from which a move without a
	// verdict counts as taken back at every node, without any message.
	By, Until time.Time
	// Begun is when the move was created, Since when its step was entered.
	Begun, Since time.Time
	Steps        []Step
	// At is the index of the present step; step 0 sends nothing.
	At    int
	Epoch uint64
	// Term is the term of the leader that last wrote the state, Reign counts
	// the leaders before it.
	Term  uint64
	Reign int
	// Size is the number of instances that serve all of the traffic.
	Size   int
	Phase  Phase
	Reason Reason
	Fault  *judge.Fault
	// Declared is when the verdict was declared.
	Declared time.Time
}

// ID identifies a move: another deadline or version is another move.
func ID(service, from, to string, by time.Time) uint64 {
	h := xxhash.New()
	for _, s := range []string{service, from, to, by.UTC().Format(time.RFC3339Nano)} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// ID returns the identity of the move.
func (s State) ID() uint64 { return ID(s.Service, s.From, s.To, s.By) }

// Subject returns what an entry counts for the move.
func (s State) Subject(routes []string) judge.Subject {
	return judge.Subject{
		Move: s.ID(), Epoch: s.Epoch, Service: s.Service, From: s.From, To: s.To,
		Routes: routes, Window: s.By.Sub(s.Begun),
	}
}

// Final reports whether the verdict stands.
func (s State) Final() bool { return s.Phase != Moving }

// Effective returns the state as it counts at a time: without a verdict at
// Until, the move is taken back.
func (s State) Effective(now time.Time) State {
	if s.Final() || now.Before(s.Until) {
		return s
	}
	return s.takeBack(s.Until, Expired)
}

// Share returns the share of calls that go to the new version at a time, for
// calls that run once or for repeatable ones.
func (s State) Share(now time.Time, once bool) float64 {
	e := s.Effective(now)
	switch {
	case e.Phase == Done:
		return 1
	case e.Phase == TakenBack:
		return 0
	case once:
		return e.Steps[e.At].Once
	default:
		return e.Steps[e.At].Repeatable
	}
}

// Instances returns how many instances of the new version are in use at the
// step, so that each carries about the load that it will carry in the end.
func (s State) Instances() int { return s.instancesAt(s.At) }

// Wanted returns how many instances of the new version are needed: those of
// the present step, or of the next one if that is more.
func (s State) Wanted(now time.Time) int {
	e := s.Effective(now)
	switch {
	case e.Phase == Done:
		return e.Size
	case e.Phase == TakenBack:
		return 0
	case e.At+1 == len(e.Steps):
		return e.Size
	default:
		return max(e.instancesAt(e.At), e.instancesAt(e.At+1))
	}
}

// Abort returns the state after an operator has taken the move back.
func (s State) Abort(now time.Time) State {
	if s = s.Effective(now); s.Final() {
		return s
	}
	return s.takeBack(now, Aborted)
}

// Changed reports whether next has to be written over s.
func (s State) Changed(next State) bool {
	return s.Epoch != next.Epoch || s.Term != next.Term
}

// Encode returns the state as msgpack.
func (s State) Encode() ([]byte, error) { return msgpack.Marshal(s) }

// Decode reads what Encode wrote.
func Decode(b []byte) (State, error) {
	var s State
	if err := msgpack.Unmarshal(b, &s); err != nil {
		return State{}, err
	}
	if s.Phase == Moving && (s.At < 0 || s.At >= len(s.Steps)) {
		return State{}, errBadState
	}
	return s, nil
}

func (s State) instancesAt(step int) int {
	if s.Phase != Moving {
		return s.Size
	}
	return int(math.Ceil(s.Steps[step].share()*float64(s.Size) - 1e-9))
}

// Sized returns the state of a move whose routes and size the leader has found out;
// until then the size is 0.
func (s State) Sized(config Config, routes []Route, size int) State {
	s.Steps = steps(config, Request{Routes: routes})
	s.Size = size
	s.Epoch++
	return s
}

func (s State) takeBack(now time.Time, reason Reason) State {
	s.Phase = TakenBack
	s.Reason = reason
	s.Declared = now
	s.Epoch++
	return s
}

func (s State) enter(step int, now time.Time) State {
	s.At = step
	s.Since = now
	s.Epoch++
	return s
}

// position maps a call to [0, 1) in the same way at every entry.
func position(move uint64, key string) float64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], move)
	h := xxhash.New()
	_, _ = h.Write(seed[:])
	_, _ = h.WriteString(key)
	return float64(h.Sum64()>>11) / (1 << 53)
}
