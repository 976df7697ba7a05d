package assembler

import (
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/placer"
	"hyssoprudder/internal/version/judge"
	"hyssoprudder/internal/version/mover"
)

const (
	// guardAlpha bounds the probability of a false alarm by the guards of all entries in
	// one move.
	guardAlpha = 0.005
	// guardEntries is the number of entries up to which guardAlpha holds.
	guardEntries = 100
	// maxCountsBytes limits the counts of moves in an entry's report.
	maxCountsBytes = 1200
)

// versions applies moves at an entry: it splits calls between the versions and counts how
// they end. It stops sending calls to a version that fails at this entry without waiting
// for the leader.
type versions struct {
	log      *log.Logger
	now      func() time.Time // cluster time
	view     *mover.View
	recorder *judge.Recorder

	mu      sync.Mutex
	movesID uint64 // of the moves that the view has
}

func newVersions(entry string, incarnation uint64, now func() time.Time, l *log.Logger) *versions {
	return &versions{
		log: l, now: now, view: mover.NewView(),
		recorder: judge.NewRecorder(entry, incarnation, judge.GuardConfig(guardAlpha, guardEntries)),
	}
}

// apply applies the states of moves in a directive.
func (v *versions) apply(d *coordinator.Directive, table *registrar.Table) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if d.MovesID == v.movesID {
		return
	}
	for _, raw := range d.Moves {
		state, err := mover.Decode(raw)
		if err != nil {
			v.log.Error("state of a move can't be decoded; the previous state stays in use", "err", err)
			continue
		}
		if !v.view.Apply(state) {
			continue
		}
		v.log.Info("traffic split by version", "service", state.Service, "version", state.To, "phase", state.Phase, "step", state.StepIndex,
			"share", state.Share(v.now(), false), "once", state.Share(v.now(), true))
		if state.Final() || state.IsInPlace() {
			v.recorder.Discard(state.Service)
		} else if table != nil {
			v.recorder.Follow(state.Subject(routeNames(table, state.Service)))
		}
	}
	v.movesID = d.MovesID
}

func routeNames(table *registrar.Table, service string) []string {
	var names []string
	for _, r := range table.RoutesTo(service) {
		names = append(names, r.Name)
	}
	return names
}

// moveRoutes returns the routes to a service as the mover expects them.
func moveRoutes(table *registrar.Table, service string) []mover.Route {
	var routes []mover.Route
	if table == nil {
		return nil
	}
	for _, r := range table.RoutesTo(service) {
		routes = append(routes, mover.NewRoute(r.Name, !r.IsRepeatable()))
	}
	return routes
}

// report adds the moves and their counts to a report.
func (v *versions) report(r *coordinator.Report) {
	v.mu.Lock()
	r.MovesID = v.movesID
	v.mu.Unlock()
	if r.MovesID == 0 || !slices.ContainsFunc(v.view.States(v.now()), func(s mover.State) bool { return !s.Final() }) {
		return
	}
	counts, err := v.recorder.Encode(maxCountsBytes)
	if err != nil {
		v.log.Error("counts of moves are not reported; the leader decides without them", "err", err)
		return
	}
	r.Counts = counts
}

// choose returns the versions that may serve a call; see mover.State.Restriction.
func (v *versions) choose(service string, isOnce bool, random float64) forwarder.Version {
	now := v.now()
	state, ok := v.view.State(service, now)
	if !ok {
		return forwarder.Version{}
	}
	return forwarder.Version(state.Restriction(now, isOnce, random, v.recorder.Tripped(service, state.ID())))
}

// attemptStarted counts an attempt that starts.
func (v *versions) attemptStarted(route string, e placer.Endpoint) {
	if version, ok := v.versionOf(e); ok {
		v.recorder.Begin(e.Service, route, version)
	}
}

// attemptEnded records the result of an attempt. Attempts at leaving endpoints are
// excluded from the comparison of versions.
func (v *versions) attemptEnded(r *forwarder.AttemptResult, isLeaving func(id string) bool) {
	version, ok := v.versionOf(r.Endpoint)
	if !ok {
		return
	}
	v.recorder.Record(r.Endpoint.Service, r.Route, version, judge.Result{
		Failed: r.IsFailed, Excluded: r.IsExcluded || isLeaving(r.Endpoint.ID), First: r.First, Next: r.Next, Total: r.Total,
	})
}

// versionOf returns the version of an endpoint, and whether its service has a move without
// a verdict that compares it. Every version but the new one and the rejected ones counts as
// the old one.
func (v *versions) versionOf(e placer.Endpoint) (string, bool) {
	state, ok := v.view.State(e.Service, v.now())
	if !ok || state.Final() || state.IsInPlace() || state.IsRejected(e.Version) {
		return "", false
	}
	if e.Version == state.To {
		return state.To, true
	}
	return state.From, true
}

// check logs the faults of new versions that this entry detected from its own calls.
func (v *versions) check() {
	for _, fault := range v.recorder.Check() {
		v.log.Warn("new version gets no more calls from here; the leader rolls the move back", "route", fault.Route, "kind", fault.Kind, "evidence", fault.Value)
	}
}
