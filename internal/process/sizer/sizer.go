// Package sizer decides how many instances a service needs in each failure
// domain, and of which price: the fewest that begin calls in time, reclaimable
// ones first, so many that the loss of all those of one domain leaves enough; and
// on demand what those lack. It does no input or output.
package sizer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// easyBusy is the part of the time during which an instance should be reading
	// prompts where instances are cheap, and tightBusy the one beyond which calls
	// wait for each other so long that dear instances pay.
	easyBusy  = 0.35
	tightBusy = 0.55
	// targetFull is the part of slots and memory that should be taken.
	targetFull = 0.7
	// keptShare is the part of the instances on demand that a new leader thinks are
	// needed, before it has measured.
	keptShare = 0.8
	// riseWeight and fallWeight are the weights of a newer measurement that is
	// above or below the mean.
	riseWeight = 0.23
	fallWeight = 0.04
	// settle is how long fewer instances must be enough before some are given up.
	settle = 6 * time.Second
	// release is how long instances on demand are kept after reclaimable ones serve
	// in their place.
	release = 3 * time.Second
	// dryTime is how long a domain is not asked again for instances that it
	// does not have at the moment.
	dryTime = 3 * time.Second
	// shortTime is how long after reclaimable instances were not to be had, or after
	// a domain lost its own, the next domain is expected to lose them too.
	shortTime = 9 * time.Second
	// shortShare is the part of the other domains that counts then. It weighs a gap
	// when domains are lost in quick succession against the price of instances on
	// demand.
	shortShare = 0.75
	// patience is how long beyond the start-up time an order may take.
	patience = 2 * time.Second
)

// Group is a price class in a failure domain.
type Group struct {
	Domain      string
	Reclaimable bool
}

// Market says what can be had.
type Market struct {
	// Min and Max bound the instances in a domain, of both classes.
	Min int
	Max int
	// Start is how long a new instance takes until it serves.
	Start time.Duration
	// Reclaimable is the price of a reclaimable instance as a part of the price of
	// one on demand; 0 if there are none.
	Reclaimable float64
	// Prices are the prices by domain.
	Prices map[string]float64
}

// Sight is what is seen of a service at one moment.
type Sight struct {
	// Serving are the instances that take work, by group.
	Serving map[Group]int
	// Waiting is the number of calls that have not begun, Calls that of all calls
	// under way, and Held the tokens in memory for them.
	Waiting int
	Calls   int
	Held    int
	// Slots and Memory are those of one instance; 0 means no bound.
	Slots  int
	Memory int
	// Refused says that calls were refused for want of capacity since the last sight.
	Refused bool
}

// Sizer decides the size of one service. It is not safe for concurrent use.
type Sizer struct {
	busy      float64 // instances that are busy, smoothed
	isUsed    bool    // calls were seen
	lowSince  time.Time
	size      int // instances at easyBusy
	need      int // instances at tightBusy
	ordered   map[Group]order
	dry       map[Group]time.Time
	spareFrom time.Time // since when fewer instances on demand are enough
	shortFrom time.Time // when reclaimable instances were lost or refused last
	seen      map[Group]int
}

type order struct {
	count int
	at    time.Time
}

// New returns a sizer that has ordered nothing.
func New() *Sizer {
	return &Sizer{ordered: make(map[Group]order), dry: make(map[Group]time.Time)}
}

// Size returns the number of instances that is thought to be needed.
func (s *Sizer) Size() int { return s.size }

// Order is the number of instances that a group should have.
type Order struct {
	Group Group
	Count int
}

// Decide returns the orders to send now, those that add instances first. Until
// Accepted is called for an order, it is returned again.
func (s *Sizer) Decide(m *Market, sight *Sight, now time.Time) []Order {
	s.measure(m, sight, now)
	s.notice(sight, now)
	want := s.wantReclaimable(m)
	keepServing(sight, want)
	s.wantOnDemand(m, sight, want, now)
	var out []Order
	for _, g := range sortedGroups(m) {
		if s.isDry(g, now) {
			continue
		}
		last, known := s.ordered[g]
		if known && want[g] != last.count || !known && want[g] != sight.Serving[g] || s.isOverdue(g, m, sight, now) {
			out = append(out, Order{Group: g, Count: want[g]})
		}
	}
	slices.SortStableFunc(out, func(a, b Order) int {
		return cmp.Compare(growth(b, sight), growth(a, sight))
	})
	return out
}

