// Package scaler decides how many instances of which class, domain and market
// serve a version, at the lowest price for which the stated size survives.
package scaler

import (
	"cmp"
	"math"
	"slices"

	"hyssoprudder/internal/process/lister"
)

// Offer is something that the platform sells.
type Offer struct {
	class  string
	domain string
	market lister.Market
	price  float64
}

// NewOffer returns an offer; price is per hour.
func NewOffer(class, domain string, market lister.Market, price float64) Offer {
	return Offer{class: class, domain: domain, market: market, price: price}
}

// Class returns the machine class.
func (o Offer) Class() string { return o.class }

// Domain returns the failure domain.
func (o Offer) Domain() string { return o.domain }

// Market returns the market.
func (o Offer) Market() lister.Market { return o.market }

// Price returns the price per hour.
func (o Offer) Price() float64 { return o.price }

// Instance is an instance that serves or is about to. Instances that are
// leaving or draining do not count and are not passed in.
type Instance struct {
	id       string
	offer    Offer
	starting bool
}

// NewInstance returns an instance; starting is true until it is ready.
func NewInstance(id string, offer Offer, starting bool) Instance {
	return Instance{id: id, offer: offer, starting: starting}
}

// Need is the stated size of one version of a service.
type Need struct {
	// Min is the number of instances that must remain, Max the number that may
	// run.
	Min, Max int
	// Spare is true if Min must survive the loss of any one domain.
	Spare bool
	// Price is the highest price per hour of a new instance; 0 is no limit.
	Price float64
	// OnDemand is the part of Min that is bought on demand, against reclaims in
	// more than one domain at once.
	OnDemand float64
}

// Plan is what has to change.
type Plan struct {
	starts []Offer
	drains []string
	short  int
}

// Starts returns what is to be started, one offer an instance.
func (p Plan) Starts() []Offer { return p.starts }

// Drains returns the instances that are to be drained and then given back. It
// is empty as long as anything is still to start.
func (p Plan) Drains() []string { return p.drains }

// Short returns by how many instances the plan falls short of the stated size.
func (p Plan) Short() int { return p.short }

// kept is the part of its price at which a running instance is counted: only an
// offer at less than half of it replaces the instance.
const kept = 0.5

// unit is one instance that can be part of a choice.
type unit struct {
	cost  float64
	id    string // empty for a new instance
	offer Offer
}

// pool holds the units of one domain, for each market the cheapest first.
type pool struct {
	onDemand    []unit
	reclaimable []unit
}

// Decide returns the cheapest change after which the need is met, or met as far
// as the offers and Max allow.
func Decide(need Need, offers []Offer, have []Instance) Plan {
	if need.Max < need.Min {
		need.Max = need.Min
	}
	pools := makePools(need, offers, have)
	for goal := need.Min; goal >= 0; goal-- {
		if chosen, ok := cheapest(need, goal, pools); ok {
			return makePlan(chosen, have, need.Min-goal)
		}
	}
	return makePlan(mostOf(need, pools), have, need.Min)
}

// cheapest returns the cheapest choice of which goal units remain after the
// loss of any one domain, or of goal units if none is to be spared.
func cheapest(need Need, goal int, pools []pool) ([]unit, bool) {
	onDemand := int(math.Ceil(need.OnDemand * float64(goal)))
	if !need.Spare {
		best, _, ok := choose(pools, goal, goal, onDemand)
		return best, ok
	}
	var best []unit
	lowest := math.Inf(1)
	for limit := 0; limit <= need.Min; limit++ {
		total := max(goal+limit, need.Min)
		if total > need.Max {
			continue
		}
		chosen, cost, ok := choose(pools, total, limit, onDemand)
		if ok && cost < lowest {
			best, lowest = chosen, cost
		}
	}
	return best, !math.IsInf(lowest, 1)
}

// mostOf returns as many units as there are, up to Min.
func mostOf(need Need, pools []pool) []unit {
	for total := need.Min; total > 0; total-- {
		if chosen, _, ok := choose(pools, total, total, 0); ok {
			return chosen
		}
	}
	return nil
}

// choice is how many units a domain gives from each market, and the state that
// it follows.
type choice struct {
	onDemand, reclaimable int
	from                  int
}

