package runner

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"hyssoprudder/internal/connection/messenger"
	"hyssoprudder/internal/connection/provisioner"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/process/proposer"
	"hyssoprudder/internal/process/settings"
)

// journalName is the name of the replicated log of rules, moves, intents and claims.
const journalName = "main"

// retireAfter is how long a keeper may be unreachable before it is removed from the log's
// members, so that keepers that were replaced under another name don't count in quorums. It is
// longer than a restart takes.
const retireAfter = 15 * time.Second

// stateComponents holds the components of a node that read and write the replicated state
// and the endpoint list.
type stateComponents struct {
	keeper   *keeper.Keeper // nil without the role keeper
	offerer  *offerer       // nil without the role keeper
	proposer *proposer.Proposer
	watcher  *watcher // nil if the settings name no provider
}

func (r *Runner) buildState() error {
	var peers []keeper.Peer
	var addresses []netip.AddrPort
	for _, k := range r.settings.Keepers() {
		peers = append(peers, keeper.Peer{Name: k.Name(), Address: k.Address()})
		addresses = append(addresses, k.Address())
	}
	r.state = &stateComponents{}
	var err error
	r.state.proposer, err = proposer.New(proposer.Config{
		Journal: journalName, Keepers: addresses, Clock: r.clock, Log: r.log.With("part", "proposer"), Call: r.messenger.Call,
		IsNotRun: func(err error) bool { return errors.Is(err, messenger.ErrUnsent) || errors.Is(err, messenger.ErrBusy) },
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
	state := applier.New()
	r.state.offerer = newOfferer(r)
	state.OnRevision(r.state.offerer.put)
	r.state.keeper, err = keeper.New(keeper.Config{
		Journal: journalName, Name: r.settings.ID(), Folder: r.settings.Data(), Peers: peers, RetireAfter: retireAfter,
		Clock: r.clock, Log: r.log.With("part", "keeper"), Call: r.messenger.Call, Register: r.messenger.Register,
		Applier: state,
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
	r.gossiper.Start(r.messenger.Address())
	r.state.proposer.Start()
	r.fetcher.Start()
	if r.state.offerer != nil {
		go r.state.offerer.run()
	}
	if r.state.watcher != nil {
		r.state.watcher.start()
	}
}

// stopState stops the components of the replicated state. The node leaves the membership
// last, after its keeper has transferred the leadership.
func (r *Runner) stopState(ctx context.Context) {
	if r.state.watcher != nil {
		r.state.watcher.stop()
	}
	if r.state.keeper != nil {
		if err := r.state.keeper.Stop(ctx); err != nil {
			r.log.Error("keeper stopped with an error", "err", err)
		}
		r.state.offerer.stop()
	}
	r.fetcher.Stop()
	r.state.proposer.Stop()
	r.gossiper.Depart(ctx)
}
