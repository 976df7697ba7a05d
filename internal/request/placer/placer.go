// Package placer chooses the endpoint of a call. For each candidate it predicts the
// time to the first event from the calls of this node, the loads reported by other
// nodes, and the prompt blocks that the endpoint is assumed to have cached. It
// refuses a call if no endpoint is expected to produce the first event in time. It
// performs no I/O.
package placer

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// initialPrefillRate is the prefill rate assumed for an endpoint that has not
	// been measured yet, in tokens per millisecond.
	initialPrefillRate = 30.0
	// prefillRateSmoothing is the weight of a new measurement of the prefill rate.
	prefillRateSmoothing = 0.1
	// minMeasuredPrompt is the smallest number of prefilled tokens from which the
	// prefill rate is measured.
	minMeasuredPrompt = 800
	// cacheFraction is the fraction of an endpoint's KV cache assumed to hold
	// reusable prompt blocks. The rest is used by calls in flight.
	cacheFraction = 0.6
	// fullFraction is the fraction of an endpoint's KV cache up to which calls are
	// placed there.
	fullFraction = 0.9
	// affinityHitRatio is the assumed probability that the affinity endpoint of a
	// prompt has cached blocks that this node has not sent there, since other nodes
	// send them there too.
	affinityHitRatio = 0.6
	// prefillPenalty is the extra cost of prefilling a token, relative to the time it
	// takes.
	prefillPenalty = 0.35
	// remotePenalty is the cost of an endpoint in another failure domain, in ms.
	remotePenalty = 2.0
	// inFlightPenalty is the cost of each call in flight, in ms, since it slows down
	// the others.
	inFlightPenalty = 0.8
	// failureSmoothing is the weight of a new outcome in an endpoint's failure ratio.
	failureSmoothing = 0.12
	// failurePenalty is the cost of an endpoint whose failure ratio is 1, in ms.
	failurePenalty = 4000.0
	// minEjection and maxEjection bound how long an unreachable endpoint is ejected.
	minEjection = 300 * time.Millisecond
	maxEjection = 4 * time.Second
	// sampleThreshold is the largest number of endpoints of which all are compared.
	// Larger services are sampled.
	sampleThreshold = 24
	// sampleSize is half the number of endpoints that are drawn at random from a
	// larger service, besides the affinity endpoints.
	sampleSize = 5
	// peerLoadTTL is the age after which loads reported by other nodes are ignored.
	peerLoadTTL = 2 * time.Second
	// queueFraction is the number of calls beyond its slots that an endpoint may
	// have, as a fraction of the slots.
	queueFraction = 0.15
)

// endpoint is the state of an endpoint as seen by this node.
type endpoint struct {
	Endpoint
	region       string  // empty if it is not known
	isEvacuated  bool    // its failure domain is evacuated
	notice       *notice // nil if the endpoint has said nothing of itself
	warm         *warmth // nil if the endpoint need not warm up
	told         told
	plain        plain
	speed        speed
	hash         uint64
	ownLoad      Load
	begun        [ranks]int // number of calls of this node by rank
	peerLoad     Load
	prefillRate  float64 // prompt tokens per millisecond
	failureRatio float64 // smoothed fraction of calls that failed
	ejection     time.Duration
	ejectedUntil time.Time // not chosen before this time
	cachedBlocks map[uint64]time.Time
	cachedTokens int
	blockTokens  map[uint64]int
}

// Placer chooses endpoints for the calls of one node. It is safe for concurrent use.
type Placer struct {
	mu           sync.Mutex
	services     map[string][]*endpoint
	byID         map[string]*endpoint
	positions    []*endpoint // by position in the endpoint list; nil if empty
	notices      map[noticeKey]*notice
	regions      map[string]string // by failure domain
	evacuated    map[string]bool   // failure domains
	drain        time.Duration
	warming      warming
	peersUpdated time.Time
	reportedAt   map[string]time.Time // when an endpoint of the service last reported its load
	speeds       map[string]*serviceSpeed
	capacities   map[string]float64 // by service
}

// New returns a placer without endpoints.
func New() *Placer {
	return &Placer{services: make(map[string][]*endpoint), byID: make(map[string]*endpoint), notices: make(map[noticeKey]*notice)}
}

