package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// While an instance is suspended its boot clock goes on, though the process sees
// nothing of it: what was to last for a while is over when it wakes up.
func TestBootCountsSuspension(t *testing.T) {
	start := time.Unix(1000, 0)
	booted := 70 * time.Second
	b := newBoot(start, func() time.Duration { return booted })
	require.Equal(t, start, b.Now())
	lease := b.Now().Add(time.Second)
	booted += time.Hour // asleep
	require.True(t, b.Now().After(lease))
	require.Equal(t, start.Add(time.Hour), b.Now())
}

func TestBootGoesOn(t *testing.T) {
	b := NewBoot()
	before := b.Now()
	require.WithinDuration(t, time.Now(), before, time.Minute)
	require.Eventually(t, func() bool { return b.Now().After(before) }, time.Minute, time.Millisecond)
}
