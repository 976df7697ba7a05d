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
	askers       = 16 // members asked at a time
	// ServiceName is the name under which Service is registered.
	ServiceName = "Configuration"
)

// ErrNothingFound says that no node could be asked for a revision.
var ErrNothingFound = errors.New("no node to fetch from")

// Config holds what New makes a fetcher from.
type Config struct {
	// Bound is how long a node may be out of touch or behind and still serve.
	Bound time.Duration
	// ReadLatest reads the present revision through the leader.
	ReadLatest func(ctx context.Context) (Body, error)
	// Fetch reads a revision, or a later one, from a node.
	Fetch func(ctx context.Context, from netip.AddrPort, number uint64) (Body, error)
	// Ask reads which revision a node has in force.
	Ask func(ctx context.Context, at netip.AddrPort) (uint64, error)
	// Apply puts a body in force. It fails if the text can't be used.
	Apply func(Body) error
	// Members returns the members of the deployment.
	Members func() []gossiper.Member
	// HasMost reports whether most peers were in touch within a window.
	HasMost func(window time.Duration) bool
	// SetRunning tells the other nodes what is in force here.
	SetRunning func(number uint64)
	// Announce tells the other nodes of a revision.
	Announce func(gossiper.Revision)
	// Self is the identity of this node.
	Self  string
	Clock clock.Clock
	Log   *log.Logger
}

// Connect fills in the functions that go through the messenger and the
// gossiper.
func (c *Config) Connect(m *messenger.Messenger, g *gossiper.Gossiper) {
	c.Self = m.Self().ID()
	c.Fetch = func(ctx context.Context, from netip.AddrPort, number uint64) (Body, error) {
		var reply BodyReply
		err := m.Call(ctx, from, ServiceName+".Read", BodyRequest{Number: number}, &reply)
		return reply.body(), err
	}
	c.Ask = func(ctx context.Context, at netip.AddrPort) (uint64, error) {
		var reply RunningReply
		err := m.Call(ctx, at, ServiceName+".Running", RunningRequest{}, &reply)
		return reply.Number, err
	}
	c.Members = g.Members
	c.HasMost = func(window time.Duration) bool { return g.Contact(window).HasMajority() }
	c.SetRunning = g.SetActiveRevision
	c.Announce = g.Announce
}

// Fetcher keeps the configuration in force up to date. Its methods are safe
// for concurrent use.
type Fetcher struct {
	config  Config
	clock   clock.Clock
	log     *log.Logger
	done    chan struct{}
	ctx     context.Context //nolint:containedctx // ends the calls of both loops at Stop
	cancel  context.CancelFunc
	group   sync.WaitGroup
	applyMu sync.Mutex // held while a body is put in force, so that the order is that of the numbers

	mu   sync.Mutex
	core *Core
}

// New returns a fetcher that is not yet started.
func New(c Config) *Fetcher {
	f := &Fetcher{
		config: c, clock: c.Clock, log: c.Log,
		done: make(chan struct{}), core: NewCore(c.Bound),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f
}

// Start begins to read and to fetch.
func (f *Fetcher) Start() {
	f.group.Add(2)
	go leaderReader{f}.run()
	go revisionFetcher{f}.run()
}

// Stop ends reading and fetching.
func (f *Fetcher) Stop() {
	close(f.done)
	f.cancel()
	f.group.Wait()
}

// Hear notes that a revision was accepted; the gossiper calls it.
func (f *Fetcher) Hear(r gossiper.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.Hear(r, f.clock.Now())
}

// Offer puts a body in force that this node already holds, as a keeper does.
func (f *Fetcher) Offer(b Body) error { return f.put(b) }

// Running returns the revision in force with its text.
func (f *Fetcher) Running() Body {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Running()
}

// Ready returns why the node must not serve, or nil.
func (f *Fetcher) Ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Ready(f.clock.Now())
}

// put judges a body and puts it in force if it is newer.
func (f *Fetcher) put(b Body) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	wanted, err := f.judge(b)
	if err == nil && wanted {
		err = f.config.Apply(b)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.core.Refused(err, f.clock.Now())
		f.log.Error("configuration refused", "revision", b.Revision.Number, "error", err)
		return err
	}
	if wanted {
		f.core.Applied(b)
		f.config.SetRunning(b.Revision.Number)
		f.config.Announce(b.Revision)
		f.log.Info("configuration in force", "revision", b.Revision.Number, "term", b.Revision.Term)
	}
	return nil
}

func (f *Fetcher) judge(b Body) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Judge(b, f.clock.Now())
}

// leaderReader reads through the leader when that is needed.
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
	inTouch := f.config.HasMost(f.core.Window())
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	if inTouch {
		f.core.Touch(now)
	}
	return f.core.NeedsRead(now)
}

func (f *Fetcher) read() {
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	asked := f.clock.Now()
	b, err := f.config.ReadLatest(ctx)
	if err == nil && b.Revision.Number > 0 {
		err = f.put(b)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.core.ReadFailed(f.clock.Now())
		f.log.Debug("leader not read", "error", err)
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
		if r, ok := f.wanted(); ok {
			f.fetch(r)
		}
	}
}

func (f *Fetcher) wanted() (gossiper.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.core.Wanted(f.clock.Now())
}

func (f *Fetcher) fetch(r gossiper.Revision) {
	b, err := f.fetchFrom(r.Number)
	if err == nil {
		_ = f.put(b)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.core.Refused(err, f.clock.Now())
	f.log.Debug("configuration not fetched", "revision", r.Number, "error", err)
}

func (f *Fetcher) fetchFrom(number uint64) (Body, error) {
	sources := f.sources(number)
	if len(sources) == 0 {
		return Body{}, ErrNothingFound
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

// sources returns where a revision may be found: the keepers, and the members
// known to run it, so that the keepers need not serve everybody.
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

// Waiting returns the identities of the members that may still serve under an
// older revision: live ones, and dead ones for as long as they might not have
// noticed that they are out of touch. Members whose state is not known by
// gossip are asked; those that don't answer are named.
func (f *Fetcher) Waiting(ctx context.Context, number uint64) []string {
	var mu sync.Mutex
	var waiting []string
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(askers)
	for _, m := range f.behind(number) {
		ask := &asker{fetcher: f, member: m, number: number, mu: &mu, waiting: &waiting, ctx: ctx}
		group.Go(ask.run)
	}
	_ = group.Wait()
	slices.Sort(waiting)
	return waiting
}

// behind returns the members that are not known to run a revision.
func (f *Fetcher) behind(number uint64) []gossiper.Member {
	now := f.clock.Now()
	return slices.DeleteFunc(f.config.Members(), func(m gossiper.Member) bool {
		switch {
		case m.ActiveRevision() >= number:
			return true
		case m.ID() == f.config.Self:
			return f.Running().Revision.Number >= number
		case m.State() == gossiper.Dead:
			return now.Sub(m.GoneAt()) > f.config.Bound+time.Second
		default:
			return !m.IsLive()
		}
	})
}

// asker asks one member which revision it has in force.
type asker struct {
	fetcher *Fetcher
	member  gossiper.Member
	number  uint64
	mu      *sync.Mutex
	waiting *[]string
	ctx     context.Context //nolint:containedctx // lives as long as one Waiting
}

func (a *asker) run() error {
	ctx, cancel := context.WithTimeout(a.ctx, callTimeout)
	defer cancel()
	if a.member.ID() != a.fetcher.config.Self {
		if number, err := a.fetcher.config.Ask(ctx, a.member.Address()); err == nil && number >= a.number {
			return nil
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	*a.waiting = append(*a.waiting, a.member.ID())
	return nil
}
