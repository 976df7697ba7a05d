package placer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/request/placer"
)

const listLag = 800 * time.Millisecond

// newWarming returns a placer of endpoints that warm up, of which the first are cold for 10 s.
func newWarming(n, cold int) (*placer.Placer, []placer.Endpoint) {
	p, list := placer.New(), newEndpoints(n, 64)
	p.SetWarming(map[string]bool{"desk": true}, listLag)
	for i := range list[:cold] {
		list[i].ColdUntil = at(10 * time.Second).UnixMilli()
	}
	p.SetEndpoints(list)
	return p, list
}

func at(d time.Duration) time.Time { return start.Add(d) }

func requestAt(d time.Duration) *placer.Request {
	r := newRequest(at(d), 1)
	r.Boot = at(d)
	return r
}

func lease(p *placer.Placer, from, until time.Duration, positions ...uint16) {
	p.SetWarmups(&placer.Warmups{Positions: positions, Until: at(until), ListRead: at(from)}, at(from))
}

// Guards against calls to cold endpoints without a lease, and against more than one a second with one,
// whether calls that were chosen are sent at once, late or not at all.
func TestCallsToColdEndpoints(t *testing.T) {
	p, _ := newWarming(2, 2)
	_, refusal, wait := p.Place(requestAt(0))
	require.Equal(t, placer.RefusedCold, refusal)
	require.Positive(t, wait)
	require.Less(t, wait, time.Second)
	lease(p, 0, 1500*time.Millisecond, 0)
	first, _, _ := p.Place(requestAt(0))
	require.Equal(t, "e0", first.Endpoint().ID)
	warmOnes, _ := newWarming(1, 0)
	same, _, _ := warmOnes.Place(requestAt(0))
	require.InEpsilon(t, 1.5*same.Predicted().Seconds(), first.Predicted().Seconds(), 0.01, "a cold endpoint is slower")
	_, refusal, _ = p.Place(requestAt(0))
	require.Equal(t, placer.RefusedCold, refusal, "the lease is in use")
	p.End(first, placer.Abandoned, at(0))
	second, _, _ := p.Place(requestAt(0))
	require.NotNil(t, second, "a call that was not sent leaves the lease to another one")
	require.True(t, p.MaySend(second, at(400*time.Millisecond)))
	require.False(t, p.MaySend(first, at(500*time.Millisecond)), "the lease's call was sent")
	require.True(t, p.MaySend(second, at(500*time.Millisecond)), "the same call is checked twice before it is sent")
	p.End(second, placer.Answered, at(600*time.Millisecond))
	_, refusal, wait = p.Place(requestAt(1400 * time.Millisecond))
	require.Equal(t, placer.RefusedCold, refusal, "a second is counted from when the call was sent")
	require.Equal(t, 100*time.Millisecond, wait)
	third, _, _ := p.Place(requestAt(1499 * time.Millisecond))
	require.Nil(t, third)
	lease(p, 1400*time.Millisecond, 2900*time.Millisecond, 0)
	require.False(t, p.MayAsk("e1", at(1500*time.Millisecond)), "questions count as calls")
	third, _, _ = p.Place(requestAt(1500 * time.Millisecond))
	require.NotNil(t, third)
	require.False(t, p.MayAsk("e0", at(1500*time.Millisecond)), "the lease is in use")
	require.False(t, p.MaySend(third, at(2900*time.Millisecond)), "the lease has ended")
	p.End(third, placer.Abandoned, at(2900*time.Millisecond))
	warm, _, _ := p.Place(requestAt(10 * time.Second))
	require.NotNil(t, warm)
	require.True(t, p.MaySend(warm, at(10*time.Second)))
	require.True(t, p.MaySend(warm, at(10*time.Second)))
}

// Guards against calls that were chosen while the endpoint was warm and are sent once it is known to be cold.
func TestEndpointBecomesColdBeforeTheCallIsSent(t *testing.T) {
	cases := map[string]func(p *placer.Placer, list []placer.Endpoint){
		"list": func(p *placer.Placer, list []placer.Endpoint) {
			list[0].ColdUntil = at(10 * time.Second).UnixMilli()
			p.SetEndpoints(list)
		},
		"answer to another call": func(p *placer.Placer, list []placer.Endpoint) { p.MarkCold(&list[0], time.Second, at(0)) },
		"contact lost":           func(p *placer.Placer, list []placer.Endpoint) { p.LoseContact(list[0].Address, at(0)) },
	}
	for name, becomeCold := range cases {
		t.Run(name, func(t *testing.T) {
			p, list := newWarming(1, 0)
			c, _, _ := p.Place(requestAt(0))
			becomeCold(p, list)
			require.False(t, p.MaySend(c, at(time.Millisecond)))
			p.End(c, placer.Abandoned, at(time.Millisecond))
			_, refusal, _ := p.Place(requestAt(time.Millisecond))
			require.Equal(t, placer.RefusedCold, refusal)
			cold, warm := p.ColdChanges(at(time.Millisecond))
			require.Len(t, cold, 1)
			require.Empty(t, warm)
		})
	}
}

