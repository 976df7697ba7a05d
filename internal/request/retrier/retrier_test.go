package retrier_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hyssoprudder/internal/request/retrier"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// For every sequence of failures: an at-most-once call is sent at most once, a call
// that may have run is never reported as not run, and the attempts that put load on
// endpoints stay within the budget.
func TestRetriesAreBoundedAndReportedCorrectly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, reserve = 0.1, 5.0
		budget := retrier.NewBudget(ratio, reserve)
		calls, attempts, successes := 0, 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			calls++
			once := rapid.Bool().Draw(t, "once")
			deadline := epoch.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "deadline")) * time.Second)
			r := retrier.New(budget, !once, deadline)
			runs := 0
			for {
				result := rapid.IntRange(-1, 2).Draw(t, "result")
				if result < 0 {
					attempts++
					runs++
					successes++
					budget.Success()
					break
				}
				failure := retrier.Failure(result)
				if failure != retrier.Unsent {
					attempts++
				}
				if failure == retrier.Lost {
					runs++
				}
				now := epoch.Add(time.Duration(r.Attempts()) * time.Second)
				outcome := r.Fail(now, fmt.Sprint(r.Attempts()), "focsani", failure, 500*time.Millisecond)
				if outcome.Retry() {
					require.False(t, now.Add(500*time.Millisecond).After(deadline))
					continue
				}
				require.Equal(t, runs > 0, outcome.RunStatus() == retrier.Unknown)
				break
			}
			require.LessOrEqual(t, r.Attempts(), retrier.MaxAttempts)
			if once {
				require.LessOrEqual(t, runs, 1)
			}
		}
		require.LessOrEqual(t, float64(attempts), float64(calls)+ratio*float64(successes)+reserve+1e-9)
	})
}

// When every endpoint fails after the first byte, the number of attempts per call
// approaches one. Without a budget it equals the maximum number of attempts.
func TestBudgetBoundsAmplification(t *testing.T) {
	amplification := func(budget *retrier.Budget) float64 {
		const calls = 2000
		sent := 0
		for range calls {
			r := retrier.New(budget, true, time.Time{})
			for more := true; more; {
				sent++
				more = r.Fail(epoch, "a", "focsani", retrier.Lost, 0).Retry()
			}
		}
		return float64(sent) / calls
	}
	bounded := amplification(retrier.NewBudget(retrier.DefaultRatio, retrier.DefaultReserve))
	unbounded := amplification(retrier.NewBudget(0, 1e9))
	t.Logf("attempts per call: budget %.3f, no budget %.3f", bounded, unbounded)
	require.Less(t, bounded, 1.05)
	require.InDelta(t, retrier.MaxAttempts, unbounded, 0.01)
}

func ExampleRetrier_Fail() {
	r := retrier.New(retrier.NewBudget(0.1, 10), false, epoch.Add(time.Minute))
	fmt.Println("connect failed, retry:", r.Fail(epoch, "a", "focsani", retrier.Unsent, time.Second).Retry())
	lost := r.Fail(epoch, "b", "adjud", retrier.Lost, time.Second)
	fmt.Println("lost after a byte, retry:", lost.Retry(), lost.Reason(), lost.RunStatus() == retrier.Unknown)
	// Output:
	// connect failed, retry: true
	// lost after a byte, retry: false once true
}

// GiveUp allows what Fail would allow after a failure that may have run the call, with the
// same cost, and otherwise leaves the call and the budget as they were.
func TestGivingUpRecordsNothingUnlessAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reserve := float64(rapid.IntRange(0, 6).Draw(t, "reserve"))
		deadline := epoch.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "deadline")) * time.Second)
		isRepeatable := rapid.Bool().Draw(t, "repeatable")
		earlier := rapid.IntRange(0, 3).Draw(t, "failures")
		begin := func() (*retrier.Retrier, *retrier.Budget) {
			budget := retrier.NewBudget(0.1, reserve)
			r := retrier.New(budget, isRepeatable, deadline)
			for i := range earlier {
				r.Fail(epoch, fmt.Sprint(i), "focsani", retrier.NotRun, 0)
			}
			return r, budget
		}
		r, budget := begin()
		twin, twinBudget := begin()
		attempts, status, tokens := r.Attempts(), r.RunStatus(), budget.Available()
		want := twin.Fail(epoch, "silent", "adjud", retrier.Lost, time.Second).Retry()
		require.Equal(t, want, r.GiveUp(epoch, "silent", "adjud", time.Second))
		if want {
			require.Equal(t, twin, r)
			require.Equal(t, twinBudget.Available(), budget.Available())
			return
		}
		require.Equal(t, attempts, r.Attempts())
		require.Equal(t, status, r.RunStatus())
		require.Equal(t, tokens, budget.Available())
		require.NotContains(t, r.Tried(), "silent")
	})
}
