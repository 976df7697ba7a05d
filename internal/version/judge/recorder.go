package judge

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Subject is the move that an entry records calls for.
type Subject struct {
	// Move identifies the move. A move with other versions or another deadline has another identity.
	Move uint64
	// Epoch rises each time the shares change.
	Epoch uint64
	// Service is the service whose version changes.
	Service string
	// From and To are the old and the new version.
	From, To string
	// Routes are the names of the routes to the service.
	Routes []string
	// Window is the time from the start of the move to its deadline.
	Window time.Duration
}

func (s Subject) guardConfig(config Config) Config {
	config.Blocks = int(s.Window / Interval)
	return config
}

// GuardConfig returns the thresholds of the guard of one entry. All guards of a cell with at most the given
// number of entries together stay within alpha.
func GuardConfig(alpha float64, entries int) Config {
	return Config{Alpha: alpha / float64(entries), SuspicionThreshold: 10, FailureCap: maxBlockEValue, LatencyCap: 1}
}

// Recorder counts the calls of one entry for each service that has a move. It also runs the guard of the
// entry, which stops sending calls to the new version when it detects a clear fault, without waiting for
// the leader. It is safe for concurrent use; each service has its own lock.
type Recorder struct {
	entry       string
	incarnation uint64
	guard       Config

	mu        sync.RWMutex
	services  map[string]*trackedService
	nextRoute int // index of the first route of the next digest
}

type trackedService struct {
	mu      sync.Mutex
	subject Subject
	table   Table
	guard   *Judge
	tripped *Fault
}

// NewRecorder returns a recorder for one incarnation of an entry.
func NewRecorder(entry string, incarnation uint64, guard Config) *Recorder {
	return &Recorder{entry: entry, incarnation: incarnation, guard: guard, services: make(map[string]*trackedService)}
}

// Follow starts the counters of a service for a move, or for a new epoch of it. A guard that has tripped stays
// tripped for the whole move.
func (r *Recorder) Follow(s Subject) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.services[s.Service]
	if t == nil || t.subject.Move != s.Move {
		r.services[s.Service] = &trackedService{subject: s, table: make(Table), guard: New(s.guardConfig(r.guard), s.Routes)}
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Epoch > t.subject.Epoch {
		t.subject = s
		t.table = make(Table)
	}
}

// Discard stops counting for a service.
func (r *Recorder) Discard(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.services, service)
}

// Begin counts a call that was sent to a version.
func (r *Recorder) Begin(service, route, version string) {
	r.count(service, route, version, func(c *Counts) { c.started++ })
}

// Record counts how a call to a version ended.
func (r *Recorder) Record(service, route, version string, result Result) {
	r.count(service, route, version, func(c *Counts) {
		if result.Excluded {
			c.started -= min(c.started, 1)
			return
		}
		c.record(result)
	})
}

// Check runs the guards. It is called once per Interval and returns the faults that were detected since the
// last call.
func (r *Recorder) Check() []Fault {
	var found []Fault
	for _, t := range r.allServices() {
		if f, ok := t.check(); ok {
			found = append(found, f)
		}
	}
	return found
}

// Tripped reports whether the guard of a service has detected a fault in the move.
func (r *Recorder) Tripped(service string, move uint64) bool {
	t := r.tracked(service)
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.subject.Move == move && t.tripped != nil
}

// Digest returns the digest that the entry sends to the others.
func (r *Recorder) Digest() *Digest {
	d := &Digest{Entry: r.entry, Incarnation: r.incarnation}
	for _, t := range r.allServices() {
		d.Moves = append(d.Moves, t.digest())
	}
	return d
}

// Encode returns a digest of at most limit bytes. Routes that do not fit are sent in later digests, in turn.
func (r *Recorder) Encode(limit int) ([]byte, error) {
	d := r.Digest()
	r.mu.Lock()
	defer r.mu.Unlock()
	encoded, encodedRoutes, err := d.encodeWithin(limit, r.nextRoute)
	r.nextRoute += encodedRoutes
	return encoded, err
}

func (r *Recorder) tracked(service string) *trackedService {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[service]
}

func (r *Recorder) allServices() []*trackedService {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]*trackedService, 0, len(r.services))
	for _, service := range slices.Sorted(maps.Keys(r.services)) {
		all = append(all, r.services[service])
	}
	return all
}

func (r *Recorder) count(service, route, version string, change func(*Counts)) {
	t := r.tracked(service)
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.table.pair(route)
	p.events++
	switch version {
	case t.subject.From:
		change(&p.old)
	case t.subject.To:
		change(&p.latest)
	}
}

func (t *trackedService) check() (Fault, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tripped != nil {
		return Fault{}, false
	}
	t.guard.Observe(t.subject.Epoch, t.table)
	v := t.guard.Verdict(nil, 0)
	if v.Outcome() != Bad {
		return Fault{}, false
	}
	f := v.Fault()
	f.Entry = true
	t.tripped = &f
	return f, true
}

func (t *trackedService) digest() MoveDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	return MoveDigest{
		Service: t.subject.Service,
		Move:    t.subject.Move,
		Epoch:   t.subject.Epoch,
		Tripped: t.tripped,
		Routes:  newRouteDigests(t.table),
	}
}
