package forwarder

import (
	"context"
	"slices"
	"time"

	"hyssoprudder/internal/connection/pooler"
	"hyssoprudder/internal/request/placer"
)

// nextEndpointInterval is the interval at which another endpoint is sought for a call whose
// endpoint is silent.
const nextEndpointInterval = 100 * time.Millisecond

// secured is the endpoint of the next attempt. conn is nil unless the endpoint was secured
// before the attempt at the endpoint before it was given up.
type secured struct {
	choice *placer.Choice
	conn   *pooler.Conn
}

// nextEndpoint returns the secured endpoint, if there is one, or chooses one that was not
// tried before.
func (x *exchange) nextEndpoint() (*secured, placer.Refusal, time.Duration) {
	if next := x.next; next != nil {
		x.next = nil
		return next, placer.RefusedNone, 0
	}
	choice, refused, wait := x.place(x.tried)
	if choice == nil {
		return nil, refused, wait
	}
	return &secured{choice: choice}, placer.RefusedNone, 0
}

// releaseNext releases the secured endpoint if the call does not go on there.
func (x *exchange) releaseNext() {
	if x.next == nil {
		return
	}
	x.next.conn.Release()
	x.f.config.Placer.End(x.next.choice, placer.Abandoned, x.f.config.Clock.Now())
	x.next = nil
}

// waitUntil sets the time until which the endpoint may be silent. If it is before the
// deadline of the call, the attempt is given up at that time only if another endpoint
// takes the call; otherwise the endpoint may still answer until the deadline.
func (a *attempt) waitUntil(by time.Time) {
	if !by.Before(a.x.deadline) {
		a.conn.SetReadDeadline(a.x.deadline)
		return
	}
	a.conn.SetExtensibleReadDeadline(by, a.extendWait)
}

// endWait ends the wait that waitUntil began. It must be called after a read has failed or
// has reached the end of the answer, before the state of the call is used: net/http then
// reads on in a goroutine of its own, where extendWait may run.
func (a *attempt) endWait() { a.conn.SetReadDeadline(a.x.deadline) }

// extendWait returns until when to wait for the silent endpoint, or false if the attempt is
// given up.
func (a *attempt) extendWait() (time.Time, bool) {
	x := a.x
	if x.remaining() <= 0 || a.secureNext() {
		return time.Time{}, false
	}
	if by := x.f.config.Clock.Now().Add(nextEndpointInterval); by.Before(x.deadline) {
		return by, true
	}
	return x.deadline, true
}

// secureNext reports whether another endpoint takes the call. It obtains a connection to it
// and charges the budget.
func (a *attempt) secureNext() bool {
	x := a.x
	c := &x.f.config
	if x.ctx.Err() != nil || x.remaining() < minRemaining || !c.IsConfirmed() || c.IsIsolated(x.service.Name, x.call.Blocks, x.fingerprint) ||
		!c.Budget.HasRepeat(x.service.Name, c.Clock.Now()) {
		return false
	}
	choice, _, _ := x.place(append(slices.Clone(x.tried), a.choice.Endpoint().ID))
	if choice == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(x.ctx, x.remaining())
	defer cancel()
	conn, err := x.connect(ctx, choice)
	if err != nil {
		outcome := unreachedOutcome(ctx, err)
		if outcome == placer.Unreached {
			x.loseContact(choice)
		}
		c.Placer.End(choice, outcome, c.Clock.Now())
		return false
	}
	x.next = &secured{choice: choice, conn: conn}
	if !c.IsConfirmed() || !c.Placer.MaySend(choice, c.BootClock.Now()) || !c.Budget.AllowRepeat(x.service.Name, c.Clock.Now()) {
		x.releaseNext()
		return false
	}
	return true
}
