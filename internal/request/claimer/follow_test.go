package claimer_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/request/claimer"
)

// A request that joined a call in flight must not be answered with "not run" when the
// log becomes unreachable, because the call may have run.
func TestJoinedRequestIsNeverReportedNotRun(t *testing.T) {
	unreachable := errors.New("unreachable")
	proposals := 0
	c := claimer.New(claimer.Config{
		Entry: "n1", Clock: clock.System{}, Log: log.New(io.Discard),
		Propose: func(_ context.Context, command applier.Command) (applier.Result, error) {
			proposals++
			if proposals > 1 || command.ClaimGrant == nil {
				return applier.Result{}, unreachable
			}
			return applier.Result{Claim: &applier.ClaimResult{
				Outcome: applier.ClaimJoined, Entry: "n2", Request: "first", Deadline: time.Now().Add(time.Minute).UnixNano(),
			}}, nil
		},
		IsNotRun: func(error) bool { return true },
		Wait: func(context.Context, string, *claimer.WaitArgs, *claimer.WaitReply) error {
			return unreachable
		},
	})
	outcome := c.Begin(context.Background(), claimer.Call{Customer: "masons", Key: "k", Request: "second", Deadline: time.Now().Add(time.Minute)})
	require.Equal(t, claimer.Unknown, outcome.Kind())
}
