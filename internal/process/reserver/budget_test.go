package reserver_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/reserver"
)

const budgetLimit = 1 << 20

// Whatever clients do, the budget is never exceeded, charges that are released or whose connection is closed are returned,
// and none is left when all are closed.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := reserver.NewBudget(budgetLimit, clock.System{})
		accounts := make(map[int]*reserver.Account)
		held := make(map[int]int64)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 9).Draw(t, "connection")
			if accounts[i] == nil {
				accounts[i] = b.Open([]string{"a", "b"}[i%2], func(reserver.Stage) {})
			}
			a, n := accounts[i], rapid.Int64Range(0, budgetLimit/3).Draw(t, "bytes")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				a.Close()
				delete(accounts, i)
				delete(held, i)
			case 1:
				a.Release(n)
				held[i] -= min(n, held[i])
			case 2:
				a.Shrink(n)
				held[i] = min(held[i], n)
			case 3:
				a.SetGroup([]string{"a", "b", "c"}[n%3])
			default:
				if a.Charge(n) {
					held[i] += n
				}
			}
			sum := int64(0)
			for _, h := range held {
				sum += h
			}
			require.Equal(t, sum, b.Used())
			require.LessOrEqual(t, sum, int64(budgetLimit))
		}
		for _, a := range accounts {
			a.Close()
		}
		require.Zero(t, b.Used())
	})
}

// A group of clients that fills the budget leaves a reserve to others, and to its own body that is nearly complete.
func TestReserveIsLeftToOthers(t *testing.T) {
	b := reserver.NewBudget(budgetLimit, clock.System{})
	end := func(reserver.Stage) {}
	first := b.Open("a", end)
	require.True(t, first.Charge(budgetLimit*7/8))
	require.False(t, first.Charge(1))
	require.True(t, b.Open("b", end).Charge(100))
	first.Enter(reserver.Receiving)
	first.Progress(1, 1000)
	require.True(t, first.Charge(1000))
	require.False(t, first.Charge(budgetLimit/8))
}

// When the budget is used up, the request that holds the most for the longest time without progress is ended, not the new one,
// and requests that are being served are not.
func TestStalledRequestsAreEndedForOthers(t *testing.T) {
	b := reserver.NewBudget(budgetLimit, clock.System{})
	ended := make(chan string, 10)
	open := func(name string, size int64, stage reserver.Stage) {
		var a *reserver.Account
		a = b.Open("a", func(reserver.Stage) {
			ended <- name
			go a.Close() // as the server does when its read fails
		})
		require.True(t, a.Charge(size))
		a.Enter(stage)
	}
	open("served", budgetLimit/2, reserver.Serving)
	open("small", budgetLimit/16, reserver.Receiving)
	open("large", budgetLimit/4, reserver.Receiving)
	newcomer := b.Open("a", func(reserver.Stage) {})
	require.False(t, newcomer.Charge(budgetLimit/8), "none is stalled yet")
	time.Sleep(150 * time.Millisecond)
	require.True(t, newcomer.Charge(budgetLimit/8))
	require.Equal(t, "large", <-ended)
	require.Empty(t, ended)
}

// Announced bytes cost nothing before they arrive.
func TestBodyIsChargedAsItArrives(t *testing.T) {
	b := reserver.NewBudget(budgetLimit, clock.System{})
	a := b.Open("a", func(reserver.Stage) {})
	body, err := a.ReadBody(strings.NewReader(strings.Repeat("b", 1000)), 900_000, 900_000, func(int64) error { return nil })
	require.NoError(t, err)
	require.Len(t, body, 1000)
	require.LessOrEqual(t, b.Used(), int64(4<<10))
	_, err = a.ReadBody(io.LimitReader(endless{}, 1<<20), -1, 900_000, func(int64) error { return nil })
	require.Error(t, err)
	require.LessOrEqual(t, b.Used(), int64(budgetLimit))
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
