package fetcher

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/gossiper"
)

const bound = 8 * time.Second

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m,
		goleak.IgnoreCurrent(),
		// The worker pool of gnet is shared by all engines and outlives them.
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*goWorker).run.func1"))
}

func bodyOf(number uint64) Body {
	text := fmt.Sprint("text ", number)
	return Body{Revision: gossiper.Revision{Number: number, Term: 1, Hash: xxhash.Sum64String(text)}, Text: text}
}

// TestNeverReverts offers bodies in any order, some of them damaged, and
// compares with the naive rule: the highest sound one that was offered.
func TestNeverReverts(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		c := NewCore(bound)
		var highest uint64
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			b := bodyOf(rapid.Uint64Range(1, 6).Draw(t, "number"))
			switch rapid.SampledFrom([]string{"hear", "offer", "damage", "other"}).Draw(t, "step") {
			case "hear":
				c.Hear(b.Revision, now)
				continue
			case "damage":
				b.Text += "x"
			case "other":
				b.Revision.Term = 2
			}
			wanted, err := c.Judge(b, now)
			sound := b == bodyOf(b.Revision.Number)
			if !sound {
				require.True(t, err != nil || !wanted || b.Revision.Number > highest)
			}
			if err == nil && wanted {
				require.Greater(t, b.Revision.Number, highest)
				require.NoError(t, b.check())
				highest = b.Revision.Number
				c.Applied(b)
			} else if sound && err == nil {
				require.LessOrEqual(t, b.Revision.Number, highest)
			}
			require.Equal(t, highest, c.Running().Revision.Number)
		}
	})
}

func TestReady(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	fresh := func() *Core {
		c := NewCore(bound)
		wanted, err := c.Judge(bodyOf(3), start)
		require.True(t, wanted)
		require.NoError(t, err)
		c.Applied(bodyOf(3))
		return c
	}
	tests := map[string]struct {
		prepare func(*Core)
		after   time.Duration
		want    error
	}{
		"not before the leader was read": {func(c *Core) { c.Touch(start) }, 0, ErrUnread},
		"after the leader was read":      {func(c *Core) { c.ReadDone(bodyOf(3).Revision, start, start) }, bound, nil},
		"not when the leader answered long ago": {
			func(c *Core) { c.ReadDone(bodyOf(3).Revision, start, start) }, bound + 1, ErrOutOfTouch},
		"while peers answer": {func(c *Core) {
			c.ReadDone(bodyOf(3).Revision, start, start)
			c.Touch(start.Add(bound))
		}, bound + bound/2, nil},
		"not when peers fell silent": {func(c *Core) {
			c.ReadDone(bodyOf(3).Revision, start, start)
			c.Touch(start.Add(bound))
		}, bound + bound/2 + 1, ErrOutOfTouch},
		"not when a newer revision can't be had": {func(c *Core) {
			c.ReadDone(bodyOf(3).Revision, start, start)
			c.Hear(bodyOf(4).Revision, start)
			c.Hear(bodyOf(5).Revision, start.Add(bound))
			c.Touch(start.Add(bound))
		}, bound + 1, ErrBehind},
		"for a while when a newer one is on its way": {func(c *Core) {
			c.ReadDone(bodyOf(3).Revision, start, start)
			c.Hear(bodyOf(4).Revision, start)
		}, bound, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := fresh()
			tt.prepare(c)
			require.ErrorIs(t, c.Ready(start.Add(tt.after)), tt.want)
		})
	}
}

func TestConflictingAndDamagedBodiesAreRefused(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := NewCore(bound)
	c.Hear(bodyOf(2).Revision, now)
	other := bodyOf(2)
	other.Text = "another"
	_, err := c.Judge(other, now)
	require.ErrorIs(t, err, ErrCorrupt)
	other.Revision.Hash = xxhash.Sum64String(other.Text)
	_, err = c.Judge(other, now)
	require.ErrorIs(t, err, ErrConflict)
}

// fakes are the surroundings of a fetcher.
type fakes struct {
	applied chan Body
	latest  atomic.Uint64 // of the leader; 0 is unreachable
	held    atomic.Uint64 // by the peer
	members []gossiper.Member
}

// memberWith returns a member of a view.
func memberWith(t *testing.T, id string, address string, roles gossiper.Roles, running uint64) gossiper.Member {
	t.Helper()
	c := gossiper.NewCore(gossiper.Settings{
		ID: id, Incarnation: 1, Address: netip.MustParseAddrPort(address), Roles: roles,
	}, time.Unix(1_700_000_000, 0))
	c.SetActiveRevision(running, time.Unix(1_700_000_000, 0))
	m, ok := c.Member(id)
	require.True(t, ok)
	return m
}

func startFetcher(t *testing.T, fk *fakes) *Fetcher {
	t.Helper()
	fk.applied = make(chan Body, 100)
	f := New(Config{
		Bound: bound, Self: "self", Clock: clock.System{}, Log: log.New(io.Discard),
		ReadLatest: func(context.Context) (Body, error) {
			if n := fk.latest.Load(); n > 0 {
				return bodyOf(n), nil
			}
			return Body{}, errors.New("no leader")
		},
		Fetch: func(_ context.Context, _ netip.AddrPort, number uint64) (Body, error) {
			if n := fk.held.Load(); n >= number {
				return bodyOf(n), nil
			}
			return Body{}, errors.New("not here")
		},
		Ask: func(_ context.Context, at netip.AddrPort) (uint64, error) {
			if at.Port() == 1 {
				return 0, errors.New("no answer")
			}
			return fk.held.Load(), nil
		},
		Apply:      func(b Body) error { fk.applied <- b; return nil },
		Members:    func() []gossiper.Member { return append([]gossiper.Member(nil), fk.members...) },
		HasMost:    func(time.Duration) bool { return true },
		SetRunning: func(uint64) {}, Announce: func(gossiper.Revision) {},
	})
	f.Start()
	t.Cleanup(f.Stop)
	return f
}

func TestHeardRevisionIsFetchedAndApplied(t *testing.T) {
	fk := &fakes{members: []gossiper.Member{memberWith(t, "k", "127.0.0.1:2", gossiper.Keeper, 0)}}
	f := startFetcher(t, fk)
	require.ErrorIs(t, f.Ready(), ErrUnread)
	fk.latest.Store(4)
	require.Equal(t, bodyOf(4), <-fk.applied)
	require.Eventually(t, func() bool { return f.Ready() == nil }, time.Minute, time.Millisecond)

	f.Hear(bodyOf(6).Revision)
	fk.held.Store(6)
	require.Equal(t, bodyOf(6), <-fk.applied)
	require.NoError(t, f.Offer(bodyOf(5)), "an older one is passed over")
	require.Empty(t, fk.applied)
	require.Eventually(t, func() bool { return f.Running() == bodyOf(6) }, time.Minute, time.Millisecond)
}

func TestWaitingNamesWhoDoesNotRunIt(t *testing.T) {
	fk := &fakes{}
	fk.members = []gossiper.Member{
		memberWith(t, "known", "127.0.0.1:2", gossiper.Entry, 5),
		memberWith(t, "asked", "127.0.0.1:3", gossiper.Entry, 3),
		memberWith(t, "silent", "127.0.0.1:1", gossiper.Entry, 3),
	}
	fk.held.Store(5)
	f := startFetcher(t, fk)
	require.Equal(t, []string{"silent"}, f.Waiting(context.Background(), 5))
	require.Equal(t, []string{"asked", "known", "silent"}, f.Waiting(context.Background(), 6))
}
