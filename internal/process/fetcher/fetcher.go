package fetcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"hyssoprudder/internal/connection/messenger"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/gossiper"
)

const (
	loopInterval = 50 * time.Millisecond
	callTimeout  = 2 * time.Second
	maxQueries   = 16 // concurrent queries
	// ServiceName is the name under which Service is registered.
	ServiceName = "Configuration"
)

// ErrNoSource means that no node is known from which a revision can be fetched.
var ErrNoSource = errors.New("no node to fetch from")

// Config holds the dependencies of a Fetcher.
type Config struct {
	// MaxStaleness is how long a node may be without contact or behind and still serve calls.
	MaxStaleness time.Duration
	// ReadLatest reads the current revision through the leader.
	ReadLatest func(ctx context.Context) (Body, error)
	// Fetch reads the given or a later revision from a node.
	Fetch func(ctx context.Context, from netip.AddrPort, number uint64) (Body, error)
	// QueryRevision queries which revision a node has in force.
	QueryRevision func(ctx context.Context, at netip.AddrPort) (uint64, error)
	// Apply puts a body in force. It fails if the text is not usable.
	Apply func(Body) error
	// Members returns the members of the deployment.
	Members func() []gossiper.Member
	// HasMajority reports whether the node had contact to a majority within a window.
	HasMajority func(window time.Duration) bool
	// SetActiveRevision publishes to the other nodes which revision is in force at this node.
	SetActiveRevision func(number uint64)
	// Announce sends a revision to the other nodes.
	Announce func(gossiper.Revision)
	// Self is the ID of this node.
	Self  string
	Clock clock.Clock
	Log   *log.Logger
}

// Connect sets the functions that use the messenger and the gossiper.
func (c *Config) Connect(m *messenger.Messenger, g *gossiper.Gossiper) {
	c.Self = m.Self().ID()
	c.Fetch = func(ctx context.Context, from netip.AddrPort, number uint64) (Body, error) {
		var reply BodyReply
		err := m.Call(ctx, from, ServiceName+".Read", BodyRequest{Number: number}, &reply)
		return reply.body(), err
	}
	c.QueryRevision = func(ctx context.Context, at netip.AddrPort) (uint64, error) {
		var reply RunningReply
		err := m.Call(ctx, at, ServiceName+".Running", RunningRequest{}, &reply)
		return reply.Number, err
	}
	c.Members = g.Members
	c.HasMajority = func(window time.Duration) bool { return g.Contact(window).HasMajority() }
	c.SetActiveRevision = g.SetActiveRevision
	c.Announce = g.Announce
}

// Fetcher keeps the configuration in force up to date. Its methods are safe for concurrent use.
type Fetcher struct {
	config  Config
	clock   clock.Clock
	log     *log.Logger
	done    chan struct{}
	ctx     context.Context //nolint:containedctx // cancels the calls of both loops at Stop
	cancel  context.CancelFunc
	group   sync.WaitGroup
	applyMu sync.Mutex // held while a body is put in force, so that bodies are applied in the order of their numbers

	mu   sync.Mutex
	core *Core
}

// New returns a fetcher that is not started.
func New(c Config) *Fetcher {
	f := &Fetcher{
		config: c, clock: c.Clock, log: c.Log,
		done: make(chan struct{}), core: NewCore(c.MaxStaleness),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

// Start starts the goroutines that read through the leader and fetch revisions.
func (f *Fetcher) Start() {
	f.group.Add(2)
	go leaderReader{f}.run()
	go revisionFetcher{f}.run()
}

// Stop stops both goroutines and waits for them.
func (f *Fetcher) Stop() {
	close(f.done)
	f.cancel()
	f.group.Wait()
}

// ReceiveRevision records that a revision was accepted. The gossiper calls it.
func (f *Fetcher) ReceiveRevision(r gossiper.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.ReceiveRevision(r, f.clock.Now())
}

// Offer puts a body that this node already has, as a keeper does, in force if it is newer.
func (f *Fetcher) Offer(b Body) error { return f.applyIfNewer(b) }

// ActiveBody returns the revision in force with its text.
func (f *Fetcher) ActiveBody() Body {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.ActiveBody()
}

// Ready returns the reason why the node must not serve calls, or nil.
func (f *Fetcher) Ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Ready(f.clock.Now())
}

// applyIfNewer checks a body and puts it in force if it is newer.
func (f *Fetcher) applyIfNewer(b Body) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	wanted, err := f.shouldApply(b)
	if err == nil && wanted {
		err = f.config.Apply(b)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.core.Failed(err, f.clock.Now())
		f.log.Error("configuration refused", "revision", b.Revision.Number, "error", err)
		return err
	}
	if wanted {
		f.core.Applied(b)
		f.config.SetActiveRevision(b.Revision.Number)
		f.config.Announce(b.Revision)
		f.log.Info("configuration in force", "revision", b.Revision.Number, "term", b.Revision.Term)
	}
	return nil
}

