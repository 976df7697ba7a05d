package placer

import (
	"math"
	"time"
)

const (
	// loadReportTTL is how long a service counts as one whose endpoints report their load,
	// after the last such report. An entry sends an endpoint a call every few seconds.
	loadReportTTL = 10 * time.Second
	// slowdownAge is the age constant with which a reported slowdown decays to the usual
	// time: the speed of the moment changes within some hundred milliseconds.
	slowdownAge = 500 * time.Millisecond
	// momentaryAge is the same for predictions of prefill, where a call takes about as long as
	// a change of the speed.
	momentaryAge = 300 * time.Millisecond
	// minSlowdown and maxSlowdown bound the slowdown that is believed. An endpoint that
	// states less must not attract a multiple of the calls that it can serve.
	minSlowdown = 0.5
	maxSlowdown = 20.0
)

// told is what an endpoint reported of itself last.
type told struct {
	load ReportedLoad
	at   time.Time
	// begun is the number of this node's calls that began since.
	begun int
}

// RecordLoad records the load that the endpoint of a call reported in its answer.
func (p *Placer) RecordLoad(c *Choice, load ReportedLoad, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := c.endpoint
	load.Slowdown = min(max(load.Slowdown, minSlowdown), maxSlowdown)
	e.told = told{load: load, at: now}
	c.isReportedFree = load.Running+load.Waiting < load.Slots
	if p.reportedAt == nil {
		p.reportedAt = make(map[string]time.Time)
	}
	p.reportedAt[e.Service] = now
}

// reportsLoad reports whether an endpoint of the service reported its load lately.
func (p *Placer) reportsLoad(service string, now time.Time) bool {
	at, ok := p.reportedAt[service]
	return ok && now.Sub(at) < loadReportTTL
}

// freshness returns the weight of the last report: 1 for a new one, which falls with its age.
func (t *told) freshness(now time.Time, constant time.Duration) float64 {
	if t.at.IsZero() {
		return 0
	}
	return math.Exp(-float64(max(now.Sub(t.at), 0)) / float64(constant))
}

// slowdown returns how long work is expected to take now, relative to the usual time.
func (t *told) slowdown(now time.Time) float64 {
	if t.at.IsZero() {
		return 1
	}
	return 1 + (t.load.Slowdown-1)*t.freshness(now, slowdownAge)
}

// momentary returns how long prefill is expected to take now, relative to the usual time.
func (t *told) momentary(now time.Time) float64 {
	if t.at.IsZero() {
		return 1
	}
	return 1 + (t.load.Slowdown-1)*t.freshness(now, momentaryAge)
}
