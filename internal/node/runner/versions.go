package runner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"hyssoprudder/internal/connection/operator"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/controller"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/request/handler"
	"hyssoprudder/internal/version/judge"
	"hyssoprudder/internal/version/mover"
)

const (
	// guardAlpha bounds the probability of a false alarm by the guards of all entries in
	// one move.
	guardAlpha = 0.005
	// guardEntries is the maximum number of entries in a cell.
	guardEntries = 16
	// movesTimeout bounds one read of the moves.
	movesTimeout = time.Second
	// maxDigestBytes limits the size of a digest of the counts of moves.
	maxDigestBytes = 1000
	// idleRounds is the number of rounds between two reads of the moves while there is no
	// move without a verdict.
	idleRounds = 10
)

// versions applies moves at a node: it tracks their states, weights the versions for the
// router and counts how calls end. On keepers it also runs the controller.
type versions struct {
	runner          *Runner
	view            *mover.View
	recorder        *judge.Recorder
	controller      *controller.Controller // nil without the role keeper
	sequence        uint64
	roundsSinceRead int  // since the last read of the moves
	hasOpenMove     bool // a move had no verdict at the last read

	done  chan struct{}
	group sync.WaitGroup
}

func (r *Runner) buildVersions() {
	v := &versions{
		runner: r, view: mover.NewView(), done: make(chan struct{}),
		recorder: judge.NewRecorder(r.settings.ID(), r.incarnation, judge.GuardConfig(guardAlpha, guardEntries)),
	}
	r.versions = v
	if r.entry != nil {
		r.entry.router.VersionWeight = v.versionWeight
	}
	if r.state.keeper != nil {
		v.controller = controller.New(v.controllerConfig())
	}
}

func (v *versions) controllerConfig() controller.Config {
	r := v.runner
	config := controller.Config{
		Clock: r.clock, Log: r.log.With("part", "controller"), Core: controller.DefaultCoreConfig(),
		Lease: v.lease, Rules: r.rules.rules, Propose: r.state.keeper.Propose, Digests: v.digests,
		State:       v.readState,
		Instances:   v.instances,
		MarkLeaving: func(id string) { r.markLeaving(id, "controller") },
	}
	if r.entry != nil {
		config.InFlight = v.inFlight
	}
	if w := r.state.watcher; w != nil {
		config.Classes, config.Start, config.Release = w.client.Classes, w.client.Start, w.client.Release
		config.Load, config.Order, config.ReadOrder = w.client.LoadWeights, r.dialer.Order, r.dialer.CurrentOrder
	}
	return config
}

func (v *versions) start() {
	v.group.Add(1)
	go v.run()
	if v.controller != nil {
		v.controller.Start()
	}
}

func (v *versions) stop() {
	if v.controller != nil {
		v.controller.Stop()
	}
	close(v.done)
	v.group.Wait()
}

// run updates the view of the moves and publishes this entry's counts of calls.
func (v *versions) run() {
	defer v.group.Done()
	for clock.Sleep(v.runner.clock, judge.Interval, v.done) {
		if v.isReadDue() {
			v.readMoves()
		}
		for _, fault := range v.recorder.Check() {
			v.runner.log.Warn("new version gets no more calls here", "route", fault.Route, "kind", fault.Kind, "evidence", fault.Value)
		}
		if v.runner.entry != nil {
			v.publish()
		}
	}
}

// isReadDue reports whether to read the moves in this round: in every round while a move
// has no verdict or the rules list a move, and otherwise once in idleRounds rounds.
func (v *versions) isReadDue() bool {
	rules := v.runner.rules.rules()
	v.roundsSinceRead++
	if !v.hasOpenMove && (rules == nil || len(rules.Moves()) == 0) && v.roundsSinceRead < idleRounds {
		return false
	}
	v.roundsSinceRead = 0
	return true
}

