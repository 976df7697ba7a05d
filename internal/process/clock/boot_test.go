package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The boot clock counts the time during which the machine is suspended, although the process does not run: a
// lease that was granted before has expired at wake-up.
func TestBootCountsSuspension(t *testing.T) {
	start := time.Unix(1000, 0)
	booted := 70 * time.Second
	b := newBoot(start, func() time.Duration { return booted })
	require.Equal(t, start, b.Now())
	lease := b.Now().Add(time.Second)
	booted += time.Hour // suspended
	require.True(t, b.Now().After(lease))
	require.Equal(t, start.Add(time.Hour), b.Now())
}

func TestBootAdvances(t *testing.T) {
	b := NewBoot()
	before := b.Now()
	require.WithinDuration(t, time.Now(), before, time.Minute)
	require.Eventually(t, func() bool { return b.Now().After(before) }, time.Minute, time.Millisecond)
}
