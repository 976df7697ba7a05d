package admitter

import (
	"cmp"
	"slices"
	"time"
)

const (
	waitRatioSmoothing = 0.05
	minWaitRatio       = 0.5
	maxWaitRatio       = 4.0
	meanWorkSmoothing  = 0.05
	minRetryAfter      = 100 * time.Millisecond
	reserveTTL         = 10 * time.Second // a level without calls for this long reserves no room
)

// level is the queue of one priority: start-time fair queueing over the customers'
// flows.
type level struct {
	priority    int
	lastOffered time.Time // arrival of the last call
	virtual     float64   // start tag of the last admitted call
	flows       map[string]*flow
}

// flow holds the calls of one customer at one priority. An empty flow is kept until
// the virtual time has reached its tag.
type flow struct {
	weight float64
	tag    float64 // start tag of the first call
	queue  []queuedCall
	work   float64 // of the queued calls, in seconds
}

type queuedCall struct {
	request   Request
	queuedAt  time.Time
	predicted time.Duration
}

func (a *Admitter) level(priority int) *level {
	i, found := slices.BinarySearchFunc(a.levels, priority, func(l *level, p int) int { return cmp.Compare(l.priority, p) })
	if !found {
		a.levels = slices.Insert(a.levels, i, &level{priority: priority, flows: make(map[string]*flow)})
	}
	return a.levels[i]
}

func (l *level) flow(r Request) *flow {
	f, ok := l.flows[r.Customer]
	if !ok {
		f = &flow{tag: l.virtual}
		l.flows[r.Customer] = f
	}
	f.weight = r.weight()
	return f
}

func (a *Admitter) offerFair(now time.Time, r Request, room Room) []Decision {
	if a.meanWork == 0 {
		a.meanWork = r.work()
	}
	a.meanWork += meanWorkSmoothing * (r.work() - a.meanWork)
	l := a.level(r.Priority)
	l.lastOffered = now
	f := l.flow(r)
	wait := a.predictWait(l, f, r, room)
	if late := a.lateness(now, r, wait); late > 0 {
		return []Decision{{id: r.ID, kind: Refuse, reason: Late, retryAfter: max(late, minRetryAfter)}}
	}
	a.push(now, l, f, r, wait)
	decisions := a.enforceLimits(now)
	if _, queued := a.locations[r.ID]; !queued {
		return decisions
	}
	decisions = append(decisions, a.release(now, room)...)
	if _, queued := a.locations[r.ID]; queued {
		return append(decisions, Decision{id: r.ID, kind: Queue})
	}
	own := slices.IndexFunc(decisions, func(d Decision) bool { return d.id == r.ID })
	last := decisions[own]
	return append(slices.Delete(decisions, own, own+1), last)
}

// lateness returns by how much a call misses its deadline, or exceeds its longest
// wait.
func (a *Admitter) lateness(now time.Time, r Request, wait time.Duration) time.Duration {
	late := wait - a.maxWait(r)
	if !r.Deadline.IsZero() {
		late = max(late, now.Add(wait+r.PredictedDuration).Sub(r.Deadline))
	}
	return late
}

// maxWait returns how long a call may wait.
func (a *Admitter) maxWait(r Request) time.Duration {
	if r.MaxWait > 0 {
		return min(r.MaxWait, a.limits.Wait)
	}
	return a.limits.Wait
}

// predictWait returns how long a new call would wait: the work ahead of it, divided
// by the number of calls that run at once. Until it starts, each other flow of its
// priority gets only its share.
func (a *Admitter) predictWait(l *level, f *flow, r Request, room Room) time.Duration {
	before, at := 0.0, f.position(r)
	for _, w := range f.queue[:at] {
		before += w.request.work()
	}
	finishTag := max(f.tag, l.virtual) + (before+r.work())/f.weight
	ahead := before
	for _, other := range l.flows {
		if other != f && len(other.queue) > 0 {
			ahead += min(other.work, max(finishTag-other.tag, 0)*other.weight)
		}
	}
	for _, urgent := range a.levels {
		if urgent.priority >= l.priority {
			break
		}
		for _, other := range urgent.flows {
			ahead += other.work
		}
	}
	if ahead == 0 && room.Free >= 1 {
		return 0
	}
	if room.Free < 1 {
		ahead += a.meanWork
	}
	seconds := a.waitRatio * ahead / max(room.Limit, 1)
	return time.Duration(seconds * float64(time.Second))
}

// position returns the position of a new call in the flow, which is ordered by worth
// per work, then by deadline.
func (f *flow) position(r Request) int {
	density := r.density()
	at, _ := slices.BinarySearchFunc(f.queue, 0, func(w queuedCall, _ int) int {
		before := cmp.Or(cmp.Compare(density, w.request.density()), w.request.Deadline.Compare(r.Deadline))
		if before <= 0 {
			return -1
		}
		return 1
	})
	return at
}

func (a *Admitter) push(now time.Time, l *level, f *flow, r Request, wait time.Duration) {
	if len(f.queue) == 0 {
		f.tag = max(f.tag, l.virtual)
	}
	f.queue = slices.Insert(f.queue, f.position(r), queuedCall{request: r, queuedAt: now, predicted: wait})
	f.work += r.work()
	a.locations[r.ID] = location{level: l, flow: f}
	a.updateNextExpiry(now, r)
	a.bytes += r.Bytes
}