func (f *Fetcher) shouldApply(b Body) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.ShouldApply(b, f.clock.Now())
}

// leaderReader reads the current revision through the leader when that is needed.
type leaderReader struct {
	fetcher *Fetcher
}

func (r leaderReader) run() {
	f := r.fetcher
	defer f.group.Done()
	for clock.Sleep(f.clock, loopInterval, f.done) {
		if f.isReadNeeded() {
			f.read()
		}
	}
}

func (f *Fetcher) isReadNeeded() bool {
	hasMajority := f.config.HasMajority(f.core.ContactWindow())
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if hasMajority {
		f.core.MajorityAnswered(now)
	}
	return f.core.NeedsRead(now)
}

func (f *Fetcher) read() {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	asked := f.clock.Now()
	b, err := f.config.ReadLatest(ctx)
	if err == nil && b.Revision.Number > 0 {
		err = f.applyIfNewer(b)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.core.ReadFailed(f.clock.Now())
		f.log.Debug("failed to read the configuration through the leader; trying again later", "error", err)
		return
	}
	f.core.ReadDone(b.Revision, asked, f.clock.Now())
}

// revisionFetcher fetches newer revisions.
type revisionFetcher struct {
	fetcher *Fetcher
}

func (t revisionFetcher) run() {
	f := t.fetcher
	defer f.group.Done()
	for clock.Sleep(f.clock, loopInterval, f.done) {
		if r, ok := f.revisionToFetch(); ok {
			f.fetch(r)
		}
	}
}

func (f *Fetcher) revisionToFetch() (gossiper.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.RevisionToFetch(f.clock.Now())
}

func (f *Fetcher) fetch(r gossiper.Revision) {
	b, err := f.fetchFrom(r.Number)
	if err == nil {
		_ = f.applyIfNewer(b)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.Failed(err, f.clock.Now())
	f.log.Debug("failed to fetch the configuration; trying again later", "revision", r.Number, "error", err)
}

func (f *Fetcher) fetchFrom(number uint64) (Body, error) {
	sources := f.sources(number)
	if len(sources) == 0 {
		return Body{}, ErrNoSource
	}
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	from := sources[rand.IntN(len(sources))]
	b, err := f.config.Fetch(ctx, from, number)
	if err != nil {
		return Body{}, err
	}
	if b.Revision.Number < number {
		return Body{}, fmt.Errorf("%s has revision %d, not %d", from, b.Revision.Number, number)
	}
	return b, nil
}

// sources returns the nodes that have a revision: the keepers, and the members that have it in force, so that
// the keepers need not answer all nodes.
func (f *Fetcher) sources(number uint64) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range f.config.Members() {
		holds := m.Roles().Has(gossiper.Keeper) || m.ActiveRevision() >= number
		if m.ID() != f.config.Self && m.IsLive() && holds {
			out = append(out, m.Address())
		}
	}
	return out
}

// Waiting returns the IDs of the members that may still serve calls under an older revision: live ones, and
// dead ones for as long as they may not have detected that they lost contact. Members of which gossip has not
// yet reported that they have the revision in force are queried; those that do not answer are included.
func (f *Fetcher) Waiting(ctx context.Context, number uint64) []string {
	var mu sync.Mutex
	var waiting []string
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxQueries)
	for _, m := range f.withoutRevision(number) {
		query := &revisionQuery{fetcher: f, member: m, number: number, mu: &mu, waiting: &waiting, ctx: ctx}
		group.Go(query.run)
	}
	_ = group.Wait()
	slices.Sort(waiting)
	return waiting
}

// withoutRevision returns the members that, as far as gossip has reported, may have an older revision in force.
func (f *Fetcher) withoutRevision(number uint64) []gossiper.Member {
	now := f.clock.Now()
	return slices.DeleteFunc(f.config.Members(), func(m gossiper.Member) bool {
		switch {
		case m.ActiveRevision() >= number:
			return true
		case m.ID() == f.config.Self:
			return f.ActiveBody().Revision.Number >= number
		case m.State() == gossiper.Dead:
			return now.Sub(m.GoneAt()) > f.config.MaxStaleness+time.Second
		default:
			return !m.IsLive()
		}
	})
}

// revisionQuery queries one member for the revision that it has in force.
type revisionQuery struct {
	fetcher *Fetcher
	member  gossiper.Member
	number  uint64
	mu      *sync.Mutex
	waiting *[]string
	ctx     context.Context //nolint:containedctx // ends with the call of Waiting
}

func (q *revisionQuery) run() error {
	ctx, cancel := context.WithTimeout(q.ctx, callTimeout)
	defer cancel()
	if q.member.ID() != q.fetcher.config.Self {
		if number, err := q.fetcher.config.QueryRevision(ctx, q.member.Address()); err == nil && number >= q.number {
			return nil
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	*q.waiting = append(*q.waiting, q.member.ID())
	return nil
}
