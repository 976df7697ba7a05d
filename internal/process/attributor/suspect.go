package attributor

import (
	"slices"
	"time"
)

// maxSeen bounds the crashes that are remembered of a suspect.
const maxSeen = 64

// suspect is a request or a block that was in calls that broke off when endpoints crashed.
type suspect struct {
	key         Key
	since       time.Time  // first crash
	seen        []sighting // crashes that it was in, by time, at most maxSeen
	crashes     int        // crashes in a row: each under a call that was sent after the crash before
	lastCrash   time.Time  // the last of these
	suspectedAt time.Time  // when crashes reached suspicionThreshold
	depth       int
	wasAnswered bool // some entry has answered the request
	// adoptedUntil is until when an earlier leader has counted the crashes. Entries report the last ones again.
	adoptedUntil time.Time
	// settled is the number of crashes in a row up to settledAt, which does not follow from the sightings.
	settled   int
	settledAt time.Time
}

// sighting is a crash under a suspect.
type sighting struct {
	number    int
	at        time.Time
	startedAt time.Time // when the last call with the suspect was sent
	isSettled bool      // it is included in the suspect's settled crashes
}

// newProbation returns the suspicion of what was isolated until a time: one more crash isolates it again.
func newProbation(key Key, until time.Time) *suspect {
	s := &suspect{key: key, since: until, suspectedAt: until, crashes: isolationThreshold - 1, lastCrash: until}
	s.settle()
	return s
}

// adopt adds what an earlier leader knew.
func (s *suspect) adopt(adopted Suspect, now time.Time) {
	s.since, s.adoptedUntil = adopted.Since, adopted.LastCrash.Add(sameCrashTime)
	s.crashes, s.lastCrash, s.suspectedAt = max(s.crashes, adopted.Crashes), latest(s.lastCrash, adopted.LastCrash), now
	s.settle()
}

// hasOwnEvidence reports whether this leader has counted a crash against the suspect. What an entry knows of earlier leaders may be
// older than their last decision, which explains those crashes by something else.
func (s *suspect) hasOwnEvidence() bool { return s.adoptedUntil.IsZero() || s.crashes > s.settled }

// settle keeps the number of crashes whatever becomes of their sightings.
func (s *suspect) settle() {
	s.settled, s.settledAt = s.crashes, s.lastCrash
	for i := range s.seen {
		s.seen[i].isSettled = true
	}
}

// see counts a crash, in the order in which crashes happened.
func (s *suspect) see(k *crash, e Exposure, now time.Time) {
	if e.AnsweredAt.After(s.since) {
		*s = suspect{key: s.key, since: k.at}
	}
	if k.at.Before(s.since) && s.settled == 0 {
		s.since = k.at
	}
	s.wasAnswered = s.wasAnswered || !e.AnsweredAt.IsZero()
	s.depth = max(s.depth, e.Depth)
	if len(s.seen) < maxSeen {
		at, _ := slices.BinarySearchFunc(s.seen, k.at, func(g sighting, at time.Time) int { return g.at.Compare(at) })
		s.seen = slices.Insert(s.seen, at, sighting{number: k.number, at: k.at, startedAt: e.StartedAt})
	}
	s.recount(now)
}

// remove removes a crash that something else explains. It returns the number of crashes that are left.
func (s *suspect) remove(number int, now time.Time) int {
	i := slices.IndexFunc(s.seen, func(g sighting) bool { return g.number == number })
	if i >= 0 {
		s.seen = slices.Delete(s.seen, i, i+1)
		s.recount(now)
	}
	return s.crashes
}

// recount counts the crashes in a row. Calls that were sent before the last crash that counted are no new evidence: a
// common block is in calls at many endpoints that crash together. That holds for requests which have been answered
// before, too; one that has not may itself be at many endpoints at once.
func (s *suspect) recount(now time.Time) {
	before := s.crashes
	s.crashes, s.lastCrash = s.settled, s.settledAt
	for _, g := range s.seen {
		isNew := g.startedAt.After(s.lastCrash) || s.key.IsRequest() && !s.wasAnswered
		if g.isSettled || !isNew || g.at.Before(s.adoptedUntil) {
			continue
		}
		s.crashes, s.lastCrash = s.crashes+1, latest(s.lastCrash, g.at)
	}
	if s.crashes >= suspicionThreshold && before < suspicionThreshold {
		s.suspectedAt = now
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wasIn reports whether the suspect was in a crash.
func (s *suspect) wasIn(crash sighting) bool {
	return slices.ContainsFunc(s.seen, func(g sighting) bool { return g.number == crash.number })
}

func (s *suspect) wasInAll(crashes []sighting) bool {
	return !slices.ContainsFunc(crashes, func(g sighting) bool { return !s.wasIn(g) })
}

// beside returns the crashes that the suspect was in, but not the other one.
func (s *suspect) beside(other *suspect) []sighting {
	var out []sighting
	for _, g := range s.seen {
		if !other.wasIn(g) {
			out = append(out, g)
		}
	}
	return out
}

// hasEvidenceBeside reports whether a block was in enough crashes beside those of a request, under several others:
// no one of the requests that were in several crashes was in all of these.
func (s *suspect) hasEvidenceBeside(request *suspect, repeated []*suspect) bool {
	beside := s.beside(request)
	if s.crashes < isolationThreshold || len(beside) < isolationThreshold {
		return false
	}
	return !slices.ContainsFunc(repeated, func(other *suspect) bool { return other.wasInAll(beside) })
}

// explains reports whether a block or request was in all crashes that another one was in, and either in more of them or, as the
// later one in the prompts, in fewer calls.
func (s *suspect) explains(other *suspect) bool {
	if len(other.seen) == 0 || len(s.seen) < len(other.seen) || len(s.seen) == len(other.seen) && s.depth <= other.depth {
		return false
	}
	return s.wasInAll(other.seen)
}

// discount removes the crashes that an isolated request explains. For a block one of them stays: it may be the block that makes
// the request crash endpoints, and other requests have it too. A block is not isolated before one more crash: reports
// that the request was in some of the crashes may have been lost.
func (s *suspect) discount(isolated *suspect) {
	var rest []sighting
	keepOne := !s.key.IsRequest()
	for _, g := range s.seen {
		if !isolated.wasIn(g) {
			rest = append(rest, g)
		} else if keepOne {
			rest, keepOne = append(rest, g), false
		}
	}
	s.seen, s.crashes = rest, min(s.crashes, len(rest))
	if !s.key.IsRequest() {
		s.crashes = min(s.crashes, isolationThreshold-1)
	}
	s.settle()
}
