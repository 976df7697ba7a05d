// Package scaler decides how many instances of which class, domain and market serve a version,
// at the lowest price at which the configured size survives.
package scaler

import (
	"cmp"
	"math"
	"slices"

	"hyssoprudder/internal/process/lister"
)

// Offer is a kind of instance that the provider sells: a machine class in a domain and market.
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

// Instance is an instance that serves or is starting. Instances that are leaving or draining
// do not count and are not passed in.
type Instance struct {
	id       string
	offer    Offer
	starting bool
}

// NewInstance returns an instance; starting is true until it is ready.
func NewInstance(id string, offer Offer, starting bool) Instance {
	return Instance{id: id, offer: offer, starting: starting}
}

// Need is the configured size of one version of a service.
type Need struct {
	// Min is the number of instances that must remain, Max the number that may run.
	Min, Max int
	// Spare is true if Min must survive the loss of any one domain.
	Spare bool
	// MaxPrice is the highest price per hour of a new instance; 0 means no limit.
	MaxPrice float64
	// OnDemandFraction is the fraction of Min that is bought on demand, as protection against
	// reclaims in more than one domain at once.
	OnDemandFraction float64
}

// Plan is the set of changes to make.
type Plan struct {
	starts    []Offer
	drains    []string
	shortfall int
}

// Starts returns the offers to start, one for each instance.
func (p Plan) Starts() []Offer { return p.starts }

// Drains returns the IDs of the instances to drain and then release. It is empty while
// anything is still to be started.
func (p Plan) Drains() []string { return p.drains }

// Shortfall returns by how many instances the plan falls short of the configured size.
func (p Plan) Shortfall() int { return p.shortfall }

// runningCostRatio is the fraction of its price at which a running instance is counted, so that
// only an offer at less than that fraction of the price replaces the instance.
const runningCostRatio = 0.5

// candidate is one instance, running or new, that can be chosen.
type candidate struct {
	cost  float64
	id    string // empty for a new instance
	offer Offer
}

// pool holds the candidates of one domain, the cheapest of each market first.
type pool struct {
	onDemand    []candidate
	reclaimable []candidate
}

// Decide returns the cheapest change that meets the need, or meets it as far as the offers and
// Max allow.
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
	return makePlan(largest(need, pools), have, need.Min)
}

// cheapest returns the cheapest choice of which goal candidates remain after the loss of any
// one domain, or of goal candidates in total if no spare is needed.
func cheapest(need Need, goal int, pools []pool) ([]candidate, bool) {
	onDemand := int(math.Ceil(need.OnDemandFraction * float64(goal)))
	if !need.Spare {
		best, _, ok := choose(pools, goal, goal, onDemand)
		return best, ok
	}
	var best []candidate
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

// largest returns as many candidates as there are, up to Min.
func largest(need Need, pools []pool) []candidate {
	for total := need.Min; total > 0; total-- {
		if chosen, _, ok := choose(pools, total, total, 0); ok {
			return chosen
		}
	}
	return nil
}

// choice is the number of candidates that a domain contributes from each market, and the index
// of the state before it.
type choice struct {
	onDemand, reclaimable int
	from                  int
}

// choose returns the cheapest total candidates with at most limit from one domain and at least
// onDemand bought on demand, by dynamic programming over the domains.
func choose(pools []pool, total, limit, onDemand int) ([]candidate, float64, bool) {
	width := onDemand + 1
	costs := make([]float64, (total+1)*width)
	for i := range costs {
		costs[i] = math.Inf(1)
	}
	costs[0] = 0
	choices := make([][]choice, len(pools))
	for d, p := range pools {
		costs, choices[d] = p.extend(costs, total, limit, width)
	}
	index := total*width + onDemand
	if math.IsInf(costs[index], 1) {
		return nil, 0, false
	}
	return collect(pools, choices, index), costs[index], true
}

func (p pool) extend(costs []float64, total, limit, width int) ([]float64, []choice) {
	next := make([]float64, len(costs))
	choices := make([]choice, len(costs))
	for i := range next {
		next[i] = math.Inf(1)
	}
	a, b := prefixSums(p.onDemand), prefixSums(p.reclaimable)
	for x := 0; x < len(a) && x <= limit; x++ {
		for y := 0; y < len(b) && x+y <= limit; y++ {
			for t := 0; t+x+y <= total; t++ {
				for o := range width {
					cost := costs[t*width+o] + a[x] + b[y]
					to := (t+x+y)*width + min(o+x, width-1)
					if cost < next[to] {
						next[to] = cost
						choices[to] = choice{onDemand: x, reclaimable: y, from: t*width + o}
					}
				}
			}
		}
	}
	return next, choices
}

func collect(pools []pool, choices [][]choice, index int) []candidate {
	var chosen []candidate
	for d := len(pools) - 1; d >= 0; d-- {
		c := choices[d][index]
		chosen = append(chosen, pools[d].onDemand[:c.onDemand]...)
		chosen = append(chosen, pools[d].reclaimable[:c.reclaimable]...)
		index = c.from
	}
	return chosen
}

func prefixSums(candidates []candidate) []float64 {
	sums := make([]float64, len(candidates)+1)
	for i, c := range candidates {
		sums[i+1] = sums[i] + c.cost
	}
	return sums
}

func makePools(need Need, offers []Offer, have []Instance) []pool {
	byDomain := make(map[string]*pool)
	poolOf := func(domain string) *pool {
		if byDomain[domain] == nil {
			byDomain[domain] = &pool{}
		}
		return byDomain[domain]
	}
	for _, i := range have {
		poolOf(i.offer.domain).add(i.offer.market, candidate{cost: i.offer.price * runningCostRatio, id: i.id, offer: i.offer})
	}
	for _, o := range offers {
		if need.MaxPrice > 0 && o.price > need.MaxPrice {
			continue
		}
		for range need.Max {
			poolOf(o.domain).add(o.market, candidate{cost: o.price, offer: o})
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

func (p *pool) add(market lister.Market, c candidate) {
	if market == lister.OnDemand {
		p.onDemand = append(p.onDemand, c)
	} else {
		p.reclaimable = append(p.reclaimable, c)
	}
}

func (p *pool) trim(limit int) {
	for _, candidates := range []*[]candidate{&p.onDemand, &p.reclaimable} {
		slices.SortStableFunc(*candidates, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(b.id, a.id), cmp.Compare(a.offer.class, b.offer.class))
		})
		*candidates = (*candidates)[:min(len(*candidates), limit)]
	}
}

func makePlan(chosen []candidate, have []Instance, shortfall int) Plan {
	plan := Plan{shortfall: shortfall}
	keep := make(map[string]bool)
	for _, c := range chosen {
		if c.id == "" {
			plan.starts = append(plan.starts, c.offer)
		} else {
			keep[c.id] = true
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
