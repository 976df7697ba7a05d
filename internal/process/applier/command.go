// Package applier holds the replicated state. It executes committed commands in the order of the log and is
// deterministic: the time is read only from the commands.
package applier

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Command is one change of the replicated state. Exactly one of the pointer fields is set.
type Command struct {
	// At is the cluster time at which the command was appended, in nanoseconds since 1970. The leader sets it.
	At int64 `msgpack:"at,omitempty"`

	RuleApply    *RuleApply    `msgpack:"ra,omitempty"`
	RulesetPut   *RulesetPut   `msgpack:"rp,omitempty"`
	MoveSet      *MoveSet      `msgpack:"ms,omitempty"`
	FenceNext    *FenceNext    `msgpack:"fn,omitempty"`
	IntentPut    *IntentPut    `msgpack:"ip,omitempty"`
	IntentClose  *IntentClose  `msgpack:"ic,omitempty"`
	ClaimGrant   *ClaimGrant   `msgpack:"cg,omitempty"`
	ClaimFinish  *ClaimFinish  `msgpack:"cf,omitempty"`
	ClaimResolve *ClaimResolve `msgpack:"cr,omitempty"`

	EvacuationSet *EvacuationSet `msgpack:"es,omitempty"`
}

// Encode returns the command as msgpack.
func (c Command) Encode() ([]byte, error) { return msgpack.Marshal(c) }

// PayloadSize returns the size of the fields that grow with what operators submit, in bytes.
func (c *Command) PayloadSize() int {
	switch {
	case c.RulesetPut != nil:
		return len(c.RulesetPut.Body) + len(c.RulesetPut.Document)
	case c.RuleApply != nil:
		return len(c.RuleApply.Text)
	case c.MoveSet != nil:
		return len(c.MoveSet.Body)
	default:
		return 0
	}
}

// Decode decodes a command from msgpack.
func Decode(data []byte) (Command, error) {
	var c Command
	err := msgpack.Unmarshal(data, &c)
	return c, err
}

// RuleApply requests a new revision of the rules on top of revision Base. A resent ChangeID gets the result of
// the first attempt.
type RuleApply struct {
	ChangeID string `msgpack:"id"`
	Base     uint64 `msgpack:"base"`
	Text     string `msgpack:"text"`
	Author   string `msgpack:"by"`
}

// RulesetPut replaces the ruleset in force if Number is higher than its number. The sender chooses the
// numbers, which need not be consecutive.
type RulesetPut struct {
	Number uint64 `msgpack:"n"`
	// Body is the encoded and compressed ruleset that the nodes apply.
	Body []byte `msgpack:"b"`
	// Document is the ruleset as the operator sent it, compressed; it is returned to operators unchanged.
	Document []byte `msgpack:"d"`
}

// MoveSet replaces the state of a service's version move if its number is still Base. The new state gets the
// number Base+1. A resent ID gets the result of the first attempt, unless a later change was accepted.
type MoveSet struct {
	ID      string `msgpack:"id"`
	Service string `msgpack:"svc"`
	Base    uint64 `msgpack:"base"`
	Body    []byte `msgpack:"body"`
}

// FenceNext allocates the next fencing number.
type FenceNext struct {
	// Holder is what the number is used for. It is only informative and does not become part of the state.
	Holder string `msgpack:"by"`
}

// IntentPut records an Intent. An ID is recorded only once.
type IntentPut struct {
	ID      string `msgpack:"id"`
	Service string `msgpack:"svc"`
	Body    []byte `msgpack:"body"`
}

// IntentClose marks an intent as fulfilled or abandoned.
type IntentClose struct {
	ID string `msgpack:"id"`
}

// ClaimGrant requests the right to run the call with a customer's key at most once.
type ClaimGrant struct {
	Customer string `msgpack:"c"`
	Key      string `msgpack:"k"`
	BodyHash string `msgpack:"h"`
	// Entry is the name of the requesting entry and Request the ID of its call.
	Entry   string `msgpack:"e"`
	Request string `msgpack:"r"`
	// Deadline is the deadline of the call, in nanoseconds since 1970.
	Deadline int64 `msgpack:"d"`
	// Retention is how long the claim is retained after the deadline, at most MaxRetention.
	Retention time.Duration `msgpack:"keep"`
}

// ClaimFinish records how a granted call ended. With OutcomeNotRun it also forbids the request ID permanently,
// so that a grant of the request that arrives later is refused.
type ClaimFinish struct {
	Customer string  `msgpack:"c"`
	Key      string  `msgpack:"k"`
	Request  string  `msgpack:"r"`
	Outcome  Outcome `msgpack:"o"`
	Answer   *Answer `msgpack:"a,omitempty"`
}

// ClaimResolve replaces a running or unknown outcome by the one that the service's status path reported:
// OutcomeDone or OutcomeNotRun.
type ClaimResolve struct {
	Customer string  `msgpack:"c"`
	Key      string  `msgpack:"k"`
	Request  string  `msgpack:"r"`
	Outcome  Outcome `msgpack:"o"`
	Answer   *Answer `msgpack:"a,omitempty"`
}

// EvacuationSet starts or ends the evacuation of a failure domain if the domain's evacuation still has the number
// Base. An order that finds the domain in the wanted state changes nothing.
type EvacuationSet struct {
	Domain    string `msgpack:"d"`
	Evacuated bool   `msgpack:"e"`
	Base      uint64 `msgpack:"base"`
}

