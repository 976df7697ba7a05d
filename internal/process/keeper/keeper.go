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

// Peer is a configured keeper.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Config sets up a Keeper.
type Config struct {
	// Journal is the name of the replicated log; a process may take part in several. It must
	// not contain a dot.
	Journal string
	// Name is the name of this keeper, one of the names in Peers.
	Name string
	// Folder holds one folder for each log.
	Folder string
	// Peers are all configured keepers, including this one.
	Peers []Peer
	// JoinOnly keepers never create a log, even if all Peers are empty.
	JoinOnly bool
	Clock    clock.Clock
	Log      *log.Logger
	// Rand randomizes election timeouts; if nil, it gets a random seed.
	Rand *rand.Rand
	// Call sends a request to another process and waits for the reply.
	Call func(ctx context.Context, to netip.AddrPort, method string, args, reply any) error
	// Register makes a service available to other processes.
	Register func(name string, service any) error
	// Applier executes committed entries.
	Applier *applier.Applier
	// ElectionTimeout and HeartbeatInterval default to DefaultElectionTimeout and
	// DefaultHeartbeatInterval.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// RetireAfter is the time without a reply after which the leader removes a member from the
	// log; 0 means never. A removed keeper that returns joins again.
	RetireAfter time.Duration
	// MinVoters is the number of responsive voters that must remain when another one is
	// removed: twice the number of keepers that may be lost at once, plus one. It is at least 3.
	MinVoters int
	// SnapshotEvery is the number of entries between two snapshots; the default is
	// DefaultSnapshotEvery.
	SnapshotEvery uint64
	// Options are passed to the journal.
	Options journaler.Options
}

const (
	// DefaultSnapshotEvery is the default number of entries between two snapshots.
	DefaultSnapshotEvery = 8192

	transferPollInterval = 10 * time.Millisecond

	inboxSize         = 1024 // batches
	proposalQueueSize = 1024
	maxGroup          = 4096     // commands
	maxLogSize        = 16 << 20 // bytes of entries between two snapshots
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

	waiting       map[uint64]waiter
	pendingReads  map[uint64][]chan error
	lastReadID    uint64
	snapshotIndex uint64
	snapshotting  bool
	snapshotSize  int // bytes of the newest snapshot
	logSize       int // bytes of entries executed since the newest snapshot
	senders       map[string]*sender
	assembler     assembler
	loggedRole    Role
	loggedLeader  string
	loggedMembers []Member

	mu             sync.RWMutex
	published      published
	replyAddresses map[string]netip.AddrPort
}

// control is a function that runs on the loop and reports whether it succeeded.
type control struct {
	run  func(now time.Time) bool
	done chan bool
}

// New opens the folder of the log and registers the services. A *journaler.DamageError means
// that an operator must inspect the folder.
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
		inbox: make(chan []Message, inboxSize), proposals: make(chan *proposal, proposalQueueSize),
		readers: make(chan chan error, proposalQueueSize), controls: make(chan control),
		snapshots: make(chan snapshotDone, 1), quit: make(chan struct{}), done: make(chan struct{}),
		waiting: make(map[uint64]waiter), pendingReads: make(map[uint64][]chan error), senders: make(map[string]*sender),
		replyAddresses: make(map[string]netip.AddrPort),
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
		return errors.New("keeper: Journal, Clock, Log, Call, Register and Applier must be set")
	}
	if _, ok := c.peer(c.Name); !ok {
		return fmt.Errorf("keeper %q is not among the configured keepers", c.Name)
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

// load creates an identity if the folder is empty, and restores the state from the journal.
func (k *Keeper) load() error {
	state := k.journal.State()
	if state.Identity == "" {
		state.Identity = uuid.NewString()
		if err := k.journal.SaveState(state); err != nil {
			return err
		}
		k.log.Info("new identity", "keeper", k.config.Name, "identity", state.Identity)
	}
	snapshot := k.journal.LoadedSnapshot()
	if snapshot.Index > 0 {
		if err := k.applier.Restore(snapshot.Data); err != nil {
			return err
		}
	}
	k.snapshotIndex, k.snapshotSize = snapshot.Index, len(snapshot.Data)
	snapshot.Data = nil
	self, _ := k.config.peer(k.config.Name)
	k.self = Member{ID: state.Identity, Name: self.Name, Address: self.Address}
	k.core = NewCore(CoreConfig{
		State: state, Snapshot: snapshot, Entries: k.journal.LoadedEntries(), Now: k.config.Clock.Now(),
		Rand: k.config.Rand, ElectionTimeout: k.config.ElectionTimeout, HeartbeatInterval: k.config.HeartbeatInterval,
		RetireAfter: k.config.RetireAfter, MinVoters: k.config.MinVoters,
	})
	k.config.ElectionTimeout, k.config.HeartbeatInterval = k.core.electionTimeout, k.core.heartbeatInterval
	k.publish()
	return nil
}

// register registers the services. Requests that arrive before Start wait.
func (k *Keeper) register() error {
	if err := k.config.Register(peerService(k.config.Journal), &PeerService{keeper: k}); err != nil {
		return fmt.Errorf("register keeper: %w", err)
	}
	if err := k.config.Register(clientService(k.config.Journal), &ClientService{keeper: k}); err != nil {
		return fmt.Errorf("register state: %w", err)
	}
	return nil
}

// Start makes the keeper take part in the log. Config.Call must be usable by then.
func (k *Keeper) Start() error {
	k.workers.Add(1)
	go k.run()
	j := &joiner{keeper: k}
	k.workers.Add(1)
	go j.run()
	return nil
}

// Stop transfers the leadership, if this keeper has it and ctx leaves time, and stops the
// keeper.
func (k *Keeper) Stop(ctx context.Context) error {
	k.transferLeadership(ctx)
	return k.halt()
}

func (k *Keeper) transferLeadership(ctx context.Context) {
	if !k.do(ctx, k.core.Transfer) {
		return
	}
	for k.Status().Role == RoleLeader && ctx.Err() == nil {
		if !clock.Sleep(k.config.Clock, transferPollInterval, ctx.Done()) {
			return
		}
	}
}

// halt stops the keeper without transferring the leadership.
func (k *Keeper) halt() error {
	k.stopOnce.Do(k.closeQuit)
	k.workers.Wait()
	return k.journal.Close()
}

func (k *Keeper) closeQuit() { close(k.quit) }

// do runs f on the loop and returns its result, or false if ctx or the loop ends first.
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

// Remove removes the keeper with that name from the log. Only the leader can do so, and it
// cannot remove itself.
func (k *Keeper) Remove(ctx context.Context, name string) error {
	if !k.do(ctx, func(now time.Time) bool { return k.core.Remove(now, name) }) {
		if st := k.Status(); st.Role != RoleLeader {
			return k.notLeader()
		}
		return ErrBusy
	}
	return nil
}
