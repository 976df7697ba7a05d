package placer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"hyssoprudder/internal/process/warmer"
)

const (
	// coldFactor is the multiple of the predicted times that a cold endpoint needs, and coldPenalty its
	// additional cost in ms, since calls without a prompt have no predicted time. Warm endpoints are
	// preferred thereby as long as they serve a call sooner.
	coldFactor  = 1.5
	coldPenalty = 15.0
	// maxRedraws is how often an endpoint is drawn again that gets no call from here because it is cold.
	maxRedraws = 8
	// coldRetry is the time after which a refused call may find an endpoint, if this node has no lease.
	coldRetry = 300 * time.Millisecond
	// maxColdRemaining bounds the time for which an answer can mark an endpoint as cold.
	maxColdRemaining = 10 * time.Minute
)

// warming is what a placer knows of cold endpoints. Times are those of a clock that counts suspension.
type warming struct {
	services map[string]bool // whose endpoints warm up
	lag      time.Duration   // of the provider's list
	byKey    map[noticeKey]*warmth
	offset   time.Duration // cluster time minus boot time
}

// warmth is the state of an endpoint of a service whose endpoints warm up. It is kept apart from the list,
// since an endpoint may be missing there for a while.
type warmth struct {
	coldUntil  time.Time // the later of the next two
	saidUntil  time.Time // as the endpoint itself said
	listed     time.Time // as the list states
	lostAt     time.Time // when contact was lost last; zero once a list that was read later is known
	leaseUntil time.Time // end of this node's warm-up lease
	sentAt     time.Time // when the last call was sent
	reserved   *Choice   // uses the lease and was not sent yet; nil if there is none
	isReported bool      // the last call of ColdChanges returned it as cold
	isListed   bool
}

// Warmups are the warm-up leases of this node as a directive states them. Times are those of a clock that
// counts suspension.
type Warmups struct {
	Positions []uint16
	Until     time.Time
	// ListRead is when the reading of the list began that this node has, or earlier; zero if not known.
	ListRead time.Time
	// Offset is by how much the cluster time is ahead.
	Offset time.Duration
}

// SetWarming sets the services whose endpoints warm up after their start, and by how much the provider's
// list may lag.
func (p *Placer) SetWarming(services map[string]bool, lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warming.services, p.warming.lag = services, lag
	for _, e := range p.positions {
		if e != nil {
			e.setWarmth(p)
		}
	}
}

// setWarmth sets the state of a listed endpoint and until when the list says that it is cold.
func (e *endpoint) setWarmth(p *Placer) {
	e.warm = p.warmthOf(&e.Endpoint)
	if e.warm == nil {
		return
	}
	e.warm.listed = time.Time{}
	if e.ColdUntil > 0 {
		e.warm.listed = time.UnixMilli(e.ColdUntil).Add(-p.warming.offset)
	}
	e.warm.setColdUntil()
}

// setColdUntil is called after a change of what it depends on, so that isCold, which is asked of many
// endpoints for each call, has to compare once only.
func (w *warmth) setColdUntil() {
	w.coldUntil = w.saidUntil
	if w.listed.After(w.coldUntil) {
		w.coldUntil = w.listed
	}
}

// warmthOf returns the state of a listed endpoint, or nil if it need not warm up.
func (p *Placer) warmthOf(e *Endpoint) *warmth {
	if !p.warming.services[e.Service] {
		return nil
	}
	w := p.warming.byKey[e.noticeKey()]
	if w == nil {
		if p.warming.byKey == nil {
			p.warming.byKey = make(map[noticeKey]*warmth)
		}
		w = &warmth{}
		p.warming.byKey[e.noticeKey()] = w
	}
	return w
}

// SetWarmups records the leases of this node. It must follow SetEndpoints with the list to which the
// positions refer.
func (p *Placer) SetWarmups(l *Warmups, boot time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warming.offset = l.Offset
	for _, position := range l.Positions {
		if int(position) >= len(p.positions) || p.positions[position] == nil {
			continue
		}
		if w := p.positions[position].warm; w != nil && l.Until.After(w.leaseUntil) {
			w.leaseUntil = l.Until
		}
	}
	for _, w := range p.warming.byKey {
		w.isListed = false
		if !w.lostAt.IsZero() && l.ListRead.After(w.lostAt.Add(p.warming.lag)) {
			w.lostAt = time.Time{}
		}
	}
	for _, e := range p.positions {
		if e != nil && e.warm != nil {
			e.setWarmth(p)
			e.warm.isListed = true
		}
	}
	for key, w := range p.warming.byKey {
		if !w.isListed && !w.isReported && w.isExpired(boot) {
			delete(p.warming.byKey, key)
		}
	}
}

// isExpired reports whether nothing is known that the state of an endpoint that is listed again needs.
func (w *warmth) isExpired(boot time.Time) bool {
	return w.lostAt.IsZero() && w.reserved == nil && !boot.Before(w.coldUntil) && !boot.Before(w.leaseUntil) &&
		boot.Sub(w.sentAt) >= warmer.CallInterval
}

// DoubtCold records that the list comes from another leader, which may not know yet what the former one
// knew: an endpoint that is cold now remains so until a list says otherwise that was read later.
func (p *Placer) DoubtCold(boot time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.positions {
		if e != nil && e.isCold(boot) {
			e.warm.lostAt = boot
		}
	}
}

