package placer

import (
	"math"
	"time"
)

const (
	// queueAge is the age constant with which the expected number of calls at an endpoint
	// returns from the reported one to what the nodes report of their calls: a plain call
	// takes some ten milliseconds, so a queue is gone after a few of them.
	queueAge = 250 * time.Millisecond
	// peerMeanSmoothing is the weight of a new sum of the other nodes' calls in its mean. A
	// single sum is older than most of the calls in it.
	peerMeanSmoothing = 0.2
	// latestPeerFraction is the weight of the latest sum against that mean.
	latestPeerFraction = 0.6
	// minFreeFraction is the least fraction of its slots that an endpoint is expected to have
	// free, since knowledge of a full endpoint is out of date after a few calls.
	minFreeFraction = 0.1
	// callTimeSmoothing is the weight of a new measurement of the time that a call takes.
	callTimeSmoothing = 0.1
	// maxCallTimeRatio bounds the ratio of an endpoint's call time to the service's mean.
	maxCallTimeRatio = 4.0
	// localPreference is the factor by which endpoints in this node's failure domain are
	// preferred for plain calls.
	localPreference = 1.1
	// rejectionSmoothing is the weight of a new outcome in the ratio of rejected calls.
	rejectionSmoothing = 0.1
	// overdueFactor is the multiple of the usual call time, and overdueTime the least time,
	// after which a call without an answer counts against its endpoint.
	overdueFactor = 6.0
	overdueTime   = 200 * time.Millisecond
	// minSilence and maxSilence bound how long an endpoint is avoided whose last calls all
	// had no success. The time is four times as long with each of them. An entry sends an endpoint about a
	// call a second, and each call that is tried there in vain is late.
	minSilence = 500 * time.Millisecond
	maxSilence = 16 * time.Second
	// avoidedFactor is the factor of the weight of an endpoint that is avoided: it gets calls
	// if there is no other.
	avoidedFactor = 0.001
)

// plain is what is known of an endpoint that serves plain calls.
type plain struct {
	peerMean       float64 // smoothed number of the other nodes' calls
	callTime       float64 // at the usual speed, in milliseconds; 0 if not measured
	rejectionRatio float64
	failures       int       // calls without success since the last successful one
	failedAt       time.Time // end of the last of them
	oldest         time.Time // start of the first call since the last answer; zero if none is in flight
}

// isPlain reports whether the call is placed by the load that endpoints report.
func (p *Placer) isPlain(req *Request) bool {
	return req.Prompt == 0 && req.KVSize == 0 && p.reportsLoad(req.Service, req.Now)
}

// expectedCalls returns the number of calls that the endpoint is expected to have.
func (p *Placer) expectedCalls(e *endpoint, now time.Time) float64 {
	own := e.ownLoad.InFlight
	peers := 0.0
	if now.Sub(p.peersUpdated) <= peerLoadTTL {
		peers = latestPeerFraction*float64(e.peerLoad.InFlight) + (1-latestPeerFraction)*e.plain.peerMean
	}
	// As many calls a second occupy more slots while each takes longer.
	expected := (peers + float64(own)) * e.told.slowdown(now)
	if fresh := e.told.freshness(now, queueAge); fresh > 0 {
		reported := float64(e.told.load.Running + e.told.load.Waiting + min(e.told.begun, own))
		expected += fresh * (reported - expected)
	}
	return expected
}

// plainCost returns a random cost. The endpoint with the least one is chosen, so that each is
// chosen in proportion to its weight: nodes with the same outdated knowledge choose
// different endpoints.
func (p *Placer) plainCost(e *endpoint, req *Request) float64 {
	return -math.Log(uniform(req.Random, e.hash)) / p.plainWeight(e, req)
}

