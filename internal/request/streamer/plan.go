package streamer

import "time"

// Action is a way to continue a stream whose engine is leaving, lost or silent.
type Action int

// The ways to continue a stream.
const (
	// Wait keeps the stream at its engine.
	Wait Action = iota
	// Import copies the engine's KV cache to another engine and resumes there.
	Import
	// Prefill processes the prompt and the tokens so far at another engine and resumes there.
	Prefill
	// Abandon ends the stream, because no engine can resume it.
	Abandon
)

// PlanInput is the input of ChoosePlan.
type PlanInput struct {
	Now             time.Time
	TerminatesAt    time.Time     // when a leaving engine terminates; zero if it is not leaving
	Lost            bool          // the engine will send no more tokens
	Silence         time.Duration // how long the engine's next token is overdue
	RemainingTokens int           // expected number of remaining tokens
	Next            time.Duration // between two tokens at the engine

	HasAlternative         bool          // another engine is available
	AlternativeFirst       time.Duration // to the first token at the other engine, including the prefill
	AlternativeFirstCopied time.Duration // to the first token at the other engine after a copy of the KV cache
	AlternativeNext        time.Duration // between two tokens at the other engine
	CopyTime               time.Duration // to export and import the KV cache; 0 if it is not possible
	Recomputed             int           // words and tokens that the prefill processes again
	WordCost               time.Duration // cost, as a duration, of prefilling one word or token again
}

// Plan is the chosen way to continue a stream.
type Plan struct {
	action     Action
	finish     time.Time
	recomputed int
}

// Action returns how to continue.
func (p Plan) Action() Action { return p.action }

// Finish returns when the answer is predicted to be complete.
func (p Plan) Finish() time.Time { return p.finish }

// Recomputed returns the number of words and tokens that will be prefilled again.
func (p Plan) Recomputed() int { return p.recomputed }

// terminationMargin is how long before an engine's termination a task must be over.
const terminationMargin = 250 * time.Millisecond

// ChoosePlan returns the plan with the least cost: the time until the answer is complete
// plus the cost of the words and tokens that are prefilled again. A silent engine is
// expected to stay silent for as long as it has been silent.
func ChoosePlan(s PlanInput) Plan {
	best := Plan{action: Abandon}
	var cost time.Duration
	consider := func(action Action, duration time.Duration, recomputed int) {
		total := duration + time.Duration(recomputed)*s.WordCost
		if best.action == Abandon || total < cost {
			best, cost = Plan{action: action, finish: s.Now.Add(duration), recomputed: recomputed}, total
		}
	}
	decode := time.Duration(s.RemainingTokens) * s.AlternativeNext
	wait := s.Silence + time.Duration(s.RemainingTokens)*s.Next
	if !s.Lost && s.before(wait) {
		consider(Wait, wait, 0)
	}
	if !s.Lost && s.HasAlternative && s.CopyTime > 0 && s.before(s.CopyTime) {
		consider(Import, s.CopyTime+s.AlternativeFirstCopied+decode, 0)
	}
	if s.HasAlternative {
		consider(Prefill, s.AlternativeFirst+decode, s.Recomputed)
	}
	if best.action == Abandon && !s.Lost {
		// No other engine is available, and this one may last longer than announced.
		consider(Wait, wait, 0)
	}
	return best
}

// before reports whether a task of duration d ends before the engine terminates.
func (s PlanInput) before(d time.Duration) bool {
	return s.TerminatesAt.IsZero() || !s.Now.Add(d+terminationMargin).After(s.TerminatesAt)
}
