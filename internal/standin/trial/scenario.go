// Package trial plays version moves against fakes of the entries, the
// replicated state and two versions of a service, to measure what the judge and
// the mover decide. It serves no traffic.
package trial

import (
	"math/rand/v2"
	"time"

	"hyssoprudder/internal/version/mover"
)

// Kind is the kind of a new version.
type Kind string

// The kinds of new versions.
const (
	Good      Kind = "good"
	Failing   Kind = "failing"   // fails from the start
	Partial   Kind = "partial"   // some calls fail from the start
	Later     Kind = "later"     // fails from the middle of the move on
	UnderLoad Kind = "underload" // fails when its instances carry their usual load
	OneRoute  Kind = "oneroute"  // fails on one route
	Slow      Kind = "slow"      // is slow from the start
	SlowLater Kind = "slowlater" // is slow from the middle of the move on
	OnceOnly  Kind = "onceonly"  // fails on the route whose calls run once
)

// Kinds returns all kinds of versions.
func Kinds() []Kind {
	return []Kind{Good, Failing, Partial, Later, UnderLoad, OneRoute, Slow, SlowLater, OnceOnly}
}

// Policy is a way of deciding on moves.
type Policy string

// The policies that are compared.
const (
	// Product is the judge and the mover of hyssoprudder.
	Product Policy = "product"
	// Threshold grows by time and takes back when failures or mean latency on
	// the new version pass a fixed bound.
	Threshold Policy = "threshold"
	// Stages grows by time and looks at the same bounds only at the end of
	// each stage.
	Stages Policy = "stages"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Product, Threshold, Stages} }

// Chaos holds the probabilities of disturbances in each second.
type Chaos struct {
	LeaderKill  float64 // the leader dies and another follows after a while
	DigestLoss  float64 // a digest of an entry is lost
	AnswerLoss  float64 // a write is committed but its answer is lost
	WriteLoss   float64 // a write is not committed
	WriteDelay  float64 // a write is committed late
	Reclaim     float64 // all instances of the new version are reclaimed
	EntryCrash  float64 // an entry restarts with a new incarnation
	StateDelays int     // seconds after which an entry sees a state, at most
}

// Scenario is one move.
type Scenario struct {
	Seed    uint64
	Policy  Policy
	Kind    Kind
	Window  time.Duration
	Rate    float64 // calls per second over all entries
	Entries int
	Size    int // instances that serve all of the traffic
	Chaos   Chaos
	// Config holds the pace of the product.
	Config mover.Config
	// Watch sees each committed state with the one before.
	Watch func(before, after mover.State, now time.Time)
	// Call sees each call.
	Call func(entry int, toNew, once bool, now time.Time)
}

// Result is what came of a move.
type Result struct {
	State     mover.State
	Requests  int
	ToNew     int
	Harmed    int // calls that were worse off for having gone to the new version
	AfterShow int // harmed calls later than 5 s after the tenth harmed one
	Leaders   int
	Decided   time.Duration // from the begin of the move to the verdict
}

// Correct reports whether the verdict is the right one and came in time.
func (r Result) Correct(kind Kind) bool {
	if kind == Good {
		return r.State.Phase == mover.Done
	}
	return r.State.Phase == mover.RolledBack
}

type route struct {
	name string
	once bool
	part float64
}

var routes = []route{
	{name: "answers", part: 0.5},
	{name: "summaries", part: 0.3},
	{name: "orders", once: true, part: 0.2},
}

func moverRoutes() []mover.Route {
	all := make([]mover.Route, 0, len(routes))
	for _, r := range routes {
		all = append(all, mover.NewRoute(r.name, r.once))
	}
	return all
}

func pick(rng *rand.Rand) route {
	at := rng.Float64()
	for _, r := range routes {
		if at < r.part {
			return r
		}
		at -= r.part
	}
	return routes[0]
}

// harm returns the probability that a call to the new version fails for its
// fault, and the factor by which it is slower.
func (k Kind) harm(r route, progress, load float64) (failure, slower float64) {
	switch k {
	case Failing:
		return 1, 1
	case Partial:
		return 0.15, 1
	case Later:
		return when(progress > 0.5, 0.5), 1
	case UnderLoad:
		return when(load > 0.6, 0.4), 1
	case OneRoute:
		return when(r.name == "summaries", 0.5), 1
	case OnceOnly:
		return when(r.once, 0.5), 1
	case Slow:
		return 0, 2.5
	case SlowLater:
		return 0, 1 + when(progress > 0.5, 1.5)
	default:
		return 0, 1
	}
}

func when(condition bool, value float64) float64 {
	if condition {
		return value
	}
	return 0
}
