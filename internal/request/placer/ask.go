package placer

import (
	"net/netip"
	"time"
)

// Endpoint is an endpoint as listed by the provider.
type Endpoint struct {
	ID          string
	Service     string
	Domain      string
	Version     string
	Address     netip.AddrPort
	Slots       int
	Leaving     bool
	Reclaimable bool
	// LeavingSince is when the endpoint was first known to have said to a node that it leaves,
	// and Born when it was started, in milliseconds since 1970; 0 if not known. Placing
	// depends on neither: notices do.
	LeavingSince int64
	Born         int64
	// ColdUntil is when the endpoint stops to be cold after its start, in cluster time, in
	// milliseconds since 1970; 0 if it is warm.
	ColdUntil int64
}

// PromptBlock is a hashed block of a prompt. Prompts that begin with the same blocks
// can share their KV cache entries.
type PromptBlock struct {
	ID     uint64
	Tokens int
}

// Load describes the calls in flight at one endpoint.
type Load struct {
	// InFlight is the number of calls in flight; Waiting is how many of them have not
	// produced their first event yet.
	InFlight int
	Waiting  int
	// PendingPrefill is the number of prompt tokens that are not processed yet.
	PendingPrefill int
	// KVTokens is the number of KV cache tokens reserved for these calls.
	KVTokens int
	// PrefillTokens is a number of prompt tokens that the endpoint has processed lately, and
	// PrefillTime how long it took, in milliseconds.
	PrefillTokens int
	PrefillTime   int
	// PendingFirst is the part of PendingPrefill of calls with priority 0, and PendingSecond
	// that of calls with priority 1.
	PendingFirst  int
	PendingSecond int
}

// ReportedLoad is the load that an endpoint reports of itself in an answer.
type ReportedLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes at this moment, relative to the usual time; 1 is usual.
	Slowdown float64
}

// Request describes a call for which an endpoint is to be chosen.
type Request struct {
	Service string
	// Domain is the failure domain of this node.
	Domain string
	Blocks []PromptBlock
	// Prompt and Answer are sizes in tokens. They are 0 for calls that do not
	// generate tokens.
	Prompt int
	Answer int
	// Priority is the priority of the call at endpoints; 0 is the most urgent.
	Priority int
	// MaxFirst is the longest acceptable time to the first event, and MaxQueueTime the
	// longest acceptable time until the endpoint starts to process the prompt.
	MaxFirst     time.Duration
	MaxQueueTime time.Duration
	// Reserve is the fraction of the slots and of the KV cache of an endpoint that the call
	// leaves free for more urgent ones.
	Reserve float64
	// KVSize is the size of an endpoint's KV cache in tokens, or 0 if it has none.
	KVSize int
	// Exclude lists the IDs of endpoints that must not be chosen, since they were
	// tried before.
	Exclude []string
	// Version, if not empty, is the only version that may be chosen. Unwanted are versions
	// that must not be chosen.
	Version  string
	Unwanted []string
	// RouteHomes and CustomerHomes are the regions in which the call may run; an empty list
	// allows all.
	RouteHomes    []string
	CustomerHomes []string
	Now           time.Time
	// Boot is the time of a clock that also counts suspension, by which pauses end.
	Boot time.Time
	// IsLastResort allows endpoints that have said not long ago that they leave. It is set
	// once no other endpoint was found.
	IsLastResort bool
	// Random is a random number in [0, 1) that breaks ties.
	Random float64
}

// Refusal is the reason why no endpoint was chosen.
type Refusal string

// The reasons for a refusal.
const (
	// RefusedNone means that an endpoint was chosen.
	RefusedNone Refusal = ""
	// RefusedEmpty means that the service has no eligible endpoint.
	RefusedEmpty Refusal = "no endpoint"
	// RefusedPaused means that all endpoints of the service asked for a pause.
	RefusedPaused Refusal = "endpoints paused"
	// RefusedCold means that all eligible endpoints are cold and get no call from this node now.
	RefusedCold Refusal = "endpoints cold"
	// RefusedEvacuated means that all endpoints of the service are in evacuated domains.
	RefusedEvacuated Refusal = "endpoints evacuated"
	// RefusedFull means that all eligible endpoints are full.
	RefusedFull Refusal = "endpoints full"
	// RefusedLate means that no endpoint is expected to begin its answer in time.
	RefusedLate Refusal = "too late"
)

// Choice is the endpoint chosen for a call, together with the load recorded there.
type Choice struct {
	endpoint       *endpoint
	listed         Endpoint      // as listed when it was chosen; the list may change it later
	predicted      time.Duration // time to the first event
	pendingPrefill int           // tokens that the endpoint has to prefill for this call
	queuedPrefill  int           // tokens that waited there before this call
	kvTokens       int           // KV cache tokens reserved for this call
	priority       int
	begun          [ranks]int // what the endpoint had counted when the call was placed
	started        time.Time
	hasFirst       bool // the first event has arrived
	isOnlyWaiter   bool // no other call was waiting for its first event
	isLastResort   bool // a leaving endpoint was allowed
	isEndedEarly   bool // ended without a complete answer
	isUnanswered   bool // ended without a byte of the answer
	isPlain        bool // chosen by the load that endpoints report
	isReportedFree bool // the endpoint reported free slots in its answer
	returning      *returning
	warm           *warmth   // nil if the endpoint need not warm up
	chargedAt      time.Time // when MaySend last allowed to send the call, if it warms up
}

// Endpoint returns the chosen endpoint, as it was listed then.
func (c *Choice) Endpoint() Endpoint { return c.listed }

// Predicted returns the expected time to the first event.
func (c *Choice) Predicted() time.Duration { return c.predicted }