// notice finds domains that lost all their reclaimable instances unasked.
func (s *Sizer) notice(sight *Sight, now time.Time) {
	for g, n := range s.seen {
		if g.Reclaimable && n > 0 && sight.Serving[g] == 0 && s.ordered[g].count > 0 {
			s.shortFrom = now
		}
	}
	s.seen = maps.Clone(sight.Serving)
}

func (s *Sizer) isShort(now time.Time) bool {
	return !s.shortFrom.IsZero() && now.Sub(s.shortFrom) < shortTime
}

// growth is positive for orders that add instances.
func growth(o Order, sight *Sight) int { return cmp.Compare(o.Count, sight.Serving[o.Group]) }

// isOverdue reports whether instances that were ordered have not come.
func (s *Sizer) isOverdue(g Group, m *Market, sight *Sight, now time.Time) bool {
	last, ok := s.ordered[g]
	return ok && sight.Serving[g] < last.count && now.Sub(last.at) > m.Start+patience
}

func (s *Sizer) isDry(g Group, now time.Time) bool { return now.Before(s.dry[g]) }

// Accepted notes that an order was taken.
func (s *Sizer) Accepted(o Order, now time.Time) {
	s.ordered[o.Group] = order{count: o.Count, at: now}
	delete(s.dry, o.Group)
}

// Unavailable notes that the instances of an order can't be had at the moment.
func (s *Sizer) Unavailable(o Order, now time.Time) {
	s.dry[o.Group] = now.Add(dryTime)
	delete(s.ordered, o.Group)
	if o.Group.Reclaimable {
		s.shortFrom = now
	}
}

// measure estimates from the calls how many instances are busy. Where calls come
// at random and an instance is busy for the part r of the time, r/(1-r) of them
// wait or are being read on average; so the number of those tells r.
func (s *Sizer) measure(m *Market, sight *Sight, now time.Time) {
	serving := sight.serving()
	if !s.isUsed {
		s.begin(m, sight)
	}
	s.isUsed = s.isUsed || sight.Calls > 0
	if serving == 0 || !s.isUsed {
		s.size, s.need = max(s.size, 1), max(s.need, 1)
		return
	}
	n := float64(serving)
	each := float64(sight.Waiting) / n
	busy := n * each / (1 + each)
	weight := fallWeight
	if busy > s.busy {
		weight = riseWeight
	}
	s.busy += weight * (busy - s.busy)
	filled := 0.0
	if sight.Slots > 0 {
		filled = float64(sight.Calls) / (targetFull * float64(sight.Slots))
	}
	if sight.Memory > 0 {
		filled = max(filled, float64(sight.Held)/(targetFull*float64(sight.Memory)))
	}
	size := int(math.Ceil(max(s.busy/easyBusy, filled)))
	s.need = max(1, int(math.Ceil(max(s.busy/tightBusy, filled))))
	if sight.Refused {
		// Calls that are refused don't wait, so that waiting tells too little.
		s.need = max(s.need, serving+1)
		size = max(size, s.need)
	}
	s.settle(min(max(size, 1), m.Max*len(m.Prices)), now)
}

// begin takes what is there as enough until it has been measured.
func (s *Sizer) begin(m *Market, sight *Sight) {
	reclaimable, demanded := 0, 0
	for g, n := range sight.Serving {
		if g.Reclaimable {
			reclaimable += n
		} else {
			demanded += n
		}
	}
	domains := len(m.Prices)
	left := reclaimable * (domains - 1) / max(domains, 1)
	s.size = max(s.size, 1, left, int(math.Ceil(keptShare*float64(demanded))))
	s.busy = float64(s.size) * easyBusy
	s.need = max(1, int(math.Ceil(s.busy/tightBusy)))
}

func (s *Sight) serving() int {
	n := 0
	for _, count := range s.Serving {
		n += count
	}
	return n
}

// settle lets the size rise at once and fall only after a while.
func (s *Sizer) settle(size int, now time.Time) {
	switch {
	case size >= s.size:
		s.size, s.lowSince = size, time.Time{}
	case s.lowSince.IsZero():
		s.lowSince = now
	case now.Sub(s.lowSince) >= settle:
		s.size--
		s.lowSince = now.Add(-settle / 2)
	}
}

