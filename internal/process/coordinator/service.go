package coordinator

import (
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/attributor"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/divider"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/process/warmer"
)

// Config configures a Coordinator.
type Config struct {
	Clock clock.Clock
	Log   *log.Logger
	// Lease returns the lease of the log, if this node holds it and has applied all committed
	// entries.
	Lease func() (keeper.Lease, bool)
	// Leader returns the leader if it is known, and Keepers returns all keepers.
	Leader  func() (netip.AddrPort, bool)
	Keepers func() []netip.AddrPort
	// Ruleset returns the newest committed ruleset.
	Ruleset func() applier.Ruleset
	// Moves returns the recorded moves of services.
	Moves func() []applier.Move
	// Limits returns the limits of a ruleset's customers.
	Limits func(r *registrar.Ruleset) map[string]divider.Limit
	// AllowanceLifetime is how long an allowance is valid.
	AllowanceLifetime time.Duration
	// Window is the length of a usage window.
	Window time.Duration
	// Evacuations returns the recorded evacuations of failure domains; nil if there are none.
	// EvacuationBound is the time after an order within which entries send no more calls there.
	Evacuations     func() []applier.Evacuation
	EvacuationBound time.Duration
	// Relayed is the number of entries from which on they report to relays; 0 for the default.
	Relayed int
	// WarmupBound returns how many calls a second a cold endpoint may get that tolerates the given
	// rate, and ListLag is by how much the provider's list may lag.
	WarmupBound func(rate float64) float64
	ListLag     time.Duration
}

// Coordinator answers the reports of all nodes while this node is the leader. It is safe for
// concurrent use.
type Coordinator struct {
	config Config

	mu            sync.Mutex
	core          *Core
	rulesetNumber uint64 // of the ruleset whose limits the core uses
}

// New returns a coordinator.
func New(c Config) *Coordinator { return &Coordinator{config: c} }

// Service holds the RPC methods that other nodes call.
type Service struct {
	Coordinator *Coordinator
	Relay       *Relay
}

// Beat answers a report: as the leader if this node leads, otherwise as a relay.
func (s *Service) Beat(args *Report, reply *Directive) error {
	*reply = s.Coordinator.HandleReport(args)
	if !reply.Leads && args.Group == nil {
		*reply = s.Relay.HandleReport(args)
	}
	return nil
}

// AllowanceService holds the RPC methods for allowances. It is a service of its own, since its
// calls may wait.
type AllowanceService struct {
	Coordinator *Coordinator
	Relay       *Relay
}

// Take grants what waiting calls need: as the leader if this node leads, otherwise as a relay.
func (s *AllowanceService) Take(args *AllowanceRequest, reply *AllowanceReply) error {
	granted, ok := s.Coordinator.Take(args)
	if !ok && !args.IsRelay {
		granted = s.Relay.Take(args)
	}
	*reply = granted
	return nil
}

// Page returns a page of a ruleset.
func (s *Service) Page(args *RulesetRequest, reply *RulesetPage) error {
	*reply = s.Coordinator.RulesetPage(args)
	return nil
}

