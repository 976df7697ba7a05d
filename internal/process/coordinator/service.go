package coordinator

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/divider"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/process/registrar"
)

// Config sets up a Coordinator.
type Config struct {
	Clock clock.Clock
	Log   *log.Logger
	// Lease returns the lease of the log, if this node holds it and has executed
	// all that is committed.
	Lease func() (keeper.Lease, bool)
	// Leader returns the leader as far as it is known, and Keepers all keepers.
	Leader  func() (netip.AddrPort, bool)
	Keepers func() []netip.AddrPort
	// Ruleset returns the newest committed ruleset.
	Ruleset func() applier.Ruleset
	// Moves returns the recorded moves of services.
	Moves func() []applier.Move
	// Limits returns the limits of a ruleset's customers.
	Limits func(r *registrar.Ruleset) map[string]divider.Limit
	// Share is how long an allowance lasts.
	Share time.Duration
	// Window is the length of the windows of usage.
	Window time.Duration
}

// Coordinator answers the reports of all nodes while this one leads. It is safe
// for concurrent use.
type Coordinator struct {
	config Config

	mu     sync.Mutex
	core   *Core
	number uint64 // of the ruleset whose limits the core has
}

// New returns a coordinator.
func New(c Config) *Coordinator { return &Coordinator{config: c} }

// Service is what other nodes call.
type Service struct {
	Coordinator *Coordinator
}

// Beat answers a report.
func (s *Service) Beat(args *Report, reply *Directive) error {
	*reply = s.Coordinator.Beat(args)
	return nil
}

// Beat answers a report. Whatever was accepted before the report was sent is
// covered by an answer with Leads set.
func (c *Coordinator) Beat(r *Report) Directive {
	ruleset := c.config.Ruleset()
	lease, ok := c.config.Lease()
	if !ok {
		leader, _ := c.config.Leader()
		return Directive{Leader: leader, Keepers: c.config.Keepers()}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	c.enter(lease, now)
	c.limit(ruleset, now)
	d := c.core.Beat(r, now)
	d.Leader, _ = c.config.Leader()
	d.Keepers = c.config.Keepers()
	d.Number = ruleset.Number
	moves := c.config.Moves()
	if d.MovesID = identify(moves); d.MovesID != r.Moves {
		for _, m := range moves {
			d.Moves = append(d.Moves, m.Body)
		}
	}
	if ruleset.Number > r.Ruleset {
		d.Ruleset = ruleset.Body
	}
	return d
}

// identify returns a number that differs for other states of the moves, 0 for none.
func identify(moves []applier.Move) uint64 {
	if len(moves) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, m := range moves {
		_, _ = h.Write(m.Body)
	}
	return h.Sum64()
}

// enter begins a new core with each term.
func (c *Coordinator) enter(lease keeper.Lease, now time.Time) {
	if c.core == nil || c.core.Term() != lease.Term() {
		c.core = NewCore(lease.Term(), now, c.config.Share, c.config.Window)
		c.number = 0
		c.config.Log.Info("coordination taken over; waiting for the nodes' reports", "term", lease.Term())
	}
}

// limit gives the core the limits of a ruleset.
func (c *Coordinator) limit(r applier.Ruleset, now time.Time) {
	if r.Number == c.number {
		return
	}
	c.number = r.Number
	var decoded registrar.Ruleset
	if err := msgpack.Unmarshal(r.Body, &decoded); err != nil {
		c.config.Log.Error("committed ruleset can't be decoded; limits stay as they were", "number", r.Number, "err", err)
		return
	}
	c.core.SetLimits(c.config.Limits(&decoded), now)
}

// Do runs f with the state of the term, if this node leads. f must not block.
func (c *Coordinator) Do(f func(core *Core, lease keeper.Lease, now time.Time)) bool {
	lease, ok := c.config.Lease()
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	c.enter(lease, now)
	f(c.core, lease, now)
	return true
}
