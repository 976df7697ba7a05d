package runner

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"hyssoprudder/internal/connection/messenger"
	"hyssoprudder/internal/connection/provisioner"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/process/proposer"
	"hyssoprudder/internal/process/settings"
)

// journalName names the log of rules, moves, intents and claims.
const journalName = "main"

const followInterval = 500 * time.Millisecond

// stateParts are the parts of a node that concern the replicated state.
type stateParts struct {
	keeper   *keeper.Keeper // nil without the role keeper
	proposer *proposer.Proposer
	follower *follower
	watcher  *watcher // nil without a platform
}

func (r *Runner) buildState() error {
	var peers []keeper.Peer
	var addresses []netip.AddrPort
	for _, k := range r.settings.Keepers() {
		peers = append(peers, keeper.Peer{Name: k.Name(), Address: k.Address()})
		addresses = append(addresses, k.Address())
	}
	r.state = &stateParts{follower: &follower{runner: r}}
	var err error
	r.state.proposer, err = proposer.New(proposer.Config{
		Journal: journalName, Keepers: addresses, Clock: r.clock, Log: r.log.With("part", "proposer"), Call: r.messenger.Call,
		IsNotRun: func(err error) bool { return errors.Is(err, messenger.ErrUnsent) },
	})
	if err != nil {
		return err
	}
	if r.settings.Platform().IsValid() {
		r.state.watcher = &watcher{runner: r, client: provisioner.New(r.settings.Platform())}
	}
	if !r.settings.Has(settings.RoleKeeper) {
		return nil
	}
	r.state.keeper, err = keeper.New(keeper.Config{
		Journal: journalName, Name: r.settings.ID(), Folder: r.settings.Data(), Peers: peers,
		Clock: r.clock, Log: r.log.With("part", "keeper"), Call: r.messenger.Call, Register: r.messenger.Register,
		Applier: applier.New(),
	})
	return err
}

func (r *Runner) startKeeper() error {
	if r.state.keeper == nil {
		return nil
	}
	return r.state.keeper.Start()
}

func (r *Runner) startState() {
	r.state.proposer.Start()
	r.state.follower.start()
	if r.state.watcher != nil {
		r.state.watcher.start()
	}
}

func (r *Runner) stopState(ctx context.Context) {
	if r.state.watcher != nil {
		r.state.watcher.stop()
	}
	r.state.follower.stop()
	r.state.proposer.Stop()
	if r.state.keeper == nil {
		return
	}
	if err := r.state.keeper.Stop(ctx); err != nil {
		r.log.Error("keeper stopped", "err", err)
	}
}

var errNoRules = errors.New("no rules are in force here yet")

// inForce returns why the rules of this node may not be the ones in force.
func (r *Runner) inForce() error {
	if r.rules.revision() == 0 {
		return errNoRules
	}
	return nil
}

// setRules puts a revision in force. A lower one than that in force is passed
// over.
func (r *Runner) setRules(revision uint64, text string) {
	if revision <= r.rules.revision() {
		return
	}
	rules, err := parser.Parse(text)
	if err != nil {
		r.log.Error("accepted rules cannot be read", "revision", revision, "err", err)
		return
	}
	r.rules.set(revision, rules)
	r.table.SetRuled(ruledEndpoints(rules))
	r.log.Info("rules in force", "revision", revision, "hash", rules.Hash())
}

// follower reads the rules from the leader at an interval.
type follower struct {
	runner *Runner
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func (f *follower) start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.group.Add(1)
	go f.run(ctx)
}

func (f *follower) stop() {
	f.cancel()
	f.group.Wait()
}

func (f *follower) run(ctx context.Context) {
	defer f.group.Done()
	for {
		if revision, err := f.runner.state.proposer.Rules(ctx); err == nil && revision.Number > 0 {
			f.runner.setRules(revision.Number, revision.Text)
		}
		if !clock.Sleep(f.runner.clock, followInterval, ctx.Done()) {
			return
		}
	}
}
