package apportioner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/apportioner"
)

var start = time.Unix(1000, 0)

func newQuotas(allowance float64) *apportioner.Quotas {
	q := apportioner.New()
	q.SetRates(map[string]float64{"masons": 100, "free": 0})
	q.Report(start)
	q.SetAllowances(1, map[string]float64{"masons": allowance}, start.Add(5*time.Second))
	return q
}

func take(q *apportioner.Quotas, cost float64) apportioner.Verdict {
	verdict, _ := q.Take("masons", cost, start)
	return verdict
}

func TestTake(t *testing.T) {
	cases := map[string]struct {
		allowance float64
		costs     []float64
		at        time.Duration
		passed    int
	}{
		"within the allowance":      {50, []float64{20, 20, 20}, 0, 2},
		"no allowance":              {0, []float64{1}, 0, 0},
		"after its end":             {50, []float64{1}, 5 * time.Second, 0},
		"one above what is unspent": {50, []float64{20, 200, 30}, 0, 2},
		"all of it, then nothing":   {50, []float64{50, 1}, 0, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			q := newQuotas(tc.allowance)
			passed := 0
			for _, cost := range tc.costs {
				verdict, wait := q.Take("masons", cost, start.Add(tc.at))
				if verdict == apportioner.Passed {
					passed++
					continue
				}
				require.Equal(t, apportioner.Short, verdict)
				require.Positive(t, wait)
			}
			require.Equal(t, tc.passed, passed)
		})
	}
}

func TestCustomersWithoutLimitPass(t *testing.T) {
	q := newQuotas(0)
	for _, name := range []string{"free", "unknown"} {
		verdict, _ := q.Take(name, 1e9, start)
		require.Equal(t, apportioner.Passed, verdict, name)
	}
}

func TestReturnedCostCanBeTakenAgain(t *testing.T) {
	q := newQuotas(50)
	for range 3 {
		require.Equal(t, apportioner.Passed, take(q, 50))
		q.Return("masons", 50)
	}
}

// A call that exceeds the allowance asks for more. While the whole limit is known to be spent,
// calls of that size are refused without asking; smaller ones ask.
func TestShortCallAsksUntilTheLimitIsKnownToBeSpent(t *testing.T) {
	q := newQuotas(50)
	require.Equal(t, apportioner.Short, take(q, 80))
	q.Exhaust("masons", 80, 300*time.Millisecond, start)
	verdict, wait := q.Take("masons", 80, start.Add(100*time.Millisecond))
	require.Equal(t, apportioner.Over, verdict)
	require.Equal(t, 200*time.Millisecond, wait)
	verdict, wait = q.Take("masons", 90, start.Add(100*time.Millisecond))
	require.Equal(t, apportioner.Over, verdict)
	require.Greater(t, wait, 200*time.Millisecond)
	require.Equal(t, apportioner.Short, take(q, 60))
	require.Equal(t, apportioner.Passed, take(q, 50))
	verdict, _ = q.Take("masons", 80, start.Add(250*time.Millisecond))
	require.Equal(t, apportioner.Short, verdict)
}

// What was granted for a call is charged with it, also while a report is in flight.
func TestGrantedAmountIsAdded(t *testing.T) {
	q := newQuotas(50)
	require.Equal(t, map[string]float64{"masons": 50}, q.Report(start).Unspent)
	q.Add("masons", 80, start, start.Add(5*time.Second))
	require.Equal(t, apportioner.Passed, take(q, 80))
	require.InDelta(t, 50, q.Report(start).Unspent["masons"], 1e-9)
	q.Add("masons", 80, start, start.Add(5*time.Second))
	q.SetAllowances(2, map[string]float64{"masons": 40}, start.Add(5*time.Second))
	require.InDelta(t, 120, q.Report(start).Unspent["masons"], 1e-9)
}

// An allowance that has expired is not revived by a later grant.
func TestGrantRevivesNoExpiredAllowance(t *testing.T) {
	q := newQuotas(50)
	later := start.Add(6 * time.Second)
	q.Add("masons", 10, later, later.Add(time.Second))
	verdict, _ := q.Take("masons", 50, later)
	require.Equal(t, apportioner.Short, verdict)
	verdict, _ = q.Take("masons", 10, later)
	require.Equal(t, apportioner.Passed, verdict)
}

// Costs that are charged while a report is in flight are deducted from the allowance
// that answers it.
func TestSpendingDuringAReportCounts(t *testing.T) {
	q := newQuotas(50)
	require.Equal(t, map[string]float64{"masons": 50}, q.Report(start).Unspent)
	require.Equal(t, apportioner.Passed, take(q, 30))
	q.SetAllowances(2, map[string]float64{"masons": 40}, start.Add(5*time.Second))
	require.InDelta(t, 10, q.Report(start).Unspent["masons"], 1e-9)
}

// A report that is not answered must leave the allowance unchanged.
func TestUnansweredReportKeepsAllowance(t *testing.T) {
	q := newQuotas(50)
	take(q, 20)
	first := q.Report(start)
	take(q, 10)
	second := q.Report(start)
	require.Equal(t, first.Sequence, second.Sequence)
	require.InDelta(t, 20, second.Unspent["masons"], 1e-9)
}

func TestDemandFollowsRequestedCost(t *testing.T) {
	q := newQuotas(1e6)
	var demand float64
	for i := range 40 {
		take(q, 25)
		demand = q.Report(start.Add(time.Duration(i) * 250 * time.Millisecond)).Demand["masons"]
	}
	require.InDelta(t, 100, demand, 5)
}
