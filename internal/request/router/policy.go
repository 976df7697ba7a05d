package router

import (
	"math"
)

// Policy selects one of the endpoints that may get a call.
type Policy struct {
	name    string
	pick    func(v *view) int
	samples bool // compares only a sample of the endpoints of a large group
}

// Name returns the name of the policy.
func (p Policy) Name() string { return p.name }

// RoundRobin selects the endpoints in turn.
func RoundRobin() Policy {
	return Policy{name: "roundrobin", pick: func(v *view) int {
		turn := v.group.state.turn.Load()
		if v.isCounted {
			turn = v.group.state.turn.Add(1) - 1
		}
		return int(turn % uint64(len(v.options)))
	}}
}

// LeastInFlight selects the endpoint with the fewest calls of this entry, and a
// random one among equals.
func LeastInFlight() Policy {
	return Policy{name: "leastinflight", pick: func(v *view) int {
		best, equal := 0, 0
		for i, o := range v.options {
			switch {
			case o.ownInFlight < v.options[best].ownInFlight || equal == 0:
				best, equal = i, 1
			case o.ownInFlight == v.options[best].ownInFlight:
				equal++
				if v.router.Random()*float64(equal) < 1 {
					best = i
				}
			}
		}
		return best
	}}
}

// TwoChoices draws two endpoints at random and selects the one with fewer calls of
// this entry.
func TwoChoices() Policy {
	return Policy{name: "twochoices", pick: func(v *view) int {
		a, b := v.drawOption(), v.drawOption()
		if v.options[b].ownInFlight < v.options[a].ownInFlight {
			return b
		}
		return a
	}}
}

func (v *view) drawOption() int {
	return min(int(v.router.Random()*float64(len(v.options))), len(v.options)-1)
}

const (
	firstFraction        = 0.7   // of the target; predicted times beyond it add to the cost
	nextFraction         = 0.85  // of the target; predicted times beyond it add to the cost
	waitPenalty          = 4.0   // per second of waiting for a slot: more urgent calls may arrive later and go first
	latePenalty          = 4.0   // per second beyond the fraction of a target
	loadBoundFactor      = 1.25  // of the mean number of calls; above it an affinity endpoint is skipped
	maxAffinityEndpoints = 8     // of one key
	affinityFactor       = 1.5   // affinity endpoints per endpoint that the calls of a key would fill
	maxToleranceCalls    = 3.0   // calls
	minTolerance         = 0.002 // seconds
)

// Predictive selects the endpoint where the call adds the least delay, to itself and
// to the calls in flight there. Endpoints within the error of the prediction count as
// equal. Among them the hash of the prompt or a random number decides, so that
// entries with the same outdated state do not all select the same one.
func Predictive() Policy {
	return Policy{name: "predictive", pick: (*view).predictive, samples: true}
}

func (v *view) predictive() int {
	v.scores = v.scores[:0]
	for _, o := range v.options {
		v.scores = append(v.scores, v.cost(o))
	}
	if v.keyWords > 0 {
		v.rewardAffinity()
	}
	best := math.Inf(1)
	for _, score := range v.scores {
		best = min(best, score)
	}
	return v.pickWithin(best + v.tolerance())
}

// cost returns the delay in seconds that the call meets and causes at an endpoint.
func (v *view) cost(o option) float64 {
	decode := float64(v.call.Decode)
	first, next := o.first.Seconds(), o.next.Seconds()
	cost := first + waitPenalty*o.slotWait + decode*next + o.inFlight*(o.prefillTime+decode*o.growth) + o.penalty
	if target := v.group.target.First.Seconds(); target > 0 {
		cost += latePenalty * max(first-firstFraction*target, 0)
	}
	if target := v.group.target.Next.Seconds(); target > 0 {
		cost += latePenalty * decode * (o.inFlight + 1) * max(next-nextFraction*target, 0)
	}
	return cost
}

// selectKey selects the key by which calls with a common prefix are sent to the same
// endpoints: the shortest prefix that is not too popular for one endpoint.
func (v *view) selectKey() {
	weight := 0.0
	if v.isCounted {
		weight = 1
	}
	v.recentCalls = v.group.state.arrivals.add(v.now, rateWindow, weight)
	blocks := len(v.call.Prefixes)
	if blocks == 0 {
		return
	}
	limit := 1 / float64(len(v.group.endpoints))
	total := v.router.popularity.total.add(v.now, sketchWindow, weight)
	for level := 1; ; level *= 4 {
		at := min(level, blocks)
		v.key, v.keyWords = v.call.Prefixes[at-1], at*BlockWords
		v.keyFraction = v.router.popularity.add(v.now, v.key, total, weight)
		if at == blocks || v.keyFraction <= limit {
			return
		}
	}
}

// rewardAffinity lowers the cost of the key's affinity endpoints: the first ones by
// rendezvous hash, skipping those above the load bound. A key whose fraction of the
// calls is larger than one endpoint can serve has several.
func (v *view) rewardAffinity() {
	n := float64(len(v.options))
	inFlight, prefill := 0.0, 0.0
	for _, o := range v.options {
		inFlight += o.inFlight
		prefill += o.prefillTime
	}
	maxInFlight := loadBoundFactor*inFlight/n + 1
	rate := prefill / n / float64(max(v.call.Words, 1))
	reward := float64(v.keyWords) * rate * (1 + inFlight/n)
	count := min(max(int(math.Ceil(v.keyFraction*n*affinityFactor)), 1), maxAffinityEndpoints)
	previous := uint64(math.MaxUint64)
	for range count {
		best, top := -1, uint64(0)
		for i, o := range v.options {
			if rank := mix(v.key ^ v.group.seeds[o.index]); rank >= top && rank < previous && o.inFlight <= maxInFlight {
				best, top = i, rank
			}
		}
		if best < 0 {
			return
		}
		v.scores[best] -= reward
		previous = top
	}
}

// tolerance returns by how much the costs of two endpoints may differ and still be
// within the error caused by calls of other entries that are not known here yet.
func (v *view) tolerance() float64 {
	peers := float64(v.router.observer.Peers())
	if peers == 0 {
		return minTolerance
	}
	staleness := v.router.observer.Staleness(v.now).Seconds()
	unknown := v.recentCalls / rateWindow.Seconds() * peers * staleness / float64(len(v.options))
	callCost := math.Inf(1)
	for _, o := range v.options {
		callCost = min(callCost, o.prefillTime+2*float64(v.call.Decode)*o.growth)
	}
	return minTolerance + callCost*min(math.Sqrt(unknown), maxToleranceCalls)
}

func (v *view) pickWithin(limit float64) int {
	chosen, equal, top := -1, 0, uint64(0)
	for i, o := range v.options {
		if v.scores[i] > limit {
			continue
		}
		if v.keyWords > 0 {
			if rank := mix(v.key ^ v.group.seeds[o.index]); chosen < 0 || rank > top {
				chosen, top = i, rank
			}
			continue
		}
		equal++
		if v.router.Random()*float64(equal) < 1 {
			chosen = i
		}
	}
	return chosen
}

// mix distributes the bits of x evenly.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
