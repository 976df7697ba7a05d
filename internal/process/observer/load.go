package observer

import (
	"math"
	"time"
)

const (
	defaultPrefill = 2000.0 // words per second
	defaultDecode  = 50.0   // tokens per second of a single sequence
	defaultGrowth  = 0.03   // relative increase of a decode step for each further sequence
	defaultSlots   = 32

	historySlots = 64
	historyStep  = 25 * time.Millisecond

	stepDecay         = 0.995
	factorSmoothing   = 0.2
	factorMin         = 0.25
	factorMax         = 16.0
	factorHalfLife    = 20 * time.Second
	durationSmoothing = 0.1

	mirrorRatio = 1.0 // change of a peer's calls since its digest, relative to that of the own calls

	stallThreshold = 500 * time.Millisecond

	maxFailureStreak = 3
	maxFailureRate   = 0.5
	minEjection      = time.Second
	maxEjection      = 30 * time.Second
	failureSmoothing = 0.15
)

// Load is the known load of one endpoint.
type Load struct {
	id             string
	inFlight       int // own calls
	pendingPrefill int // words of own calls without a first token
	pendingDecode  int // tokens that own calls still have to generate
	leaving        bool

	peerStats  *peerStats
	peers      peerLoad
	report     Report
	isDirect   bool                // the report was read from the endpoint, not received in a digest
	history    [historySlots]int32 // own calls in flight, by time
	historyEnd int64

	stepTime     regression
	factor       float64 // actual over predicted time to the first byte
	factorAt     time.Time
	callSeconds  float64 // mean duration of a call
	lastProgress time.Time

	failureStreak int
	failureRate   float64
	ejectedUntil  time.Time
	ejection      time.Duration
	probing       bool // a call is testing whether the ejection can end
}

func newLoad(id string, c *peerStats) *Load { return &Load{id: id, peerStats: c, factor: 1} }

// ID returns the ID of the endpoint.
func (l *Load) ID() string { return l.id }

// OwnInFlight returns the number of the entry's own calls in flight at the endpoint.
func (l *Load) OwnInFlight() int { return l.inFlight }

// Leaving reports whether the endpoint is leaving.
func (l *Load) Leaving() bool { return l.leaving }

// Slots returns how many calls the endpoint processes at once.
func (l *Load) Slots() int {
	if l.report.Slots > 0 {
		return l.report.Slots
	}
	return defaultSlots
}

// Reported returns the last load report.
func (l *Load) Reported() Report { return l.report }

// InFlight estimates the number of calls at the endpoint from all entries. Own calls are exact.
// The other entries' calls are estimated from their digests and from what the endpoint
// reported beyond the own calls at that time.
func (l *Load) InFlight(now time.Time) float64 {
	return float64(l.inFlight) + max(l.peerCalls()+l.peerChange(now), 0)
}

// peerChange estimates how the other entries' calls have changed since their digests. All
// entries see the same state and choose alike, so each has probably changed its calls as this
// entry did.
func (l *Load) peerChange(now time.Time) float64 {
	peers := l.peerStats.peers()
	if peers == 0 {
		return 0
	}
	return mirrorRatio * peers * float64(l.inFlight-l.inFlightAt(now.Add(-l.peerStats.age(now))))
}

func (l *Load) peerCalls() float64 {
	fromDigests := l.peers.inFlight
	if l.report.At.IsZero() {
		return fromDigests
	}
	fromReport := float64(l.report.Running+l.report.Queued) - float64(l.inFlightAt(l.report.At))
	if l.peers.known {
		// Digests are newer than a report, but a report includes calls that no digest covers.
		return max(fromDigests, 0.5*(fromDigests+max(fromReport, 0)))
	}
	return max(fromReport, 0)
}

// First predicts the time to the first byte of one more call: the wait for a slot, the prefill
// of the pending prompts and of the call, and one decode step.
func (l *Load) First(now time.Time, work Work) time.Duration {
	inFlight := l.InFlight(now)
	seconds := l.queueWait(inFlight) + l.stall(now).Seconds()
	ahead := float64(l.pendingPrefill) + l.peers.pendingPrefill
	seconds += (ahead + float64(work.Prompt)) / l.PrefillRate()
	if work.Decode > 0 {
		seconds += l.stepSeconds(inFlight + 1)
	} else {
		seconds += l.callSeconds
	}
	return toDuration(seconds * l.correction(now))
}

// Next predicts the time between two tokens with further more calls at the endpoint.
func (l *Load) Next(now time.Time, further int) time.Duration {
	inFlight := min(l.InFlight(now)+float64(further), float64(l.Slots()))
	return toDuration(l.stepSeconds(inFlight))
}

// Growth predicts by how much one more call increases the time between tokens.
func (l *Load) Growth() time.Duration { return toDuration(l.stepSeconds(2) - l.stepSeconds(1)) }

// Known reports whether predictions for the endpoint are based on measurements rather than
// defaults.
func (l *Load) Known() bool {
	return l.report.Decode > 0 || l.stepTime.weight >= regressionTrust || l.callSeconds > 0
}

// PrefillRate returns the prefill speed in words per second.
func (l *Load) PrefillRate() float64 {
	if l.report.Prefill > 0 {
		return l.report.Prefill
	}
	return defaultPrefill
}