// DoubtDomain records that all endpoints of a failure domain may have been started again: each is cold
// until a list says otherwise that was read later.
func (p *Placer) DoubtDomain(domain string, boot time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.positions {
		if e != nil && e.warm != nil && e.Domain == domain {
			e.warm.lostAt = boot
		}
	}
}

// LoseContact records that a connection to an address was lost or could not be opened. The endpoint may
// have been started again and be cold, which the list will show later. It reports whether that concerns an
// endpoint that warms up.
func (p *Placer) LoseContact(address netip.AddrPort, boot time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.warming.byKey) == 0 {
		return false
	}
	found := false
	for key, w := range p.warming.byKey {
		if key.address == address {
			w.lostAt, found = boot, true
		}
	}
	return found
}

// MarkCold records that an endpoint said that it is cold for a time from now on.
func (p *Placer) MarkCold(e *Endpoint, remaining time.Duration, boot time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.warmthOf(e); w != nil && remaining > 0 {
		if until := boot.Add(min(remaining, maxColdRemaining)); until.After(w.saidUntil) {
			w.saidUntil = until
			w.setColdUntil()
		}
	}
}

// isCold reports whether an endpoint is or may be cold.
func (e *endpoint) isCold(boot time.Time) bool {
	return e.warm != nil && (boot.Before(e.warm.coldUntil) || !e.warm.lostAt.IsZero())
}

// isOpen reports whether an endpoint may get a call from here: it is warm, or this node has a warm-up lease
// whose next call is due.
func (e *endpoint) isOpen(boot time.Time) bool {
	return e.warm == nil || !e.isCold(boot) || e.warm.reserved == nil && e.warm.hasCall(boot)
}

func (w *warmth) hasCall(boot time.Time) bool {
	return boot.Before(w.leaseUntil) && boot.Sub(w.sentAt) >= warmer.CallInterval
}

// draw returns a random endpoint of a service, if possible one that may get a call.
func draw(list []*endpoint, boot time.Time) *endpoint {
	e := list[rand.IntN(len(list))]
	for range maxRedraws {
		if e.isOpen(boot) {
			break
		}
		e = list[rand.IntN(len(list))]
	}
	return e
}

// reserve reserves the lease's call at a cold endpoint until the call is sent or has ended.
func (c *Choice) reserve(boot time.Time) {
	e := c.endpoint
	if c.warm = e.warm; c.warm == nil || !e.isCold(boot) {
		return
	}
	c.isOnlyWaiter = false // a cold endpoint says nothing of its later speed
	c.warm.reserved = c
}

// releaseWarmup ends the reservation.
func (c *Choice) releaseWarmup() {
	if c.warm != nil && c.warm.reserved == c {
		c.warm.reserved = nil
	}
}

// charge reports whether a call may be sent as far as warming up is concerned, and records that it is. A
// call that is charged and not sent leaves the next one of the lease to wait.
func (c *Choice) charge(boot time.Time) bool {
	w := c.warm
	if w == nil {
		return true
	}
	if c.endpoint.isCold(boot) {
		// A choice may be charged twice before it is sent, if no other one was in between.
		isAgain := !c.chargedAt.IsZero() && c.chargedAt.Equal(w.sentAt) && boot.Before(w.leaseUntil)
		if !isAgain && (!w.hasCall(boot) || w.reserved != nil && w.reserved != c) {
			return false
		}
	}
	c.releaseWarmup()
	w.sentAt, c.chargedAt = boot, boot
	return true
}

// MayAsk reports whether an endpoint may be asked about itself, which counts as a call if it is cold.
func (p *Placer) MayAsk(id string, boot time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byID[id]
	if e == nil || e.warm == nil {
		return true
	}
	if !e.isOpen(boot) {
		return false
	}
	e.warm.sentAt = boot
	return true
}

// warmupWait returns how long it takes until an endpoint of a service may get a call, if all are cold.
func (p *Placer) warmupWait(req *Request) time.Duration {
	wait := coldRetry
	for _, e := range p.services[req.Service] {
		if e.warm != nil && e.isEligible(req) && req.Boot.Before(e.warm.leaseUntil) {
			wait = min(wait, e.warm.sentAt.Add(warmer.CallInterval).Sub(req.Boot))
		}
	}
	return max(wait, time.Millisecond)
}

// ColdState counts the listed endpoints that are or may be cold, and the warm-up leases of this node for
// them.
func (p *Placer) ColdState(boot time.Time) (cold, leases int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.positions {
		if e == nil || !e.isCold(boot) {
			continue
		}
		cold++
		if boot.Before(e.warm.leaseUntil) {
			leases++
		}
	}
	return cold, leases
}

// ColdChanges returns the listed endpoints that have become cold since the last call, and those that have
// become warm.
func (p *Placer) ColdChanges(boot time.Time) (cold, warm []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.positions {
		if e == nil || e.warm == nil || e.isCold(boot) == e.warm.isReported {
			continue
		}
		if e.warm.isReported = !e.warm.isReported; e.warm.isReported {
			cold = append(cold, e.Endpoint)
		} else {
			warm = append(warm, e.Endpoint)
		}
	}
	return cold, warm
}
