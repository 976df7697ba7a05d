// Package applier holds the replicated state: it executes committed commands in
// the order of the log. It is deterministic: time enters only inside commands.
package applier

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Command is one change of the replicated state. Exactly one of the pointer
// fields is set.
type Command struct {
	// At is the wall-clock time of the leader that appended the command, in
	// nanoseconds since 1970. The leader sets it.
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
}

// Encode returns the command as msgpack.
func (c Command) Encode() ([]byte, error) { return msgpack.Marshal(c) }

// Decode reads a command from msgpack.
func Decode(data []byte) (Command, error) {
	var c Command
	err := msgpack.Unmarshal(data, &c)
	return c, err
}

// RuleApply asks for a new revision of the rules on top of revision Base. A
// resent ChangeID gets the first answer again.
type RuleApply struct {
	ChangeID string `msgpack:"id"`
	Base     uint64 `msgpack:"base"`
	Text     string `msgpack:"text"`
	By       string `msgpack:"by"`
}

// RulesetPut replaces the ruleset in force if Number is higher than its number.
// Numbers come from outside, and their steps may be uneven.
type RulesetPut struct {
	Number uint64 `msgpack:"n"`
	// Body is the encoded ruleset that the nodes obey.
	Body []byte `msgpack:"b"`
	// Document is what the operator sent, which is read back unchanged.
	Document []byte `msgpack:"d"`
}

// MoveSet replaces the state of a service's version move if its number is still
// Base. The new state gets the number Base+1. A resent ID gets the first answer
// again as long as no later change was accepted.
type MoveSet struct {
	ID      string `msgpack:"id"`
	Service string `msgpack:"svc"`
	Base    uint64 `msgpack:"base"`
	Body    []byte `msgpack:"body"`
}

// FenceNext takes the next fencing number.
type FenceNext struct {
	// Holder says what the number is for; it is only for the state dump.
	Holder string `msgpack:"by"`
}

// IntentPut records that an instance is to be started or given back. The same
// ID is recorded once.
type IntentPut struct {
	ID      string `msgpack:"id"`
	Service string `msgpack:"svc"`
	Body    []byte `msgpack:"body"`
}

// IntentClose marks an intent as fulfilled or given up.
type IntentClose struct {
	ID string `msgpack:"id"`
}

// ClaimGrant asks for the right to run the call with a customer's key once.
type ClaimGrant struct {
	Customer string `msgpack:"c"`
	Key      string `msgpack:"k"`
	BodyHash string `msgpack:"h"`
	// Entry is the name of the asking entry and Request the id of its call.
	Entry   string `msgpack:"e"`
	Request string `msgpack:"r"`
	// Deadline is the end of the call, in nanoseconds since 1970.
	Deadline int64 `msgpack:"d"`
	// Keep is how long the record outlives the deadline, at most MaxKeep.
	Keep time.Duration `msgpack:"keep"`
}

// ClaimFinish records how a granted call ended. With the outcome OutcomeNotRun
// it also forbids the request id for good, so that a grant that arrives later
// never runs.
type ClaimFinish struct {
	Customer string  `msgpack:"c"`
	Key      string  `msgpack:"k"`
	Request  string  `msgpack:"r"`
	Outcome  Outcome `msgpack:"o"`
	Answer   *Answer `msgpack:"a,omitempty"`
}

// ClaimResolve replaces a running or unknown outcome by what the service's
// status path said: OutcomeDone or OutcomeNotRun.
type ClaimResolve struct {
	Customer string  `msgpack:"c"`
	Key      string  `msgpack:"k"`
	Request  string  `msgpack:"r"`
	Outcome  Outcome `msgpack:"o"`
	Answer   *Answer `msgpack:"a,omitempty"`
}

// Outcome says how a call that runs once ended.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeRunning marks a call that has been granted and has not ended.
	OutcomeRunning Outcome = "running"
	// OutcomeDone marks a call that ran and was answered.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun marks a call that did not run and will not.
	OutcomeNotRun Outcome = "notrun"
	// OutcomeUnknown marks a call of which nobody knows whether it ran.
	OutcomeUnknown Outcome = "unknown"
)

