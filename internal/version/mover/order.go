package mover

import (
	"slices"
	"time"
)

// maxRejected bounds the rejected versions in a state; the oldest ones are dropped.
const maxRejected = 16

// Rejection is a version that must get no calls: its move was rolled back, or replaced by another order before it
// had a verdict.
type Rejection struct {
	Version string `msgpack:"v"`
	// Ordered and Deadline are when its move was ordered and the deadline of that move.
	Ordered  time.Time `msgpack:"at"`
	Deadline time.Time `msgpack:"by"`
	// Faulty is true if the judge found the version to be worse.
	Faulty bool `msgpack:"bad,omitempty"`
	// Unplanned is true if its move was not planned. Then the version may be the one that ran before.
	Unplanned bool `msgpack:"new,omitempty"`
}

// Order returns the state after an operator has ordered a move. It returns false if the order changes nothing: it
// repeats the newest order, or one that was replaced and is younger than repeatWindow. A version that was found to
// be faulty gets no calls before the deadline of the move that showed it, whatever is ordered.
func Order(config Config, r Request, previous *State, now time.Time, repeatWindow time.Duration) (State, bool) {
	if previous == nil {
		return Begin(config, r, now, 0), true
	}
	p := previous.Effective(now)
	if p.To == r.To && (p.Phase == Done || now.Before(p.Deadline)) {
		return p, false
	}
	rejection, rejected := p.rejection(r.To)
	if rejected && now.Before(rejection.Ordered.Add(repeatWindow)) {
		return p, false
	}
	next := Begin(config, r, now, 0).Replace(p, now)
	if rejected && rejection.Faulty && now.Before(rejection.Deadline) {
		next = next.rollBack(now, Faulty)
	}
	return next, true
}

// Replace returns the state of a new move that replaces the previous move of the service. It rejects the version
// of a previous move that is not done.
func (s State) Replace(previous State, now time.Time) State {
	p := previous.Effective(now)
	if s.From == "" {
		s.Base = p.Base
		if p.Phase == Done {
			s.Base = p.To
		}
	}
	s.Rejected = slices.Clone(p.Rejected)
	if p.Phase != Done && !p.IsInPlace() {
		s = s.without(p.To)
		s.Rejected = append(s.Rejected, Rejection{
			Version: p.To, Ordered: p.CreatedAt, Deadline: p.Deadline, Faulty: p.Reason == Faulty, Unplanned: p.Avoided() != nil,
		})
	}
	s = s.without(s.To)
	s.Rejected = s.Rejected[max(len(s.Rejected)-maxRejected, 0):]
	if !s.CreatedAt.After(p.CreatedAt) {
		s.CreatedAt = p.CreatedAt.Add(1) // entries order moves by it, and keepers' clocks may differ
	}
	return s
}

// Plan returns the state with the version that ran before, the steps and the size. The size is 0 until the leader
// has planned the move.
func (s State) Plan(config Config, base string, routes []Route, size int) State {
	s = s.without(base)
	for i := range s.Rejected {
		s.Rejected[i].Unplanned = false // it is known now that another version ran before
	}
	s.Base = base
	s.Steps = steps(config, Request{Routes: routes})
	s.Size = size
	s.Epoch++
	return s
}

// RunningVersion returns the version that runs before the move, given the number of listed instances by version.
// It returns "" if none is listed. It is the version to move to if no other one is listed.
func (s State) RunningVersion(listed map[string]int) string {
	if s.Base != "" {
		return s.Base
	}
	var best string
	rank := func(version string) (int, int) {
		class := 2
		if r, ok := s.rejection(version); ok && r.Unplanned || version == s.To {
			class = 1
		} else if ok {
			class = 0
		}
		return class, listed[version]
	}
	for version := range listed {
		class, count := rank(version)
		bestClass, bestCount := rank(best)
		switch {
		case class == 0:
		case best == "", class > bestClass, class == bestClass && count > bestCount,
			class == bestClass && count == bestCount && (version == s.To || best != s.To && version < best):
			best = version
		}
	}
	return best
}

// IsInPlace reports whether the version to move to is the one that ran before. Its instances get calls all the
// while, and it is done when new ones have been started beside those that ran before.
func (s State) IsInPlace() bool { return s.Base != "" && s.Base == s.To }

// Restriction tells which versions may serve a call.
type Restriction struct {
	// Wanted, if not empty, is the version that the call goes to if it has an endpoint.
	Wanted string
	// Unwanted are the versions that must not serve the call.
	Unwanted []string
	// Avoided are the versions that serve the call only if no other one has an endpoint.
	Avoided []string
}

// Restriction returns which versions may serve a call. The call goes to the new version if random, from 0 to 1, is
// below its share. Tripped is true if the entry's guard has found a fault.
func (s State) Restriction(now time.Time, once bool, random float64, tripped bool) Restriction {
	e := s.Effective(now)
	r := Restriction{Unwanted: e.Unwanted()}
	switch {
	case e.Phase == Done:
		r.Wanted = e.To
	case e.IsInPlace():
	case e.Avoided() != nil:
		r.Avoided = e.Avoided()
	case !tripped && random < e.Share(now, once):
		r.Wanted = e.To
	default:
		r.Unwanted = append(r.Unwanted, e.To)
	}
	return r
}

// Unwanted returns the versions that must get no calls, besides the new version as far as its share says so.
func (s State) Unwanted() []string {
	var versions []string
	for _, r := range s.Rejected {
		if !r.Unplanned {
			versions = append(versions, r.Version)
		}
	}
	return versions
}

// Avoided returns the versions that get calls only if no other one has an endpoint: until a move is planned, it is
// not known which version ran before.
func (s State) Avoided() []string {
	if s.isPlanned() || s.Base != "" {
		return nil
	}
	versions := []string{s.To}
	for _, r := range s.Rejected {
		if r.Unplanned {
			versions = append(versions, r.Version)
		}
	}
	return versions
}

// IsRejected reports whether a version must get no calls since its own move did not end well.
func (s State) IsRejected(version string) bool {
	r, ok := s.rejection(version)
	return ok && !r.Unplanned
}

// IsCounted reports whether instances of a version count for the size of the service. Those of a version that is
// rejected, rolled back or not decided don't.
func (s State) IsCounted(version string) bool {
	switch {
	case s.IsRejected(version):
		return false
	case s.Phase == Done, s.IsInPlace(), s.Avoided() != nil:
		return true
	}
	return version != s.To
}

func (s State) isPlanned() bool { return s.Size > 0 }

func (s State) rejection(version string) (Rejection, bool) {
	i := slices.IndexFunc(s.Rejected, func(r Rejection) bool { return r.Version == version })
	if i < 0 {
		return Rejection{}, false
	}
	return s.Rejected[i], true
}

func (s State) without(version string) State {
	s.Rejected = slices.DeleteFunc(slices.Clone(s.Rejected), func(r Rejection) bool { return r.Version == version })
	return s
}
