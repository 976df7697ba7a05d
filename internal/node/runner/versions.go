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
	// guardAlpha bounds the false alarms of all entries' guards in one move.
	guardAlpha = 0.005
	// guardEntries is the most entries in a cell.
	guardEntries = 16
	// movesTimeout bounds one reading of the moves.
	movesTimeout = time.Second
	// moveDigest is the size of a digest, in bytes.
	moveDigest = 1000
	// idleRounds is how many rounds pass between two readings of the moves
	// while no move is under way.
	idleRounds = 10
)

// versions is the part of a node that concerns version moves and capacity.
type versions struct {
	runner     *Runner
	view       *mover.View
	recorder   *judge.Recorder
	controller *controller.Controller // nil without the role keeper
	serial     uint64
	round      int  // since the last reading of the moves
	open       bool // a move had no verdict at the last reading

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
		r.entry.router.VersionWeight = v.weigh
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
		MarkLeaving: func(id string) { r.leave(id, "controller") },
	}
	if r.entry != nil {
		config.InFlight = v.inflight
	}
	if w := r.state.watcher; w != nil {
		config.Classes, config.Start, config.Release = w.client.Classes, w.client.Start, w.client.Release
		config.Load, config.Order, config.ReadOrder = w.client.Load, r.dialer.Order, r.dialer.CurrentOrder
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

// run keeps the entry's view of the moves up to date and publishes its counters.
func (v *versions) run() {
	defer v.group.Done()
	for clock.Sleep(v.runner.clock, judge.Interval, v.done) {
		if v.isReadDue() {
			v.follow()
		}
		for _, fault := range v.recorder.Check() {
			v.runner.log.Warn("new version gets no more calls here", "route", fault.Route, "kind", fault.Kind, "evidence", fault.Value)
		}
		if v.runner.entry != nil {
			v.publish()
		}
	}
}

// isReadDue reports whether to read the moves in this round: in each round while
// a move is under way or the rules ask for one, else now and then.
func (v *versions) isReadDue() bool {
	rules := v.runner.rules.rules()
	v.round++
	if !v.open && (rules == nil || len(rules.Moves()) == 0) && v.round < idleRounds {
		return false
	}
	v.round = 0
	return true
}

// follow reads the moves. If that fails, what is known stays; a move that has
// no verdict in time counts as taken back all the same.
func (v *versions) follow() {
	ctx, cancel := context.WithTimeout(context.Background(), movesTimeout)
	defer cancel()
	moves, err := v.runner.state.proposer.Moves(ctx)
	if err != nil {
		v.runner.log.Debug("moves kept", "err", err)
		return
	}
	news := false
	v.open = false
	for _, m := range moves {
		state, err := mover.Decode(m.Body)
		if err != nil {
			v.runner.log.Error("move passed over", "service", m.Service, "err", err)
			continue
		}
		news = v.view.Apply(state) || news
		if state.Final() {
			v.recorder.Discard(state.Service)
			continue
		}
		v.open = true
		v.recorder.Follow(state.Subject(v.routes(state.Service)))
	}
	if news {
		v.runner.refresh()
	}
}

func (v *versions) routes(service string) []string {
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
	body, err := v.recorder.Encode(moveDigest)
	if err == nil {
		v.serial++
		err = v.runner.gossiper.Publish(digestMoves, v.serial, body)
	}
	if err != nil {
		v.runner.log.Error("digest not published", "kind", digestMoves, "err", err)
	}
}

// digests returns the counters of this node and of the others.
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
		listed = append(listed, lister.Listed{Endpoint: e, Leaving: r.table.Leaving(e.ID())})
	}
	return listed, r.state.watcher != nil && r.state.watcher.isFresh()
}

// inflight returns the calls that run at an endpoint as far as this entry knows.
func (v *versions) inflight(id string) int {
	load := v.runner.entry.observer.Load(id)
	return int(load.InFlight(v.runner.clock.Now()) + 0.5)
}

// weigh tells the router which share of a route's calls a version gets.
func (v *versions) weigh(service, route, version string) float64 {
	now := v.runner.clock.Now()
	state, ok := v.view.State(service, now)
	if !ok {
		return 1
	}
	return v.view.Weight(service, version, v.once(route), now, v.recorder.Tripped(service, state.ID()))
}

func (v *versions) once(route string) bool {
	rules := v.runner.rules.rules()
	return rules != nil && slices.ContainsFunc(rules.Routes(), func(r parser.Route) bool {
		return r.Name() == route && r.Once()
	})
}

// usable leaves out the instances of a new version that are not in use yet.
func (v *versions) usable(all []lister.Endpoint) []lister.Endpoint {
	now := v.runner.clock.Now()
	for _, state := range v.view.States(now) {
		if state.Phase != mover.Moving {
			continue
		}
		var ids []string
		for _, e := range all {
			if e.Service() == state.Service && e.Version() == state.To && !v.runner.table.Leaving(e.ID()) {
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

func (v *versions) began(e lister.Endpoint, route string) {
	v.recorder.Begin(e.Service(), route, e.Version())
}

// ended counts how a call to an endpoint ended. A reclaim says nothing about
// the version.
func (v *versions) ended(e lister.Endpoint, route string, a handler.AttemptResult) {
	v.recorder.Record(e.Service(), route, e.Version(), judge.Result{
		Failed: a.Failed, Excluded: a.Excluded || v.runner.table.Leaving(e.ID()),
		First: a.First, Next: a.Next, Total: a.Total,
	})
}

// moves returns the version moves for operators.
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

// seenMoves returns the moves as this node knows them.
func (r *Runner) seenMoves() []operator.Move {
	now := r.clock.Now()
	out := []operator.Move{}
	for _, state := range r.versions.view.States(now) {
		out = append(out, operatorMove(state, now))
	}
	return out
}

func operatorMove(s mover.State, now time.Time) operator.Move {
	out := operator.Move{
		Service: s.Service, From: s.From, To: s.To, By: s.Deadline, Stage: "ended",
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

// abort takes a move back. It is final, whoever leads.
func (r *Runner) abort(ctx context.Context, service string) (operator.Move, error) {
	moves, err := r.state.proposer.Moves(ctx)
	if err != nil {
		return operator.Move{}, proposeFault(err)
	}
	at := slices.IndexFunc(moves, func(m applier.Move) bool { return m.Service == service })
	if at < 0 {
		return operator.Move{}, &operator.Fault{Code: operator.CodeMissing, Message: "the service " + service + " has no move"}
	}
	state, err := mover.Decode(moves[at].Body)
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
		ID: uuid.NewString(), Service: service, Base: moves[at].Number, Body: body,
	}})
	if err != nil {
		return operator.Move{}, proposeFault(err)
	}
	if !result.Move.Accepted {
		return operator.Move{}, &operator.Fault{Code: operator.CodeConflict, Message: "the move went on at the same time; abort again"}
	}
	return operatorMove(next, now), nil
}
