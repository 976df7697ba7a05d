package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hyssoprudder/internal/version/judge"
	"hyssoprudder/internal/version/mover"
)

const (
	tickInterval       = time.Second
	service            = "pumice"
	baseFailure        = 0.002
	instanceStartTicks = 15 // ticks until a started instance is ready
	maxLeaderGapTicks  = 6  // maximum number of ticks without a leader
	guardAlpha         = 0.005
	guardEntries       = 16
	evidentAfterHarmed = 10              // harmed calls after which a fault is evident
	lateAfter          = 5 * time.Second // time from then until harmed calls count as late
)

// world is the simulated environment of one move.
type world struct {
	scenario     Scenario
	rng          *rand.Rand
	now          time.Time
	startedAt    time.Time
	state        mover.State
	entries      []*entry
	leader       *leader
	term         uint64
	leaderAbsent int // remaining ticks without a leader
	ready        int
	starting     []int // remaining ticks until each starting instance is ready
	pending      []scheduled
	noise        [2]float64 // slowly varying latency noise of the old and the new version
	loadFactor   float64    // slow variation of the call rate and the latency
	evidentAt    time.Time  // when evidentAfterHarmed calls had been harmed
	result       Result
}

// entry is a simulated entry.
type entry struct {
	index       int
	incarnation uint64
	recorder    *judge.Recorder
	view        *mover.View
}

// scheduled is an action that runs at a later tick.
type scheduled struct {
	at  time.Time
	run func()
}

// Run simulates one move until its deadline.
func Run(s Scenario) Result {
	w := newWorld(s)
	for w.now.Before(w.state.Deadline) {
		w.step()
	}
	w.result.State = w.state.Effective(w.now)
	w.result.DecisionTime = w.result.State.Declared.Sub(w.startedAt)
	return w.result
}

func newWorld(s Scenario) *world {
	start := time.Date(2027, 1, 10, 5, 0, 0, 0, time.UTC)
	w := &world{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 0x9e3779b9)), now: start, startedAt: start, term: 1}
	w.state = mover.Begin(s.Config, mover.Request{
		Service: service, From: "12", To: "13", Deadline: start.Add(s.Window),
		Share: 0.02, Routes: moverRoutes(), Size: s.Size,
	}, start, w.term)
	for i := range s.Entries {
		e := &entry{index: i}
		e.restart()
		w.entries = append(w.entries, e)
		w.applyState(e, w.state)
	}
	w.leader = newLeader(w)
	return w
}

func (e *entry) restart() {
	e.incarnation++
	e.recorder = judge.NewRecorder(fmt.Sprint("entry", e.index), e.incarnation, judge.GuardConfig(guardAlpha, guardEntries))
	e.view = mover.NewView()
}

func (w *world) step() {
	w.now = w.now.Add(tickInterval)
	w.runPending()
	w.injectFaults()
	w.updateCapacity()
	w.generateTraffic()
	w.sendDigests()
	w.runLeader()
}

func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

func (w *world) after(ticks int, run func()) {
	w.pending = append(w.pending, scheduled{at: w.now.Add(time.Duration(ticks) * tickInterval), run: run})
}

func (w *world) runPending() {
	due := w.pending
	w.pending = nil
	for _, d := range due {
		if d.at.After(w.now) {
			w.pending = append(w.pending, d)
			continue
		}
		d.run()
	}
}

func (w *world) injectFaults() {
	chaos := w.scenario.Chaos
	if w.leader != nil && w.chance(chaos.LeaderKill) {
		w.leader = nil
		w.leaderAbsent = 1 + w.rng.IntN(maxLeaderGapTicks)
	}
	if w.chance(chaos.Reclaim) {
		w.ready = 0
		w.starting = nil
	}
	if w.chance(chaos.EntryCrash) {
		e := w.entries[w.rng.IntN(len(w.entries))]
		e.restart()
		w.applyState(e, w.state)
	}
}

// updateCapacity starts the required instances, which are ready after
// instanceStartTicks, and drops the ready instances above that number.
func (w *world) updateCapacity() {
	remaining := w.starting[:0]
	for _, ticks := range w.starting {
		if ticks <= 1 {
			w.ready++
			continue
		}
		remaining = append(remaining, ticks-1)
	}
	w.starting = remaining
	required := w.state.RequiredInstances(w.now)
	for w.ready+len(w.starting) < required {
		w.starting = append(w.starting, instanceStartTicks)
	}
	w.ready = min(w.ready, max(required, 0))
}

func (w *world) generateTraffic() {
	for i := range w.noise {
		w.noise[i] = 0.95*w.noise[i] + 0.05*w.rng.NormFloat64()
	}
	w.loadFactor = 1 + 0.25*math.Sin(w.now.Sub(w.startedAt).Seconds()/90)
	for range poisson(w.rng, w.scenario.Rate*w.loadFactor) {
		w.call()
	}
}

