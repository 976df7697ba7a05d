package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLongestWait(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &longestWait{}
	require.Equal(t, time.Second, l.record(time.Second, now))
	require.Equal(t, time.Second, l.record(600*time.Millisecond, now.Add(longestWaitWindow)), "a caller that retries has a shorter wait left")
	require.Equal(t, time.Minute, l.record(time.Minute, now.Add(longestWaitWindow)))
	for at := 3 * longestWaitWindow; at < 5*longestWaitWindow; at += time.Second {
		require.Equal(t, time.Second, l.record(time.Second, now.Add(at)), "a single long wait expires")
	}
}
