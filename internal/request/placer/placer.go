// Package placer chooses the endpoint of a call. It predicts for each candidate
// when the first event would come, from the calls of this node, what other nodes
// report, and the parts of prompts that the endpoint still holds, and it refuses
// calls that no endpoint can answer in time. It does no input or output.
package placer

import (
	"cmp"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// startRate is the speed at which an endpoint is thought to read prompts
	// before it has been measured, in tokens per millisecond.
	startRate = 30.0
	// rateWeight is the weight of one measurement of that speed.
	rateWeight = 0.1
	// minMeasured is the size in tokens from which a prompt tells the speed.
	minMeasured = 800
	// heldShare is the part of an endpoint's memory that is thought to hold parts
	// of prompts; the rest is taken by running calls.
	heldShare = 0.6
	// fullShare is the part of an endpoint's memory up to which calls are placed.
	fullShare = 0.9
	// homeShare is how likely the home of a prompt holds the parts of which this
	// node knows nothing, because other nodes send them there too.
	homeShare = 0.6
	// readPrice is what a token that is read again counts beyond its time.
	readPrice = 0.35
	// farPrice is what an endpoint of another failure domain counts, in ms.
	farPrice = 2.0
	// runPrice is what each running call counts, in ms: it slows the others.
	runPrice = 0.8
	// failWeight is the weight of one outcome in an endpoint's failure share.
	failWeight = 0.12
	// failPrice is what a certain failure counts, in ms.
	failPrice = 4000.0
	// firstPause and lastPause bound how long an endpoint that cannot be reached
	// is left out.
	firstPause = 300 * time.Millisecond
	lastPause  = 4 * time.Second
	// narrowFrom is the number of endpoints from which only some are weighed.
	narrowFrom = 24
	// narrowTo is how many homes of a prompt are weighed then, and randomly chosen ones.
	narrowTo = 5
	// peerAge is how old reports of other nodes may be before they count no more.
	peerAge = 2 * time.Second
	// queueShare is the number of calls beyond its slots that an endpoint may have,
	// as a part of the slots.
	queueShare = 0.15
)

// endpoint is what is known of an endpoint.
type endpoint struct {
	Endpoint
	hash    uint64
	own     Load
	peers   Load
	rate    float64 // prompt tokens per millisecond
	fails   float64 // share of calls that failed lately
	pause   time.Duration
	paused  time.Time // left out until then
	held    map[uint64]time.Time
	heldSum int
	sizes   map[uint64]int
}

// Placer places the calls of one node. It is safe for concurrent use.
type Placer struct {
	mu       sync.Mutex
	services map[string][]*endpoint
	byID     map[string]*endpoint
	places   []*endpoint // in the order of the list
	peersAt  time.Time
}

// New returns a placer that knows no endpoint.
func New() *Placer {
	return &Placer{services: make(map[string][]*endpoint), byID: make(map[string]*endpoint)}
}

// SetEndpoints replaces the list of endpoints; places of those without an ID are
// empty. What is known of those that stay is kept; one that comes back at another
// address is a new one.
func (p *Placer) SetEndpoints(list []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byID := make(map[string]*endpoint, len(list))
	p.services = make(map[string][]*endpoint)
	p.places = p.places[:0]
	rates := p.typicalRates()
	for _, listed := range list {
		if listed.ID == "" {
			p.places = append(p.places, nil)
			continue
		}
		e := p.byID[listed.ID]
		if e == nil || e.Address != listed.Address || e.Service != listed.Service {
			e = &endpoint{
				hash: xxhash.Sum64String(listed.ID), rate: cmp.Or(rates[listed.Service], startRate),
				held: make(map[uint64]time.Time), sizes: make(map[uint64]int),
			}
		}
		e.Endpoint = listed
		byID[listed.ID] = e
		p.services[listed.Service] = append(p.services[listed.Service], e)
		p.places = append(p.places, e)
	}
	p.byID = byID
}

// typicalRates returns the mean speed of the known endpoints by service.
func (p *Placer) typicalRates() map[string]float64 {
	sums, counts := make(map[string]float64), make(map[string]float64)
	for _, e := range p.byID {
		sums[e.Service] += e.rate
		counts[e.Service]++
	}
	for service, n := range counts {
		sums[service] /= n
	}
	return sums
}