// Field is one header field of a recorded answer.
type Field struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Answer is the recorded answer of a finished call.
type Answer struct {
	Status int     `msgpack:"s"`
	Header []Field `msgpack:"h,omitempty"`
	Body   []byte  `msgpack:"b,omitempty"`
	// Cut is true when the body was larger than MaxAnswer and was not kept.
	Cut bool `msgpack:"cut,omitempty"`
}

// Result is the outcome of one command. The field that belongs to the command
// is set.
type Result struct {
	Rule    *RuleResult    `msgpack:"r,omitempty"`
	Ruleset *RulesetResult `msgpack:"s,omitempty"`
	Move    *MoveResult    `msgpack:"m,omitempty"`
	Fence   *Fence         `msgpack:"f,omitempty"`
	Intent  *IntentResult  `msgpack:"i,omitempty"`
	Claim   *ClaimResult   `msgpack:"c,omitempty"`
}

// RuleOutcome says whether a change of the rules was accepted.
type RuleOutcome string

// The outcomes of RuleApply.
const (
	RuleAccepted RuleOutcome = "accepted"
	RuleConflict RuleOutcome = "conflict"
)

// RuleResult answers RuleApply. Revision is the accepted revision, or on a
// conflict the one that was current.
type RuleResult struct {
	Outcome  RuleOutcome `msgpack:"o"`
	Revision uint64      `msgpack:"rev"`
	Hash     uint64      `msgpack:"hash"`
	By       string      `msgpack:"by"`
}

// RulesetResult answers RulesetPut. Number is the number in force afterwards.
type RulesetResult struct {
	Accepted bool   `msgpack:"ok"`
	Number   uint64 `msgpack:"n"`
}

// MoveResult answers MoveSet. On a conflict Number and Body are the current ones.
type MoveResult struct {
	Accepted bool   `msgpack:"ok"`
	Number   uint64 `msgpack:"n"`
	Body     []byte `msgpack:"body,omitempty"`
}

// Fence is a fencing number. Numbers are ordered by Term and then Count; Count
// alone rises too.
type Fence struct {
	Term  uint64 `msgpack:"t"`
	Count uint64 `msgpack:"n"`
}

// IntentResult answers IntentPut and IntentClose.
type IntentResult struct {
	// Created is true if this command recorded the intent.
	Created bool `msgpack:"new"`
	// Closed is true if the intent has been closed.
	Closed bool `msgpack:"closed"`
	// Known is false if IntentClose named an intent that is not recorded.
	Known bool `msgpack:"known"`
}

// ClaimOutcome is the answer to a command on a claim.
type ClaimOutcome string

// The answers to commands on claims.
const (
	// ClaimGranted lets exactly this request run the call.
	ClaimGranted ClaimOutcome = "granted"
	// ClaimJoined names the entry and request that run the call.
	ClaimJoined ClaimOutcome = "joined"
	// ClaimReplayed carries the recorded answer.
	ClaimReplayed ClaimOutcome = "replayed"
	// ClaimMismatch refuses a key that was used with another body.
	ClaimMismatch ClaimOutcome = "mismatch"
	// ClaimUnknown says that nobody knows whether the call ran.
	ClaimUnknown ClaimOutcome = "unknown"
	// ClaimRefused says that this request was released before and must not run.
	ClaimRefused ClaimOutcome = "refused"
	// ClaimFull says that the table has no room; the call did not run.
	ClaimFull ClaimOutcome = "full"
	// ClaimRecorded confirms ClaimFinish or ClaimResolve.
	ClaimRecorded ClaimOutcome = "recorded"
	// ClaimStale says that the request does not hold the claim, or that its
	// outcome is already recorded otherwise.
	ClaimStale ClaimOutcome = "stale"
)

// ClaimResult answers the commands on claims.
type ClaimResult struct {
	Outcome  ClaimOutcome `msgpack:"o"`
	Entry    string       `msgpack:"e,omitempty"`
	Request  string       `msgpack:"r,omitempty"`
	Deadline int64        `msgpack:"d,omitempty"`
	Answer   *Answer      `msgpack:"a,omitempty"`
}

// ClaimKey returns the customer and key of a command on a claim, else empty
// strings.
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
