package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLongestWait(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &longest{}
	require.Equal(t, time.Second, l.note(time.Second, now))
	require.Equal(t, time.Second, l.note(600*time.Millisecond, now.Add(waitSpan)), "a caller that comes back is late")
	require.Equal(t, time.Minute, l.note(time.Minute, now.Add(waitSpan)))
	for at := 3 * waitSpan; at < 5*waitSpan; at += time.Second {
		require.Equal(t, time.Second, l.note(time.Second, now.Add(at)), "one caller's long wait is forgotten")
	}
}
