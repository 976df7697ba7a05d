package faulter_test

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/standin/faulter"
)

// From one call on all answers say that the stand-in leaves, and some ask for a pause.
func TestLeaveAndPause(t *testing.T) {
	s := faulter.New(1, time.Now)
	s.Put(faulter.Fault{LeaveRate: 0.1, PauseRate: 0.3, PauseMillis: 2000})
	left, pauses := 0, 0
	for i := range 200 {
		effect := s.Call("", 0)
		w := httptest.NewRecorder()
		effect.Announce(w)
		require.Equal(t, effect.Leave, w.Header().Get("Leaving") == "1")
		if left > 0 {
			require.True(t, effect.Leave, "call %d", i)
		}
		if effect.Leave {
			left++
		}
		after := w.Header().Get("Retry-After")
		require.Equal(t, effect.Pause > 0, after != "")
		if after == "" {
			continue
		}
		pauses++
		seconds, err := strconv.ParseFloat(after, 64)
		require.NoError(t, err)
		require.InDelta(t, 1.1, seconds, 0.91)
	}
	require.Greater(t, left, 100)
	require.InDelta(t, 60, pauses, 30)
}
