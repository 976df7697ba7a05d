package assembler

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/connection/listener"
	"hyssoprudder/internal/connection/messenger"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/divider"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/process/proposer"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/process/submitter"
	"hyssoprudder/internal/version/conductor"
	"hyssoprudder/internal/version/mover"
)

const (
	// journalName names the log of rulesets, moves and duties.
	journalName = "main"
	// retireAfter is the silence after which a keeper is taken out of the log. It is
	// longer than a machine stands still or is replaced.
	retireAfter = 15 * time.Second
	// election and heartbeat are shorter than the defaults, since keepers are about
	// a millisecond apart and calls are held up while none leads.
	election  = 500 * time.Millisecond
	heartbeat = 120 * time.Millisecond
	// attempt bounds one try to reach the leader; an order waits for several.
	attempt = 450 * time.Millisecond
	// burstShare and spareShare are the parts of the tolerance on limits that are
	// used in a burst and when a leader begins.
	burstShare = 0.4
	spareShare = 0.3
	// handOver bounds the handing over of the leadership at a planned stop.
	handOver = 1200 * time.Millisecond
	// lastAnswers bounds the time for answers to operators at a planned stop.
	lastAnswers = 800 * time.Millisecond
	// watchPause is the time between two looks at whether the keeper still runs.
	watchPause = 250 * time.Millisecond
)

// keeperPart is the part of a node that holds the log and directs the others.
type keeperPart struct {
	node        *Node
	state       *applier.Applier
	keeper      *keeper.Keeper
	proposer    *proposer.Proposer
	coordinator *coordinator.Coordinator
	submitter   *submitter.Submitter
	conductor   *conductor.Conductor
	control     *listener.Listener
	done        chan struct{}
	group       sync.WaitGroup

	mu    sync.Mutex
	table *registrar.Table
}

func (n *Node) buildKeeper() error {
	k := &keeperPart{node: n, state: applier.New(), done: make(chan struct{})}
	n.keeper = k
	if err := k.buildLog(); err != nil {
		return err
	}
	b, p := n.settings.Bounds(), n.outside
	k.coordinator = coordinator.New(coordinator.Config{
		Clock: n.steady, Log: n.log.With("part", "coordinator"), Lease: k.keeper.CaughtUpLease, Leader: k.leader,
		Keepers: k.keeper.Addresses, Ruleset: k.state.Ruleset, Moves: k.state.Moves, Limits: k.limits, AllowanceLifetime: b.Revoke(), Window: b.UsageWindow(),
	})
	if err := n.messenger.Register(coordinator.ServiceName, &coordinator.Service{Coordinator: k.coordinator}); err != nil {
		return err
	}
	k.submitter = submitter.New(submitter.Config{
		Name: n.settings.ID(), Clock: n.steady, Log: n.log.With("part", "submitter"), Do: k.coordinator.Do,
		Propose: k.keeper.Propose, Intent: k.state.Intent, Table: k.rules, List: p.List, SendUsage: p.SendUsage, SendSize: p.SendSize,
		Lease: b.Lease(), Window: b.UsageWindow(), DueAfter: b.UsageLate(), HasUsage: p.HasUsage, HasSize: p.HasSize,
		IsCounted: k.isCounted,
	})
	k.conductor = conductor.New(conductor.Config{
		Clock: n.steady, Log: n.log.With("part", "conductor"), Do: k.coordinator.Do, Moves: k.state.Moves, Propose: k.keeper.Propose,
		Pace: k.pace, Routes: func(service string) []mover.Route { return moveRoutes(k.rules(), service) },
	})
	operators := &Operators{Put: k.put, Document: k.document, StartMove: k.startMove, Move: k.move, Log: n.log.With("part", "operator")}
	k.control = listener.New("operators", &http.Server{
		Handler: p.Control(operators), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second,
	}, nil, n.log)
	return nil
}

// buildLog opens the log. Keepers are named by their IP numbers, so that one that
// lost its disk takes its own place again. Seeds alone make the first log.
func (k *keeperPart) buildLog() error {
	n := k.node
	self := n.settings.Nodes()
	name := self.Addr().String()
	var peers []keeper.Peer
	var addresses []netip.AddrPort
	for _, seed := range n.settings.Seeds() {
		peers = append(peers, keeper.Peer{Name: seed.Addr().String(), Address: seed})
		addresses = append(addresses, seed)
	}
	isSeed := slices.Contains(addresses, self)
	if !isSeed {
		peers = append(peers, keeper.Peer{Name: name, Address: self})
		addresses = append(addresses, self)
	}
	var err error
	k.keeper, err = k.open(keeper.Config{
		Journal: journalName, Name: name, Folder: n.settings.Data(), Peers: peers, JoinOnly: !isSeed || !n.settings.IsFirstStart(),
		RetireAfter: retireAfter, ElectionTimeout: election, HeartbeatInterval: heartbeat, Clock: n.steady, Log: n.log.With("part", "keeper"), Call: n.call, Register: n.messenger.Register,
		Applier: k.state,
	})
	if err != nil {
		return err
	}
	k.proposer, err = proposer.New(proposer.Config{
		Journal: journalName, Keepers: addresses, LeaderHint: k.leader, AttemptTimeout: attempt, Clock: n.clock, Log: n.log.With("part", "proposer"), Call: n.call,
		IsNotRun: func(err error) bool { return errors.Is(err, messenger.ErrUnsent) || errors.Is(err, messenger.ErrBusy) },
	})
	return err
}

