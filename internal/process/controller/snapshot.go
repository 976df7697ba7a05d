// Package controller runs on the leader: it compares the rules with the replicated state and
// with the instances that the provider lists, and reconciles them. It is level-triggered, so a
// new leader continues where the previous one stopped.
package controller

import (
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/parser"
	"hyssoprudder/internal/process/scaler"
	"hyssoprudder/internal/version/judge"
	"hyssoprudder/internal/version/loader"
	"hyssoprudder/internal/version/mover"
)

// Snapshot is the input of one round of decisions.
type Snapshot struct {
	Now       time.Time
	Term      uint64
	Rules     *parser.Rules
	Moves     []applier.Move
	Intents   []applier.Intent
	Instances []lister.Listed
	// Managed is true if instances may be started and released.
	Managed bool
	Offers  []scaler.Offer
	// Digests are the counters of the entries.
	Digests []*judge.Digest
	// InFlight returns the number of calls in flight at an instance, from all entries. Nil
	// means that the number is unknown.
	InFlight func(id string) int
}

// Job is the purpose of an intent.
type Job string

// The jobs of intents.
const (
	// JobStart starts an instance.
	JobStart Job = "start"
	// JobDrain drains an instance and then releases it.
	JobDrain Job = "drain"
)

// Intent is the body of an intent in the replicated state.
type Intent struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Job       Job
	Service   string
	Version   string
	Class     string
	Domain    string
	Market    lister.Market
	Price     float64
	Instance  string
	CreatedAt time.Time
}

func (i Intent) offer() scaler.Offer { return scaler.NewOffer(i.Class, i.Domain, i.Market, i.Price) }

// Action is one action to take. Exactly one field is set.
type Action struct {
	Move    *MoveWrite
	Put     *IntentWrite
	Close   string // ID of the intent to close
	Start   *IntentWrite
	Mark    string // ID of an instance to mark as leaving
	Release string // ID of a drained instance to release
	Load    *loader.Load
	Order   *Order
}

// MoveWrite replaces the state of a move if its number is still Base.
type MoveWrite struct {
	Base  uint64
	State mover.State
}

// IntentWrite is an intent to record or to carry out.
type IntentWrite struct {
	ID   string
	Body Intent
}

// Order tells an engine to serve a version.
type Order struct {
	Endpoint lister.Endpoint
	Version  string
	// Fence is true if the service's engines check fencing numbers.
	Fence bool
}

// fleet is the known state of the instances of one service.
type fleet struct {
	service  string
	live     []lister.Endpoint
	draining map[string]bool
	starting []IntentWrite
}

// fleets groups instances and open intents by service.
func fleets(s Snapshot) (map[string]*fleet, map[string]IntentWrite) {
	open := make(map[string]IntentWrite)
	for _, i := range s.Intents {
		if i.ClosedAt != 0 {
			continue
		}
		var body Intent
		if err := msgpack.Unmarshal(i.Body, &body); err == nil {
			open[i.ID] = IntentWrite{ID: i.ID, Body: body}
		}
	}
	all := make(map[string]*fleet)
	fleetOf := func(service string) *fleet {
		if all[service] == nil {
			all[service] = &fleet{service: service, draining: make(map[string]bool)}
		}
		return all[service]
	}
	for _, i := range open {
		if i.Body.Job == JobDrain {
			fleetOf(i.Body.Service).draining[i.Body.Instance] = true
		} else {
			fleetOf(i.Body.Service).starting = append(fleetOf(i.Body.Service).starting, i)
		}
	}
	for _, l := range s.Instances {
		f := fleetOf(l.Endpoint.Service())
		if !l.Leaving && !f.draining[l.Endpoint.ID()] {
			f.live = append(f.live, l.Endpoint)
		}
	}
	for _, f := range all {
		slices.SortFunc(f.live, func(a, b lister.Endpoint) int { return strings.Compare(a.ID(), b.ID()) })
		slices.SortFunc(f.starting, func(a, b IntentWrite) int { return strings.Compare(a.ID, b.ID) })
	}
	return all, open
}

// of returns the live instances of a version.
func (f *fleet) of(version string) []lister.Endpoint {
	var found []lister.Endpoint
	for _, e := range f.live {
		if e.Version() == version {
			found = append(found, e)
		}
	}
	return found
}

// versions returns the versions of live and starting instances, sorted.
func (f *fleet) versions() []string {
	var found []string
	for _, e := range f.live {
		found = append(found, e.Version())
	}
	for _, i := range f.starting {
		found = append(found, i.Body.Version)
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// commonVersion returns the version that most live instances serve.
func (f *fleet) commonVersion() string {
	best, bestCount := "", 0
	for _, v := range f.versions() {
		if n := len(f.of(v)); n > bestCount {
			best, bestCount = v, n
		}
	}
	return best
}
