package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/process/scaler"
	"hyssoprudder/internal/version/loader"
	"hyssoprudder/internal/version/mover"
)

// Pace holds the times and parts of the core.
type Pace struct {
	Mover  mover.Config
	Loader loader.Config
	// OnDemand is the part of the stated size that is bought on demand if the
	// loss of a domain is not covered by spare instances.
	OnDemand float64
	// StartTimeout is when a started instance that was never listed is given up.
	StartTimeout time.Duration
	// DrainLeast and DrainMost bound the time between the leaving mark of an
	// instance and its release.
	DrainLeast, DrainMost time.Duration
}

// orderInterval is the time after which an order that shows no effect is
// repeated.
const orderInterval = 10 * time.Second

// DefaultPace returns the pace that the product uses.
func DefaultPace() Pace {
	return Pace{
		Mover: mover.DefaultConfig(), Loader: loader.DefaultConfig(), OnDemand: 0.25,
		StartTimeout: 5 * time.Minute, DrainLeast: 5 * time.Second, DrainMost: 5 * time.Minute,
	}
}

// Core decides. What it remembers between rounds only paces it; all that must
// survive is in the replicated state. It is not safe for concurrent use.
type Core struct {
	pace    Pace
	newID   func() string
	term    uint64
	movers  map[uint64]*mover.Mover
	backoff *scaler.Backoff
	queue   *loader.Queue
	made    map[string]string // intent to the instance that it has started
	usual   map[string]string // service to the version that it was last seen to serve
	ordered map[string]time.Time
	paused  time.Time // the platform takes no starts until then
}

// NewCore returns a core; newID makes the ids of intents.
func NewCore(pace Pace, newID func() string) *Core {
	c := &Core{pace: pace, newID: newID, usual: make(map[string]string)}
	c.forget(0)
	return c
}

// forget drops what belongs to an earlier term.
func (c *Core) forget(term uint64) {
	c.term = term
	c.movers = make(map[uint64]*mover.Mover)
	c.backoff = scaler.NewBackoff()
	c.queue = loader.NewQueue(c.pace.Loader)
	c.made = make(map[string]string)
	c.ordered = make(map[string]time.Time)
}

// Decide returns what is to be done now.
func (c *Core) Decide(s Snapshot) []Action {
	if s.Term != c.term {
		c.forget(s.Term)
	}
	if s.Rules == nil {
		return nil
	}
	all, open := fleets(s)
	states, actions := c.moves(s, all)
	if !s.Managed {
		return actions
	}
	var needs []loader.Need
	for _, service := range s.Rules.Services() {
		f := all[service.Name()]
		if f == nil {
			f = &fleet{service: service.Name()}
		}
		size, ok := sizeOf(s.Rules, service.Name())
		if !ok {
			continue
		}
		more, wanted := c.capacity(s, f, size, states[service.Name()], service.Fence())
		actions = append(actions, more...)
		needs = append(needs, wanted...)
	}
	actions = append(actions, c.intents(s, open)...)
	c.queue.Reconcile(needs, s.Now)
	if load, ok := c.queue.Next(s.Now); ok {
		actions = append(actions, Action{Load: &load})
	}
	return actions
}

func sizeOf(rules *parser.Rules, service string) (parser.Size, bool) {
	for _, size := range rules.Sizes() {
		if size.Service() == service {
			return size, true
		}
	}
	return parser.Size{}, false
}

// moves returns the present states of the moves, by service, and the writes
// that bring them forward.
func (c *Core) moves(s Snapshot, all map[string]*fleet) (map[string]*mover.State, []Action) {
	states := make(map[string]*mover.State)
	numbers := make(map[string]uint64)
	for _, m := range s.Moves {
		numbers[m.Service] = m.Number
		if state, err := mover.Decode(m.Body); err == nil {
			states[m.Service] = &state
		}
	}
	var actions []Action
	write := func(service string, next mover.State) {
		actions = append(actions, Action{Move: &MoveWrite{Base: numbers[service], State: next}})
	}
	asked := make(map[string]uint64)
	for _, rule := range s.Rules.Moves() {
		id := mover.ID(rule.Service(), rule.From(), rule.To(), rule.By())
		asked[rule.Service()] = id
		state := states[rule.Service()]
		f := all[rule.Service()]
		if f == nil || (state != nil && (state.ID() == id || !state.Final())) {
			continue
		}
		next := c.begin(s, rule, f)
		write(rule.Service(), next)
	}
	for service, state := range states {
		if next := c.advance(s, *state, asked[service], all[service]); state.Changed(next) {
			write(service, next)
		}
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.Move.State.Service, b.Move.State.Service) })
	return states, actions
}

