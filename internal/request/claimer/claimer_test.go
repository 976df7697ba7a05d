package claimer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/request/claimer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	errUnknown = errors.New("answer lost")
	errNotRun  = errors.New("not sent")
)

// fakeLog executes commands immediately. fault decides whether a command is executed and
// which error is returned.
type fakeLog struct {
	mu    sync.Mutex
	state *applier.Applier
	index uint64
	fault func(applier.Command) (executed bool, err error)
}

func (f *fakeLog) propose(_ context.Context, c applier.Command) (applier.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	executed, err := true, error(nil)
	if f.fault != nil {
		executed, err = f.fault(c)
	}
	if !executed {
		return applier.Result{}, err
	}
	f.index++
	c.At = time.Now().UnixNano()
	r := f.state.Apply(f.index, 1, c)
	return r, err
}

// deployment simulates a log, a service and entries.
type deployment struct {
	log     *fakeLog
	entries map[string]*claimer.Claimer

	mu          sync.Mutex
	down        map[string]bool
	runs        map[string]int
	requests    map[string]bool
	refusedKeys map[string]bool // keys reported as not run, which the service refuses
}

func newDeployment(t *testing.T, names ...string) *deployment {
	d := &deployment{
		log: &fakeLog{state: applier.New()}, entries: make(map[string]*claimer.Claimer),
		down: make(map[string]bool), runs: make(map[string]int), requests: make(map[string]bool), refusedKeys: make(map[string]bool),
	}
	for _, name := range names {
		d.start(t, name)
	}
	return d
}

func (d *deployment) start(t *testing.T, name string) {
	c := claimer.New(claimer.Config{
		Entry: name, Propose: d.log.propose, Clock: clock.System{}, Log: log.New(io.Discard), Wait: d.wait,
		IsNotRun: func(err error) bool { return errors.Is(err, errNotRun) },
	})
	c.Start()
	t.Cleanup(c.Stop)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[name] = c
}

func (d *deployment) wait(_ context.Context, entry string, args *claimer.WaitArgs, reply *claimer.WaitReply) error {
	d.mu.Lock()
	c, down := d.entries[entry], d.down[entry]
	d.mu.Unlock()
	if c == nil || down {
		return errUnknown
	}
	return claimer.NewService(c).Wait(args, reply)
}

// run simulates the service, which runs a call unless its key is in refusedKeys.
func (d *deployment) run(key, request string) (applier.Answer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refusedKeys[key] {
		return applier.Answer{}, false
	}
	d.runs[key]++
	d.requests[key+"/"+request] = true
	return applier.Answer{Status: 201, Body: []byte("booked " + key)}, true
}

// status simulates the status path of the service.
func (d *deployment) status(key string) func(context.Context) (applier.Outcome, *applier.Answer, error) {
	return func(context.Context) (applier.Outcome, *applier.Answer, error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.runs[key] > 0 {
			return applier.OutcomeDone, &applier.Answer{Status: 201, Body: []byte("booked " + key)}, nil
		}
		d.refusedKeys[key] = true
		return applier.OutcomeNotRun, nil, nil
	}
}

func call(request string) claimer.Call {
	return claimer.Call{
		Customer: "masons", Key: "order-7", Request: request, Fingerprint: claimer.Fingerprint("POST", "/orders", []byte("7 bags")),
		Deadline: time.Now().Add(20 * time.Second),
	}
}

func (d *deployment) begin(t *testing.T, entry string, c claimer.Call) claimer.Outcome {
	t.Helper()
	return d.entries[entry].Begin(context.Background(), c)
}

func TestRepeatedCallGetsTheRecordedAnswerAtAnyEntry(t *testing.T) {
	d := newDeployment(t, "e1", "e2")
	o := d.begin(t, "e1", call("r1"))
	require.Equal(t, claimer.Run, o.Kind())
	require.True(t, o.Execution().BeginSend())
	require.True(t, o.Execution().UndoSend(), "another endpoint may be tried under the same claim")
	require.True(t, o.Execution().BeginSend())
	answer, _ := d.run("order-7", "r1")
	require.Equal(t, claimer.Replay, o.Execution().Done(answer).Kind())
	for _, entry := range []string{"e1", "e2"} {
		again := d.begin(t, entry, call("r2"+entry))
		require.Equal(t, claimer.Replay, again.Kind())
		require.Equal(t, &answer, again.Answer())
	}
	other := call("r3")
	other.Fingerprint = claimer.Fingerprint("POST", "/orders", []byte("8 bags"))
	require.Equal(t, claimer.Mismatch, d.begin(t, "e2", other).Kind())
	require.Zero(t, d.entries["e1"].InFlight()+d.entries["e2"].InFlight())
}

