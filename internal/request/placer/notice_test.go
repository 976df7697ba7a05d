package placer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/request/placer"
)

const drain = 3 * time.Second

// life is one life of an endpoint in the property below, and what it has said.
type life struct {
	id           string
	address      byte
	leavingSince time.Time
	pausedUntil  time.Time
	isFull       bool // it rejected a call
}

func (l *life) listed() placer.Endpoint {
	return placer.Endpoint{
		ID: l.id, Service: "desk", Slots: 64,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, l.address}), 80),
	}
}

// Whatever endpoints answer, however they are born again, and whatever the list shows, no
// call is sent to an endpoint in its pause, or later than the time to drain after it said
// that it leaves, or while another endpoint can serve. One that has said nothing serves.
func TestNothingIsSentInBreach(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := placer.New()
		p.SetDrain(drain)
		boot, births := start, byte(0)
		var lives []*life // of the listed endpoints
		var choices []*placer.Choice
		var chosen []*life
		var hidden []*life // run, but the list lacks them for now
		born := func(id string) *life {
			births++
			return &life{id: id, address: births}
		}
		list := func() {
			var listed []placer.Endpoint
			for _, l := range lives {
				listed = append(listed, l.listed())
			}
			p.SetEndpoints(listed)
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "endpoints") {
			lives = append(lives, born(fmt.Sprint(i)))
		}
		list()
		pick := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				boot = boot.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
				p.Expire(boot)
			},
			"list again": func(*rapid.T) { list() },
			"missing from the list for a while": func(*rapid.T) {
				if len(lives) == 0 {
					return
				}
				i := pick("hidden", len(lives))
				hidden, lives = append(hidden, lives[i]), append(lives[:i:i], lives[i+1:]...)
				list()
			},
			"listed again": func(*rapid.T) {
				lives, hidden = append(lives, hidden...), nil
				list()
			},
			"born again": func(*rapid.T) {
				if len(lives) > 0 {
					i := pick("reborn", len(lives))
					lives[i] = born(lives[i].id)
					list()
				}
			},
			"choose": func(t *rapid.T) {
				req := &placer.Request{Service: "desk", Now: boot, Boot: boot, IsLastResort: rapid.Bool().Draw(t, "last resort")}
				c, refusal, wait := p.Place(req)
				if c != nil {
					choices = append(choices, c)
					for _, l := range lives {
						if l.id == c.Endpoint().ID {
							chosen = append(chosen, l)
						}
					}
					return
				}
				for _, l := range lives {
					isFree := !l.isFull && l.leavingSince.IsZero() && l.pausedUntil.IsZero()
					require.False(t, isFree, "endpoint %s has said nothing and gets no calls", l.id)
					if refusal == placer.RefusedPaused && l.leavingSince.IsZero() {
						require.False(t, boot.Add(wait).Before(l.pausedUntil) && len(lives) == 1, "the wait is true")
					}
				}
			},
			"send and answer": func(t *rapid.T) {
				if len(choices) == 0 {
					return
				}
				i := pick("sent", len(choices))
				c, l := choices[i], chosen[i]
				choices, chosen = append(choices[:i:i], choices[i+1:]...), append(chosen[:i:i], chosen[i+1:]...)
				if !p.MaySend(c, boot) {
					p.End(c, placer.Abandoned, boot)
					return
				}
				require.False(t, boot.Before(l.pausedUntil), "sent to %s in its pause", l.id)
				if !l.leavingSince.IsZero() {
					require.Less(t, boot.Sub(l.leavingSince), drain, "sent to %s after it had left", l.id)
				}
				e := c.Endpoint()
				e.Address = l.listed().Address
				outcome := rapid.SampledFrom([]placer.Outcome{placer.Answered, placer.Failed, placer.Rejected}).Draw(t, "outcome")
				l.isFull = l.isFull || outcome == placer.Rejected
				if rapid.IntRange(0, 4).Draw(t, "leaves") == 0 {
					p.MarkLeaving(&e, boot)
					if l.leavingSince.IsZero() {
						l.leavingSince = boot
					}
				}
				if rapid.IntRange(0, 2).Draw(t, "pauses") == 0 {
					d := time.Duration(rapid.IntRange(1, 8000).Draw(t, "pause")) * time.Millisecond
					p.Pause(&e, d, boot)
					if until := boot.Add(d); until.After(l.pausedUntil) {
						l.pausedUntil = until
					}
				}
				p.End(c, outcome, boot)
			},
		})
	})
}