func (c *Core) begin(s Snapshot, rule parser.Move, f *fleet) mover.State {
	return mover.Begin(c.pace.Mover, mover.Request{
		Service: rule.Service(), From: rule.From(), To: rule.To(), Deadline: rule.By(), Share: rule.Share() / 100,
		Routes: routesOf(s.Rules, rule.Service()), Size: max(len(f.of(rule.From())), 1),
	}, s.Now, s.Term)
}

func (c *Core) advance(s Snapshot, state mover.State, asked uint64, f *fleet) mover.State {
	if state.Final() {
		delete(c.movers, state.ID())
		return state
	}
	m := c.movers[state.ID()]
	if m == nil {
		m = mover.New(c.pace.Mover, state, routesOf(s.Rules, state.Service), s.Term)
		c.movers[state.ID()] = m
	}
	for _, d := range s.Digests {
		// A malformed digest is left out; the next one of that entry replaces it.
		_ = m.Merge(d)
	}
	ready := 0
	if f != nil {
		ready = len(f.of(state.To))
	}
	return m.Next(state, mover.Observation{Now: s.Now, Withdrawn: asked != state.ID(), Ready: ready})
}

func routesOf(rules *parser.Rules, service string) []mover.Route {
	var routes []mover.Route
	for _, r := range rules.Routes() {
		if r.Service() == service {
			routes = append(routes, mover.NewRoute(r.Name(), r.Once()))
		}
	}
	return routes
}

// target is how many instances of one version are needed.
type target struct {
	version string
	need    scaler.Need
}

// targets returns the needs of a service's versions, the one that must stay
// whole first. Other versions need none.
func (c *Core) targets(s Snapshot, f *fleet, size parser.Size, state *mover.State) []target {
	whole := scaler.Need{Min: size.Min(), Max: size.Max(), Spare: size.Spare(), Price: size.Price()}
	if !size.Spare() {
		whole.OnDemand = c.pace.OnDemand
	}
	if state == nil {
		return []target{{version: c.versionOf(s, f), need: whole}}
	}
	effective := state.Effective(s.Now)
	if effective.Phase == mover.Done {
		return []target{{version: effective.To, need: whole}}
	}
	targets := []target{{version: effective.From, need: whole}}
	if wanted := effective.RequiredInstances(s.Now); wanted > 0 {
		targets = append(targets, target{
			version: effective.To,
			need:    scaler.Need{Min: wanted, Max: wanted, Price: size.Price()},
		})
	}
	return targets
}

// versionOf returns the version of a service that never moved: what most of its
// instances serve, or what was served before all of them were lost.
func (c *Core) versionOf(s Snapshot, f *fleet) string {
	if v := f.usual(); v != "" {
		c.usual[f.service] = v
		return v
	}
	if v := c.usual[f.service]; v != "" {
		return v
	}
	var newest Intent
	for _, i := range s.Intents {
		var body Intent
		err := msgpack.Unmarshal(i.Body, &body)
		if err == nil && body.Service == f.service && body.Made.After(newest.Made) {
			newest = body
		}
	}
	return newest.Version
}

