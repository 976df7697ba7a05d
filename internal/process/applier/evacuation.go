package applier

import (
	"cmp"
	"slices"
)

// Evacuation is the last order to evacuate a failure domain or to end its evacuation. Number counts the changes of
// the domain's state, and At is the cluster time of the last one, in nanoseconds since 1970.
type Evacuation struct {
	Domain    string `msgpack:"d"`
	Evacuated bool   `msgpack:"e"`
	Number    uint64 `msgpack:"n"`
	At        int64  `msgpack:"at"`
}

// setEvacuation executes an order. One with an outdated base is a copy of an order that has been executed, or was
// overtaken by one with the same effect: a domain has only two states. It must not undo what was ordered since.
func (a *Applier) setEvacuation(c *EvacuationSet) *Evacuation {
	current := a.evacuations[c.Domain]
	current.Domain = c.Domain
	if c.Base == current.Number && c.Evacuated != current.Evacuated {
		current = Evacuation{Domain: c.Domain, Evacuated: c.Evacuated, Number: current.Number + 1, At: a.now}
		a.evacuations[c.Domain] = current
	}
	return &current
}

// Evacuations returns the evacuations of all domains for which one was ordered, ordered by domain. Those that have
// ended are included.
func (a *Applier) Evacuations() []Evacuation {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.sortedEvacuations()
}

func (a *Applier) sortedEvacuations() []Evacuation {
	var out []Evacuation
	for _, e := range a.evacuations {
		out = append(out, e)
	}
	slices.SortFunc(out, func(x, y Evacuation) int { return cmp.Compare(x.Domain, y.Domain) })
	return out
}