// concurrentCaller repeats a call at an entry while another entry runs it.
type concurrentCaller struct {
	d      *deployment
	entry  string
	call   claimer.Call
	result chan claimer.Outcome
}

func (j *concurrentCaller) run() {
	j.result <- j.d.entries[j.entry].Begin(context.Background(), j.call)
}

func TestRepeatedCallJoinsTheRunningCall(t *testing.T) {
	tests := map[string]struct {
		end  func(*deployment, *claimer.Execution)
		want claimer.Kind
	}{
		"done": {func(d *deployment, execution *claimer.Execution) {
			answer, _ := d.run("order-7", "r1")
			execution.Done(answer)
		}, claimer.Replay},
		"not run": {func(_ *deployment, execution *claimer.Execution) { execution.NotRun(true) }, claimer.Run},
		"lost":    {func(_ *deployment, execution *claimer.Execution) { execution.Lost(context.Background()) }, claimer.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "e1", "e2")
			execution := d.begin(t, "e1", call("r1")).Execution()
			require.True(t, execution.BeginSend())
			j := &concurrentCaller{d: d, entry: "e2", call: call("r2"), result: make(chan claimer.Outcome, 1)}
			go j.run()
			test.end(d, execution)
			o := <-j.result
			require.Equal(t, test.want, o.Kind(), o.Reason())
			if o.Kind() == claimer.Run {
				o.Execution().NotRun(false)
			}
		})
	}
}

func TestLostCallIsResolvedByTheStatusPath(t *testing.T) {
	tests := map[string]struct {
		ran    bool
		status bool
		want   claimer.Kind
	}{
		"ran":                {true, true, claimer.Replay},
		"did not run":        {false, true, claimer.Refused},
		"ran, no status":     {true, false, claimer.Unknown},
		"not run, no status": {false, false, claimer.Unknown},
	}
	for name, test := range tests {
		for _, who := range []string{"the entry itself", "another entry after a restart"} {
			t.Run(name+", "+who, func(t *testing.T) {
				d := newDeployment(t, "e1", "e2")
				c := call("r1")
				if test.status {
					c.Resolve = d.status("order-7")
				}
				execution := d.begin(t, "e1", c).Execution()
				require.True(t, execution.BeginSend())
				if test.ran {
					d.run("order-7", "r1")
				}
				if who == "the entry itself" {
					require.Equal(t, test.want, execution.Lost(context.Background()).Kind())
				} else {
					d.start(t, "e1") // a new process without state of the call
				}
				c.Request = "r2"
				o := d.begin(t, "e2", c)
				if test.want == claimer.Refused && o.Kind() == claimer.Run {
					require.True(t, o.Execution().BeginSend())
					_, accepted := d.run("order-7", "r1")
					require.False(t, accepted, "the service must refuse a key that it has reported as not run")
					o = o.Execution().NotRun(true)
				}
				require.Equal(t, test.want, o.Kind(), o.Reason())
			})
		}
	}
}

func TestNotRunIsReportedOnlyIfNothingWasSent(t *testing.T) {
	d := newDeployment(t, "e1")
	execution := d.begin(t, "e1", call("r1")).Execution()
	require.True(t, execution.BeginSend())
	require.Equal(t, claimer.Unknown, execution.NotRun(false).Kind(), "a byte may have reached the endpoint")
	late := call("r2")
	late.Key, late.Deadline = "order-8", time.Now().Add(50*time.Millisecond)
	execution = d.begin(t, "e1", late).Execution()
	require.Eventually(t, func() bool { return time.Now().After(late.Deadline) }, time.Minute, time.Millisecond)
	require.False(t, execution.BeginSend(), "no byte may be sent after the deadline")
	require.Equal(t, claimer.Refused, execution.Lost(context.Background()).Kind())
}

