package mover

import (
	"errors"
	"math"
	"time"

	"hyssoprudder/internal/version/judge"
)

const (
	// maxWaitSeconds caps the estimated time that a step needs to collect its calls.
	maxWaitSeconds = 1e6
	// rateWindowDivisor divides a move's window: a leader observes a step for that fraction of the window
	// before it estimates the rate of calls.
	rateWindowDivisor = 4
)

var errBadState = errors.New("malformed state of a move")

// Config holds the schedule and the limits of moves.
type Config struct {
	// RepeatableSteps lists the shares of repeatable calls after the first step.
	RepeatableSteps []float64
	// OnceSteps lists the shares of at-most-once calls. They begin to move after all shares of RepeatableSteps.
	OnceSteps []float64
	// MinStepTime is the minimum time in a step.
	MinStepTime time.Duration
	// SpreadFraction is the fraction of the window over which the steps are spread evenly. The rest is left
	// for delays.
	SpreadFraction float64
	// ExpiryMargin is the time between the expiry of a move without a verdict and its deadline. It covers clock
	// skew between nodes.
	ExpiryMargin time.Duration
	// MaxCommitTime is the assumed longest time from a proposal to its commit.
	MaxCommitTime time.Duration
	// FullTrafficCalls is the number of finished calls on the new version that a step with all of the traffic
	// needs. Smaller steps need fewer, in proportion to the square root of their share, but at least MinCalls.
	FullTrafficCalls, MinCalls float64
	// Drain is the time for which nearly all calls go to the new version before a move is done. It is used
	// where the old instances are terminated at once when a move is done. 0 omits the step.
	Drain time.Duration
	// ExposureFraction is the fraction of all calls between the start of the move and its deadline that may go
	// to a bad version. ExposureSlack is a number of calls allowed beyond it. If either is set, the shares of the
	// first steps are calculated from the rate of calls.
	ExposureFraction, ExposureSlack float64
	// MaxOverload is the factor by which the number of live instances may fall short of the number that a step
	// needs before the move returns to a lower step.
	MaxOverload float64
	// Judge configures the judge on the leader.
	Judge judge.Config
}

// DefaultConfig returns the configuration for moves with a long window.
func DefaultConfig() Config {
	return Config{
		RepeatableSteps:  []float64{0.1, 0.25, 0.5},
		OnceSteps:        []float64{0.1, 0.5},
		MinStepTime:      10 * time.Second,
		SpreadFraction:   0.7,
		ExpiryMargin:     10 * time.Second,
		MaxCommitTime:    5 * time.Second,
		FullTrafficCalls: 60,
		MinCalls:         12,
		MaxOverload:      1.25,
		Judge:            judge.DefaultConfig(),
	}
}

// Route is a route to the service whose version changes.
type Route struct {
	name string
	once bool
}

// NewRoute returns a route. If once is true, its calls run at most once.
func NewRoute(name string, once bool) Route { return Route{name: name, once: once} }

// Name returns the name of the route.
func (r Route) Name() string { return r.name }

// Request describes a move that a rule requests.
type Request struct {
	Service  string
	From, To string
	Deadline time.Time
	// Share is the share of calls in the first step, from 0 to 1.
	Share  float64
	Routes []Route
	// Size is the number of instances that are needed to serve all of the traffic.
	Size int
}

// Begin returns the initial state of a move.
func Begin(config Config, r Request, now time.Time, term uint64) State {
	return State{
		Service: r.Service, From: r.From, To: r.To,
		Deadline: r.Deadline, Expiry: r.Deadline.Add(-config.ExpiryMargin),
		CreatedAt: now, StepStarted: now,
		Steps: steps(config, r),
		Epoch: 1, Term: term, Size: r.Size, Phase: Moving, Base: r.From,
	}
}

func steps(config Config, r Request) []Step {
	var repeatable, once bool
	for _, route := range r.Routes {
		repeatable = repeatable || !route.once
		once = once || route.once
	}
	if !once {
		repeatable = true // without a step, the new version would get no calls before the end
	}
	plan := []Step{{}}
	if repeatable {
		if r.Share > 0 && r.Share < config.RepeatableSteps[0] {
			plan = append(plan, Step{Repeatable: r.Share})
		}
		for _, share := range config.RepeatableSteps {
			plan = append(plan, Step{Repeatable: share})
		}
	}
	if once {
		top := plan[len(plan)-1].Repeatable
		if !repeatable && r.Share > 0 && r.Share < config.OnceSteps[0] {
			plan = append(plan, Step{Once: r.Share})
		}
		for _, share := range config.OnceSteps {
			plan = append(plan, Step{Repeatable: top, Once: share})
		}
	}
	if config.Drain > 0 {
		plan = append(plan, drainStep)
	}
	return plan
}

