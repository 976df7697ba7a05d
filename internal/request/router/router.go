// Package router chooses an endpoint for each call. A decision depends only on the
// time of the event, the state in the observer, and the prefix index; the package
// performs no I/O.
package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/observer"
)

// Target is the latency target of one service; 0 means none.
type Target struct {
	First time.Duration // to the first byte
	Next  time.Duration // between two tokens
}

// Call describes the call for which an endpoint is chosen.
type Call struct {
	Service     string
	Route       string
	Prefixes    []uint64 // of the prompt, see Prefixes
	Words       int      // of the prompt
	Decode      int      // expected tokens; 0 for a plain service
	Exclude     []string // IDs of endpoints that were tried
	AvoidDomain string   // failure domain to avoid if another one is available
}

// Choice is the chosen endpoint with the predictions for the call.
type Choice struct {
	endpoint lister.Endpoint
	first    time.Duration
	next     time.Duration
	cached   int
	known    bool
	work     observer.Work
}

// Endpoint returns the chosen endpoint.
func (c Choice) Endpoint() lister.Endpoint { return c.endpoint }

// First returns the predicted time to the first byte.
func (c Choice) First() time.Duration { return c.first }

// Next returns the predicted time between two tokens.
func (c Choice) Next() time.Duration { return c.next }

// Cached returns how many words of the prompt are expected to be in the endpoint's
// prefix cache.
func (c Choice) Cached() int { return c.cached }

// Known reports whether the predictions are based on measurements and not only on
// defaults.
func (c Choice) Known() bool { return c.known }

// Work returns the work to record with the observer.
func (c Choice) Work() observer.Work { return c.work }

// Duration returns the predicted duration of the whole call.
func (c Choice) Duration() time.Duration {
	return c.first + time.Duration(max(c.work.Decode-1, 0))*c.next
}

// Router chooses endpoints. It is safe for concurrent use. The function fields must
// not be changed after the first call.
type Router struct {
	// VersionWeight returns the relative weight of a version among the calls of a
	// route. A version with weight 0 gets no calls. If VersionWeight is nil, versions
	// are not distinguished.
	VersionWeight func(service, route, version string) float64
	// Distance returns the cost of calling a failure domain, as a duration.
	Distance func(domain string) time.Duration
	// Random returns a number in [0, 1).
	Random func() float64

	policy     Policy
	observer   *observer.Observer
	index      *index
	popularity *sketch
	table      atomic.Pointer[table]
	views      sync.Pool
}

// RemoteCost is the cost of endpoints in another failure domain that New sets.
const RemoteCost = 10 * time.Millisecond

// New returns a router without endpoints for an entry in the given failure domain.
func New(o *observer.Observer, domain string, policy Policy) *Router {
	r := &Router{
		Distance: func(other string) time.Duration {
			if other == domain {
				return 0
			}
			return RemoteCost
		},
		Random:     rand.Float64,
		policy:     policy,
		observer:   o,
		index:      newIndex(),
		popularity: &sketch{},
	}
	r.views.New = func() any { return &view{} }
	r.table.Store(&table{})
	return r
}

type table struct {
	groups map[string]*group
}

// group is the set of endpoints of one service, in the order of the observer's
// shards.
type group struct {
	endpoints    []lister.Endpoint
	handles      []observer.Handle
	slots        map[uint32]int // from the slot in the prefix index to the position in endpoints
	seeds        []uint64
	remoteCosts  []float64 // cost in seconds
	versions     []string
	versionIndex []int // index in versions, by endpoint
	all          []int
	target       Target
	state        *groupState
}

// groupState is the state of a group that is kept when the endpoints are updated.
type groupState struct {
	turn     atomic.Uint64
	arrivals counter

	mu     sync.Mutex
	room   Room
	roomAt time.Time
}

// Update replaces the endpoints and targets. The observer keeps its state of the
// endpoints.
func (r *Router) Update(endpoints []lister.Endpoint, targets map[string]Target) {
	next := &table{groups: make(map[string]*group)}
	last := r.table.Load()
	type row struct {
		endpoint lister.Endpoint
		handle   observer.Handle
	}
	rows := make([]row, 0, len(endpoints))
	for _, e := range endpoints {
		rows = append(rows, row{endpoint: e, handle: r.observer.Handle(e.ID())})
	}
	slices.SortStableFunc(rows, func(a, b row) int { return a.handle.Shard() - b.handle.Shard() })
	for _, row := range rows {
		e := row.endpoint
		g, ok := next.groups[e.Service()]
		if !ok {
			g = &group{target: targets[e.Service()], slots: make(map[uint32]int), state: &groupState{}}
			if old, had := last.groups[e.Service()]; had {
				g.state = old.state
			}
			next.groups[e.Service()] = g
		}
		g.add(e, row.handle, r.index.slot(e.ID()), r.Distance(e.Domain()))
	}
	r.table.Store(next)
}

func (g *group) add(e lister.Endpoint, h observer.Handle, slot uint32, remoteCost time.Duration) {
	g.all = append(g.all, len(g.all))
	g.endpoints = append(g.endpoints, e)
	g.handles = append(g.handles, h)
	g.slots[slot] = len(g.endpoints) - 1
	g.seeds = append(g.seeds, xxhash.Sum64String(e.ID()))
	g.remoteCosts = append(g.remoteCosts, remoteCost.Seconds())
	v := slices.Index(g.versions, e.Version())
	if v < 0 {
		v = len(g.versions)
		g.versions = append(g.versions, e.Version())
	}
	g.versionIndex = append(g.versionIndex, v)
}

// Choose returns the endpoint for a call, or false if no endpoint may get it.
func (r *Router) Choose(now time.Time, call Call) (Choice, bool) { return r.choose(now, call, true) }

// Estimate returns the choice that a call would get now, without counting the call.
func (r *Router) Estimate(now time.Time, call Call) (Choice, bool) { return r.choose(now, call, false) }

func (r *Router) choose(now time.Time, call Call, counted bool) (Choice, bool) {
	g, ok := r.table.Load().groups[call.Service]
	if !ok {
		return Choice{}, false
	}
	v := r.views.Get().(*view)
	defer r.views.Put(v)
	v.reset(r, now, g, call)
	v.isCounted = counted
	r.index.match(v, call.Prefixes)
	v.selectKey()
	v.sample()
	if !v.collect() && !v.collectAll() {
		return Choice{}, false
	}
	v.dropAvoided()
	picked := v.options[r.policy.pick(v)]
	cached := v.cached[picked.index]
	return Choice{
		endpoint: g.endpoints[picked.index],
		first:    picked.first,
		next:     picked.next,
		cached:   cached,
		known:    picked.known,
		work:     observer.Work{Prompt: max(call.Words-cached, 0), Decode: call.Decode},
	}, true
}

// RecordPrefixes records that an endpoint has processed a prompt and therefore has
// cached its prefixes.
func (r *Router) RecordPrefixes(endpoint string, prefixes []uint64) {
	r.index.record(endpoint, prefixes)
}

// ApplyEvents applies cache events of an endpoint. They may be late, repeated or have
// gaps.
func (r *Router) ApplyEvents(endpoint string, events []Event) { r.index.apply(endpoint, events) }
