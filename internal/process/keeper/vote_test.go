package keeper

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/journaler"
)

// delayedMessage is a message in transit, with its arrival time.
type delayedMessage struct {
	at      time.Duration
	message Message
}

// staggeredRestart simulates keepers that restart one after the other after a power failure.
type staggeredRestart struct {
	members       []Member
	cores         map[string]*Core
	inFlight      []delayedMessage
	voteWriteTime time.Duration // time to write a vote to disk
	leader        string        // of the term before the restart, if known
}

// run ticks the keepers each millisecond and returns the time at which one leads, or 0 if none
// does within 20 s.
func (r *staggeredRestart) run(seed uint64, starts []time.Duration, election time.Duration) time.Duration {
	epoch := time.Unix(1000, 0)
	for at := time.Duration(0); at < 20*time.Second; at += time.Millisecond {
		now := epoch.Add(at)
		for i, m := range r.members {
			if at == starts[i] {
				r.cores[m.ID] = NewCore(CoreConfig{
					State: journaler.State{Identity: m.ID, Cluster: "x", Term: 3, Leader: r.leader}, Now: now, ElectionTimeout: election,
					Rand:    rand.New(rand.NewPCG(seed, uint64(i))),
					Entries: []journaler.Entry{{Index: 1, Term: 3, Kind: journaler.KindMembers, Data: encodeMembers(r.members)}},
				})
			}
		}
		r.deliver(at, now)
		for _, m := range r.members {
			c := r.cores[m.ID]
			if c == nil {
				continue
			}
			c.Tick(now)
			r.send(m.ID, c, at, now)
			if c.role == RoleLeader {
				return at
			}
		}
	}
	return 0
}

const (
	networkDelay = time.Millisecond      // of each message
	diskDelay    = 12 * time.Millisecond // typical time to write a vote
)

func (r *staggeredRestart) send(id string, c *Core, at time.Duration, now time.Time) {
	out := c.Take()
	c.Persisted(now)
	arrives := at + networkDelay
	if out.State != nil {
		arrives += r.voteWriteTime
	}
	for _, m := range append(out.Early, out.Messages...) {
		m.From = id
		r.inFlight = append(r.inFlight, delayedMessage{arrives, m})
	}
}

func (r *staggeredRestart) deliver(at time.Duration, now time.Time) {
	var rest []delayedMessage
	for _, f := range r.inFlight {
		c := r.cores[f.message.To]
		switch {
		case f.at > at:
			rest = append(rest, f)
		case c != nil:
			c.Step(now, f.message)
		}
	}
	r.inFlight = rest
}

// Keepers that restart one after the other elect a leader soon after a majority may vote, even
// if votes are split at first.
func TestElectionAfterStaggeredRestarts(t *testing.T) {
	const election = 500 * time.Millisecond
	const ms = time.Millisecond
	starts := []time.Duration{0, 76 * ms, 202 * ms, 282 * ms, 351 * ms}
	for seed := range uint64(500) {
		r := &staggeredRestart{cores: make(map[string]*Core), voteWriteTime: diskDelay}
		for i := range starts {
			name := string(rune('a' + i))
			r.members = append(r.members, Member{ID: name, Name: name, Voter: true})
		}
		electedAt := r.run(seed, starts, election)
		require.NotZero(t, electedAt, "seed %d", seed)
		// The third of the five may vote one election timeout after its start.
		require.Less(t, electedAt, starts[2]+election+election, "seed %d", seed)
	}
}

// A leader is elected even if disks are so slow that a vote takes longer than the shortest
// campaign timeout.
func TestElectionWithSlowDisks(t *testing.T) {
	const election = 500 * time.Millisecond
	for _, disk := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond} {
		for seed := range uint64(100) {
			r := &staggeredRestart{cores: make(map[string]*Core), voteWriteTime: disk}
			for i := range 5 {
				name := string(rune('a' + i))
				r.members = append(r.members, Member{ID: name, Name: name, Voter: true})
			}
			electedAt := r.run(seed, make([]time.Duration, 5), election)
			require.NotZero(t, electedAt, "disk %s, seed %d", disk, seed)
			require.Less(t, electedAt, 10*time.Second, "disk %s, seed %d", disk, seed)
		}
	}
}

// A leader that restarts with all others leads again as soon as a majority runs, without
// waiting for the lease of its previous process to end.
func TestRestartedLeaderLeadsAtOnce(t *testing.T) {
	const election = 500 * time.Millisecond
	const ms = time.Millisecond
	starts := []time.Duration{0, 76 * ms, 202 * ms, 282 * ms, 351 * ms}
	for _, leader := range []string{"a", "c", "e"} {
		for seed := range uint64(100) {
			r := &staggeredRestart{cores: make(map[string]*Core), voteWriteTime: diskDelay, leader: leader}
			for i := range starts {
				name := string(rune('a' + i))
				r.members = append(r.members, Member{ID: name, Name: name, Voter: true})
			}
			electedAt := r.run(seed, starts, election)
			require.NotZero(t, electedAt, "seed %d", seed)
			quorumAt := max(starts[2], starts[leader[0]-'a'])
			require.Less(t, electedAt, quorumAt+election*3/5, "leader %s, seed %d", leader, seed)
		}
	}
}

// The promise to a leader holds if another keeper announces the end of the lease, or if the
// leader names an earlier term.
func TestPromiseStaysForOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	follower := func() *Core {
		c := NewCore(CoreConfig{
			State: journaler.State{Identity: "c", Cluster: "x", Term: 3}, Now: now.Add(-time.Minute), ElectionTimeout: time.Second, HeartbeatInterval: time.Second / 4,
			Rand: rand.New(rand.NewPCG(1, 1)), Entries: []journaler.Entry{{Index: 1, Term: 3, Kind: journaler.KindMembers, Data: encodeMembers(members)}},
		})
		c.Step(now, Message{Kind: KindAppend, From: "a", To: "c", Cluster: "x", Term: 3, Index: 1, LogTerm: 3})
		return c
	}
	cases := map[string]struct {
		from      string
		endedTerm uint64
		want      bool // whether the promise still holds
	}{
		"leader, its term":        {"a", 3, false},
		"leader, no ended term":   {"a", 0, true},
		"leader, an earlier term": {"a", 2, true},
		"other keeper, same term": {"b", 3, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := follower()
			require.True(t, c.hasPromised(now))
			c.Step(now, Message{Kind: KindPreVote, From: tc.from, To: "c", Cluster: "x", Term: 4, Index: 1, LogTerm: 3, EndedTerm: tc.endedTerm})
			require.Equal(t, tc.want, c.hasPromised(now))
		})
	}
}
