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
	tick            = time.Second
	service         = "pumice"
	baseFailure     = 0.002
	instanceStart   = 15 // ticks until a wanted instance is ready
	leaderGap       = 6  // ticks without a leader, at most
	guardAlpha      = 0.005
	guardEntries    = 16
	showAfterHarmed = 10
	showWithin      = 5 * time.Second
)

type world struct {
	scenario Scenario
	rng      *rand.Rand
	now      time.Time
	begun    time.Time
	state    mover.State
	entries  []*entry
	leader   *leader
	term     uint64
	absent   int // ticks until there is a leader
	ready    int
	starting []int // ticks until each starting instance is ready
	pending  []delayed
	noise    [2]float64 // slowly varying load of the old and the new version
	wave     float64
	shownAt  time.Time
	result   Result
}

type entry struct {
	index       int
	incarnation uint64
	recorder    *judge.Recorder
	view        *mover.View
}

type delayed struct {
	at  time.Time
	run func()
}

// Run plays one move to its deadline.
func Run(s Scenario) Result {
	w := newWorld(s)
	for w.now.Before(w.state.Deadline) {
		w.step()
	}
	w.result.State = w.state.Effective(w.now)
	w.result.Decided = w.result.State.Declared.Sub(w.begun)
	return w.result
}

func newWorld(s Scenario) *world {
	start := time.Date(2027, 1, 10, 5, 0, 0, 0, time.UTC)
	w := &world{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 0x9e3779b9)), now: start, begun: start, term: 1}
	w.state = mover.Begin(s.Config, mover.Request{
		Service: service, From: "12", To: "13", Deadline: start.Add(s.Window),
		Share: 0.02, Routes: moverRoutes(), Size: s.Size,
	}, start, w.term)
	for i := range s.Entries {
		e := &entry{index: i}
		e.restart()
		w.entries = append(w.entries, e)
		w.show(e, w.state)
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
	w.now = w.now.Add(tick)
	w.runPending()
	w.disturb()
	w.capacity()
	w.traffic()
	w.gossip()
	w.lead()
}

func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

func (w *world) after(ticks int, run func()) {
	w.pending = append(w.pending, delayed{at: w.now.Add(time.Duration(ticks) * tick), run: run})
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

func (w *world) disturb() {
	chaos := w.scenario.Chaos
	if w.leader != nil && w.chance(chaos.LeaderKill) {
		w.leader = nil
		w.absent = 1 + w.rng.IntN(leaderGap)
	}
	if w.chance(chaos.Reclaim) {
		w.ready = 0
		w.starting = nil
	}
	if w.chance(chaos.EntryCrash) {
		e := w.entries[w.rng.IntN(len(w.entries))]
		e.restart()
		w.show(e, w.state)
	}
}

// capacity starts the wanted instances; they are ready after a while.
func (w *world) capacity() {
	kept := w.starting[:0]
	for _, left := range w.starting {
		if left <= 1 {
			w.ready++
			continue
		}
		kept = append(kept, left-1)
	}
	w.starting = kept
	wanted := w.state.RequiredInstances(w.now)
	for w.ready+len(w.starting) < wanted {
		w.starting = append(w.starting, instanceStart)
	}
	w.ready = min(w.ready, max(wanted, 0))
}

func (w *world) traffic() {
	for i := range w.noise {
		w.noise[i] = 0.95*w.noise[i] + 0.05*w.rng.NormFloat64()
	}
	w.wave = 1 + 0.25*math.Sin(w.now.Sub(w.begun).Seconds()/90)
	for range poisson(w.rng, w.scenario.Rate*w.wave) {
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
	if w.scenario.Call != nil {
		w.scenario.Call(e.index, toNew, r.once, w.now)
	}
	w.result.Requests++
	e.recorder.Begin(service, r.name, version)
	e.recorder.Record(service, r.name, version, w.serve(r, toNew))
}

// serve returns how a version answers a call. The load of an instance of the
// new version is 1 when it carries its share of the whole traffic.
func (w *world) serve(r route, toNew bool) judge.Result {
	hiccup := 1 + when(int(w.now.Sub(w.begun).Seconds())%97 < 4, 1.5)
	stretch := hiccup * w.wave
	failure := baseFailure
	slower, noise := 1.0, w.noise[0]
	if toNew {
		w.result.ToNew++
		noise = w.noise[1]
		progress := w.now.Sub(w.begun).Seconds() / w.scenario.Window.Seconds()
		used := float64(min(w.ready, max(w.state.Instances(), 1)))
		load := w.state.Share(w.now, r.once) * float64(w.scenario.Size) / used
		harm, slow := w.scenario.Kind.harm(r, progress, load)
		slower = slow
		if w.rng.Float64() < harm || slow > 1 {
			w.harmed()
		}
		failure += harm
	}
	first := time.Duration(float64(120*time.Millisecond) * stretch * slower * math.Exp(noise+0.4*w.rng.NormFloat64()))
	if r.once {
		return judge.Result{Failed: w.rng.Float64() < failure, Total: first / 4}
	}
	return judge.Result{Failed: w.rng.Float64() < failure, First: first, Next: first / 5, Total: first * 8}
}

func (w *world) harmed() {
	w.result.Harmed++
	if w.result.Harmed == showAfterHarmed {
		w.shownAt = w.now
	}
	if w.result.Harmed > showAfterHarmed && w.now.Sub(w.shownAt) > showWithin {
		w.result.AfterShow++
	}
}

// gossip carries the digests of the entries to the leader.
func (w *world) gossip() {
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
		w.after(1+w.rng.IntN(2), func() { w.hear(b) })
	}
}

func (w *world) hear(b []byte) {
	if w.leader == nil {
		return
	}
	d, err := judge.DecodeDigest(b)
	if err != nil {
		panic(err)
	}
	w.leader.hear(d)
}

func (w *world) show(e *entry, s mover.State) {
	e.view.Apply(s)
	names := make([]string, 0, len(routes))
	for _, r := range routes {
		names = append(names, r.name)
	}
	e.recorder.Follow(s.Subject(names))
}

func (w *world) lead() {
	if w.leader == nil {
		w.absent--
		if w.absent > 0 {
			return
		}
		w.term++
		w.result.Leaders++
		w.leader = newLeader(w)
	}
	w.propose(w.leader.next(w.state))
}

// propose writes a state by compare-and-set, with the faults of the scenario.
func (w *world) propose(next mover.State) {
	before, chaos := w.state, w.scenario.Chaos
	if !before.Changed(next) || w.chance(chaos.WriteLoss) {
		return
	}
	if w.chance(chaos.WriteDelay) {
		longest := int(w.scenario.Config.MaxCommitTime / tick)
		w.after(1+w.rng.IntN(longest), func() { w.commit(before, next) })
		return
	}
	w.commit(before, next)
	if w.chance(chaos.AnswerLoss) {
		w.leader = nil
		w.absent = 1
	}
}

func (w *world) commit(before, next mover.State) {
	if w.state.Changed(before) {
		return
	}
	w.state = next
	if w.scenario.Watch != nil {
		w.scenario.Watch(before, next, w.now)
	}
	for _, e := range w.entries {
		w.after(w.rng.IntN(w.scenario.Chaos.StateDelays+1), func() { w.show(e, next) })
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
