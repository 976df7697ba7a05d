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

// CoreConfig holds the durations and fractions that Core uses.
type CoreConfig struct {
	Mover  mover.Config
	Loader loader.Config
	// OnDemandFraction is the fraction of the configured size that is bought on demand if spare
	// instances do not cover the loss of a domain.
	OnDemandFraction float64
	// StartTimeout is how long a started instance may stay unlisted before its intent is
	// closed.
	StartTimeout time.Duration
	// MinDrainTime and MaxDrainTime bound the time between the leaving mark of an instance
	// and its release.
	MinDrainTime, MaxDrainTime time.Duration
}

// orderInterval is the time after which an order without effect is repeated.
const orderInterval = 10 * time.Second

// DefaultCoreConfig returns the values used in production.
func DefaultCoreConfig() CoreConfig {
	return CoreConfig{
		Mover: mover.DefaultConfig(), Loader: loader.DefaultConfig(), OnDemandFraction: 0.25,
		StartTimeout: 5 * time.Minute, MinDrainTime: 5 * time.Second, MaxDrainTime: 5 * time.Minute,
	}
}

// Core makes the decisions. What it keeps between rounds affects only their timing; everything
// that must survive is in the replicated state. It is not safe for concurrent use.
type Core struct {
	config            CoreConfig
	newID             func() string
	term              uint64
	movers            map[uint64]*mover.Mover
	backoff           *scaler.Backoff
	queue             *loader.Queue
	started           map[string]string // by intent: the instance that was started for it
	lastVersion       map[string]string // by service: the version that it last served
	orderedAt         map[string]time.Time
	startsPausedUntil time.Time // the provider accepts no starts until then
}

// NewCore returns a core; newID generates the IDs of intents.
func NewCore(config CoreConfig, newID func() string) *Core {
	c := &Core{config: config, newID: newID, lastVersion: make(map[string]string)}
	c.reset(0)
	return c
}

// reset discards the state of an earlier term.
func (c *Core) reset(term uint64) {
	c.term = term
	c.movers = make(map[uint64]*mover.Mover)
	c.backoff = scaler.NewBackoff()
	c.queue = loader.NewQueue(c.config.Loader)
	c.started = make(map[string]string)
	c.orderedAt = make(map[string]time.Time)
}

// Decide returns the actions to take now.
func (c *Core) Decide(s Snapshot) []Action {
	if s.Term != c.term {
		c.reset(s.Term)
	}
	if s.Rules == nil {
		return nil
	}
	all, open := fleets(s)
	states, actions := c.advanceMoves(s, all)
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
		more, moreNeeds := c.planCapacity(s, f, size, states[service.Name()], service.Fence())
		actions = append(actions, more...)
		needs = append(needs, moreNeeds...)
	}
	actions = append(actions, c.advanceIntents(s, open)...)
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

// advanceMoves returns the current states of the moves by service, and the writes that advance
// them.
func (c *Core) advanceMoves(s Snapshot, all map[string]*fleet) (map[string]*mover.State, []Action) {
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
	requested := make(map[string]uint64)
	for _, rule := range s.Rules.Moves() {
		id := mover.ID(rule.Service(), rule.From(), rule.To(), rule.Deadline())
		requested[rule.Service()] = id
		state := states[rule.Service()]
		f := all[rule.Service()]
		if f == nil || (state != nil && (state.ID() == id || !state.Final())) {
			continue
		}
		write(rule.Service(), c.startMove(s, rule, f, state))
	}
	for service, state := range states {
		if next := c.advanceMove(s, *state, requested[service], all[service]); state.Changed(next) {
			write(service, next)
		}
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.Move.State.Service, b.Move.State.Service) })
	return states, actions
}

// startMove returns the state of a new move, which replaces the previous one if there is one.
func (c *Core) startMove(s Snapshot, rule parser.Move, f *fleet, previous *mover.State) mover.State {
	next := mover.Begin(c.config.Mover, mover.Request{
		Service: rule.Service(), From: rule.From(), To: rule.To(), Deadline: rule.Deadline(), Share: rule.Share() / 100,
		Routes: routesOf(s.Rules, rule.Service()), Size: max(len(f.of(rule.From())), 1),
	}, s.Now, s.Term)
	isRejected := false
	if previous != nil {
		next = next.Replace(*previous, s.Now)
		isRejected = previous.IsRejected(rule.To()) || previous.To == rule.To() && previous.Effective(s.Now).Phase == mover.RolledBack
	}
	if !isRejected && len(f.of(rule.From())) == 0 && len(f.of(rule.To())) > 0 {
		return next.Complete(s.Now) // the service runs that version already
	}
	return next
}

