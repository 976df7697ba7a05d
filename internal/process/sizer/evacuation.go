package sizer

import "slices"

// domainsByPrice returns the domains that are not evacuated, the cheapest first.
func domainsByPrice(m *Market, obs *Observation) []string {
	return slices.DeleteFunc(byPrice(m), func(domain string) bool {
		_, ok := obs.Evacuated[domain]
		return ok
	})
}

// busyEvacuated returns the number of instances in evacuated domains with calls in flight. They
// count when it is derived from calls how many instances are busy.
func (o *Observation) busyEvacuated() int {
	n := 0
	for g, count := range o.EvacuatedInstances {
		if o.Evacuated[g.Domain] > 0 {
			n += count
		}
	}
	return n
}

// reduceEvacuated returns the order that reduces a group of an evacuated domain to what the market
// demands. Instances are not stopped before the calls at them have ended, and none is added.
func (s *Sizer) reduceEvacuated(g Group, m *Market, obs *Observation) (Order, bool) {
	if obs.Evacuated[g.Domain] > 0 {
		return Order{}, false
	}
	kept := min(m.Min, obs.EvacuatedInstances[Group{g.Domain, true}])
	if !g.Reclaimable {
		kept = m.Min - kept
	}
	present := obs.EvacuatedInstances[g]
	if last, known := s.ordered[g]; known {
		present = last.count + last.replacements
	}
	return Order{Group: g, Count: kept}, present > kept
}

// Suffices reports whether the instances that serve outside of evacuated domains are as many as
// the service needs.
func (s *Sizer) Suffices(obs *Observation) bool { return obs.serving() >= s.size }
