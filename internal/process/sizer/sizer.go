// Package sizer decides how many instances a service needs in each failure domain, and whether
// they are reclaimable or on demand. It chooses the fewest with which calls start in time,
// prefers reclaimable ones, and keeps enough that the loss of all reclaimable instances of one
// domain leaves sufficient capacity. What the reclaimable instances do not cover is ordered on
// demand. The package does no input or output.
package sizer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// targetUtilization is the fraction of time that an instance should spend on prefill where
	// instances are cheap. Beyond maxUtilization calls queue behind each other for so long
	// that on-demand instances are worth their price.
	targetUtilization = 0.35
	maxUtilization    = 0.55
	// targetOccupancy is the fraction of the slots and of the KV cache that should be in use.
	targetOccupancy = 0.7
	// keptFraction is the fraction of the on-demand instances that a new leader assumes to be
	// needed until it has measured.
	keptFraction = 0.8
	// riseSmoothing and fallSmoothing are the weights of a new measurement above and below the
	// smoothed value.
	riseSmoothing = 0.23
	fallSmoothing = 0.04
	// shrinkDelay is how long fewer instances must suffice before the size is reduced.
	shrinkDelay = 6 * time.Second
	// onDemandRetention is how long on-demand instances are kept after reclaimable ones have
	// replaced them.
	onDemandRetention = 3 * time.Second
	// exhaustedBackoff is how long no instances are requested from a group that has none
	// available.
	exhaustedBackoff = 3 * time.Second
	// reclaimRiskWindow is how long after a reclaim, or after reclaimable instances were
	// unavailable, further domains are expected to lose theirs too.
	reclaimRiskWindow = 9 * time.Second
	// reclaimRiskFraction is the fraction of the other domains' reclaimable instances that
	// counts during that window. It balances the risk of a gap when domains are lost in quick
	// succession against the cost of on-demand instances.
	reclaimRiskFraction = 0.75
	// startGrace is how long beyond the start-up time an order may take.
	startGrace = 2 * time.Second
)

// Group identifies the reclaimable or the on-demand instances of a failure domain.
type Group struct {
	Domain      string
	Reclaimable bool
}

// Market describes the instances that the provider offers for a service.
type Market struct {
	// Min and Max bound the number of instances in a domain, reclaimable and on-demand
	// together.
	Min int
	Max int
	// StartupTime is the time from an order until the instance serves.
	StartupTime time.Duration
	// ReclaimablePriceRatio is the price of a reclaimable instance as a fraction of the on-demand
	// price; 0 if reclaimable instances are not offered.
	ReclaimablePriceRatio float64
	// Prices are the on-demand prices by domain.
	Prices map[string]float64
}

// Observation is the observed state of a service at one moment.
type Observation struct {
	// Serving is the number of instances that accept work, by group.
	Serving map[Group]int
	// Unusable is the number of further instances, by group, that the provider still counts
	// but that take no calls: they said that they leave, or asked for a long pause.
	Unusable map[Group]int
	// Evacuated are the calls in flight at the instances of each evacuated domain, and
	// EvacuatedInstances the instances there. They are not included in Serving and Unusable.
	Evacuated          map[string]int
	EvacuatedInstances map[Group]int
	// Waiting is the number of calls that have not returned a token yet, InFlight the number of
	// all calls in flight, and KVTokens the tokens that these take in KV caches.
	Waiting  int
	InFlight int
	KVTokens int
	// Slots is the number of calls that one instance runs concurrently, and KVSize the size of
	// its KV cache in tokens; 0 means no limit.
	Slots  int
	KVSize int
	// Refused is true if calls were refused for lack of capacity since the last observation.
	Refused bool
}

// Sizer decides the size of one service. It is not safe for concurrent use.
type Sizer struct {
	busy         float64 // smoothed number of busy instances
	hasTraffic   bool    // calls have been observed
	lowSince     time.Time
	size         int             // instances needed at targetUtilization
	minNeeded    int             // instances needed at maxUtilization
	ordered      map[Group]order // without replacements
	exhausted    map[Group]time.Time
	surplusSince time.Time // since when fewer on-demand instances suffice
	reclaimedAt  time.Time // when reclaimable instances were last lost or unavailable
	lastServing  map[Group]int
}

type order struct {
	count        int
	replacements int
	at           time.Time
}