func place(p *placer.Placer, boot time.Time) *placer.Choice {
	c, _, _ := p.Place(&placer.Request{Service: "desk", Now: boot, Boot: boot})
	return c
}

// After a pause a node returns with one call, and with more as it gets answers. Many nodes
// do not return at the same time.
func TestReturnFromAPause(t *testing.T) {
	list := newEndpoints(1, 640)
	const pause = 4 * time.Second
	returned := make(map[time.Duration]int)
	for range 40 {
		p := placer.New()
		p.SetEndpoints(list)
		p.Pause(&list[0], pause, start)
		boot := start.Add(pause - 1)
		require.Nil(t, place(p, boot))
		c := place(p, boot)
		for ; c == nil; c = place(p, boot) {
			boot = boot.Add(10 * time.Millisecond)
		}
		returned[boot.Sub(start)]++
		require.LessOrEqual(t, boot.Sub(start), pause*5/4+10*time.Millisecond)
		require.Nil(t, place(p, boot), "the first call has no answer yet")
		p.RecordFirst(c, boot)
		for _, n := range []int{2, 4, 8, 16} {
			var sent []*placer.Choice
			for c := place(p, boot); c != nil; c = place(p, boot) {
				sent = append(sent, c)
			}
			require.Len(t, sent, n)
			for i, c := range sent {
				// Half of them grow the limit once; the others only free their places.
				outcome := placer.Failed
				if i == 0 {
					outcome = placer.Answered
				}
				p.End(c, outcome, boot)
			}
		}
		for range 100 {
			require.NotNil(t, place(p, boot), "the return is complete")
		}
	}
	for at, n := range returned {
		require.Less(t, n, 10, "nodes that return after %s", at)
	}
}

// The notices of endpoints that are no longer listed are kept for a while and bounded.
func TestNoticesAreForgotten(t *testing.T) {
	p := placer.New()
	for i := range 3000 {
		e := placer.Endpoint{ID: fmt.Sprint(i), Service: "desk", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)}
		p.SetEndpoints([]placer.Endpoint{e})
		require.True(t, p.MarkLeaving(&e, start))
		require.False(t, p.MarkLeaving(&e, start), "known already")
		p.Expire(start.Add(time.Duration(i) * time.Millisecond))
	}
	require.Len(t, p.Notices(), 1025, "the listed one and the newest others")
	p.Expire(start.Add(time.Hour))
	notices := p.Notices()
	require.Len(t, notices, 1)
	require.True(t, notices[0].IsListed)
}

// The end of a pause is reported once.
func TestEndOfAPauseIsReported(t *testing.T) {
	p := placer.New()
	list := newEndpoints(2, 64)
	p.SetEndpoints(list)
	require.True(t, p.Pause(&list[0], time.Second, start))
	require.False(t, p.Pause(&list[0], 2*time.Second, start), "extends a pause in force")
	returned, left := p.Expire(start.Add(time.Second))
	require.Empty(t, returned)
	require.Empty(t, left)
	returned, _ = p.Expire(start.Add(time.Minute))
	require.Len(t, returned, 1)
	require.Equal(t, "e0", returned[0].ID)
	returned, _ = p.Expire(start.Add(time.Hour))
	require.Empty(t, returned)
}

// An endpoint that had left was started again and asked for a pause before its start was known here. It got calls in
// that pause.
func TestPauseOfANewLifeIsKept(t *testing.T) {
	cases := map[string]struct {
		pausedAt time.Duration // after start
		isKept   bool
	}{
		"asked for before the start": {500 * time.Millisecond, false},
		"asked for after the start":  {3 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := placer.New()
			list := newEndpoints(1, 64)
			p.SetEndpoints(list)
			p.MarkLeaving(&list[0], start)
			require.True(t, p.Pause(&list[0], time.Minute, start.Add(c.pausedAt)))
			require.True(t, p.Reborn(&list[0], 1000, start.Add(2*time.Second)))
			isPlaced := place(p, start.Add(10*time.Second)) != nil
			require.Equal(t, c.isKept, !isPlaced)
			if c.isKept {
				require.NotNil(t, place(p, start.Add(90*time.Second)), "the pause is over")
			}
		})
	}
}