func (c *Core) advanceMove(s Snapshot, state mover.State, requested uint64, f *fleet) mover.State {
	if state.Final() {
		delete(c.movers, state.ID())
		return state
	}
	m := c.movers[state.ID()]
	if m == nil {
		m = mover.New(c.config.Mover, state, routesOf(s.Rules, state.Service), s.Term)
		c.movers[state.ID()] = m
	}
	for _, d := range s.Digests {
		// A malformed digest is skipped; the entry's next one replaces it.
		_ = m.Merge(d)
	}
	ready := 0
	if f != nil {
		ready = len(f.of(state.To))
	}
	return m.Next(state, mover.Observation{Now: s.Now, Withdrawn: requested != state.ID(), Ready: ready})
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

// target is the number of instances that one version needs.
type target struct {
	version string
	need    scaler.Need
}

// targets returns the needs of a service's versions, first that of the version that must keep
// the full size. Other versions need no instances.
func (c *Core) targets(s Snapshot, f *fleet, size parser.Size, state *mover.State) []target {
	full := scaler.Need{Min: size.Min(), Max: size.Max(), Spare: size.Spare(), MaxPrice: size.MaxPrice()}
	if !size.Spare() {
		full.OnDemandFraction = c.config.OnDemandFraction
	}
	if state == nil {
		return []target{{version: c.currentVersion(s, f), need: full}}
	}
	effective := state.Effective(s.Now)
	if effective.Phase == mover.Done {
		return []target{{version: effective.To, need: full}}
	}
	targets := []target{{version: effective.From, need: full}}
	if count := effective.RequiredInstances(s.Now); count > 0 {
		targets = append(targets, target{
			version: effective.To,
			need:    scaler.Need{Min: count, Max: count, MaxPrice: size.MaxPrice()},
		})
	}
	return targets
}

// currentVersion returns the version of a service that never moved: the one that most of its
// instances serve, or served before all of them were lost.
func (c *Core) currentVersion(s Snapshot, f *fleet) string {
	if v := f.commonVersion(); v != "" {
		c.lastVersion[f.service] = v
		return v
	}
	if v := c.lastVersion[f.service]; v != "" {
		return v
	}
	var newest Intent
	for _, i := range s.Intents {
		var body Intent
		err := msgpack.Unmarshal(i.Body, &body)
		if err == nil && body.Service == f.service && body.CreatedAt.After(newest.CreatedAt) {
			newest = body
		}
	}
	return newest.Version
}

// planCapacity returns the starts, drains and orders for one service and the weights it needs
// to have loaded.
func (c *Core) planCapacity(s Snapshot, f *fleet, size parser.Size, state *mover.State, fence bool) ([]Action, []loader.Need) {
	var actions []Action
	var needs []loader.Need
	offers := c.backoff.Allowed(f.usedClasses(s.Offers), s.Now)
	targets := c.targets(s, f, size, state)
	settled := true
	surplus := make(map[string]bool) // instances that no version needs
	for _, e := range f.live {
		if !slices.ContainsFunc(targets, func(t target) bool { return t.version == e.Version() }) {
			surplus[e.ID()] = true
		}
	}
	for _, t := range targets {
		if t.version == "" {
			return nil, nil
		}
		plan := scaler.Decide(t.need, offers, f.instances(t.version))
		for _, offer := range plan.Starts() {
			actions = append(actions, Action{Put: c.newStart(s, f.service, t.version, offer)})
		}
		for _, id := range plan.Drains() {
			surplus[id] = true
		}
		settled = settled && len(plan.Starts()) == 0 && !f.hasStarting(t.version)
		missing := t.need.Min - len(f.of(t.version)) - f.startingCount(t.version) - len(plan.Starts())
		more, moreNeeds := c.convert(s.Now, f, t.version, missing, surplus, state, fence)
		actions = append(actions, more...)
		needs = append(needs, moreNeeds...)
	}
	if !settled {
		return actions, needs
	}
	for _, e := range f.live {
		if surplus[e.ID()] {
			actions = append(actions, Action{Put: c.newDrain(s, e)})
		}
	}
	return actions, needs
}

// convert reassigns surplus instances of other versions to a version for which the provider
// cannot start enough instances: their weights are loaded, then the instances are ordered to
// serve the version.
func (c *Core) convert(now time.Time, f *fleet, version string, missing int, surplus map[string]bool, state *mover.State, fence bool) ([]Action, []loader.Need) {
	var actions []Action
	var needs []loader.Need
	for _, e := range f.live {
		if missing <= 0 {
			break
		}
		if e.Version() == version || !surplus[e.ID()] {
			continue
		}
		missing--
		delete(surplus, e.ID())
		need := loader.Need{Load: loader.NewLoad(f.service, version, e.ID()), Missing: missing + 1}
		if state != nil && !state.Final() {
			need.Deadline = state.Deadline
		}
		needs = append(needs, need)
		if c.queue.IsRunning(need.Load) && now.Sub(c.orderedAt[e.ID()]) >= orderInterval {
			c.orderedAt[e.ID()] = now
			actions = append(actions, Action{Order: &Order{Endpoint: e, Version: version, Fence: fence}})
		}
	}
	return actions, needs
}

func (c *Core) newStart(s Snapshot, service, version string, o scaler.Offer) *IntentWrite {
	return &IntentWrite{ID: c.newID(), Body: Intent{
		Job: JobStart, Service: service, Version: version, Class: o.Class(), Domain: o.Domain(),
		Market: o.Market(), Price: o.Price(), CreatedAt: s.Now,
	}}
}

func (c *Core) newDrain(s Snapshot, e lister.Endpoint) *IntentWrite {
	return &IntentWrite{ID: "drain " + e.ID(), Body: Intent{
		Job: JobDrain, Service: e.Service(), Version: e.Version(), Instance: e.ID(), CreatedAt: s.Now,
	}}
}

// usedClasses returns the offers of the classes that the service runs on, or all offers if it
// has no instances. The size counts instances, so an instance of a cheaper, less powerful
// class would count as much as the others.
func (f *fleet) usedClasses(offers []scaler.Offer) []scaler.Offer {
	used := make(map[string]bool)
	for _, e := range f.live {
		used[e.Class()] = true
	}
	matching := slices.DeleteFunc(slices.Clone(offers), func(o scaler.Offer) bool { return !used[o.Class()] })
	if len(matching) == 0 {
		return offers
	}
	return matching
}

// instances returns the instances of a version for the scaler, including those that an open
// intent is starting.
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

func (f *fleet) hasStarting(version string) bool { return f.startingCount(version) > 0 }