// SetEndpoints replaces the endpoint list. Positions without an ID are empty. The
// state of endpoints that remain listed is kept, but an endpoint that is listed again
// under another address or service starts with new state.
func (p *Placer) SetEndpoints(list []Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byID := make(map[string]*endpoint, len(list))
	p.services = make(map[string][]*endpoint)
	p.positions = p.positions[:0]
	meanRates := p.meanPrefillRates()
	for _, listed := range list {
		if listed.ID == "" {
			p.positions = append(p.positions, nil)
			continue
		}
		e := p.byID[listed.ID]
		if e == nil || e.Address != listed.Address || e.Service != listed.Service {
			e = &endpoint{
				hash: xxhash.Sum64String(listed.ID), prefillRate: cmp.Or(meanRates[listed.Service], initialPrefillRate),
				cachedBlocks: make(map[uint64]time.Time), blockTokens: make(map[uint64]int),
			}
		}
		e.Endpoint = listed
		e.notice = p.notices[listed.noticeKey()]
		e.setWarmth(p)
		e.isEvacuated, e.region = p.evacuated[listed.Domain], p.regions[listed.Domain]
		byID[listed.ID] = e
		p.services[listed.Service] = append(p.services[listed.Service], e)
		p.positions = append(p.positions, e)
	}
	p.byID = byID
	p.measureCapacities()
}

// meanPrefillRates returns the mean prefill rate of the known endpoints by service.
func (p *Placer) meanPrefillRates() map[string]float64 {
	sums, counts := make(map[string]float64), make(map[string]float64)
	for _, e := range p.byID {
		sums[e.Service] += e.prefillRate
		counts[e.Service]++
	}
	for service, n := range counts {
		sums[service] /= n
	}
	return sums
}

// SetPeerLoads records the loads reported by other nodes, by position in the endpoint
// list.
func (p *Placer) SetPeerLoads(loads map[int]Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peersUpdated = now
	for position, e := range p.positions {
		if e != nil {
			e.peerLoad = loads[position]
			e.plain.peerMean += peerMeanSmoothing * (float64(e.peerLoad.InFlight) - e.plain.peerMean)
		}
	}
	p.predictSpeeds(now)
	p.measureCapacities()
}

// Loads returns the load of this node's own calls, by position in the endpoint list.
func (p *Placer) Loads() map[int]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[int]Load)
	for position, e := range p.positions {
		if e != nil && e.ownLoad != (Load{}) {
			out[position] = e.ownLoad
		}
	}
	return out
}

// HasEndpoint reports whether the service has an endpoint that is neither leaving nor evacuated.
func (p *Placer) HasEndpoint(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.services[service] {
		if !e.isLeaving() && !e.isEvacuated {
			return true
		}
	}
	return false
}

// IsLeaving reports whether the endpoint with the given ID is leaving or not listed.
func (p *Placer) IsLeaving(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.byID[id]
	return e == nil || e.isLeaving()
}

// IsKnown reports whether a listed endpoint has the address.
func (p *Placer) IsKnown(address netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.positions {
		if e != nil && e.Address == address {
			return true
		}
	}
	return false
}

// Place chooses an endpoint and records the call there. The caller must pass every
// choice to End. For a refused call, the duration estimates how long it takes until
// the call could be placed; it is 0 if unknown.
func (p *Placer) Place(req *Request) (*Choice, Refusal, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	best, bestCost := (*endpoint)(nil), math.Inf(1)
	var bestFirst float64
	refusal := RefusedEmpty
	soonest := math.Inf(1)
	aff, isCold, isPlain := newAffinity(req), false, p.isPlain(req)
	for _, e := range p.candidates(req, aff) {
		if !e.isEligible(req) || e.notice != nil && !p.isWilling(e.notice, req) {
			continue
		}
		if !e.isOpen(req.Boot) {
			isCold = true
			continue
		}
		if p.isFull(e, req) {
			refusal = RefusedFull
			continue
		}
		first, cost, late := p.estimate(e, req, aff)
		if late > 0 {
			refusal, soonest = RefusedLate, min(soonest, late)
			continue
		}
		if isPlain {
			cost = p.plainCost(e, req)
		}
		if cost < bestCost {
			best, bestCost, bestFirst = e, cost, first
		}
	}
	if best == nil {
		if refusal == RefusedEmpty {
			if wait, isPaused := p.pausedFor(req.Service, req.Boot); isPaused {
				return nil, RefusedPaused, wait
			}
			if isCold {
				return nil, RefusedCold, p.warmupWait(req)
			}
			if p.isAllEvacuated(req.Service) {
				return nil, RefusedEvacuated, evacuationRetryDelay
			}
			return nil, RefusedEmpty, 0
		}
		if refusal != RefusedLate {
			return nil, refusal, 0
		}
		return nil, refusal, time.Duration(soonest * float64(time.Millisecond))
	}
	return p.begin(best, req, bestFirst), RefusedNone, 0
}

