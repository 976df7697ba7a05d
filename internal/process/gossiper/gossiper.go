package gossiper

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"hyssoprudder/internal/connection/messenger"
	"hyssoprudder/internal/process/clock"
)

const (
	tickInterval = 100 * time.Millisecond
	// departRounds is how many rounds of rumours a node that stops waits, so
	// that its departure is known.
	departRounds = 5
)

// Config holds what New makes a gossiper from. The functions may be nil.
type Config struct {
	// Settings describe this node; Start fills in the address.
	Settings Settings
	// Send sends one datagram.
	Send func(to netip.AddrPort, body []byte) error
	// Clock tells the time.
	Clock clock.Clock
	// Log receives changes of members.
	Log *log.Logger
	// Registerer receives the metrics; nil means none.
	Registerer prometheus.Registerer
	// OnMember is told of each change of a member's state, one at a time.
	OnMember func(Member)
	// OnMark is told of each new leaving mark, one at a time.
	OnMark func(Mark)
	// OnRevision is told when a newer revision was heard of.
	OnRevision func(Revision)
	// OnSuperseded is told when a later start of this node was seen: this
	// process must stop.
	OnSuperseded func()
}

// Gossiper runs the membership protocol on a messenger. Its methods are safe
// for concurrent use after Start.
type Gossiper struct {
	config  Config
	clock   clock.Clock
	log     *log.Logger
	changes chan struct{}
	done    chan struct{}
	group   sync.WaitGroup

	mu      sync.Mutex
	core    *Core
	pending []*Output
	started bool
	stopped bool
}

// New returns a gossiper that is not yet started. It fails if a metric is
// registered twice or the configuration is incomplete.
func New(c Config) (*Gossiper, error) {
	if c.Send == nil || c.Clock == nil || c.Log == nil || c.Settings.ID == "" {
		return nil, errors.New("gossiper needs an identity, a sender, a clock and a log")
	}
	g := &Gossiper{
		config: c, clock: c.Clock, log: c.Log,
		changes: make(chan struct{}, 1), done: make(chan struct{}),
		core: NewCore(c.Settings, c.Clock.Now()),
	}
	if c.Registerer != nil {
		if err := c.Registerer.Register(&collector{gossiper: g}); err != nil {
			return nil, fmt.Errorf("register metrics: %w", err)
		}
	}
	return g, nil
}

// Start joins the deployment as the node that listens at address. What was
// said to the gossiper before is lost.
func (g *Gossiper) Start(address netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	settings := g.config.Settings
	settings.Address = address
	if settings.Seed == 0 {
		settings.Seed = uint64(g.clock.Now().UnixNano())
	}
	g.core = NewCore(settings, g.clock.Now())
	g.started = true
	g.group.Add(2)
	go g.run()
	go teller{g}.run()
}

// Stop ends the protocol without a word to the others.
func (g *Gossiper) Stop() {
	g.mu.Lock()
	running := g.started && !g.stopped
	g.stopped = true
	g.mu.Unlock()
	if running {
		close(g.done)
		g.group.Wait()
	}
}

// run drives the state machine by time.
func (g *Gossiper) run() {
	defer g.group.Done()
	for {
		g.mu.Lock()
		out := g.core.Tick(g.clock.Now())
		g.emit(out)
		g.mu.Unlock()
		if !clock.Sleep(g.clock, tickInterval, g.done) {
			return
		}
	}
}

// Receive takes a datagram from the messenger.
func (g *Gossiper) Receive(from messenger.Sender, body []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.started || g.stopped {
		return
	}
	out, err := g.core.Step(from, body, g.clock.Now())
	if err != nil {
		g.log.Warn("gossip refused", "peer", from.ID(), "error", err)
	}
	g.emit(out)
}

// emit sends the messages of a step and queues its changes. The caller holds
// the lock, so that messages leave in order.
func (g *Gossiper) emit(out *Output) {
	for _, e := range out.messages {
		if err := g.config.Send(e.to, e.body); err != nil {
			g.log.Debug("gossip not sent", "peer", e.to, "error", err)
		}
	}
	if len(out.members) == 0 && len(out.marks) == 0 && !out.heard && !out.superseded {
		return
	}
	g.pending = append(g.pending, out)
	select {
	case g.changes <- struct{}{}:
	default:
	}
}

// teller tells the owner of a gossiper of changes, outside the lock.
type teller struct {
	gossiper *Gossiper
}