// Ejected reports whether the endpoint is ejected because calls failed. After the ejection
// time, one call at a time is sent there until one is answered.
func (l *Load) Ejected(now time.Time) bool {
	if l.ejectedUntil.IsZero() {
		return false
	}
	return now.Before(l.ejectedUntil) || l.probing
}

// FailureRate returns the smoothed failure rate, from 0 to 1.
func (l *Load) FailureRate() float64 { return l.failureRate }

// QueueWait predicts how long one more call waits for a slot if no call with a higher priority
// arrives.
func (l *Load) QueueWait(now time.Time) time.Duration {
	return toDuration(l.queueWait(l.InFlight(now)))
}

func (l *Load) queueWait(inFlight float64) float64 {
	slots := float64(l.Slots())
	if inFlight < slots {
		return 0
	}
	slotSeconds := l.callSeconds
	if slotSeconds == 0 {
		slotSeconds = l.stepSeconds(slots) * max(float64(l.pendingDecode)/max(float64(l.inFlight), 1), 1)
	}
	return (inFlight - slots + 1) * slotSeconds / slots
}

func (l *Load) stepSeconds(inFlight float64) float64 {
	decode := l.report.Decode
	if decode <= 0 {
		decode = defaultDecode
	}
	return l.stepTime.predict(max(inFlight, 1), 1/decode, defaultGrowth/decode)
}

// stall returns for how much longer than usual an endpoint with own calls in flight has sent
// nothing.
func (l *Load) stall(now time.Time) time.Duration {
	if l.inFlight == 0 || l.lastProgress.IsZero() {
		return 0
	}
	idle := now.Sub(l.lastProgress)
	if l.pendingDecode == 0 && idle < 2*toDuration(l.callSeconds) {
		return 0
	}
	expected := stallThreshold + toDuration(float64(l.pendingPrefill)/l.PrefillRate())
	return max(idle-expected, 0)
}

func (l *Load) correction(now time.Time) float64 {
	if l.factor == 1 {
		return 1
	}
	age := now.Sub(l.factorAt).Seconds() / factorHalfLife.Seconds()
	return 1 + (l.factor-1)*math.Exp2(-max(age, 0))
}

// startCall counts a call and reports whether it probes an ejected endpoint.
func (l *Load) startCall(now time.Time, work Work) bool {
	if l.inFlight == 0 {
		l.lastProgress = now
	}
	l.inFlight++
	l.pendingPrefill += work.Prompt
	l.pendingDecode += work.Decode
	l.recordHistory(now)
	probe := !l.ejectedUntil.IsZero() && !now.Before(l.ejectedUntil) && !l.probing
	l.probing = l.probing || probe
	return probe
}

func (l *Load) updateFactor(actual, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := actual.Seconds() / max(expected.Seconds(), 0.001)
	l.factor = clamp(l.factor*(1+factorSmoothing*(clamp(ratio, factorMin, factorMax)-1)), factorMin, factorMax)
	l.factorAt = l.lastProgress
}

func (l *Load) updateStepTime(now time.Time, gap time.Duration) {
	l.stepTime.add(min(l.InFlight(now), float64(l.Slots())), gap.Seconds())
}

func (l *Load) endCall(now time.Time, result Result, duration time.Duration) {
	switch result {
	case Done:
		l.lastProgress = now
		l.failureStreak = 0
		l.failureRate *= 1 - failureSmoothing
		if !l.ejectedUntil.IsZero() && !now.Before(l.ejectedUntil) {
			l.ejectedUntil = time.Time{}
			l.ejection = 0
		}
		if l.callSeconds == 0 {
			l.callSeconds = duration.Seconds()
		}
		l.callSeconds += durationSmoothing * (duration.Seconds() - l.callSeconds)
	case Failed, Refused:
		l.failureStreak++
		if result == Refused {
			l.failureStreak = max(l.failureStreak, maxFailureStreak)
		}
		l.failureRate += failureSmoothing * (1 - l.failureRate)
		// A call started before the ejection is no new evidence against the endpoint.
		if now.Before(l.ejectedUntil) {
			return
		}
		if l.failureStreak >= maxFailureStreak || l.failureRate > maxFailureRate || !l.ejectedUntil.IsZero() {
			l.ejection = min(max(2*l.ejection, minEjection), maxEjection)
			l.ejectedUntil = now.Add(l.ejection)
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

// recordHistory records the number of own calls at a time, for comparison with load reports
// that arrive later.
func (l *Load) recordHistory(now time.Time) {
	bucket := max(now.UnixNano()/int64(historyStep), l.historyEnd)
	last := l.history[l.historyEnd%historySlots]
	for b := max(l.historyEnd+1, bucket-historySlots+1); b < bucket; b++ {
		l.history[b%historySlots] = last
	}
	l.history[bucket%historySlots] = int32(l.inFlight)
	l.historyEnd = bucket
}

func (l *Load) inFlightAt(at time.Time) int {
	bucket := at.UnixNano() / int64(historyStep)
	if l.historyEnd == 0 || bucket >= l.historyEnd {
		return l.inFlight
	}
	if l.historyEnd-bucket >= historySlots {
		bucket = l.historyEnd - historySlots + 1
	}
	return int(l.history[bucket%historySlots])
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}

func clamp(x, low, high float64) float64 { return min(max(x, low), high) }
