package lister

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// markLifetime is how long a leaving mark outlives the last listing of its
// endpoint, so that a lagging list cannot bring the endpoint back.
const markLifetime = 10 * time.Minute

// Listed is one entry of the platform's list.
type Listed struct {
	Endpoint Endpoint
	Leaving  bool
}

// Table holds the endpoints that an entry knows. The rules and the platform's
// list add candidates; a leaving mark removes an endpoint from use whatever
// the lagging list says. It is safe for concurrent use.
type Table struct {
	mu       sync.RWMutex
	ruled    map[string]Endpoint
	listed   map[string]Endpoint
	leaving  map[string]time.Time // id to the time of the last listing or mark
	until    map[string]time.Time // id to when a leaving endpoint goes away
	services map[string][]Endpoint
	version  uint64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		ruled:    make(map[string]Endpoint),
		listed:   make(map[string]Endpoint),
		leaving:  make(map[string]time.Time),
		until:    make(map[string]time.Time),
		services: make(map[string][]Endpoint),
	}
}

// SetRuled replaces the endpoints that the rules name.
func (t *Table) SetRuled(endpoints []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ruled = make(map[string]Endpoint, len(endpoints))
	for _, e := range endpoints {
		t.ruled[e.ID()] = e
	}
	t.rebuild()
}

// SetListed replaces the endpoints of the platform's list, and marks those
// that the list says are leaving. It returns the newly marked.
func (t *Table) SetListed(listed []Listed, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = make(map[string]Endpoint, len(listed))
	var marked []string
	for _, l := range listed {
		id := l.Endpoint.ID()
		t.listed[id] = l.Endpoint
		_, known := t.leaving[id]
		if l.Leaving && !known {
			marked = append(marked, id)
		}
		if l.Leaving || known {
			t.leaving[id] = now
		}
	}
	t.forget(now)
	t.rebuild()
	return marked
}

// Mark notes that an endpoint is leaving. It reports whether that was news.
func (t *Table) Mark(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.leaving[id]; known {
		return false
	}
	t.leaving[id] = now
	t.rebuild()
	return true
}

// SetUntil notes when a leaving endpoint goes away.
func (t *Table) SetUntil(id string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until[id] = until
}

// Until returns when a leaving endpoint goes away, or the zero time if that is
// not known.
func (t *Table) Until(id string) time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.until[id]
}

// Leaving reports whether the endpoint has a leaving mark.
func (t *Table) Leaving(id string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, ok := t.leaving[id]
	return ok
}

// Marks returns the ids of all leaving endpoints, sorted.
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

// Service returns the endpoints of a service that are not leaving, sorted by
// id. The slice must not be changed.
func (t *Table) Service(name string) []Endpoint {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[name]
}

// Get returns the endpoint with the id, also when it is leaving.
func (t *Table) Get(id string) (Endpoint, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if e, ok := t.listed[id]; ok {
		return e, true
	}
	e, ok := t.ruled[id]
	return e, ok
}

// All returns every endpoint, sorted by id, also those that are leaving.
func (t *Table) All() []Endpoint {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.union(false)
}

// Version rises whenever the usable endpoints change.
func (t *Table) Version() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

func (t *Table) forget(now time.Time) {
	for id, last := range t.leaving {
		if now.Sub(last) > markLifetime {
			delete(t.leaving, id)
			delete(t.until, id)
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
	all := make([]Endpoint, 0, len(t.ruled)+len(t.listed))
	for _, e := range t.listed {
		all = append(all, e)
	}
	for id, e := range t.ruled {
		if _, twice := t.listed[id]; !twice {
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
