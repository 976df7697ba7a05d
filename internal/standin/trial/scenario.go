// Package trial simulates version moves, to measure the decisions of the judge and
// the mover. The entries, the replicated state and the two versions of a service are
// fakes; no traffic is served.
package trial

import (
	"math/rand/v2"
	"time"

	"hyssoprudder/internal/version/mover"
)

// Kind is the kind of a new version: good, or with a certain fault.
type Kind string

// The kinds of new versions.
const (
	Good      Kind = "good"
	Failing   Kind = "failing"   // fails from the start
	Partial   Kind = "partial"   // some calls fail from the start
	Later     Kind = "later"     // fails from the middle of the window
	UnderLoad Kind = "underload" // fails when its instances carry more than 60 % of their usual load
	OneRoute  Kind = "oneroute"  // fails on one route
	Slow      Kind = "slow"      // is slow from the start
	SlowLater Kind = "slowlater" // is slow from the middle of the window
	OnceOnly  Kind = "onceonly"  // fails on the route with at-most-once calls
)

// Kinds returns all kinds of versions.
func Kinds() []Kind {
	return []Kind{Good, Failing, Partial, Later, UnderLoad, OneRoute, Slow, SlowLater, OnceOnly}
}

// Policy is a way to decide on moves.
type Policy string

// The policies that are compared.
const (
	// Product is the judge and the mover of hyssoprudder.
	Product Policy = "product"
	// Threshold advances by time, and rolls back when the failures or the mean latency
	// of the new version exceed a fixed bound.
	Threshold Policy = "threshold"
	// Stages advances by time, and checks the same bounds only at the end of each
	// step.
	Stages Policy = "stages"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Product, Threshold, Stages} }

// Chaos describes the faults of the environment. The probability DigestLoss applies to
// each digest, AnswerLoss, WriteLoss and WriteDelay to each write, and the others to each
// second.
type Chaos struct {
	LeaderKill    float64 // the leader dies and another one takes over after a while
	DigestLoss    float64 // a digest of an entry is lost
	AnswerLoss    float64 // a write is committed but its answer is lost, and a new leader takes over
	WriteLoss     float64 // a write is not committed
	WriteDelay    float64 // a write is committed late
	Reclaim       float64 // all instances of the new version are reclaimed
	EntryCrash    float64 // an entry restarts with a new incarnation
	MaxStateDelay int     // maximum delay in seconds until an entry receives a state
}

// Scenario describes one move.
type Scenario struct {
	Seed    uint64
	Policy  Policy
	Kind    Kind
	Window  time.Duration
	Rate    float64 // calls per second over all entries
	Entries int
	Size    int // number of instances that serve the full traffic
	Chaos   Chaos
	// Config is the configuration of the mover of the product.
	Config mover.Config
	// OnCommit is called with each committed state and the one before. It may be nil.
	OnCommit func(before, after mover.State, now time.Time)
	// OnCall is called for each call. It may be nil.
	OnCall func(entry int, toNew, once bool, now time.Time)
}

// Result is the result of a move.
type Result struct {
	State         mover.State
	Requests      int
	ToNew         int           // calls routed to the new version
	Harmed        int           // calls harmed by having been routed to the new version
	HarmedLate    int           // calls harmed more than 5 s after the tenth harmed call
	LeaderChanges int           // number of times that a new leader took over
	DecisionTime  time.Duration // time from the beginning of the move to the verdict
}

// Correct reports whether the verdict fits the kind of the version and was reached in
// time.
func (r Result) Correct(kind Kind) bool {
	if kind == Good {
		return r.State.Phase == mover.Done
	}
	return r.State.Phase == mover.RolledBack
}

// route is a route of the simulated service.
type route struct {
	name     string
	once     bool
	fraction float64 // of all calls
}

var routes = []route{
	{name: "answers", fraction: 0.5},
	{name: "summaries", fraction: 0.3},
	{name: "orders", once: true, fraction: 0.2},
}

func moverRoutes() []mover.Route {
	all := make([]mover.Route, 0, len(routes))
	for _, r := range routes {
		all = append(all, mover.NewRoute(r.name, r.once))
	}
	return all
}

func pick(rng *rand.Rand) route {
	point := rng.Float64()
	for _, r := range routes {
		if point < r.fraction {
			return r
		}
		point -= r.fraction
	}
	return routes[0]
}

// effect returns the probability that a call to the new version fails because of its
// fault, and the factor by which the call is slower.
func (k Kind) effect(r route, progress, load float64) (failure, factor float64) {
	switch k {
	case Failing:
		return 1, 1
	case Partial:
		return 0.15, 1
	case Later:
		return valueIf(progress > 0.5, 0.5), 1
	case UnderLoad:
		return valueIf(load > 0.6, 0.4), 1
	case OneRoute:
		return valueIf(r.name == "summaries", 0.5), 1
	case OnceOnly:
		return valueIf(r.once, 0.5), 1
	case Slow:
		return 0, 2.5
	case SlowLater:
		return 0, 1 + valueIf(progress > 0.5, 1.5)
	default:
		return 0, 1
	}
}

func valueIf(condition bool, value float64) float64 {
	if condition {
		return value
	}
	return 0
}
