package coordinator

import (
	"slices"
	"time"

	"hyssoprudder/internal/process/applier"
)

const (
	// stopFraction is the fraction of the bound on evacuations after which entries are told to
	// send no more calls to a domain. Capacity elsewhere is ordered at the start, so that some of
	// it serves when the calls move. Reports, relays and a change of the leader take the rest.
	stopFraction = 0.3
	// endedWindow is how long after the end of an evacuation a new leader treats it as one that
	// ends now, since the former leader may not have done so.
	endedWindow = 5 * time.Second
)

// evacuation is what the leader knows of a domain's evacuation.
type evacuation struct {
	recorded applier.Evacuation
	dueAt    time.Time // from when on directives contain the domain, if it is evacuated
	isTold   bool      // directives contain the domain
}

// SetEvacuations passes on the recorded evacuations. Entries are told of one after a fraction of
// the bound. A new leader tells them at once of those that it finds: it can't rely on its clock for
// how long ago they were ordered, and the delay must not begin again with each leader. It returns the
// domains whose entries are told from now on, and those whose evacuation has ended.
func (c *Core) SetEvacuations(list []applier.Evacuation, bound time.Duration, now time.Time) (told, ended []string) {
	clusterTime := now.Add(c.clusterTimeOffset).UnixNano()
	isNewTerm := !c.hasEvacuations
	c.hasEvacuations = true
	for _, recorded := range list {
		e := c.evacuations[recorded.Domain]
		if e == nil || e.recorded.Number != recorded.Number {
			isEnded := !recorded.Evacuated && (e != nil || clusterTime-recorded.At < int64(endedWindow))
			dueAt := now
			if !isNewTerm {
				dueAt = now.Add(fractionOf(bound, stopFraction))
			}
			e = &evacuation{recorded: recorded, dueAt: dueAt}
			c.evacuations[recorded.Domain] = e
			if isEnded {
				c.evacuationEnded(recorded.Domain, now)
				ended = append(ended, recorded.Domain)
			}
		}
		if recorded.Evacuated && !e.isTold && !now.Before(e.dueAt) {
			e.isTold = true
			told = append(told, recorded.Domain)
		}
	}
	return told, ended
}

// SetSpare states that as many instances as are needed serve outside of the given evacuated domains,
// so that their calls can move at once.
func (c *Core) SetSpare(domains []string, now time.Time) {
	for _, domain := range domains {
		if e := c.evacuations[domain]; e != nil && e.recorded.Evacuated && now.Before(e.dueAt) {
			e.dueAt = now
		}
	}
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// evacuationEnded is called once when the evacuation of a domain has ended, and by a new leader
// for one that ended shortly before. The domain's endpoints may have been started again meanwhile.
func (c *Core) evacuationEnded(domain string, now time.Time) { c.SuspectCold(domain, now) }

// evacuated returns the domains whose entries are to send no calls, sorted, and the number of
// changes that led to this state.
func (c *Core) evacuated() (domains []string, number uint64) {
	for domain, e := range c.evacuations {
		number += e.recorded.Number
		if e.isTold {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains, number
}

// Evacuated is what an entry knows of evacuated domains.
type Evacuated struct {
	domains []string
	number  uint64
}

// Domains returns the evacuated domains, sorted.
func (e *Evacuated) Domains() []string { return e.domains }

// Apply applies a directive and returns the domains whose evacuation began or ended by it. A
// directive from before the last change that the entry knows is ignored, and so is one of a node
// that knows of no order: an evacuation ends only by an order. Within a number domains are only
// added, since a leader tells them some time after the order.
func (e *Evacuated) Apply(d *Directive) (began, ended []string) {
	if d.EvacuationNumber < e.number {
		return nil, nil
	}
	domains := slices.Clone(d.Evacuated)
	if d.EvacuationNumber == e.number {
		domains = append(domains, e.domains...)
	}
	slices.Sort(domains)
	domains = slices.Compact(domains)
	began, ended = without(domains, e.domains), without(e.domains, domains)
	e.domains, e.number = domains, d.EvacuationNumber
	return began, ended
}

// without returns the elements of a that are not in b.
func without(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(s string) bool { return slices.Contains(b, s) })
}

// setEvacuations passes the recorded evacuations to the core and logs what changes. The lease was
// checked before, so that they include all that was acknowledged when the report was sent.
func (c *Coordinator) setEvacuations(now time.Time) {
	if c.config.Evacuations == nil {
		return
	}
	told, ended := c.core.SetEvacuations(c.config.Evacuations(), c.config.EvacuationBound, now)
	for _, domain := range told {
		c.config.Log.Info("evacuation: entries are told to send no calls to the domain", "domain", domain)
	}
	for _, domain := range ended {
		c.config.Log.Info("evacuation ended; the domain serves again", "domain", domain)
	}
}