// Outcome is how an at-most-once call ended.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeRunning means that the call was granted and has not ended.
	OutcomeRunning Outcome = "running"
	// OutcomeDone means that the call ran and was answered.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the call did not run and never will.
	OutcomeNotRun Outcome = "notrun"
	// OutcomeUnknown means that it cannot be determined whether the call ran.
	OutcomeUnknown Outcome = "unknown"
)

// Field is one header field of a recorded answer.
type Field struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Answer is the recorded answer to a finished call.
type Answer struct {
	Status int     `msgpack:"s"`
	Header []Field `msgpack:"h,omitempty"`
	Body   []byte  `msgpack:"b,omitempty"`
	// Truncated is true if the body was too large and was not recorded.
	Truncated bool `msgpack:"cut,omitempty"`
}

// Result is the result of one command. The field that corresponds to the command is set.
type Result struct {
	Rule    *RuleResult    `msgpack:"r,omitempty"`
	Ruleset *RulesetResult `msgpack:"s,omitempty"`
	Move    *MoveResult    `msgpack:"m,omitempty"`
	Fence   *Fence         `msgpack:"f,omitempty"`
	Intent  *IntentResult  `msgpack:"i,omitempty"`
	Claim   *ClaimResult   `msgpack:"c,omitempty"`
	// Evacuation is the domain's evacuation after EvacuationSet.
	Evacuation *Evacuation `msgpack:"e,omitempty"`
}

// RuleOutcome is whether a change of the rules was accepted.
type RuleOutcome string

// The outcomes of RuleApply.
const (
	RuleAccepted RuleOutcome = "accepted"
	RuleConflict RuleOutcome = "conflict"
)

// RuleResult is the result of RuleApply. Revision is the accepted revision or, on a conflict, the current one.
type RuleResult struct {
	Outcome  RuleOutcome `msgpack:"o"`
	Revision uint64      `msgpack:"rev"`
	Hash     uint64      `msgpack:"hash"`
	Author   string      `msgpack:"by"`
}

// RulesetResult is the result of RulesetPut. Number is the number of the ruleset then in force.
type RulesetResult struct {
	Accepted bool   `msgpack:"ok"`
	Number   uint64 `msgpack:"n"`
}

// MoveResult is the result of MoveSet. On a conflict, Number and Body are the current ones.
type MoveResult struct {
	Accepted bool   `msgpack:"ok"`
	Number   uint64 `msgpack:"n"`
	Body     []byte `msgpack:"body,omitempty"`
}

// Fence is a fencing number. Fencing numbers are ordered by Term, then by Count. Count is not reset in a new
// term, so that it also orders them alone.
type Fence struct {
	Term  uint64 `msgpack:"t"`
	Count uint64 `msgpack:"n"`
}

// IntentResult is the result of IntentPut and IntentClose.
type IntentResult struct {
	// Created is true if this command recorded the intent.
	Created bool `msgpack:"new"`
	// Closed is true if the intent has been closed.
	Closed bool `msgpack:"closed"`
	// Known is false if IntentClose named an intent that is not recorded.
	Known bool `msgpack:"known"`
}

// ClaimOutcome is the outcome of a command on a claim.
type ClaimOutcome string

// The outcomes of commands on claims.
const (
	// ClaimGranted means that exactly this request may run the call.
	ClaimGranted ClaimOutcome = "granted"
	// ClaimJoined means that another request runs the call; the result names it and its entry.
	ClaimJoined ClaimOutcome = "joined"
	// ClaimReplayed means that the call was answered before; the result has the recorded answer.
	ClaimReplayed ClaimOutcome = "replayed"
	// ClaimMismatch means that the key was used with another body.
	ClaimMismatch ClaimOutcome = "mismatch"
	// ClaimUnknown means that it cannot be determined whether the call ran.
	ClaimUnknown ClaimOutcome = "unknown"
	// ClaimRefused means that the request was released before and must not run.
	ClaimRefused ClaimOutcome = "refused"
	// ClaimFull means that the table has no space; the call did not run.
	ClaimFull ClaimOutcome = "full"
	// ClaimRecorded means that ClaimFinish or ClaimResolve was recorded.
	ClaimRecorded ClaimOutcome = "recorded"
	// ClaimStale means that the request does not hold the claim, or that another outcome has already been
	// recorded.
	ClaimStale ClaimOutcome = "stale"
)

// ClaimResult is the result of a command on a claim.
type ClaimResult struct {
	Outcome  ClaimOutcome `msgpack:"o"`
	Entry    string       `msgpack:"e,omitempty"`
	Request  string       `msgpack:"r,omitempty"`
	Deadline int64        `msgpack:"d,omitempty"`
	Answer   *Answer      `msgpack:"a,omitempty"`
}

// ClaimKey returns the customer and the key of a command on a claim, otherwise empty strings.
func (c Command) ClaimKey() (customer, key string) {
	switch {
	case c.ClaimGrant != nil:
		return c.ClaimGrant.Customer, c.ClaimGrant.Key
	case c.ClaimFinish != nil:
		return c.ClaimFinish.Customer, c.ClaimFinish.Key
	case c.ClaimResolve != nil:
		return c.ClaimResolve.Customer, c.ClaimResolve.Key
	}
	return "", ""
}