// SetPeers notes what the other nodes report of the endpoints, by their place in
// the list.
func (p *Placer) SetPeers(loads map[int]Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peersAt = now
	for place, e := range p.places {
		if e != nil {
			e.peers = loads[place]
		}
	}
}

// Loads returns what this node has under way, by place in the list.
func (p *Placer) Loads() map[int]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[int]Load)
	for place, e := range p.places {
		if e != nil && e.own != (Load{}) {
			out[place] = e.own
		}
	}
	return out
}

// Has reports whether the service has an endpoint that takes work.
func (p *Placer) Has(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.services[service] {
		if !e.Leaving {
			return true
		}
	}
	return false
}

// IsLeaving reports whether the endpoint with the id leaves, or is not listed.
func (p *Placer) IsLeaving(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byID[id]
	return e == nil || e.Leaving
}

// IsKnown reports whether an endpoint of the list has the address.
func (p *Placer) IsKnown(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.places {
		if e != nil && e.Address == address {
			return true
		}
	}
	return false
}

// Place chooses an endpoint and counts the call there. Every choice must be
// ended by End. The duration is how long it takes until a refused call may be
// placed, as far as that can be told.
func (p *Placer) Place(ask *Ask) (*Choice, Refusal, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestCost := (*endpoint)(nil), math.Inf(1)
	var bestFirst float64
	refusal := RefusedEmpty
	soonest := math.Inf(1)
	homes := newHomes(ask)
	for _, e := range p.candidates(ask, homes) {
		if !e.fits(ask) {
			continue
		}
		if p.isFull(e, ask) {
			refusal = RefusedFull
			continue
		}
		first, cost, late := p.weigh(e, ask, homes)
		if late > 0 {
			refusal, soonest = RefusedLate, min(soonest, late)
			continue
		}
		if cost < bestCost {
			best, bestCost, bestFirst = e, cost, first
		}
	}
	if best == nil {
		if refusal != RefusedLate {
			return nil, refusal, 0
		}
		return nil, refusal, time.Duration(soonest * float64(time.Millisecond))
	}
	return p.begin(best, ask, bestFirst), RefusedNone, 0
}

func (e *endpoint) fits(ask *Ask) bool {
	if e.Leaving || ask.Now.Before(e.paused) {
		return false
	}
	if ask.Version != "" && e.Version != ask.Version || ask.Unwanted != "" && e.Version == ask.Unwanted {
		return false
	}
	for _, id := range ask.Avoid {
		if id == e.ID {
			return false
		}
	}
	return true
}

// peersOf returns what other nodes reported, unless that is too old.
func (p *Placer) peersOf(e *endpoint, now time.Time) Load {
	if now.Sub(p.peersAt) > peerAge {
		return Load{}
	}
	return e.peers
}

func (p *Placer) isFull(e *endpoint, ask *Ask) bool {
	peers := p.peersOf(e, ask.Now)
	calls := e.own.Calls + peers.Calls
	if e.Slots > 0 && float64(calls) >= float64(e.Slots)*(1+queueShare) {
		return true
	}
	held := e.own.Held + peers.Held + ask.Prompt + ask.Answer
	return ask.Memory > 0 && calls > 0 && float64(held) > fullShare*float64(ask.Memory)
}

