package router

import (
	"slices"
	"time"

	"hyssoprudder/internal/process/observer"
)

const (
	maxEjected     = 0.5 // share of the endpoints of a service
	ejectedPenalty = 2.0 // seconds
)

// option is an endpoint that may get the call.
type option struct {
	index   int // in the group
	running float64
	own     int
	first   time.Duration
	next    time.Duration
	wait    float64 // seconds, for a slot
	growth  float64 // seconds per token and further call
	prefill float64 // seconds for the words that are not cached
	penalty float64 // seconds
	known   bool
}

// view is the state of one decision. Views are pooled.
type view struct {
	router  *Router
	now     time.Time
	group   *group
	call    Call
	options []option
	kept    []option // ejected endpoints
	cached  []int    // words by index in the group
	indexes []int    // in the group, of the endpoints that are looked at
	marked  []bool   // by index in the group
	scores  []float64
	weights []float64

	counted bool    // the call is counted in the shares and rates
	arrived float64 // calls in the last rateWindow
	key     uint64  // of the prefix by which calls meet at the same endpoints
	words   int     // of that prefix
	share   float64 // of the calls that have this prefix
}

func (v *view) reset(r *Router, now time.Time, g *group, call Call) {
	v.router, v.now, v.group, v.call = r, now, g, call
	v.key, v.words, v.share = 0, 0, 0
	v.indexes = v.indexes[:0]
	v.cached = append(v.cached[:0], make([]int, len(g.endpoints))...)
}

func (v *view) option(i int, load *observer.Load) option {
	work := observer.Work{Prompt: max(v.call.Words-v.cached[i], 0), Decode: v.call.Decode}
	return option{
		index:   i,
		running: load.InFlight(v.now),
		own:     load.OwnInFlight(),
		first:   load.First(v.now, work),
		next:    load.Next(v.now, 1),
		wait:    load.QueueWait(v.now).Seconds(),
		growth:  load.Growth().Seconds(),
		prefill: float64(work.Prompt) / load.PrefillRate(),
		penalty: v.group.far[i],
		known:   load.Known(),
	}
}

const (
	fullScan   = 48 // endpoints up to which each is looked at
	sampleSize = 24 // endpoints drawn by chance beyond that
	sampleHeld = 8  // endpoints that hold the longest prefixes
)

// sample selects the endpoints to look at. Of a small group it takes all; of a large
// one it takes the homes of the key, holders of the prefix and some by chance, so
// that the time of a decision does not grow with the group.
func (v *view) sample() {
	n := len(v.group.endpoints)
	if n <= fullScan || !v.router.policy.sample {
		v.indexes = append(v.indexes[:0], v.group.all...)
		return
	}
	v.marked = append(v.marked[:0], make([]bool, n)...)
	for _, i := range v.indexes {
		v.marked[i] = true
	}
	if v.words > 0 {
		v.markHomes()
	}
	for range sampleSize {
		v.marked[min(int(v.router.Random()*float64(n)), n-1)] = true
	}
	v.indexes = v.indexes[:0]
	for i, marked := range v.marked {
		if marked {
			v.indexes = append(v.indexes, i)
		}
	}
}

// markHomes marks the first endpoints of the key's rendezvous order.
func (v *view) markHomes() {
	var ranks [maxHomes]uint64
	var homes [maxHomes]int
	for i, seed := range v.group.seeds {
		rank := mix(v.key ^ seed)
		if rank <= ranks[maxHomes-1] {
			continue
		}
		at := maxHomes - 1
		for ; at > 0 && ranks[at-1] < rank; at-- {
			ranks[at], homes[at] = ranks[at-1], homes[at-1]
		}
		ranks[at], homes[at] = rank, i
	}
	for _, home := range homes {
		v.marked[home] = true
	}
}

// collectAll looks at every endpoint.
func (v *view) collectAll() bool {
	v.indexes = append(v.indexes[:0], v.group.all...)
	return v.collect()
}

// collect turns the selected endpoints that may get the call into options of one
// version, and reports whether there are any.
func (v *view) collect() bool {
	v.options, v.kept = v.options[:0], v.kept[:0]
	v.router.observer.Visit(v.group.handles, v.indexes, v.consider)
	present := len(v.options) + len(v.kept)
	if float64(len(v.kept)) > maxEjected*float64(present) {
		v.restore()
	}
	if v.selectVersion() {
		return true
	}
	v.restore()
	return v.selectVersion()
}

func (v *view) consider(i int, load *observer.Load) {
	if load.Leaving() || slices.Contains(v.call.Exclude, load.ID()) {
		return
	}
	if load.Ejected(v.now) {
		v.kept = append(v.kept, v.option(i, load))
		return
	}
	v.options = append(v.options, v.option(i, load))
}

// restore brings ejected endpoints back, since too many are out.
func (v *view) restore() {
	for _, o := range v.kept {
		o.penalty += ejectedPenalty
		v.options = append(v.options, o)
	}
	v.kept = v.kept[:0]
}

// selectVersion draws a version by the shares among those that have an option,
// and keeps its options only. It reports whether any are left.
func (v *view) selectVersion() bool {
	if v.router.Weigh == nil || len(v.options) == 0 {
		return len(v.options) > 0
	}
	v.weights = v.weights[:0]
	for _, name := range v.group.versions {
		v.weights = append(v.weights, -v.router.Weigh(v.call.Service, v.call.Route, name))
	}
	total := 0.0
	for _, o := range v.options {
		n := v.group.version[o.index]
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
	v.options = slices.DeleteFunc(v.options, func(o option) bool { return v.group.version[o.index] != chosen })
	return true
}

// dropAvoided drops the failure domain to avoid if another one has an option.
func (v *view) dropAvoided() {
	if v.call.Avoid == "" {
		return
	}
	avoided := func(o option) bool { return v.group.endpoints[o.index].Domain() == v.call.Avoid }
	if slices.ContainsFunc(v.options, func(o option) bool { return !avoided(o) }) {
		v.options = slices.DeleteFunc(v.options, avoided)
	}
}
