package handler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/request/retrier"
	"hyssoprudder/internal/request/router"
	"hyssoprudder/internal/request/streamer"
)

// While the retry budget is spent, the checks of a silent engine must use up no attempts:
// the stream must still be resumed elsewhere if the engine fails once retries are available.
func TestSilentEngineUsesUpNoAttempts(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := retrier.NewBudget(1, 1)
	require.True(t, retrier.New(budget, true, time.Time{}).Fail(now, "a", "", retrier.Lost, 0).Retry(), "spend the budget")
	g := &generation{
		handler: &Handler{cfg: Config{Clock: clock.System{}}}, stream: streamer.New(streamer.Record{Max: 10}),
		retry: retrier.New(budget, true, time.Time{}),
	}
	a := &attempt{generation: g}
	for range 20 {
		_, moved := g.failOver(now, a, router.Choice{}, false)
		require.False(t, moved)
	}
	require.Empty(t, g.retry.Tried())
	budget.Success()
	outcome := g.retry.Fail(now, "a", "", retrier.Lost, 0)
	require.True(t, outcome.Retry(), outcome.Reason())
}