// Observation is the input of the leader's decision besides the digests of the entries.
type Observation struct {
	Now time.Time
	// Withdrawn is true if no rule requests the move any more.
	Withdrawn bool
	// Ready is the number of live instances of the new version.
	Ready int
}

// Mover decides the next state of one move while its node leads. It is not safe for concurrent use.
type Mover struct {
	config        Config
	term          uint64
	routes        []Route
	judge         *judge.Judge
	tally         *judge.Tally
	stepFirstSeen time.Time // when this leader first observed the current step
}

// New returns the mover of a leader for a move. The number of earlier leaders in the state determines which
// part of alpha this leader may spend.
func New(config Config, s State, routes []Route, term uint64) *Mover {
	leaderChanges := s.LeaderChanges
	if s.Term != term {
		leaderChanges++
	}
	judgeConfig := config.Judge
	judgeConfig.Alpha = judge.LeaderAlpha(judgeConfig.Alpha, leaderChanges)
	judgeConfig.Blocks = int(s.Deadline.Sub(s.CreatedAt) / judge.Interval)
	names := make([]string, 0, len(routes))
	for _, r := range routes {
		names = append(names, r.name)
	}
	return &Mover{
		config: config,
		term:   term,
		routes: routes,
		judge:  judge.New(judgeConfig, names),
		tally:  judge.NewTally(s.ID(), s.Epoch),
	}
}

// Merge adds the digest of an entry.
func (m *Mover) Merge(d *judge.Digest) error { return m.tally.Merge(d) }

// Evidence returns the strongest evidence against the new version as a fraction of the evidence that
// a Bad verdict requires.
func (m *Mover) Evidence() float64 { return m.judge.Evidence() }

// Next returns the state that should follow s, or s itself if nothing changes. It depends only on the
// replicated state and on observations, so a new leader continues where the last one stopped.
func (m *Mover) Next(s State, o Observation) State {
	if s.Final() {
		return s
	}
	if s.IsInPlace() {
		return m.nextInPlace(s, o)
	}
	verdict := m.verdict(s)
	if !o.Now.Before(s.Expiry) {
		return s.Effective(o.Now)
	}
	switch {
	case o.Withdrawn:
		return s.rollBack(o.Now, Withdrawn)
	case verdict.Outcome() == judge.Bad:
		next := s.rollBack(o.Now, Faulty)
		fault := verdict.Fault()
		next.Fault = &fault
		return next
	case o.Now.Add(m.minRemaining(s, o.Now)).After(s.Expiry.Add(-m.config.MaxCommitTime)):
		return s.rollBack(o.Now, InsufficientTime)
	}
	if s.Term != m.term {
		s.Term = m.term
		s.LeaderChanges++
	}
	if step := m.supportedStep(s, o.Ready); step < s.StepIndex {
		return s.enter(step, o.Now)
	}
	if m.mayAdvance(s, o, verdict) {
		return m.advance(s, o)
	}
	return s
}

// inPlaceFactor is the number of instances, as a multiple of those that ran before, at which a move in place is
// done.
const inPlaceFactor = 2

// nextInPlace decides a move in place. There is nothing to judge, since the version runs already. Instances that ran
// before may be terminated when it is done, so that waits for as many new ones.
func (m *Mover) nextInPlace(s State, o Observation) State {
	switch {
	case !o.Now.Before(s.Expiry):
		return s.Effective(o.Now)
	case o.Withdrawn:
		return s.rollBack(o.Now, Withdrawn)
	case o.Ready >= inPlaceFactor*s.Size:
		return s.Complete(o.Now)
	case o.Now.Add(m.config.MaxCommitTime).After(s.Expiry):
		return s.rollBack(o.Now, InsufficientTime)
	}
	if s.Term != m.term {
		s.Term = m.term
		s.LeaderChanges++
	}
	return s
}

func (m *Mover) verdict(s State) judge.Verdict {
	if m.tally.Epoch() != s.Epoch {
		m.tally.Reset(s.Epoch)
	}
	if fault, ok := m.tally.Tripped(); ok {
		return judge.BadVerdict(fault)
	}
	m.judge.Observe(s.Epoch, m.tally.Table())
	return m.judge.Verdict(m.movingRoutes(s), uint64(m.requiredCalls(s, s.StepIndex)))
}

