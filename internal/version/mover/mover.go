package mover

import (
	"errors"
	"math"
	"time"

	"hyssoprudder/internal/version/judge"
)

const (
	// maxWait is the longest wait for calls that a step is given, in seconds.
	maxWait = 1e6
	// rateWindow divides the window of a move: a leader watches a step for that
	// part before it works out a rate of calls.
	rateWindow = 4
)

var errBadState = errors.New("malformed state of a move")

// Config holds the pace of moves.
type Config struct {
	// Ladder are the shares of repeatable calls after the first step.
	Ladder []float64
	// OnceLadder are the shares of calls that run once, after the whole of
	// Ladder.
	OnceLadder []float64
	// Dwell is the shortest time in a step.
	Dwell time.Duration
	// Spread is the part of the window over which the steps are spread; the
	// rest is left for delays.
	Spread float64
	// Reserve is the time between the last moment for a verdict and the
	// deadline. It covers the difference between the clocks of nodes.
	Reserve time.Duration
	// Proposal is the longest time from a proposal to its commit.
	Proposal time.Duration
	// Calls is the number of finished calls on the new version that a step
	// with the whole traffic needs; smaller steps need fewer, by the root of
	// their share, and at least LeastCalls.
	Calls, LeastCalls float64
	// Drain is how long nearly all calls go to the new version before a move is
	// done, where the old instances end at once then. 0 leaves the step out.
	Drain time.Duration
	// Exposure is the part of all calls between the order and the deadline that may
	// go to a version that turns out bad, Slack a number of calls beyond it. With
	// either, the shares of the first steps follow from the rate of calls.
	Exposure, Slack float64
	// Overload is the factor by which live instances may fall short of a
	// step's number before the step is given up.
	Overload float64
	// Judge holds the bounds of the judge on the leader.
	Judge judge.Config
}

// DefaultConfig returns the pace that the product uses.
func DefaultConfig() Config {
	return Config{
		Ladder:     []float64{0.1, 0.25, 0.5},
		OnceLadder: []float64{0.1, 0.5},
		Dwell:      10 * time.Second,
		Spread:     0.7,
		Reserve:    10 * time.Second,
		Proposal:   5 * time.Second,
		Calls:      60,
		LeastCalls: 12,
		Overload:   1.25,
		Judge:      judge.DefaultConfig(),
	}
}

// Route is a route to the service that moves.
type Route struct {
	name string
	once bool
}

// NewRoute returns a route; once is true if its calls may run at most once.
func NewRoute(name string, once bool) Route { return Route{name: name, once: once} }

// Name returns the name of the route.
func (r Route) Name() string { return r.name }

// Request is what the rules ask for.
type Request struct {
	Service  string
	From, To string
	By       time.Time
	// Share is the share of the first step, from 0 to 1.
	Share  float64
	Routes []Route
	// Size is the number of instances that serve all of the traffic.
	Size int
}

// Begin returns the first state of a move.
func Begin(config Config, r Request, now time.Time, term uint64) State {
	return State{
		Service: r.Service, From: r.From, To: r.To,
		By: r.By, Until: r.By.Add(-config.Reserve),
		Begun: now, Since: now,
		Steps: steps(config, r),
		Epoch: 1, Term: term, Size: r.Size, Phase: Moving,
	}
}

func steps(config Config, r Request) []Step {
	var repeatable, once bool
	for _, route := range r.Routes {
		repeatable = repeatable || !route.once
		once = once || route.once
	}
	if !once {
		repeatable = true // a move without a step would try nothing
	}
	plan := []Step{{}}
	if repeatable {
		if r.Share > 0 && r.Share < config.Ladder[0] {
			plan = append(plan, Step{Repeatable: r.Share})
		}
		for _, share := range config.Ladder {
			plan = append(plan, Step{Repeatable: share})
		}
	}
	if once {
		top := plan[len(plan)-1].Repeatable
		if !repeatable && r.Share > 0 && r.Share < config.OnceLadder[0] {
			plan = append(plan, Step{Once: r.Share})
		}
		for _, share := range config.OnceLadder {
			plan = append(plan, Step{Repeatable: top, Once: share})
		}
	}
	if config.Drain > 0 {
		plan = append(plan, drainStep)
	}
	return plan
}

// Observation is what the leader sees besides the digests of the entries.
type Observation struct {
	Now time.Time
	// Withdrawn is true if no rule asks for the move any more.
	Withdrawn bool
	// Ready is the number of live instances of the new version.
	Ready int
}

// Mover decides the next state of one move, as long as its node leads. It is
// not safe for concurrent use.
type Mover struct {
	config Config
	term   uint64
	routes []Route
	judge  *judge.Judge
	tally  *judge.Tally
	first  time.Time // when this leader first saw the present step
}

// New returns the mover of a leader for a move. The state decides which part
// of alpha this leader may spend.
func New(config Config, s State, routes []Route, term uint64) *Mover {
	reign := s.Reign
	if s.Term != term {
		reign++
	}
	bounds := config.Judge
	bounds.Alpha = judge.Reign(bounds.Alpha, reign)
	bounds.Blocks = int(s.By.Sub(s.Begun) / judge.Interval)
	names := make([]string, 0, len(routes))
	for _, r := range routes {
		names = append(names, r.name)
	}
	return &Mover{
		config: config,
		term:   term,
		routes: routes,
		judge:  judge.New(bounds, names),
		tally:  judge.NewTally(s.ID(), s.Epoch),
	}
}

// Merge takes in the digest of an entry.
func (m *Mover) Merge(d *judge.Digest) error { return m.tally.Merge(d) }

