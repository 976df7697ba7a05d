package judge

import (
	"math"
	"slices"
)

const (
	priorCalls     = 50.0
	priorFailures  = 0.25
	priorAbove     = 1.0
	maxBaseRate    = 0.95
	maxBlockEValue = 1e6
	maxEvidence    = 1e12
	horizonWeight  = 0.9
)

// block is the number of calls and of hits of both versions in the same period. A hit is a failed call or one
// slower than a threshold.
type block struct {
	oldCalls, oldHits float64
	newCalls, newHits float64
	// base is the hit rate of the old version, estimated from earlier blocks.
	base float64
}

func (b block) comparable() bool { return b.oldCalls > 0 && b.newCalls > 0 }

// eValue returns the e-value of the block against the hypothesis that the new version has no higher hit rate
// than the old one, for an alternative that adds effect to the rate. Its mean under the hypothesis is at
// most one whatever the common rate is.
func (b block) eValue(effect float64) float64 {
	latest := b.base + (1-b.base)*effect
	common := (b.oldCalls*b.base + b.newCalls*latest) / (b.oldCalls + b.newCalls)
	logValue := logLikelihoodRatio(b.oldCalls, b.oldHits, b.base, common) + logLikelihoodRatio(b.newCalls, b.newHits, latest, common)
	return math.Exp(logValue)
}

func logLikelihoodRatio(calls, hits, rate, common float64) float64 {
	return hits*math.Log(rate/common) + (calls-hits)*math.Log((1-rate)/(1-common))
}

// evidence is an e-process: a mixture over the block in which a fault may begin and over the size of its
// effect. The probability that it ever reaches 1/a is at most a as long as the new version is no worse,
// however often it is checked.
type evidence struct {
	effects    []float64
	perEffect  []float64
	blocks     float64
	horizon    float64 // expected number of blocks
	notStarted float64 // weight of the faults that have not yet begun
	maxFactor  float64 // largest e-value that one block may contribute
}

func newEvidence(effects []float64, horizon int, limit float64) *evidence {
	return &evidence{
		effects: effects, perEffect: make([]float64, len(effects)),
		horizon: float64(max(horizon, 1)), notStarted: 1, maxFactor: limit,
	}
}

// startWeight returns the weight of a fault that begins at the current block. It is constant up to the horizon
// and decreases after it, so that all weights add up to one.
func (e *evidence) startWeight() float64 {
	if e.blocks <= e.horizon {
		return horizonWeight / e.horizon
	}
	return (1 - horizonWeight) * e.horizon / (e.blocks * (e.blocks - 1))
}

// observe adds the blocks of several routes over the same period. The routes are strata: each is compared
// only with itself.
func (e *evidence) observe(strata []block) {
	strata = slices.DeleteFunc(strata, func(b block) bool { return !b.comparable() })
	if len(strata) == 0 {
		return
	}
	e.blocks++
	start := e.startWeight()
	e.notStarted -= start
	for i, effect := range e.effects {
		v := 1.0
		for _, b := range strata {
			v *= b.eValue(effect)
		}
		e.perEffect[i] = min((e.perEffect[i]+start)*min(v, e.maxFactor), maxEvidence)
	}
}

// eValue returns the current e-value.
func (e *evidence) eValue() float64 {
	var sum float64
	for _, s := range e.perEffect {
		sum += s
	}
	return sum/float64(len(e.perEffect)) + e.notStarted
}
