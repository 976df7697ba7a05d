package admitter

import (
	"cmp"
	"slices"
	"time"
)

const (
	paceGain   = 0.05
	paceMin    = 0.5
	paceMax    = 4.0
	meanGain   = 0.05
	retryFloor = 100 * time.Millisecond
	urgentHold = 10 * time.Second // a level without calls for so long reserves no room
)

// level is the queue of one priority: start-time fair queueing over the flows of
// the customers.
type level struct {
	priority int
	offered  time.Time // when the last call came
	virtual  float64   // start tag of the call admitted last
	flows    map[string]*flow
}

// flow is the calls of one customer at one priority. Empty flows are kept until the
// virtual time has passed their last finish tag.
type flow struct {
	weight float64
	tag    float64 // start tag of the first call
	queue  []waiting
	work   float64
}

type waiting struct {
	request   Request
	since     time.Time
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
	if a.mean == 0 {
		a.mean = r.work()
	}
	a.mean += meanGain * (r.work() - a.mean)
	l := a.level(r.Priority)
	l.offered = now
	f := l.flow(r)
	wait := a.predict(l, f, r, room)
	if late := a.lateness(now, r, wait); late > 0 {
		return []Decision{{id: r.ID, kind: Refuse, reason: Late, retryAfter: max(late, retryFloor)}}
	}
	a.push(now, l, f, r, wait)
	decisions := a.bound(now)
	if _, queued := a.where[r.ID]; !queued {
		return decisions
	}
	decisions = append(decisions, a.release(now, room)...)
	if _, queued := a.where[r.ID]; queued {
		return append(decisions, Decision{id: r.ID, kind: Queue})
	}
	own := slices.IndexFunc(decisions, func(d Decision) bool { return d.id == r.ID })
	last := decisions[own]
	return append(slices.Delete(decisions, own, own+1), last)
}

// lateness returns by how much a call misses its deadline, or the bound on waiting.
func (a *Admitter) lateness(now time.Time, r Request, wait time.Duration) time.Duration {
	late := wait - a.patience(r)
	if !r.Deadline.IsZero() {
		late = max(late, now.Add(wait+r.Run).Sub(r.Deadline))
	}
	return late
}

// patience returns how long a call may wait.
func (a *Admitter) patience(r Request) time.Duration {
	if r.Patience > 0 {
		return min(r.Patience, a.limits.Wait)
	}
	return a.limits.Wait
}

