package accountant_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/accountant"
)

const length = 5 * time.Second

func at(seconds float64) time.Time { return time.Unix(0, int64(seconds*float64(time.Second))) }

// Counts reach the ledger once, however often and by whichever node they are reported.
func TestLedgerAddsCounters(t *testing.T) {
	one, two := accountant.NewCounter(length), accountant.NewCounter(length)
	for range 3 {
		one.Add("masons", at(101))
	}
	two.Add("masons", at(104.9))
	two.Add("depots", at(105))
	l := accountant.NewLedger(length, at(103))
	for range 2 {
		l.Add("one", 1, one.Windows())
		l.Add("two", 1, two.Windows())
	}
	// The node restarts in the same window; its earlier counts are kept.
	restarted := accountant.NewCounter(length)
	restarted.Add("masons", at(104))
	l.Add("one", 2, restarted.Windows())
	require.Equal(t, map[string]int{"masons": 5}, l.Sum(20))
	require.Equal(t, map[string]int{"depots": 1}, l.Sum(21))
}

func TestDueWindows(t *testing.T) {
	l := accountant.NewLedger(length, at(200))
	require.Equal(t, []int64{35, 36, 37, 38, 39}, l.Due(at(201)))
	for _, w := range []int64{36, 35, 37} {
		l.Done(w)
	}
	require.Equal(t, []int64{38, 39}, l.Due(at(201)))
	require.Equal(t, []int64{38, 39, 40}, l.Due(at(205.1)))
	l.Add("one", 1, []accountant.Counts{{Window: 36, Calls: map[string]int{"masons": 1}}})
	require.Empty(t, l.Windows(), "a window that is done accepts no more counts")
}

// A counter keeps few windows, so that its reports stay small.
func TestCounterEvictsOldWindows(t *testing.T) {
	c := accountant.NewCounter(length)
	for i := range 50 {
		c.Add("masons", at(float64(5*i)+1))
	}
	require.Len(t, c.Windows(), 5)
}

// The cluster time may be set back; calls that start in an earlier window are counted.
func TestCounterAcceptsAnEarlierWindow(t *testing.T) {
	c := accountant.NewCounter(length)
	for i := range 10 {
		c.Add("masons", at(float64(5*(20-i))+1))
	}
	require.Len(t, c.Windows(), 5)
}

// A node has moved from one relay to another. What the first one knew arrives after what the
// second one knows.
func TestEarlierCountsDoNotReplaceLaterOnes(t *testing.T) {
	at := time.Unix(1000, 0)
	l := accountant.NewLedger(5*time.Second, at)
	w := accountant.Window(at, 5*time.Second)
	l.Add("a", 1, []accountant.Counts{{Window: w, Calls: map[string]int{"masons": 12, "depots": 3}}})
	l.Add("a", 1, []accountant.Counts{{Window: w, Calls: map[string]int{"masons": 7}}})
	require.Equal(t, map[string]int{"masons": 12, "depots": 3}, l.Sum(w))
	l.Add("a", 2, []accountant.Counts{{Window: w, Calls: map[string]int{"masons": 5}}})
	require.Equal(t, map[string]int{"masons": 17, "depots": 3}, l.Sum(w))
}