// openPause is the time between two tries to open the log on a disk that refuses.
const openPause = 300 * time.Millisecond

// probeName is a file that is written and removed to see whether the disk takes
// writes.
const probeName = "probe"

// probe reports why the disk takes no writes, or nil.
func probe(folder string) error {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	path := filepath.Join(folder, probeName)
	if err := os.WriteFile(path, make([]byte, 4096), 0o600); err != nil {
		return err
	}
	return os.Remove(path)
}

// open opens the log. A disk that is full or broken for a while holds the start
// up, so that the process does not end again at its first write.
func (k *keeperPart) open(c keeper.Config) (*keeper.Keeper, error) {
	for {
		err := probe(c.Folder)
		if err == nil {
			var opened *keeper.Keeper
			if opened, err = keeper.New(c); err == nil {
				return opened, nil
			}
		}
		if !isDiskError(err) {
			return nil, fmt.Errorf("open the log: %w", err)
		}
		k.node.log.Warn("log can't be opened; trying again", "err", err)
		clock.Sleep(k.node.clock, openPause, nil)
	}
}

func (k *keeperPart) start() error {
	if err := k.keeper.Start(); err != nil {
		return err
	}
	k.proposer.Start()
	k.submitter.Start()
	k.conductor.Start()
	k.group.Add(1)
	go k.run()
	return k.control.Start(k.node.settings.Control())
}

// run reports to the node when the keeper can't go on, for example since its disk
// refuses to write. The process then starts anew from what is on the disk.
func (k *keeperPart) run() {
	defer k.group.Done()
	for clock.Sleep(k.node.clock, watchPause, k.done) {
		if err := k.keeper.Err(); err != nil {
			k.node.failed <- fmt.Errorf("keeper has stopped: %w", err)
			return
		}
	}
}

func (k *keeperPart) stop(ctx context.Context) {
	close(k.done)
	k.submitter.Stop()
	k.conductor.Stop()
	answers, cancel := context.WithTimeout(ctx, lastAnswers)
	defer cancel()
	if err := k.control.Stop(answers); err != nil {
		k.control.Close()
	}
	hand, cancel := context.WithTimeout(ctx, handOver)
	defer cancel()
	if err := k.keeper.Stop(hand); err != nil {
		k.node.log.Error("keeper stopped", "err", err)
	}
	k.proposer.Stop()
	k.group.Wait()
}

func (k *keeperPart) leader() (netip.AddrPort, bool) {
	_, address, ok := k.keeper.Leader()
	return address, ok
}

// rules returns the committed rules as far as this keeper has executed them.
func (k *keeperPart) rules() *registrar.Table {
	committed := k.state.Ruleset()
	k.mu.Lock()
	defer k.mu.Unlock()
	if committed.Number == k.table.Number() {
		return k.table
	}
	var r registrar.Ruleset
	if err := msgpack.Unmarshal(committed.Body, &r); err != nil {
		k.node.log.Error("committed ruleset can't be decoded; the old one stays in use", "number", committed.Number, "err", err)
		return k.table
	}
	k.table = registrar.NewTable(&r)
	return k.table
}

// limits returns customers' limits, widened in a burst by a part of what the bounds
// tolerate. Another part is left for calls larger than an allowance, and one for a
// leader that begins.
func (k *keeperPart) limits(r *registrar.Ruleset) map[string]divider.Limit {
	b := k.node.settings.Bounds()
	out := make(map[string]divider.Limit)
	for _, c := range r.Customers {
		if c.Rate <= 0 {
			continue
		}
		tolerated := b.QuotaOver() * (c.Rate*b.QuotaWindow().Seconds() + c.Burst)
		if c.Tokens {
			tolerated += b.QuotaSlack()
		}
		out[c.Name] = divider.Limit{Rate: c.Rate, Burst: c.Burst + burstShare*tolerated, Initial: spareShare * tolerated}
	}
	return out
}

// put has a ruleset accepted. One that is not newer changes nothing.
func (k *keeperPart) put(ctx context.Context, r *registrar.Ruleset, document []byte) error {
	body, err := msgpack.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode ruleset: %w", err)
	}
	command := applier.Command{RulesetPut: &applier.RulesetPut{Number: r.Number, Body: body, Document: document}}
	result, err := k.proposer.Propose(ctx, command)
	if err != nil {
		return err
	}
	k.node.log.Info("ruleset put", "number", r.Number, "accepted", result.Ruleset.Accepted, "newest", result.Ruleset.Number)
	return nil
}

var errNoRuleset = errors.New("no configuration was accepted yet")

// document returns the newest document, as the leader of the log has it.
func (k *keeperPart) document(ctx context.Context) ([]byte, error) {
	r, err := k.proposer.Ruleset(ctx)
	if err == nil && r.Number == 0 {
		err = errNoRuleset
	}
	return r.Document, err
}
