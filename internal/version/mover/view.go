package mover

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// View is what one entry knows of the moves. It never goes back to an older
// state. It is safe for concurrent use.
type View struct {
	mu    sync.RWMutex
	moves map[string]*seen
}

type seen struct {
	id    uint64
	state State
}

// NewView returns a view that knows no move.
func NewView() *View { return &View{moves: make(map[string]*seen)} }

// Apply takes in a state and reports whether it was news.
func (v *View) Apply(s State) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	id := s.ID()
	held := v.moves[s.Service]
	if held != nil && held.id == id {
		if s.Epoch <= held.state.Epoch {
			return false
		}
		held.state = s
		return true
	}
	if held != nil && held.state.Begun.After(s.Begun) {
		return false
	}
	v.moves[s.Service] = &seen{id: id, state: s}
	return true
}

// State returns the state of a service's move as it counts at a time.
func (v *View) State(service string, now time.Time) (State, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	held := v.moves[service]
	if held == nil {
		return State{}, false
	}
	return held.state.Effective(now), true
}

// States returns the states of all moves, by the name of the service.
func (v *View) States(now time.Time) []State {
	v.mu.RLock()
	defer v.mu.RUnlock()
	states := make([]State, 0, len(v.moves))
	for _, held := range v.moves {
		states = append(states, held.state.Effective(now))
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Service, b.Service) })
	return states
}

// Version returns the version that a call goes to, and false if the service is
// not moving. The key is the idempotency key of the call or else its id, so all
// entries send a call and its repeats to the same version. Tripped is true if
// the entry's guard has found a fault.
func (v *View) Version(service string, once bool, key string, now time.Time, tripped bool) (string, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	held := v.moves[service]
	if held == nil {
		return "", false
	}
	s := held.state.Effective(now)
	if s.Phase == Moving && tripped {
		return s.From, true
	}
	if position(held.id, key) < s.Share(now, once) {
		return s.To, true
	}
	return s.From, true
}

// Weight returns the share of calls that a version of a service may get: 1 if
// the service is not moving. After a move the other version serves only if
// the right one has no endpoint left, and never if it was taken back.
func (v *View) Weight(service, version string, once bool, now time.Time, tripped bool) float64 {
	s, ok := v.State(service, now)
	if !ok {
		return 1
	}
	share := s.Share(now, once)
	if s.Phase == Moving && tripped {
		share = 0
	}
	switch {
	case version == s.To:
		return share
	case version == s.From:
		return max(1-share, leastWeight)
	case s.Final():
		return leastWeight
	default:
		return 0
	}
}

// leastWeight is the weight of a version that is better than none.
const leastWeight = 1e-9

// InUse returns which of the instances of the new version serve at the
// present step, the same at every entry. The order of ids does not matter.
func (s State) InUse(ids []string) []string {
	if s.Phase == Done {
		return ids
	}
	sorted := slices.Clone(ids)
	id := s.ID()
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(position(id, a), position(id, b)), cmp.Compare(a, b))
	})
	return sorted[:min(len(sorted), s.Instances())]
}
