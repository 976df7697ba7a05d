package forwarder

import (
	"time"

	"hyssoprudder/internal/request/placer"
)

// Version says which versions of a service a call may go to.
type Version struct {
	// Wanted is the version that is asked first, if it is not empty.
	Wanted string
	// Unwanted is the version that no call may go to, if it is not empty.
	Unwanted string
}

// Trial is what became of one attempt that was to be sent to an endpoint.
type Trial struct {
	// Route is the name of the call's route.
	Route string
	// Endpoint is the one that was asked.
	Endpoint placer.Endpoint
	// IsFailed says that the endpoint answered with a failure, broke its answer off
	// or did not answer in time.
	IsFailed bool
	// IsExcused says that the end tells nothing of the endpoint's version.
	IsExcused bool
	// First is the time until the first byte of the answer, Next the mean time
	// between events, and Total the time until the whole answer; 0 if not seen.
	First time.Duration
	Next  time.Duration
	Total time.Duration
}

// placeByVersion has the call placed at the version that is chosen for it. If that
// one has no place, another may serve, unless it is unwanted.
func (x *exchange) placeByVersion(ask *placer.Ask) (*placer.Choice, placer.Refusal, time.Duration) {
	v := x.f.config.Version(x.service.Name, !x.route.IsRepeatable(), x.point)
	ask.Version, ask.Unwanted = v.Wanted, v.Unwanted
	choice, refused, wait := x.f.config.Placer.Place(ask)
	if choice == nil && v.Wanted != "" {
		ask.Version = ""
		return x.f.config.Placer.Place(ask)
	}
	return choice, refused, wait
}

// report tells what became of the attempt.
func (a *attempt) report(now time.Time) {
	if !a.isSent {
		return
	}
	t := Trial{Route: a.x.route.Name, Endpoint: a.choice.Endpoint()}
	switch a.outcome {
	case placer.Answered:
		t.Total = now.Sub(a.began)
	case placer.Failed:
		t.IsFailed = true
	case placer.Abandoned:
		// The caller left, or nothing came within its time.
		t.IsFailed = !a.isUnsent && a.x.ctx.Err() == nil && a.first.IsZero()
		t.IsExcused = !t.IsFailed
	default:
		t.IsExcused = true
	}
	if !a.first.IsZero() {
		t.First = a.first.Sub(a.began)
	}
	if a.events > 1 {
		t.Next = a.last.Sub(a.first) / time.Duration(a.events-1)
		t.Total = 0 // streams differ in length
	}
	a.x.f.config.Tried(&t)
}