// Evidence returns the strongest evidence against the new version in relation
// to what a fault needs.
func (m *Mover) Evidence() float64 { return m.judge.Evidence() }

// Next returns the state that should follow s, which is s itself if nothing is
// to change. It depends only on the replicated state and on what is observed,
// so a successor goes on where another leader stopped.
func (m *Mover) Next(s State, o Observation) State {
	if s.Final() {
		return s
	}
	verdict := m.verdict(s)
	if !o.Now.Before(s.Until) {
		return s.Effective(o.Now)
	}
	switch {
	case o.Withdrawn:
		return s.takeBack(o.Now, Withdrawn)
	case verdict.Outcome() == judge.Bad:
		next := s.takeBack(o.Now, Faulty)
		fault := verdict.Fault()
		next.Fault = &fault
		return next
	case o.Now.Add(m.remaining(s, o.Now)).After(s.Until.Add(-m.config.Proposal)):
		return s.takeBack(o.Now, Short)
	}
	if s.Term != m.term {
		s.Term = m.term
		s.Reign++
	}
	if held := m.supported(s, o.Ready); held < s.At {
		return s.enter(held, o.Now)
	}
	if m.mayAdvance(s, o, verdict) {
		return m.advance(s, o)
	}
	return s
}

func (m *Mover) verdict(s State) judge.Verdict {
	if m.tally.Epoch() != s.Epoch {
		m.tally.Reset(s.Epoch)
	}
	if fault, ok := m.tally.Tripped(); ok {
		return judge.Found(fault)
	}
	m.judge.Observe(s.Epoch, m.tally.Table())
	return m.judge.Verdict(m.moved(s), uint64(m.needed(s, s.At)))
}

// moved returns the routes that send calls to the new version at the step.
func (m *Mover) moved(s State) []string {
	var names []string
	step := s.Steps[s.At]
	inOncePhase := step.Once > 0
	for _, r := range m.routes {
		if r.once == inOncePhase {
			names = append(names, r.name)
		}
	}
	return names
}

// needed returns the number of finished calls on the new version that a step
// needs before the next one.
func (m *Mover) needed(s State, step int) float64 {
	if s.isDrain(step) {
		return 0
	}
	return math.Ceil(max(m.config.LeastCalls, m.config.Calls*math.Sqrt(s.Steps[step].growing())))
}

// remaining returns the shortest time in which the move can still finish, at
// the rate of calls that the present step has shown.
func (m *Mover) remaining(s State, now time.Time) time.Duration {
	spent := now.Sub(s.Since)
	calls, shown := m.calls(s)
	known := s.At > 0 && m.watched(s, now) >= max(m.config.Dwell, s.By.Sub(s.Begun)/rateWindow)
	var left time.Duration
	for step := max(s.At, 1); step < len(s.Steps); step++ {
		need, dwell := m.needed(s, step), m.dwell(s, step)
		if step == s.At {
			need -= shown
			dwell -= spent
		}
		if known {
			wait := need * spent.Seconds() / (max(calls, 1) * s.Steps[step].growing())
			dwell = max(dwell, time.Duration(min(wait, maxWait)*float64(time.Second)))
		}
		left += max(dwell, 0)
	}
	return left
}

// dwell returns the shortest time in a step.
func (m *Mover) dwell(s State, step int) time.Duration {
	if s.isDrain(step) {
		return m.config.Drain
	}
	return m.config.Dwell
}

// watched returns for how long this leader has seen the present step.
func (m *Mover) watched(s State, now time.Time) time.Duration {
	if m.first.IsZero() || m.first.Before(s.Since) {
		m.first = now
	}
	return now.Sub(m.first)
}

// calls returns the finished calls of the present step on the routes that it
// moves: all of them, and those on the new version.
func (m *Mover) calls(s State) (all, shown float64) {
	table := m.tally.Table()
	for _, route := range m.moved(s) {
		if p := table[route]; p != nil {
			all += float64(p.Old().Finished() + p.New().Finished())
			shown += float64(p.New().Finished())
		}
	}
	return all, shown
}

// supported returns the highest step that the live instances can carry.
func (m *Mover) supported(s State, ready int) int {
	step := s.At
	for step > 0 && float64(s.instancesAt(step)) > float64(ready)*m.config.Overload {
		step--
	}
	return step
}

func (m *Mover) mayAdvance(s State, o Observation, verdict judge.Verdict) bool {
	next := s.At + 1
	needed := s.Size
	if next < len(s.Steps) {
		needed = s.instancesAt(next)
	}
	if o.Ready < needed {
		return false
	}
	if s.At == 0 {
		return !m.config.bounded() || m.watched(s, o.Now) >= rateTime
	}
	if o.Now.Sub(s.Since) < m.dwell(s, s.At) {
		return false
	}
	if s.isDrain(s.At) {
		return true
	}
	return verdict.Outcome() == judge.Good && !o.Now.Before(m.pace(s))
}

func (m *Mover) advance(s State, o Observation) State {
	if s.At == 0 && m.config.bounded() {
		s.Steps = m.trialSteps(s, o.Now)
	}
	if s.At+1 < len(s.Steps) {
		return s.enter(s.At+1, o.Now)
	}
	s.Phase = Done
	s.Declared = o.Now
	s.Epoch++
	return s
}

// pace returns when the present step should end if the steps are spread evenly.
func (m *Mover) pace(s State) time.Time {
	window := s.Until.Add(-m.config.Proposal).Sub(s.Begun)
	last := len(s.Steps) - 1
	if s.isDrain(last) {
		last--
	}
	part := m.config.Spread * float64(s.At) / float64(max(last, 1))
	return s.Begun.Add(time.Duration(part * float64(window)))
}
