// Package operator is the HTTP API between operators' commands and a node:
// messages, server and client. It has its own address and token and must not be
// exposed to callers.
package operator

import (
	"net/netip"
	"time"
)

// Rules is a revision of the rules.
type Rules struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
	Lines    []Line `json:"lines"`
}

// Line is one rule, with the person and firm that requested it.
type Line struct {
	Number int    `json:"line"`
	Rule   string `json:"rule"`
	Asker  string `json:"asker"`
	Firm   string `json:"firm"`
}

// Change requests new rules that replace a base revision. It is idempotent: a change
// with the same id is accepted once.
type Change struct {
	ID     string `json:"id"`
	Base   uint64 `json:"base"`
	Text   string `json:"text"`
	Author string `json:"by"`
}

// ChangeResult is the answer to an accepted change.
type ChangeResult struct {
	Revision        uint64 `json:"revision"`
	AlreadyAccepted bool   `json:"again"` // the change had already been accepted
}

// Revision is one accepted change in the history.
type Revision struct {
	Revision   uint64    `json:"revision"`
	AcceptedAt time.Time `json:"at"`
	Author     string    `json:"by"`
	Change     string    `json:"change"`
	Added      []Line    `json:"added"`
	Removed    []Line    `json:"removed"`
}

// Member is a node as the answering node sees it.
type Member struct {
	ID          string   `json:"id"`
	Address     string   `json:"address"`
	Domain      string   `json:"domain"`
	Roles       []string `json:"roles"`
	State       string   `json:"state"`
	Incarnation uint64   `json:"incarnation"`
	Revision    uint64   `json:"revision"`
	Leader      bool     `json:"leader"`
}

// Endpoint is an endpoint as the answering node sees it.
type Endpoint struct {
	ID      string  `json:"id"`
	Service string  `json:"service"`
	Version string  `json:"version"`
	Domain  string  `json:"domain"`
	Address string  `json:"address"`
	Class   string  `json:"class"`
	Market  string  `json:"market"`
	Price   float64 `json:"price"`
	Leaving bool    `json:"leaving"`
	// LeavingFor is for how long the endpoint has been known to leave, in seconds.
	LeavingFor float64 `json:"leaving_for,omitempty"`
	InFlight   int     `json:"inflight"` // calls in flight from the answering node
}

// Waiting lists the live members that have not applied a revision yet.
type Waiting struct {
	Revision uint64   `json:"revision"`
	Members  []string `json:"members"`
}

// Move is a version move and its progress.
type Move struct {
	Service  string    `json:"service"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Deadline time.Time `json:"by"`
	Stage    string    `json:"stage"`
	Share    float64   `json:"share"` // percent
	Verdict  string    `json:"verdict"`
	Reason   string    `json:"reason"`
}

// Domain is a failure domain. Since is when its evacuation last began or ended; it is zero if none
// was ever ordered.
type Domain struct {
	Name      string    `json:"name"`
	Evacuated bool      `json:"evacuated"`
	Since     time.Time `json:"since"`
}

// State returns a word for whether the domain is evacuated.
func (d Domain) State() string {
	if d.Evacuated {
		return "evacuated"
	}
	return "serves"
}

// Claim is the record of an at-most-once call.
type Claim struct {
	Customer string    `json:"customer"`
	Key      string    `json:"key"`
	State    string    `json:"state"`
	Entry    string    `json:"entry"`
	Request  string    `json:"request"`
	Status   int       `json:"status"`
	Expires  time.Time `json:"expires"`
}

// Partition simulates a network partition: it lists the peers from which a node is
// partitioned. An empty list restores all links.
type Partition struct {
	Peers    []netip.AddrPort `json:"peers"`
	Inbound  bool             `json:"inbound"`
	Outbound bool             `json:"outbound"`
}

// Fault is the body of an answer whose status is not 200.
type Fault struct {
	Code            Code      `json:"code"`
	Message         string    `json:"message"`
	CurrentRevision uint64    `json:"current,omitempty"` // with CodeConflict: the revision in force
	Changes         *RuleDiff `json:"changes,omitempty"`
}

// RuleDiff holds the lines that differ between two revisions.
type RuleDiff struct {
	Added   []Line `json:"added"`
	Removed []Line `json:"removed"`
}

// Code is a machine-readable reason for a failure.
type Code string

// Failure codes.
const (
	// CodeInvalid means that the request is invalid.
	CodeInvalid Code = "invalid"
	// CodeConflict means that another change was accepted since the base revision.
	CodeConflict Code = "conflict"
	// CodeUnavailable means that nothing was done and the request may be repeated.
	CodeUnavailable Code = "unavailable"
	// CodeUnknown means that the change may have been accepted; repeat it with
	// the same id.
	CodeUnknown Code = "unknown"
	// CodeNotFound means that the requested object does not exist.
	CodeNotFound Code = "missing"
)

// Error returns the message.
func (f *Fault) Error() string { return f.Message }