// movingRoutes returns the routes whose share of calls to the new version the current step sets.
func (m *Mover) movingRoutes(s State) []string {
	var names []string
	step := s.Steps[s.StepIndex]
	inOncePhase := step.Once > 0
	for _, r := range m.routes {
		if r.once == inOncePhase {
			names = append(names, r.name)
		}
	}
	return names
}

// requiredCalls returns the number of finished calls on the new version that a step needs before the next
// one may start.
func (m *Mover) requiredCalls(s State, step int) float64 {
	if s.isDrain(step) {
		return 0
	}
	return math.Ceil(max(m.config.MinCalls, m.config.FullTrafficCalls*math.Sqrt(s.Steps[step].increasedShare())))
}

// minRemaining returns the shortest time in which the move can still finish, given the rate of calls that
// the current step has shown.
func (m *Mover) minRemaining(s State, now time.Time) time.Duration {
	elapsed := now.Sub(s.StepStarted)
	calls, onNew := m.calls(s)
	rateKnown := s.StepIndex > 0 && m.observedFor(s, now) >= max(m.config.MinStepTime, s.Deadline.Sub(s.CreatedAt)/rateWindowDivisor)
	var remaining time.Duration
	for step := max(s.StepIndex, 1); step < len(s.Steps); step++ {
		needed, minTime := m.requiredCalls(s, step), m.minStepTime(s, step)
		if step == s.StepIndex {
			needed -= onNew
			minTime -= elapsed
		}
		if rateKnown {
			wait := needed * elapsed.Seconds() / (max(calls, 1) * s.Steps[step].increasedShare())
			minTime = max(minTime, time.Duration(min(wait, maxWaitSeconds)*float64(time.Second)))
		}
		remaining += max(minTime, 0)
	}
	return remaining
}

// minStepTime returns the minimum time in a step.
func (m *Mover) minStepTime(s State, step int) time.Duration {
	if s.isDrain(step) {
		return m.config.Drain
	}
	return m.config.MinStepTime
}

// observedFor returns how long this leader has observed the current step.
func (m *Mover) observedFor(s State, now time.Time) time.Duration {
	if m.stepFirstSeen.IsZero() || m.stepFirstSeen.Before(s.StepStarted) {
		m.stepFirstSeen = now
	}
	return now.Sub(m.stepFirstSeen)
}

// calls returns the number of finished calls in the current step on the routes that it moves: all of them,
// and those on the new version.
func (m *Mover) calls(s State) (all, onNew float64) {
	table := m.tally.Table()
	for _, route := range m.movingRoutes(s) {
		if p := table[route]; p != nil {
			all += float64(p.Old().Finished() + p.New().Finished())
			onNew += float64(p.New().Finished())
		}
	}
	return all, onNew
}

// supportedStep returns the highest step that the live instances have the capacity for.
func (m *Mover) supportedStep(s State, ready int) int {
	step := s.StepIndex
	for step > 0 && float64(s.instancesAt(step)) > float64(ready)*m.config.MaxOverload {
		step--
	}
	return step
}

func (m *Mover) mayAdvance(s State, o Observation, verdict judge.Verdict) bool {
	next := s.StepIndex + 1
	needed := s.Size
	if next < len(s.Steps) {
		needed = s.instancesAt(next)
	}
	if o.Ready < needed {
		return false
	}
	if s.StepIndex == 0 {
		return !m.config.limitsExposure() || m.observedFor(s, o.Now) >= initialRateWindow
	}
	if o.Now.Sub(s.StepStarted) < m.minStepTime(s, s.StepIndex) {
		return false
	}
	if s.isDrain(s.StepIndex) {
		return true
	}
	return verdict.Outcome() == judge.Good && !o.Now.Before(m.scheduledEnd(s))
}

func (m *Mover) advance(s State, o Observation) State {
	if s.StepIndex == 0 && m.config.limitsExposure() {
		s.Steps = m.trialSteps(s, o.Now)
	}
	if s.StepIndex+1 < len(s.Steps) {
		return s.enter(s.StepIndex+1, o.Now)
	}
	return s.Complete(o.Now)
}

// scheduledEnd returns when the current step should end if the steps are spread evenly.
func (m *Mover) scheduledEnd(s State) time.Time {
	window := s.Expiry.Add(-m.config.MaxCommitTime).Sub(s.CreatedAt)
	last := len(s.Steps) - 1
	if s.isDrain(last) {
		last--
	}
	fraction := m.config.SpreadFraction * float64(s.StepIndex) / float64(max(last, 1))
	return s.CreatedAt.Add(time.Duration(fraction * float64(window)))
}
