package forwarder

import (
	"slices"
	"time"

	"hyssoprudder/internal/request/placer"
)

// Version restricts the versions of a service that may serve a call.
type Version struct {
	// Wanted, if not empty, is the preferred version.
	Wanted string
	// Unwanted are the versions that must not serve the call.
	Unwanted []string
	// Avoided are the versions that serve the call only if no other one has an endpoint.
	Avoided []string
}

// AttemptResult is the result of one attempt at an endpoint.
type AttemptResult struct {
	// Route is the name of the call's route.
	Route string
	// Endpoint is the endpoint that was tried.
	Endpoint placer.Endpoint
	// Blocks are the blocks of the call's prompt.
	Blocks []placer.PromptBlock
	// Fingerprint returns the fingerprint of the request: the same for calls with the same
	// method, host, target, customer and body.
	Fingerprint func() uint64
	// SentAt is when the call was sent.
	SentAt time.Time
	// IsBroken reports that the connection to the endpoint was lost before the answer
	// was complete, and IsAnswered that the answer was complete and no failure.
	IsBroken   bool
	IsAnswered bool
	// IsFailed reports that the endpoint answered with an error, broke its answer
	// off, or did not answer in time.
	IsFailed bool
	// IsExcluded reports that the attempt is excluded from the comparison of versions,
	// since its end does not depend on the endpoint's version.
	IsExcluded bool
	// First is the time to the first byte of the answer, Next the mean time between
	// events, and Total the time to the complete answer; 0 if not observed.
	First time.Duration
	Next  time.Duration
	Total time.Duration
}

// lastResortRefusals are the refusals after which a leaving endpoint may serve a call.
var lastResortRefusals = []placer.Refusal{placer.RefusedEmpty, placer.RefusedPaused, placer.RefusedCold, placer.RefusedEvacuated}

// placeByVersion places the call at an endpoint of the version chosen for it. If none
// is available, an endpoint of another version may serve, unless that version is
// unwanted. Versions to avoid come last.
func (x *exchange) placeByVersion(req *placer.Request) (*placer.Choice, placer.Refusal, time.Duration) {
	v := x.f.config.Version(x.service.Name, !x.route.IsRepeatable(), x.random)
	req.Version, req.Unwanted = v.Wanted, slices.Concat(v.Avoided, v.Unwanted)
	choice, refused, wait := x.f.config.Placer.Place(req)
	if choice == nil && refused == placer.RefusedEmpty && len(v.Avoided) > 0 {
		req.Unwanted = v.Unwanted
		choice, refused, wait = x.f.config.Placer.Place(req)
	}
	if choice == nil && v.Wanted != "" {
		req.Version = ""
		choice, refused, wait = x.f.config.Placer.Place(req)
	}
	if choice == nil && slices.Contains(lastResortRefusals, refused) {
		return x.placeLastResort(req, refused, wait)
	}
	return choice, refused, wait
}

// report reports the result of the attempt.
func (a *attempt) report(now time.Time) {
	if !a.isStarted {
		return
	}
	t := AttemptResult{
		Route: a.x.route.Name, Endpoint: a.choice.Endpoint(), Blocks: a.x.call.Blocks, Fingerprint: a.x.fingerprint, SentAt: a.sentAt,
		IsBroken: a.isBroken, IsAnswered: a.outcome == placer.Answered,
	}
	switch a.outcome {
	case placer.Answered:
		t.Total = now.Sub(a.sentAt)
	case placer.Failed:
		t.IsFailed = true
	case placer.Abandoned:
		// The caller disconnected, or no answer arrived before the deadline.
		t.IsFailed = !a.isUnsent && a.x.ctx.Err() == nil && a.firstByteAt.IsZero()
		t.IsExcluded = !t.IsFailed
	default:
		t.IsExcluded = true
	}
	if !a.firstByteAt.IsZero() {
		t.First = a.firstByteAt.Sub(a.sentAt)
	}
	if a.deliveries > 1 {
		t.Next = a.lastEventAt.Sub(a.firstByteAt) / time.Duration(a.deliveries-1)
		t.Total = 0 // streams differ in length, so their totals cannot be compared
	}
	a.x.f.config.AttemptEnded(&t)
}