// New returns a sizer that has not ordered anything.
func New() *Sizer {
	return &Sizer{ordered: make(map[Group]order), exhausted: make(map[Group]time.Time)}
}

// Size returns the number of instances that the service is estimated to need.
func (s *Sizer) Size() int { return s.size }

// Order is the number of instances that a group should have.
type Order struct {
	Group Group
	Count int

	replacements int // included in Count
}

// Decide returns the orders to send now, those that add instances first. An order is returned
// again until Accepted is called for it.
func (s *Sizer) Decide(m *Market, obs *Observation, now time.Time) []Order {
	s.measure(m, obs, now)
	s.detectReclaims(obs, now)
	want := s.wantReclaimable(m, obs)
	keepServing(obs, want)
	s.wantOnDemand(m, obs, want, now)
	var out []Order
	for _, g := range sortedGroups(m) {
		if s.isExhausted(g, now) {
			continue
		}
		last, known := s.ordered[g]
		if _, ok := obs.Evacuated[g.Domain]; ok {
			if o, ok := s.reduceEvacuated(g, m, obs); ok {
				out = append(out, o)
			}
			continue
		}
		n := replacements(g, m, obs, want)
		if known && want[g] != last.count || !known && want[g] != obs.Serving[g] || n != last.replacements || s.isOverdue(g, m, obs, now) {
			out = append(out, Order{Group: g, Count: want[g] + n, replacements: n})
		}
	}
	slices.SortStableFunc(out, func(a, b Order) int {
		return cmp.Compare(growth(b, obs), growth(a, obs))
	})
	return out
}

// detectReclaims detects domains that lost all their reclaimable instances without an order.
func (s *Sizer) detectReclaims(obs *Observation, now time.Time) {
	for g, n := range s.lastServing {
		if _, ok := obs.Evacuated[g.Domain]; ok {
			continue
		}
		if g.Reclaimable && n > 0 && obs.Serving[g] == 0 && s.ordered[g].count > 0 {
			s.reclaimedAt = now
		}
	}
	s.lastServing = maps.Clone(obs.Serving)
}

func (s *Sizer) isReclaimLikely(now time.Time) bool {
	return !s.reclaimedAt.IsZero() && now.Sub(s.reclaimedAt) < reclaimRiskWindow
}

// growth returns a positive number for an order that adds instances.
func growth(o Order, obs *Observation) int {
	return cmp.Compare(o.Count, obs.Serving[o.Group]+obs.Unusable[o.Group])
}

// replacements returns by how many instances a group's order is raised because the provider
// counts as many that take no calls. Otherwise it would stop others in their place.
func replacements(g Group, m *Market, obs *Observation, want map[Group]int) int {
	other := Group{g.Domain, !g.Reclaimable}
	return max(0, min(obs.Unusable[g], m.Max-want[g]-want[other]-obs.Unusable[other]))
}

// isOverdue reports whether ordered instances have not arrived in time.
func (s *Sizer) isOverdue(g Group, m *Market, obs *Observation, now time.Time) bool {
	last, ok := s.ordered[g]
	return ok && obs.Serving[g] < last.count && now.Sub(last.at) > m.StartupTime+startGrace
}

func (s *Sizer) isExhausted(g Group, now time.Time) bool { return now.Before(s.exhausted[g]) }

// Accepted records that the provider accepted an order.
func (s *Sizer) Accepted(o Order, now time.Time) {
	s.ordered[o.Group] = order{count: o.Count - o.replacements, replacements: o.replacements, at: now}
	delete(s.exhausted, o.Group)
}

// Unavailable records that the provider has no instances for an order at the moment.
func (s *Sizer) Unavailable(o Order, now time.Time) {
	s.exhausted[o.Group] = now.Add(exhaustedBackoff)
	delete(s.ordered, o.Group)
	if o.Group.Reclaimable {
		s.reclaimedAt = now
	}
}

