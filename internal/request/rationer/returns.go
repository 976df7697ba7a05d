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

// rankReturns is the fraction of a slot's capacity up to which returns of a rank and of the less
// urgent ones are promised, so that later promises to more urgent callers still find early slots.
var rankReturns = [Ranks]float64{1, 0.5, 0.2}

// returns is the work promised to returning callers by slot of time and by rank.
type returns struct {
	work  [returnSlots][Ranks]float64
	first int64 // number of the first slot
}

func (l *returns) at(slot int64) *[Ranks]float64 { return &l.work[slot%returnSlots] }

func (l *returns) advance(now time.Time) {
	slot := now.UnixNano() / int64(returnSlot)
	for s := max(l.first, slot-returnSlots); s < slot; s++ {
		*l.at(s) = [Ranks]float64{}
	}
	l.first = max(l.first, slot)
}

// room returns how much work of a rank may still be promised for a slot that takes perSlot.
func (l *returns) room(slot int64, rank int, perSlot float64) float64 {
	room, promised := perSlot, 0.0
	for k := Ranks - 1; k >= 0; k-- {
		promised += l.at(slot)[k]
		if k <= rank {
			room = min(room, rankReturns[k]*perSlot-promised)
		}
	}
	return max(room, 0)
}

// find returns the first slot in [from, to) from which on the slots have room for the work of a
// call, which may exceed a slot.
func (l *returns) find(from, to int64, work float64, rank int, perSlot float64) (int64, bool) {
	to = min(to, l.first+returnSlots)
	for slot := from; slot < to; slot++ {
		need, end := work, slot
		for ; end < l.first+returnSlots && need > 0; end++ {
			room := l.room(end, rank, perSlot)
			if room <= 0 {
				break
			}
			need -= room
		}
		if need <= 0 {
			return slot, true
		}
		slot = max(slot, end) // the slot without room
	}
	return 0, false
}

// book promises the work of a call from a slot on.
func (l *returns) book(slot int64, work float64, rank int, perSlot float64) {
	for ; work > 0; slot++ {
		part := min(l.room(slot, rank, perSlot), work)
		l.at(slot)[rank] += part
		work -= part
	}
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
	from, to := now.Add(wait).UnixNano()/int64(returnSlot)+1, now.Add(latest).UnixNano()/int64(returnSlot)
	if slot, ok := l.find(from, to, c.work(), c.rank(), perSlot); ok {
		l.book(slot, c.work(), c.rank(), perSlot)
		at := time.Unix(0, slot*int64(returnSlot)).Add(time.Duration(rand.Float64() * float64(returnSlot)))
		return at.Sub(now), true
	}
	// Later than that no caller returns, so this one gets a random late time.
	return max(wait, latest-time.Duration(rand.Float64()*lateSpread*float64(latest))), false
}

// isPromising reports whether callers were promised to return about now.
func (l *returns) isPromising(now time.Time) bool {
	l.advance(now)
	work := l.at(l.first)
	return *work != [Ranks]float64{}
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
