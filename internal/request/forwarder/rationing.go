package forwarder

import (
	"time"

	"hyssoprudder/internal/request/placer"
	"hyssoprudder/internal/request/rationer"
)

// rationed describes the call to the rationer.
func (x *exchange) rationed(now time.Time) *rationer.Call {
	return &rationer.Call{
		Service: x.service.Name, Customer: x.customerName(), Priority: x.priority(), Prompt: x.call.Prompt, Objective: x.route.Objective,
		Remaining: x.deadline.Sub(now), Waited: x.f.waitedBefore(x.route, x.call.MaxWait, now), Capacity: x.f.config.Placer.Capacity(x.service.Name),
	}
}

// allow determines what the call may use at an endpoint.
func (x *exchange) allow(now time.Time) {
	if x.f.config.Rationer == nil {
		x.allowance = rationer.Usual(x.rationed(now))
		return
	}
	x.allowance = x.f.config.Rationer.Allow(x.rationed(now), now)
}

// recordAdmitted counts the call once as admitted.
func (x *exchange) recordAdmitted(choice *placer.Choice) {
	if x.isRationed || x.f.config.Rationer == nil {
		return
	}
	now := x.f.config.Clock.Now()
	x.isRationed = true
	x.isLate = x.route.Objective > 0 && x.call.Prompt > 0 && now.Sub(x.call.Arrived)+choice.Predicted() > x.route.Objective
	x.f.config.Rationer.Admitted(x.rationed(now), x.isLate, now)
}

// recordRefused counts the call as refused if capacity was short.
func (x *exchange) recordRefused(refused placer.Refusal, wait time.Duration) {
	x.result.Shortage, x.result.Allowed = refused, x.allowance.QueueTime()
	if refused == placer.RefusedLate && wait > 0 {
		x.result.Queue = x.result.Allowed + wait
	}
	if x.isRationed || x.f.config.Rationer == nil || refused != placer.RefusedLate && refused != placer.RefusedFull {
		return
	}
	now := x.f.config.Clock.Now()
	x.isRationed, x.isLate = true, true
	x.f.config.Rationer.Refused(x.rationed(now), x.allowance.QueueTime(), now)
}

// recordLate counts an admitted call that has missed its objective at the endpoint that was chosen
// first. What is late after a failure, or was lost, tells nothing about capacity.
func (x *exchange) recordLate() {
	now := x.f.config.Clock.Now()
	if !x.isRationed || x.isLate || x.route.Objective <= 0 || x.result.Attempts > 1 {
		return
	}
	if x.result.First <= x.route.Objective && x.result.Refusal != TimedOut {
		return
	}
	x.isLate = true
	x.f.config.Rationer.Late(x.rationed(now), now)
}

// shortageRetryAfter returns the retry delay for a call that capacity is too short for; wait is
// how long it takes until an endpoint has room, 0 if unknown. Calls with prompts are told times
// at which the returning work fits this node's part of the capacity.
func (x *exchange) shortageRetryAfter(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	now := x.f.config.Clock.Now()
	c := x.rationed(now)
	if x.f.config.Rationer == nil || c.Prompt <= 0 || c.Capacity <= 0 || x.call.MaxWait <= 0 {
		return x.f.retryAfter(wait)
	}
	delay, _ := x.f.config.Rationer.Return(c, wait, c.Capacity/float64(max(x.f.Entries(), 1)), now)
	return min(max(delay, minRetryAfter), maxRetryAfter)
}
