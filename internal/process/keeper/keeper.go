package keeper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/journaler"
)

// Peer is a keeper named in the settings.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Config sets up a Keeper.
type Config struct {
	// Journal is the name of the log; a process may keep several. It has no dot.
	Journal string
	// Name is the name of this keeper, one of the names of Peers.
	Name string
	// Folder holds one folder for each log.
	Folder string
	// Peers are all keepers of the settings, this one included.
	Peers []Peer
	// JoinOnly keepers never create a log, even if all Peers are empty.
	JoinOnly bool
	Clock    clock.Clock
	Log      *log.Logger
	// Rand makes identities and election timeouts; nil takes a random seed.
	Rand *rand.Rand
	// Call sends a request to another process and waits for the reply.
	Call func(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
	// Register offers a service to other processes.
	Register func(name string, service any) error
	// Applier executes what is committed.
	Applier *applier.Applier
	// Election and Heartbeat are DefaultElection and DefaultHeartbeat if zero.
	Election  time.Duration
	Heartbeat time.Duration
	// Retire is the silence after which the leader takes a voter out of the log,
	// as long as enough others are left; 0 means never. One that returns joins anew.
	Retire time.Duration
	// SnapshotEvery is the number of entries between snapshots;
	// DefaultSnapshotEvery if zero.
	SnapshotEvery uint64
	// Options are passed to the journal.
	Options journaler.Options
}

const (
	// DefaultSnapshotEvery is the number of entries between two snapshots.
	DefaultSnapshotEvery = 8192

	handOverPause = 10 * time.Millisecond

	inboxSize     = 1024 // batches
	proposalsSize = 1024
	maxGroup      = 4096     // commands
	maxLogSize    = 16 << 20 // bytes of entries between two snapshots
)

// Keeper runs one replica of one log. It is safe for concurrent use.
type Keeper struct {
	config  Config
	self    Member
	log     *log.Logger
	journal *journaler.Journal
	core    *Core
	applier *applier.Applier

	inbox     chan []Message
	proposals chan *proposal
	readers   chan chan error
	controls  chan control
	snapshots chan snapshotDone
	quit      chan struct{}
	done      chan struct{}
	stopOnce  sync.Once
	workers   sync.WaitGroup

	waiting      map[uint64]waiter
	reading      map[uint64][]chan error
	nextRead     uint64
	snapshotAt   uint64
	snapshotting bool
	snapshotSize int // bytes of the newest snapshot
	logSize      int // bytes of entries executed since
	senders      map[string]*sender
	assembler    assembler
	loggedRole   Role
	loggedLeader string

	mu        sync.RWMutex
	published published
	heard     map[string]netip.AddrPort
}

// control is a request that runs on the loop and reports whether it was done.
type control struct {
	run  func(now time.Time) bool
	done chan bool
}

// New opens the folder of the log and registers the services. A *journaler.DamageError means that the
// folder must be looked at by an operator.
func New(c Config) (*Keeper, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
	journal, err := journaler.Open(filepath.Join(c.Folder, c.Journal), c.Options)
	if err != nil {
		return nil, fmt.Errorf("open log %s: %w", c.Journal, err)
	}
	k := &Keeper{
		config: c, log: c.Log.With("log", c.Journal), journal: journal, applier: c.Applier,
		inbox: make(chan []Message, inboxSize), proposals: make(chan *proposal, proposalsSize),
		readers: make(chan chan error, proposalsSize), controls: make(chan control),
		snapshots: make(chan snapshotDone, 1), quit: make(chan struct{}), done: make(chan struct{}),
		waiting: make(map[uint64]waiter), reading: make(map[uint64][]chan error), senders: make(map[string]*sender),
		heard: make(map[string]netip.AddrPort),
	}
	if err := k.load(); err != nil {
		return nil, errors.Join(err, journal.Close())
	}
	if err := k.register(); err != nil {
		return nil, errors.Join(err, journal.Close())
	}
	return k, nil
}

func (c *Config) check() error {
	if c.Journal == "" || c.Clock == nil || c.Log == nil || c.Call == nil || c.Register == nil || c.Applier == nil {
		return errors.New("keeper: the name of the log, the clock and all seams must be set")
	}
	if _, ok := c.peer(c.Name); !ok {
		return fmt.Errorf("keeper %q is not among the keepers of the settings", c.Name)
	}
	return nil
}

func (c *Config) peer(name string) (Peer, bool) {
	for _, p := range c.Peers {
		if p.Name == name {
			return p, true
		}
	}
	return Peer{}, false
}

// load makes an identity for an empty folder and restores the state.
func (k *Keeper) load() error {
	state := k.journal.State()
	if state.Identity == "" {
		state.Identity = uuid.NewString()
		if err := k.journal.SaveState(state); err != nil {
			return err
		}
		k.log.Info("new identity", "keeper", k.config.Name, "identity", state.Identity)
	}
	snapshot := k.journal.TakeSnapshot()
	if snapshot.Index > 0 {
		if err := k.applier.Restore(snapshot.Data); err != nil {
			return err
		}
	}
	k.snapshotAt, k.snapshotSize = snapshot.Index, len(snapshot.Data)
	snapshot.Data = nil
	self, _ := k.config.peer(k.config.Name)
	k.self = Member{ID: state.Identity, Name: self.Name, Address: self.Address}
	k.core = NewCore(CoreConfig{
		State: state, Snapshot: snapshot, Entries: k.journal.TakeEntries(), Now: k.config.Clock.Now(),
		Rand: k.config.Rand, Election: k.config.Election, Heartbeat: k.config.Heartbeat, Retire: k.config.Retire,
	})
	k.config.Election, k.config.Heartbeat = k.core.election, k.core.heartbeat
	k.publish()
	return nil
}

// register offers the services; what arrives before Start waits.
func (k *Keeper) register() error {
	if err := k.config.Register(peerService(k.config.Journal), &PeerService{keeper: k}); err != nil {
		return fmt.Errorf("register keeper: %w", err)
	}
	if err := k.config.Register(clientService(k.config.Journal), &ClientService{keeper: k}); err != nil {
		return fmt.Errorf("register state: %w", err)
	}
	return nil
}

// Start begins to take part. Call must be usable by now.
func (k *Keeper) Start() error {
	k.workers.Add(1)
	go k.run()
	j := &joiner{keeper: k}
	k.workers.Add(1)
	go j.run()
	return nil
}

// Stop hands the leadership over, if this keeper has it and ctx allows, and stops.
func (k *Keeper) Stop(ctx context.Context) error {
	k.handOver(ctx)
	return k.halt()
}

func (k *Keeper) handOver(ctx context.Context) {
	if !k.do(ctx, k.core.Transfer) {
		return
	}
	for k.Status().Role == RoleLeader && ctx.Err() == nil {
		if !clock.Sleep(k.config.Clock, handOverPause, ctx.Done()) {
			return
		}
	}
}

// halt stops without handing over.
func (k *Keeper) halt() error {
	k.stopOnce.Do(k.closeQuit)
	k.workers.Wait()
	return k.journal.Close()
}

func (k *Keeper) closeQuit() { close(k.quit) }

// do runs f on the loop and reports its result.
func (k *Keeper) do(ctx context.Context, f func(now time.Time) bool) bool {
	c := control{run: f, done: make(chan bool, 1)}
	select {
	case k.controls <- c:
	case <-k.done:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case ok := <-c.done:
		return ok
	case <-k.done:
		return false
	}
}

// Remove takes the keeper of that name out of the log. Only the leader can do
// so, and not for itself.
func (k *Keeper) Remove(ctx context.Context, name string) error {
	if !k.do(ctx, func(now time.Time) bool { return k.core.Remove(now, name) }) {
		if st := k.Status(); st.Role != RoleLeader {
			return k.notLeader()
		}
		return ErrBusy
	}
	return nil
}
