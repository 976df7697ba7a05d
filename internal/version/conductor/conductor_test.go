package conductor_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/version/conductor"
	"hyssoprudder/internal/version/mover"
)

// leader holds the recorded moves and the state of a leader.
type leader struct {
	state *applier.Applier
	index uint64
	core  *coordinator.Core
	leads bool
	now   time.Time
}

func (l *leader) withLeaderState(f func(core *coordinator.Core, lease keeper.Lease, now time.Time)) bool {
	if l.leads {
		f(l.core, keeper.Lease{}, l.now)
	}
	return l.leads
}

func (l *leader) propose(_ context.Context, c applier.Command) (applier.Result, error) {
	l.index++
	return l.state.Apply(l.index, 1, c), nil
}

func (l *leader) move(t *testing.T) mover.State {
	t.Helper()
	s, err := mover.Decode(l.state.Moves()[0].Body)
	require.NoError(t, err)
	return s
}

func moveConfig(window time.Duration) mover.Config { return mover.ShortWindowConfig(window, 0.1, 50) }

func start(t *testing.T, window time.Duration) (*leader, *conductor.Conductor) {
	t.Helper()
	l := &leader{state: applier.New(), leads: true, now: time.Unix(5000, 0)}
	l.core = coordinator.NewCore(1, l.now, time.Second, time.Second)
	body, err := mover.Begin(moveConfig(window), mover.Request{
		Service: "desk", To: "v2", Deadline: l.now.Add(window), Routes: []mover.Route{mover.NewRoute("r", false)},
	}, l.now, 0).Encode()
	require.NoError(t, err)
	_, _ = l.propose(t.Context(), applier.Command{MoveSet: &applier.MoveSet{Service: "desk", Body: body}})
	return l, conductor.New(conductor.Config{
		Clock: clock.System{}, Log: log.New(io.Discard), WithLeaderState: l.withLeaderState, Moves: l.state.Moves, Propose: l.propose, MoveConfig: moveConfig,
		Routes: func(string) []mover.Route { return []mover.Route{mover.NewRoute("r", false)} },
	})
}

func TestMoveWaitsForInstances(t *testing.T) {
	l, c := start(t, 20*time.Second)
	c.Round()
	require.Zero(t, l.move(t).Size, "nothing is decided before the endpoint list is available")
	old := []coordinator.Endpoint{{ID: "e1", Service: "desk", Version: "v1"}, {ID: "e2", Service: "desk", Version: "v1"}}
	l.core.SetEndpoints(old, l.now)
	c.Round()
	require.Equal(t, 2, l.move(t).Size, "as many new instances are required as there are old ones")
	for range 8 {
		l.now = l.now.Add(250 * time.Millisecond)
		c.Round()
	}
	require.Zero(t, l.move(t).StepIndex, "no calls go to a version without instances")
	l.core.SetEndpoints(append(old, coordinator.Endpoint{ID: "e3", Service: "desk", Version: "v2"}), l.now)
	for range 8 {
		l.now = l.now.Add(250 * time.Millisecond)
		c.Round()
	}
	require.Equal(t, 1, l.move(t).StepIndex)
}

// Without instances or without a leader, a move is rolled back in time.
func TestMoveThatCanNotEndIsTakenBack(t *testing.T) {
	l, c := start(t, 20*time.Second)
	l.core.SetEndpoints([]coordinator.Endpoint{{ID: "e1", Service: "desk", Version: "v1"}}, l.now)
	deadline := l.now.Add(20 * time.Second)
	for l.now.Before(deadline) && !l.move(t).Final() {
		l.now = l.now.Add(250 * time.Millisecond)
		c.Round()
	}
	require.Equal(t, mover.RolledBack, l.move(t).Phase)
	require.True(t, l.now.Before(deadline))

	l, c = start(t, 20*time.Second)
	l.leads = false
	l.now = deadline
	c.Round()
	require.Equal(t, mover.Moving, l.move(t).Phase, "only the leader writes")
	require.Equal(t, mover.RolledBack, l.move(t).Effective(l.now).Phase, "without a write it counts as rolled back")
}

// Malformed counters and malformed moves are skipped.
func TestMalformedCountsAndStatesAreSkipped(t *testing.T) {
	l, c := start(t, 20*time.Second)
	l.core.SetEndpoints([]coordinator.Endpoint{{ID: "e1", Service: "desk", Version: "v1"}}, l.now)
	l.core.HandleReport(&coordinator.Report{Node: "n", Entry: true, Counts: []byte("no counts")}, l.now)
	_, _ = l.propose(t.Context(), applier.Command{MoveSet: &applier.MoveSet{Service: "annex", Body: []byte("no state")}})
	c.Round()
	c.Round()
	s, err := mover.Decode(l.state.Moves()[1].Body)
	require.NoError(t, err)
	require.Equal(t, 1, s.Size, "the other move continues")
}