// readMoves reads the moves. If that fails, the known states stay in use; a move without
// a verdict at its deadline counts as rolled back all the same.
func (v *versions) readMoves() {
	ctx, cancel := context.WithTimeout(context.Background(), movesTimeout)
	defer cancel()
	moves, err := v.runner.state.proposer.Moves(ctx)
	if err != nil {
		v.runner.log.Debug("moves not read; the known states stay in use", "err", err)
		return
	}
	changed := false
	v.hasOpenMove = false
	for _, m := range moves {
		state, err := mover.Decode(m.Body)
		if err != nil {
			v.runner.log.Error("state of a move can't be decoded; skipped", "service", m.Service, "err", err)
			continue
		}
		changed = v.view.Apply(state) || changed
		if state.Final() {
			v.recorder.Discard(state.Service)
			continue
		}
		v.hasOpenMove = true
		v.recorder.Follow(state.Subject(v.routeNames(state.Service)))
	}
	if changed {
		v.runner.refresh()
	}
}

func (v *versions) routeNames(service string) []string {
	var names []string
	if rules := v.runner.rules.rules(); rules != nil {
		for _, route := range rules.Routes() {
			if route.Service() == service {
				names = append(names, route.Name())
			}
		}
	}
	return names
}

func (v *versions) publish() {
	body, err := v.recorder.Encode(maxDigestBytes)
	if err == nil {
		v.sequence++
		err = v.runner.gossiper.Publish(digestMoves, v.sequence, body)
	}
	if err != nil {
		v.runner.log.Error("digest not published", "kind", digestMoves, "err", err)
	}
}

// digests returns the digests of the counts of this node and of the others.
func (v *versions) digests() [][]byte {
	var all [][]byte
	if own, err := v.recorder.Digest().Encode(); err == nil {
		all = append(all, own)
	}
	for _, d := range v.runner.gossiper.Digests(digestMoves) {
		all = append(all, d.Body())
	}
	return all
}

func (v *versions) lease() (uint64, time.Time, bool) {
	lease, ok := v.runner.state.keeper.Lease()
	return lease.Term(), lease.Until(), ok
}

func (v *versions) readState(ctx context.Context) ([]applier.Move, []applier.Intent, error) {
	moves, err := v.runner.state.proposer.Moves(ctx)
	if err != nil {
		return nil, nil, fmt.Errorf("read moves: %w", err)
	}
	intents, err := v.runner.state.proposer.Intents(ctx)
	if err != nil {
		return nil, nil, fmt.Errorf("read intents: %w", err)
	}
	return moves, intents, nil
}

func (v *versions) instances() ([]lister.Listed, bool) {
	r := v.runner
	var listed []lister.Listed
	for _, e := range r.table.All() {
		listed = append(listed, lister.Listed{Endpoint: e, Leaving: r.table.IsLeaving(e.ID())})
	}
	return listed, r.state.watcher != nil && r.state.watcher.isFresh()
}

// inFlight returns the number of calls in flight at an endpoint as this entry estimates it.
func (v *versions) inFlight(id string) int {
	load := v.runner.entry.observer.Load(id)
	return int(load.InFlight(v.runner.clock.Now()) + 0.5)
}

// versionWeight returns the weight of a version for a route's calls. A service without a
// move gives every version the weight 1.
func (v *versions) versionWeight(service, route, version string) float64 {
	now := v.runner.clock.Now()
	state, ok := v.view.State(service, now)
	if !ok {
		return 1
	}
	return v.view.Weight(service, version, v.isOnce(route), now, v.recorder.Tripped(service, state.ID()))
}

func (v *versions) isOnce(route string) bool {
	rules := v.runner.rules.rules()
	return rules != nil && slices.ContainsFunc(rules.Routes(), func(r parser.Route) bool {
		return r.Name() == route && r.Once()
	})
}

// usable returns the endpoints without the instances of new versions that their moves
// don't use yet.
func (v *versions) usable(all []lister.Endpoint) []lister.Endpoint {
	now := v.runner.clock.Now()
	for _, state := range v.view.States(now) {
		if state.Phase != mover.Moving {
			continue
		}
		var ids []string
		for _, e := range all {
			if e.Service() == state.Service && e.Version() == state.To && !v.runner.table.IsLeaving(e.ID()) {
				ids = append(ids, e.ID())
			}
		}
		used := state.InUse(ids)
		all = slices.DeleteFunc(slices.Clone(all), func(e lister.Endpoint) bool {
			return slices.Contains(ids, e.ID()) && !slices.Contains(used, e.ID())
		})
	}
	return all
}

