package streamer

import "time"

// Action is a way to go on with a stream whose engine is leaving, lost or silent.
type Action int

// The ways to go on.
const (
	// Wait for the engine.
	Wait Action = iota
	// Import the KV cache of the engine into another one and go on there.
	Import
	// Prefill the prompt and the tokens so far on another engine and go on there.
	Prefill
	// Abandon the stream: no engine can go on with it.
	Abandon
)

// Situation is what the choice depends on.
type Situation struct {
	Now     time.Time
	Until   time.Time     // when a leaving engine goes away; zero if it is not leaving
	Lost    bool          // the engine gives no more tokens
	Silence time.Duration // since the engine's last token, beyond the usual
	Left    int           // tokens to come
	Next    time.Duration // between two tokens, at the engine

	Elsewhere   bool          // there is another engine
	First       time.Duration // to the first token there, with the prefill
	FirstCopied time.Duration // to the first token there, without a prefill
	NextThere   time.Duration
	Copy        time.Duration // to export and import the KV cache; 0 if it is not possible
	Recomputed  int           // words and tokens that the prefill computes
	WordCost    time.Duration // worth of the engine time that one recomputed word takes
}

// Plan is the way that was chosen.
type Plan struct {
	action     Action
	finish     time.Time
	recomputed int
}

// Action returns what to do.
func (p Plan) Action() Action { return p.action }

// Finish returns the predicted end of the answer.
func (p Plan) Finish() time.Time { return p.finish }

// Recomputed returns the words and tokens that will be prefilled again.
func (p Plan) Recomputed() int { return p.recomputed }

const untilMargin = 250 * time.Millisecond

// Choose returns the cheapest way to go on: the least sum of the time to the end of
// the answer and of the worth of what is recomputed. A silent engine is
// expected to stay silent for as long as it has been.
func Choose(s Situation) Plan {
	best := Plan{action: Abandon}
	var cost time.Duration
	consider := func(action Action, takes time.Duration, recomputed int) {
		total := takes + time.Duration(recomputed)*s.WordCost
		if best.action == Abandon || total < cost {
			best, cost = Plan{action: action, finish: s.Now.Add(takes), recomputed: recomputed}, total
		}
	}
	there := time.Duration(s.Left) * s.NextThere
	wait := s.Silence + time.Duration(s.Left)*s.Next
	if !s.Lost && s.before(wait) {
		consider(Wait, wait, 0)
	}
	if !s.Lost && s.Elsewhere && s.Copy > 0 && s.before(s.Copy) {
		consider(Import, s.Copy+s.FirstCopied+there, 0)
	}
	if s.Elsewhere {
		consider(Prefill, s.First+there, s.Recomputed)
	}
	if best.action == Abandon && !s.Lost {
		// There is nowhere to go; the engine may last longer than announced.
		consider(Wait, wait, 0)
	}
	return best
}

// before reports whether something that takes d ends before the engine goes away.
func (s Situation) before(d time.Duration) bool {
	return s.Until.IsZero() || !s.Now.Add(d+untilMargin).After(s.Until)
}