// wantReclaimable spreads reclaimable instances evenly over the domains, so many
// that those of all domains but one are enough. Whether they can be had changes
// nothing, so that they come back as soon as they can.
func (s *Sizer) wantReclaimable(m *Market) map[Group]int {
	want := make(map[Group]int)
	if m.Reclaimable == 0 {
		return want
	}
	domains := byPrice(m)
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

// keepServing keeps reclaimable instances that serve, wherever they are, until as
// many as are wanted serve in all.
func keepServing(sight *Sight, want map[Group]int) {
	spare := 0
	for g, n := range sight.Serving {
		if g.Reclaimable {
			spare += n
		}
	}
	for _, n := range want {
		spare -= n
	}
	for _, g := range slices.SortedFunc(maps.Keys(sight.Serving), compareGroups) {
		over := sight.Serving[g] - want[g]
		if !g.Reclaimable || over <= 0 {
			continue
		}
		given := min(over, max(spare, 0))
		want[g] += over - given
		spare -= given
	}
}

func compareGroups(a, b Group) int { return cmp.Compare(a.Domain, b.Domain) }

// wantOnDemand orders on demand what the reclaimable instances lack. It counts on
// ordered ones before it orders more, and on serving ones only before it gives
// some up.
func (s *Sizer) wantOnDemand(m *Market, sight *Sight, want map[Group]int, now time.Time) {
	domains := byPrice(m)
	most := s.need - s.reclaimable(m, sight, domains, now, false)
	least := s.need - s.reclaimable(m, sight, domains, now, true)
	have := 0
	for _, d := range domains {
		g := Group{Domain: d}
		want[g] = sight.Serving[g]
		if o, ok := s.ordered[g]; ok && (o.count < want[g] || now.Sub(o.at) <= m.Start+patience) {
			want[g] = o.count
		}
		have += want[g]
	}
	switch {
	case have < least:
		s.spareFrom = time.Time{}
		lack := s.addOnDemand(m, s.comingOf(sight, want, now), domains, want, least-have)
		s.addOnDemand(m, sight.Serving, domains, want, lack)
	case have > max(most, 0) && s.spareFrom.IsZero():
		s.spareFrom = now
	case have > max(most, 0) && now.Sub(s.spareFrom) >= release:
		dropOnDemand(domains, want, have-max(most, 0))
	case have <= max(most, 0):
		s.spareFrom = time.Time{}
	}
	for _, d := range domains {
		g := Group{Domain: d}
		want[g] += max(0, m.Min-want[g]-want[Group{d, true}])
		if r := (Group{d, true}); want[g]+want[r] > m.Max {
			want[r] = max(m.Max-want[g], 0)
		}
	}
}

// reclaimable returns how many reclaimable instances serve, or are about to. While
// they are short, those of one domain don't count, since it may be the next, and
// of the others only a part: the one after it may be lost before more have started.
func (s *Sizer) reclaimable(m *Market, sight *Sight, domains []string, now time.Time, withOrdered bool) int {
	sum, most := 0, 0
	for _, d := range domains {
		g := Group{d, true}
		n := sight.Serving[g]
		if o, ok := s.ordered[g]; ok && withOrdered && now.Sub(o.at) <= m.Start+patience && !s.isShort(now) {
			n = max(n, o.count)
		}
		sum += n
		most = max(most, n)
	}
	if s.isShort(now) {
		return int(shortShare * float64(sum-most))
	}
	return sum
}

// comingOf returns the reclaimable instances that serve or are on their way.
func (s *Sizer) comingOf(sight *Sight, want map[Group]int, now time.Time) map[Group]int {
	out := maps.Clone(sight.Serving)
	for g, n := range want {
		if g.Reclaimable && !s.isDry(g, now) {
			out[g] = max(out[g], n)
		}
	}
	return out
}

// addOnDemand orders more in the cheapest domains that have room beside the given
// instances, and returns how many are still lacking.
func (s *Sizer) addOnDemand(m *Market, beside map[Group]int, domains []string, want map[Group]int, lack int) int {
	for lack > 0 {
		before := lack
		for _, d := range domains {
			g := Group{Domain: d}
			if lack > 0 && want[g]+beside[Group{d, true}] < m.Max {
				want[g]++
				lack--
			}
		}
		if lack == before {
			break
		}
	}
	return lack
}

// dropOnDemand gives some up in the dearest domains first.
func dropOnDemand(domains []string, want map[Group]int, spare int) {
	for _, d := range slices.Backward(domains) {
		g := Group{Domain: d}
		n := min(spare, want[g])
		want[g] -= n
		spare -= n
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
	if m.Reclaimable == 0 {
		out = slices.DeleteFunc(out, func(g Group) bool { return g.Reclaimable })
	}
	return out
}
