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

// A resend that saw another request run the call must not be told that the
// call did not run when the log can no longer be reached.
func TestFollowerOfARunningCallIsNeverToldNotRun(t *testing.T) {
	unreachable := errors.New("unreachable")
	asked := 0
	c := claimer.New(claimer.Config{
		Entry: "n1", Clock: clock.System{}, Log: log.New(io.Discard),
		Propose: func(_ context.Context, command applier.Command) (applier.Result, error) {
			asked++
			if asked > 1 || command.ClaimGrant == nil {
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
