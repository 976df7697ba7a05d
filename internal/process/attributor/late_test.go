package attributor_test

import (
	"fmt"
	"slices"
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
			s.core.Add(crashOf("e0", at, sound), "entry")
			isolated := s.wait(lateness)
			s.core.Add(crashOf("e0", at, sound, 2, deadly), "entry")
			for i := range 3 {
				s.core.Add(crashOf(fmt.Sprint("e", 1+i), s.now, sound, 2, deadly), "entry")
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
		s.core.Add(crashOf(fmt.Sprint("e", i), at, sound), "entry")
		require.Empty(t, s.wait(750*time.Millisecond))
		s.core.Add(crashOf(fmt.Sprint("e", i), at, sound, deadly), "entry")
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
	s.core.Add(withRequests(crashOf("e1", s.now), 7), "entry")
	require.Equal(t, []uint64{7}, s.wait(3*time.Second), "it is known to have crashed endpoints before")
}

// An endpoint that was started again at once can be reached, so that its crash counted for nothing. Connections to it that
// are lost together, at whichever entries, show that it ended; one alone, or others at another time, do not.
func TestConnectionsLostTogetherAreACrash(t *testing.T) {
	const deadly = 3
	type report struct {
		from  string
		lost  int
		after time.Duration
	}
	cases := map[string]struct {
		reports    []report
		isIsolated bool
	}{
		"one connection":                    {[]report{{"a", 1, 0}}, false},
		"one connection, reported again":    {[]report{{"a", 1, 0}, {"a", 1, 0}}, false},
		"two connections of an entry":       {[]report{{"a", 2, 0}}, true},
		"one each of two entries":           {[]report{{"a", 1, 0}, {"b", 1, 200 * time.Millisecond}}, true},
		"of two entries at different times": {[]report{{"a", 1, 0}, {"b", 1, time.Second}}, false},
		"can't be reached by one entry":     {[]report{{"a", 1, 0}, {"b", 0, 0}}, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScenario()
			var isolated []uint64
			for i := range 4 {
				for _, r := range tc.reports {
					c := crashOf(fmt.Sprint("e", i), s.now.Add(r.after), deadly)
					c.Lost = r.lost
					s.core.Add(c, r.from)
				}
				isolated = append(isolated, s.wait(time.Second)...)
			}
			isolated = append(isolated, s.wait(5*time.Second)...)
			require.Equal(t, tc.isIsolated, len(isolated) == 1, "%v", isolated)
		})
	}
}

// A relay merges the reports of its entries, whatever their order, as the leader would.
func TestCrashesAreMerged(t *testing.T) {
	crash := func(at time.Duration, lost int, blocks ...uint64) *attributor.Crash {
		c := crashOf("e1", start.Add(at), blocks...)
		c.Lost = lost
		return c
	}
	cases := map[string]struct {
		a, b   *attributor.Crash
		isSame bool
		lost   int
		blocks int
	}{
		"connections add up":            {crash(0, 1, 1, 2), crash(100*time.Millisecond, 2, 1, 3), true, 3, 3},
		"not at different times":        {crash(0, 1, 1), crash(time.Second, 2, 1), true, 2, 1},
		"one entry can't reach it":      {crash(0, 0, 1), crash(0, 2, 2), true, 0, 2},
		"two crashes":                   {crash(0, 1, 1), crash(2*time.Second, 1, 1), false, 1, 1},
		"without calls at one of these": {crash(0, 1), crash(0, 1, 1, 2), true, 2, 2},
	}
	for name, tc := range cases {
		for order, pair := range map[string][2]*attributor.Crash{"first": {tc.a, tc.b}, "second": {tc.b, tc.a}} {
			t.Run(name+", "+order, func(t *testing.T) {
				merged := *pair[0]
				merged.Exposures = slices.Clone(merged.Exposures)
				require.Equal(t, tc.isSame, merged.Merge(pair[1]))
				if !tc.isSame {
					return
				}
				require.Equal(t, tc.lost, merged.Lost)
				require.Len(t, merged.Exposures, tc.blocks)
				require.Equal(t, start, merged.At)
			})
		}
	}
}
