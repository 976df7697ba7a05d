package judge

import (
	"math"
	"slices"
)

const (
	priorCalls    = 50.0
	priorFailures = 0.25
	priorSlow     = 1.0
	maxBaseRate   = 0.95
	maxBlockValue = 1e6
	maxEvidence   = 1e12
	withinHorizon = 0.9
)

// block is the outcome of a two-valued observation on both versions over the
// same span of time.
type block struct {
	oldCalls, oldHits float64
	newCalls, newHits float64
	// base is the rate of the old version as estimated from earlier blocks.
	base float64
}

func (b block) comparable() bool { return b.oldCalls > 0 && b.newCalls > 0 }

// value returns the e-value of the block against "the new version hits no more
// often than the old one", for an alternative that adds effect to the rate. Its
// mean under that hypothesis is at most one whatever the common rate is.
func (b block) value(effect float64) float64 {
	latest := b.base + (1-b.base)*effect
	common := (b.oldCalls*b.base + b.newCalls*latest) / (b.oldCalls + b.newCalls)
	log := likelihood(b.oldCalls, b.oldHits, b.base, common) + likelihood(b.newCalls, b.newHits, latest, common)
	return math.Exp(log)
}

func likelihood(calls, hits, rate, common float64) float64 {
	return hits*math.Log(rate/common) + (calls-hits)*math.Log((1-rate)/(1-common))
}

// evidence is an e-process: a mixture over the block in which a fault may begin
// and over the size of its effect. Reaching 1/a has a probability of at most a
// as long as the new version is no worse, whenever one looks.
type evidence struct {
	effects []float64
	sums    []float64
	blocks  float64
	horizon float64 // number of blocks that are expected
	waiting float64 // weight of the faults that have not begun
	limit   float64 // largest value that one block may contribute
}

func newEvidence(effects []float64, horizon int, limit float64) *evidence {
	return &evidence{
		effects: effects, sums: make([]float64, len(effects)),
		horizon: float64(max(horizon, 1)), waiting: 1, limit: limit,
	}
}

// start returns the weight of a fault that begins at the present block: even up
// to the horizon, and falling behind it so that all weights add up to one.
func (e *evidence) start() float64 {
	if e.blocks <= e.horizon {
		return withinHorizon / e.horizon
	}
	return (1 - withinHorizon) * e.horizon / (e.blocks * (e.blocks - 1))
}

// observe takes in the blocks of several routes over the same span of time. The
// routes are strata: each is compared only with itself.
func (e *evidence) observe(strata []block) {
	strata = slices.DeleteFunc(strata, func(b block) bool { return !b.comparable() })
	if len(strata) == 0 {
		return
	}
	e.blocks++
	start := e.start()
	e.waiting -= start
	for i, effect := range e.effects {
		v := 1.0
		for _, b := range strata {
			v *= b.value(effect)
		}
		e.sums[i] = min((e.sums[i]+start)*min(v, e.limit), maxEvidence)
	}
}

// value returns the e-value up to now.
func (e *evidence) value() float64 {
	var sum float64
	for _, s := range e.sums {
		sum += s
	}
	return sum/float64(len(e.sums)) + e.waiting
}
