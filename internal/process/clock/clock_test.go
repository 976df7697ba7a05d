package clock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/clock"
)

func TestManualFiresOnlyDueTimers(t *testing.T) {
	c := clock.NewManual(time.Unix(0, 0))
	early := c.NewTimer(time.Second)
	late := c.NewTimer(3 * time.Second)

	c.Advance(2 * time.Second)

	require.Len(t, early.C(), 1)
	require.Empty(t, late.C())
	require.False(t, early.Stop())
	require.True(t, late.Stop())
}
