package runner

import (
	"context"
	"errors"

	"hyssoprudder/internal/connection/messenger"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/fetcher"
	"hyssoprudder/internal/process/gossiper"
	"hyssoprudder/internal/process/parser"
)

// markIncarnation is the incarnation in all leaving marks. It is constant, since the
// provider gives an endpoint a new id at each start.
const markIncarnation = 1

// buildMembership creates the gossiper and the fetcher of the rules.
func (r *Runner) buildMembership() error {
	seeds := r.settings.Seeds()
	for _, k := range r.settings.Keepers() {
		seeds = append(seeds, k.Address())
	}
	roles := make([]string, 0, len(r.settings.Roles()))
	for _, role := range r.settings.Roles() {
		roles = append(roles, string(role))
	}
	var err error
	r.gossiper, err = gossiper.New(gossiper.Config{
		Settings: gossiper.Settings{
			ID: r.settings.ID(), Incarnation: r.incarnation, Domain: r.settings.Domain(), Cell: r.settings.Cell(),
			Roles: gossiper.ParseRoles(roles), Seeds: seeds, Timing: gossiper.DefaultTiming(),
		},
		Send: r.messenger.Send, Clock: r.clock, Log: r.log.With("part", "gossiper"), Registerer: r.registry,
		OnMark:       func(m gossiper.Mark) { r.markLeaving(m.Endpoint(), "gossip") },
		OnRevision:   func(v gossiper.Revision) { r.fetcher.ReceiveRevision(v) },
		OnSuperseded: func() { r.fail(errSuperseded) },
	})
	if err != nil {
		return err
	}
	r.messenger.HandleDatagrams(func(from messenger.Sender, body []byte) { r.gossiper.Receive(from, body) })
	config := fetcher.Config{
		MaxStaleness: r.settings.Limits().Freshness(), ReadLatest: r.readRules, Apply: r.setRules,
		Clock: r.clock, Log: r.log.With("part", "fetcher"),
	}
	config.Connect(r.messenger, r.gossiper)
	r.fetcher = fetcher.New(config)
	return r.messenger.Register(fetcher.ServiceName, r.fetcher.Service())
}

var errSuperseded = errors.New("another process runs under this node's id since a later time; stop one of them")

func (r *Runner) fail(err error) {
	select {
	case r.failed <- err:
	default:
	}
}

// readRules reads the current rules through the leader.
func (r *Runner) readRules(ctx context.Context) (fetcher.Body, error) {
	revision, err := r.state.proposer.Rules(ctx)
	return bodyOf(revision), err
}

func bodyOf(v applier.Revision) fetcher.Body {
	return fetcher.Body{Revision: gossiper.Revision{Number: v.Number, Term: v.Term, Hash: v.Hash}, Text: v.Text}
}

// setRules puts rules in force. The fetcher calls it in the order of the revisions.
func (r *Runner) setRules(b fetcher.Body) error {
	rules, err := parser.Parse(b.Text)
	if err != nil {
		return err
	}
	r.rules.set(b.Revision.Number, rules)
	r.table.SetFromRules(endpointsFromRules(rules))
	r.refresh()
	return nil
}

var errNoRules = errors.New("no rules are in force here yet")

// checkRules returns nil if the rules of this node are known to be the ones in force,
// and otherwise the reason why they may not be.
func (r *Runner) checkRules() error {
	if err := r.fetcher.Ready(); err != nil {
		return err
	}
	if r.rules.revision() == 0 {
		return errNoRules
	}
	return nil
}

// markLeaving marks an endpoint as leaving, so that it gets no new work. It sends the mark
// to the other nodes unless it was received from them.
func (r *Runner) markLeaving(endpoint, source string) {
	if !r.table.MarkLeaving(endpoint, r.clock.Now()) {
		return
	}
	r.log.Info("endpoint leaving", "endpoint", endpoint, "source", source)
	r.refresh()
	if source != "gossip" {
		r.gossiper.MarkLeaving(endpoint, markIncarnation)
	}
}

// entries returns the ids of the other entries that are alive.
func (r *Runner) entries() []string {
	var ids []string
	for _, m := range r.gossiper.Members() {
		if m.ID() != r.settings.ID() && m.State() == gossiper.Alive && m.Roles().Has(gossiper.Entry) {
			ids = append(ids, m.ID())
		}
	}
	return ids
}

// callNode calls another node by its id.
func (r *Runner) callNode(ctx context.Context, node, method string, args, reply any) error {
	m, ok := r.gossiper.Member(node)
	if !ok {
		return errors.New("no member has the id " + node)
	}
	return r.messenger.Call(ctx, m.Address(), method, args, reply)
}

// offerer passes the revisions that this keeper commits to the fetcher. Revisions that
// are superseded before they are passed on are dropped.
type offerer struct {
	runner  *Runner
	newest  chan applier.Revision
	done    chan struct{}
	stopped chan struct{}
}

func newOfferer(r *Runner) *offerer {
	return &offerer{runner: r, newest: make(chan applier.Revision, 1), done: make(chan struct{}), stopped: make(chan struct{})}
}

// put replaces the revision that is not passed on yet. It doesn't block, provided that
// only one goroutine calls it.
func (o *offerer) put(v applier.Revision) {
	select {
	case <-o.newest:
	default:
	}
	o.newest <- v
}

func (o *offerer) run() {
	defer close(o.stopped)
	for {
		select {
		case v := <-o.newest:
			// The fetcher logs the revisions that it refuses.
			_ = o.runner.fetcher.Offer(bodyOf(v))
		case <-o.done:
			return
		}
	}
}

func (o *offerer) stop() {
	close(o.done)
	<-o.stopped
}
