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
	q.SetAllowances(1, map[string]float64{"masons": allowance}, start, start.Add(5*time.Second))
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

// A call that exceeds the allowance requests a larger one, once. While the whole
// limit is known to be spent, calls are refused without a request.
func TestShortCallRequestsAllowanceOnce(t *testing.T) {
	q := newQuotas(50)
	require.Equal(t, apportioner.Short, take(q, 80))
	q.AddPending("masons", 80)
	require.Equal(t, map[string]float64{"masons": 80}, q.Report(start).Pending)
	q.SetAllowances(2, map[string]float64{"masons": 60}, start, start.Add(time.Second))
	require.Equal(t, apportioner.Over, take(q, 80))
	q.RemovePending("masons", 80)
	require.Empty(t, q.Report(start).Pending)
	require.Equal(t, apportioner.Passed, take(q, 60))
	verdict, _ := q.Take("masons", 1, start.Add(500*time.Millisecond))
	require.Equal(t, apportioner.Short, verdict)
}

// Costs that are charged while a report is in flight are deducted from the allowance
// that answers it.
func TestSpendingDuringAReportCounts(t *testing.T) {
	q := newQuotas(50)
	require.Equal(t, map[string]float64{"masons": 50}, q.Report(start).Unspent)
	require.Equal(t, apportioner.Passed, take(q, 30))
	q.SetAllowances(2, map[string]float64{"masons": 40}, start, start.Add(5*time.Second))
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
