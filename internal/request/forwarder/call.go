package forwarder

import (
	"net/http"
	"time"

	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/placer"
)

// Call is one request of a caller, as decoded by the front end. A caller that retries
// makes another Call.
type Call struct {
	// ID is the caller's ID of this request. The answer of the endpoint repeats it.
	ID     string
	Method string
	// Target is the request target as received; Host and Path select the route.
	Target string
	Host   string
	Path   string
	// Header is sent to the endpoint. It contains no hop-by-hop fields.
	Header http.Header
	// Key is the caller's API key; it is set only if IsKeyed.
	Key     string
	IsKeyed bool
	// MaxWait is how long the caller waits, starting at Arrived; 0 if not stated.
	MaxWait time.Duration
	Arrived time.Time
	// Blocks are the blocks of the prompt. Prompt and Answer are sizes in tokens,
	// which are stated if IsSized. IsMissized reports that sizes are stated that can't
	// be read.
	Blocks         []placer.PromptBlock
	Prompt         int
	Answer         int
	IsSized        bool
	IsMissized     bool
	ExpectedAnswer int // estimated size of the answer in tokens, 0 if not stated
	// After is the ID of the last event that the caller has received.
	After string
	// Size is the size of the body in bytes, -1 if it is not stated.
	Size int64
	// Body reads the body, within limit bytes.
	Body func(limit int64) ([]byte, Refusal)
}

// AttemptMetadata is the metadata that is added to a call for one attempt.
type AttemptMetadata struct {
	// Endpoint is the ID of the only endpoint that may run the call.
	Endpoint string
	// Remaining is the time remaining until the call's deadline.
	Remaining time.Duration
	// Customer is the name of the customer, empty for unknown callers.
	Customer string
	// Priority is the priority of the call at the endpoint; 0 is the most urgent.
	Priority int
	// After is the ID of the event after which a stream is to be resumed, empty for
	// the whole stream.
	After string
}

// Reply is the head of an endpoint's answer.
type Reply struct {
	// ID is the ID of the answered call.
	ID string
	// IsNotRun reports that the endpoint did not run the call.
	IsNotRun bool
	// IsMisdirected reports that another endpoint has this address, or that the
	// endpoint is leaving.
	IsMisdirected bool
	// IsSealed reports that the answer has the endpoint's seal.
	IsSealed bool
	// IsClosing reports that the endpoint closes the connection after the answer.
	IsClosing bool
	// IsLeaving reports that the endpoint says that it is leaving.
	IsLeaving bool
	// Pause is how long the endpoint wants no calls from this node; 0 if it does not say.
	Pause time.Duration
	// Load is the load that the endpoint reports of itself; nil if it does not say.
	Load *placer.ReportedLoad
	// ColdRemaining is how long the endpoint is still cold after its start; 0 if it is warm
	// or does not say.
	ColdRemaining time.Duration
}

// Refusal is the reason why the system itself ended a call.
type Refusal string

// The reasons for a refusal. All except Unknown and TimedOut guarantee that the call
// did not run.
const (
	// None means that the call was not refused.
	None Refusal = ""
	// Unready means that the node does not know whether its rules are current.
	Unready Refusal = "rules not confirmed"
	// Malformed means that the request cannot be served as it is.
	Malformed Refusal = "malformed request"
	// TooLarge means that the body exceeds the limit.
	TooLarge Refusal = "body too large"
	// Missized means that the sizes of the call can't be read.
	Missized Refusal = "malformed sizes; state two whole numbers of tokens, such as 1460,80"
	// Oversized means that the prompt is larger than the memory of an endpoint.
	Oversized Refusal = "prompt larger than an endpoint's memory"
	// Unauthorized means that the key is missing or unknown.
	Unauthorized Refusal = "unknown key"
	// NoRoute means that no route matches.
	NoRoute Refusal = "no route"
	// Stopping means that the node stops, and that the call may not end before.
	Stopping Refusal = "the node is stopping"
	// OverQuota means that the customer is over its limit.
	OverQuota Refusal = "over the limit"
	// BeyondQuota means that the call alone is larger than the customer's limit ever allows.
	BeyondQuota Refusal = "larger than the limit; state a smaller size"
	// AllowanceUnknown means that no keeper said in time whether the customer is within its
	// limit.
	AllowanceUnknown Refusal = "allowance unknown"
	// Busy means that no capacity is available in time.
	Busy Refusal = "no capacity"
	// Crowded means that the memory for requests is used up.
	Crowded Refusal = "no memory for the body"
	// TooSlow means that the body did not arrive in time.
	TooSlow Refusal = "body too slow"
	// Isolated means that the request, or a block of its prompt, crashes endpoints.
	Isolated Refusal = "request crashes endpoints"
	// Unknown means that the call was sent and no complete answer arrived; it may
	// have run.
	Unknown Refusal = "answer lost"
	// TimedOut means that the deadline passed after the call was sent; it may have
	// run.
	TimedOut Refusal = "timed out"
)

// Result describes how a call ended, for logs and metrics.
type Result struct {
	Route    string
	Customer string
	Kind     registrar.Kind
	Endpoint string
	Status   int
	Refusal  Refusal
	// Detail describes the cause.
	Detail   string
	Attempts int
	// First is the time to the first byte of the answer.
	First time.Duration
	// Predicted is the time to the first event that was predicted for the last
	// endpoint.
	Predicted time.Duration
	Took      time.Duration
	// Priority is the priority of the call; 0 is the most urgent.
	Priority int
	// Shortage is why no endpoint took the call, if capacity was short: it would have queued for
	// Queue, or an unknown time if that is 0, and was allowed to queue for Allowed.
	Shortage placer.Refusal
	Queue    time.Duration
	Allowed  time.Duration
	// Told is the retry delay that a refused caller was told.
	Told time.Duration
	// Fingerprint identifies the request if the refusal is Isolated.
	Fingerprint uint64
}
