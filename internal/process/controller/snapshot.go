// Package controller runs on the leader: it compares what the rules ask for
// with the replicated state and with what the platform lists, and brings the
// two together. It is level-triggered, so a successor goes on where another
// leader stopped.
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

// Snapshot is all that one round of decisions depends on.
type Snapshot struct {
	Now       time.Time
	Term      uint64
	Rules     *parser.Rules
	Moves     []applier.Move
	Intents   []applier.Intent
	Instances []lister.Listed
	// Managed is true if instances may be started and given back.
	Managed bool
	Offers  []scaler.Offer
	// Digests are the counters of the entries.
	Digests []*judge.Digest
	// Inflight returns the calls that the entries have running at an instance.
	// Nil means that this is not known.
	Inflight func(id string) int
}

// Job says what an intent is for.
type Job string

// The jobs of intents.
const (
	// JobStart starts an instance.
	JobStart Job = "start"
	// JobDrain drains an instance and then gives it back.
	JobDrain Job = "drain"
)

// Intent is the body of an intent in the replicated state.
type Intent struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Job      Job
	Service  string
	Version  string
	Class    string
	Domain   string
	Market   lister.Market
	Price    float64
	Instance string
	Made     time.Time
}

func (i Intent) offer() scaler.Offer { return scaler.NewOffer(i.Class, i.Domain, i.Market, i.Price) }

// Action is one thing to do. Exactly one of the pointers is set.
type Action struct {
	Move    *MoveWrite
	Put     *IntentWrite
	Close   string // id of an intent
	Start   *IntentWrite
	Mark    string // id of an instance that is leaving from now on
	Release string // id of an instance that is drained
	Load    *loader.Load
	Order   *Order
}

// MoveWrite replaces the state of a move if its number is still Base.
type MoveWrite struct {
	Base  uint64
	State mover.State
}

// IntentWrite records an intent, or carries it out.
type IntentWrite struct {
	ID   string
	Body Intent
}

// Order asks an engine for a version.
type Order struct {
	Endpoint lister.Endpoint
	Version  string
	// Fence is true if the service's engines check fencing numbers.
	Fence bool
}

// fleet is what is known of the instances of one service.
type fleet struct {
	service  string
	live     []lister.Endpoint
	draining map[string]bool
	starting []IntentWrite
}

// fleets sorts instances and open intents by service.
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
	at := func(service string) *fleet {
		if all[service] == nil {
			all[service] = &fleet{service: service, draining: make(map[string]bool)}
		}
		return all[service]
	}
	for _, i := range open {
		if i.Body.Job == JobDrain {
			at(i.Body.Service).draining[i.Body.Instance] = true
		} else {
			at(i.Body.Service).starting = append(at(i.Body.Service).starting, i)
		}
	}
	for _, l := range s.Instances {
		f := at(l.Endpoint.Service())
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

// usual returns the version that most live instances serve.
func (f *fleet) usual() string {
	best, most := "", 0
	for _, v := range f.versions() {
		if n := len(f.of(v)); n > most {
			best, most = v, n
		}
	}
	return best
}
