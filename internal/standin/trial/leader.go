package trial

import (
	"time"

	"hyssoprudder/internal/version/judge"
	"hyssoprudder/internal/version/mover"
)

// The bounds of the policies Threshold and Stages.
const (
	maxFailureFraction = 0.05
	maxLatencyRatio    = 1.5
	minCalls           = 20
)

// leader decides on the move according to the policy of the scenario.
type leader struct {
	world *world
	mover *mover.Mover
	tally *judge.Tally
}

func newLeader(w *world) *leader {
	return &leader{
		world: w,
		mover: mover.New(w.scenario.Config, w.state, moverRoutes(), w.term),
		tally: judge.NewTally(w.state.ID(), w.state.Epoch),
	}
}

func (l *leader) merge(d *judge.Digest) {
	if err := l.mover.Merge(d); err != nil {
		panic(err)
	}
	if err := l.tally.Merge(d); err != nil {
		panic(err)
	}
}

func (l *leader) nextState(s mover.State) mover.State {
	w := l.world
	if w.scenario.Policy == Product {
		return l.mover.Next(s, mover.Observation{Now: w.now, Ready: w.ready})
	}
	return l.thresholdDecision(s)
}

// thresholdDecision advances by time alone and rolls back at fixed bounds. The steps share
// 80 % of the window equally.
func (l *leader) thresholdDecision(s mover.State) mover.State {
	if s.Final() {
		return s
	}
	if l.tally.Epoch() != s.Epoch {
		l.tally.Reset(s.Epoch)
	}
	now := l.world.now
	stepLength := time.Duration(float64(s.Deadline.Sub(s.CreatedAt)) * 0.8 / float64(len(s.Steps)))
	stepEnded := now.Sub(s.StepStarted) >= stepLength
	if (l.world.scenario.Policy == Threshold || stepEnded) && l.exceedsThreshold() {
		s.Phase, s.Reason, s.Declared = mover.RolledBack, mover.Faulty, now
		s.Epoch++
		return s
	}
	if !stepEnded {
		return s
	}
	s.Epoch++
	if s.StepIndex+1 < len(s.Steps) {
		s.StepIndex++
		s.StepStarted = now
		return s
	}
	s.Phase, s.Declared = mover.Done, now
	return s
}

// exceedsThreshold reports whether the new version exceeds a fixed bound in the
// current step.
func (l *leader) exceedsThreshold() bool {
	var calls, failed uint64
	var latency [2]float64
	for _, p := range l.tally.Table() {
		calls += p.New().Finished()
		failed += p.New().Failed()
	}
	for _, p := range l.tally.Table() {
		if p.New().Latency(judge.First).Total() == 0 {
			continue
		}
		latency[0] += mean(p.Old().Latency(judge.First))
		latency[1] += mean(p.New().Latency(judge.First))
	}
	if calls < minCalls {
		return false
	}
	return float64(failed) > maxFailureFraction*float64(calls) || latency[1] > maxLatencyRatio*latency[0]
}

func mean(h *judge.Histogram) float64 {
	var sum float64
	for b := range judge.Buckets {
		if n := h.Above(b-1) - h.Above(b); n > 0 {
			sum += float64(n) * judge.Edge(b).Seconds()
		}
	}
	return sum / float64(max(h.Total(), 1))
}
