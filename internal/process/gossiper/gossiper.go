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
	// departRounds is how many rounds of gossip a stopping node waits, so that
	// its departure has spread.
	departRounds = 5
)

// Config configures a Gossiper. The functions whose names begin with On may be
// nil.
type Config struct {
	// Settings describes this node; Start fills in the address.
	Settings Settings
	// Send sends one datagram.
	Send func(to netip.AddrPort, body []byte) error
	// Clock tells the time.
	Clock clock.Clock
	// Log receives log messages, such as changes of members.
	Log *log.Logger
	// Registerer receives the metrics; nil means none.
	Registerer prometheus.Registerer
	// OnMember is called for each change of a member's state or incarnation, one
	// call at a time.
	OnMember func(Member)
	// OnMark is called for each new leaving mark, one call at a time.
	OnMark func(Mark)
	// OnRevision is called when a newer revision becomes known.
	OnRevision func(Revision)
	// OnSuperseded is called when a later incarnation of this node was seen;
	// this process must stop.
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
		return nil, errors.New("settings with an identity, a send function, a clock and a log are required")
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

// Start joins the deployment as the node that listens at address. State that
// was set before, such as marks and digests, is discarded.
func (g *Gossiper) Start(address netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	settings := g.config.Settings
	settings.Address = address
	if settings.RandomSeed == 0 {
		settings.RandomSeed = uint64(g.clock.Now().UnixNano())
	}
	g.core = NewCore(settings, g.clock.Now())
	g.started = true
	g.group.Add(2)
	go g.run()
	go notifier{g}.run()
}

// Stop ends the protocol without notifying the other nodes.
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

// run calls Tick on the state machine at intervals.
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

// Receive processes a datagram from the messenger.
func (g *Gossiper) Receive(from messenger.Sender, body []byte) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.started || g.stopped {
		return
	}
	out, err := g.core.Step(from, body, g.clock.Now())
	if err != nil {
		g.log.Warn("gossip message refused", "peer", from.ID(), "error", err)
	}
	g.emit(out)
}

// emit sends the messages of a step and queues its changes for the notifier.
// The caller holds the lock, so that messages are sent in order.
func (g *Gossiper) emit(out *Output) {
	for _, e := range out.messages {
		if err := g.config.Send(e.to, e.body); err != nil {
			g.log.Debug("gossip message not sent", "peer", e.to, "error", err)
		}
	}
	if len(out.members) == 0 && len(out.marks) == 0 && !out.hasNewest && !out.superseded {
		return
	}
	g.pending = append(g.pending, out)
	select {
	case g.changes <- struct{}{}:
	default:
	}
}

// notifier calls the On functions of the configuration, without holding the
// lock.
type notifier struct {
	gossiper *Gossiper
}

func (t notifier) run() {
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
			g.notify(out)
		}
	}
}

func (g *Gossiper) notify(out *Output) {
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
	if out.hasNewest && g.config.OnRevision != nil {
		g.config.OnRevision(out.newest)
	}
	if out.superseded {
		g.log.Error("superseded by a later incarnation of this node", "id", g.config.Settings.ID)
		if g.config.OnSuperseded != nil {
			g.config.OnSuperseded()
		}
	}
}

// Members returns all known members, including this node and members that left
// or died within the retention period.
func (g *Gossiper) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Members()
}

// Member returns the member with the given identity.
func (g *Gossiper) Member(id string) (Member, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Member(id)
}

// MarkLeaving marks an endpoint as leaving, up to and including the
// incarnation.
func (g *Gossiper) MarkLeaving(endpoint string, incarnation uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.emit(g.core.MarkLeaving(endpoint, incarnation, g.clock.Now()))
}

// IsLeaving reports whether an incarnation of an endpoint is marked as leaving.
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

// SetActiveRevision sets the revision that this node has in force.
func (g *Gossiper) SetActiveRevision(number uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.emit(g.core.SetActiveRevision(number, g.clock.Now()))
}

// Announce spreads the number of a newly accepted revision.
func (g *Gossiper) Announce(r Revision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.emit(g.core.Announce(r))
}

// NewestRevision returns the newest revision that this node knows of.
func (g *Gossiper) NewestRevision() Revision {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.NewestRevision()
}

// SetSeeds replaces the seed addresses; see Core.SetSeeds.
func (g *Gossiper) SetSeeds(addresses []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.SetSeeds(addresses)
}

// Contact returns how many peers this node has reached; see Core.Contact.
func (g *Gossiper) Contact(window time.Duration) Contact {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Contact(g.clock.Now(), window)
}

// Leave marks this node as leaving. The protocol continues to run.
func (g *Gossiper) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.emit(g.core.Leave(g.clock.Now()))
}

// Depart announces that this node has left, waits for a few rounds of gossip or
// until ctx ends, and stops.
func (g *Gossiper) Depart(ctx context.Context) {
	g.mu.Lock()
	g.emit(g.core.Depart(g.clock.Now()))
	wait := departRounds * g.core.timing.GossipInterval
	g.mu.Unlock()
	clock.Sleep(g.clock, wait, ctx.Done())
	g.Stop()
}

// collector counts members by state when metrics are collected.
type collector struct {
	gossiper *Gossiper
}

var (
	memberDesc = prometheus.NewDesc("hyssoprudder_gossiper_members",
		"Members that this node remembers, by state.", []string{"state"}, nil)
	markDesc = prometheus.NewDesc("hyssoprudder_gossiper_leaving_marks",
		"Leaving marks of endpoints that this node remembers.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- memberDesc
	ch <- markDesc
}

// Collect implements prometheus.Collector.
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