func (t teller) run() {
	g := t.gossiper
	defer g.group.Done()
	for {
		select {
		case <-g.changes:
		case <-g.done:
			return
		}
		g.mu.Lock()
		pending := g.pending
		g.pending = nil
		g.mu.Unlock()
		for _, out := range pending {
			g.tell(out)
		}
	}
}

func (g *Gossiper) tell(out *Output) {
	for _, m := range out.members {
		g.log.Info("member", "id", m.ID(), "state", m.State(), "incarnation", m.Incarnation(), "address", m.Address())
		if g.config.OnMember != nil {
			g.config.OnMember(m)
		}
	}
	for _, m := range out.marks {
		g.log.Info("endpoint leaving", "endpoint", m.Endpoint(), "incarnation", m.Incarnation())
		if g.config.OnMark != nil {
			g.config.OnMark(m)
		}
	}
	if out.heard && g.config.OnRevision != nil {
		g.config.OnRevision(out.newest)
	}
	if out.superseded {
		g.log.Error("superseded", "id", g.config.Settings.ID)
		if g.config.OnSuperseded != nil {
			g.config.OnSuperseded()
		}
	}
}

// Members returns all members that are remembered, this node among them.
func (g *Gossiper) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Members()
}

// Member returns the member with the identity.
func (g *Gossiper) Member(id string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Member(id)
}

// MarkLeaving says that an endpoint is leaving, up to and including the
// incarnation.
func (g *Gossiper) MarkLeaving(endpoint string, incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.emit(g.core.MarkLeaving(endpoint, incarnation, g.clock.Now()))
}

// IsLeaving reports whether an incarnation of an endpoint is marked.
func (g *Gossiper) IsLeaving(endpoint string, incarnation uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.IsLeaving(endpoint, incarnation)
}

// Marks returns all leaving marks.
func (g *Gossiper) Marks() []Mark {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Marks()
}

// Publish replaces this node's digest of a kind; see Core.Publish.
func (g *Gossiper) Publish(kind uint8, version uint64, body []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Publish(kind, version, body)
}

// Digests returns the latest digests of a kind from the cell's other members.
func (g *Gossiper) Digests(kind uint8) []Digest {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Digests(kind)
}

// SetRunning says which revision this node has in force.
func (g *Gossiper) SetRunning(number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.emit(g.core.SetRunning(number, g.clock.Now()))
}

// Announce spreads that a revision was accepted.
func (g *Gossiper) Announce(r Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.emit(g.core.Announce(r))
}

// Newest returns the newest revision that this node has heard of.
func (g *Gossiper) Newest() Revision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Newest()
}

// SetCandidates replaces the addresses through which the node joins; see
// Core.SetCandidates.
func (g *Gossiper) SetCandidates(addresses []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetCandidates(addresses)
}

// Contact returns how far this node was in touch within the last bound.
func (g *Gossiper) Contact(bound time.Duration) Contact {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Contact(g.clock.Now(), bound)
}

// Leave marks this node as leaving; the protocol goes on.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.emit(g.core.Leave(g.clock.Now()))
}

// Depart says that this node stops, waits until that has been passed on for a
// few rounds or ctx ends, and stops.
func (g *Gossiper) Depart(ctx context.Context) {
	g.mu.Lock()
	g.emit(g.core.Depart(g.clock.Now()))
	rounds := departRounds * g.core.timing.Gossip
	g.mu.Unlock()
	clock.Sleep(g.clock, rounds, ctx.Done())
	g.Stop()
}

// collector counts members by state when metrics are read.
type collector struct {
	gossiper *Gossiper
}

var (
	memberDesc = prometheus.NewDesc("hyssoprudder_gossiper_members",
		"Members that this node remembers, by state.", []string{"state"}, nil)
	markDesc = prometheus.NewDesc("hyssoprudder_gossiper_leaving_marks",
		"Leaving marks of endpoints that this node remembers.", nil, nil)
)

// Describe sends the descriptions of the metrics.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- memberDesc
	ch <- markDesc
}

// Collect sends the present values.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	g := c.gossiper
	g.mu.Lock()
	defer g.mu.Unlock()
	counts := make(map[State]int)
	for _, e := range g.core.members {
		counts[e.record.state()]++
	}
	for s := Alive; s <= Dead; s++ {
		ch <- prometheus.MustNewConstMetric(memberDesc, prometheus.GaugeValue, float64(counts[s]), s.String())
	}
	ch <- prometheus.MustNewConstMetric(markDesc, prometheus.GaugeValue, float64(len(g.core.marks)))
}
