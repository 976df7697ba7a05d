package observer

import (
	"math"
	"time"
)

const (
	defaultPrefill = 2000.0 // words per second
	defaultDecode  = 50.0   // tokens per second of a lone sequence
	defaultGrowth  = 0.03   // longer step per further sequence
	defaultSlots   = 32

	historySlots = 64
	historyStep  = 25 * time.Millisecond

	gapForget    = 0.995
	factorGain   = 0.2
	factorMin    = 0.25
	factorMax    = 16.0
	factorHalf   = 20 * time.Second
	durationGain = 0.1

	mirrorShare = 1.0

	stallBound = 500 * time.Millisecond

	ejectStreak  = 3
	ejectRate    = 0.5
	ejectFirst   = time.Second
	ejectLongest = 30 * time.Second
	failureGain  = 0.15
)

// Load is what an entry knows about one endpoint.
type Load struct {
	id      string
	running int // own calls
	prompt  int // own words without a first token
	decode  int // own tokens to come
	leaving bool

	crowd  *crowd
	others peerSum
	report Report
	direct bool                // the report was read from the endpoint
	past   [historySlots]int32 // own running calls by time
	pastAt int64

	gap      regression
	factor   float64 // actual time to the first byte, over the predicted
	factorAt time.Time
	duration float64 // seconds that a call takes
	progress time.Time

	streak   int
	failures float64
	ejected  time.Time
	backoff  time.Duration
	probing  bool // a call tells whether the ejection is over
}

func newLoad(id string, c *crowd) *Load { return &Load{id: id, crowd: c, factor: 1} }

// ID returns the identity of the endpoint.
func (l *Load) ID() string { return l.id }

// Own returns the entry's own calls that run on the endpoint.
func (l *Load) Own() int { return l.running }

// Leaving reports whether the endpoint is leaving.
func (l *Load) Leaving() bool { return l.leaving }

// Slots returns how many calls the endpoint runs at once.
func (l *Load) Slots() int {
	if l.report.Slots > 0 {
		return l.report.Slots
	}
	return defaultSlots
}

// Reported returns the last load report.
func (l *Load) Reported() Report { return l.report }

// Running estimates the calls on the endpoint, of all entries. Own calls are
// exact. The others' calls are estimated from their digests and from what the
// endpoint reported beyond the own calls of that time.
func (l *Load) Running(now time.Time) float64 {
	return float64(l.running) + max(l.known()+l.mirrored(now), 0)
}

// mirrored estimates how the others' calls have changed since their digests. The
// others see the same state and choose alike, so each has probably done as the
// entry itself did.
func (l *Load) mirrored(now time.Time) float64 {
	peers := l.crowd.peers()
	if peers == 0 {
		return 0
	}
	return mirrorShare * peers * float64(l.running-l.ownAt(now.Add(-l.crowd.age(now))))
}

func (l *Load) known() float64 {
	peers := l.others.calls
	if l.report.At.IsZero() {
		return peers
	}
	reported := float64(l.report.Running+l.report.Queued) - float64(l.ownAt(l.report.At))
	if l.others.known {
		// Digests are fresher than a report; a report knows of calls outside of them.
		return max(peers, 0.5*(peers+max(reported, 0)))
	}
	return max(reported, 0)
}

// First predicts the time to the first byte of a further call. It is the wait for
// a slot, the prefill of what is ahead and of the call, and one step.
func (l *Load) First(now time.Time, work Work) time.Duration {
	running := l.Running(now)
	seconds := l.queueWait(running) + l.stall(now).Seconds()
	ahead := float64(l.prompt) + l.others.prompt
	seconds += (ahead + float64(work.Prompt)) / l.PrefillRate()
	if work.Decode > 0 {
		seconds += l.step(running + 1)
	} else {
		seconds += l.duration
	}
	return toDuration(seconds * l.correction(now))
}

// Next predicts the time between two tokens with a further call on the endpoint.
func (l *Load) Next(now time.Time, further int) time.Duration {
	running := min(l.Running(now)+float64(further), float64(l.Slots()))
	return toDuration(l.step(running))
}

// Growth predicts by how much one more call lengthens the time between tokens.
func (l *Load) Growth() time.Duration { return toDuration(l.step(2) - l.step(1)) }

// Known reports whether predictions for the endpoint rest on anything but defaults.
func (l *Load) Known() bool {
	return l.report.Decode > 0 || l.gap.weight >= regressionTrust || l.duration > 0
}

// PrefillRate returns the words per second of a prefill.
func (l *Load) PrefillRate() float64 {
	if l.report.Prefill > 0 {
		return l.report.Prefill
	}
	return defaultPrefill
}

