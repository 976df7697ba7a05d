package router

import (
	"math"
)

// Policy picks one of the endpoints that may get a call.
type Policy struct {
	name   string
	pick   func(v *view) int
	sample bool // of a large group, looks at a sample only
}

// Name returns the name of the policy.
func (p Policy) Name() string { return p.name }

// RoundRobin takes the endpoints in turn.
func RoundRobin() Policy {
	return Policy{name: "roundrobin", pick: func(v *view) int {
		turn := v.group.flow.turn.Load()
		if v.counted {
			turn = v.group.flow.turn.Add(1) - 1
		}
		return int(turn % uint64(len(v.options)))
	}}
}

// LeastInflight takes the endpoint with the fewest own calls, and a random one among equals.
func LeastInflight() Policy {
	return Policy{name: "leastinflight", pick: func(v *view) int {
		best, equal := 0, 0
		for i, o := range v.options {
			switch {
			case o.own < v.options[best].own || equal == 0:
				best, equal = i, 1
			case o.own == v.options[best].own:
				equal++
				if v.router.Random()*float64(equal) < 1 {
					best = i
				}
			}
		}
		return best
	}}
}

// TwoChoices draws two endpoints and takes the one with fewer own calls.
func TwoChoices() Policy {
	return Policy{name: "twochoices", pick: func(v *view) int {
		a, b := v.draw(), v.draw()
		if v.options[b].own < v.options[a].own {
			return b
		}
		return a
	}}
}

func (v *view) draw() int {
	return min(int(v.router.Random()*float64(len(v.options))), len(v.options)-1)
}

const (
	firstMargin = 0.7 // of the target
	nextMargin  = 0.85
	waitPenalty = 4.0 // a call may wait behind more urgent ones that come later
	latePenalty = 4.0
	boundFactor = 1.25
	maxHomes    = 8
	homeFactor  = 1.5
	slackLimit  = 3.0 // calls
	slackFloor  = 0.002
)

// Predictive takes the endpoint where the call adds the least delay, to itself and
// to the calls that run there. Endpoints within the error of the prediction
// count as equal; among them the prompt's hash or chance decides, so that
// entries with the same stale knowledge do not all choose the same one.
func Predictive() Policy {
	return Policy{name: "predictive", pick: (*view).predictive, sample: true}
}

func (v *view) predictive() int {
	v.scores = v.scores[:0]
	for _, o := range v.options {
		v.scores = append(v.scores, v.cost(o))
	}
	if v.words > 0 {
		v.rewardHomes()
	}
	best := math.Inf(1)
	for _, score := range v.scores {
		best = min(best, score)
	}
	return v.breakTie(best + v.slack())
}

// cost is the delay in seconds that the call meets and causes at an endpoint.
func (v *view) cost(o option) float64 {
	decode := float64(v.call.Decode)
	first, next := o.first.Seconds(), o.next.Seconds()
	cost := first + waitPenalty*o.wait + decode*next + o.running*(o.prefill+decode*o.growth) + o.penalty
	if target := v.group.target.First.Seconds(); target > 0 {
		cost += latePenalty * max(first-firstMargin*target, 0)
	}
	if target := v.group.target.Next.Seconds(); target > 0 {
		cost += latePenalty * decode * (o.running + 1) * max(next-nextMargin*target, 0)
	}
	return cost
}

// popularity finds the key by which calls with a common prefix meet at the same
// endpoints: the shortest prefix that is not too popular for one endpoint.
func (v *view) popularity() {
	weight := 0.0
	if v.counted {
		weight = 1
	}
	v.arrived = v.group.flow.arrived.add(v.now, rateWindow, weight)
	blocks := len(v.call.Prefixes)
	if blocks == 0 {
		return
	}
	limit := 1 / float64(len(v.group.endpoints))
	total := v.router.popular.total.add(v.now, sketchWindow, weight)
	for level := 1; ; level *= 4 {
		at := min(level, blocks)
		v.key, v.words = v.call.Prefixes[at-1], at*BlockWords
		v.share = v.router.popular.add(v.now, v.key, total, weight)
		if at == blocks || v.share <= limit {
			return
		}
	}
}

// rewardHomes lowers the score of the key's homes: the endpoints that rendezvous
// hashing puts first, those above the bound on load passed over. A key whose
// share is larger than one endpoint can carry has several homes.
func (v *view) rewardHomes() {
	n := float64(len(v.options))
	running, prefill := 0.0, 0.0
	for _, o := range v.options {
		running += o.running
		prefill += o.prefill
	}
	bound := boundFactor*running/n + 1
	rate := prefill / n / float64(max(v.call.Words, 1))
	reward := float64(v.words) * rate * (1 + running/n)
	homes := min(max(int(math.Ceil(v.share*n*homeFactor)), 1), maxHomes)
	last := uint64(math.MaxUint64)
	for range homes {
		home, top := -1, uint64(0)
		for i, o := range v.options {
			if rank := mix(v.key ^ v.group.seeds[o.index]); rank >= top && rank < last && o.running <= bound {
				home, top = i, rank
			}
		}
		if home < 0 {
			return
		}
		v.scores[home] -= reward
		last = top
	}
}

// slack is how far the cost of two endpoints may differ and still be within the
// error that the other entries' unknown calls bring.
func (v *view) slack() float64 {
	peers := float64(v.router.observer.Peers())
	if peers == 0 {
		return slackFloor
	}
	staleness := v.router.observer.Staleness(v.now).Seconds()
	unknown := v.arrived / rateWindow.Seconds() * peers * staleness / float64(len(v.options))
	further := math.Inf(1)
	for _, o := range v.options {
		further = min(further, o.prefill+2*float64(v.call.Decode)*o.growth)
	}
	return slackFloor + further*min(math.Sqrt(unknown), slackLimit)
}

func (v *view) breakTie(limit float64) int {
	chosen, equal, top := -1, 0, uint64(0)
	for i, o := range v.options {
		if v.scores[i] > limit {
			continue
		}
		if v.words > 0 {
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

// mix spreads the bits of x evenly.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
