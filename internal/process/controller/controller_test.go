package controller_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/connection/provisioner"
	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/controller"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/version/mover"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m)
}

var start = time.Date(2027, 1, 10, 5, 0, 0, 0, time.UTC)

var errLost = errors.New("the answer was lost")

var domains = []string{"focsani", "adjud", "panciu"}

// testbed simulates a provider with engines, and holds the replicated state.
type testbed struct {
	clock      *clock.Manual
	state      *applier.Applier
	index      uint64
	term       uint64
	leads      bool
	rules      *parser.Rules
	instances  map[string]*lister.Spec
	leaving    map[string]bool
	listedAt   map[string]time.Time
	intents    map[string]string
	counter    int
	refuse     func(provisioner.Start) bool
	loseAnswer func() bool
	marked     map[string]time.Time
	released   []string
	orders     map[netip.AddrPort]dialer.Order
	loads      int
}

func newTestbed(t require.TestingT, rules string) *testbed {
	parsed, err := parser.Parse(rules)
	require.NoError(t, err)
	return &testbed{
		clock: clock.NewManual(start), state: applier.New(), term: 1, leads: true, rules: parsed,
		instances: make(map[string]*lister.Spec), leaving: make(map[string]bool),
		listedAt: make(map[string]time.Time), intents: make(map[string]string),
		refuse: func(provisioner.Start) bool { return false }, loseAnswer: func() bool { return false },
		marked: make(map[string]time.Time), orders: make(map[netip.AddrPort]dialer.Order),
	}
}

func (s *testbed) add(service, version, domain string, market lister.Market) string {
	s.counter++
	id := fmt.Sprint("i", s.counter)
	s.instances[id] = &lister.Spec{
		ID: id, Service: service, Version: version, Domain: domain, Class: "a", Market: market, Price: 1,
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(s.counter)),
	}
	return id
}

func (s *testbed) propose(_ context.Context, c applier.Command) (applier.Result, error) {
	s.index++
	c.At = s.clock.Now().UnixNano()
	result := s.state.Apply(s.index, s.term, c)
	if s.loseAnswer() {
		return applier.Result{}, errLost
	}
	return result, nil
}

func (s *testbed) listed() []lister.Listed {
	var listed []lister.Listed
	for id, spec := range s.instances {
		if s.clock.Now().Before(s.listedAt[id]) {
			continue
		}
		_, marked := s.marked[id]
		listed = append(listed, lister.Listed{Endpoint: lister.NewEndpoint(*spec), Leaving: s.leaving[id] || marked})
	}
	return listed
}

func (s *testbed) startInstance(_ context.Context, start provisioner.Start) (provisioner.Instance, error) {
	id, made := s.intents[start.Intent]
	if !made {
		if s.refuse(start) {
			return provisioner.Instance{}, provisioner.ErrNoCapacity
		}
		id = s.add(start.Service, start.Version, start.Domain, start.Market)
		s.intents[start.Intent] = id
		s.listedAt[id] = s.clock.Now().Add(5 * time.Second)
	}
	if s.loseAnswer() {
		return provisioner.Instance{}, errLost
	}
	return provisioner.Instance{ID: id}, nil
}

func (s *testbed) release(_ context.Context, id string) error {
	delete(s.instances, id)
	s.released = append(s.released, id)
	return nil
}

func (s *testbed) order(_ context.Context, engine netip.AddrPort, o dialer.Order) error {
	s.orders[engine] = o
	for _, spec := range s.instances {
		if spec.Address == engine {
			spec.Version = o.Version
		}
	}
	return nil
}

func (s *testbed) controller() *controller.Controller {
	var classes []provisioner.Class
	for _, d := range domains {
		classes = append(classes, provisioner.Class{Class: "a", Domain: d, Market: lister.Reclaimable, Price: 1},
			provisioner.Class{Class: "a", Domain: d, Market: lister.OnDemand, Price: 3})
	}
	return controller.New(controller.Config{
		Clock: s.clock, Log: log.New(io.Discard), Core: controller.DefaultCoreConfig(),
		Lease: func() (uint64, time.Time, bool) { return s.term, s.clock.Now().Add(time.Second), s.leads },
		Rules: func() *parser.Rules { return s.rules },
		State: func(context.Context) ([]applier.Move, []applier.Intent, error) {
			return s.state.Moves(), s.state.Intents(), nil
		},
		Propose: s.propose, Instances: func() ([]lister.Listed, bool) { return s.listed(), true },
		Classes:  func(context.Context) ([]provisioner.Class, error) { return classes, nil },
		Digests:  func() [][]byte { return nil },
		InFlight: func(string) int { return 0 },
		MarkLeaving: func(id string) {
			if _, twice := s.marked[id]; !twice {
				s.marked[id] = s.clock.Now()
			}
		},
		Start: s.startInstance, Release: s.release,
		Load:  func(context.Context, string, string, string) error { s.loads++; return nil },
		Order: s.order,
		ReadOrder: func(_ context.Context, engine netip.AddrPort) (dialer.Order, error) {
			return s.orders[engine], nil
		},
	})
}

