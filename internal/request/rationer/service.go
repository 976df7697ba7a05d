package rationer

import (
	"math"
	"time"
)

const (
	// window is the time in which counted work decays to 1/e.
	window = 2 * time.Second
	// decayInterval is the time between two decays of the counters.
	decayInterval = 50 * time.Millisecond
	// sharedTTL is the age after which what other nodes counted is ignored.
	sharedTTL = 2 * time.Second
	// maxCustomers bounds the customers that are tracked for each rank.
	maxCustomers = 256
)

// Work counts the work that calls of a rank asked for in a decaying window, in tokens: all of
// it, the refused or late part, and the admitted part.
type Work struct {
	Asked    float64
	Bad      float64
	Admitted float64
}

func (w *Work) scale(f float64) { w.Asked, w.Bad, w.Admitted = w.Asked*f, w.Bad*f, w.Admitted*f }

func (w *Work) plus(o Work) Work {
	return Work{Asked: w.Asked + o.Asked, Bad: w.Bad + o.Bad, Admitted: w.Admitted + o.Admitted}
}

// rank is the state of one rank of a service.
type rank struct {
	own      Work
	reported Work // what Report returned last, which is part of what other nodes tell
	others   Work
	cap      time.Duration // shortest allowed queue time of a call that was refused lately
	cappedAt time.Time
	calls    float64 // number of calls asked for
	large    Work    // of the calls that count as large, by number
	rest     Work
	// customers holds the work of each customer.
	customers map[string]*Work
}

type service struct {
	ranks     [Ranks]rank
	decayedAt time.Time
	sharedAt  time.Time // when others was set
	returns   returns
}

func (r *Rationer) service(name string, now time.Time) *service {
	s := r.services[name]
	if s == nil {
		s = &service{decayedAt: now}
		for i := range s.ranks {
			s.ranks[i].customers = make(map[string]*Work)
		}
		r.services[name] = s
	}
	s.decay(now)
	return s
}

// decay reduces all counters by the time that has passed.
func (s *service) decay(now time.Time) {
	passed := now.Sub(s.decayedAt)
	if passed < decayInterval {
		return
	}
	s.decayedAt = now
	f := math.Exp(-float64(passed) / float64(window))
	for i := range s.ranks {
		k := &s.ranks[i]
		k.own.scale(f)
		k.large.scale(f)
		k.rest.scale(f)
		k.calls *= f
		for name, w := range k.customers {
			if w.scale(f); w.Asked < 1 {
				delete(k.customers, name)
			}
		}
	}
}

// ask counts a call.
func (s *service) ask(c *Call, isAdmitted bool) {
	k := &s.ranks[c.rank()]
	one, work := Work{Asked: 1}, Work{Asked: c.work()}
	if isAdmitted {
		one.Admitted, work.Admitted = 1, c.work()
	}
	class := &k.rest
	if s.isLarge(c) {
		class = &k.large
	}
	*class = class.plus(one)
	k.calls++
	k.own = k.own.plus(work)
	w := k.customers[c.Customer]
	if w == nil {
		if len(k.customers) >= maxCustomers {
			return
		}
		w = &Work{}
		k.customers[c.Customer] = w
	}
	*w = w.plus(work)
}

// total returns the work of a rank over all nodes, as far as it is known.
func (s *service) total(rank int, now time.Time) Work {
	k := &s.ranks[rank]
	if now.Sub(s.sharedAt) > sharedTTL {
		return k.own
	}
	return k.own.plus(k.others)
}

// pressure returns the fraction of a rank's work that is refused or late, beyond what is tolerated
// of each: calls are also late because endpoints are slow for a while or fail.
func (s *service) pressure(rank int, now time.Time) float64 {
	t := s.total(rank, now)
	if t.Asked <= 0 {
		return 0
	}
	refused := max(t.Asked-t.Admitted, 0)
	return max(refused/t.Asked-tolerance, 0) + max(t.lateWork()/t.Asked-lateTolerance, 0)
}

// level returns the fraction of its usual queue time that a rank has while more urgent calls
// are refused or late.
func (s *service) level(rank int, now time.Time) float64 {
	level := 1.0
	for urgent := range min(rank, Ranks) {
		level = min(level, 1-gain*s.pressure(urgent, now))
	}
	return max(level, minLevel)
}

// lateWork returns the admitted work of a rank that is late.
func (w *Work) lateWork() float64 { return min(max(w.Bad-(w.Asked-w.Admitted), 0), w.Admitted) }

// ownLevel reduces the queue time of a rank whose admitted calls turn out to be late: entries
// that decide at the same time from the same reports send more than each of them expects.
func (s *service) ownLevel(rank int, now time.Time) float64 {
	t := s.total(rank, now)
	if t.Admitted <= 0 {
		return 1
	}
	return max(1-lateGain*max(t.lateWork()/t.Admitted-lateTolerance, 0), minOwnLevel)
}

