package placer

import "slices"

// SetRegions sets the region of each failure domain. Endpoints of a domain without a region get no
// calls that are restricted to regions. It must be called before the first SetEndpoints.
func (p *Placer) SetRegions(byDomain map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.regions = byDomain
}

// isHome reports whether the call may run in the region of the endpoint.
func (r *Request) isHome(e *endpoint) bool {
	return allows(r.RouteHomes, e.region) && allows(r.CustomerHomes, e.region)
}

func allows(homes []string, region string) bool {
	return len(homes) == 0 || region != "" && slices.Contains(homes, region)
}
