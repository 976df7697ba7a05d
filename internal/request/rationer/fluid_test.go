package rationer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"hyssoprudder/internal/request/placer"
	"hyssoprudder/internal/request/rationer"
)

// class is one kind of calls. Arrivals are spread at random over all entries.
type class struct {
	name      string
	customer  string
	priority  int
	prompt    int
	perSecond float64
	objective time.Duration
	from, to  time.Duration // when calls arrive; always if both are 0
}

// served is what became of the calls of a class, by number.
type served struct{ asked, admitted, answered, inTime, retried int }

func (s served) share() float64 { return float64(s.inTime) / float64(max(s.asked, 1)) }

// fluid runs the decisions of some entries against a fluid model of endpoints: each processes
// prompts at a constant rate in the order of their priority, then holds a slot for the answer.
type fluid struct {
	classes   []class
	entries   int
	endpoints int
	rate      func(at time.Duration) float64 // prompt tokens per millisecond of an endpoint
	lasts     time.Duration
	isFormer  bool // decide as before priorities were weighed
	isRetried bool // refused callers honor the delay that they are told once
	isCutOff  func(entry int, at time.Duration) bool
	onDecided func(entry int, c *fluidCall, allowed time.Duration, isAdmitted bool)
}

const (
	fluidAnswer   = 1400 * time.Millisecond
	fluidReports  = 250 * time.Millisecond
	fluidDeadline = 4 // multiple of the objective
)

type fluidCall struct {
	class    int
	call     rationer.Call
	arrived  time.Duration
	due      time.Duration // of a retry
	isRetry  bool
	choice   *placer.Choice
	entry    int
	rest     float64 // tokens to process
	ends     time.Duration
	isLate   bool
	returned time.Duration // the delay that the caller was told
	promised bool
}

type fluidEntry struct {
	placer   *placer.Placer
	rationer *rationer.Rationer
}

func (f *fluid) run() []served {
	rng := rand.New(rand.NewPCG(1, 2))
	out := make([]served, len(f.classes))
	entries := make([]fluidEntry, f.entries)
	list := make([]placer.Endpoint, f.endpoints)
	for i := range list {
		list[i] = placer.Endpoint{ID: fmt.Sprint(i), Service: "desk", Slots: 64, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)}
	}
	for i := range entries {
		entries[i] = fluidEntry{placer.New(), rationer.New()}
		entries[i].placer.SetEndpoints(list)
	}
	queues, running, retries := make([][]*fluidCall, f.endpoints), []*fluidCall(nil), []*fluidCall(nil)
	for at := time.Duration(0); at < f.lasts; at += time.Millisecond {
		now := start.Add(at)
		if at%fluidReports == 0 {
			f.exchange(entries, at)
		}
		for i, k := range f.classes {
			if (k.to == 0 || at >= k.from && at < k.to) && rng.Float64() < k.perSecond/1000 {
				out[i].asked++
				c := &fluidCall{class: i, arrived: at, entry: rng.IntN(f.entries)}
				c.call = rationer.Call{Service: "desk", Customer: k.customer, Priority: k.priority, Prompt: k.prompt, Objective: k.objective}
				retries = append(retries, c)
			}
		}
		due := retries
		retries = nil
		for _, c := range due {
			if c.due > at {
				retries = append(retries, c)
				continue
			}
			if !f.offer(entries, c, at, rng) {
				left := c.arrived + fluidDeadline*c.call.Objective - at
				if f.isRetried && !c.isRetry && c.returned <= left/3 {
					c.isRetry, c.due = true, at+c.returned
					retries = append(retries, c)
					out[c.class].retried++
				}
				continue
			}
			out[c.class].admitted++
			to := 0
			_, _ = fmt.Sscan(c.choice.Endpoint().ID, &to)
			queues[to] = append(queues[to], c)
		}
		for i := range queues {
			queues[i] = slices.DeleteFunc(queues[i], func(c *fluidCall) bool {
				if at-c.arrived <= fluidDeadline*c.call.Objective {
					return false
				}
				entries[c.entry].placer.End(c.choice, placer.Abandoned, now)
				if !c.isLate {
					entries[c.entry].rationer.Late(&c.call, now)
				}
				return true
			})
			slices.SortStableFunc(queues[i], func(a, b *fluidCall) int { return a.call.Priority - b.call.Priority })
			for budget := f.rate(at); budget > 0 && len(queues[i]) > 0; {
				c := queues[i][0]
				done := min(budget, c.rest)
				budget, c.rest = budget-done, c.rest-done
				if c.rest > 0 {
					break
				}
				queues[i] = queues[i][1:]
				entries[c.entry].placer.RecordFirst(c.choice, now)
				out[c.class].answered++
				if c.ends = at + fluidAnswer; at-c.arrived <= c.call.Objective {
					out[c.class].inTime++
				} else if !c.isLate {
					entries[c.entry].rationer.Late(&c.call, now)
				}
				running = append(running, c)
			}
		}
		running = slices.DeleteFunc(running, func(c *fluidCall) bool {
			if c.ends <= at {
				entries[c.entry].placer.End(c.choice, placer.Answered, now)
			}
			return c.ends <= at
		})
	}
	return out
}