// measure estimates from the calls how many instances are busy. If calls arrive at random and
// an instance is busy for the fraction r of the time, r/(1-r) calls per instance wait or are
// in prefill on average, so r follows from their number.
func (s *Sizer) measure(m *Market, obs *Observation, now time.Time) {
	serving := obs.serving()
	measured := serving + obs.busyEvacuated()
	if !s.hasTraffic {
		s.initialize(m, obs)
	}
	s.hasTraffic = s.hasTraffic || obs.InFlight > 0
	if measured == 0 || !s.hasTraffic {
		s.size, s.minNeeded = max(s.size, 1), max(s.minNeeded, 1)
		return
	}
	n := float64(measured)
	perInstance := float64(obs.Waiting) / n
	busy := n * perInstance / (1 + perInstance)
	smoothing := fallSmoothing
	if busy > s.busy {
		smoothing = riseSmoothing
	}
	s.busy += smoothing * (busy - s.busy)
	occupancy := 0.0
	if obs.Slots > 0 {
		occupancy = float64(obs.InFlight) / (targetOccupancy * float64(obs.Slots))
	}
	if obs.KVSize > 0 {
		occupancy = max(occupancy, float64(obs.KVTokens)/(targetOccupancy*float64(obs.KVSize)))
	}
	size := int(math.Ceil(max(s.busy/targetUtilization, occupancy)))
	s.minNeeded = max(1, int(math.Ceil(max(s.busy/maxUtilization, occupancy))))
	if obs.Refused {
		// Refused calls do not wait, so the number of waiting calls is too low an estimate.
		s.minNeeded = max(s.minNeeded, serving+1)
		size = max(size, s.minNeeded)
	}
	s.updateSize(min(max(size, 1), m.Max*len(m.Prices)), now)
}

// initialize assumes that the present instances suffice until load has been measured.
func (s *Sizer) initialize(m *Market, obs *Observation) {
	reclaimable, onDemand := 0, 0
	for g, n := range obs.Serving {
		if g.Reclaimable {
			reclaimable += n
		} else {
			onDemand += n
		}
	}
	domains := len(domainsByPrice(m, obs))
	remaining := reclaimable * (domains - 1) / max(domains, 1)
	s.size = max(s.size, 1, remaining, int(math.Ceil(keptFraction*float64(onDemand))))
	s.busy = float64(s.size) * targetUtilization
	s.minNeeded = max(1, int(math.Ceil(s.busy/maxUtilization)))
}

func (o *Observation) serving() int {
	n := 0
	for _, count := range o.Serving {
		n += count
	}
	return n
}

// updateSize raises the size at once and lowers it only after shrinkDelay.
func (s *Sizer) updateSize(size int, now time.Time) {
	switch {
	case size >= s.size:
		s.size, s.lowSince = size, time.Time{}
	case s.lowSince.IsZero():
		s.lowSince = now
	case now.Sub(s.lowSince) >= shrinkDelay:
		s.size--
		s.lowSince = now.Add(-shrinkDelay / 2)
	}
}

// wantReclaimable spreads reclaimable instances evenly over the domains, so many that those of
// all domains but one suffice. It ignores whether they are available at the moment, so that
// they return as soon as they are.
func (s *Sizer) wantReclaimable(m *Market, obs *Observation) map[Group]int {
	want := make(map[Group]int)
	domains := domainsByPrice(m, obs)
	if m.ReclaimablePriceRatio == 0 || len(domains) == 0 {
		return want
	}
	total := s.size
	if n := len(domains); n > 1 {
		total = (s.size*n + n - 2) / (n - 1)
	}
	for i := range total {
		g := Group{domains[i%len(domains)], true}
		want[g] = min(want[g]+1, m.Max)
	}
	return want
}

// keepServing keeps reclaimable instances that already serve, in whichever domain, until the
// wanted number serves in total.
func keepServing(obs *Observation, want map[Group]int) {
	surplus := 0
	for g, n := range obs.Serving {
		if g.Reclaimable {
			surplus += n
		}
	}
	for _, n := range want {
		surplus -= n
	}
	for _, g := range slices.SortedFunc(maps.Keys(obs.Serving), compareGroups) {
		excess := obs.Serving[g] - want[g]
		if !g.Reclaimable || excess <= 0 {
			continue
		}
		dropped := min(excess, max(surplus, 0))
		want[g] += excess - dropped
		surplus -= dropped
	}
}

func compareGroups(a, b Group) int { return cmp.Compare(a.Domain, b.Domain) }

