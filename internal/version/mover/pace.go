package mover

import (
	"slices"
	"time"
)

const (
	// reservePart of a short window covers a change of the leader and the difference
	// of clocks, proposalPart a few tries to write to the log.
	reservePart  = 0.15
	proposalPart = 0.08
	// dwellPart is the shortest part of the window in a step.
	dwellPart = 0.08
	// drainPart is the part of the window for the drain, between shortestDrain, in
	// which most streams end, and longestDrain.
	drainPart     = 0.06
	shortestDrain = time.Second
	longestDrain  = 10 * time.Second
	// shortCalls and shortLeast are the calls that a step must have seen on the new
	// version at the full rate and at least, where the window leaves no time for more.
	shortCalls = 14
	shortLeast = 5
	// rateTime is how long the rate of calls is watched before the first step.
	rateTime = time.Second
	// alarmTime is how long all calls may go to a version that fails in the drain
	// until that is noticed and heard of everywhere.
	alarmTime = time.Second
	// exposedPart is the part of the bound on calls to a bad version that is used.
	exposedPart = 0.85
	// shortAlpha bounds the probability that a good version is taken back. It is larger
	// than for long windows, since there is less time for evidence.
	shortAlpha = 0.02
	// shortSpread is the part of the time until the last write over which the steps
	// before the drain are spread: the longer, the more faults show that come late.
	shortSpread = 0.85
	// leastTrial and mostTrial bound the share of calls in the first steps.
	leastTrial = 0.03
	mostTrial  = 0.25
)

// drainStep leaves a few calls to the old instances that can go on elsewhere, so
// that there is something to compare with.
var drainStep = Step{Repeatable: 0.95, Once: 1}

// ShortPace returns the pace of a move within a short window after which the old
// instances end at once. Calls to a version that turns out bad stay within the
// given part of all calls in the window and slack more.
func ShortPace(window time.Duration, exposure, slack float64) Config {
	c := DefaultConfig()
	part := func(share float64) time.Duration { return time.Duration(share * float64(window)) }
	c.Ladder, c.OnceLadder = []float64{leastTrial}, []float64{leastTrial}
	c.Exposure, c.Slack, c.Judge.Alpha = exposure, slack, shortAlpha
	c.Spread = shortSpread
	c.Calls, c.LeastCalls = shortCalls, shortLeast
	c.Reserve, c.Proposal, c.Dwell = part(reservePart), part(proposalPart), part(dwellPart)
	c.Drain = min(max(part(drainPart), shortestDrain), longestDrain)
	return c
}

func (c Config) bounded() bool { return c.Exposure > 0 || c.Slack > 0 }

// isDrain reports whether the step is the drain before the end.
func (s State) isDrain(step int) bool { return step > 0 && s.Steps[step] == drainStep }

// trialSteps returns the steps with the share of the first ones by the rate of
// calls: as large as the bound on calls to a bad version allows, after what a fault
// that shows in the drain may cost.
func (m *Mover) trialSteps(s State, now time.Time) []Step {
	calls := 0.0
	for _, p := range m.tally.Table() {
		calls += float64(p.Old().Started() + p.New().Started())
	}
	rate := calls / m.watched(s, now).Seconds()
	window := s.By.Sub(s.Begun).Seconds()
	allowed := exposedPart * (m.config.Exposure*rate*window + m.config.Slack)
	share := (allowed - rate*alarmTime.Seconds()) / max(rate*m.config.Spread*window, 1)
	share = min(max(share, leastTrial), mostTrial)
	steps := slices.Clone(s.Steps)
	for i := range steps {
		if steps[i] == drainStep {
			continue
		}
		if steps[i].Repeatable > 0 {
			steps[i].Repeatable = share
		}
		if steps[i].Once > 0 {
			steps[i].Once = share
		}
	}
	return steps
}
