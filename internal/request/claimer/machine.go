// Package claimer ensures that a call runs at most once. It claims the call's key in the
// replicated log before the first byte is sent to an endpoint and records the outcome
// there, so that a repeated call at any entry joins the call in flight or gets the
// recorded answer.
package claimer

import (
	"time"

	"hyssoprudder/internal/process/applier"
)

// Phase is the progress of a call at its entry.
type Phase uint8

// The phases of a call.
const (
	// PhaseClaiming lasts until the claim is committed.
	PhaseClaiming Phase = iota
	// PhaseGranted lasts until the first byte is sent to an endpoint.
	PhaseGranted
	// PhaseSent lasts until the outcome is known or declared unknown.
	PhaseSent
	// PhaseEnded is final.
	PhaseEnded
)

// Kind tells what the entry must do with a call.
type Kind uint8

// The kinds of outcomes.
const (
	// Run means that this entry must run the call.
	Run Kind = iota + 1
	// Replay means that the entry must return the recorded answer.
	Replay
	// Join means waiting for the call in flight with the same key.
	Join
	// Mismatch means that the key was used for a different call.
	Mismatch
	// Refused means that this request did not run the call.
	Refused
	// Unknown means that the call may have run.
	Unknown
)

// stateMachine holds the state of one request. It handles events in the order in which
// they occur, permits at most one run, and never reports a call as not run that may have
// run.
type stateMachine struct {
	phase    Phase
	outcome  applier.Outcome
	deadline time.Time
}

// handleClaim handles the result of ClaimGrant.
func (m *stateMachine) handleClaim(result applier.ClaimOutcome) Kind {
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

// abandon ends a call whose claim could not be committed. It will not run here.
func (m *stateMachine) abandon() bool {
	if m.phase != PhaseClaiming {
		return false
	}
	m.end(applier.OutcomeNotRun)
	return true
}

// beginSend reports whether the first byte may be sent now. If so, the call is considered
// as possibly run from now on.
func (m *stateMachine) beginSend(now time.Time) bool {
	switch {
	case m.phase == PhaseGranted && now.Before(m.deadline):
		m.phase = PhaseSent
		return true
	default:
		return false
	}
}

// undoSend reverts beginSend after an attempt of which no byte reached an endpoint.
func (m *stateMachine) undoSend() bool {
	if m.phase != PhaseSent {
		return false
	}
	m.phase = PhaseGranted
	return true
}

// finish ends the call with an outcome. Once the first byte was sent, a call counts as
// not run only if the service itself reported so.
func (m *stateMachine) finish(outcome applier.Outcome, fromService bool) (applier.Outcome, bool) {
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

func (m *stateMachine) end(outcome applier.Outcome) { m.phase, m.outcome = PhaseEnded, outcome }