// Ejected reports whether the endpoint is kept out because its calls failed. When
// the ejection ends, one call at a time goes there until one is answered.
func (l *Load) Ejected(now time.Time) bool {
	if l.ejected.IsZero() {
		return false
	}
	return now.Before(l.ejected) || l.probing
}

// Failing returns the weight of recent failures, from 0 to 1.
func (l *Load) Failing() float64 { return l.failures }

// Wait predicts how long a further call waits for a slot, if no more urgent one comes.
func (l *Load) Wait(now time.Time) time.Duration { return toDuration(l.queueWait(l.Running(now))) }

func (l *Load) queueWait(running float64) float64 {
	slots := float64(l.Slots())
	if running < slots {
		return 0
	}
	hold := l.duration
	if hold == 0 {
		hold = l.step(slots) * max(float64(l.decode)/max(float64(l.running), 1), 1)
	}
	return (running - slots + 1) * hold / slots
}

func (l *Load) step(running float64) float64 {
	decode := l.report.Decode
	if decode <= 0 {
		decode = defaultDecode
	}
	return l.gap.predict(max(running, 1), 1/decode, defaultGrowth/decode)
}

// stall is the silence of an endpoint on which own calls run, beyond the usual.
func (l *Load) stall(now time.Time) time.Duration {
	if l.running == 0 || l.progress.IsZero() {
		return 0
	}
	silence := now.Sub(l.progress)
	if l.decode == 0 && silence < 2*toDuration(l.duration) {
		return 0
	}
	usual := stallBound + toDuration(float64(l.prompt)/l.PrefillRate())
	return max(silence-usual, 0)
}

func (l *Load) correction(now time.Time) float64 {
	if l.factor == 1 {
		return 1
	}
	age := now.Sub(l.factorAt).Seconds() / factorHalf.Seconds()
	return 1 + (l.factor-1)*math.Exp2(-max(age, 0))
}

// begin counts a call and reports whether it is the one that probes an ejected endpoint.
func (l *Load) begin(now time.Time, work Work) bool {
	if l.running == 0 {
		l.progress = now
	}
	l.running++
	l.prompt += work.Prompt
	l.decode += work.Decode
	l.note(now)
	probe := !l.ejected.IsZero() && !now.Before(l.ejected) && !l.probing
	l.probing = l.probing || probe
	return probe
}

func (l *Load) learnFirst(actual, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := actual.Seconds() / max(expected.Seconds(), 0.001)
	l.factor = clamp(l.factor*(1+factorGain*(clamp(ratio, factorMin, factorMax)-1)), factorMin, factorMax)
	l.factorAt = l.progress
}

func (l *Load) learnNext(now time.Time, gap time.Duration) {
	l.gap.add(min(l.Running(now), float64(l.Slots())), gap.Seconds())
}

func (l *Load) finish(now time.Time, result Result, took time.Duration) {
	switch result {
	case Done:
		l.progress = now
		l.streak = 0
		l.failures *= 1 - failureGain
		if !l.ejected.IsZero() && !now.Before(l.ejected) {
			l.ejected = time.Time{}
			l.backoff = 0
		}
		if l.duration == 0 {
			l.duration = took.Seconds()
		}
		l.duration += durationGain * (took.Seconds() - l.duration)
	case Failed, Refused:
		l.streak++
		if result == Refused {
			l.streak = max(l.streak, ejectStreak)
		}
		l.failures += failureGain * (1 - l.failures)
		// A call begun before the ejection says nothing new about it.
		if now.Before(l.ejected) {
			return
		}
		if l.streak >= ejectStreak || l.failures > ejectRate || !l.ejected.IsZero() {
			l.backoff = min(max(2*l.backoff, ejectFirst), ejectLongest)
			l.ejected = now.Add(l.backoff)
		}
	case Canceled:
	}
}

func (l *Load) setReport(r Report) bool {
	if r.At.Before(l.report.At) {
		return false
	}
	l.report = r
	return true
}

// note records the number of own calls at a time, for later reports about it.
func (l *Load) note(now time.Time) {
	bucket := max(now.UnixNano()/int64(historyStep), l.pastAt)
	last := l.past[l.pastAt%historySlots]
	for b := max(l.pastAt+1, bucket-historySlots+1); b < bucket; b++ {
		l.past[b%historySlots] = last
	}
	l.past[bucket%historySlots] = int32(l.running)
	l.pastAt = bucket
}

func (l *Load) ownAt(at time.Time) int {
	bucket := at.UnixNano() / int64(historyStep)
	if l.pastAt == 0 || bucket >= l.pastAt {
		return l.running
	}
	if l.pastAt-bucket >= historySlots {
		bucket = l.pastAt - historySlots + 1
	}
	return int(l.past[bucket%historySlots])
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }
