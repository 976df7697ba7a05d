// Package sizer decides how many instances a service needs in each failure
// domain, and of which price: the fewest that begin calls in time, reclaimable
// ones first, so many that the loss of all those of one domain leaves enough. It
// does no input or output.
package sizer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// targetBusy is the part of the time during which an instance should be
	// reading prompts: beyond it, calls wait for each other ever longer.
	targetBusy = 0.55
	// targetFull is the part of slots and memory that should be taken.
	targetFull = 0.7
	// riseWeight and fallWeight are the weights of a newer measurement that is
	// above or below the mean.
	riseWeight = 0.4
	fallWeight = 0.08
	// settle is how long fewer instances must be enough before some are given up.
	settle = 6 * time.Second
	// dryTime is how long a domain is not asked again for instances that it
	// does not have at the moment.
	dryTime = 3 * time.Second
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
	isStarted bool
	lowSince  time.Time
	size      int
	ordered   map[Group]order
	dry       map[Group]time.Time
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
	s.measure(sight, now)
	want := s.divide(m, sight, now)
	var out []Order
	for _, g := range sortedGroups(m) {
		if s.isDry(g, now) {
			continue
		}
		last, known := s.ordered[g]
		if want[g] != last.count || !known && want[g] != sight.Serving[g] || s.isOverdue(g, m, sight, now) {
			out = append(out, Order{Group: g, Count: want[g]})
		}
	}
	slices.SortStableFunc(out, func(a, b Order) int {
		return cmp.Compare(s.growth(b, sight), s.growth(a, sight))
	})
	return out
}

// growth is positive for orders that add instances.
func (s *Sizer) growth(o Order, sight *Sight) int {
	return cmp.Compare(o.Count, sight.Serving[o.Group])
}

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
}

// measure estimates from the calls how many instances are busy. Where calls come
// at random and an instance is busy for the part r of the time, r/(1-r) of them
// wait or are being read on average; so the number of those tells r.
func (s *Sizer) measure(sight *Sight, now time.Time) {
	serving := 0
	for _, n := range sight.Serving {
		serving += n
	}
	if serving == 0 {
		return
	}
	n := float64(serving)
	each := float64(sight.Waiting) / n
	busy := n * each / (1 + each)
	weight := fallWeight
	if busy > s.busy {
		weight = riseWeight
	}
	if !s.isStarted {
		s.isStarted, s.busy, weight = true, n*targetBusy, 0
	}
	s.busy += weight * (busy - s.busy)
	need := s.busy / targetBusy
	if sight.Slots > 0 {
		need = max(need, float64(sight.Calls)/(targetFull*float64(sight.Slots)))
	}
	if sight.Memory > 0 {
		need = max(need, float64(sight.Held)/(targetFull*float64(sight.Memory)))
	}
	size := int(math.Ceil(need))
	if sight.Refused {
		size = max(size, s.size+1)
	}
	s.settle(max(size, 1), now)
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
		s.lowSince = now
	}
}

// divide returns how many instances each group should have.
func (s *Sizer) divide(m *Market, sight *Sight, now time.Time) map[Group]int {
	want := make(map[Group]int)
	domains := byPrice(m)
	reclaimable := 0 // that serve or were ordered a short while ago
	if m.Reclaimable > 0 {
		reclaimable = s.divideReclaimable(m, sight, domains, want, now)
	}
	// What the reclaimable ones don't cover is ordered on demand, the cheapest first.
	for lack := s.size - reclaimable; lack > 0; {
		before := lack
		for _, d := range domains {
			g := Group{Domain: d}
			if room := m.Max - want[g] - want[Group{d, true}]; room > 0 {
				add := min(room, lack)
				want[g] += add
				lack -= add
			}
		}
		if lack == before {
			break
		}
	}
	for _, d := range domains {
		g := Group{Domain: d}
		want[g] += max(0, m.Min-want[g]-want[Group{d, true}])
	}
	s.keepUntilReplaced(sight, want, reclaimable)
	return want
}

// divideReclaimable spreads reclaimable instances evenly and returns how many of
// them can be counted on: those that serve, less the domain that has most.
func (s *Sizer) divideReclaimable(m *Market, sight *Sight, domains []string, want map[Group]int, now time.Time) int {
	usable := make([]string, 0, len(domains))
	for _, d := range domains {
		if !s.isDry(Group{d, true}, now) {
			usable = append(usable, d)
		}
	}
	if len(usable) > 0 {
		total := s.size
		if len(usable) > 1 {
			total = (s.size*len(usable) + len(usable) - 2) / (len(usable) - 1)
		}
		for i := range total {
			g := Group{usable[i%len(usable)], true}
			want[g] = min(want[g]+1, m.Max)
		}
	}
	for _, d := range domains {
		if g := (Group{d, true}); s.isDry(g, now) {
			want[g] = sight.Serving[g]
		}
	}
	sum, most := 0, 0
	for _, d := range domains {
		g := Group{d, true}
		n := sight.Serving[g]
		if o, ok := s.ordered[g]; ok && now.Sub(o.at) < m.Start+patience {
			n = max(n, min(o.count, want[g]))
		}
		sum += n
		most = max(most, n)
	}
	return max(sum-most, sum*(len(domains)-1)/max(len(domains), 1))
}

// keepUntilReplaced keeps instances on demand until enough others serve.
func (s *Sizer) keepUntilReplaced(sight *Sight, want map[Group]int, _ int) {
	serving, wanted := 0, 0
	for g, n := range sight.Serving {
		serving += n
		wanted += min(n, want[g])
	}
	for _, g := range slices.SortedFunc(maps.Keys(sight.Serving), compareGroups) {
		if g.Reclaimable {
			continue
		}
		for want[g] < sight.Serving[g] && wanted < s.size+1 {
			want[g]++
			wanted++
		}
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

func compareGroups(a, b Group) int {
	if a.Reclaimable != b.Reclaimable {
		if a.Reclaimable {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.Domain, b.Domain)
}