// offer lets an entry decide about a call, and reports whether it was placed.
func (f *fluid) offer(entries []fluidEntry, c *fluidCall, at time.Duration, rng *rand.Rand) bool {
	e, now := entries[c.entry], start.Add(at)
	c.call.Remaining, c.call.Waited = c.arrived+fluidDeadline*c.call.Objective-at, at-c.arrived
	c.call.Capacity = f.rate(at) * float64(f.endpoints)
	allowance := e.rationer.Allow(&c.call, now)
	req := &placer.Request{
		Service: "desk", Prompt: c.call.Prompt, Answer: 70, KVSize: 600000, MaxFirst: c.call.Remaining * 3 / 4, MaxQueueTime: allowance.QueueTime(),
		Reserve: allowance.Reserve(), Priority: c.call.Priority, Now: now, Boot: now, Random: rng.Float64(),
	}
	if f.isFormer {
		req.MaxQueueTime, req.Reserve, req.Priority = formerQueueTime(&c.call), 0, 0
	}
	choice, _, wait := e.placer.Place(req)
	if f.onDecided != nil {
		f.onDecided(c.entry, c, req.MaxQueueTime, choice != nil)
	}
	if choice == nil {
		e.rationer.Refused(&c.call, req.MaxQueueTime, now)
		if c.returned = max(wait, 80*time.Millisecond); !f.isFormer {
			c.returned, c.promised = e.rationer.Return(&c.call, max(wait, 80*time.Millisecond), f.rate(at)*float64(f.endpoints)/float64(f.entries), now)
		}
		return false
	}
	c.choice, c.rest = choice, float64(c.call.Prompt)
	c.isLate = choice.Predicted()+c.call.Waited > c.call.Objective
	e.rationer.Admitted(&c.call, c.isLate, now)
	return true
}

// exchange tells each entry what the others reported.
func (f *fluid) exchange(entries []fluidEntry, at time.Duration) {
	now, sum := start.Add(at), make(map[string][rationer.Ranks]rationer.Work)
	loads := make([]map[int]placer.Load, len(entries))
	var heard []int
	for i, e := range entries {
		if f.isCutOff != nil && f.isCutOff(i, at) {
			continue
		}
		heard = append(heard, i)
		loads[i] = e.placer.Loads()
		for name, works := range e.rationer.Report(now) {
			total := sum[name]
			for k, w := range works {
				total[k] = rationer.Work{Asked: total[k].Asked + w.Asked, Bad: total[k].Bad + w.Bad, Admitted: total[k].Admitted + w.Admitted}
			}
			sum[name] = total
		}
	}
	for _, i := range heard {
		others := make(map[int]placer.Load)
		for _, j := range heard {
			for position, l := range loads[j] {
				if j == i {
					continue
				}
				o := others[position]
				others[position] = placer.Load{
					InFlight: o.InFlight + l.InFlight, Waiting: o.Waiting + l.Waiting, PendingPrefill: o.PendingPrefill + l.PendingPrefill,
					KVTokens: o.KVTokens + l.KVTokens, PendingFirst: o.PendingFirst + l.PendingFirst, PendingSecond: o.PendingSecond + l.PendingSecond,
				}
			}
		}
		entries[i].placer.SetPeerLoads(others, now)
		entries[i].rationer.SetShared(sum, now)
	}
}
