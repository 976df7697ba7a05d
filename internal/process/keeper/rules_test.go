package keeper

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/journaler"
)

var ruleStart = time.Unix(1000, 0)

func entryOf(index, term uint64) journaler.Entry {
	return journaler.Entry{Index: index, Term: term, Kind: journaler.KindCommand}
}

// newFollower returns the core of id-1. Entry 1, of term 1, holds the voters id-1 to id-3; the
// given entries follow.
func newFollower(entries ...journaler.Entry) *Core {
	var members []Member
	for _, id := range []string{"id-1", "id-2", "id-3"} {
		members = append(members, Member{ID: id, Name: "k-" + id, Voter: true})
	}
	first := journaler.Entry{Index: 1, Term: 1, Kind: journaler.KindMembers, Data: encodeMembers(members)}
	return NewCore(CoreConfig{
		State:   journaler.State{Identity: "id-1", Cluster: "c", Term: 2},
		Entries: append([]journaler.Entry{first}, entries...), Now: ruleStart, Rand: rand.New(rand.NewPCG(1, 1)),
		ElectionTimeout: modelElection, HeartbeatInterval: modelHeartbeat,
	})
}

func step(c *Core, now time.Time, m Message) Output {
	m.To, m.Cluster = c.id, "c"
	c.Step(now, m)
	out := c.Take()
	c.Persisted(now)
	return out
}

// electLeader makes the core the leader of term 3 and returns the time.
func electLeader(t *testing.T, c *Core) time.Time {
	now := ruleStart.Add(2 * modelElection)
	c.Tick(now)
	step(c, now, Message{Kind: KindPreVoteReply, From: "id-2", Term: 3})
	step(c, now, Message{Kind: KindVoteReply, From: "id-2", Term: 3})
	require.Equal(t, RoleLeader, c.role)
	return now
}

// ack lets id-2 acknowledge everything up to index in the newest round.
func ack(c *Core, now time.Time, index uint64) Output {
	return step(c, now, Message{Kind: KindAppendReply, From: "id-2", Term: c.state.Term, Index: index, Round: c.round})
}

func grants(out Output) bool {
	for _, m := range out.Messages {
		if m.Kind == KindVoteReply && !m.Reject {
			return true
		}
	}
	return false
}

func vote(term uint64) Message {
	return Message{Kind: KindVote, From: "id-3", Term: term, Index: 9, LogTerm: 9}
}

func TestRestartedKeeperKeepsThePromisesThatItMayHaveMade(t *testing.T) {
	c := newFollower()
	require.False(t, grants(step(c, ruleStart.Add(modelElection/2), vote(3))))
	require.True(t, grants(step(c, ruleStart.Add(modelElection), vote(3))))
}

func TestDeposedLeaderKeepsItsOwnPromise(t *testing.T) {
	c := newFollower()
	now := electLeader(t, c)
	ack(c, now, 2)
	until, ok := c.Lease(now)
	require.True(t, ok)
	step(c, now, Message{Kind: KindAppendReply, From: "id-3", Term: 4, Reject: true})
	require.Equal(t, RoleFollower, c.role)
	require.False(t, grants(step(c, until.Add(-time.Millisecond), vote(5))))
	require.True(t, grants(step(c, until, vote(5))))
}

func TestEntriesOfEarlierTermsAreCommittedWithOneOfTheOwn(t *testing.T) {
	c := newFollower(entryOf(2, 1))
	now := electLeader(t, c)
	ack(c, now, 2)
	require.Zero(t, c.commit, "a quorum holds entry 2, but a later leader may still replace it")
	ack(c, now, 3)
	require.Equal(t, uint64(3), c.commit)
}

func TestMembersChangeOneAtATime(t *testing.T) {
	c := newFollower()
	now := electLeader(t, c)
	require.False(t, c.Join(now, Member{ID: "id-4", Name: "d"}), "before an entry of the own term is committed")
	ack(c, now, 2)
	require.True(t, c.Join(now, Member{ID: "id-4", Name: "d"}))
	require.False(t, c.Join(now, Member{ID: "id-5", Name: "e"}), "before the first change is committed")
	require.False(t, c.Remove(now, "k-id-3"))
	c.Take()
	c.Persisted(now)
	ack(c, now, 3)
	require.True(t, c.Join(now, Member{ID: "id-5", Name: "e"}))
}

func TestLateAppendLeavesConfirmedEntries(t *testing.T) {
	c := newFollower()
	fresh := Message{Kind: KindAppend, From: "id-2", Term: 2, Index: 1, LogTerm: 1}
	late := fresh
	fresh.Entries = []journaler.Entry{entryOf(2, 2), entryOf(3, 2), entryOf(4, 2)}
	late.Entries = fresh.Entries[:1]
	step(c, ruleStart, fresh)
	out := step(c, ruleStart, late)
	require.Equal(t, uint64(4), c.log.last())
	require.Empty(t, out.Entries)
}

func TestLeaseIsReleasedBeforeTheSuccessorCampaigns(t *testing.T) {
	c := newFollower()
	now := electLeader(t, c)
	ack(c, now, 2)
	require.True(t, c.Transfer(now))
	_, ok := c.Lease(now)
	require.False(t, ok)
	c.Read(now, 1)
	out := c.Take()
	require.Empty(t, out.Reads, "a read needs a quorum now")
	require.Contains(t, out.Messages, Message{Kind: KindCampaign, Cluster: "c", From: "id-1", To: "id-2", Term: 3})
}

func TestMessagesForAnotherIdentityOrLogAreIgnored(t *testing.T) {
	now := ruleStart.Add(modelElection)
	tests := map[string]Message{
		"identity from before the disk was lost": {Kind: KindVote, From: "id-3", To: "id-0", Cluster: "c", Term: 3, Index: 9, LogTerm: 9},
		"another log":                            {Kind: KindVote, From: "id-3", To: "id-1", Cluster: "x", Term: 3, Index: 9, LogTerm: 9},
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			c := newFollower()
			c.Step(now, m)
			out := c.Take()
			require.True(t, out.IsEmpty())
			require.Equal(t, uint64(2), c.state.Term)
		})
	}
}