// weigh returns in how many milliseconds the first event is expected, the cost by
// which endpoints compare, and by how many milliseconds that is too late.
func (p *Placer) weigh(e *endpoint, ask *Ask, homes *homes) (first, cost, late float64) {
	peers := p.peersOf(e, ask.Now)
	unread := float64(e.unreadOf(ask, homes))
	queue := float64(e.own.Unread+peers.Unread) / e.rate
	first = queue + unread/e.rate
	if ask.Prompt > 0 {
		late = max(queue-milliseconds(ask.Queue), first-milliseconds(ask.Patience), 0)
	}
	calls := float64(e.own.Calls + peers.Calls)
	cost = first + readPrice*unread/e.rate + runPrice*calls + failPrice*e.fails*e.fails
	if e.Slots > 0 {
		// Plain calls take their turn by slots; a call more than the slots waits.
		over := calls + 1 - float64(e.Slots)
		if over > 0 {
			cost += over * 20
		}
		if ask.Prompt == 0 {
			cost += 6 * calls / float64(e.Slots)
		}
	}
	if e.Domain != ask.Domain {
		cost += farPrice
	}
	return first, cost + ask.Point*0.01*float64(e.hash%97), late
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// unreadOf estimates how many tokens of the prompt the endpoint has to read.
func (e *endpoint) unreadOf(ask *Ask, homes *homes) int {
	known := 0
	for i, part := range ask.Parts {
		if i == len(ask.Parts)-1 && i > 0 {
			break // the last part is the call's own
		}
		if _, ok := e.held[part.ID]; !ok {
			break
		}
		known += part.Tokens
	}
	rest := ask.Prompt - known
	if homes.shared > known && homes.isHome(e) {
		rest -= int(homeShare * float64(homes.shared-known))
	}
	return max(rest, 0)
}

func (p *Placer) begin(e *endpoint, ask *Ask, first float64) *Choice {
	c := &Choice{
		endpoint: e, predicted: time.Duration(first * float64(time.Millisecond)), began: ask.Now,
		unread: e.unreadOf(ask, &homes{}), held: ask.Prompt + ask.Answer,
		isAlone: e.own.Waiting+p.peersOf(e, ask.Now).Waiting == 0,
	}
	e.own.Calls++
	e.own.Waiting++
	e.own.Unread += c.unread
	e.own.Held += c.held
	e.remember(ask)
	return c
}

// remember notes that the endpoint will hold the parts of the prompt.
func (e *endpoint) remember(ask *Ask) {
	for _, part := range ask.Parts {
		if _, ok := e.held[part.ID]; !ok {
			e.heldSum += part.Tokens
			e.sizes[part.ID] = part.Tokens
		}
		e.held[part.ID] = ask.Now
	}
	for limit := int(heldShare * float64(ask.Memory)); e.heldSum > limit && len(e.held) > 0; {
		e.forgetOldest()
	}
}

// forgetOldest drops the least recently used of a few parts.
func (e *endpoint) forgetOldest() {
	const sample = 8
	var oldest uint64
	var at time.Time
	n := 0
	for id, used := range e.held {
		if n == 0 || used.Before(at) {
			oldest, at = id, used
		}
		if n++; n == sample {
			break
		}
	}
	e.heldSum -= e.sizes[oldest]
	delete(e.held, oldest)
	delete(e.sizes, oldest)
}

// First notes that the first event of a call came.
func (p *Placer) First(c *Choice, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.first(c, now)
}

func (p *Placer) first(c *Choice, now time.Time) {
	if c.hasBegun {
		return
	}
	c.hasBegun = true
	e := c.endpoint
	e.own.Waiting--
	e.own.Unread -= c.unread
	if took := float64(now.Sub(c.began)) / float64(time.Millisecond); c.isAlone && c.unread >= minMeasured && took > 0 {
		e.rate += rateWeight * (float64(c.unread)/took - e.rate)
	}
}

// Outcome says how a call ended at its endpoint.
type Outcome int

// The outcomes.
const (
	// Answered means that the whole answer came.
	Answered Outcome = iota
	// Failed means that the endpoint answered with a failure or broke off.
	Failed
	// Unreached means that no connection could be made.
	Unreached
	// Rejected means that the endpoint did not run the call, since it was full.
	Rejected
	// Moved means that the endpoint is another one than the list says, or leaves.
	Moved
	// Abandoned means that the caller left or its time was over.
	Abandoned
)

// End notes how a call ended.
func (p *Placer) End(c *Choice, outcome Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := c.endpoint
	c.isAlone = c.isAlone && outcome == Answered
	p.first(c, now)
	e.own.Calls--
	e.own.Held -= c.held
	switch outcome {
	case Answered:
		e.fails -= failWeight * e.fails
		e.pause = 0
	case Failed:
		e.fails += failWeight * (1 - e.fails)
	case Unreached, Moved:
		e.fails += failWeight * (1 - e.fails)
		e.pause = min(max(2*e.pause, firstPause), lastPause)
		e.paused = now.Add(e.pause)
		clear(e.held)
		clear(e.sizes)
		e.heldSum = 0
	case Rejected:
		e.paused = now.Add(firstPause / 4)
	case Abandoned:
	}
}