// beforeOvertaking reduces the queue time of a call while capacity is short so that it is still
// in time if more urgent calls go on coming as in the last window: they are processed first.
func (s *service) beforeOvertaking(c *Call, base time.Duration, now time.Time) time.Duration {
	if c.Capacity <= 0 || c.Objective <= 0 || s.level(c.rank()+1, now) == 1 {
		return base
	}
	urgent := 0.0
	for rank := range c.rank() {
		t := s.total(rank, now)
		urgent += t.Admitted
	}
	left := 1 - min(urgent/(c.Capacity*float64(window/time.Millisecond)), maxOvertaking)
	prefill := c.prefill()
	return max(time.Duration(float64(base+prefill)*left)-prefill, time.Duration(minLateQueueFraction*left*float64(c.Objective)))
}

// yieldLevel reduces the queue time of a rank while a less urgent one is served less than its
// minimum share: endpoints reach its calls only if no more urgent ones wait.
func (s *service) yieldLevel(rank int, now time.Time) float64 {
	starved := 0.0
	for other := rank + 1; other < Ranks; other++ {
		if t := s.total(other, now); t.Asked > callWork {
			starved = max(starved, 1-(t.Admitted-t.lateWork())/(MinShare*t.Asked))
		}
	}
	return 1 - yieldGain*starved
}

// isBelowMinimum reports whether less than the minimum share of a rank's work was admitted.
func (s *service) isBelowMinimum(rank int, now time.Time) bool {
	t := s.total(rank, now)
	return t.Admitted < MinShare*t.Asked
}

// isLarge reports whether a call is much larger than the mean of its rank.
func (s *service) isLarge(c *Call) bool {
	k := &s.ranks[c.rank()]
	return k.calls > 0 && c.work() > largeFactor*k.own.Asked/k.calls
}

// isShort reports whether calls of the rank itself are refused.
func (k *rank) isShort() bool { return k.own.Asked-k.own.Admitted > tolerance*k.own.Asked }

// sizeFactor prefers calls that need less work, unless large calls are served too rarely in
// comparison.
func (s *service) sizeFactor(c *Call) float64 {
	k := &s.ranks[c.rank()]
	if !k.isShort() || k.large.Asked < 1 || k.rest.Asked < 1 {
		return 1
	}
	isBehind := k.large.Admitted/k.large.Asked < largeServed*k.rest.Admitted/k.rest.Asked
	if isBehind != s.isLarge(c) {
		return behindFactor
	}
	return 1
}

// customerFactor reduces the queue time of a customer that has more than its fair share of the
// admitted work of its rank while calls of others are refused.
func (s *service) customerFactor(c *Call) float64 {
	k := &s.ranks[c.rank()]
	w := k.customers[c.Customer]
	if w == nil || len(k.customers) < 2 || !k.isShort() {
		return 1
	}
	othersAsked, othersAdmitted := 0.0, 0.0
	for name, o := range k.customers {
		if name != c.Customer {
			othersAsked += o.Asked
			othersAdmitted += o.Admitted
		}
	}
	if othersAdmitted >= (1-tolerance)*othersAsked {
		return 1 // what the others leave is nobody's share
	}
	fair := (othersAdmitted + w.Admitted) / float64(len(k.customers))
	if w.Admitted <= fairSlack*fair {
		return 1
	}
	return max(fair/w.Admitted, minLevel)
}

// Report returns the work that this node counted, by service and rank, to be told to others.
func (r *Rationer) Report(now time.Time) map[string][Ranks]Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][Ranks]Work)
	for name, s := range r.services {
		s.decay(now)
		var works [Ranks]Work
		isUsed := false
		for i := range s.ranks {
			k := &s.ranks[i]
			works[i], k.reported = k.own, k.own
			isUsed = isUsed || k.own.Asked >= 1
		}
		if !isUsed {
			delete(r.services, name)
			continue
		}
		out[name] = works
	}
	return out
}

// SetShared records what all nodes counted, with what this node reported last.
func (r *Rationer) SetShared(shared map[string][Ranks]Work, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.services {
		works := shared[name]
		for i := range s.ranks {
			k := &s.ranks[i]
			k.others = Work{
				Asked: max(works[i].Asked-k.reported.Asked, 0), Bad: max(works[i].Bad-k.reported.Bad, 0), Admitted: max(works[i].Admitted-k.reported.Admitted, 0),
			}
		}
		s.sharedAt = now
	}
}

// Levels returns the fraction of its usual queue time that each rank has, by service.
func (r *Rationer) Levels(now time.Time) map[string][Ranks]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][Ranks]float64, len(r.services))
	for name, s := range r.services {
		s.decay(now)
		var levels [Ranks]float64
		for i := range levels {
			levels[i] = s.level(i, now) * s.ownLevel(i, now) * s.yieldLevel(i, now)
		}
		out[name] = levels
	}
	return out
}