func (a *Admitter) remove(id uint64) bool {
	p, ok := a.locations[id]
	if !ok {
		return false
	}
	i := slices.IndexFunc(p.flow.queue, func(w queuedCall) bool { return w.request.ID == id })
	a.removeAt(p.flow, i)
	return true
}

func (a *Admitter) removeAt(f *flow, i int) queuedCall {
	w := f.queue[i]
	f.queue = slices.Delete(f.queue, i, i+1)
	f.work -= w.request.work()
	if len(f.queue) == 0 {
		f.work = 0
	}
	a.bytes -= w.request.Bytes
	delete(a.locations, w.request.ID)
	return w
}

// enforceLimits refuses calls until the queue is within its limits: at the least
// urgent priority, the last call of the customer whose queued work is largest
// relative to its weight.
func (a *Admitter) enforceLimits(now time.Time) []Decision {
	var decisions []Decision
	for len(a.locations) > a.limits.Calls || a.bytes > a.limits.Bytes {
		f := a.largestBacklog()
		w := a.removeAt(f, len(f.queue)-1)
		reason := Displaced
		if w.queuedAt.Equal(now) {
			reason = Full
		}
		decisions = append(decisions, Decision{
			id: w.request.ID, kind: Refuse, reason: reason,
			retryAfter: max(w.predicted, minRetryAfter), waited: now.Sub(w.queuedAt),
		})
	}
	return decisions
}

func (a *Admitter) largestBacklog() *flow {
	for _, l := range slices.Backward(a.levels) {
		var largest *flow
		for _, f := range l.flows {
			if len(f.queue) > 0 && (largest == nil || f.work/f.weight > largest.work/largest.weight) {
				largest = f
			}
		}
		if largest != nil {
			return largest
		}
	}
	panic("admitter: queue is over its limits and empty")
}

// release admits calls while there is room and refuses those that have become late.
func (a *Admitter) release(now time.Time, room Room) []Decision {
	var decisions []Decision
	minFree := 1.0
	for _, l := range a.levels {
		for room.Free >= minFree {
			f := l.next()
			if f == nil {
				break
			}
			w := a.removeAt(f, 0)
			waited := now.Sub(w.queuedAt)
			if late := a.lateness(now, w.request, 0); late > 0 {
				decisions = append(decisions, refuseLate(w, late, waited))
				continue
			}
			l.virtual = max(l.virtual, f.tag)
			f.tag += w.request.work() / f.weight
			room.Free--
			a.updateWaitRatio(w, waited)
			decisions = append(decisions, Decision{id: w.request.ID, waited: waited})
		}
		if now.Sub(l.lastOffered) < reserveTTL {
			minFree = 1 + room.Reserve
		}
	}
	if now.Before(a.nextExpiry) {
		return decisions
	}
	a.nextExpiry = now.Add(a.limits.Wait)
	for _, l := range a.levels {
		decisions = append(decisions, a.expire(now, l)...)
	}
	return decisions
}

// updateNextExpiry updates the time at which the next queued call becomes late.
func (a *Admitter) updateNextExpiry(queuedAt time.Time, r Request) {
	expiry := queuedAt.Add(a.maxWait(r))
	if !r.Deadline.IsZero() && r.Deadline.Add(-r.PredictedDuration).Before(expiry) {
		expiry = r.Deadline.Add(-r.PredictedDuration)
	}
	if len(a.locations) == 1 || expiry.Before(a.nextExpiry) {
		a.nextExpiry = expiry
	}
}

// next returns the flow with the smallest start tag that has calls, and deletes empty
// flows whose tag the virtual time has reached.
func (l *level) next() *flow {
	var best *flow
	name := ""
	for customer, f := range l.flows {
		if len(f.queue) == 0 {
			if f.tag <= l.virtual {
				delete(l.flows, customer)
			}
			continue
		}
		if best == nil || f.tag < best.tag || f.tag == best.tag && customer < name {
			best, name = f, customer
		}
	}
	return best
}

// expire refuses calls that would be late even if they started now.
func (a *Admitter) expire(now time.Time, l *level) []Decision {
	var decisions []Decision
	for _, f := range l.flows {
		for i := len(f.queue) - 1; i >= 0; i-- {
			w := f.queue[i]
			waited := now.Sub(w.queuedAt)
			if late := max(a.lateness(now, w.request, 0), waited-a.maxWait(w.request)); late > 0 {
				a.removeAt(f, i)
				decisions = append(decisions, refuseLate(w, late, waited))
				continue
			}
			a.updateNextExpiry(w.queuedAt, w.request)
		}
	}
	return decisions
}

func refuseLate(w queuedCall, late, waited time.Duration) Decision {
	return Decision{id: w.request.ID, kind: Refuse, reason: Late, retryAfter: max(late, minRetryAfter), waited: waited}
}

// updateWaitRatio updates the ratio by which predicted waits are corrected.
func (a *Admitter) updateWaitRatio(w queuedCall, waited time.Duration) {
	if w.predicted <= 0 {
		return
	}
	ratio := min(max(waited.Seconds()/w.predicted.Seconds(), minWaitRatio), maxWaitRatio)
	a.waitRatio = min(max(a.waitRatio*(1+waitRatioSmoothing*(ratio-1)), minWaitRatio), maxWaitRatio)
}
