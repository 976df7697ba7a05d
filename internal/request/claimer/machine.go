// Package claimer runs a call that must not be repeated at most once. The key of
// the call is claimed in the replicated log before its first byte goes out, and
// the outcome is recorded there, so that a repetition at any entry joins the
// running call or gets the recorded answer.
package claimer

import (
	"time"

	"hyssoprudder/internal/process/applier"
)

// Phase is how far the call has come at its entry.
type Phase uint8

// The phases of a call.
const (
	// PhaseClaiming lasts until the claim is committed.
	PhaseClaiming Phase = iota
	// PhaseGranted lasts until the first byte goes to an endpoint.
	PhaseGranted
	// PhaseSent lasts until the outcome is known or given up.
	PhaseSent
	// PhaseEnded is final.
	PhaseEnded
)

// Kind says what the entry must do with a call.
type Kind uint8

// The kinds of decisions.
const (
	// Run lets this entry run the call.
	Run Kind = iota + 1
	// Replay answers with the recorded answer.
	Replay
	// Join waits for the call that runs under the same key.
	Join
	// Mismatch refuses a key that was used with another body.
	Mismatch
	// Refused answers that the call was not run.
	Refused
	// Unknown answers that nobody knows whether the call ran.
	Unknown
)

// machine decides for one request id. It takes the events in order and never
// leads to a second run or to a false "not run".
type machine struct {
	phase    Phase
	outcome  applier.Outcome
	deadline time.Time
}

// claimed takes the result of ClaimGrant.
func (m *machine) claimed(result applier.ClaimOutcome) Kind {
	if m.phase != PhaseClaiming {
		return Refused
	}
	switch result {
	case applier.ClaimGranted:
		m.phase, m.outcome = PhaseGranted, applier.OutcomeRunning
		return Run
	case applier.ClaimReplayed:
		m.end(applier.OutcomeDone)
		return Replay
	case applier.ClaimJoined:
		return Join
	case applier.ClaimMismatch:
		m.end(applier.OutcomeNotRun)
		return Mismatch
	case applier.ClaimUnknown:
		m.end(applier.OutcomeUnknown)
		return Unknown
	}
	m.end(applier.OutcomeNotRun)
	return Refused
}

// abandon ends a call whose claim could not be committed: it never runs here.
func (m *machine) abandon() bool {
	if m.phase != PhaseClaiming {
		return false
	}
	m.end(applier.OutcomeNotRun)
	return true
}

// sending reports whether the first byte may go out now. From then on the call
// counts as possibly run.
func (m *machine) sending(now time.Time) bool {
	switch {
	case m.phase == PhaseGranted && now.Before(m.deadline):
		m.phase = PhaseSent
		return true
	default:
		return false
	}
}

// unsent takes back sending: the attempt failed and no byte reached an endpoint.
func (m *machine) unsent() bool {
	if m.phase != PhaseSent {
		return false
	}
	m.phase = PhaseGranted
	return true
}

// finish ends the call with an outcome. After the first byte a call only counts
// as not run if the service itself said so.
func (m *machine) finish(outcome applier.Outcome, fromService bool) (applier.Outcome, bool) {
	if m.phase != PhaseGranted && m.phase != PhaseSent {
		return m.outcome, false
	}
	if outcome == applier.OutcomeNotRun && m.phase == PhaseSent && !fromService {
		outcome = applier.OutcomeUnknown
	}
	if m.phase == PhaseGranted && outcome == applier.OutcomeUnknown {
		outcome = applier.OutcomeNotRun
	}
	m.end(outcome)
	return outcome, true
}

func (m *machine) end(outcome applier.Outcome) { m.phase, m.outcome = PhaseEnded, outcome }
