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
	// guardAlpha bounds the false alarms of all entries' guards in one move.
	guardAlpha = 0.005
	// guardEntries is the number of entries up to which that holds.
	guardEntries = 100
	// maxCounts bounds what an entry reports of moves, in bytes.
	maxCounts = 1200
)

// versions is an entry's part in moves: it divides calls among versions, counts
// how they end, and stops calls to a version that fails here by itself.
type versions struct {
	log      *log.Logger
	now      func() time.Time // agreed time of day
	view     *mover.View
	recorder *judge.Recorder

	mu sync.Mutex
	id uint64 // of the moves in view
}

func newVersions(entry string, incarnation uint64, now func() time.Time, l *log.Logger) *versions {
	return &versions{
		log: l, now: now, view: mover.NewView(),
		recorder: judge.NewRecorder(entry, incarnation, judge.GuardConfig(guardAlpha, guardEntries)),
	}
}

// take takes over the states that came with a directive.
func (v *versions) take(d *coordinator.Directive, table *registrar.Table) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if d.MovesID == v.id {
		return
	}
	for _, raw := range d.Moves {
		state, err := mover.Decode(raw)
		if err != nil {
			v.log.Error("state of a move can't be decoded; the last one stays in use", "err", err)
			continue
		}
		if !v.view.Apply(state) {
			continue
		}
		v.log.Info("calls divided by version", "service", state.Service, "version", state.To, "phase", state.Phase, "step", state.StepIndex,
			"share", state.Share(v.now(), false), "once", state.Share(v.now(), true))
		if state.Final() {
			v.recorder.Discard(state.Service)
		} else if table != nil {
			v.recorder.Follow(state.Subject(routeNames(table, state.Service)))
		}
	}
	v.id = d.MovesID
}

func routeNames(table *registrar.Table, service string) []string {
	var names []string
	for _, r := range table.RoutesTo(service) {
		names = append(names, r.Name)
	}
	return names
}

// moveRoutes returns the routes to a service as the mover needs them.
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

// report completes a report.
func (v *versions) report(r *coordinator.Report) {
	v.mu.Lock()
	r.MovesID = v.id
	v.mu.Unlock()
	if r.MovesID == 0 || !slices.ContainsFunc(v.view.States(v.now()), func(s mover.State) bool { return !s.Final() }) {
		return
	}
	counts, err := v.recorder.Encode(maxCounts)
	if err != nil {
		v.log.Error("counts of moves are not reported; the leader judges without them", "err", err)
		return
	}
	r.Counts = counts
}

// choose returns the versions that a call may go to.
func (v *versions) choose(service string, isOnce bool, point float64) forwarder.Version {
	now := v.now()
	state, ok := v.view.State(service, now)
	switch {
	case !ok:
		return forwarder.Version{}
	case state.Phase == mover.Done:
		return forwarder.Version{Wanted: state.To}
	case state.Phase == mover.RolledBack || v.recorder.Tripped(service, state.ID()):
		return forwarder.Version{Unwanted: state.To}
	case point < state.Share(now, isOnce):
		return forwarder.Version{Wanted: state.To}
	}
	return forwarder.Version{Unwanted: state.To}
}

// sent counts an attempt that begins.
func (v *versions) sent(route string, e placer.Endpoint) {
	if version, ok := v.versionOf(e); ok {
		v.recorder.Begin(e.Service, route, version)
	}
}

// tried counts how an attempt ended.
func (v *versions) tried(t *forwarder.AttemptResult, isLeaving func(id string) bool) {
	version, ok := v.versionOf(t.Endpoint)
	if !ok {
		return
	}
	v.recorder.Record(t.Endpoint.Service, t.Route, version, judge.Result{
		Failed: t.IsFailed, Excluded: t.IsExcluded || isLeaving(t.Endpoint.ID), First: t.First, Next: t.Next, Total: t.Total,
	})
}

// versionOf returns the version of an endpoint whose service moves. All versions
// but the new one count as the old.
func (v *versions) versionOf(e placer.Endpoint) (string, bool) {
	state, ok := v.view.State(e.Service, v.now())
	if !ok || state.Final() {
		return "", false
	}
	if e.Version == state.To {
		return state.To, true
	}
	return state.From, true
}

// check looks for faults that this entry has seen clearly by itself.
func (v *versions) check() {
	for _, fault := range v.recorder.Check() {
		v.log.Warn("new version gets no more calls from here; the leader takes the move back", "route", fault.Route, "kind", fault.Kind, "evidence", fault.Value)
	}
}