// wantOnDemand sets the number of on-demand instances to what the reclaimable ones do not
// cover. When it adds instances, it counts reclaimable ones that are ordered but not yet
// serving; when it removes instances, it counts only those that serve.
func (s *Sizer) wantOnDemand(m *Market, obs *Observation, want map[Group]int, now time.Time) {
	domains := domainsByPrice(m, obs)
	maxOnDemand := s.minNeeded - s.reclaimable(m, obs, domains, now, false)
	minOnDemand := s.minNeeded - s.reclaimable(m, obs, domains, now, true)
	have := 0
	for _, d := range domains {
		g := Group{Domain: d}
		want[g] = obs.Serving[g]
		if o, ok := s.ordered[g]; ok && (o.count < want[g] || now.Sub(o.at) <= m.StartupTime+startGrace) {
			want[g] = o.count
		}
		have += want[g]
	}
	switch {
	case have < minOnDemand:
		s.surplusSince = time.Time{}
		missing := s.addOnDemand(m, s.expected(obs, want, now), domains, want, minOnDemand-have)
		s.addOnDemand(m, obs.Serving, domains, want, missing)
	case have > max(maxOnDemand, 0) && s.surplusSince.IsZero():
		s.surplusSince = now
	case have > max(maxOnDemand, 0) && now.Sub(s.surplusSince) >= onDemandRetention:
		dropOnDemand(domains, want, have-max(maxOnDemand, 0))
	case have <= max(maxOnDemand, 0):
		s.surplusSince = time.Time{}
	}
	for _, d := range domains {
		g := Group{Domain: d}
		want[g] += max(0, m.Min-want[g]-want[Group{d, true}])
		if r := (Group{d, true}); want[g]+want[r] > m.Max {
			want[r] = max(m.Max-want[g], 0)
		}
	}
}

// reclaimable returns how many reclaimable instances serve or are ordered. While reclaims are
// likely, the domain with most instances does not count, since it may be lost next, and only a
// fraction of the others does, since another domain may be lost before replacements have
// started.
func (s *Sizer) reclaimable(m *Market, obs *Observation, domains []string, now time.Time, withOrdered bool) int {
	sum, largest := 0, 0
	for _, d := range domains {
		g := Group{d, true}
		n := obs.Serving[g]
		if o, ok := s.ordered[g]; ok && withOrdered && now.Sub(o.at) <= m.StartupTime+startGrace && !s.isReclaimLikely(now) {
			n = max(n, o.count)
		}
		sum += n
		largest = max(largest, n)
	}
	if s.isReclaimLikely(now) {
		return int(reclaimRiskFraction * float64(sum-largest))
	}
	return sum
}

// expected returns the number of instances by group that serve, or that are wanted and
// reclaimable unless their group is exhausted.
func (s *Sizer) expected(obs *Observation, want map[Group]int, now time.Time) map[Group]int {
	out := maps.Clone(obs.Serving)
	for g, n := range want {
		if g.Reclaimable && !s.isExhausted(g, now) {
			out[g] = max(out[g], n)
		}
	}
	return out
}

// addOnDemand adds on-demand instances in the cheapest domains that have room beside the given
// reclaimable instances, and returns how many are still missing.
func (s *Sizer) addOnDemand(m *Market, reclaimable map[Group]int, domains []string, want map[Group]int, missing int) int {
	for missing > 0 {
		before := missing
		for _, d := range domains {
			g := Group{Domain: d}
			if missing > 0 && want[g]+reclaimable[Group{d, true}] < m.Max {
				want[g]++
				missing--
			}
		}
		if missing == before {
			break
		}
	}
	return missing
}

// dropOnDemand removes on-demand instances, in the most expensive domains first.
func dropOnDemand(domains []string, want map[Group]int, surplus int) {
	for _, d := range slices.Backward(domains) {
		g := Group{Domain: d}
		n := min(surplus, want[g])
		want[g] -= n
		surplus -= n
	}
}

func byPrice(m *Market) []string {
	return slices.SortedFunc(maps.Keys(m.Prices), func(a, b string) int {
		return cmp.Or(cmp.Compare(m.Prices[a], m.Prices[b]), cmp.Compare(a, b))
	})
}

func sortedGroups(m *Market) []Group {
	var out []Group
	for _, d := range byPrice(m) {
		out = append(out, Group{d, true}, Group{d, false})
	}
	if m.ReclaimablePriceRatio == 0 {
		out = slices.DeleteFunc(out, func(g Group) bool { return g.Reclaimable })
	}
	return out
}
