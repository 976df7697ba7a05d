package attributor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/attributor"
)

// The only report with the deadly block in it came after a crash had been counted, so that a sound block which was in all
// crashes explained them better, and its calls were refused.
func TestLateReportOfACrashIsCounted(t *testing.T) {
	const sound, deadly = 1, 3
	for lateness := time.Duration(0); lateness <= 1250*time.Millisecond; lateness += reportInterval {
		t.Run(lateness.String(), func(t *testing.T) {
			s := newScenario()
			at := s.now
			s.core.Add(crashOf("e0", at, sound))
			isolated := s.wait(lateness)
			s.core.Add(crashOf("e0", at, sound, 2, deadly))
			for i := range 3 {
				s.core.Add(crashOf(fmt.Sprint("e", 1+i), s.now, sound, 2, deadly))
				isolated = append(isolated, s.wait(reportInterval)...)
			}
			isolated = append(isolated, s.wait(5*time.Second)...)
			require.Equal(t, []uint64{deadly}, isolated)
		})
	}
}

// A late report that names what is isolated explains a crash that was counted against sound blocks before.
func TestLateReportExplainsACrash(t *testing.T) {
	const sound, deadly = 1, 3
	s := newScenario()
	require.Equal(t, []uint64{deadly}, isolate(s, deadly))
	for i := range 5 {
		at := s.now
		s.core.Add(crashOf(fmt.Sprint("e", i), at, sound))
		require.Empty(t, s.wait(750*time.Millisecond))
		s.core.Add(crashOf(fmt.Sprint("e", i), at, sound, deadly))
		require.Empty(t, s.wait(reportInterval))
	}
	require.Empty(t, s.wait(5*time.Second))
}

// A new leader isolated a sound request without a crash of its own, since an entry still suspected it that had not heard of
// the last decision of the leader before, which explained the crashes.
func TestSuspicionOfAnEarlierLeaderNeedsACrash(t *testing.T) {
	s := newScenario()
	request := attributor.RequestKey(7)
	s.core.SetAdopting(true)
	s.core.AdoptSuspects([]attributor.Suspect{{Key: request, Since: s.now.Add(-2 * time.Second), Crashes: 4, LastCrash: s.now.Add(-time.Second)}}, s.now)
	require.Empty(t, s.wait(3*time.Second))
	s.core.Add(withRequests(crashOf("e1", s.now), 7))
	require.Equal(t, []uint64{7}, s.wait(3*time.Second), "it is known to have crashed endpoints before")
}
