package coordinator

import (
	"time"

	"hyssoprudder/internal/process/warmer"
)

const (
	// coldMargin is added to a new end of being cold. The provider's list lags by a varying time, so that
	// the stated end varies too; without a margin many reads would change the list that nodes get.
	coldMargin = 250 * time.Millisecond
	// coldHysteresis is by how much the stated end may be earlier than the known one without shortening it.
	coldHysteresis = 500 * time.Millisecond
	// readMargin is added to the lag of the list: the time by which the beginnings of two reads differ.
	readMargin = 300 * time.Millisecond
	// suspectedFor is the time for which the endpoints of a failure domain are shown as cold that may
	// have become cold, unless a list says otherwise. It lasts longer than any outage of the provider
	// during which the leader can serve.
	suspectedFor = time.Hour
)

// Warming describes the endpoints of a service that have to warm up.
type Warming struct {
	// Leases is the number of entries that may send calls to a cold endpoint at a time.
	Leases int
}

// coldRecord is what is known of an endpoint that is cold.
type coldRecord struct {
	until     int64     // in cluster time, in ms, as the list shows it
	supported time.Time // start of the last read that stated about as much
}

// warmth tells which endpoints are cold. It belongs to Core.
type warmth struct {
	services map[string]Warming
	lag      time.Duration // of the provider's list
	records  map[noticeKey]*coldRecord
	suspects map[string]time.Time // domains, with the time after which the list must have been read
	granter  *warmer.Granter
	read     []Endpoint // the list as it was read last
	readAt   time.Time  // start of that read
}

func newWarmth(started time.Time) warmth {
	return warmth{
		records: make(map[noticeKey]*coldRecord), suspects: make(map[string]time.Time),
		// What the former leader granted may be valid for as long as this.
		granter: warmer.NewGranter(started.Add(warmer.Lifetime + warmer.CallInterval)),
	}
}

// SetWarming sets the services whose endpoints warm up, and by how much the provider's list may lag.
func (c *Core) SetWarming(services map[string]Warming, lag time.Duration, now time.Time) {
	w := &c.warmth
	isNew := false
	for name := range services {
		_, ok := w.services[name]
		isNew = isNew || !ok
	}
	w.services, w.lag = services, lag
	if isNew && w.read != nil {
		// Entries get the ruleset before the next list, so this one has to show which endpoints of
		// these services are cold.
		c.ReadEndpoints(w.read, w.readAt, now)
	}
}

// ReadEndpoints replaces the list by one whose reading began at readAt, and reports whether it changed. In
// it, ColdUntil is the remaining time in milliseconds.
func (c *Core) ReadEndpoints(endpoints []Endpoint, readAt, now time.Time) bool {
	isChanged := c.list.update(c.withCold(c.withNotices(endpoints), readAt, now), now)
	if isChanged {
		c.sums.extend(len(c.list.byPosition))
	}
	c.warmth.readAt, c.warmth.read = readAt, endpoints
	c.setCold(now)
	return isChanged
}

// withCold returns the list with the cluster time until which endpoints are cold.
func (c *Core) withCold(endpoints []Endpoint, readAt, now time.Time) []Endpoint {
	w := &c.warmth
	clusterNow := now.Add(c.clusterTimeOffset).UnixMilli()
	out, records := make([]Endpoint, len(endpoints)), make(map[noticeKey]*coldRecord)
	for i, e := range endpoints {
		remaining := e.ColdUntil
		e.ColdUntil = 0
		if _, ok := w.services[e.Service]; ok {
			key := noticeKey{e.ID, e.Address}
			if record := w.update(key, e.Domain, remaining, readAt, clusterNow); record != nil {
				records[key] = record
				e.ColdUntil = record.until
			}
		}
		out[i] = e
	}
	w.records = records
	for domain, after := range w.suspects {
		if !readAt.Before(after) {
			delete(w.suspects, domain)
		}
	}
	return out
}

// update returns what is known of an endpoint after a read that stated the remaining time; nil if it is
// warm. What was stated is never shortened, unless no read of a time as long as the list's lag states it.
func (w *warmth) update(key noticeKey, domain string, remaining int64, readAt time.Time, clusterNow int64) *coldRecord {
	record := w.records[key]
	stated := int64(0)
	if remaining > 0 {
		stated = clusterNow + remaining
	}
	after, isSuspect := w.suspects[domain]
	switch {
	case isSuspect && readAt.Before(after):
		return &coldRecord{until: max(stated, clusterNow+suspectedFor.Milliseconds()), supported: readAt}
	case isSuspect:
		record = nil // what was assumed is replaced by what is stated
	}
	switch {
	case record == nil || record.until <= clusterNow:
		if stated == 0 {
			return nil
		}
		return &coldRecord{until: stated + coldMargin.Milliseconds(), supported: readAt}
	case stated > record.until:
		return &coldRecord{until: stated + coldMargin.Milliseconds(), supported: readAt}
	case stated >= record.until-coldHysteresis.Milliseconds():
		record.supported = readAt
	case readAt.Sub(record.supported) > w.lag+readMargin:
		if stated == 0 {
			return nil
		}
		return &coldRecord{until: stated + coldMargin.Milliseconds(), supported: readAt}
	}
	return record
}

