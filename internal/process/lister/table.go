package lister

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// markRetention is how long a leaving mark is kept after the last listing of its endpoint, so
// that a lagging list cannot restore the endpoint.
const markRetention = 10 * time.Minute

// Listed is an element of the provider's list.
type Listed struct {
	Endpoint Endpoint
	Leaving  bool
}

// Table holds the endpoints known to an entry. The rules and the provider's list add
// endpoints; a leaving mark removes one from use even while the lagging list still contains
// it. It is safe for concurrent use.
type Table struct {
	mu           sync.RWMutex
	fromRules    map[string]Endpoint
	fromProvider map[string]Endpoint
	leaving      map[string]time.Time // by ID: time of the last listing or mark
	markedAt     map[string]time.Time // by ID: when the endpoint was first known to leave
	terminatesAt map[string]time.Time // by ID: when a leaving endpoint terminates
	services     map[string][]Endpoint
	version      uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		fromRules:    make(map[string]Endpoint),
		fromProvider: make(map[string]Endpoint),
		leaving:      make(map[string]time.Time),
		markedAt:     make(map[string]time.Time),
		terminatesAt: make(map[string]time.Time),
		services:     make(map[string][]Endpoint),
	}
}

// SetFromRules replaces the endpoints that the rules name.
func (t *Table) SetFromRules(endpoints []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fromRules = make(map[string]Endpoint, len(endpoints))
	for _, e := range endpoints {
		t.fromRules[e.ID()] = e
	}
	t.rebuild()
}

// SetFromProvider replaces the endpoints from the provider's list, and marks those that the
// list reports as leaving. It returns the IDs that are newly marked.
func (t *Table) SetFromProvider(listed []Listed, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fromProvider = make(map[string]Endpoint, len(listed))
	var marked []string
	for _, l := range listed {
		id := l.Endpoint.ID()
		t.fromProvider[id] = l.Endpoint
		_, known := t.leaving[id]
		if l.Leaving && !known {
			marked = append(marked, id)
			t.markedAt[id] = now
		}
		if l.Leaving || known {
			t.leaving[id] = now
		}
	}
	t.evictMarks(now)
	t.rebuild()
	return marked
}

// MarkLeaving marks an endpoint as leaving. It reports whether the mark is new.
func (t *Table) MarkLeaving(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.leaving[id]; known {
		return false
	}
	t.leaving[id], t.markedAt[id] = now, now
	t.rebuild()
	return true
}

// SetTerminatesAt sets when a leaving endpoint terminates.
func (t *Table) SetTerminatesAt(id string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.terminatesAt[id] = at
}

// TerminatesAt returns when a leaving endpoint terminates, or the zero time if that is unknown.
func (t *Table) TerminatesAt(id string) time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.terminatesAt[id]
}

// IsLeaving reports whether the endpoint has a leaving mark.
func (t *Table) IsLeaving(id string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, ok := t.leaving[id]
	return ok
}

// LeavingSince returns when the endpoint was first known to leave, or the zero time if it
// has no leaving mark.
func (t *Table) LeavingSince(id string) time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.markedAt[id]
}

// Marks returns the IDs of all leaving endpoints, sorted.
func (t *Table) Marks() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	ids := make([]string, 0, len(t.leaving))
	for id := range t.leaving {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Service returns the endpoints of a service that are not leaving, sorted by ID. The slice
// must not be modified.
func (t *Table) Service(name string) []Endpoint {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[name]
}

// Get returns the endpoint with the ID, even if it is leaving.
func (t *Table) Get(id string) (Endpoint, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if e, ok := t.fromProvider[id]; ok {
		return e, true
	}
	e, ok := t.fromRules[id]
	return e, ok
}

// All returns every endpoint, including those that are leaving, sorted by ID.
func (t *Table) All() []Endpoint {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.union(false)
}

// Version returns a number that increases whenever the usable endpoints change.
func (t *Table) Version() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

func (t *Table) evictMarks(now time.Time) {
	for id, last := range t.leaving {
		if now.Sub(last) > markRetention {
			delete(t.leaving, id)
			delete(t.markedAt, id)
			delete(t.terminatesAt, id)
		}
	}
}

func (t *Table) rebuild() {
	services := make(map[string][]Endpoint)
	for _, e := range t.union(true) {
		services[e.Service()] = append(services[e.Service()], e)
	}
	if sameEndpoints(services, t.services) {
		return
	}
	t.services = services
	t.version++
}

func (t *Table) union(usable bool) []Endpoint {
	all := make([]Endpoint, 0, len(t.fromRules)+len(t.fromProvider))
	for _, e := range t.fromProvider {
		all = append(all, e)
	}
	for id, e := range t.fromRules {
		if _, isListed := t.fromProvider[id]; !isListed {
			all = append(all, e)
		}
	}
	if usable {
		all = slices.DeleteFunc(all, func(e Endpoint) bool {
			_, leaving := t.leaving[e.ID()]
			return leaving
		})
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return strings.Compare(a.ID(), b.ID()) })
	return all
}

func sameEndpoints(a, b map[string][]Endpoint) bool {
	if len(a) != len(b) {
		return false
	}
	for name, endpoints := range a {
		if !slices.Equal(endpoints, b[name]) {
			return false
		}
	}
	return true
}
