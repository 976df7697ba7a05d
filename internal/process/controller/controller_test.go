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

// site is a fake platform with engines, beside the replicated state.
type site struct {
	clock     *clock.Manual
	state     *applier.Applier
	index     uint64
	term      uint64
	leads     bool
	rules     *parser.Rules
	instances map[string]*lister.Spec
	leaving   map[string]bool
	listedAt  map[string]time.Time
	intents   map[string]string
	counter   int
	refuse    func(provisioner.Start) bool
	lose      func() bool
	marked    map[string]time.Time
	released  []string
	orders    map[netip.AddrPort]dialer.Order
	loads     int
}

func newSite(t require.TestingT, rules string) *site {
	parsed, err := parser.Parse(rules)
	require.NoError(t, err)
	return &site{
		clock: clock.NewManual(start), state: applier.New(), term: 1, leads: true, rules: parsed,
		instances: make(map[string]*lister.Spec), leaving: make(map[string]bool),
		listedAt: make(map[string]time.Time), intents: make(map[string]string),
		refuse: func(provisioner.Start) bool { return false }, lose: func() bool { return false },
		marked: make(map[string]time.Time), orders: make(map[netip.AddrPort]dialer.Order),
	}
}

func (s *site) add(service, version, domain string, market lister.Market) string {
	s.counter++
	id := fmt.Sprint("i", s.counter)
	s.instances[id] = &lister.Spec{
		ID: id, Service: service, Version: version, Domain: domain, Class: "a", Market: market, Price: 1,
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(s.counter)),
	}
	return id
}

func (s *site) propose(_ context.Context, c applier.Command) (applier.Result, error) {
	s.index++
	c.At = s.clock.Now().UnixNano()
	result := s.state.Apply(s.index, s.term, c)
	if s.lose() {
		return applier.Result{}, errLost
	}
	return result, nil
}

func (s *site) listed() []lister.Listed {
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

func (s *site) begin(_ context.Context, start provisioner.Start) (provisioner.Instance, error) {
	id, made := s.intents[start.Intent]
	if !made {
		if s.refuse(start) {
			return provisioner.Instance{}, provisioner.ErrRefused
		}
		id = s.add(start.Service, start.Version, start.Domain, start.Market)
		s.intents[start.Intent] = id
		s.listedAt[id] = s.clock.Now().Add(5 * time.Second)
	}
	if s.lose() {
		return provisioner.Instance{}, errLost
	}
	return provisioner.Instance{ID: id}, nil
}

func (s *site) release(_ context.Context, id string) error {
	delete(s.instances, id)
	s.released = append(s.released, id)
	return nil
}

func (s *site) order(_ context.Context, engine netip.AddrPort, o dialer.Order) error {
	s.orders[engine] = o
	for _, spec := range s.instances {
		if spec.Address == engine {
			spec.Version = o.Version
		}
	}
	return nil
}

func (s *site) controller() *controller.Controller {
	var classes []provisioner.Class
	for _, d := range domains {
		classes = append(classes, provisioner.Class{Class: "a", Domain: d, Market: lister.Reclaimable, Price: 1},
			provisioner.Class{Class: "a", Domain: d, Market: lister.OnDemand, Price: 3})
	}
	return controller.New(controller.Config{
		Clock: s.clock, Log: log.New(io.Discard), Pace: controller.DefaultPace(),
		Lease: func() (uint64, time.Time, bool) { return s.term, s.clock.Now().Add(time.Second), s.leads },
		Rules: func() *parser.Rules { return s.rules },
		State: func(context.Context) ([]applier.Move, []applier.Intent, error) {
			return s.state.Moves(), s.state.Intents(), nil
		},
		Propose: s.propose, Instances: func() ([]lister.Listed, bool) { return s.listed(), true },
		Classes:  func(context.Context) ([]provisioner.Class, error) { return classes, nil },
		Digests:  func() [][]byte { return nil },
		Inflight: func(string) int { return 0 },
		Mark: func(id string) {
			if _, twice := s.marked[id]; !twice {
				s.marked[id] = s.clock.Now()
			}
		},
		Start: s.begin, Release: s.release,
		Load:  func(context.Context, string, string, string) error { s.loads++; return nil },
		Order: s.order,
		Ordered: func(_ context.Context, engine netip.AddrPort) (dialer.Order, error) {
			return s.orders[engine], nil
		},
	})
}

func (s *site) play(c *controller.Controller, rounds int) {
	for range rounds {
		c.Round(context.Background())
		s.clock.Advance(time.Second)
	}
}

func (s *site) count(version string) (total int, byDomain map[string]int) {
	byDomain = make(map[string]int)
	for _, l := range s.listed() {
		if e := l.Endpoint; !l.Leaving && e.Version() == version {
			total++
			byDomain[e.Domain()]++
		}
	}
	return total, byDomain
}

const sized = "service pumice kind=model first=1300ms next=52ms # clerks, Vrancea\n" +
	"route answers path=/v1/answers service=pumice # clerks, Vrancea\n" +
	"size pumice min=4 max=9 spare=domain # staff, Vrancea\n"

func (s *site) fill(n int) {
	for i := range n {
		s.add("pumice", "12", domains[i%3], lister.Reclaimable)
	}
}

// Whatever answers are lost, starts are refused, leaders change and domains are
// reclaimed: once that ends, the stated size survives the loss of any domain,
// no intent has made two instances, and nothing was given back undrained.
func TestCapacityUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite(t, sized)
		s.fill(rapid.IntRange(1, 9).Draw(t, "instances"))
		c := s.controller()
		s.lose = func() bool { return rapid.IntRange(0, 4).Draw(t, "lost") == 0 }
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
			s.play(c, 1)
		}
		s.lose = func() bool { return false }
		s.refuse = func(provisioner.Start) bool { return false }
		s.play(c, 400)
		total, byDomain := s.count("12")
		for d, n := range byDomain {
			require.GreaterOrEqual(t, total-n, 4, "the size survives the loss of %s", d)
		}
		require.LessOrEqual(t, total, 9)
		for _, id := range s.released {
			require.Contains(t, s.marked, id, "an instance is marked before it is given back")
		}
		for _, i := range s.state.Intents() {
			require.NotZero(t, i.ClosedAt, "all intents come to an end")
		}
	})
}

