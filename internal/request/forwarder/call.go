package forwarder

import (
	"net/http"
	"time"

	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/request/placer"
)

// Call is one attempt of a caller, as the front has decoded it.
type Call struct {
	// ID is the caller's id of this attempt.
	ID     string
	Method string
	// Target is the request target as it was sent; Host and Path select the route.
	Target string
	Host   string
	Path   string
	// Header is passed on; it has no fields that concern only one connection.
	Header http.Header
	// Key is the caller's key, if IsKeyed.
	Key     string
	IsKeyed bool
	// Wait is how long the caller waits from Arrived on; 0 if it did not say.
	Wait    time.Duration
	Arrived time.Time
	// Parts are the parts of the prompt; Prompt and Answer are sizes in tokens, 0
	// if the call does not state them.
	Parts    []placer.Part
	Prompt   int
	Answer   int
	IsSized  bool
	Expected int // the caller's estimate of the size of the answer, 0 if none
	// After is the id of the last event that the caller has.
	After string
	// Size is the size of the body in bytes, -1 if it is not stated.
	Size int64
	// Body reads the body, within limit bytes.
	Body func(limit int64) ([]byte, Refusal)
}

// Order is what the system adds to a call for one attempt at an endpoint.
type Order struct {
	// Endpoint is the only one that may run the call.
	Endpoint string
	// Left is how long the caller still waits.
	Left time.Duration
	// Customer is the name of the customer, empty for callers without a key.
	Customer string
	// Rank orders calls at the endpoint; 0 goes first.
	Rank int
	// After is the id of the last event that need not be sent again.
	After string
}

// Reply is the head of an endpoint's answer.
type Reply struct {
	// ID is the id of the call that is answered.
	ID string
	// IsNotRun says that the endpoint did not run the call.
	IsNotRun bool
	// IsElsewhere says that another endpoint has the address, or that it leaves.
	IsElsewhere bool
	// IsSealed says that the answer bears the endpoint's seal.
	IsSealed bool
	// IsClosing says that the endpoint closes the connection after the answer.
	IsClosing bool
}

// Refusal says why the system itself ended a call.
type Refusal string

// The refusals. All but the last two are true promises: the call did not run.
const (
	// None means that the call was not refused.
	None Refusal = ""
	// Unready means that the node does not know the rules that are in force.
	Unready Refusal = "rules not confirmed"
	// Malformed means that the request can't be served as it is.
	Malformed Refusal = "malformed request"
	// TooLarge means that the body is larger than allowed.
	TooLarge Refusal = "body too large"
	// Unauthorized means that the key is missing or unknown.
	Unauthorized Refusal = "unknown key"
	// NoRoute means that no route matches.
	NoRoute Refusal = "no route"
	// OverQuota means that the customer is over its limit.
	OverQuota Refusal = "over the limit"
	// Busy means that there is no capacity in time.
	Busy Refusal = "no capacity"
	// Unknown means that the call was sent and its answer did not come; it may
	// have run.
	Unknown Refusal = "answer lost"
	// TimedOut means that the time for the call ended; it may have run.
	TimedOut Refusal = "timed out"
)

// Result is what became of a call, for logs and metrics.
type Result struct {
	Route    string
	Customer string
	Kind     registrar.Kind
	Endpoint string
	Status   int
	Refusal  Refusal
	// Detail says more of the cause.
	Detail   string
	Attempts int
	// First is the time until the first byte of the answer.
	First time.Duration
	// Predicted is when it was expected at the last endpoint.
	Predicted time.Duration
	Took      time.Duration
}
