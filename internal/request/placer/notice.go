package placer

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// lastResortFraction is the fraction of the time to drain for which a leaving endpoint
	// gets calls that no other endpoint can serve.
	lastResortFraction = 0.8
	// returnSpread is the fraction of a pause by which the return to the endpoint is
	// delayed at random, up to maxReturnSpread, so that the nodes do not return together.
	returnSpread    = 0.25
	maxReturnSpread = 2 * time.Second
	// firstReturns is the number of unanswered calls with which a node returns to an
	// endpoint after a pause. It doubles with each answer; from maxReturns on there is no
	// such limit any more.
	firstReturns = 1
	maxReturns   = 32
	// noticeRetention is how long the notices of an endpoint that is no longer listed are
	// kept. The list may lack an endpoint for a while that still runs.
	noticeRetention = 10 * time.Minute
	// maxUnlisted is the number of endpoints that are no longer listed of which notices
	// are kept.
	maxUnlisted = 1024
)

// notice is what an endpoint itself has said about the calls that it wants. It is kept
// apart from the list, since neither an entry that is missing from the list for a while
// nor one that shows the endpoint as serving takes back what the endpoint said. Its times
// are those of a clock that counts suspension.
type notice struct {
	id      string
	service string
	address netip.AddrPort
	// leavingSince is when the endpoint was first known to leave; zero if it isn't.
	leavingSince time.Time
	// pausedSince and pausedUntil bound the pause that the endpoint asked for. returnAt,
	// which is not earlier, is when this node sends calls again.
	pausedSince time.Time
	pausedUntil time.Time
	returnAt    time.Time
	pausedAt    time.Time // when the endpoint last asked for a pause
	isPaused    bool      // the end of the pause has not been reported yet
	returning   *returning
	born        int64     // when the endpoint was started, in ms since 1970; 0 if not known
	unlistedAt  time.Time // when Expire first found that the endpoint is not listed
}

// noticeKey identifies one life of an endpoint. One that is listed under another address
// was started again.
type noticeKey struct {
	id      string
	address netip.AddrPort
}

// returning bounds the calls that an endpoint gets after a pause.
type returning struct {
	limit    int
	inFlight int // without an answer yet
}

func (n *notice) key() noticeKey { return noticeKey{n.id, n.address} }

// Notice is what is known of an endpoint that said that it leaves, or that asked for a
// pause.
type Notice struct {
	ID      string
	Service string
	Address netip.AddrPort
	// LeavingSince is when the endpoint was first known to leave; zero if it isn't.
	LeavingSince time.Time
	// PausedSince and PausedUntil bound the last pause; they are zero if there was none.
	PausedSince time.Time
	PausedUntil time.Time
	// Born is when the endpoint was started, in milliseconds since 1970; 0 if not known.
	Born int64
	// IsListed reports whether the endpoint is in the list of endpoints.
	IsListed bool
	// IsServing reports whether it is in the list and not shown as leaving there.
	IsServing bool
	// IsShown reports whether the list itself shows that the endpoint leaves, or said so, and
	// IsBornShown whether it shows the start.
	IsShown     bool
	IsBornShown bool
}

// IsPaused reports whether the endpoint wants no calls at the given time.
func (n *Notice) IsPaused(now time.Time) bool { return now.Before(n.PausedUntil) }

func (e *Endpoint) noticeKey() noticeKey { return noticeKey{e.ID, e.Address} }

// noticeOf returns the notice of an endpoint, and creates it if there is none.
func (p *Placer) noticeOf(e *Endpoint) *notice {
	key := e.noticeKey()
	n := p.notices[key]
	if n == nil {
		n = &notice{id: e.ID, service: e.Service, address: e.Address}
		p.notices[key] = n
		if listed := p.byID[e.ID]; listed != nil && listed.noticeKey() == key {
			listed.notice = n
		}
	}
	return n
}

// MarkLeaving records that an endpoint said that it leaves. It reports whether that was not
// known before. boot is the time of a clock that counts suspension.
func (p *Placer) MarkLeaving(e *Endpoint, boot time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.noticeOf(e)
	if !n.leavingSince.IsZero() {
		return false
	}
	n.leavingSince = boot
	return true
}

// Pause records that an endpoint wants no calls for a time from now on. A shorter pause
// does not shorten one in force. It reports whether the endpoint was not paused before.
func (p *Placer) Pause(e *Endpoint, d time.Duration, boot time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d <= 0 {
		return false
	}
	n := p.noticeOf(e)
	isNew := !boot.Before(n.pausedUntil)
	if isNew {
		n.pausedSince = boot
	}
	if until := boot.Add(d); until.After(n.pausedUntil) {
		n.pausedUntil = until
		spread := min(time.Duration(returnSpread*float64(d)), maxReturnSpread)
		n.returnAt = until.Add(time.Duration(rand.Float64() * float64(spread)))
	}
	n.pausedAt, n.isPaused, n.returning = boot, true, &returning{limit: firstReturns}
	return isNew
}

// MaySend reports whether a call may still be sent to the endpoint that was chosen for it.
// It is to be asked right before the call is sent, since the endpoint may have asked for
// a pause, said that it leaves, or become cold, or its domain may have been evacuated, since it was
// chosen. At a cold endpoint the call then counts as sent.
func (p *Placer) MaySend(c *Choice, boot time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evacuated[c.listed.Domain] {
		return false
	}
	n := p.notices[c.listed.noticeKey()]
	if n != nil && (boot.Before(n.returnAt) || !n.leavingSince.IsZero() && (!c.isLastResort || !p.isLastResort(n, boot))) {
		return false
	}
	return c.charge(boot)
}