func (s *testbed) run(c *controller.Controller, rounds int) {
	for range rounds {
		c.Round(context.Background())
		s.clock.Advance(time.Second)
	}
}

func (s *testbed) count(version string) (total int, byDomain map[string]int) {
	byDomain = make(map[string]int)
	for _, l := range s.listed() {
		if e := l.Endpoint; !l.Leaving && e.Version() == version {
			total++
			byDomain[e.Domain()]++
		}
	}
	return total, byDomain
}

const sizedRules = "service pumice kind=model first=1300ms next=52ms # clerks, Vrancea\n" +
	"route answers path=/v1/answers service=pumice # clerks, Vrancea\n" +
	"size pumice min=4 max=9 spare=domain # staff, Vrancea\n"

func (s *testbed) addInstances(n int) {
	for i := range n {
		s.add("pumice", "12", domains[i%3], lister.Reclaimable)
	}
}

// After lost answers, refused starts, changes of the leader and reclaimed domains have ended,
// the configured size survives the loss of any domain, no intent has started two instances,
// and no instance was released without being drained.
func TestCapacityUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestbed(t, sizedRules)
		s.addInstances(rapid.IntRange(1, 9).Draw(t, "instances"))
		c := s.controller()
		s.loseAnswer = func() bool { return rapid.IntRange(0, 4).Draw(t, "lost") == 0 }
		s.refuse = func(provisioner.Start) bool { return rapid.IntRange(0, 2).Draw(t, "refused") == 0 }
		for range rapid.IntRange(1, 25).Draw(t, "rounds") {
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				s.term++
				c = s.controller()
			case 1:
				lost := rapid.SampledFrom(domains).Draw(t, "domain")
				for id, spec := range s.instances {
					if spec.Domain == lost {
						s.leaving[id] = true
					}
				}
			case 2:
				for id := range s.leaving {
					delete(s.instances, id)
				}
			}
			s.run(c, 1)
		}
		s.loseAnswer = func() bool { return false }
		s.refuse = func(provisioner.Start) bool { return false }
		s.run(c, 400)
		total, byDomain := s.count("12")
		for d, n := range byDomain {
			require.GreaterOrEqual(t, total-n, 4, "the size survives the loss of %s", d)
		}
		require.LessOrEqual(t, total, 9)
		for _, id := range s.released {
			require.Contains(t, s.marked, id, "an instance is marked as leaving before it is released")
		}
		for _, i := range s.state.Intents() {
			require.NotZero(t, i.ClosedAt, "all intents are closed")
		}
	})
}

func TestRefusedStartsAreBoughtOnDemand(t *testing.T) {
	s := newTestbed(t, sizedRules)
	s.addInstances(3)
	s.refuse = func(o provisioner.Start) bool { return o.Market == lister.Reclaimable }
	s.run(s.controller(), 60)
	total, byDomain := s.count("12")
	require.Equal(t, 6, total)
	require.Len(t, byDomain, 3)
}

func TestFleetIsStartedAgainAfterItsLoss(t *testing.T) {
	s := newTestbed(t, sizedRules)
	s.addInstances(3)
	s.run(s.controller(), 30)
	clear(s.instances)
	s.term++
	s.run(s.controller(), 30)
	total, _ := s.count("12")
	require.Equal(t, 6, total)
}

// A start whose answer was lost is requested again under the same intent, also by a new
// leader.
func TestLostAnswersStartNoSecondInstance(t *testing.T) {
	s := newTestbed(t, sizedRules)
	s.addInstances(5)
	lost := 0
	s.loseAnswer = func() bool { lost++; return lost <= 2 }
	s.run(s.controller(), 3)
	s.term++
	s.run(s.controller(), 20)
	require.Len(t, s.intents, 1)
	require.Len(t, s.instances, 6)
}

// A leader that resumes after a freeze sends nothing once its lease has expired.
func TestNothingIsDoneWithoutTheLease(t *testing.T) {
	s := newTestbed(t, sizedRules)
	s.addInstances(1)
	s.leads = false
	s.run(s.controller(), 5)
	require.Empty(t, s.state.Intents())
	require.Empty(t, s.intents)
}

