package isolator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/attributor"
	"hyssoprudder/internal/request/isolator"
	"hyssoprudder/internal/request/placer"
)

const (
	fleetStep      = 50 * time.Millisecond
	reportInterval = 250 * time.Millisecond
	contactTime    = 3 * time.Second // how long the users allow for a decision
	newLeaderTime  = 3 * time.Second // how long a leader does not know what earlier ones knew
	downTime       = 3 * time.Second
	runTime        = 400 * time.Millisecond
	deadly         = uint64(1_000_000)
	fleetEndpoints = 12
	fleetEntries   = 4
)

type fleetCall struct {
	entry, endpoint int
	call            isolator.Call
	fingerprint     uint64
	sent            time.Time
}

// fleet is a number of entries, a leader, and endpoints that crash under the deadly request and for other reasons.
type fleet struct {
	random    *rand.Rand
	now       time.Time
	entries   []*isolator.Isolator
	leader    *attributor.Core
	changedAt time.Time
	running   []fleetCall
	downUntil [fleetEndpoints]time.Time
	unique    uint64
	crashes   int       // by the deadly request
	third     time.Time // the third of them
	late      int       // deadly requests that were sent later than the users allow
}

func newFleet(seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: start, leader: attributor.New(), unique: 1000}
	for range fleetEntries {
		f.entries = append(f.entries, isolator.New())
	}
	return f
}

func (f *fleet) endpoint(number int) placer.Endpoint {
	return placer.Endpoint{ID: fmt.Sprint("e", number), Service: "desk"}
}

// send sends a request, with a block that many others share, from a random entry to a random endpoint that runs.
func (f *fleet) send(fingerprint uint64) {
	c := fleetCall{f.random.IntN(fleetEntries), f.random.IntN(fleetEndpoints), call(fingerprint, fingerprint%4+1, 90), fingerprint, f.now}
	for range fleetEndpoints {
		if f.now.After(f.downUntil[c.endpoint]) {
			break
		}
		c.endpoint = (c.endpoint + 1) % fleetEndpoints
	}
	if !f.now.After(f.downUntil[c.endpoint]) || f.entries[c.entry].IsIsolated("desk", c.call, f.now) {
		return
	}
	if fingerprint == deadly && !f.third.IsZero() && f.now.Sub(f.third) > contactTime && f.now.Sub(f.changedAt) > contactTime {
		f.late++
	}
	f.running = append(f.running, c)
}

// advance lets calls run for a step. It returns whether a deadly request crashed an endpoint.
func (f *fleet) advance(otherCrashes float64) bool {
	f.now = f.now.Add(fleetStep)
	ended := make(map[int]bool)
	isDeadly := make(map[int]bool)
	for _, c := range f.running {
		if c.fingerprint == deadly {
			ended[c.endpoint], isDeadly[c.endpoint] = true, true
		}
	}
	if f.random.Float64() < otherCrashes {
		ended[f.random.IntN(fleetEndpoints)] = true
	}
	for e := range ended {
		f.downUntil[e] = f.now.Add(downTime)
		if isDeadly[e] {
			if f.crashes++; f.crashes == 3 {
				f.third = f.now
			}
		}
	}
	rest := f.running[:0:0]
	for _, c := range f.running {
		switch {
		case ended[c.endpoint]:
			if f.entries[c.entry].Broken(f.endpoint(c.endpoint), c.call, c.sent, f.now) {
				f.entries[c.entry].Unreachable(f.endpoint(c.endpoint).ID, f.now)
			}
		case f.now.Sub(c.sent) >= runTime:
			f.entries[c.entry].Answered("desk", c.call, f.now)
		default:
			rest = append(rest, c)
		}
	}
	f.running = rest
	return len(isDeadly) > 0
}

// report exchanges a report and the leader's answer with each entry, except those that are lost.
func (f *fleet) report(loss float64) {
	isComplete := f.now.Sub(f.changedAt) >= newLeaderTime
	for _, e := range f.entries {
		if f.random.Float64() < loss {
			continue
		}
		crashes, answers, isolations := e.Report(f.now)
		f.leader.SetAdopting(!isComplete)
		if !isComplete {
			f.leader.Adopt(isolations, f.now)
			f.leader.AdoptSuspects(e.Suspects(), f.now)
		}
		for i := range crashes {
			f.leader.Add(&crashes[i], "e")
		}
		for _, a := range answers {
			f.leader.Answer(a)
		}
		f.leader.Review(f.now, attributor.Reports{Interval: reportInterval, MinInterval: reportInterval})
		if f.random.Float64() >= loss {
			e.Apply(f.leader.Suspects(), f.leader.Isolations(f.now), isComplete, f.now)
		}
	}
}

// A deadly request among sound ones, some of them identical to each other, with endpoints that are lost for other
// reasons, reports that are lost, and leaders that end: it reaches at most three endpoints later than 3 s after its
// third crash and the last change of the leader, and no sound request is ever isolated.
func TestOnlyTheDeadlyRequestIsIsolated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"))
		interval := time.Duration(rapid.IntRange(2, 80).Draw(t, "interval")) * 100 * time.Millisecond
		loss := rapid.Float64Range(0, 0.2).Draw(t, "loss")
		otherCrashes := rapid.Float64Range(0, 0.01).Draw(t, "other crashes a step")
		changes := rapid.SliceOfN(rapid.IntRange(40, 1199), 0, 3).Draw(t, "steps at which the leader changes")
		isRepeated := rapid.Bool().Draw(t, "repeated at once")
		next := f.now
		for number := range 1200 {
			if slices.Contains(changes, number) {
				f.leader, f.changedAt = attributor.New(), f.now
			}
			for range 4 {
				f.unique++
				f.send(f.unique)
			}
			f.send(f.random.Uint64N(5)) // the same few requests again and again
			if !f.now.Before(next) {
				f.send(deadly)
				next = f.now.Add(interval)
			}
			if f.advance(otherCrashes) && isRepeated {
				f.send(deadly)
			}
			if number%int(reportInterval/fleetStep) == 0 {
				f.report(loss)
			}
			for _, i := range f.leader.Isolations(f.now) {
				require.Equal(t, attributor.RequestKey(deadly), i.Key, "after %d crashes, at %s", f.crashes, f.now.Sub(start))
			}
		}
		require.LessOrEqual(t, f.late, 3, "after %d crashes", f.crashes)
	})
}