// SuspectCold marks all endpoints of a failure domain as possibly cold, where their services warm up, until
// a list says otherwise whose reading began later than now by the list's lag and a margin.
func (c *Core) SuspectCold(domain string, now time.Time) {
	w := &c.warmth
	if len(w.services) == 0 {
		return
	}
	w.suspects[domain] = now.Add(w.lag + readMargin)
	until := now.Add(c.clusterTimeOffset + suspectedFor).UnixMilli()
	for position := range c.list.byPosition {
		e := &c.list.byPosition[position]
		if _, ok := w.services[e.Service]; !ok || e.Domain != domain {
			continue
		}
		w.records[noticeKey{e.ID, e.Address}] = &coldRecord{until: until, supported: now}
		c.list.setColdUntil(position, until)
	}
	c.setCold(now)
}

// setColdUntil shows in the list until when an endpoint is cold.
func (l *list) setColdUntil(position int, until int64) {
	l.version.Number++
	l.byPosition[position].ColdUntil, l.changedIn[position] = until, l.version.Number
	clear(l.pages)
}

// setCold passes the cold endpoints to the granter.
func (c *Core) setCold(now time.Time) {
	var cold []warmer.Endpoint
	if len(c.warmth.records) > 0 {
		clusterNow := now.Add(c.clusterTimeOffset).UnixMilli()
		for position, e := range c.list.byPosition {
			if e.ColdUntil > clusterNow {
				cold = append(cold, warmer.Endpoint{
					Key: warmer.Key{ID: e.ID, Address: e.Address}, Position: uint16(position), Leases: c.warmth.services[e.Service].Leases,
				})
			}
		}
	}
	c.warmth.granter.SetCold(cold, now)
}

// grantWarmups fills in the leases of the node that sent the report, and when the list was read.
func (c *Core) grantWarmups(r *Report, d *Directive, now time.Time) {
	if len(c.warmth.services) == 0 || c.warmth.readAt.IsZero() {
		return
	}
	d.ListRead = c.warmth.readAt.Add(c.clusterTimeOffset).UnixNano()
	weight := 1
	if r.Group != nil {
		weight = r.Group.Entries
	}
	h := warmer.Holder{Node: r.Node, Incarnation: r.Incarnation, Weight: weight, Total: c.entries}
	d.Warmups, d.WarmupLifetime = c.warmth.granter.Renew(h, now)
}

// groupWarmth is what a relay knows of cold endpoints. It belongs to GroupCore.
type groupWarmth struct {
	granter *warmer.Granter
	readAt  time.Time // start of the last read of the list, by the relay's clock and not too late
}

// applyWarmups takes over what the leader granted the relay in the answer to a report sent at sentAt.
func (g *GroupCore) applyWarmups(d *Directive, sentAt, now time.Time) {
	g.warmth.readAt = time.Time{}
	if d.ListRead == 0 || g.list.version != d.ListID {
		g.warmth.granter.SetCold(nil, now)
		return
	}
	g.warmth.readAt = sentAt.Add(-time.Duration(d.ClusterTime - d.ListRead))
	byPosition := make(map[uint16]int)
	var cold []warmer.Endpoint
	for _, position := range d.Warmups {
		if int(position) >= len(g.list.byPosition) {
			continue
		}
		if i, ok := byPosition[position]; ok {
			cold[i].Leases++
			continue
		}
		e := &g.list.byPosition[position]
		byPosition[position] = len(cold)
		cold = append(cold, warmer.Endpoint{Key: warmer.Key{ID: e.ID, Address: e.Address}, Position: position, Leases: 1})
	}
	g.warmth.granter.SetCold(cold, now)
	g.warmth.granter.LimitTo(sentAt.Add(d.WarmupLifetime))
}

// grantWarmups fills in the leases of an entry, and when the list was read.
func (g *GroupCore) grantWarmups(r *Report, d *Directive, now time.Time) {
	if g.warmth.readAt.IsZero() {
		return
	}
	d.ListRead = d.ClusterTime - now.Sub(g.warmth.readAt).Nanoseconds()
	h := warmer.Holder{Node: r.Node, Incarnation: r.Incarnation, Weight: 1, Total: len(g.members)}
	d.Warmups, d.WarmupLifetime = g.warmth.granter.Renew(h, now)
}
