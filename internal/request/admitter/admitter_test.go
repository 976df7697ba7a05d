package admitter_test

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/request/admitter"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// model is a simple model of fair queueing. It searches a list of all waiting calls
// for each admission.
type model struct {
	waiting []admitter.Request
	virtual map[int]float64
	tags    map[string]float64
}

func (m *model) admit() admitter.Request {
	flow := func(r admitter.Request) string { return fmt.Sprint(r.Priority, r.Customer) }
	best := slices.MinFunc(m.waiting, func(a, b admitter.Request) int {
		return cmp.Or(
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(m.tags[flow(a)], m.tags[flow(b)]),
			cmp.Compare(a.Customer, b.Customer),
			cmp.Compare(b.Worth/b.PredictedDuration.Seconds(), a.Worth/a.PredictedDuration.Seconds()),
			a.Deadline.Compare(b.Deadline),
			cmp.Compare(a.ID, b.ID),
		)
	})
	m.waiting = slices.DeleteFunc(m.waiting, func(r admitter.Request) bool { return r.ID == best.ID })
	m.virtual[best.Priority] = max(m.virtual[best.Priority], m.tags[flow(best)])
	m.tags[flow(best)] += best.PredictedDuration.Seconds() / best.Weight
	return best
}

func (m *model) offer(r admitter.Request) {
	flow := fmt.Sprint(r.Priority, r.Customer)
	if !slices.ContainsFunc(m.waiting, func(o admitter.Request) bool { return o.Priority == r.Priority && o.Customer == r.Customer }) {
		m.tags[flow] = max(m.tags[flow], m.virtual[r.Priority])
	}
	m.waiting = append(m.waiting, r)
}

// The order of admissions must equal that of the model, each call must get exactly
// one final decision, and no call may start without room.
func TestFairMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := admitter.New(admitter.Fair(), admitter.Limits{Calls: 1000, Bytes: 1 << 30, Wait: time.Hour * 1000})
		m := &model{virtual: make(map[int]float64), tags: make(map[string]float64)}
		weights := map[string]float64{"masons": 1, "depots": 2, "clerks": 3}
		offered := 0
		for id := range uint64(rapid.IntRange(1, 40).Draw(t, "calls")) {
			customer := rapid.SampledFrom([]string{"masons", "depots", "clerks"}).Draw(t, "customer")
			r := admitter.Request{
				ID: id + 1, Customer: customer, Weight: weights[customer], Worth: float64(rapid.IntRange(1, 3).Draw(t, "worth")),
				Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Deadline: epoch.Add(time.Duration(rapid.IntRange(1, 3).Draw(t, "deadline")) * 1000 * time.Hour),
				PredictedDuration: time.Duration(rapid.IntRange(1, 4).Draw(t, "run")) * 250 * time.Millisecond,
			}
			decisions := a.Offer(epoch, r, admitter.Room{Limit: 10})
			require.Len(t, decisions, 1)
			require.Equal(t, admitter.Queue, decisions[0].Kind())
			m.offer(r)
			offered++
			if rapid.Bool().Draw(t, "release") {
				free := rapid.IntRange(0, 3).Draw(t, "free")
				decisions := a.Release(epoch, admitter.Room{Free: float64(free), Limit: 10})
				require.Len(t, decisions, min(free, offered))
				for _, d := range decisions {
					require.Equal(t, admitter.Admit, d.Kind())
					require.Equal(t, m.admit().ID, d.ID())
					offered--
				}
			}
		}
		require.Equal(t, offered, a.Waiting())
	})
}

func TestQueueStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := admitter.Limits{Calls: 5, Bytes: 100, Wait: time.Minute}
		a := admitter.New(admitter.Fair(), limits)
		undecided := make(map[uint64]int)
		now, bytes := epoch, 0
		record := func(decisions []admitter.Decision) {
			for _, d := range decisions {
				if d.Kind() == admitter.Queue {
					continue
				}
				size, ok := undecided[d.ID()]
				require.True(t, ok, "a second decision about call %d", d.ID())
				delete(undecided, d.ID())
				bytes -= size
			}
		}
		for id := range uint64(rapid.IntRange(1, 40).Draw(t, "calls")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond)
			r := admitter.Request{
				ID: id + 1, Customer: rapid.SampledFrom([]string{"masons", "depots"}).Draw(t, "customer"), PredictedDuration: time.Second,
				Deadline: now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "deadline")) * time.Second), Bytes: rapid.IntRange(0, 60).Draw(t, "bytes"),
			}
			undecided[r.ID], bytes = r.Bytes, bytes+r.Bytes
			record(a.Offer(now, r, admitter.Room{Free: float64(rapid.IntRange(0, 1).Draw(t, "free")), Limit: 3}))
			if rapid.Bool().Draw(t, "cancel") && a.Cancel(r.ID) {
				bytes -= undecided[r.ID]
				delete(undecided, r.ID)
			}
			require.Equal(t, len(undecided), a.Waiting())
			require.LessOrEqual(t, a.Waiting(), limits.Calls)
			require.LessOrEqual(t, bytes, limits.Bytes)
		}
		record(a.Release(now.Add(time.Hour), admitter.Room{Limit: 3}))
		require.Empty(t, undecided, "late calls must be refused")
	})
}