// HandleReport answers a report. An answer with Leads set confirms everything that was accepted
// before the report was sent.
func (c *Coordinator) HandleReport(r *Report) Directive {
	ruleset := c.config.Ruleset()
	lease, ok := c.config.Lease()
	if !ok {
		leader, _ := c.config.Leader()
		return Directive{Leader: leader, Keepers: c.config.Keepers()}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	c.enterTerm(lease, now)
	c.setLimits(ruleset, now)
	c.setEvacuations(now)
	d := c.core.HandleReport(r, now)
	for _, i := range c.core.TakeIsolated() {
		c.logIsolated(i)
	}
	d.Leader, _ = c.config.Leader()
	d.Keepers = c.config.Keepers()
	d.RulesetNumber = ruleset.Number
	moves := c.config.Moves()
	if d.MovesID = hashMoves(moves); d.MovesID != r.MovesID {
		for _, m := range moves {
			d.Moves = append(d.Moves, m.Body)
		}
	}
	return d
}

// Take grants what waiting calls need, if this node is the leader.
func (c *Coordinator) Take(r *AllowanceRequest) (AllowanceReply, bool) {
	var reply AllowanceReply
	ok := c.Do(func(core *Core, _ keeper.Lease, now time.Time) {
		reply = core.Take(r, now)
	})
	return reply, ok
}

func (c *Coordinator) logIsolated(i attributor.Decision) {
	id := strconv.FormatUint(i.Key.Block, 16)
	evidence := []any{"until", i.Until, "since", i.Since, "suspected", i.SuspectedAt, "crashes", i.Crashes, "interval", i.Reports.Interval, "evidence", i.Reports.EvidenceAt, "informed", i.Reports.InformedAt}
	if i.Key.IsRequest() {
		c.config.Log.Warn("request crashes endpoints; refusing it", append(evidence, "fingerprint", id)...)
		return
	}
	c.config.Log.Warn("prompt block crashes endpoints; refusing its calls", append(evidence, "service", i.Key.Service, "block", id)...)
}

// RulesetPage returns a page of the newest ruleset that this keeper has applied. It needs no lease: a committed
// ruleset never changes.
func (c *Coordinator) RulesetPage(r *RulesetRequest) RulesetPage {
	ruleset := c.config.Ruleset()
	page := RulesetPage{Number: ruleset.Number, Size: len(ruleset.Body)}
	if ruleset.Number < r.Number {
		return page
	}
	if ruleset.Number == r.Number {
		page.Offset = min(max(r.Offset, 0), len(ruleset.Body))
	}
	end := min(page.Offset+max(r.MaxBytes, 0), len(ruleset.Body))
	page.Data = ruleset.Body[page.Offset:end]
	return page
}

// hashMoves returns a hash of the moves' states, or 0 if there are none.
func hashMoves(moves []applier.Move) uint64 {
	if len(moves) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, m := range moves {
		_, _ = h.Write(m.Body)
	}
	return h.Sum64()
}

// enterTerm creates a new core at the start of each term.
func (c *Coordinator) enterTerm(lease keeper.Lease, now time.Time) {
	if c.core == nil || c.core.Term() != lease.Term() {
		c.core = NewCore(lease.Term(), now, c.config.AllowanceLifetime, c.config.Window)
		if c.config.Relayed > 0 {
			c.core.SetRelayed(c.config.Relayed)
		}
		c.rulesetNumber = 0
		c.config.Log.Info("became coordinator; waiting for the nodes' reports", "term", lease.Term())
	}
}

// setLimits passes the limits of a ruleset to the core.
func (c *Coordinator) setLimits(r applier.Ruleset, now time.Time) {
	if r.Number == c.rulesetNumber {
		return
	}
	c.rulesetNumber = r.Number
	decoded, err := registrar.Decode(r.Body)
	if err != nil {
		c.config.Log.Error("failed to decode the committed ruleset; keeping the previous limits", "number", r.Number, "err", err)
		return
	}
	c.core.SetLimits(c.config.Limits(decoded), now)
	c.core.SetWarming(c.warming(decoded), c.config.ListLag, now)
}

// warming returns the services whose endpoints warm up.
func (c *Coordinator) warming(r *registrar.Ruleset) map[string]Warming {
	out := make(map[string]Warming)
	for i := range r.Services {
		if s := &r.Services[i]; s.ColdRate > 0 && c.config.WarmupBound != nil {
			out[s.Name] = Warming{Leases: warmer.Holders(s.ColdRate, c.config.WarmupBound(s.ColdRate))}
		}
	}
	return out
}

// Do runs f with the state of the term if this node is the leader. f must not block.
func (c *Coordinator) Do(f func(core *Core, lease keeper.Lease, now time.Time)) bool {
	var ruleset applier.Ruleset
	if c.config.Ruleset != nil {
		ruleset = c.config.Ruleset()
	}
	lease, ok := c.config.Lease()
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Clock.Now()
	c.enterTerm(lease, now)
	c.setLimits(ruleset, now)
	c.setEvacuations(now)
	f(c.core, lease, now)
	return true
}
