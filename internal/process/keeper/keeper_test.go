package keeper

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
)

func TestKeepersCommitAndCatchUp(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			d := newDeployment(t, size)
			d.startAll()
			d.applyRules(0, 120)
			d.requireRevision(120)
		})
	}
}

// applyRules proposes the revisions from+1 to to and requires that they are accepted.
func (d *deployment) applyRules(from, to uint64) {
	d.t.Helper()
	for i := from; i < to; i++ {
		r := d.propose(rule(fmt.Sprint("change-", i), i))
		require.Equal(d.t, applier.RuleAccepted, r.Rule.Outcome)
		require.Equal(d.t, i+1, r.Rule.Revision)
	}
}

func (d *deployment) requireRevision(number uint64) {
	d.t.Helper()
	for _, k := range d.keepers {
		d.eventually("the revision at "+k.config.Name, func() bool { return k.applier.Rules().Number == number })
	}
}

// requireVoters waits until the members are exactly the running keepers, all of them voters.
func (d *deployment) requireVoters(count int) {
	d.t.Helper()
	d.eventually("running keepers as voters", func() bool {
		members := d.leader().Status().Members
		for _, m := range members {
			k := d.keepers[m.Name]
			if !m.Voter || k == nil || k.self.ID != m.ID {
				return false
			}
		}
		return len(members) == count
	})
}

func TestEntriesSurviveTheLossOfTheLeader(t *testing.T) {
	d := newDeployment(t, 3)
	d.startAll()
	for i := range uint64(3) {
		d.applyRules(i*10, i*10+10)
		name := d.leader().config.Name
		d.kill(name)
		d.applyRules(i*10+10, i*10+10) // applies nothing; the next proposal needs the new leader
		r := d.propose(rule(fmt.Sprint("change-", i*10+9), i*10+9))
		require.Equal(t, i*10+10, r.Rule.Revision, "a resent change gets its first result")
		d.start(name)
	}
	d.requireRevision(30)
}

func TestAllKeepersRestart(t *testing.T) {
	d := newDeployment(t, 3)
	d.startAll()
	d.applyRules(0, 130)
	d.killAll()
	for _, name := range d.names {
		d.start(name)
	}
	r := d.propose(rule("change-7", 7))
	require.Equal(t, uint64(8), r.Rule.Revision)
	d.applyRules(130, 131)
	d.requireRevision(131)
}

func TestWipedKeeperIsRepairedBeforeTheSecondLoss(t *testing.T) {
	d := newDeployment(t, 3)
	d.startAll()
	d.applyRules(0, 70)
	d.requireVoters(3)
	lost := "b"
	before := d.keepers[lost].self.ID
	d.kill(lost)
	d.wipe(lost)
	k := d.start(lost)
	require.NotEqual(t, before, k.self.ID, "an empty folder gets a new identity")
	d.requireVoters(3)
	second := "a"
	d.kill(second)
	d.wipe(second)
	r := d.propose(rule("change-69", 69))
	require.Equal(t, uint64(70), r.Rule.Revision, "nothing committed is missing")
	d.applyRules(70, 75)
	d.start(second)
	d.requireVoters(3)
	d.requireRevision(75)
}

