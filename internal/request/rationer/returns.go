package rationer

import (
	"math/rand/v2"
	"time"
)

const (
	// returnSlot is the length of the time slots for which returns are promised, and returnSlots
	// their number.
	returnSlot  = 25 * time.Millisecond
	returnSlots = 128
	// returnFraction is the fraction of the capacity that is promised to returning callers. The
	// rest is left to new ones, who are not asked back.
	returnFraction = 0.5
	// honoredFraction is the fraction of its remaining time up to which a caller honors a delay.
	honoredFraction = 1.0 / 3
	// lateSpread is the fraction of that time over which callers without a promise are
	// spread.
	lateSpread = 0.25
	// minReturn is the least time that a caller must have waited to count as returning.
	minReturn = 40 * time.Millisecond
	// newcomerFactor is the factor of the queue time of new calls while calls of their rank
	// are asked to return, so that these go first.
	newcomerFactor = 0.8
)

// rankReturns is the fraction of a slot's capacity up to which returns of each rank are
// promised, so that later promises to more urgent callers still find early slots.
var rankReturns = [Ranks]float64{1, 0.75, 0.5}

// returns is the work promised to returning callers by slot of time.
type returns struct {
	work  [returnSlots]float64
	first int64 // number of the first slot
}

func (l *returns) advance(now time.Time) {
	slot := now.UnixNano() / int64(returnSlot)
	for s := max(l.first, slot-returnSlots); s < slot; s++ {
		l.work[s%returnSlots] = 0
	}
	l.first = max(l.first, slot)
}

// Return returns the delay after which a refused caller is told to return: not before wait,
// when the first endpoint has room, and not after the part of its remaining time that it
// honors. capacity is this node's part of the rate of all endpoints, in prompt tokens per
// millisecond. The delays are chosen so that the returning work adds up to no more than a
// fraction of the capacity; isPromised is false if there is no such time, and the caller then
// gets the latest delay.
func (r *Rationer) Return(c *Call, wait time.Duration, capacity float64, now time.Time) (delay time.Duration, isPromised bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(c.Service, now)
	l := &s.returns
	l.advance(now)
	latest := time.Duration(honoredFraction * float64(c.Remaining))
	if wait >= latest {
		return max(latest, 0), false
	}
	perSlot := returnFraction * capacity * float64(returnSlot/time.Millisecond)
	limit := rankReturns[c.rank()] * perSlot
	from, to := now.Add(wait).UnixNano()/int64(returnSlot)+1, now.Add(latest).UnixNano()/int64(returnSlot)
	to = min(to, l.first+returnSlots)
	for slot := from; slot < to; slot++ {
		// The work of one call may exceed a slot, so it uses up several. All are free before.
		need, end := c.work(), slot
		for ; end < l.first+returnSlots && need > 0 && l.work[end%returnSlots] < limit; end++ {
			need -= limit - l.work[end%returnSlots]
		}
		if need > 0 {
			continue
		}
		l.book(slot, c.work(), limit)
		at := time.Unix(0, slot*int64(returnSlot)).Add(time.Duration(rand.Float64() * float64(returnSlot)))
		return min(at.Sub(now), latest), true
	}
	// Later than that no caller returns, so this one gets a random late time.
	return max(wait, latest-time.Duration(rand.Float64()*lateSpread*float64(latest))), false
}

// book fills slots up to the limit with the work of a call.
func (l *returns) book(slot int64, work, limit float64) {
	for ; work > 0; slot++ {
		part := min(limit-l.work[slot%returnSlots], work)
		l.work[slot%returnSlots] += part
		work -= part
	}
}

// Promised returns the work that callers of a service were promised to return with within d.
func (r *Rationer) Promised(service string, d time.Duration, now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		return 0
	}
	s.returns.advance(now)
	sum := 0.0
	for slot := s.returns.first; slot < min(now.Add(d).UnixNano()/int64(returnSlot), s.returns.first+returnSlots); slot++ {
		sum += s.returns.work[slot%returnSlots]
	}
	return sum
}

// isPromising reports whether callers were promised to return about now.
func (l *returns) isPromising(now time.Time) bool {
	l.advance(now)
	return l.work[l.first%returnSlots] > 0
}

// orderReturns lets returning calls go before new ones of their rank while capacity is short,
// as long as they can still meet their objective. Those that can't give way to others.
func (s *service) orderReturns(c *Call, base time.Duration, now time.Time) time.Duration {
	if c.Objective <= 0 || !s.ranks[c.rank()].isShort() {
		return base
	}
	if c.Waited < minReturn {
		if s.returns.isPromising(now) {
			return time.Duration(newcomerFactor * float64(base))
		}
		return base
	}
	fresh := *c
	fresh.Waited = 0
	inTime := min(baseQueueTime(&fresh), c.Objective-c.Waited-c.prefill())
	return max(inTime, time.Duration(minLateQueueFraction*float64(c.Objective)))
}