func (e *endpoint) isEligible(req *Request) bool {
	if e.Leaving || e.isEvacuated || !req.isHome(e) || req.Now.Before(e.ejectedUntil) {
		return false
	}
	if req.Version != "" && e.Version != req.Version || slices.Contains(req.Unwanted, e.Version) {
		return false
	}
	for _, id := range req.Exclude {
		if id == e.ID {
			return false
		}
	}
	return true
}

// peerLoadOf returns the load reported by other nodes, or no load if the report is
// outdated.
func (p *Placer) peerLoadOf(e *endpoint, now time.Time) Load {
	if now.Sub(p.peersUpdated) > peerLoadTTL {
		return Load{}
	}
	return e.peerLoad
}

func (p *Placer) isFull(e *endpoint, req *Request) bool {
	peers := p.peerLoadOf(e, req.Now)
	calls := e.ownLoad.InFlight + peers.InFlight
	if p.isPlain(req) {
		// The sum of the other nodes' calls is older than the calls in it, so it does not
		// refuse a call. An endpoint that is full rejects it.
		calls = e.ownLoad.InFlight
	}
	if e.Slots > 0 && float64(calls) >= float64(e.Slots)*(1+queueFraction)*(1-req.Reserve) {
		return true
	}
	kvTokens := e.ownLoad.KVTokens + peers.KVTokens + req.Prompt + req.Answer
	return req.KVSize > 0 && calls > 0 && float64(kvTokens) > fullFraction*(1-req.Reserve)*float64(req.KVSize)
}