func TestCutLeaderStepsDownAndItsProposalIsNotAcknowledged(t *testing.T) {
	d := newDeployment(t, 3)
	d.startAll()
	d.applyRules(0, 3)
	old := d.leader()
	d.isolate(old.config.Name, true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answer := make(chan error, 1)
	go proposeInto(ctx, old, rule("lost", 3), answer)
	d.eventually("another leader", func() bool {
		for _, k := range d.keepers {
			if _, ok := k.Lease(); ok && k != old {
				_, oldHolds := old.Lease()
				require.False(t, oldHolds, "two leases at a time")
				return true
			}
		}
		return false
	})
	d.eventually("the old leader's step-down", func() bool { return old.Status().Role != RoleLeader })
	var accepted applier.Result
	d.eventually("a commit by the others", func() bool {
		for _, k := range d.keepers {
			short, stop := context.WithTimeout(context.Background(), time.Second)
			r, err := k.Propose(short, rule("kept", 3))
			stop()
			if err == nil {
				accepted = r
				return true
			}
		}
		return false
	})
	require.Equal(t, applier.RuleAccepted, accepted.Rule.Outcome)
	d.isolate(old.config.Name, false)
	require.Error(t, <-answer)
	d.requireRevision(4)
	require.Equal(t, "kept", old.applier.Rules().ChangeID)
}

func proposeInto(ctx context.Context, k *Keeper, c applier.Command, answer chan<- error) {
	_, err := k.Propose(ctx, c)
	answer <- err
}

func TestFrozenLeaderHoldsNoLeaseWhenItWakes(t *testing.T) {
	d := newDeployment(t, 3)
	d.startAll()
	old := d.leader()
	wake := make(chan struct{})
	frozen := make(chan struct{})
	go freeze(old, frozen, wake)
	<-frozen
	d.eventually("a successor", func() bool {
		for _, k := range d.keepers {
			if _, ok := k.Lease(); ok && k != old {
				return true
			}
		}
		return false
	})
	_, holds := old.Lease()
	require.False(t, holds)
	close(wake)
	d.eventually("the old leader follows", func() bool { return old.Status().Role == RoleFollower })
	d.applyRules(0, 2)
	d.requireRevision(2)
}

// freeze blocks the loop of a keeper until wake is closed.
func freeze(k *Keeper, frozen, wake chan struct{}) {
	k.do(context.Background(), func(time.Time) bool {
		close(frozen)
		<-wake
		return true
	})
}

func TestStopHandsTheLeadershipOver(t *testing.T) {
	d := newDeployment(t, 3)
	d.startAll()
	d.applyRules(0, 2)
	old := d.leader()
	term := old.Status().Term
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	old.transferLeadership(ctx)
	require.NotEqual(t, RoleLeader, old.Status().Role)
	d.kill(old.config.Name)
	require.Equal(t, term+1, d.leader().Status().Term, "one election, without an election timeout")
	d.applyRules(2, 3)
}

func TestRacingOperatorsGetOneWinner(t *testing.T) {
	d := newDeployment(t, 3)
	d.startAll()
	leader := d.leader()
	const racers = 16
	results := make([]applier.Result, racers)
	var wg sync.WaitGroup
	for i := range racers {
		wg.Add(1)
		r := &racer{keeper: leader, command: rule(fmt.Sprint("race-", i), 0), result: &results[i], wg: &wg}
		go r.run()
	}
	wg.Wait()
	winners := 0
	for _, r := range results {
		require.NotNil(t, r.Rule)
		if r.Rule.Outcome == applier.RuleAccepted {
			winners++
		}
		require.Equal(t, uint64(1), r.Rule.Revision)
	}
	require.Equal(t, 1, winners)
	d.kill(leader.config.Name)
	for i := range racers {
		again := d.propose(rule(fmt.Sprint("race-", i), 0))
		require.Equal(t, results[i], again, "the first result, after a change of leader")
	}
}

type racer struct {
	keeper  *Keeper
	command applier.Command
	result  *applier.Result
	wg      *sync.WaitGroup
}

func (r *racer) run() {
	defer r.wg.Done()
	*r.result, _ = r.keeper.Propose(context.Background(), r.command)
}

func TestLogIsCreatedOnlyWhenAllKeepersAnswer(t *testing.T) {
	d := newDeployment(t, 3)
	t.Cleanup(d.killAll)
	a, b := d.start("a"), d.start("b")
	d.eventually("many probes without an answer from c", func() bool { return d.net.probes() > 40 })
	require.True(t, a.Status().Empty)
	require.True(t, b.Status().Empty)
	d.start("c")
	d.requireVoters(3)
}

func TestReadSeesWhatWasCommitted(t *testing.T) {
	d := newDeployment(t, 3)
	d.startAll()
	d.applyRules(0, 5)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	leader := d.leader()
	require.NoError(t, leader.Read(ctx))
	require.Equal(t, uint64(5), leader.applier.Rules().Number)
	// A keeper that has only voted in this term has not heard of a leader yet.
	d.requireRevision(5)
	for _, k := range d.keepers {
		if k != leader {
			var notLeader *NotLeaderError
			require.ErrorAs(t, k.Read(ctx), &notLeader)
			name, _, ok := notLeader.Leader()
			require.True(t, ok)
			require.Equal(t, leader.config.Name, name)
		}
	}
}

func TestPromiseCountsFromTheArrivalOfTheMessage(t *testing.T) {
	d := newDeployment(t, 3)
	t.Cleanup(d.killAll)
	manual := clock.NewManual(time.Unix(1000, 0))
	d.clock = manual
	k := d.start("b")
	for range 15 { // half an election timeout in total, so that the loop stays in its wait
		manual.Advance(d.election / 30)
		clock.Sleep(clock.System{}, 2*time.Millisecond, nil)
	}
	deliver := &Batch{Cluster: "c", From: "id-2", To: k.self.ID, Messages: []Message{{Kind: KindAppend, Term: 2}}}
	require.NoError(t, (&PeerService{keeper: k}).Deliver(deliver, new(Receipt)))
	d.eventually("the message", func() bool { return k.Status().Term == 2 })
	require.Equal(t, manual.Now().Add(d.election), k.view().promisedUntil)
}

// wrongClock runs ahead of the system's clock.
type wrongClock struct {
	clock.System
	ahead time.Duration
}

func (c wrongClock) Now() time.Time { return c.System.Now().Add(c.ahead) }

func TestClaimsOutliveALeaderWithAWrongClock(t *testing.T) {
	d := newDeployment(t, 3)
	t.Cleanup(d.killAll)
	d.clocks = map[string]clock.Clock{"b": wrongClock{ahead: 48 * time.Hour}}
	for _, name := range d.names {
		d.start(name)
	}
	claim := func(request string) applier.ClaimOutcome {
		return d.propose(applier.Command{ClaimGrant: &applier.ClaimGrant{
			Customer: "masons", Key: "order-7", BodyHash: "h", Entry: "e", Request: request, Retention: applier.MinRetention,
			Deadline: time.Now().UnixNano(),
		}}).Claim.Outcome
	}
	require.Equal(t, applier.ClaimGranted, claim("r0"))
	b := d.keepers["b"]
	for holds := false; !holds; _, holds = b.Lease() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		d.leader().transferLeadership(ctx)
		cancel()
		d.leader()
		require.Equal(t, applier.ClaimJoined, claim("r1"), "the claim has expired too early")
	}
	require.Equal(t, applier.ClaimJoined, claim("r2"), "the claim has expired too early")
}

