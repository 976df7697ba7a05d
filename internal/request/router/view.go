package router

import (
	"slices"
	"time"

	"hyssoprudder/internal/process/observer"
)

const (
	maxEjectedFraction = 0.5 // fraction of the endpoints of a service that may stay ejected
	ejectedPenalty     = 2.0 // seconds
)

// option is an endpoint that may get the call.
type option struct {
	index       int // in the group
	inFlight    float64
	ownInFlight int
	first       time.Duration
	next        time.Duration
	slotWait    float64 // seconds until a slot is free
	growth      float64 // additional seconds per token for each further call
	prefillTime float64 // seconds to process the words that are not cached
	penalty     float64 // seconds
	known       bool
}

// view is the state of one decision. Views are pooled.
type view struct {
	router     *Router
	now        time.Time
	group      *group
	call       Call
	options    []option
	ejected    []option
	cached     []int  // cached words by index in the group
	candidates []int  // indexes in the group of the endpoints to compare
	selected   []bool // by index in the group
	scores     []float64
	weights    []float64

	isCounted   bool    // the call is counted in popularity and arrival rate
	recentCalls float64 // calls in the last rateWindow
	key         uint64  // hash of the prefix by which calls are sent to the same endpoints
	keyWords    int     // length of that prefix in words
	keyFraction float64 // fraction of the calls that have this prefix
}

func (v *view) reset(r *Router, now time.Time, g *group, call Call) {
	v.router, v.now, v.group, v.call = r, now, g, call
	v.key, v.keyWords, v.keyFraction = 0, 0, 0
	v.candidates = v.candidates[:0]
	v.cached = append(v.cached[:0], make([]int, len(g.endpoints))...)
}

func (v *view) option(i int, load *observer.Load) option {
	work := observer.Work{Prompt: max(v.call.Words-v.cached[i], 0), Decode: v.call.Decode}
	return option{
		index:       i,
		inFlight:    load.InFlight(v.now),
		ownInFlight: load.OwnInFlight(),
		first:       load.First(v.now, work),
		next:        load.Next(v.now, 1),
		slotWait:    load.QueueWait(v.now).Seconds(),
		growth:      load.Growth().Seconds(),
		prefillTime: float64(work.Prompt) / load.PrefillRate(),
		penalty:     v.group.remoteCosts[i],
		known:       load.Known(),
	}
}

const (
	maxFullScan = 48 // largest group of which every endpoint is compared
	sampleSize  = 24 // random draws from a larger group
	maxHolders  = 8  // endpoints with the longest cached prefixes
)

// sample selects the endpoints to compare: all of a small group; of a large one the
// affinity endpoints of the key, endpoints that have the prefix cached, and a random
// sample, so that the time of a decision does not grow with the group.
func (v *view) sample() {
	n := len(v.group.endpoints)
	if n <= maxFullScan || !v.router.policy.samples {
		v.candidates = append(v.candidates[:0], v.group.all...)
		return
	}
	v.selected = append(v.selected[:0], make([]bool, n)...)
	for _, i := range v.candidates {
		v.selected[i] = true
	}
	if v.keyWords > 0 {
		v.selectAffinity()
	}
	for range sampleSize {
		v.selected[min(int(v.router.Random()*float64(n)), n-1)] = true
	}
	v.candidates = v.candidates[:0]
	for i, selected := range v.selected {
		if selected {
			v.candidates = append(v.candidates, i)
		}
	}
}

// selectAffinity selects the first endpoints in the key's rendezvous order.
func (v *view) selectAffinity() {
	var ranks [maxAffinityEndpoints]uint64
	var best [maxAffinityEndpoints]int
	for i, seed := range v.group.seeds {
		rank := mix(v.key ^ seed)
		if rank <= ranks[maxAffinityEndpoints-1] {
			continue
		}
		at := maxAffinityEndpoints - 1
		for ; at > 0 && ranks[at-1] < rank; at-- {
			ranks[at], best[at] = ranks[at-1], best[at-1]
		}
		ranks[at], best[at] = rank, i
	}
	for _, i := range best {
		v.selected[i] = true
	}
}

// collectAll collects options from all endpoints.
func (v *view) collectAll() bool {
	v.candidates = append(v.candidates[:0], v.group.all...)
	return v.collect()
}

// collect collects options of one version from the candidates, and reports whether
// there are any.
func (v *view) collect() bool {
	v.options, v.ejected = v.options[:0], v.ejected[:0]
	v.router.observer.Visit(v.group.handles, v.candidates, v.addOption)
	present := len(v.options) + len(v.ejected)
	if float64(len(v.ejected)) > maxEjectedFraction*float64(present) {
		v.restoreEjected()
	}
	if v.selectVersion() {
		return true
	}
	v.restoreEjected()
	return v.selectVersion()
}

func (v *view) addOption(i int, load *observer.Load) {
	if load.Leaving() || slices.Contains(v.call.Exclude, load.ID()) {
		return
	}
	if load.Ejected(v.now) {
		v.ejected = append(v.ejected, v.option(i, load))
		return
	}
	v.options = append(v.options, v.option(i, load))
}

// restoreEjected makes ejected endpoints available again with a penalty, since too
// many are ejected.
func (v *view) restoreEjected() {
	for _, o := range v.ejected {
		o.penalty += ejectedPenalty
		v.options = append(v.options, o)
	}
	v.ejected = v.ejected[:0]
}

// selectVersion draws a version by its share among the versions that have an option,
// and keeps only the options of that version. It reports whether any are left.
func (v *view) selectVersion() bool {
	if v.router.VersionWeight == nil || len(v.options) == 0 {
		return len(v.options) > 0
	}
	v.weights = v.weights[:0]
	for _, name := range v.group.versions {
		v.weights = append(v.weights, -v.router.VersionWeight(v.call.Service, v.call.Route, name))
	}
	total := 0.0
	for _, o := range v.options {
		n := v.group.versionIndex[o.index]
		if v.weights[n] < 0 {
			v.weights[n] = -v.weights[n]
			total += v.weights[n]
		}
	}
	if total <= 0 {
		return false
	}
	at := v.router.Random() * total
	chosen := -1
	for n, weight := range v.weights {
		if weight <= 0 {
			continue
		}
		chosen = n
		if at -= weight; at < 0 {
			break
		}
	}
	v.options = slices.DeleteFunc(v.options, func(o option) bool { return v.group.versionIndex[o.index] != chosen })
	return true
}

// dropAvoided removes the options in the failure domain to avoid if there are others.
func (v *view) dropAvoided() {
	if v.call.AvoidDomain == "" {
		return
	}
	avoided := func(o option) bool { return v.group.endpoints[o.index].Domain() == v.call.AvoidDomain }
	if slices.ContainsFunc(v.options, func(o option) bool { return !avoided(o) }) {
		v.options = slices.DeleteFunc(v.options, avoided)
	}
}