// choose returns the cheapest total units with at most limit from one domain
// and at least onDemand bought on demand, by dynamic programming over domains.
func choose(pools []pool, total, limit, onDemand int) ([]unit, float64, bool) {
	width := onDemand + 1
	costs := make([]float64, (total+1)*width)
	for i := range costs {
		costs[i] = math.Inf(1)
	}
	costs[0] = 0
	steps := make([][]choice, len(pools))
	for d, p := range pools {
		costs, steps[d] = p.extend(costs, total, limit, width)
	}
	at := total*width + onDemand
	if math.IsInf(costs[at], 1) {
		return nil, 0, false
	}
	return collect(pools, steps, at), costs[at], true
}

func (p pool) extend(costs []float64, total, limit, width int) ([]float64, []choice) {
	next := make([]float64, len(costs))
	steps := make([]choice, len(costs))
	for i := range next {
		next[i] = math.Inf(1)
	}
	a, b := prefix(p.onDemand), prefix(p.reclaimable)
	for x := 0; x < len(a) && x <= limit; x++ {
		for y := 0; y < len(b) && x+y <= limit; y++ {
			for t := 0; t+x+y <= total; t++ {
				for o := range width {
					cost := costs[t*width+o] + a[x] + b[y]
					to := (t+x+y)*width + min(o+x, width-1)
					if cost < next[to] {
						next[to] = cost
						steps[to] = choice{onDemand: x, reclaimable: y, from: t*width + o}
					}
				}
			}
		}
	}
	return next, steps
}

func collect(pools []pool, steps [][]choice, at int) []unit {
	var chosen []unit
	for d := len(pools) - 1; d >= 0; d-- {
		c := steps[d][at]
		chosen = append(chosen, pools[d].onDemand[:c.onDemand]...)
		chosen = append(chosen, pools[d].reclaimable[:c.reclaimable]...)
		at = c.from
	}
	return chosen
}

func prefix(units []unit) []float64 {
	sums := make([]float64, len(units)+1)
	for i, u := range units {
		sums[i+1] = sums[i] + u.cost
	}
	return sums
}

func makePools(need Need, offers []Offer, have []Instance) []pool {
	byDomain := make(map[string]*pool)
	at := func(domain string) *pool {
		if byDomain[domain] == nil {
			byDomain[domain] = &pool{}
		}
		return byDomain[domain]
	}
	for _, i := range have {
		at(i.offer.domain).add(i.offer.market, unit{cost: i.offer.price * kept, id: i.id, offer: i.offer})
	}
	for _, o := range offers {
		if need.Price > 0 && o.price > need.Price {
			continue
		}
		for range need.Max {
			at(o.domain).add(o.market, unit{cost: o.price, offer: o})
		}
	}
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	slices.Sort(domains)
	pools := make([]pool, 0, len(domains))
	for _, d := range domains {
		byDomain[d].trim(need.Max)
		pools = append(pools, *byDomain[d])
	}
	return pools
}

func (p *pool) add(market lister.Market, u unit) {
	if market == lister.OnDemand {
		p.onDemand = append(p.onDemand, u)
	} else {
		p.reclaimable = append(p.reclaimable, u)
	}
}

func (p *pool) trim(limit int) {
	for _, units := range []*[]unit{&p.onDemand, &p.reclaimable} {
		slices.SortStableFunc(*units, func(a, b unit) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.id, a.id), cmp.Compare(a.offer.class, b.offer.class))
		})
		*units = (*units)[:min(len(*units), limit)]
	}
}

func makePlan(chosen []unit, have []Instance, short int) Plan {
	plan := Plan{short: short}
	keep := make(map[string]bool)
	for _, u := range chosen {
		if u.id == "" {
			plan.starts = append(plan.starts, u.offer)
		} else {
			keep[u.id] = true
		}
	}
	pending := len(plan.starts) > 0
	for _, i := range have {
		pending = pending || i.starting && keep[i.id]
	}
	if pending {
		return plan
	}
	for _, i := range have {
		if !keep[i.id] {
			plan.drains = append(plan.drains, i.id)
		}
	}
	slices.Sort(plan.drains)
	return plan
}