// An entry that links could not carry within the fixed timeout of a batch was never committed.
func TestLargeEntryIsCommittedOverSlowLinks(t *testing.T) {
	d := newDeployment(t, 3)
	d.net.bandwidth = 2 << 20
	d.startAll()
	body := []byte(strings.Repeat("route", 256<<10))
	result := d.propose(applier.Command{RulesetPut: &applier.RulesetPut{Number: 7, Body: body}})
	require.True(t, result.Ruleset.Accepted)
	d.eventually("the ruleset at all keepers", func() bool {
		for _, k := range d.keepers {
			if len(k.applier.Ruleset().Body) != len(body) {
				return false
			}
		}
		return true
	})
}

func TestReplacedKeeperAtANewAddressGetsALargeSnapshot(t *testing.T) {
	tests := map[string]bool{"with its folder": false, "with an empty folder": true}
	for name, empty := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 3)
			d.startAll()
			large := strings.Repeat("rule ", 8<<10)
			for i := range uint64(60) {
				c := rule(fmt.Sprint("change-", i), i)
				c.RuleApply.Text = large
				require.Equal(t, i+1, d.propose(c).Rule.Revision)
				if i == 5 {
					d.kill("b")
				}
			}
			if empty {
				d.wipe("b")
			}
			moved := netip.MustParseAddrPort("127.0.0.1:2001")
			d.peers = []Peer{d.peers[0], {Name: "b", Address: moved}, d.peers[2]}
			d.start("b")
			d.requireVoters(3)
			d.requireRevision(60)
			d.eventually("the new address", func() bool {
				for _, m := range d.leader().Status().Members {
					if m.Name == "b" {
						return m.Address == moved
					}
				}
				return false
			})
			require.Equal(t, large, d.keepers["b"].applier.Rules().Text)
		})
	}
}

func TestKeepersAreAddedAndRemoved(t *testing.T) {
	d := newDeployment(t, 3)
	d.startAll()
	d.applyRules(0, 5)
	for i, name := range []string{"d", "e"} {
		at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1010+i))
		d.peers = append(slices.Clone(d.peers), Peer{Name: name, Address: at})
		d.start(name)
		d.requireVoters(4 + i)
	}
	d.applyRules(5, 10)
	d.requireRevision(10)
	gone := "a"
	if d.leader().config.Name == gone {
		gone = "b"
	}
	d.kill(gone)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d.eventually("the removal", func() bool { return d.leader().Remove(ctx, gone) == nil })
	d.requireVoters(4)
	d.applyRules(10, 12)
}