func (w *world) call() {
	e := w.entries[w.rng.IntN(len(w.entries))]
	r := pick(w.rng)
	tripped := w.scenario.Policy == Product && e.recorder.Tripped(service, w.state.ID())
	key := fmt.Sprint(w.rng.Uint64())
	version, _ := e.view.Version(service, r.once, key, w.now, tripped)
	toNew := version == "13" && w.ready > 0
	if !toNew {
		version = "12"
	}
	if w.scenario.OnCall != nil {
		w.scenario.OnCall(e.index, toNew, r.once, w.now)
	}
	w.result.Requests++
	e.recorder.Begin(service, r.name, version)
	e.recorder.Record(service, r.name, version, w.serve(r, toNew))
}

// serve returns the result of a call to a version. The load of an instance of the new
// version is 1 when it carries an equal share of the full traffic.
func (w *world) serve(r route, toNew bool) judge.Result {
	periodicSlowdown := 1 + valueIf(int(w.now.Sub(w.startedAt).Seconds())%97 < 4, 1.5)
	latencyFactor := periodicSlowdown * w.loadFactor
	failure := baseFailure
	versionFactor, noise := 1.0, w.noise[0]
	if toNew {
		w.result.ToNew++
		noise = w.noise[1]
		progress := w.now.Sub(w.startedAt).Seconds() / w.scenario.Window.Seconds()
		instances := float64(min(w.ready, max(w.state.Instances(), 1)))
		load := w.state.Share(w.now, r.once) * float64(w.scenario.Size) / instances
		faultFailure, faultFactor := w.scenario.Kind.effect(r, progress, load)
		versionFactor = faultFactor
		if w.rng.Float64() < faultFailure || faultFactor > 1 {
			w.countHarmed()
		}
		failure += faultFailure
	}
	first := time.Duration(float64(120*time.Millisecond) * latencyFactor * versionFactor * math.Exp(noise+0.4*w.rng.NormFloat64()))
	if r.once {
		return judge.Result{Failed: w.rng.Float64() < failure, Total: first / 4}
	}
	return judge.Result{Failed: w.rng.Float64() < failure, First: first, Next: first / 5, Total: first * 8}
}

func (w *world) countHarmed() {
	w.result.Harmed++
	if w.result.Harmed == evidentAfterHarmed {
		w.evidentAt = w.now
	}
	if w.result.Harmed > evidentAfterHarmed && w.now.Sub(w.evidentAt) > lateAfter {
		w.result.HarmedLate++
	}
}

// sendDigests sends the digests of the entries to the leader, with delay and loss.
func (w *world) sendDigests() {
	if w.state.Final() {
		return
	}
	for _, e := range w.entries {
		e.recorder.Check()
		if w.chance(w.scenario.Chaos.DigestLoss) {
			continue
		}
		b, err := e.recorder.Encode(1000)
		if err != nil {
			panic(err)
		}
		w.after(1+w.rng.IntN(2), func() { w.deliverDigest(b) })
	}
}

func (w *world) deliverDigest(b []byte) {
	if w.leader == nil {
		return
	}
	d, err := judge.DecodeDigest(b)
	if err != nil {
		panic(err)
	}
	w.leader.merge(d)
}

func (w *world) applyState(e *entry, s mover.State) {
	e.view.Apply(s)
	names := make([]string, 0, len(routes))
	for _, r := range routes {
		names = append(names, r.name)
	}
	e.recorder.Follow(s.Subject(names))
}

func (w *world) runLeader() {
	if w.leader == nil {
		w.leaderAbsent--
		if w.leaderAbsent > 0 {
			return
		}
		w.term++
		w.result.LeaderChanges++
		w.leader = newLeader(w)
	}
	w.propose(w.leader.nextState(w.state))
}

// propose writes a state by compare-and-set, subject to the faults of the scenario.
func (w *world) propose(next mover.State) {
	before, chaos := w.state, w.scenario.Chaos
	if !before.Changed(next) || w.chance(chaos.WriteLoss) {
		return
	}
	if w.chance(chaos.WriteDelay) {
		maxDelayTicks := int(w.scenario.Config.MaxCommitTime / tickInterval)
		w.after(1+w.rng.IntN(maxDelayTicks), func() { w.commit(before, next) })
		return
	}
	w.commit(before, next)
	if w.chance(chaos.AnswerLoss) {
		w.leader = nil
		w.leaderAbsent = 1
	}
}

func (w *world) commit(before, next mover.State) {
	if w.state.Changed(before) {
		return
	}
	w.state = next
	if w.scenario.OnCommit != nil {
		w.scenario.OnCommit(before, next, w.now)
	}
	for _, e := range w.entries {
		w.after(w.rng.IntN(w.scenario.Chaos.MaxStateDelay+1), func() { w.applyState(e, next) })
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), rng.Float64(), 0
	for product > limit {
		product *= rng.Float64()
		n++
	}
	return n
}