func (v *versions) attemptStarted(e lister.Endpoint, route string) {
	v.recorder.Begin(e.Service(), route, e.Version())
}

// attemptEnded records the result of an attempt. Attempts at leaving endpoints are
// excluded, since a reclaim says nothing about the version.
func (v *versions) attemptEnded(e lister.Endpoint, route string, a handler.AttemptResult) {
	v.recorder.Record(e.Service(), route, e.Version(), judge.Result{
		Failed: a.Failed, Excluded: a.Excluded || v.runner.table.IsLeaving(e.ID()),
		First: a.First, Next: a.Next, Total: a.Total,
	})
}

// moves returns the moves for operators, as the leader has them.
func (r *Runner) moves(ctx context.Context) ([]operator.Move, error) {
	moves, err := r.state.proposer.Moves(ctx)
	if err != nil {
		return nil, proposeFault(err)
	}
	out := []operator.Move{}
	for _, m := range moves {
		state, err := mover.Decode(m.Body)
		if err != nil {
			return nil, fmt.Errorf("move of %s: %w", m.Service, err)
		}
		out = append(out, operatorMove(state.Effective(r.clock.Now()), r.clock.Now()))
	}
	return out, nil
}

// localMoves returns the moves in this node's view.
func (r *Runner) localMoves() []operator.Move {
	now := r.clock.Now()
	out := []operator.Move{}
	for _, state := range r.versions.view.States(now) {
		out = append(out, operatorMove(state, now))
	}
	return out
}

func operatorMove(s mover.State, now time.Time) operator.Move {
	out := operator.Move{
		Service: s.Service, From: s.From, To: s.To, Deadline: s.Deadline, Stage: "ended",
		Share: 100 * s.Share(now, false), Verdict: string(s.Phase), Reason: string(s.Reason),
	}
	if !s.Final() {
		out.Stage = fmt.Sprintf("step %d of %d", s.StepIndex, len(s.Steps)-1)
	}
	if s.Fault != nil {
		out.Reason = fmt.Sprintf("%s on route %s, evidence %.3g of %.3g", s.Fault.Kind, s.Fault.Route, s.Fault.Value, s.Fault.Limit)
	}
	return out
}

// abort rolls a move back. That is final also if the leader changes.
func (r *Runner) abort(ctx context.Context, service string) (operator.Move, error) {
	moves, err := r.state.proposer.Moves(ctx)
	if err != nil {
		return operator.Move{}, proposeFault(err)
	}
	i := slices.IndexFunc(moves, func(m applier.Move) bool { return m.Service == service })
	if i < 0 {
		return operator.Move{}, &operator.Fault{Code: operator.CodeNotFound, Message: "the service " + service + " has no move"}
	}
	state, err := mover.Decode(moves[i].Body)
	if err != nil {
		return operator.Move{}, fmt.Errorf("move of %s: %w", service, err)
	}
	now := r.clock.Now()
	next := state.Abort(now)
	if !state.Changed(next) {
		return operatorMove(state, now), nil
	}
	body, err := next.Encode()
	if err != nil {
		return operator.Move{}, fmt.Errorf("move of %s: %w", service, err)
	}
	result, err := r.state.proposer.Propose(ctx, applier.Command{MoveSet: &applier.MoveSet{
		ID: uuid.NewString(), Service: service, Base: moves[i].Number, Body: body,
	}})
	if err != nil {
		return operator.Move{}, proposeFault(err)
	}
	if !result.Move.Accepted {
		return operator.Move{}, &operator.Fault{Code: operator.CodeConflict, Message: "the move went on at the same time; abort again"}
	}
	return operatorMove(next, now), nil
}
