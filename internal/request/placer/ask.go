package placer

import (
	"net/netip"
	"time"
)

// Endpoint is an endpoint as the provider lists it.
type Endpoint struct {
	ID          string
	Service     string
	Domain      string
	Version     string
	Address     netip.AddrPort
	Slots       int
	Leaving     bool
	Reclaimable bool
}

// Part is one part of a prompt. Prompts that begin with the same parts share them.
type Part struct {
	ID     uint64
	Tokens int
}

// Load is what runs at one endpoint.
type Load struct {
	// Calls run or wait, and Waiting of them have not begun.
	Calls   int
	Waiting int
	// Unread is the number of prompt tokens that are still to be read.
	Unread int
	// Held is the number of tokens in memory for these calls.
	Held int
}

// Ask describes a call that is to be placed.
type Ask struct {
	Service string
	// Domain is that of this node.
	Domain string
	Parts  []Part
	// Prompt and Answer are sizes in tokens; 0 for calls that don't generate.
	Prompt int
	Answer int
	// Patience is how long the first event may take at most, and Queue how long
	// the call may wait until its own prompt is read.
	Patience time.Duration
	Queue    time.Duration
	// Memory is the size of an endpoint's memory in tokens, 0 if it has none.
	Memory int
	// Avoid holds ids of endpoints that were tried.
	Avoid []string
	// Version is the only version that is wanted, if it is not empty; Unwanted is
	// one that is not.
	Version  string
	Unwanted string
	Now      time.Time
	// Point is a random number below 1 that breaks ties.
	Point float64
}

// Refusal says why a call was not placed.
type Refusal string

// The refusals.
const (
	// RefusedNone means that the call was placed.
	RefusedNone Refusal = ""
	// RefusedEmpty means that there is no endpoint.
	RefusedEmpty Refusal = "no endpoint"
	// RefusedFull means that all endpoints are full.
	RefusedFull Refusal = "endpoints full"
	// RefusedLate means that no endpoint would begin in time.
	RefusedLate Refusal = "too late"
)

// Choice is where a call is placed.
type Choice struct {
	endpoint  *endpoint
	predicted time.Duration // until the first event
	unread    int           // tokens that the endpoint has to read for it
	held      int           // tokens in memory for it
	began     time.Time
	hasBegun  bool // its first event came
	isAlone   bool // nothing else was to be read before it
}

// Endpoint returns the endpoint as listed.
func (c *Choice) Endpoint() Endpoint { return c.endpoint.Endpoint }

// Predicted returns how long the first event is expected to take.
func (c *Choice) Predicted() time.Duration { return c.predicted }