func TestCallsThatCannotMeetDeadlineAreRefused(t *testing.T) {
	a := admitter.New(admitter.Fair(), admitter.DefaultLimits())
	room := admitter.Room{Limit: 2}
	for id := range uint64(8) {
		require.Equal(t, admitter.Queue, a.Offer(epoch, admitter.Request{ID: id, Customer: "masons", PredictedDuration: time.Second}, room)[0].Kind())
	}
	d := a.Offer(epoch, admitter.Request{ID: 9, Customer: "masons", PredictedDuration: time.Second, Deadline: epoch.Add(3 * time.Second)}, room)[0]
	require.Equal(t, admitter.Refuse, d.Kind())
	require.Equal(t, admitter.Late, d.Reason())
	require.Greater(t, d.RetryAfter(), time.Second)
	d = a.Offer(epoch, admitter.Request{ID: 10, Customer: "clerks", PredictedDuration: time.Second, Deadline: epoch.Add(3 * time.Second)}, room)[0]
	require.Equal(t, admitter.Queue, d.Kind(), "another customer must not wait for the whole queue")
}

// While urgent calls arrive, less urgent ones must leave room for urgent calls of
// other entries.
func TestLessUrgentCallsLeaveReserve(t *testing.T) {
	a := admitter.New(admitter.Fair(), admitter.DefaultLimits())
	offer := func(now time.Time, id uint64, priority int, free float64) admitter.Kind {
		decisions := a.Offer(now, admitter.Request{ID: id, Customer: "masons", Priority: priority, PredictedDuration: time.Second}, admitter.Room{Free: free, Limit: 10, Reserve: 2})
		return decisions[len(decisions)-1].Kind()
	}
	require.Equal(t, admitter.Admit, offer(epoch, 1, 2, 1), "no urgent call has arrived yet")
	require.Equal(t, admitter.Admit, offer(epoch, 2, 0, 1))
	require.Equal(t, admitter.Queue, offer(epoch, 3, 2, 2))
	require.Len(t, a.Release(epoch, admitter.Room{Free: 3, Limit: 10, Reserve: 2}), 1)
	require.Equal(t, admitter.Admit, offer(epoch.Add(time.Minute), 4, 2, 1), "no urgent call has arrived for a minute")
}

// loadResult is the result of runLoad, which offers calls at a multiple of the
// capacity to one admitter, with endpoints of 20 slots that slow down when more calls
// run.
type loadResult struct {
	offered map[string]int
	inTime  map[string]int // answered before the deadline
}

func runLoad(policy admitter.Policy, factor float64, seed uint64) loadResult {
	const slots, step, run, deadline = 20.0, 5 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second
	type call struct {
		customer  string
		deadline  time.Time
		remaining time.Duration
	}
	random := rand.New(rand.NewPCG(seed, 1))
	a := admitter.New(policy, admitter.DefaultLimits())
	result := loadResult{offered: make(map[string]int), inTime: make(map[string]int)}
	calls, running := make(map[uint64]*call), make(map[uint64]*call)
	begin := func(decisions []admitter.Decision) {
		for _, d := range decisions {
			if d.Kind() == admitter.Admit {
				running[d.ID()] = calls[d.ID()]
			}
		}
	}
	rate := factor * slots / run.Seconds()
	id, arrival := uint64(0), epoch
	for now := epoch; now.Before(epoch.Add(30 * time.Second)); now = now.Add(step) {
		room := admitter.Room{Free: slots - float64(len(running)), Limit: slots}
		for ; arrival.Before(now); arrival = arrival.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second))) {
			customer := "large"
			if random.Float64() < 0.2 {
				customer = fmt.Sprint("small", random.IntN(3))
			}
			id++
			slow := max(1, float64(len(running))/slots)
			calls[id] = &call{customer: customer, deadline: now.Add(deadline), remaining: run}
			result.offered[customer]++
			r := admitter.Request{ID: id, Customer: customer, Deadline: now.Add(deadline), PredictedDuration: time.Duration(float64(run) * slow)}
			room.Free = slots - float64(len(running))
			begin(a.Offer(now, r, room))
		}
		speed := min(1, slots/float64(max(len(running), 1)))
		for id, c := range running {
			if c.remaining -= time.Duration(float64(step) * speed); c.remaining <= 0 {
				if !now.After(c.deadline) {
					result.inTime[c.customer]++
				}
				delete(running, id)
				a.Done()
			}
		}
		begin(a.Release(now, admitter.Room{Free: slots - float64(len(running)), Limit: slots}))
	}
	return result
}