// uniform returns a number in (0, 1) that depends on a random number and on the endpoint.
func uniform(random float64, hash uint64) float64 {
	x := math.Float64bits(random) + hash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// plainWeight returns the calls per millisecond that the endpoint is expected to have
// capacity for.
func (p *Placer) plainWeight(e *endpoint, req *Request) float64 {
	slots := float64(e.usableSlots())
	mean := p.meanCallTime(req.Service)
	callTime := mean
	if e.plain.callTime > 0 {
		callTime = min(max(e.plain.callTime, mean/maxCallTimeRatio), mean*maxCallTimeRatio)
	}
	weight := max(slots-p.expectedCalls(e, req.Now), minFreeFraction*slots) / (e.told.slowdown(req.Now) * callTime)
	weight *= (1 - e.failureRatio) * (1 - e.plain.rejectionRatio)
	if e.Domain == req.Domain {
		weight *= localPreference
	}
	if e.isSilent(mean, req.Now) {
		weight *= avoidedFactor
	}
	return max(weight, math.SmallestNonzeroFloat32)
}

// usableSlots returns the slots of the endpoint: those that are listed, unless it reports
// fewer. A report of more does not attract calls.
func (e *endpoint) usableSlots() int {
	if e.told.load.Slots > 0 && (e.Slots <= 0 || e.told.load.Slots < e.Slots) {
		return e.told.load.Slots
	}
	return max(e.Slots, 1)
}

// isSilent reports whether the endpoint has not answered a call for long, or its last calls
// had no success.
func (e *endpoint) isSilent(callTime float64, now time.Time) bool {
	s := &e.plain
	if !s.oldest.IsZero() && e.isOverdue(now.Sub(s.oldest), callTime, now) {
		return true
	}
	if s.failures == 0 {
		return false
	}
	return now.Sub(s.failedAt) < min(minSilence<<(2*min(s.failures-1, 5)), maxSilence)
}

// isOverdue reports whether the endpoint should have answered a call that began some time ago.
func (e *endpoint) isOverdue(waited time.Duration, callTime float64, now time.Time) bool {
	return milliseconds(waited) > max(overdueFactor*callTime*e.told.slowdown(now), milliseconds(overdueTime))
}

// defaultCallTime is the call time assumed while none has been measured, in milliseconds. Only
// ratios of call times count.
const defaultCallTime = 30.0

// meanCallTime returns the mean call time of the endpoints of a service, in milliseconds.
func (p *Placer) meanCallTime(service string) float64 {
	sum, n := 0.0, 0
	for _, e := range p.services[service] {
		if e.plain.callTime > 0 {
			sum += e.plain.callTime
			n++
		}
	}
	if n == 0 {
		return defaultCallTime
	}
	return sum / float64(n)
}

// beginPlain records that a call begins at the endpoint.
func (e *endpoint) beginPlain(now time.Time) {
	e.told.begun++
	if e.plain.oldest.IsZero() {
		e.plain.oldest = now
	}
}

// endPlain records the end of a call.
func (p *Placer) endPlain(c *Choice, outcome Outcome, now time.Time) {
	e := c.endpoint
	s := &e.plain
	switch outcome {
	case Answered:
		s.failures = 0
		s.rejectionRatio -= rejectionSmoothing * s.rejectionRatio
		if took := milliseconds(now.Sub(c.started)) / e.told.slowdown(now); took > 0 {
			if s.callTime == 0 {
				s.callTime = took
			}
			s.callTime += callTimeSmoothing * (took - s.callTime)
		}
	case Rejected:
		s.rejectionRatio += rejectionSmoothing * (1 - s.rejectionRatio)
		if c.isReportedFree {
			// It reports free slots and does not use them.
			s.failures++
			s.failedAt = now
		}
	case Failed, Unreached, Misdirected:
		s.failures++
		s.failedAt = now
	case Abandoned:
		// A caller that leaves early says nothing of the endpoint; a call whose time is over does.
		if c.isPlain && c.isUnanswered && e.isOverdue(now.Sub(c.started), p.meanCallTime(e.Service), now) {
			s.failures++
			s.failedAt = now
		}
	}
	s.oldest = time.Time{}
	if e.ownLoad.InFlight > 0 && (outcome == Answered || outcome == Rejected) {
		s.oldest = now
	}
}
