package placer

import "time"

// evacuationRetryDelay is how long callers wait whose service has endpoints in evacuated domains
// only. An evacuation lasts longer, but replacements in other domains start within seconds.
const evacuationRetryDelay = 2 * time.Second

// SetEvacuated replaces the failure domains that are evacuated. Their endpoints get no calls, but
// calls in flight there continue.
func (p *Placer) SetEvacuated(domains []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = make(map[string]bool, len(domains))
	for _, domain := range domains {
		p.evacuated[domain] = true
	}
	for _, e := range p.byID {
		e.isEvacuated = p.evacuated[e.Domain]
	}
}

// isAllEvacuated reports whether the service has endpoints that are not leaving, and all of them
// are in evacuated domains.
func (p *Placer) isAllEvacuated(service string) bool {
	found := false
	for _, e := range p.services[service] {
		if e.isLeaving() {
			continue
		}
		if !e.isEvacuated {
			return false
		}
		found = true
	}
	return found
}
