package forwarder

import (
	"math/rand/v2"
	"time"

	"hyssoprudder/internal/request/placer"
)

const (
	// maxPausedRetryAfter is the longest retry delay that is sent to callers while all
	// endpoints are paused. It suffices for other endpoints to be started.
	maxPausedRetryAfter = 30 * time.Second
	// pausedSpread is the fraction of that delay by which it is extended at random.
	pausedSpread = 0.25
)

// recordNotice records what the head of the answer says of the endpoint itself. Every
// answer counts, also one that is not delivered.
func (a *attempt) recordNotice() {
	c, e := &a.x.f.config, a.choice.Endpoint()
	if a.reply.IsLeaving && c.Placer.MarkLeaving(&e, c.BootClock.Now()) {
		c.Log.Info("endpoint leaving; it gets no new calls from here", "endpoint", e.ID, "service", e.Service, "address", e.Address, "source", "answer")
	}
	if a.reply.ColdRemaining > 0 {
		c.Placer.MarkCold(&e, a.reply.ColdRemaining, c.BootClock.Now())
	}
	if a.reply.Pause > 0 && c.Placer.Pause(&e, a.reply.Pause, c.BootClock.Now()) {
		c.Log.Info("endpoint asks for a pause; it gets no calls from here until then", "endpoint", e.ID, "service", e.Service, "pause", a.reply.Pause, "source", "answer")
	}
}

// loseContact records that contact with an endpoint was lost, so that it may be cold when it is reached
// again.
func (x *exchange) loseContact(choice *placer.Choice) {
	e := choice.Endpoint()
	if x.f.config.Placer.LoseContact(e.Address, x.f.config.BootClock.Now()) {
		x.f.config.Log.Debug("contact with an endpoint lost; it may be cold", "endpoint", e.ID, "service", e.Service, "address", e.Address)
	}
}

// recordLoad records the load that the endpoint reports of itself. An answer to another call is
// late, and so is what it reports.
func (a *attempt) recordLoad() {
	if a.reply.Load == nil || a.reply.ID != a.x.call.ID || a.reply.IsMisdirected {
		return
	}
	c := &a.x.f.config
	c.Placer.RecordLoad(a.choice, *a.reply.Load, c.Clock.Now())
}

// placeLastResort places a call that no other endpoint can serve at one that has said not
// long ago that it leaves. It returns the refusal that led here if there is none.
func (x *exchange) placeLastResort(req *placer.Request, refused placer.Refusal, wait time.Duration) (*placer.Choice, placer.Refusal, time.Duration) {
	req.IsLastResort = true
	choice, _, _ := x.f.config.Placer.Place(req)
	if choice == nil {
		return nil, refused, wait
	}
	return choice, placer.RefusedNone, 0
}

// busyRetryAfter returns the retry delay for a call that no endpoint takes; wait is how
// long it takes until the call could be placed, 0 if unknown. While all endpoints are
// paused, the delay is not shorter than the pause, and differs between callers.
func (x *exchange) busyRetryAfter(wait time.Duration) time.Duration {
	paused, ok := x.f.config.Placer.PausedFor(x.service.Name, x.f.config.BootClock.Now())
	if !ok {
		return x.shortageRetryAfter(wait)
	}
	paused = min(max(paused, minRetryAfter), maxPausedRetryAfter)
	return paused + time.Duration(rand.Float64()*pausedSpread*float64(paused))
}