func TestRefusedStartsAreBoughtOnDemand(t *testing.T) {
	s := newSite(t, sized)
	s.fill(3)
	s.refuse = func(o provisioner.Start) bool { return o.Market == lister.Reclaimable }
	s.play(s.controller(), 60)
	total, byDomain := s.count("12")
	require.Equal(t, 6, total)
	require.Len(t, byDomain, 3)
}

func TestFleetIsStartedAgainAfterItsLoss(t *testing.T) {
	s := newSite(t, sized)
	s.fill(3)
	s.play(s.controller(), 30)
	clear(s.instances)
	s.term++
	s.play(s.controller(), 30)
	total, _ := s.count("12")
	require.Equal(t, 6, total)
}

// A start whose answer was lost is asked for again under the same intent, also
// by a new leader.
func TestLostAnswersStartNoSecondInstance(t *testing.T) {
	s := newSite(t, sized)
	s.fill(5)
	lost := 0
	s.lose = func() bool { lost++; return lost <= 2 }
	s.play(s.controller(), 3)
	s.term++
	s.play(s.controller(), 20)
	require.Len(t, s.intents, 1)
	require.Len(t, s.instances, 6)
}

// A frozen leader that wakes sends nothing once its lease is over.
func TestNothingIsDoneWithoutTheLease(t *testing.T) {
	s := newSite(t, sized)
	s.fill(1)
	s.leads = false
	s.play(s.controller(), 5)
	require.Empty(t, s.state.Intents())
	require.Empty(t, s.intents)
}

func TestMoveWithoutCallsIsTakenBackInTime(t *testing.T) {
	by := start.Add(5 * time.Minute)
	s := newSite(t, sized+"move pumice from=12 to=13 by="+by.Format(time.RFC3339)+" share=5 # desk, Vrancea\n")
	s.fill(6)
	s.play(s.controller(), 60)
	moved, _ := s.count("13")
	require.Positive(t, moved, "instances of the new version start beside the old ones")
	s.term++
	s.play(s.controller(), 290)
	state, err := mover.Decode(s.state.Move("pumice").Body)
	require.NoError(t, err)
	require.Equal(t, mover.RolledBack, state.Phase)
	require.True(t, state.Declared.Before(by))
	moved, _ = s.count("13")
	require.Zero(t, moved, "what was started for the move is given back")
	total, _ := s.count("12")
	require.Equal(t, 6, total)
}

func TestInstancesAreOrderedOverWhenNoneCanBeStarted(t *testing.T) {
	s := newSite(t, sized)
	s.fill(6)
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
	s.play(s.controller(), 30)
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
	s := newSite(exampleT{}, sized)
	s.fill(3)
	s.play(s.controller(), 20)
	total, _ := s.count("12")
	fmt.Println(total)
	// Output: 6
}

type exampleT struct{}

func (exampleT) Errorf(format string, args ...any) { fmt.Fprintf(os.Stderr, format, args...) }
func (exampleT) FailNow()                          { os.Exit(1) }
