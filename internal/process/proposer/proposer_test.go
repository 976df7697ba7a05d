package proposer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/process/proposer"
)

// The goroutine pool that gnet keeps for the whole process is not a leak.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*goWorker).run.func1"))
}

var (
	first  = netip.MustParseAddrPort("127.0.0.1:1001")
	second = netip.MustParseAddrPort("127.0.0.1:1002")

	errUnsent = errors.New("not sent")
	errLost   = errors.New("answer lost")
)

// fakeLog is a log whose leader and faults the test sets.
type fakeLog struct {
	mu      sync.Mutex
	state   *applier.Applier
	index   uint64
	leader  netip.AddrPort
	faults  []error       // of the next calls, one each; nil means no fault
	groups  []int         // sizes of the executed groups
	blocked chan struct{} // if set, calls wait until it is closed
	// transfer, if set, returns an error for a call that does not reach the keeper.
	transfer func(ctx context.Context, args any) error
}

func (f *fakeLog) call(ctx context.Context, to netip.AddrPort, _ string, args, reply any) error {
	if f.blocked != nil {
		select {
		case <-f.blocked:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.transfer != nil {
		if err := f.transfer(ctx, args); err != nil {
			return err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var fault error
	if len(f.faults) > 0 {
		fault, f.faults = f.faults[0], f.faults[1:]
	}
	if errors.Is(fault, errUnsent) {
		return fault
	}
	switch out := reply.(type) {
	case *keeper.ProposeReply:
		f.propose(to, args.(*keeper.ProposeArgs), out)
	case *keeper.ReadReply:
		out.Answer, out.Leader, out.Rules = keeper.AnswerOK, f.leader, f.state.Rules()
		if to != f.leader {
			*out = keeper.ReadReply{Answer: keeper.AnswerNotLeader, Leader: f.leader}
		}
	}
	return fault
}

func (f *fakeLog) propose(to netip.AddrPort, args *keeper.ProposeArgs, out *keeper.ProposeReply) {
	out.Leader = f.leader
	if to != f.leader {
		out.Answer = keeper.AnswerNotLeader
		return
	}
	f.groups = append(f.groups, len(args.Commands))
	for _, c := range args.Commands {
		f.index++
		out.Results = append(out.Results, f.state.Apply(f.index, 1, c))
	}
	out.Answer = keeper.AnswerOK
}

func start(t *testing.T, f *fakeLog) *proposer.Proposer {
	f.state = applier.New()
	p, err := proposer.New(proposer.Config{
		Journal: "rules", Keepers: []netip.AddrPort{first, second}, Clock: clock.System{}, Log: log.New(io.Discard), Call: f.call,
		IsNotRun: func(err error) bool { return errors.Is(err, errUnsent) },
	})
	require.NoError(t, err)
	p.Start()
	t.Cleanup(p.Stop)
	return p
}

func rule(id string, base uint64) applier.Command {
	return applier.Command{RuleApply: &applier.RuleApply{ChangeID: id, Base: base, Text: id, Author: "R."}}
}

func TestProposerRepeatsSafely(t *testing.T) {
	tests := map[string]fakeLog{
		"first keeper leads":          {leader: first},
		"second keeper leads":         {leader: second},
		"answers lost twice":          {leader: first, faults: []error{errLost, errLost}},
		"unsent, then an answer lost": {leader: second, faults: []error{errUnsent, errLost}},
		"answer lost at a non-leader": {leader: second, faults: []error{errLost}},
	}
	for name := range tests {
		t.Run(name, func(t *testing.T) {
			f := &fakeLog{leader: tests[name].leader, faults: tests[name].faults}
			p := start(t, f)
			r, err := p.Propose(context.Background(), rule("c1", 0))
			require.NoError(t, err)
			require.Equal(t, applier.RuleAccepted, r.Rule.Outcome)
			rev, err := p.Rules(context.Background())
			require.NoError(t, err)
			require.Equal(t, uint64(1), rev.Number, "executed once")
		})
	}
}

// A command that links could not carry within the fixed timeout of an attempt was sent again and again.
func TestLargeCommandIsSentOnceOverASlowLink(t *testing.T) {
	const bandwidth = 2 << 20 // bytes per second
	f := &fakeLog{leader: first}
	f.transfer = func(ctx context.Context, args any) error {
		deadline, _ := ctx.Deadline()
		a, ok := args.(*keeper.ProposeArgs)
		if ok && time.Until(deadline) < time.Duration(a.Commands[0].PayloadSize())*time.Second/bandwidth {
			return context.DeadlineExceeded
		}
		return nil
	}
	body := make([]byte, 4<<20)
	result, err := start(t, f).Propose(context.Background(), applier.Command{RulesetPut: &applier.RulesetPut{Number: 7, Body: body}})
	require.NoError(t, err)
	require.True(t, result.Ruleset.Accepted)
	require.Len(t, f.groups, 1)
}

func TestProposerTellsNotRunFromUnknown(t *testing.T) {
	f := &fakeLog{leader: first, blocked: make(chan struct{})}
	p := start(t, f)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	answers := make(chan error, 8)
	var wg sync.WaitGroup
	for range cap(answers) {
		wg.Add(1)
		c := &caller{p: p, ctx: ctx, command: rule("c1", 0), wg: &wg, answers: answers}
		go c.run()
		time.Sleep(time.Millisecond) // so that each command is a group of its own, until all requests in flight are taken
	}
	wg.Wait()
	require.Zero(t, f.index)
	notRun := 0
	for range cap(answers) {
		err := <-answers
		if errors.Is(err, proposer.ErrNotRun) {
			notRun++
			continue
		}
		require.ErrorIs(t, err, proposer.ErrUnknown, "sent, but not answered")
	}
	require.NotZero(t, notRun, "a command that never left the queue was not run")
	require.Less(t, notRun, cap(answers))
}

func TestProposerSendsInGroups(t *testing.T) {
	f := &fakeLog{leader: first, blocked: make(chan struct{})}
	p := start(t, f)
	const callers = 200
	answers := make(chan error, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Add(1)
		c := &caller{p: p, ctx: context.Background(), wg: &wg, answers: answers, command: applier.Command{
			ClaimGrant: &applier.ClaimGrant{Customer: "masons", Key: fmt.Sprint(i), Request: "r"},
		}}
		go c.run()
	}
	close(f.blocked)
	wg.Wait()
	for range callers {
		require.NoError(t, <-answers)
	}
	claims, _ := f.state.Counts()
	require.Equal(t, callers, claims)
}

type caller struct {
	p       *proposer.Proposer
	ctx     context.Context
	command applier.Command
	wg      *sync.WaitGroup
	answers chan error
}

func (c *caller) run() {
	defer c.wg.Done()
	_, err := c.p.Propose(c.ctx, c.command)
	c.answers <- err
}

func TestSharderUsesAllLogsAndAlwaysTheSame(t *testing.T) {
	var logs []*proposer.Proposer
	for range 4 {
		logs = append(logs, start(t, &fakeLog{leader: first}))
	}
	s := proposer.NewSharder(logs...)
	counts := make(map[*proposer.Proposer]int)
	for i := range 4000 {
		key := fmt.Sprint("order-", i)
		require.Same(t, s.Pick("masons", key), s.Pick("masons", key))
		counts[s.Pick("masons", key)]++
	}
	for _, l := range logs {
		require.InDelta(t, 1000, counts[l], 150)
	}
}
