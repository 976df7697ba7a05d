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

	"hyssoprudder/internal/connection/listener"
	"hyssoprudder/internal/connection/messenger"
	"hyssoprudder/internal/connection/screener"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/compressor"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/divider"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/process/proposer"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/process/settings"
	"hyssoprudder/internal/process/submitter"
	"hyssoprudder/internal/version/conductor"
	"hyssoprudder/internal/version/mover"
)

const (
	// journalName is the name of the replicated log of rulesets, moves and duties.
	journalName = "main"
	// retireFraction is the fraction of the time to catch up after which an unreachable keeper
	// is removed from the log's members. Elections before it and changes of the members after
	// it take the rest: keepers that are gone leave the log before the next one may be lost.
	retireFraction = 0.5
	// electionTimeout and heartbeatInterval are shorter than the defaults, since the
	// latency between keepers is about a millisecond and calls wait while there is no leader.
	electionTimeout   = 500 * time.Millisecond
	heartbeatInterval = 120 * time.Millisecond
	// attemptTimeout bounds one attempt to reach the leader; a proposal makes several.
	attemptTimeout = 450 * time.Millisecond
	// burstFraction and initialFraction are the fractions of the tolerance on limits that
	// are granted for bursts and at the start of a leader's term.
	burstFraction   = 0.4
	initialFraction = 0.3
	// handOverTimeout bounds the transfer of leadership at a planned stop.
	handOverTimeout = 1200 * time.Millisecond
	// answerTimeout bounds the wait for operators' requests in flight at a planned stop.
	answerTimeout = 800 * time.Millisecond
	// watchInterval is the time between two checks whether the keeper has failed.
	watchInterval = 250 * time.Millisecond
)

// keeperRole holds the replicated log on a node with the keeper role and, while the
// keeper leads, directs the entries.
type keeperRole struct {
	node        *Node
	state       *applier.Applier
	keeper      *keeper.Keeper
	proposer    *proposer.Proposer
	coordinator *coordinator.Coordinator
	relay       *coordinator.Relay
	submitter   *submitter.Submitter
	conductor   *conductor.Conductor
	control     *listener.Listener
	done        chan struct{}
	group       sync.WaitGroup

	mu    sync.Mutex
	table *registrar.Table
}

func (n *Node) buildKeeper() error {
	k := &keeperRole{node: n, state: applier.New(), done: make(chan struct{})}
	n.keeper = k
	if err := k.buildLog(); err != nil {
		return err
	}
	b, a := n.settings.Bounds(), n.adapter
	k.coordinator = coordinator.New(coordinator.Config{
		Clock: n.bootClock, Log: n.log.With("part", "coordinator"), Lease: k.keeper.CaughtUpLease, Leader: k.leader,
		Keepers: k.keeper.Addresses, Ruleset: k.state.Ruleset, Moves: k.state.Moves, Limits: k.limits, AllowanceLifetime: b.Revoke(), Window: b.UsageWindow(),
		Relayed: n.settings.Relayed(), ListLag: n.settings.Provider().Lag(),
		WarmupBound: func(rate float64) float64 { return rate*b.ColdOver() + b.ColdSlack() },
		Evacuations: k.state.Evacuations, EvacuationBound: b.Evacuation(),
	})
	k.relay = coordinator.NewRelay(coordinator.RelayConfig{
		GroupConfig: coordinator.GroupConfig{
			Node: n.settings.ID() + "/relay", Incarnation: n.incarnation, Window: b.UsageWindow(),
			Address: coordinator.RelayAddress{Address: n.settings.Nodes(), Domain: n.settings.Domain()},
		},
		Clock: n.bootClock, Log: n.log.With("part", "relay"), Call: n.call, Local: k.coordinator, Leader: k.leader, Keepers: k.keeper.Addresses,
	})
	if err := n.messenger.Register(coordinator.ServiceName, &coordinator.Service{Coordinator: k.coordinator, Relay: k.relay}); err != nil {
		return err
	}
	if err := n.messenger.Register(coordinator.AllowanceServiceName, &coordinator.AllowanceService{Coordinator: k.coordinator, Relay: k.relay}); err != nil {
		return err
	}
	k.submitter = submitter.New(submitter.Config{
		Name: n.settings.ID(), Clock: n.bootClock, Log: n.log.With("part", "submitter"), Do: k.coordinator.Do,
		Propose: k.keeper.Propose, Intent: k.state.Intent, Table: k.rules, List: a.List, SendUsage: a.SendUsage, SendSize: a.SendSize,
		Lease: b.Lease(), Window: b.UsageWindow(), DueAfter: b.UsageLate(), HasUsage: a.HasUsage, HasSize: a.HasSize,
		IsCounted: k.isCounted, Evacuated: k.evacuated,
	})
	k.conductor = conductor.New(conductor.Config{
		Clock: n.bootClock, Log: n.log.With("part", "conductor"), WithLeaderState: k.coordinator.Do, Moves: k.state.Moves, Propose: k.keeper.Propose,
		MoveConfig: k.moveConfig, Routes: func(service string) []mover.Route { return moveRoutes(k.rules(), service) },
	})
	operators := &Operators{Put: k.put, Document: k.document, StartMove: k.startMove, Move: k.move, IsDomain: k.isDomain, SetEvacuated: k.setEvacuated, Log: n.log.With("part", "operator")}
	k.control = listener.New("operators", &http.Server{
		Handler: a.OperatorHandler(operators), ReadHeaderTimeout: controlHeadTimeout, IdleTimeout: 10 * time.Second,
	}, nil, n.log)
	k.control.Screen(n.clients.screener(func() screener.Limits { return screener.Limits{Head: controlHeadTimeout} }, n.clients.probes()))
	return nil
}