// predict returns how long a new call would wait: the work that goes before it, over
// the calls that run at once. While it waits, each other flow of its
// priority gets its share only.
func (a *Admitter) predict(l *level, f *flow, r Request, room Room) time.Duration {
	before, at := 0.0, f.position(r)
	for _, w := range f.queue[:at] {
		before += w.request.work()
	}
	span := max(f.tag, l.virtual) + (before+r.work())/f.weight
	ahead := before
	for _, other := range l.flows {
		if other != f && len(other.queue) > 0 {
			ahead += min(other.work, max(span-other.tag, 0)*other.weight)
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
		ahead += a.mean
	}
	seconds := a.pace * ahead / max(room.Limit, 1)
	return time.Duration(seconds * float64(time.Second))
}

// position returns where a call goes in the flow: by worth per work, then by deadline.
func (f *flow) position(r Request) int {
	density := r.density()
	at, _ := slices.BinarySearchFunc(f.queue, 0, func(w waiting, _ int) int {
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
	f.queue = slices.Insert(f.queue, f.position(r), waiting{request: r, since: now, predicted: wait})
	f.work += r.work()
	a.where[r.ID] = place{level: l, flow: f}
	a.noteDue(now, r)
	a.bytes += r.Bytes
}

func (a *Admitter) remove(id uint64) bool {
	p, ok := a.where[id]
	if !ok {
		return false
	}
	i := slices.IndexFunc(p.flow.queue, func(w waiting) bool { return w.request.ID == id })
	a.take(p.flow, i)
	return true
}

func (a *Admitter) take(f *flow, i int) waiting {
	w := f.queue[i]
	f.queue = slices.Delete(f.queue, i, i+1)
	f.work -= w.request.work()
	if len(f.queue) == 0 {
		f.work = 0
	}
	a.bytes -= w.request.Bytes
	delete(a.where, w.request.ID)
	return w
}

// bound refuses calls until the queue is within its limits: of the least urgent
// priority, the last call of the customer that waits with the most work for its weight.
func (a *Admitter) bound(now time.Time) []Decision {
	var decisions []Decision
	for len(a.where) > a.limits.Calls || a.bytes > a.limits.Bytes {
		f := a.largest()
		w := a.take(f, len(f.queue)-1)
		reason := Displaced
		if w.since.Equal(now) {
			reason = Full
		}
		decisions = append(decisions, Decision{
			id: w.request.ID, kind: Refuse, reason: reason,
			retryAfter: max(w.predicted, retryFloor), waited: now.Sub(w.since),
		})
	}
	return decisions
}

func (a *Admitter) largest() *flow {
	for _, l := range slices.Backward(a.levels) {
		var most *flow
		for _, f := range l.flows {
			if len(f.queue) > 0 && (most == nil || f.work/f.weight > most.work/most.weight) {
				most = f
			}
		}
		if most != nil {
			return most
		}
	}
	panic("admitter: queue is over its limits and empty")
}

// release admits calls while there is room and refuses those that have become late.
func (a *Admitter) release(now time.Time, room Room) []Decision {
	var decisions []Decision
	least := 1.0
	for _, l := range a.levels {
		for room.Free >= least {
			f := l.next()
			if f == nil {
				break
			}
			w := a.take(f, 0)
			waited := now.Sub(w.since)
			if late := a.lateness(now, w.request, 0); late > 0 {
				decisions = append(decisions, refuseLate(w, late, waited))
				continue
			}
			l.virtual = max(l.virtual, f.tag)
			f.tag += w.request.work() / f.weight
			room.Free--
			a.learn(w, waited)
			decisions = append(decisions, Decision{id: w.request.ID, waited: waited})
		}
		if now.Sub(l.offered) < urgentHold {
			least = 1 + room.Reserve
		}
	}
	if now.Before(a.due) {
		return decisions
	}
	a.due = now.Add(a.limits.Wait)
	for _, l := range a.levels {
		decisions = append(decisions, a.expire(now, l)...)
	}
	return decisions
}

// noteDue keeps the time at which the next call in the queue becomes late.
func (a *Admitter) noteDue(since time.Time, r Request) {
	due := since.Add(a.patience(r))
	if !r.Deadline.IsZero() && r.Deadline.Add(-r.Run).Before(due) {
		due = r.Deadline.Add(-r.Run)
	}
	if len(a.where) == 1 || due.Before(a.due) {
		a.due = due
	}
}

// next returns the flow whose first call has the least start tag, and forgets
// empty flows that hold no debt.
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
			waited := now.Sub(w.since)
			if late := max(a.lateness(now, w.request, 0), waited-a.patience(w.request)); late > 0 {
				a.take(f, i)
				decisions = append(decisions, refuseLate(w, late, waited))
				continue
			}
			a.noteDue(w.since, w.request)
		}
	}
	return decisions
}

func refuseLate(w waiting, late, waited time.Duration) Decision {
	return Decision{id: w.request.ID, kind: Refuse, reason: Late, retryAfter: max(late, retryFloor), waited: waited}
}

// learn corrects the prediction of waits.
func (a *Admitter) learn(w waiting, waited time.Duration) {
	if w.predicted <= 0 {
		return
	}
	ratio := min(max(waited.Seconds()/w.predicted.Seconds(), paceMin), paceMax)
	a.pace = min(max(a.pace*(1+paceGain*(ratio-1)), paceMin), paceMax)
}
