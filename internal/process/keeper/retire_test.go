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

// Learners that are gone stayed members for ever, and nodes were told to ask them.
func TestSilentLearnersAreRetired(t *testing.T) {
	c, members, now := newLeader(t, 3, time.Second)
	now = runHeartbeats(c, members, now, time.Second, 2)
	require.True(t, c.Join(now, Member{ID: "x", Name: "x"}))
	now = runHeartbeats(c, members, now, time.Second/2, 2)
	require.Len(t, c.Members(), 4)
	runHeartbeats(c, members, now, 2*time.Second, 2)
	require.Len(t, c.Members(), 3)
}

// With two losses tolerated, five responsive voters must remain: the loss of two of three would
// lose what was acknowledged.
func TestVotersForToleratedLossesRemain(t *testing.T) {
	cases := map[string]struct{ voters, responsive, wantMembers int }{
		"five of nine": {9, 4, 5},
		"five of six":  {6, 4, 5},
		"four of six":  {6, 3, 6},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, members, now := newLeader(t, tc.voters, time.Second)
			c.minVoters = 5
			runHeartbeats(c, members, now, 20*time.Second, tc.responsive)
			require.Len(t, c.Members(), tc.wantMembers)
		})
	}
}

// A keeper that was cut off for longer than the retirement time is a voter again afterwards.
func TestRetiredKeeperJoinsAgain(t *testing.T) {
	d := newDeployment(t, 5)
	d.retireAfter = 2 * d.election
	d.startAll()
	d.applyRules(0, 5)
	d.requireVoters(5)
	lost := d.names[0]
	d.isolate(lost, true)
	d.eventually("the removal", func() bool {
		for _, k := range d.keepers {
			if _, ok := k.Lease(); ok && k.config.Name != lost {
				return len(k.Status().Members) == 4
			}
		}
		return false
	})
	d.isolate(lost, false)
	d.requireVoters(5)
	d.requireRevision(5)
}