// controlHeadTimeout is how long an operator may take to send the head of a request.
const controlHeadTimeout = 2 * time.Second

// buildLog opens the log. Keepers are named by their IP addresses, so that a keeper that
// lost its disk replaces its former self. Only seeds create the first log.
func (k *keeperRole) buildLog() error {
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
	retireAfter := time.Duration(retireFraction * float64(n.settings.Bounds().CatchUp()))
	minVoters := 2*n.settings.Tolerated() + 1
	n.log.Info("opening the log", "retire_after", retireAfter, "min_voters", minVoters)
	var err error
	k.keeper, err = k.open(keeper.Config{
		Journal: journalName, Name: name, Folder: n.settings.Data(), Peers: peers, JoinOnly: !isSeed || !n.settings.IsFirstStart(),
		RetireAfter: retireAfter, MinVoters: minVoters, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval,
		Clock: n.bootClock, Log: n.log.With("part", "keeper"), Call: n.call, Register: n.messenger.Register,
		Applier: k.state,
	})
	if err != nil {
		return err
	}
	k.proposer, err = proposer.New(proposer.Config{
		Journal: journalName, Keepers: addresses, LeaderHint: k.leader, AttemptTimeout: attemptTimeout, Clock: n.clock, Log: n.log.With("part", "proposer"), Call: n.call,
		IsNotRun: func(err error) bool { return errors.Is(err, messenger.ErrUnsent) || errors.Is(err, messenger.ErrBusy) },
	})
	return err
}

// openRetryDelay is the time between two attempts to open the log after a disk error.
const openRetryDelay = 300 * time.Millisecond

// probeName is the file that is written and removed to check whether the disk accepts
// writes.
const probeName = "probe"

// probe returns why the disk doesn't accept writes, or nil.
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

// open opens the log. While the disk is full or fails, it retries instead of returning,
// so that the process does not exit again at its first write.
func (k *keeperRole) open(c keeper.Config) (*keeper.Keeper, error) {
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
		clock.Sleep(k.node.clock, openRetryDelay, nil)
	}
}

func (k *keeperRole) start() error {
	if err := k.keeper.Start(); err != nil {
		return err
	}
	k.proposer.Start()
	k.relay.Start()
	k.submitter.Start()
	k.conductor.Start()
	k.group.Add(1)
	go k.run()
	return k.control.Start(k.node.settings.Control())
}