// capacity returns the starts, drains and orders of one service and the
// weights that it waits for.
func (c *Core) capacity(s Snapshot, f *fleet, size parser.Size, state *mover.State, fence bool) ([]Action, []loader.Need) {
	var actions []Action
	var needs []loader.Need
	offers := c.backoff.Allowed(f.usualClasses(s.Offers), s.Now)
	targets := c.targets(s, f, size, state)
	settled := true
	spare := make(map[string]bool) // instances that no version needs
	for _, e := range f.live {
		if !slices.ContainsFunc(targets, func(t target) bool { return t.version == e.Version() }) {
			spare[e.ID()] = true
		}
	}
	for _, t := range targets {
		if t.version == "" {
			return nil, nil
		}
		plan := scaler.Decide(t.need, offers, f.instances(t.version))
		for _, offer := range plan.Starts() {
			actions = append(actions, Action{Put: c.startOf(s, f.service, t.version, offer)})
		}
		for _, id := range plan.Drains() {
			spare[id] = true
		}
		settled = settled && len(plan.Starts()) == 0 && !f.isStarting(t.version)
		missing := t.need.Min - len(f.of(t.version)) - f.startingCount(t.version) - len(plan.Starts())
		more, wanted := c.convert(s.Now, f, t.version, missing, spare, state, fence)
		actions = append(actions, more...)
		needs = append(needs, wanted...)
	}
	if !settled {
		return actions, needs
	}
	for _, e := range f.live {
		if spare[e.ID()] {
			actions = append(actions, Action{Put: c.drainOf(s, e)})
		}
	}
	return actions, needs
}

// convert takes spare instances of other versions for a version that the
// platform cannot start enough of: their weights are loaded, then they are
// ordered to serve it.
func (c *Core) convert(now time.Time, f *fleet, version string, missing int, spare map[string]bool, state *mover.State, fence bool) ([]Action, []loader.Need) {
	var actions []Action
	var needs []loader.Need
	for _, e := range f.live {
		if missing <= 0 {
			break
		}
		if e.Version() == version || !spare[e.ID()] {
			continue
		}
		missing--
		delete(spare, e.ID())
		need := loader.Need{Load: loader.NewLoad(f.service, version, e.ID()), Missing: missing + 1}
		if state != nil && !state.Final() {
			need.Deadline = state.Deadline
		}
		needs = append(needs, need)
		if c.queue.IsRunning(need.Load) && now.Sub(c.ordered[e.ID()]) >= orderInterval {
			c.ordered[e.ID()] = now
			actions = append(actions, Action{Order: &Order{Endpoint: e, Version: version, Fence: fence}})
		}
	}
	return actions, needs
}

func (c *Core) startOf(s Snapshot, service, version string, o scaler.Offer) *IntentWrite {
	return &IntentWrite{ID: c.newID(), Body: Intent{
		Job: JobStart, Service: service, Version: version, Class: o.Class(), Domain: o.Domain(),
		Market: o.Market(), Price: o.Price(), Made: s.Now,
	}}
}

func (c *Core) drainOf(s Snapshot, e lister.Endpoint) *IntentWrite {
	return &IntentWrite{ID: "drain " + e.ID(), Body: Intent{
		Job: JobDrain, Service: e.Service(), Version: e.Version(), Instance: e.ID(), Made: s.Now,
	}}
}

// usualClasses returns the offers of the classes that the service runs on, or
// all of them if it runs on none: the size counts instances, so a cheaper class
// with less power would count as much.
func (f *fleet) usualClasses(offers []scaler.Offer) []scaler.Offer {
	used := make(map[string]bool)
	for _, e := range f.live {
		used[e.Class()] = true
	}
	usual := slices.DeleteFunc(slices.Clone(offers), func(o scaler.Offer) bool { return !used[o.Class()] })
	if len(usual) == 0 {
		return offers
	}
	return usual
}

// instances returns the instances of a version for the scaler, with those that
// an open intent is starting.
func (f *fleet) instances(version string) []scaler.Instance {
	var have []scaler.Instance
	for _, e := range f.of(version) {
		have = append(have, scaler.NewInstance(e.ID(), scaler.NewOffer(e.Class(), e.Domain(), e.Market(), e.Price()), false))
	}
	for _, i := range f.starting {
		if i.Body.Version == version {
			have = append(have, scaler.NewInstance("intent "+i.ID, i.Body.offer(), true))
		}
	}
	return have
}

func (f *fleet) startingCount(version string) int {
	count := 0
	for _, i := range f.starting {
		if i.Body.Version == version {
			count++
		}
	}
	return count
}

func (f *fleet) isStarting(version string) bool { return f.startingCount(version) > 0 }
