package mover

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// View holds the moves that one entry knows of. It never returns to an older state of a move. It is safe for
// concurrent use.
type View struct {
	mu    sync.RWMutex
	moves map[string]*trackedMove
}

type trackedMove struct {
	id    uint64
	state State
}

// NewView returns an empty view.
func NewView() *View { return &View{moves: make(map[string]*trackedMove)} }

// Apply adds a state and reports whether it was newer than the known one.
func (v *View) Apply(s State) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	id := s.ID()
	m := v.moves[s.Service]
	if m != nil && m.id == id {
		if s.Epoch <= m.state.Epoch {
			return false
		}
		m.state = s
		return true
	}
	if m != nil && m.state.CreatedAt.After(s.CreatedAt) {
		return false
	}
	v.moves[s.Service] = &trackedMove{id: id, state: s}
	return true
}

// State returns the state of a service's move as of a time.
func (v *View) State(service string, now time.Time) (State, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	m := v.moves[service]
	if m == nil {
		return State{}, false
	}
	return m.state.Effective(now), true
}

// States returns the states of all moves, ordered by the name of the service.
func (v *View) States(now time.Time) []State {
	v.mu.RLock()
	defer v.mu.RUnlock()
	states := make([]State, 0, len(v.moves))
	for _, m := range v.moves {
		states = append(states, m.state.Effective(now))
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Service, b.Service) })
	return states
}

// Version returns the version that a call goes to, and false if the service has no move. The key is the
// idempotency key of the call, or its id if it has none, so that all entries send a call and its repeats to
// the same version. Tripped is true if the entry's guard has found a fault.
func (v *View) Version(service string, once bool, key string, now time.Time, tripped bool) (string, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	m := v.moves[service]
	if m == nil {
		return "", false
	}
	s := m.state.Effective(now)
	if s.Phase == Moving && tripped {
		return s.From, true
	}
	if hashFraction(m.id, key) < s.Share(now, once) {
		return s.To, true
	}
	return s.From, true
}

// Weight returns the share of calls that a version of a service may get, which is 1 if the service has no
// move. After a move the other version gets calls only if the chosen one has no endpoint left, and
// never if the other version was rolled back.
func (v *View) Weight(service, version string, once bool, now time.Time, tripped bool) float64 {
	s, ok := v.State(service, now)
	if !ok {
		return 1
	}
	share := s.Share(now, once)
	if s.Phase == Moving && tripped && !s.IsInPlace() {
		share = 0
	}
	switch {
	case s.IsRejected(version):
		return 0
	case version == s.To:
		return share
	case version == s.From:
		return max(1-share, minWeight)
	case s.Final():
		return minWeight
	default:
		return 0
	}
}

// minWeight is the weight of a version that is used only if no other version has an endpoint.
const minWeight = 1e-9

// InUse returns the instances of the new version that serve calls in the current step. The result is the same
// at every entry and does not depend on the order of ids.
func (s State) InUse(ids []string) []string {
	if s.Phase == Done {
		return ids
	}
	sorted := slices.Clone(ids)
	id := s.ID()
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(hashFraction(id, a), hashFraction(id, b)), cmp.Compare(a, b))
	})
	return sorted[:min(len(sorted), s.Instances())]
}