// Guards against calls to an endpoint that was started again, before a list can show that it is cold.
func TestEndpointWithoutContactWaitsForALaterList(t *testing.T) {
	p, list := newWarming(1, 0)
	require.True(t, p.LoseContact(list[0].Address, at(time.Second)))
	isOpen := func(after time.Duration) bool {
		c, _, _ := p.Place(requestAt(after))
		if c != nil {
			p.End(c, placer.Abandoned, at(after))
		}
		return c != nil
	}
	require.False(t, isOpen(time.Second))
	p.SetWarmups(&placer.Warmups{ListRead: at(time.Second + listLag)}, at(2*time.Second))
	require.False(t, isOpen(2*time.Second), "that list may be older")
	p.SetEndpoints(nil)
	p.SetEndpoints(list)
	require.False(t, isOpen(2*time.Second), "it was not listed for a while")
	p.SetWarmups(&placer.Warmups{}, at(time.Minute))
	require.False(t, isOpen(time.Minute), "the list was not read again")
	p.SetWarmups(&placer.Warmups{ListRead: at(time.Second + listLag + 1)}, at(time.Minute))
	require.True(t, isOpen(time.Minute))
	cold, _ := p.ColdState(at(time.Minute))
	require.Zero(t, cold)
}

// Guards against a new leader whose first list is older than what the former one knew.
func TestListOfAnotherLeaderKeepsEndpointsCold(t *testing.T) {
	p, list := newWarming(1, 1)
	p.DoubtCold(at(time.Second))
	list[0].ColdUntil = 0
	p.SetEndpoints(list)
	p.SetWarmups(&placer.Warmups{ListRead: at(time.Second)}, at(time.Second))
	cold, _ := p.ColdState(at(time.Second))
	require.Equal(t, 1, cold)
	p.SetWarmups(&placer.Warmups{ListRead: at(2 * time.Second)}, at(2*time.Second))
	cold, _ = p.ColdState(at(2 * time.Second))
	require.Zero(t, cold)
}

// Guards against cold endpoints that get calls which warm ones serve sooner, and against calls that are
// refused because those that were drawn from a larger service are cold.
func TestWarmEndpointsArePreferred(t *testing.T) {
	for _, n := range []int{6, 60} {
		p, _ := newWarming(n, n-n/6)
		for range 50 {
			r := requestAt(0)
			r.Prompt, r.Blocks = 0, nil
			c, _, _ := p.Place(r)
			require.NotNil(t, c, "%d endpoints", n)
			p.End(c, placer.Answered, at(0))
		}
	}
	p, _ := newWarming(3, 2)
	lease(p, 0, 1500*time.Millisecond, 0, 1)
	r := requestAt(0)
	r.Prompt, r.Blocks = 0, nil
	c, _, _ := p.Place(r)
	require.Equal(t, "e2", c.Endpoint().ID)
}

// Guards against decisions that change where no service warms up, whatever is known of cold endpoints.
func TestPlacingIsAsBeforeWithoutWarmUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := newEndpoints(rapid.IntRange(1, 20).Draw(t, "endpoints"), rapid.IntRange(1, 8).Draw(t, "slots"))
		one, two := placer.New(), placer.New()
		one.SetEndpoints(list)
		for i := range list {
			list[i].ColdUntil = at(time.Hour).UnixMilli()
		}
		two.SetWarming(map[string]bool{"another": true}, listLag)
		two.SetEndpoints(list)
		var running [][2]*placer.Choice
		for i := range 60 {
			now := time.Duration(i) * 30 * time.Millisecond
			address := rapid.SampledFrom(list).Draw(t, "endpoint")
			require.False(t, two.LoseContact(address.Address, at(now)))
			two.MarkCold(&address, time.Second, at(now))
			lease(two, now, now+time.Second, 0, 1)
			if len(running) > 0 && rapid.Bool().Draw(t, "ends") {
				c := running[0]
				running = running[1:]
				outcome := placer.Outcome(rapid.IntRange(0, 5).Draw(t, "outcome"))
				one.End(c[0], outcome, at(now))
				two.End(c[1], outcome, at(now))
			}
			r := requestAt(now)
			r.Prompt = rapid.IntRange(0, 9000).Draw(t, "prompt")
			a, refusalA, waitA := one.Place(r)
			b, refusalB, waitB := two.Place(r)
			require.Equal(t, refusalA, refusalB)
			require.Equal(t, waitA, waitB)
			if a == nil {
				continue
			}
			require.Equal(t, a.Endpoint().ID, b.Endpoint().ID)
			require.Equal(t, a.Predicted(), b.Predicted())
			require.Equal(t, one.MaySend(a, at(now)), two.MaySend(b, at(now)))
			running = append(running, [2]*placer.Choice{a, b})
		}
	})
}
