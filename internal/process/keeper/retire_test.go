package keeper

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/journaler"
)

// newLeader returns the leader of a log with that many voters, all members with the leader
// first, and the time.
func newLeader(t *testing.T, voters int, retire time.Duration) (*Core, []Member, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	members := make([]Member, voters)
	for i := range members {
		members[i] = Member{ID: string(rune('a' + i)), Name: string(rune('a' + i)), Voter: true}
	}
	c := NewCore(CoreConfig{
		State: journaler.State{Identity: "a", Cluster: "x", Term: 3}, Now: now, Rand: rand.New(rand.NewPCG(1, 1)),
		Entries: []journaler.Entry{{Index: 1, Term: 3, Kind: journaler.KindMembers, Data: encodeMembers(members)}}, RetireAfter: retire,
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

// runHeartbeats lets that many followers answer all heartbeats for the duration.
func runHeartbeats(c *Core, members []Member, now time.Time, duration time.Duration, responsive int) time.Time {
	for end := now.Add(duration); now.Before(end); now = now.Add(c.heartbeatInterval) {
		c.Tick(now)
		c.Take()
		c.Persisted(now)
		for _, m := range members[1 : 1+responsive] {
			c.Step(now, Message{Kind: KindAppendReply, Cluster: "x", From: m.ID, To: "a", Term: c.state.Term, Index: c.log.last(), Round: c.round})
		}
	}
	return now
}

// An unresponsive voter is removed only after the retirement time, and only while three
// responsive voters remain, which are a quorum without it.
func TestSilentVotersAreRetired(t *testing.T) {
	const retire = 15 * time.Second
	cases := map[string]struct {
		voters, responsive int // responsive followers, without the leader
		retire, duration   time.Duration
		wantMembers        int
	}{
		"one of five":                 {5, 3, retire, 20 * time.Second, 4},
		"two of five":                 {5, 2, retire, 40 * time.Second, 3},
		"before the retirement time":  {5, 3, retire, 10 * time.Second, 5},
		"retirement disabled":         {5, 3, 0, 60 * time.Second, 5},
		"one of three is kept":        {3, 1, retire, 60 * time.Second, 3},
		"all responsive":              {5, 4, retire, 60 * time.Second, 5},
		"one of four, two responsive": {4, 2, retire, 20 * time.Second, 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, members, now := newLeader(t, tc.voters, tc.retire)
			runHeartbeats(c, members, now, tc.duration, tc.responsive)
			require.Equal(t, RoleLeader, c.role)
			require.Len(t, c.Members(), tc.wantMembers)
		})
	}
}
