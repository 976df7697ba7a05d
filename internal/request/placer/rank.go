package placer

const (
	// ranks is the number of priorities that are told apart; the last one stands for all less
	// urgent ones too.
	ranks = 3
	// runningChunk is the number of prompt tokens of less urgent calls that an endpoint
	// processes before it takes up a more urgent call: the chunk that is running then.
	runningChunk = 4096
	// lessUrgentPenalty is the cost of the other pending prefill of less urgent calls,
	// relative to the time it takes. A call does not wait for it, but delays it.
	lessUrgentPenalty = 0.3
)

// addPending adds prompt tokens of calls with the priority.
func (l *Load) addPending(priority, tokens int) {
	l.PendingPrefill += tokens
	switch {
	case priority <= 0:
		l.PendingFirst += tokens
	case priority == 1:
		l.PendingSecond += tokens
	}
}

// pendingUpTo returns the pending prefill of calls that are at least as urgent as the
// priority.
func (l *Load) pendingUpTo(priority int) int {
	switch {
	case priority <= 0:
		return l.PendingFirst
	case priority == 1:
		return l.PendingFirst + l.PendingSecond
	}
	return l.PendingPrefill
}

// pendingPrefill returns how many pending prompt tokens a call with the priority waits for,
// and how many there are beyond these. Endpoints process more urgent calls first, so a call
// waits for calls of its own and of more urgent priorities and for the running chunk.
func (e *endpoint) pendingPrefill(peers Load, priority int) (ahead, behind float64) {
	all := max(e.ownLoad.PendingPrefill+peers.PendingPrefill, 0)
	urgent := min(max(e.ownLoad.pendingUpTo(priority)+peers.pendingUpTo(priority), 0), all)
	met := min(urgent+runningChunk, all)
	return float64(met), float64(all - met)
}

// Capacity returns the rate at which the endpoints of a service that are not leaving process
// prompts, in tokens per millisecond, as of the last list or loads.
func (p *Placer) Capacity(service string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.capacities[service]
}

// measureCapacities sums the prefill rates of the endpoints by service. The caller holds p.mu.
func (p *Placer) measureCapacities() {
	p.capacities = make(map[string]float64, len(p.services))
	for _, e := range p.positions {
		if e != nil && !e.isLeaving() {
			p.capacities[e.Service] += e.prefillRate
		}
	}
}

// recordBegin counts a call that was placed.
func (e *endpoint) recordBegin(priority int) { e.begun[min(max(priority, 0), ranks-1)]++ }

// isUndisturbed reports whether no more urgent call of this node has overtaken a call, which
// would make the endpoint look slower than it is: in a model of 6 entries at twice the capacity,
// the measured rate fell to a third within 120 s.
func (e *endpoint) isUndisturbed(c *Choice) bool {
	for rank := range min(max(c.priority, 0), ranks-1) {
		if e.begun[rank] != c.begun[rank] {
			return false
		}
	}
	return true
}
