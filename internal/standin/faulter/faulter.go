// Package faulter holds the faults injected into a stand-in. A fault applies to
// one version or to all versions.
package faulter

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"hyssoprudder/internal/standin/hoster"
)

// Fault describes what fails and when. The conditions Route, SkipCalls, MinRunning,
// DurationMillis and StartMillis restrict Slowdown, FailRate, RefuseRate,
// LoseAnswerRate and DelayMillis.
type Fault struct {
	Version        string `json:"version,omitempty" toml:"version"`   // only while this version is served; empty means any version
	Route          string `json:"fail_route,omitempty" toml:"route"`  // only calls whose path, route or prompt has this prefix
	SkipCalls      int    `json:"fail_after,omitempty" toml:"after"`  // only from this call on; 1 is the first call after the fault was set
	MinRunning     int    `json:"fail_above,omitempty" toml:"above"`  // only while at least this number of calls runs; see Call and Slowdown
	DurationMillis int64  `json:"for_ms,omitempty" toml:"for_ms"`     // time that the fault lasts; 0 means until it is replaced
	StartMillis    int64  `json:"begin_ms,omitempty" toml:"begin_ms"` // delay from setting the fault until it starts

	Slowdown       float64 `json:"slow,omitempty" toml:"slow"`               // factor of all durations, or of the matching calls if Route is set; up to 1 has no effect
	FailRate       float64 `json:"fail_rate,omitempty" toml:"fail_rate"`     // fraction of calls answered 500 before they run
	RefuseRate     float64 `json:"refuse_rate,omitempty" toml:"refuse_rate"` // fraction of calls answered 503 with "Outcome: notrun"
	LoseAnswerRate float64 `json:"lose_rate,omitempty" toml:"lose_rate"`     // fraction of calls that run and whose answer is then lost
	DelayMillis    int64   `json:"late_ms,omitempty" toml:"late_ms"`         // delay of answers
	LeaveRate      float64 `json:"leave_rate,omitempty" toml:"leave_rate"`   // fraction of calls from which on all answers say that the stand-in leaves
	PauseRate      float64 `json:"pause_rate,omitempty" toml:"pause_rate"`   // fraction of calls answered 503 with a request for a pause
	PauseMillis    int64   `json:"pause_ms,omitempty" toml:"pause_ms"`       // longest such pause; its length is drawn at random

	FailLoad       bool `json:"fail_load,omitempty" toml:"fail_load"`               // the version cannot be loaded
	Freeze         bool `json:"freeze,omitempty" toml:"freeze"`                     // no request is answered while set, whatever the version
	DieAfterTokens int  `json:"die_after_tokens,omitempty" toml:"die_after_tokens"` // the stand-in dies after this number of tokens
}

// Effect is the combined effect of all faults on one call.
type Effect struct {
	Slowdown   float64 // factor by which the call is slower, at least 1
	Fail       bool
	Refuse     bool
	LoseAnswer bool
	Delay      time.Duration
	Leave      bool
	Pause      time.Duration // for which no calls are wanted; the call is refused
}

// Announce sets the header fields by which an answer says that the stand-in leaves, and for
// how many seconds it wants no calls.
func (e *Effect) Announce(w http.ResponseWriter) {
	if e.Leave {
		w.Header().Set("Leaving", "1")
	}
	if e.Pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.Pause.Seconds(), 'f', 3, 64))
	}
}

// injected is a fault that is set.
type injected struct {
	fault Fault
	setAt time.Time
	calls int // calls since the fault was set
	left  bool
}

// Set is the set of faults of one stand-in. It is safe for concurrent use.
type Set struct {
	mu       sync.Mutex
	now      func() time.Time
	random   *rand.Rand
	faults   map[string]*injected // by version
	unfrozen chan struct{}        // closed while nothing is frozen
	frozen   bool
}

// New returns an empty set. Sets with equal seeds draw equal random effects.
func New(seed uint64, now func() time.Time) *Set {
	s := &Set{
		now:      now,
		random:   rand.New(rand.NewPCG(seed, seed+1)),
		faults:   make(map[string]*injected),
		unfrozen: make(chan struct{}),
	}
	close(s.unfrozen)
	return s
}

// Put replaces the fault of a version. A fault without effects clears the earlier one, but
// is still listed.
func (s *Set) Put(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[f.Version] = &injected{fault: f, setAt: s.now()}
	frozen := false
	for _, e := range s.faults {
		frozen = frozen || e.fault.Freeze
	}
	switch {
	case frozen && !s.frozen:
		s.unfrozen = make(chan struct{})
	case !frozen && s.frozen:
		close(s.unfrozen)
	}
	s.frozen = frozen
}

// List returns the faults that are set.
func (s *Set) List() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Fault
	for _, e := range s.faults {
		list = append(list, e.fault)
	}
	return list
}

// WaitUnfrozen waits until no fault freezes the stand-in. It returns false if done
// is closed first.
func (s *Set) WaitUnfrozen(done <-chan struct{}) bool {
	s.mu.Lock()
	unfrozen := s.unfrozen
	s.mu.Unlock()
	select {
	case <-unfrozen:
		return true
	case <-done:
		return false
	}
}

// Call counts a call and draws the effect of the faults on it. names are its path,
// route or prompt; running is the number of other calls that run.
func (s *Set) Call(version string, running int, names ...string) Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	effect := Effect{Slowdown: 1}
	for _, e := range s.match(version) {
		e.calls++
		if !s.active(e, running) || !routeMatches(e.fault.Route, names) {
			continue
		}
		f := e.fault
		if f.Route != "" && f.Slowdown > 1 {
			effect.Slowdown *= f.Slowdown
		}
		effect.Fail = effect.Fail || s.chance(f.FailRate)
		effect.Refuse = effect.Refuse || s.chance(f.RefuseRate)
		effect.LoseAnswer = effect.LoseAnswer || s.chance(f.LoseAnswerRate)
		e.left = e.left || s.chance(f.LeaveRate)
		effect.Leave = effect.Leave || e.left
		if s.chance(f.PauseRate) {
			effect.Pause = time.Duration((0.1 + 0.9*s.random.Float64()) * float64(f.PauseMillis) * float64(time.Millisecond))
		}
		effect.Delay += time.Duration(f.DelayMillis) * time.Millisecond
	}
	return effect
}

// Slowdown returns the slowdown factor of a version that results from the faults
// without a route. running is the number of calls that run, including those slowed
// down.
func (s *Set) Slowdown(version string, running int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := 1.0
	for _, e := range s.match(version) {
		if e.fault.Route == "" && e.fault.Slowdown > 1 && s.active(e, running) {
			factor *= e.fault.Slowdown
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

// RecordTokens counts generated tokens and reports whether a fault makes the stand-in
// die now.
func (s *Set) RecordTokens(version string, tokens int) bool {
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

func (s *Set) match(version string) []*injected {
	var found []*injected
	for _, key := range []string{"", version} {
		if e, ok := s.faults[key]; ok && (len(found) == 0 || found[0] != e) {
			found = append(found, e)
		}
	}
	return found
}

func (s *Set) active(e *injected, running int) bool {
	age := s.now().Sub(e.setAt).Milliseconds()
	f := e.fault
	return age >= f.StartMillis && (f.DurationMillis == 0 || age < f.StartMillis+f.DurationMillis) && e.calls >= f.SkipCalls && running >= f.MinRunning
}

func (s *Set) chance(rate float64) bool { return rate > 0 && s.random.Float64() < rate }

func routeMatches(route string, names []string) bool {
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