// IsWanted reports whether an endpoint with the address may get calls, so that idle
// connections to it are kept.
func (p *Placer) IsWanted(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.positions {
		if e != nil && e.Address == address && (e.notice == nil || e.notice.leavingSince.IsZero()) {
			return true
		}
	}
	return false
}

// Reborn records that an endpoint was started at a time in milliseconds since 1970, after
// it had said that it leaves. What it said before does not count any more. bornBoot is an
// early estimate of that time by the clock that counts suspension: a pause that was asked
// for later stays in force. It reports whether the endpoint was marked as leaving.
func (p *Placer) Reborn(e *Endpoint, born int64, bornBoot time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.noticeOf(e)
	wasLeaving := !n.leavingSince.IsZero()
	if n.pausedAt.After(bornBoot) {
		n.leavingSince, n.born = time.Time{}, max(n.born, born)
		return wasLeaving
	}
	*n = notice{id: n.id, service: n.service, address: n.address, born: max(n.born, born)}
	return wasLeaving
}

// wantsNothing reports whether the endpoint asked for no calls, be it for a while.
func (n *notice) wantsNothing(boot time.Time) bool {
	return n != nil && (!n.leavingSince.IsZero() || boot.Before(n.returnAt))
}

// isLeaving reports whether the list or the endpoint itself says that it leaves.
func (e *endpoint) isLeaving() bool {
	return e.Leaving || e.notice != nil && !e.notice.leavingSince.IsZero()
}

// WantsNothing reports whether the endpoint asked for a pause that is not over, or said
// that it leaves, so that not even a connection is to be opened to it.
func (p *Placer) WantsNothing(id string, boot time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byID[id]
	return e != nil && e.notice.wantsNothing(boot)
}

// isLastResort reports whether a leaving endpoint may still get calls that no other
// endpoint can serve.
func (p *Placer) isLastResort(n *notice, boot time.Time) bool {
	return boot.Sub(n.leavingSince) < time.Duration(lastResortFraction*float64(p.drain))
}

// isWilling reports whether what an endpoint said of itself allows the call.
func (p *Placer) isWilling(n *notice, req *Request) bool {
	if req.Boot.Before(n.returnAt) {
		return false
	}
	if !n.leavingSince.IsZero() && (!req.IsLastResort || !p.isLastResort(n, req.Boot)) {
		return false
	}
	r := n.returning
	return r == nil || r.limit >= maxReturns || r.inFlight < r.limit
}

// beginReturn counts a call at an endpoint that was paused.
func (c *Choice) beginReturn(n *notice) {
	if n != nil && n.returning != nil {
		c.returning = n.returning
		c.returning.inFlight++
	}
}

// endReturn ends the count of such a call. The endpoint gets more calls once it has
// answered one.
func (c *Choice) endReturn(isAnswered bool) {
	r := c.returning
	if r == nil {
		return
	}
	c.returning = nil
	r.inFlight--
	if isAnswered {
		r.limit = min(2*r.limit, maxReturns)
	}
}

// PausedFor returns how long it takes until the first endpoint of a service gets calls
// again, if all of its endpoints that are not leaving are paused.
func (p *Placer) PausedFor(service string, boot time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pausedFor(service, boot)
}

func (p *Placer) pausedFor(service string, boot time.Time) (time.Duration, bool) {
	soonest, found := time.Duration(0), false
	for _, e := range p.services[service] {
		if e.isLeaving() || e.isEvacuated {
			continue
		}
		if e.notice == nil || !boot.Before(e.notice.returnAt) {
			return 0, false
		}
		if wait := e.notice.returnAt.Sub(boot); !found || wait < soonest {
			soonest, found = wait, true
		}
	}
	return soonest, found
}

// Notices returns what endpoints said of themselves, by ID.
func (p *Placer) Notices() []Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Notice, 0, len(p.notices))
	for _, n := range p.notices {
		out = append(out, p.export(n))
	}
	slices.SortFunc(out, func(a, b Notice) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func (p *Placer) export(n *notice) Notice {
	out := Notice{
		ID: n.id, Service: n.service, Address: n.address, LeavingSince: n.leavingSince, PausedSince: n.pausedSince,
		PausedUntil: n.pausedUntil, Born: n.born,
	}
	if e := p.byID[n.id]; e != nil && e.noticeKey() == n.key() {
		out.IsListed, out.IsServing = true, !e.Leaving
		out.IsShown, out.IsBornShown = e.Leaving || e.LeavingSince > 0, e.Born >= n.born
	}
	return out
}

// Expire drops what is no longer of use, and returns the notices of endpoints whose pause
// has ended since the last call, and of those that are forgotten because they have left.
func (p *Placer) Expire(boot time.Time) (returned, left []Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unlisted []*notice
	for _, n := range p.notices {
		if n.isPaused && !boot.Before(n.returnAt) {
			n.isPaused = false
			returned = append(returned, p.export(n))
		}
		if e := p.byID[n.id]; e != nil && e.noticeKey() == n.key() {
			n.unlistedAt = time.Time{}
			continue
		}
		if n.unlistedAt.IsZero() {
			n.unlistedAt = boot
		}
		unlisted = append(unlisted, n)
	}
	slices.SortFunc(unlisted, func(a, b *notice) int { return a.unlistedAt.Compare(b.unlistedAt) })
	for i, n := range unlisted {
		if boot.Sub(n.unlistedAt) < noticeRetention && len(unlisted)-i <= maxUnlisted {
			break
		}
		if !n.leavingSince.IsZero() {
			left = append(left, p.export(n))
		}
		delete(p.notices, n.key())
	}
	return returned, left
}

// SetDrain sets how long a leaving endpoint may still get calls.
func (p *Placer) SetDrain(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drain = d
}
