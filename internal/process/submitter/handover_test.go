package submitter

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/keeper"
)

// handOvers are keepers among which the lease of the log moves.
type handOvers struct {
	clock   *clock.Manual
	lease   keeper.Lease
	leader  int
	keepers []*Submitter
	frozen  map[int]*frozenCall // by keeper
	calls   []sentCall
}

// frozenCall is a call that a keeper was about to send when it froze.
type frozenCall struct {
	holder Holder
	wakes  time.Time
}

// sentCall is a call that reached the provider.
type sentCall struct {
	by       int
	at       time.Time
	fence    uint64
	isThawed bool // sent by a keeper that has just woken
}

func (h *handOvers) newKeeper(i int) *Submitter {
	return New(Config{Name: fmt.Sprint(i), Clock: h.clock, Lease: testLease, Do: h.doFor(i)})
}

const testLease = 3 * time.Second

// doFor returns the function with which a keeper reads the leader's state.
func (h *handOvers) doFor(i int) func(func(*coordinator.Core, keeper.Lease, time.Time)) bool {
	return func(f func(*coordinator.Core, keeper.Lease, time.Time)) bool {
		now := h.clock.Now()
		if h.leader != i || !now.Before(h.lease.Until()) {
			return false
		}
		f(nil, h.lease, now)
		return true
	}
}

// act lets a keeper send a call, if it may, at once or when it wakes again.
func (h *handOvers) act(i int, frozenFor time.Duration) {
	if h.frozen[i] != nil {
		return
	}
	holder, ok := h.keepers[i].acquire()
	switch {
	case !ok:
	case frozenFor > 0:
		h.frozen[i] = &frozenCall{holder, h.clock.Now().Add(frozenFor)}
	default:
		h.calls = append(h.calls, sentCall{by: i, at: h.clock.Now(), fence: holder.Fence})
	}
}

// wake sends what keepers were about to send before they froze.
func (h *handOvers) wake() {
	for i, f := range h.frozen {
		if !h.clock.Now().Before(f.wakes) {
			h.calls = append(h.calls, sentCall{by: i, at: h.clock.Now(), fence: f.holder.Fence, isThawed: true})
			delete(h.frozen, i)
		}
	}
}

// requireOneHolder checks the rules for a provider that does not check fencing numbers. Calls
// that a frozen keeper sends as it wakes don't count.
func (h *handOvers) requireOneHolder(t require.TestingT) {
	highest := uint64(0)
	for i, c := range h.calls {
		if c.isThawed {
			continue
		}
		require.GreaterOrEqual(t, c.fence, highest, "call %d", i)
		highest = c.fence
		isOther := false
		for k := i - 1; k >= 0 && c.at.Sub(h.calls[k].at) < testLease; k-- {
			earlier := h.calls[k]
			isOther = isOther || earlier.by != c.by && !earlier.isThawed
			require.False(t, isOther && earlier.by == c.by && !earlier.isThawed, "calls %d and %d by %d, and another one between them", k, i, c.by)
		}
	}
}

// Where the provider does not check fencing numbers, two holders that act in turn order twice.
func TestHoldersDoNotAlternateOverHandOvers(t *testing.T) {
	acted := 0
	rapid.Check(t, func(t *rapid.T) {
		h := &handOvers{clock: clock.NewManual(time.Unix(1000, 0)), frozen: make(map[int]*frozenCall)}
		for i := range 3 {
			h.keepers = append(h.keepers, h.newKeeper(i))
		}
		term := uint64(1)
		h.lease = keeper.NewLease(term, h.clock.Now().Add(time.Minute))
		h.clock.Advance(4 * time.Second)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			h.clock.Advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "passed")) * time.Millisecond)
			h.wake()
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1: // another keeper leads once the lease has ended
				term++
				h.leader = rapid.IntRange(0, 2).Draw(t, "leader")
				h.lease = keeper.NewLease(term, h.clock.Now().Add(time.Minute))
			case 2: // a process restarts
				i := rapid.IntRange(0, 2).Draw(t, "restarted")
				h.keepers[i] = h.newKeeper(i)
				delete(h.frozen, i)
			case 3:
				h.act(h.leader, time.Duration(rapid.IntRange(500, 8000).Draw(t, "frozen"))*time.Millisecond)
			default:
				h.act(h.leader, 0)
			}
		}
		h.requireOneHolder(t)
		acted += len(h.calls)
	})
	require.Positive(t, acted)
}
