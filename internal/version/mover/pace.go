package mover

import (
	"slices"
	"time"
)

const (
	// marginFraction of a short window covers a leader change and clock skew; proposalFraction covers
	// a few attempts to write to the log.
	marginFraction   = 0.15
	proposalFraction = 0.08
	// stepTimeFraction is the minimum time in a step, as a fraction of the window.
	stepTimeFraction = 0.08
	// drainFraction is the fraction of the window for the drain. The drain takes at least minDrain, in which
	// most streams end, and at most maxDrain.
	drainFraction = 0.06
	minDrain      = time.Second
	maxDrain      = 10 * time.Second
	// shortWindowCalls and shortWindowMinCalls are the values of Config.FullTrafficCalls and Config.MinCalls,
	// because a short window leaves no time for more calls.
	shortWindowCalls    = 14
	shortWindowMinCalls = 5
	// initialRateWindow is how long the rate of calls is measured before the first step.
	initialRateWindow = time.Second
	// alarmDelay is how long all calls may go to a version that fails in the drain until the fault is detected
	// and all entries have received the verdict.
	alarmDelay = time.Second
	// usedExposureFraction is the fraction of the limit on calls to a bad version that is used.
	usedExposureFraction = 0.85
	// shortWindowAlpha bounds the probability that a good version is rolled back. It is larger than for long
	// windows, because there is less time to collect evidence.
	shortWindowAlpha = 0.02
	// shortWindowSpread is the fraction of the time until the last write over which the steps before the
	// drain are spread. A longer span detects more of the faults that appear late.
	shortWindowSpread = 0.85
	// minTrialShare and maxTrialShare bound the share of calls in the first steps.
	minTrialShare = 0.03
	maxTrialShare = 0.25
)

// drainStep leaves a few of the repeatable calls on the old instances, so that the new version can still be
// compared with them. Those calls can fail over to another endpoint when the instances terminate.
var drainStep = Step{Repeatable: 0.95, Once: 1}

// ShortWindowConfig returns the configuration of a move within a short window after which the old instances are
// terminated at once. At most the given fraction of all calls in the window, plus slack calls, go to a
// version that turns out bad.
func ShortWindowConfig(window time.Duration, exposure, slack float64) Config {
	c := DefaultConfig()
	fractionOf := func(fraction float64) time.Duration { return time.Duration(fraction * float64(window)) }
	c.RepeatableSteps, c.OnceSteps = []float64{minTrialShare}, []float64{minTrialShare}
	c.ExposureFraction, c.ExposureSlack, c.Judge.Alpha = exposure, slack, shortWindowAlpha
	c.SpreadFraction = shortWindowSpread
	c.FullTrafficCalls, c.MinCalls = shortWindowCalls, shortWindowMinCalls
	c.ExpiryMargin, c.MaxCommitTime, c.MinStepTime = fractionOf(marginFraction), fractionOf(proposalFraction), fractionOf(stepTimeFraction)
	c.Drain = min(max(fractionOf(drainFraction), minDrain), maxDrain)
	return c
}

func (c Config) limitsExposure() bool { return c.ExposureFraction > 0 || c.ExposureSlack > 0 }

// isDrain reports whether the step is the drain before the end of the move.
func (s State) isDrain(step int) bool { return step > 0 && s.Steps[step] == drainStep }

// trialSteps returns the steps with the share of the first ones calculated from the rate of calls. The share
// is as large as the limit on calls to a bad version allows, after subtracting the calls that a fault
// detected only in the drain may affect.
func (m *Mover) trialSteps(s State, now time.Time) []Step {
	calls := 0.0
	for _, p := range m.tally.Table() {
		calls += float64(p.Old().Started() + p.New().Started())
	}
	rate := calls / m.observedFor(s, now).Seconds()
	window := s.Deadline.Sub(s.CreatedAt).Seconds()
	allowed := usedExposureFraction * (m.config.ExposureFraction*rate*window + m.config.ExposureSlack)
	share := (allowed - rate*alarmDelay.Seconds()) / max(rate*m.config.SpreadFraction*window, 1)
	share = min(max(share, minTrialShare), maxTrialShare)
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
