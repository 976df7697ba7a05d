package keeper

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/journaler"
)

// leaderOf returns a leader of voters, of which those in heard answer.
func leaderOf(t *testing.T, voters int, retire time.Duration) (*Core, []Member, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	members := make([]Member, voters)
	for i := range members {
		members[i] = Member{ID: string(rune('a' + i)), Name: string(rune('a' + i)), Voter: true}
	}
	c := NewCore(CoreConfig{
		State: journaler.State{Identity: "a", Cluster: "x", Term: 3}, Now: now, Rand: rand.New(rand.NewPCG(1, 1)),
		Entries: []journaler.Entry{{Index: 1, Term: 3, Kind: journaler.KindMembers, Data: encodeMembers(members)}}, Retire: retire,
	})
	now = now.Add(3 * time.Second)
	c.Tick(now)
	for _, kind := range []MessageKind{KindPreVoteReply, KindVoteReply} {
		c.Take()
		c.Persisted(now)
		for _, m := range members[1:] {
			c.Step(now, Message{Kind: kind, Cluster: "x", From: m.ID, To: "a", Term: 4})
		}
	}
	require.Equal(t, RoleLeader, c.role)
	return c, members, now
}

// beatFor lets the first heard followers answer each heartbeat for a while.
func beatFor(c *Core, members []Member, now time.Time, lasts time.Duration, heard int) time.Time {
	for end := now.Add(lasts); now.Before(end); now = now.Add(c.heartbeat) {
		c.Tick(now)
		c.Take()
		c.Persisted(now)
		for _, m := range members[1 : 1+heard] {
			c.Step(now, Message{Kind: KindAppendReply, Cluster: "x", From: m.ID, To: "a", Term: c.state.Term, Index: c.log.last(), Round: c.round})
		}
	}
	return now
}

// A voter that is gone for long leaves the log, but only while the others that are
// heard are a quorum without it, and never so that fewer than three are left.
func TestSilentVotersAreRetired(t *testing.T) {
	const retire = 15 * time.Second
	cases := map[string]struct {
		voters, heard int // heard besides the leader
		retire, lasts time.Duration
		left          int
	}{
		"one of five":            {5, 3, retire, 20 * time.Second, 4},
		"two of five":            {5, 2, retire, 40 * time.Second, 3},
		"not yet":                {5, 3, retire, 10 * time.Second, 5},
		"never":                  {5, 3, 0, 60 * time.Second, 5},
		"one of three is kept":   {3, 1, retire, 60 * time.Second, 3},
		"all answer, none goes":  {5, 4, retire, 60 * time.Second, 5},
		"one of four, two heard": {4, 2, retire, 20 * time.Second, 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, members, now := leaderOf(t, tc.voters, tc.retire)
			beatFor(c, members, now, tc.lasts, tc.heard)
			require.Equal(t, RoleLeader, c.role)
			require.Len(t, c.Members(), tc.left)
		})
	}
}
