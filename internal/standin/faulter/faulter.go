// Package faulter holds the faults that a stand-in shows on request, each for
// all versions or for one.
package faulter

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"hyssoprudder/internal/standin/hoster"
)

// Fault is what goes wrong and when. The conditions Route, After and Above
// restrict Slow, FailRate, RefuseRate, LoseRate and Late.
type Fault struct {
	Version string `json:"version,omitempty" toml:"version"`   // only while this version is served; empty: any
	Route   string `json:"fail_route,omitempty" toml:"route"`  // only calls whose path, route or prompt begins with it
	After   int    `json:"fail_after,omitempty" toml:"after"`  // only behind so many calls
	Above   int    `json:"fail_above,omitempty" toml:"above"`  // only while more than so many calls run
	For     int64  `json:"for_ms,omitempty" toml:"for_ms"`     // ends after so long; 0: stays
	Begin   int64  `json:"begin_ms,omitempty" toml:"begin_ms"` // begins so long after it was set

	Slow       float64 `json:"slow,omitempty" toml:"slow"`               // factor of all times
	FailRate   float64 `json:"fail_rate,omitempty" toml:"fail_rate"`     // share of calls answered 500 before they run
	RefuseRate float64 `json:"refuse_rate,omitempty" toml:"refuse_rate"` // share answered 503 with "Outcome: notrun"
	LoseRate   float64 `json:"lose_rate,omitempty" toml:"lose_rate"`     // share that runs and then loses the answer
	Late       int64   `json:"late_ms,omitempty" toml:"late_ms"`         // answers come later by so much

	FailLoad       bool `json:"fail_load,omitempty" toml:"fail_load"` // the version cannot be loaded
	Freeze         bool `json:"freeze,omitempty" toml:"freeze"`       // nothing is answered while set
	DieAfterTokens int  `json:"die_after_tokens,omitempty" toml:"die_after_tokens"`
}

// Effect is what one call meets.
type Effect struct {
	Slow   float64 // factor, at least 1
	Fail   bool
	Refuse bool
	Lose   bool
	Late   time.Duration
}

type entry struct {
	fault Fault
	since time.Time
	calls int
}

// Set is the faults of one stand-in. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	now     func() time.Time
	random  *rand.Rand
	entries map[string]*entry // by version
	thaw    chan struct{}     // closed while nothing is frozen
	frozen  bool
}

// New returns an empty set. Equal seeds draw equal effects.
func New(seed uint64, now func() time.Time) *Set {
	s := &Set{
		now:     now,
		random:  rand.New(rand.NewPCG(seed, seed+1)),
		entries: make(map[string]*entry),
		thaw:    make(chan struct{}),
	}
	close(s.thaw)
	return s
}

// Put replaces the fault of a version; a zero fault clears it.
func (s *Set) Put(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[f.Version] = &entry{fault: f, since: s.now()}
	frozen := false
	for _, e := range s.entries {
		frozen = frozen || e.fault.Freeze
	}
	switch {
	case frozen && !s.frozen:
		s.thaw = make(chan struct{})
	case !frozen && s.frozen:
		close(s.thaw)
	}
	s.frozen = frozen
}

// List returns the faults that are set.
func (s *Set) List() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Fault
	for _, e := range s.entries {
		list = append(list, e.fault)
	}
	return list
}

// Thaw waits until nothing is frozen, and reports false if done was closed first.
func (s *Set) Thaw(done <-chan struct{}) bool {
	s.mu.Lock()
	thaw := s.thaw
	s.mu.Unlock()
	select {
	case <-thaw:
		return true
	case <-done:
		return false
	}
}

// Call counts a call and draws what it meets. names are its path, route or
// prompt; running is the number of calls that run beside it.
func (s *Set) Call(version string, running int, names ...string) Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	effect := Effect{Slow: 1}
	for _, e := range s.match(version) {
		e.calls++
		if !s.active(e, running) || !matches(e.fault.Route, names) {
			continue
		}
		f := e.fault
		if f.Route != "" && f.Slow > 1 {
			effect.Slow *= f.Slow
		}
		effect.Fail = effect.Fail || s.draw(f.FailRate)
		effect.Refuse = effect.Refuse || s.draw(f.RefuseRate)
		effect.Lose = effect.Lose || s.draw(f.LoseRate)
		effect.Late += time.Duration(f.Late) * time.Millisecond
	}
	return effect
}

// Factor returns the factor of all times of a version for the faults that name
// no route.
func (s *Set) Factor(version string, running int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := 1.0
	for _, e := range s.match(version) {
		if e.fault.Route == "" && e.fault.Slow > 1 && s.active(e, running) {
			factor *= e.fault.Slow
		}
	}
	return factor
}

// FailsLoad reports whether the version cannot be loaded.
func (s *Set) FailsLoad(version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.match(version) {
		if e.fault.FailLoad {
			return true
		}
	}
	return false
}

// Dies counts generated tokens and reports whether the stand-in is to die now.
func (s *Set) Dies(version string, tokens int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.match(version) {
		if e.fault.DieAfterTokens == 0 {
			continue
		}
		e.fault.DieAfterTokens -= tokens
		if e.fault.DieAfterTokens <= 0 {
			return true
		}
	}
	return false
}

// Serve answers GET and POST /faults.
func (s *Set) Serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var f Fault
		if !hoster.Decode(w, r, &f) {
			return
		}
		s.Put(f)
	}
	hoster.Reply(w, http.StatusOK, s.List())
}

func (s *Set) match(version string) []*entry {
	var found []*entry
	for _, key := range []string{"", version} {
		if e, ok := s.entries[key]; ok && (len(found) == 0 || found[0] != e) {
			found = append(found, e)
		}
	}
	return found
}

func (s *Set) active(e *entry, running int) bool {
	age := s.now().Sub(e.since).Milliseconds()
	f := e.fault
	return age >= f.Begin && (f.For == 0 || age < f.Begin+f.For) && e.calls >= f.After && running >= f.Above
}

func (s *Set) draw(rate float64) bool { return rate > 0 && s.random.Float64() < rate }

func matches(route string, names []string) bool {
	if route == "" {
		return true
	}
	for _, name := range names {
		if strings.HasPrefix(name, route) {
			return true
		}
	}
	return false
}
