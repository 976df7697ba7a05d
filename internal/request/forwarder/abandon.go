package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// stopReason returns the reason why no other endpoint may be tried, or an empty
// string.
func (x *exchange) stopReason(last step) string {
	switch {
	case x.ctx.Err() != nil:
		return x.cancelReason()
	case x.remaining() < minRemaining:
		return "no time is left"
	case last == stepLost && !x.route.IsRepeatable():
		return "the call may have run and must not run twice"
	case x.next != nil:
		// The next attempt was charged to the budget before this one was given up.
		return ""
	case last == stepUnsent:
		if len(x.tried) > maxUnreachable {
			return "no endpoint can be reached"
		}
		return ""
	case x.sent >= max(x.route.MaxAttempts, 1):
		return "the route allows no further attempts"
	case !x.f.config.Budget.AllowRepeat(x.service.Name, x.f.config.Clock.Now()):
		return "the retry budget is exhausted"
	}
	return ""
}

// cancelReason returns why the context of the call was canceled.
func (x *exchange) cancelReason() string {
	if cause := context.Cause(x.ctx); !errors.Is(cause, context.Canceled) {
		return cause.Error()
	}
	return "the caller disconnected"
}

// maxUnreachable is how many endpoints may be unreachable before a call is abandoned.
const maxUnreachable = 3

// abandon ends a call for which no further endpoint is tried.
func (x *exchange) abandon(reason string, wait time.Duration) {
	if x.result.Detail != "" {
		// The failure at the last endpoint comes first, then the reason why no other
		// is tried.
		reason = x.result.Detail + "; " + reason
	}
	x.result.Detail = reason
	switch {
	case x.hasStreamBegun():
		x.result.Refusal = Unknown
		panic(http.ErrAbortHandler)
	case x.buffered != nil:
		x.buffered.deliver(x)
	case x.ctx.Err() != nil && !x.mayRun:
		x.refuse(Busy, x.f.retryAfter(minRetryAfter))
	case x.ctx.Err() != nil:
		// A caller that closed only its sending side still reads.
		x.refuse(Unknown, 0)
	case x.mayRun && x.remaining() < minRemaining:
		x.refuse(TimedOut, 0)
	case x.mayRun:
		x.refuse(Unknown, 0)
	default:
		x.f.refused.add(x.service.Name)
		x.refuse(Busy, x.busyRetryAfter(wait))
	}
}

// abandonIsolated ends a call that crashes endpoints.
func (x *exchange) abandonIsolated() {
	x.result.Fingerprint = x.fingerprint()
	if x.mayRun {
		x.abandon(string(Isolated), 0)
		return
	}
	x.refuse(Isolated, maxRetryAfter)
}

// hasStreamBegun reports whether events of a streamed answer were sent to the caller.
func (x *exchange) hasStreamBegun() bool { return x.stream != nil && x.stream.isStarted }

// refund returns what was charged for a call that ran nowhere.
func (x *exchange) refund() {
	if x.cost > 0 && !x.mayRun {
		x.f.config.Quotas.Return(x.customer.Name, x.cost)
		x.cost = 0
	}
}

// refuse ends the call with a refusal and refunds its cost if it did not run.
func (x *exchange) refuse(refusal Refusal, after time.Duration) {
	x.result.Refusal, x.result.Told = refusal, after
	x.refund()
	x.f.config.Refuse(x.w, x.call, refusal, after)
}
