package forwarder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A new leader hears of the entries one after the other. Meanwhile each entry took a larger part
// of the retry budget and of the endpoints' connections.
func TestFewerEntriesCountOnlyAfterAWhile(t *testing.T) {
	f := newFixture(t).forwarder
	now := time.Unix(1000, 0)
	f.SetEntries(291, now)
	for _, told := range []int{1, 33, 66, 290} {
		now = now.Add(300 * time.Millisecond)
		f.SetEntries(told, now)
		require.Equal(t, 291, f.Entries())
	}
	f.SetEntries(292, now)
	require.Equal(t, 292, f.Entries())
	f.SetEntries(100, now.Add(3*time.Second))
	require.Equal(t, 292, f.Entries())
	f.SetEntries(100, now.Add(5*time.Second))
	require.Equal(t, 100, f.Entries())
}
