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

const maxStaleness = 8 * time.Second

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

// TestNeverReverts offers bodies in random order, some of them corrupt, and checks that the one in force is
// always the newest intact one that was offered.
func TestNeverReverts(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		c := NewCore(maxStaleness)
		var highest uint64
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			b := bodyOf(rapid.Uint64Range(1, 6).Draw(t, "number"))
			switch rapid.SampledFrom([]string{"receive", "offer", "corrupt", "other"}).Draw(t, "step") {
			case "receive":
				c.ReceiveRevision(b.Revision, now)
				continue
			case "corrupt":
				b.Text += "x"
			case "other":
				b.Revision.Term = 2
			}
			wanted, err := c.ShouldApply(b, now)
			intact := b == bodyOf(b.Revision.Number)
			if !intact {
				require.True(t, err != nil || !wanted || b.Revision.Number > highest)
			}
			if err == nil && wanted {
				require.Greater(t, b.Revision.Number, highest)
				require.NoError(t, b.verifyHash())
				highest = b.Revision.Number
				c.Applied(b)
			} else if intact && err == nil {
				require.LessOrEqual(t, b.Revision.Number, highest)
			}
			require.Equal(t, highest, c.ActiveBody().Revision.Number)
		}
	})
}

func TestReady(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	newCore := func() *Core {
		c := NewCore(maxStaleness)
		wanted, err := c.ShouldApply(bodyOf(3), start)
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
		"not before a read through the leader": {func(c *Core) { c.MajorityAnswered(start) }, 0, ErrNotRead},
		"after a read through the leader":      {func(c *Core) { c.ReadDone(bodyOf(3).Revision, start, start) }, maxStaleness, nil},
		"not after the leader's answer expired": {
			func(c *Core) { c.ReadDone(bodyOf(3).Revision, start, start) }, maxStaleness + 1, ErrNoContact},
		"while a majority answers": {func(c *Core) {
			c.ReadDone(bodyOf(3).Revision, start, start)
			c.MajorityAnswered(start.Add(maxStaleness))
		}, maxStaleness + maxStaleness/2, nil},
		"not after the majority stopped answering": {func(c *Core) {
			c.ReadDone(bodyOf(3).Revision, start, start)
			c.MajorityAnswered(start.Add(maxStaleness))
		}, maxStaleness + maxStaleness/2 + 1, ErrNoContact},
		"not when a newer revision is unavailable": {func(c *Core) {
			c.ReadDone(bodyOf(3).Revision, start, start)
			c.ReceiveRevision(bodyOf(4).Revision, start)
			c.ReceiveRevision(bodyOf(5).Revision, start.Add(maxStaleness))
			c.MajorityAnswered(start.Add(maxStaleness))
		}, maxStaleness + 1, ErrBehind},
		"for a limited time while a newer revision is fetched": {func(c *Core) {
			c.ReadDone(bodyOf(3).Revision, start, start)
			c.ReceiveRevision(bodyOf(4).Revision, start)
		}, maxStaleness, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCore()
			tt.prepare(c)
			require.ErrorIs(t, c.Ready(start.Add(tt.after)), tt.want)
		})
	}
}

func TestConflictingAndDamagedBodiesAreRefused(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := NewCore(maxStaleness)
	c.ReceiveRevision(bodyOf(2).Revision, now)
	other := bodyOf(2)
	other.Text = "another"
	_, err := c.ShouldApply(other, now)
	require.ErrorIs(t, err, ErrCorrupt)
	other.Revision.Hash = xxhash.Sum64String(other.Text)
	_, err = c.ShouldApply(other, now)
	require.ErrorIs(t, err, ErrConflict)
}

// fakeEnvironment holds the fake dependencies of a fetcher.
type fakeEnvironment struct {
	applied chan Body
	latest  atomic.Uint64 // revision of the leader; 0 means unreachable
	held    atomic.Uint64 // revision that the peer has
	members []gossiper.Member
}

// memberWith returns a member as gossip lists it.
func memberWith(t *testing.T, id string, address string, roles gossiper.Roles, revision uint64) gossiper.Member {
	t.Helper()
	c := gossiper.NewCore(gossiper.Settings{
		ID: id, Incarnation: 1, Address: netip.MustParseAddrPort(address), Roles: roles,
	}, time.Unix(1_700_000_000, 0))
	c.SetActiveRevision(revision, time.Unix(1_700_000_000, 0))
	m, ok := c.Member(id)
	require.True(t, ok)
	return m
}

func startFetcher(t *testing.T, fk *fakeEnvironment) *Fetcher {
	t.Helper()
	fk.applied = make(chan Body, 100)
	f := New(Config{
		MaxStaleness: maxStaleness, Self: "self", Clock: clock.System{}, Log: log.New(io.Discard),
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
		QueryRevision: func(_ context.Context, at netip.AddrPort) (uint64, error) {
			if at.Port() == 1 {
				return 0, errors.New("no answer")
			}
			return fk.held.Load(), nil
		},
		Apply:             func(b Body) error { fk.applied <- b; return nil },
		Members:           func() []gossiper.Member { return append([]gossiper.Member(nil), fk.members...) },
		HasMajority:       func(time.Duration) bool { return true },
		SetActiveRevision: func(uint64) {}, Announce: func(gossiper.Revision) {},
	})
	f.Start()
	t.Cleanup(f.Stop)
	return f
}

func TestReceivedRevisionIsFetchedAndApplied(t *testing.T) {
	fk := &fakeEnvironment{members: []gossiper.Member{memberWith(t, "k", "127.0.0.1:2", gossiper.Keeper, 0)}}
	f := startFetcher(t, fk)
	require.ErrorIs(t, f.Ready(), ErrNotRead)
	fk.latest.Store(4)
	require.Equal(t, bodyOf(4), <-fk.applied)
	require.Eventually(t, func() bool { return f.Ready() == nil }, time.Minute, time.Millisecond)

	f.ReceiveRevision(bodyOf(6).Revision)
	fk.held.Store(6)
	require.Equal(t, bodyOf(6), <-fk.applied)
	require.NoError(t, f.Offer(bodyOf(5)), "an older one is skipped")
	require.Empty(t, fk.applied)
	require.Eventually(t, func() bool { return f.ActiveBody() == bodyOf(6) }, time.Minute, time.Millisecond)
}

func TestWaitingListsMembersWithAnOlderRevision(t *testing.T) {
	fk := &fakeEnvironment{}
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