func TestGoodputUnderDoubleLoad(t *testing.T) {
	const capacity = 30 * 20 / 0.5
	share := func(policy admitter.Policy) (total, small float64) {
		for seed := range uint64(3) {
			r := runLoad(policy, 2, seed)
			done, smallDone, smallOffered := 0, 0, 0
			for customer, n := range r.inTime {
				done += n
				if customer != "large" {
					smallDone += n
				}
			}
			for customer, n := range r.offered {
				if customer != "large" {
					smallOffered += n
				}
			}
			total += float64(done) / capacity / 3
			small += float64(smallDone) / float64(smallOffered) / 3
		}
		return total, small
	}
	fair, fairSmall := share(admitter.Fair())
	none, noneSmall := share(admitter.None())
	fixed, fixedSmall := share(admitter.Fixed(20))
	t.Logf("work in time over capacity, small customers' calls in time: fair %.3f %.3f, none %.3f %.3f, fixed %.3f %.3f",
		fair, fairSmall, none, noneSmall, fixed, fixedSmall)
	require.Greater(t, fair, 0.9)
	require.Greater(t, fairSmall, 0.95)
	require.Less(t, none, 0.3)
	require.Less(t, fixedSmall, fairSmall)
}

func TestGateAdmitsWaitingCalls(t *testing.T) {
	defer goleak.VerifyNone(t)
	a := admitter.New(admitter.Fair(), admitter.DefaultLimits())
	g := admitter.NewGate(clock.System{}, a, func(time.Time) admitter.Room {
		return admitter.Room{Free: 1 - float64(a.InFlight()), Limit: 1}
	})
	defer g.Close()
	require.Equal(t, admitter.Admit, g.Enter(context.Background(), admitter.Request{Customer: "masons"}).Kind())
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	require.Equal(t, admitter.Refuse, g.Enter(canceled, admitter.Request{Customer: "masons"}).Kind())
	e := waitingCaller{gate: g, decided: make(chan admitter.Decision)}
	go e.run()
	g.Leave()
	require.Equal(t, admitter.Admit, (<-e.decided).Kind())
	require.Equal(t, 1, a.InFlight())
}

type waitingCaller struct {
	gate    *admitter.Gate
	decided chan admitter.Decision
}

func (e waitingCaller) run() {
	e.decided <- e.gate.Enter(context.Background(), admitter.Request{Customer: "masons"})
}

func BenchmarkOffer(b *testing.B) {
	for _, customers := range []int{5, 50, 500} {
		for _, queued := range []int{0, 100, 500} {
			b.Run(fmt.Sprintf("customers=%d/queued=%d", customers, queued), func(b *testing.B) {
				a := admitter.New(admitter.Fair(), admitter.Limits{Calls: 1000, Bytes: 1 << 30, Wait: time.Hour})
				names := make([]string, customers)
				for i := range names {
					names[i] = fmt.Sprint("customer", i)
				}
				for i := range queued {
					a.Offer(epoch, admitter.Request{ID: uint64(i + 1), Customer: names[i%customers], PredictedDuration: time.Second}, admitter.Room{Limit: 100})
				}
				id := uint64(queued)
				b.ReportAllocs()
				for b.Loop() {
					id++
					r := admitter.Request{ID: id, Customer: names[id%uint64(customers)], PredictedDuration: time.Second, Deadline: epoch.Add(time.Hour)}
					a.Offer(epoch, r, admitter.Room{Free: 1, Limit: 100})
				}
			})
		}
	}
}