// estimate returns the expected time to the first event in milliseconds, the cost by
// which endpoints are compared, and by how many milliseconds the call would be late.
func (p *Placer) estimate(e *endpoint, req *Request, aff *affinity) (first, cost, late float64) {
	peers := p.peerLoadOf(e, req.Now)
	prefill := float64(e.estimatePrefill(req, aff))
	rate := e.rate(req.Now)
	ahead, behind := e.pendingPrefill(peers, req.Priority)
	queue := ahead / rate
	first = queue + prefill/rate
	isCold := e.isCold(req.Boot)
	if isCold {
		queue, first = coldFactor*queue, coldFactor*first
	}
	if req.Prompt > 0 {
		late = max(queue-milliseconds(req.MaxQueueTime), first-milliseconds(req.MaxFirst), 0)
	}
	calls := float64(e.ownLoad.InFlight + peers.InFlight)
	cost = first + prefillPenalty*prefill/rate + inFlightPenalty*calls*e.effort(req.Now) + failurePenalty*e.failureRatio*e.failureRatio + lessUrgentPenalty*behind/rate
	if e.Slots > 0 {
		// Plain calls run in slots; a call beyond the slots has to wait.
		over := calls + 1 - float64(e.Slots)
		if over > 0 {
			cost += over * 20
		}
		if req.Prompt == 0 {
			cost += 6 * calls / float64(e.Slots)
		}
	}
	if e.Domain != req.Domain {
		cost += remotePenalty
	}
	if isCold {
		cost += coldPenalty
	}
	return first, cost + req.Random*0.01*float64(e.hash%97), late
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// estimatePrefill estimates how many tokens of the prompt the endpoint has to prefill.
func (e *endpoint) estimatePrefill(req *Request, aff *affinity) int {
	cached := 0
	for i, block := range req.Blocks {
		if i == len(req.Blocks)-1 && i > 0 {
			break // the last block is specific to the call
		}
		if _, ok := e.cachedBlocks[block.ID]; !ok {
			break
		}
		cached += block.Tokens
	}
	pending := req.Prompt - cached
	if aff.sharedTokens > cached && aff.prefers(e) {
		pending -= int(affinityHitRatio * float64(aff.sharedTokens-cached))
	}
	return max(pending, 0)
}

func (p *Placer) begin(e *endpoint, req *Request, first float64) *Choice {
	c := &Choice{
		endpoint: e, listed: e.Endpoint, predicted: time.Duration(first * float64(time.Millisecond)), started: req.Now,
		pendingPrefill: e.estimatePrefill(req, &affinity{}), kvTokens: req.Prompt + req.Answer,
		queuedPrefill: e.ownLoad.PendingPrefill + p.peerLoadOf(e, req.Now).PendingPrefill,
		priority:      req.Priority, isOnlyWaiter: e.ownLoad.Waiting+p.peerLoadOf(e, req.Now).Waiting == 0,
	}
	c.beginReturn(e.notice)
	c.reserve(req.Boot)
	c.isLastResort, c.isPlain = req.IsLastResort, p.isPlain(req)
	c.begun = e.begun
	e.recordBegin(c.priority)
	e.ownLoad.InFlight++
	e.beginPlain(req.Now)
	e.ownLoad.Waiting++
	e.ownLoad.addPending(c.priority, c.pendingPrefill)
	e.ownLoad.KVTokens += c.kvTokens
	e.recordBlocks(req)
	return c
}

// recordBlocks records that the endpoint will have the prompt's blocks in its cache.
func (e *endpoint) recordBlocks(req *Request) {
	for _, block := range req.Blocks {
		if _, ok := e.cachedBlocks[block.ID]; !ok {
			e.cachedTokens += block.Tokens
			e.blockTokens[block.ID] = block.Tokens
		}
		e.cachedBlocks[block.ID] = req.Now
	}
	for limit := int(cacheFraction * float64(req.KVSize)); e.cachedTokens > limit && len(e.cachedBlocks) > 0; {
		e.evictOldest()
	}
}

// evictOldest removes the least recently used block of a small sample.
func (e *endpoint) evictOldest() {
	const sample = 8
	var oldest uint64
	var at time.Time
	n := 0
	for id, used := range e.cachedBlocks {
		if n == 0 || used.Before(at) {
			oldest, at = id, used
		}
		if n++; n == sample {
			break
		}
	}
	e.cachedTokens -= e.blockTokens[oldest]
	delete(e.cachedBlocks, oldest)
	delete(e.blockTokens, oldest)
}

// RecordFirst records that the first event of a call has arrived.
func (p *Placer) RecordFirst(c *Choice, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordFirst(c, now)
	c.endReturn(true)
}

func (p *Placer) recordFirst(c *Choice, now time.Time) {
	if c.hasFirst {
		return
	}
	c.hasFirst = true
	e := c.endpoint
	e.ownLoad.Waiting--
	e.ownLoad.addPending(c.priority, -c.pendingPrefill)
	c.measurePrefill(now)
	if took := float64(now.Sub(c.started)) / float64(time.Millisecond); c.isOnlyWaiter && e.isUndisturbed(c) && c.pendingPrefill >= minMeasuredPrompt && took > 0 {
		e.prefillRate += prefillRateSmoothing * (float64(c.pendingPrefill)/took - e.prefillRate)
	}
}

// Outcome is how a call ended at its endpoint.
type Outcome int

// The outcomes.
const (
	// Answered means that the complete answer was received.
	Answered Outcome = iota
	// Failed means that the endpoint answered with an error or its answer broke off.
	Failed
	// Unreached means that no connection could be established.
	Unreached
	// Rejected means that the endpoint was full and did not run the call.
	Rejected
	// Misdirected means that another endpoint now has the address, or that the endpoint is
	// leaving.
	Misdirected
	// Abandoned means that the caller disconnected or its deadline passed.
	Abandoned
)

// End records how a call ended.
func (p *Placer) End(c *Choice, outcome Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := c.endpoint
	c.isOnlyWaiter, c.isEndedEarly, c.isUnanswered = c.isOnlyWaiter && outcome == Answered, outcome != Answered, !c.hasFirst
	p.recordFirst(c, now)
	c.endReturn(outcome == Answered)
	c.releaseWarmup()
	e.ownLoad.InFlight--
	e.ownLoad.KVTokens -= c.kvTokens
	p.endPlain(c, outcome, now)
	switch outcome {
	case Answered:
		e.failureRatio -= failureSmoothing * e.failureRatio
		e.ejection = 0
	case Failed:
		e.failureRatio += failureSmoothing * (1 - e.failureRatio)
	case Unreached, Misdirected:
		e.failureRatio += failureSmoothing * (1 - e.failureRatio)
		e.ejection = min(max(2*e.ejection, minEjection), maxEjection)
		e.ejectedUntil = now.Add(e.ejection)
		clear(e.cachedBlocks)
		clear(e.blockTokens)
		e.cachedTokens = 0
	case Rejected:
		if !c.isPlain {
			e.ejectedUntil = now.Add(minEjection / 4)
		}
	case Abandoned:
	}
}