func TestMoveWithoutCallsIsRolledBackInTime(t *testing.T) {
	by := start.Add(5 * time.Minute)
	s := newTestbed(t, sizedRules+"move pumice from=12 to=13 by="+by.Format(time.RFC3339)+" share=5 # desk, Vrancea\n")
	s.addInstances(6)
	s.run(s.controller(), 60)
	moved, _ := s.count("13")
	require.Positive(t, moved, "instances of the new version are started while the old ones still run")
	s.term++
	s.run(s.controller(), 290)
	state, err := mover.Decode(s.state.Move("pumice").Body)
	require.NoError(t, err)
	require.Equal(t, mover.RolledBack, state.Phase)
	require.True(t, state.Declared.Before(by))
	moved, _ = s.count("13")
	require.Zero(t, moved, "instances started for the move are released")
	total, _ := s.count("12")
	require.Equal(t, 6, total)
}

// A rule that names the version that runs as the new one took all calls from its instances.
func TestMoveToTheRunningVersionIsDone(t *testing.T) {
	by := start.Add(5 * time.Minute)
	s := newTestbed(t, sizedRules+"move pumice from=11 to=12 by="+by.Format(time.RFC3339)+" share=5 # desk, Vrancea\n")
	s.addInstances(6)
	s.run(s.controller(), 5)
	state, err := mover.Decode(s.state.Move("pumice").Body)
	require.NoError(t, err)
	require.Equal(t, mover.Done, state.Phase)
	total, _ := s.count("12")
	require.Equal(t, 6, total)
	former, _ := s.count("11")
	require.Zero(t, former)
}

// A version that was rolled back could get calls again after a later move.
func TestRolledBackVersionStaysRejected(t *testing.T) {
	rules := sizedRules + "move pumice from=12 to=14 by=" + start.Add(5*time.Minute).Format(time.RFC3339) + " share=5 # desk, Vrancea\n"
	s := newTestbed(t, rules)
	s.addInstances(6)
	s.propose13RolledBack(t)
	s.run(s.controller(), 5)
	state, err := mover.Decode(s.state.Move("pumice").Body)
	require.NoError(t, err)
	require.Equal(t, "14", state.To)
	for _, final := range []mover.State{state, state.Complete(start), state.Abort(start)} {
		v := mover.NewView()
		v.Apply(final)
		require.Zero(t, v.Weight("pumice", "13", false, start, false))
		require.Positive(t, v.Weight("pumice", "12", false, start, false))
	}
}

func (s *testbed) propose13RolledBack(t *testing.T) {
	t.Helper()
	state := mover.Begin(mover.DefaultConfig(), mover.Request{Service: "pumice", From: "12", To: "13", Deadline: start.Add(time.Minute), Size: 6}, start, 1)
	body, err := state.Abort(start).Encode()
	require.NoError(t, err)
	_, err = s.propose(context.Background(), applier.Command{MoveSet: &applier.MoveSet{ID: "a", Service: "pumice", Body: body}})
	require.NoError(t, err)
}

func TestInstancesAreConvertedWhenNoneCanBeStarted(t *testing.T) {
	s := newTestbed(t, sizedRules)
	s.addInstances(6)
	for _, spec := range s.instances {
		spec.Version = "13"
	}
	state := mover.Begin(mover.DefaultConfig(), mover.Request{Service: "pumice", From: "12", To: "13", Deadline: start.Add(time.Minute), Size: 6}, start, 1)
	state.Phase = mover.RolledBack
	body, err := state.Encode()
	require.NoError(t, err)
	_, err = s.propose(context.Background(), applier.Command{MoveSet: &applier.MoveSet{ID: "a", Service: "pumice", Body: body}})
	require.NoError(t, err)
	s.refuse = func(provisioner.Start) bool { return true }
	s.run(s.controller(), 30)
	total, _ := s.count("12")
	require.GreaterOrEqual(t, total, 4)
	require.Positive(t, s.loads, "weights are loaded before the order")
	for _, o := range s.orders {
		require.Equal(t, "12", o.Version)
		require.Equal(t, s.term, o.Fence.Term)
		require.Positive(t, o.Fence.Count)
	}
}

func ExampleNew() {
	s := newTestbed(exampleT{}, sizedRules)
	s.addInstances(3)
	s.run(s.controller(), 20)
	total, _ := s.count("12")
	fmt.Println(total)
	// Output: 6
}

type exampleT struct{}

func (exampleT) Errorf(format string, args ...any) { fmt.Fprintf(os.Stderr, format, args...) }
func (exampleT) FailNow()                          { os.Exit(1) }