func TestUncommittedClaimIsReleased(t *testing.T) {
	for name, executed := range map[string]bool{"grant lost": false, "grant committed, answer lost": true} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, "e1", "e2")
			d.log.fault = func(c applier.Command) (bool, error) {
				if c.ClaimGrant != nil && c.ClaimGrant.Request == "r1" {
					return executed, errUnknown
				}
				return true, nil
			}
			require.Equal(t, claimer.Refused, d.begin(t, "e1", call("r1")).Kind())
			o := d.begin(t, "e2", call("r2"))
			require.Equal(t, claimer.Run, o.Kind(), "the key must be available again")
			require.True(t, o.Execution().BeginSend())
			o.Execution().Done(applier.Answer{Status: 201})
			require.Eventually(t, func() bool { return d.entries["e1"].InFlight() == 0 }, time.Minute, time.Millisecond)
			d.log.fault = nil
			r, err := d.log.propose(context.Background(), applier.Command{ClaimGrant: &applier.ClaimGrant{
				Customer: "masons", Key: "order-7", BodyHash: call("r1").Fingerprint, Entry: "e1", Request: "r1",
			}})
			require.NoError(t, err)
			require.Equal(t, applier.ClaimRefused, r.Claim.Outcome, "a delayed grant must be refused")
		})
	}
}

func TestUnreachableEntryKeepsItsClaimUntilTheDeadline(t *testing.T) {
	d := newDeployment(t, "e1", "e2")
	require.Equal(t, claimer.Run, d.begin(t, "e1", call("r1")).Kind())
	d.mu.Lock()
	d.down["e1"] = true
	d.mu.Unlock()
	c := call("r2")
	c.Deadline = time.Now().Add(300 * time.Millisecond)
	c.Resolve = d.status("order-7")
	o := d.begin(t, "e2", c)
	require.Equal(t, claimer.Unknown, o.Kind(), "the entry may still run the call")
	require.Empty(t, d.refusedKeys)
}

// randomCaller sends calls with a small set of keys to random entries, under random
// faults, and records which requests were reported as not run.
type randomCaller struct {
	d      *deployment
	id     int
	rand   *rand.Rand
	notRun map[string]bool
	wg     *sync.WaitGroup
}

func (w *randomCaller) run() {
	defer w.wg.Done()
	for i := range 25 {
		c := call(fmt.Sprint("r-", w.id, "-", i))
		c.Key = fmt.Sprint("order-", w.rand.IntN(60))
		c.Deadline = time.Now().Add(time.Minute)
		if w.rand.IntN(2) == 0 {
			c.Resolve = w.d.status(c.Key)
		}
		o := w.d.entries[fmt.Sprint("e", w.rand.IntN(3))].Begin(context.Background(), c)
		if o.Kind() == claimer.Run {
			o = w.serve(c, o.Execution())
		}
		if o.Kind() == claimer.Refused {
			w.notRun[c.Key+"/"+c.Request] = true
		}
	}
}

func (w *randomCaller) serve(c claimer.Call, execution *claimer.Execution) claimer.Outcome {
	if w.rand.IntN(5) == 0 {
		return execution.NotRun(false)
	}
	for execution.BeginSend() {
		switch w.rand.IntN(6) {
		case 0:
			execution.UndoSend()
			continue
		case 1:
			return execution.Lost(context.Background()) // request lost
		case 2:
			w.d.run(c.Key, c.Request)
			return execution.Lost(context.Background()) // answer lost
		}
		answer, ok := w.d.run(c.Key, c.Request)
		if !ok {
			return execution.NotRun(true)
		}
		return execution.Done(answer)
	}
	return execution.NotRun(false)
}

func TestEachKeyRunsAtMostOnce(t *testing.T) {
	d := newDeployment(t, "e0", "e1", "e2")
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 1))
	d.log.fault = func(applier.Command) (bool, error) {
		mu.Lock()
		defer mu.Unlock()
		switch random.IntN(12) {
		case 0:
			return false, errNotRun
		case 1:
			return false, errUnknown
		case 2:
			return true, errUnknown
		}
		return true, nil
	}
	var wg sync.WaitGroup
	var workers []*randomCaller
	for i := range 16 {
		w := &randomCaller{d: d, id: i, rand: rand.New(rand.NewPCG(1, uint64(i))), notRun: make(map[string]bool), wg: &wg}
		workers = append(workers, w)
		wg.Add(1)
		go w.run()
	}
	wg.Wait()
	for _, w := range workers {
		for request := range w.notRun {
			require.False(t, d.requests[request], "%s ran although it was reported as not run", request)
		}
	}
	for key, times := range d.runs {
		require.Equal(t, 1, times, "%s ran more than once", key)
	}
	require.Greater(t, len(d.runs), 20)
}
