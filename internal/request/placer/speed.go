package placer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// measurementAge is the age constant of measurements of the prefill. An entry sends an
	// endpoint a call every few seconds, and an endpoint keeps its speed.
	measurementAge = 20 * time.Second
	// priorTime is the measured time, in milliseconds, that counts as much as the assumption
	// that an endpoint is as fast as the others of its service: about three calls.
	priorTime = 300.0
	// minJudgedTime is the measured time, in milliseconds, from which on an endpoint's speed
	// tells that the endpoints of a service differ.
	minJudgedTime = 2000.0
	// unevenFrom is the relative difference from the service's mean from which on endpoints
	// count as different, and evenBelow that below which all count as equal again. Differences
	// within them are caused by queues that are not known exactly.
	unevenFrom = 0.25
	evenBelow  = 0.15
	// minSpeed and maxSpeed bound the speed relative to the mean that is believed.
	minSpeed = 0.25
	maxSpeed = 4.0
	// maxPrefills is the number of measurements that a node reports: the latest ones. Nodes of
	// larger fleets measure more endpoints within measurementAge, and have a bound on messages.
	maxPrefills = 64
)

// speed is what is known of how fast an endpoint processes prompts.
type speed struct {
	tokens, time float64 // measured by this node up to measuredAt, weighted by age; time in milliseconds
	measuredAt   time.Time
	rate         float64 // predicted prompt tokens per millisecond; 0 while the endpoints of the service count as equal
	relative     float64 // rate, relative to the service's mean; 0 if not predicted
}

// serviceSpeed is what is known of the endpoints of a service.
type serviceSpeed struct {
	isUneven         bool
	slowest, fastest float64 // relative to the mean, of endpoints that were measured for minJudgedTime
}

// at returns the measurements, weighted by their age at now.
func (s *speed) at(now time.Time) (tokens, took float64) {
	if s.time == 0 {
		return 0, 0
	}
	weight := math.Exp(-float64(max(now.Sub(s.measuredAt), 0)) / float64(measurementAge))
	return s.tokens * weight, s.time * weight
}

// measure adds that tokens were processed within a time in milliseconds.
func (s *speed) measure(tokens, took float64, now time.Time) {
	s.tokens, s.time = s.at(now)
	s.tokens += tokens
	s.time += took
	s.measuredAt = now
}

// measurePrefill records how long the first event of a call took. The prompts that waited before
// it count as processed in that time, too, unless they are most of the work: their number is only
// known from reports of other nodes.
func (c *Choice) measurePrefill(now time.Time) {
	took := milliseconds(now.Sub(c.started)) / c.endpoint.told.momentary(now)
	if c.pendingPrefill < minMeasuredPrompt || c.queuedPrefill > c.pendingPrefill || c.isEndedEarly || c.listed.ColdUntil != 0 || took <= 0 {
		return
	}
	tokens := float64(c.pendingPrefill + c.queuedPrefill)
	if tokens > maxSpeed*took*max(c.endpoint.prefillRate, initialPrefillRate) {
		return // a failure that came at once, or a prompt that was cached
	}
	c.endpoint.speed.measure(tokens, took, now)
}

// Prefills returns what this node measured of the prefill, by position in the endpoint list.
func (p *Placer) Prefills(now time.Time) map[int]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var measured []int
	for position, e := range p.positions {
		if e != nil && e.speed.time > 0 {
			measured = append(measured, position)
		}
	}
	if len(measured) > maxPrefills {
		slices.SortFunc(measured, func(a, b int) int {
			return cmp.Or(p.positions[b].speed.measuredAt.Compare(p.positions[a].speed.measuredAt), cmp.Compare(a, b))
		})
		measured = measured[:maxPrefills]
	}
	out := make(map[int]Load, len(measured))
	for _, position := range measured {
		if tokens, took := p.positions[position].speed.at(now); took >= 1 {
			out[position] = Load{PrefillTokens: int(tokens), PrefillTime: int(took)}
		}
	}
	return out
}

// prefillSum is a sum of measurements.
type prefillSum struct{ tokens, time float64 }

// predictSpeeds predicts the speed of each endpoint from the measurements of all nodes. While
// the endpoints of a service don't differ clearly, none is predicted.
func (p *Placer) predictSpeeds(now time.Time) {
	sums := make(map[string]*prefillSum)
	for _, e := range p.positions {
		if e == nil {
			continue
		}
		tokens, took := p.measured(e, now)
		if took == 0 {
			continue
		}
		sum := sums[e.Service]
		if sum == nil {
			sum = &prefillSum{}
			sums[e.Service] = sum
		}
		sum.tokens += tokens
		sum.time += took
	}
	if p.speeds == nil {
		p.speeds = make(map[string]*serviceSpeed)
	}
	for service, list := range p.services {
		sum := sums[service]
		if sum == nil || sum.tokens <= 0 {
			delete(p.speeds, service)
			for _, e := range list {
				e.speed.rate, e.speed.relative = 0, 0
			}
			continue
		}
		p.predictService(service, sum.tokens/sum.time, now)
	}
}

// measured returns the measurements of an endpoint by all nodes.
func (p *Placer) measured(e *endpoint, now time.Time) (tokens, took float64) {
	tokens, took = e.speed.at(now)
	return tokens + float64(e.peerLoad.PrefillTokens), took + float64(e.peerLoad.PrefillTime)
}

func (p *Placer) predictService(service string, mean float64, now time.Time) {
	s := p.speeds[service]
	if s == nil {
		s = &serviceSpeed{}
		p.speeds[service] = s
	}
	s.slowest, s.fastest = 1, 1
	// Prompts that waited unknown to this node make measurements too slow, of all endpoints alike.
	// So only their ratios count.
	base := 0.0
	for _, e := range p.services[service] {
		base += e.prefillRate / float64(len(p.services[service]))
	}
	for _, e := range p.services[service] {
		tokens, took := p.measured(e, now)
		relative := min(max((tokens/mean+priorTime)/(took+priorTime), minSpeed), maxSpeed)
		e.speed.relative, e.speed.rate = relative, relative*base
		if took >= minJudgedTime {
			s.slowest, s.fastest = min(s.slowest, relative), max(s.fastest, relative)
		}
	}
	difference := max(1-s.slowest, s.fastest-1)
	s.isUneven = difference >= unevenFrom || s.isUneven && difference >= evenBelow
	if s.isUneven {
		return
	}
	for _, e := range p.services[service] {
		e.speed.rate, e.speed.relative = 0, 0
	}
}

// rate returns how many prompt tokens per millisecond the endpoint is expected to process now.
func (e *endpoint) rate(now time.Time) float64 {
	rate := e.prefillRate
	if e.speed.rate > 0 {
		rate = e.speed.rate
	}
	return rate / e.told.momentary(now)
}

// effort returns how long work takes at the endpoint now, relative to the usual time at the mean
// of its service.
func (e *endpoint) effort(now time.Time) float64 {
	if e.speed.relative > 0 {
		return e.told.momentary(now) / e.speed.relative
	}
	return e.told.momentary(now)
}

// Speeds are the speeds of the slowest and fastest measured endpoints of a service, relative to
// their mean.
type Speeds struct {
	Slowest, Fastest float64
	// IsUneven reports whether endpoints count as different.
	IsUneven bool
}

// Speeds returns the measured speeds by service.
func (p *Placer) Speeds() map[string]Speeds {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]Speeds, len(p.speeds))
	for service, s := range p.speeds {
		out[service] = Speeds{Slowest: s.slowest, Fastest: s.fastest, IsUneven: s.isUneven}
	}
	return out
}
