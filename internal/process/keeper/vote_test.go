package keeper

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/journaler"
)

// flight is a message on its way.
type flight struct {
	at      time.Duration
	message Message
}

// restarted are keepers that start one after the other after a loss of power.
type restarted struct {
	members []Member
	cores   map[string]*Core
	flights []flight
	disk    time.Duration // for a vote
	leader  string        // of the term before the restart, if it is known
}

// run ticks the keepers each millisecond until one leads and returns when.
func (r *restarted) run(seed uint64, starts []time.Duration, election time.Duration) time.Duration {
	epoch := time.Unix(1000, 0)
	for at := time.Duration(0); at < 20*time.Second; at += time.Millisecond {
		now := epoch.Add(at)
		for i, m := range r.members {
			if at == starts[i] {
				r.cores[m.ID] = NewCore(CoreConfig{
					State: journaler.State{Identity: m.ID, Cluster: "x", Term: 3, Leader: r.leader}, Now: now, Election: election,
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
	onTheWay = time.Millisecond      // of a message
	toDisk   = 12 * time.Millisecond // of a vote, as a rule
)

func (r *restarted) send(id string, c *Core, at time.Duration, now time.Time) {
	out := c.Take()
	c.Persisted(now)
	arrives := at + onTheWay
	if out.State != nil {
		arrives += r.disk
	}
	for _, m := range append(out.Early, out.Messages...) {
		m.From = id
		r.flights = append(r.flights, flight{arrives, m})
	}
}

func (r *restarted) deliver(at time.Duration, now time.Time) {
	var rest []flight
	for _, f := range r.flights {
		c := r.cores[f.message.To]
		switch {
		case f.at > at:
			rest = append(rest, f)
		case c != nil:
			c.Step(now, f.message)
		}
	}
	r.flights = rest
}

// Keepers that start one after the other elect a leader soon after most of them
// may vote, also when their votes are split at first.
func TestElectionAfterStaggeredRestarts(t *testing.T) {
	const election = 500 * time.Millisecond
	const ms = time.Millisecond
	starts := []time.Duration{0, 76 * ms, 202 * ms, 282 * ms, 351 * ms}
	for seed := range uint64(500) {
		r := &restarted{cores: make(map[string]*Core), disk: toDisk}
		for i := range starts {
			name := string(rune('a' + i))
			r.members = append(r.members, Member{ID: name, Name: name, Voter: true})
		}
		led := r.run(seed, starts, election)
		require.NotZero(t, led, "seed %d", seed)
		// The third of the five may vote an election timeout after its start.
		require.Less(t, led, starts[2]+election+election, "seed %d", seed)
	}
}

// Keepers whose disks are so slow that a vote takes longer than a campaign usually
// lasts elect a leader all the same.
func TestElectionWithSlowDisks(t *testing.T) {
	const election = 500 * time.Millisecond
	for _, disk := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond} {
		for seed := range uint64(100) {
			r := &restarted{cores: make(map[string]*Core), disk: disk}
			for i := range 5 {
				name := string(rune('a' + i))
				r.members = append(r.members, Member{ID: name, Name: name, Voter: true})
			}
			led := r.run(seed, make([]time.Duration, 5), election)
			require.NotZero(t, led, "disk %s, seed %d", disk, seed)
			require.Less(t, led, 10*time.Second, "disk %s, seed %d", disk, seed)
		}
	}
}

// A leader that is restarted with all others leads again as soon as most of them
// run: nobody has to wait for the end of a lease that ended with its process.
func TestRestartedLeaderLeadsAtOnce(t *testing.T) {
	const election = 500 * time.Millisecond
	const ms = time.Millisecond
	starts := []time.Duration{0, 76 * ms, 202 * ms, 282 * ms, 351 * ms}
	for _, leader := range []string{"a", "c", "e"} {
		for seed := range uint64(100) {
			r := &restarted{cores: make(map[string]*Core), disk: toDisk, leader: leader}
			for i := range starts {
				name := string(rune('a' + i))
				r.members = append(r.members, Member{ID: name, Name: name, Voter: true})
			}
			led := r.run(seed, starts, election)
			require.NotZero(t, led, "seed %d", seed)
			up := max(starts[2], starts[leader[0]-'a'])
			require.Less(t, led, up+election*3/5, "leader %s, seed %d", leader, seed)
		}
	}
}

// The promise to a leader stays when another one says that its lease is over, or
// when the leader speaks of an earlier term.
func TestPromiseStaysForOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	follower := func() *Core {
		c := NewCore(CoreConfig{
			State: journaler.State{Identity: "c", Cluster: "x", Term: 3}, Now: now.Add(-time.Minute), Election: time.Second, Heartbeat: time.Second / 4,
			Rand: rand.New(rand.NewPCG(1, 1)), Entries: []journaler.Entry{{Index: 1, Term: 3, Kind: journaler.KindMembers, Data: encodeMembers(members)}},
		})
		c.Step(now, Message{Kind: KindAppend, From: "a", To: "c", Cluster: "x", Term: 3, Index: 1, LogTerm: 3})
		return c
	}
	cases := map[string]struct {
		from string
		over uint64
		want bool // the promise stays
	}{
		"leader, its term":           {"a", 3, false},
		"leader, without a word":     {"a", 0, true},
		"leader, an earlier term":    {"a", 2, true},
		"another, the leader's term": {"b", 3, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := follower()
			require.True(t, c.isPromised(now))
			c.Step(now, Message{Kind: KindPreVote, From: tc.from, To: "c", Cluster: "x", Term: 4, Index: 1, LogTerm: 3, Over: tc.over})
			require.Equal(t, tc.want, c.isPromised(now))
		})
	}
}
