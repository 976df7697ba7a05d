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
		Remaining: x.deadline.Sub(now), Waited: x.f.waitedBefore(x.route, x.call.MaxWait, now),
	}
}

// allow determines what the call may use at an endpoint.
func (x *exchange) allow(now time.Time) {
	x.allowance = x.f.config.Rationer.Allow(x.rationed(now), now)
}

// recordAdmitted counts the call once as admitted.
func (x *exchange) recordAdmitted(choice *placer.Choice) {
	if x.isRationed {
		return
	}
	now := x.f.config.Clock.Now()
	x.isRationed = true
	x.isLate = x.route.Objective > 0 && x.call.Prompt > 0 && now.Sub(x.call.Arrived)+choice.Predicted() > x.route.Objective
	x.f.config.Rationer.Admitted(x.rationed(now), x.isLate, now)
}

// recordRefused counts the call as refused if capacity was short.
func (x *exchange) recordRefused(refused placer.Refusal) {
	if x.isRationed || refused != placer.RefusedLate && refused != placer.RefusedFull {
		return
	}
	now := x.f.config.Clock.Now()
	x.isRationed, x.isLate = true, true
	x.f.config.Rationer.Refused(x.rationed(now), x.allowance.QueueTime(), now)
}

// recordLate counts an admitted call that has missed its objective.
func (x *exchange) recordLate() {
	if !x.isRationed || x.isLate || x.route.Objective <= 0 || x.result.First <= x.route.Objective {
		return
	}
	now := x.f.config.Clock.Now()
	x.isLate = true
	x.f.config.Rationer.Late(x.rationed(now), now)
}