// run reports a failure of the keeper, such as a failed write to its disk, to the node.
// The process then ends and is restarted from what is on the disk.
func (k *keeperRole) run() {
	defer k.group.Done()
	for clock.Sleep(k.node.clock, watchInterval, k.done) {
		if err := k.keeper.Err(); err != nil {
			k.node.failed <- fmt.Errorf("keeper has stopped: %w", err)
			return
		}
	}
}

func (k *keeperRole) stop(ctx context.Context) {
	close(k.done)
	k.submitter.Stop()
	k.conductor.Stop()
	answerCtx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	if err := k.control.Stop(answerCtx); err != nil {
		k.control.Abort()
	}
	handOverCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	if err := k.keeper.Stop(handOverCtx); err != nil {
		k.node.log.Error("keeper stopped with an error", "err", err)
	}
	k.relay.Stop()
	k.proposer.Stop()
	k.group.Wait()
}

func (k *keeperRole) leader() (netip.AddrPort, bool) {
	_, address, ok := k.keeper.Leader()
	return address, ok
}

// rules returns the newest committed rules that this keeper has applied.
func (k *keeperRole) rules() *registrar.Table {
	committed := k.state.Ruleset()
	k.mu.Lock()
	defer k.mu.Unlock()
	if committed.Number == k.table.Number() {
		return k.table
	}
	r, err := registrar.Decode(committed.Body)
	if err != nil {
		k.node.log.Error("committed ruleset can't be decoded; the previous one stays in use", "number", committed.Number, "err", err)
		return k.table
	}
	k.table = registrar.NewTable(r)
	return k.table
}

// limits returns customers' limits. Bursts are increased by a fraction of the excess that
// the bounds tolerate. Another fraction is reserved for the start of a leader's term, and
// the rest for calls that are larger than an allowance.
func (k *keeperRole) limits(r *registrar.Ruleset) map[string]divider.Limit {
	b := k.node.settings.Bounds()
	out := make(map[string]divider.Limit)
	for _, c := range r.Customers {
		if c.Rate <= 0 {
			continue
		}
		tolerated := toleratedExcess(b, &c)
		out[c.Name] = divider.Limit{
			Rate: c.Rate, Burst: c.Burst + burstFraction*tolerated, Initial: initialFraction * tolerated, Largest: largestCall(b, &c),
		}
	}
	return out
}

// toleratedExcess returns by how much a customer may exceed its limit in a window.
func toleratedExcess(b settings.Bounds, c *registrar.Customer) float64 {
	tolerated := b.QuotaOver() * (c.Rate*b.QuotaWindow().Seconds() + c.Burst)
	if c.CountsTokens {
		tolerated += b.QuotaSlack()
	}
	return tolerated
}

// largestCall returns the largest cost of a single call that a customer's limit allows. A call
// that is larger than the bucket leaves a debt, so in each window a limit lets through its rate
// and the larger of its burst and its largest call.
func largestCall(b settings.Bounds, c *registrar.Customer) float64 {
	if !c.CountsTokens {
		return 1
	}
	return c.Burst + (1-initialFraction)*toleratedExcess(b, c)
}

// put proposes a ruleset. One that is not newer than the accepted one changes nothing.
func (k *keeperRole) put(ctx context.Context, r *registrar.Ruleset, document []byte) error {
	body, err := r.Encode()
	if err != nil {
		return err
	}
	compressed, err := compressor.Compress(document)
	if err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	command := applier.Command{RulesetPut: &applier.RulesetPut{Number: r.Number, Body: body, Document: compressed}}
	result, err := k.proposer.Propose(ctx, command)
	if err != nil {
		return err
	}
	k.node.log.Info("ruleset put", "number", r.Number, "bytes", len(body)+len(compressed), "accepted", result.Ruleset.Accepted, "newest", result.Ruleset.Number)
	return nil
}

var errNoRuleset = errors.New("no configuration was accepted yet")

// document returns the newest accepted document, read from the leader of the log.
func (k *keeperRole) document(ctx context.Context) ([]byte, error) {
	r, err := k.proposer.Ruleset(ctx)
	if err == nil && r.Number == 0 {
		err = errNoRuleset
	}
	if err != nil {
		return nil, err
	}
	return compressor.Decompress(r.Document)
}
