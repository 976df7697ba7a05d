package attributor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/attributor"
)

// withRequests adds requests to a crash, which were sent 0.1 s before.
func withRequests(c *attributor.Crash, fingerprints ...uint64) *attributor.Crash {
	for _, f := range fingerprints {
		c.Exposures = append(c.Exposures, attributor.Exposure{
			Key: attributor.RequestKey(f), Depth: attributor.RequestDepth, StartedAt: c.At.Add(-100 * time.Millisecond),
		})
	}
	return c
}

func (s *scenario) isolated() []attributor.Key {
	var out []attributor.Key
	for _, i := range s.core.Isolations(s.now) {
		out = append(out, i.Key)
	}
	return out
}

// One request crashed one endpoint after the other: only blocks that other prompts share were held against it, which
// those other prompts' answers cleared.
func TestRequestThatCrashesEndpointsIsIsolated(t *testing.T) {
	const deadly, block = 900, 1
	cases := map[string]func(s *scenario, number int){
		"without a prompt": func(s *scenario, number int) {
			s.core.Add(withRequests(crashOf(fmt.Sprint("e", number), s.now), deadly, uint64(number)), "entry")
		},
		"with blocks that were in no other crash": func(s *scenario, number int) {
			s.core.Add(withRequests(crashOf(fmt.Sprint("e", number), s.now, block, 2), deadly, uint64(number)), "entry")
		},
		"with a block that was in another crash too": func(s *scenario, number int) {
			if number == 2 {
				s.core.Add(withRequests(crashOf("lost", s.now.Add(-150*time.Millisecond), block), 50), "entry")
			}
			s.core.Add(withRequests(crashOf(fmt.Sprint("e", number), s.now, block), deadly, uint64(number)), "entry")
		},
	}
	for name, crash := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScenario()
			for number := range 3 {
				require.Empty(t, s.isolated())
				crash(s, number)
				s.wait(time.Second)
			}
			s.wait(time.Second)
			require.Equal(t, []attributor.Key{attributor.RequestKey(deadly)}, s.isolated())
		})
	}
}

// Requests that come again and again and are answered were running when endpoints crashed.
func TestSoundRequestsAreNotIsolated(t *testing.T) {
	s := newScenario()
	for i := range 20 {
		s.core.Add(withRequests(crashOf(fmt.Sprint("e", i), s.now), 7, 8), "entry")
		s.wait(time.Second)
		s.core.Answer(attributor.Answer{Key: attributor.RequestKey(7), At: s.now})
		s.core.Answer(attributor.Answer{Key: attributor.RequestKey(8), At: s.now})
	}
	s.wait(5 * time.Second)
	require.Empty(t, s.isolated())
}

// When the first request with a deadly block had been isolated, the block had to be in three more crashes.
func TestBlockIsIsolatedAfterItsFirstRequest(t *testing.T) {
	const deadly = 3
	s := newScenario()
	number := 0
	crash := func(fingerprint uint64) {
		number++
		s.core.Add(withRequests(crashOf(fmt.Sprint("e", number), s.now, deadly), fingerprint), "entry")
		s.wait(time.Second)
	}
	for range 3 {
		crash(900)
	}
	s.wait(time.Second)
	require.Equal(t, []attributor.Key{attributor.RequestKey(900)}, s.isolated())
	crash(901)
	crash(902)
	s.wait(time.Second)
	require.ElementsMatch(t, []attributor.Key{attributor.RequestKey(900), key(deadly)}, s.isolated())
}

// Each request with a deadly block was isolated in turn, before the block was.
func TestBlockGoesBeforeItsRequestsWhenSeveralCrashEndpoints(t *testing.T) {
	const deadly = 3
	s := newScenario()
	for number, fingerprint := range []uint64{900, 901, 901, 902, 902, 902} {
		s.core.Add(withRequests(crashOf(fmt.Sprint("e", number), s.now.Add(time.Duration(number)*200*time.Millisecond), deadly), fingerprint), "entry")
	}
	s.wait(3 * time.Second)
	require.Equal(t, []attributor.Key{key(deadly)}, s.isolated())
}

func TestTwoRequestsThatCrashEndpointsAreIsolated(t *testing.T) {
	s := newScenario()
	for i := range 3 {
		s.core.Add(withRequests(crashOf(fmt.Sprint("a", i), s.now, 1), 900), "entry")
		s.core.Add(withRequests(crashOf(fmt.Sprint("b", i), s.now, 1), 901), "entry")
		s.wait(time.Second)
	}
	s.wait(time.Second)
	require.ElementsMatch(t, []attributor.Key{attributor.RequestKey(900), attributor.RequestKey(901)}, s.isolated())
}

// An entry repeated the call at once, and the crash counted from when a later entry saw it: the second crash was none.
func TestCallThatIsRepeatedAtOnceIsNewEvidence(t *testing.T) {
	s := newScenario()
	at := s.now
	for i := range 3 {
		endpoint := fmt.Sprint("e", i)
		s.core.Add(withRequests(crashOf(endpoint, at.Add(20*time.Millisecond)), uint64(i)), "entry")
		c := withRequests(crashOf(endpoint, at), 900)
		c.Exposures[0].StartedAt = at.Add(-10 * time.Millisecond)
		s.core.Add(c, "entry")
		at = at.Add(15 * time.Millisecond)
	}
	s.wait(3 * time.Second)
	require.Equal(t, []attributor.Key{attributor.RequestKey(900)}, s.isolated())
}

// A request was at all endpoints of a service when it ended them: three crashes counted once, since the calls were sent
// before the first of them, and the endpoints ended again when they were back.
func TestRequestThatEndsEndpointsAtOnceIsIsolated(t *testing.T) {
	s := newScenario()
	for i := range 3 {
		s.core.Add(withRequests(crashOf(fmt.Sprint("e", i), s.now.Add(time.Duration(i)*10*time.Millisecond)), 900, uint64(i)), "entry")
	}
	s.wait(3 * time.Second)
	require.Equal(t, []attributor.Key{attributor.RequestKey(900)}, s.isolated())
}

// A request that is answered again and again was at all endpoints of a domain that was lost, or ran during crashes far
// apart.
func TestRequestThatWasAnsweredBeforeIsNotIsolated(t *testing.T) {
	answered := func(c *attributor.Crash, at time.Time) *attributor.Crash {
		for i := range c.Exposures {
			c.Exposures[i].AnsweredAt = at
		}
		return c
	}
	cases := map[string]func(s *scenario){
		"a domain is lost": func(s *scenario) {
			at := s.now.Add(-time.Second)
			for i := range 6 {
				s.core.Add(answered(withRequests(crashOf(fmt.Sprint("e", i), s.now.Add(time.Duration(i)*10*time.Millisecond)), 7), at), "entry")
			}
		},
		"answered before the second crash": func(s *scenario) {
			s.core.Add(withRequests(crashOf("e1", s.now), 7), "entry")
			s.wait(20 * time.Second)
			s.core.Add(answered(withRequests(crashOf("e2", s.now), 7), s.now.Add(-time.Second)), "entry")
			s.core.Add(withRequests(crashOf("e3", s.now.Add(500*time.Millisecond)), 7), "entry")
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScenario()
			run(s)
			s.wait(5 * time.Second)
			require.Empty(t, s.isolated())
		})
	}
}

// What a leader suspected was lost with it: each new leader began to count again.
func TestSuspectedRequestsSurviveTheLeader(t *testing.T) {
	s := newScenario()
	crash := func(endpoint string) { s.core.Add(withRequests(crashOf(endpoint, s.now, 1), 900), "entry") }
	crash("e1")
	s.wait(time.Second)
	crash("e2")
	s.wait(time.Second)
	suspects := s.core.Suspects()
	s.core = attributor.New()
	s.core.Add(withRequests(crashOf("e2", s.now.Add(-time.Second), 1), 900), "entry") // reported again
	for range 3 {
		s.core.AdoptSuspects(suspects, s.now)
		s.wait(time.Second)
	}
	require.Empty(t, s.isolated(), "two crashes")
	crash("e3")
	s.wait(2 * time.Second)
	require.Equal(t, []attributor.Key{attributor.RequestKey(900)}, s.isolated())
	s.core.AdoptSuspects(suspects, s.now)
	s.wait(time.Second)
	require.Len(t, s.core.Isolations(s.now), 1)
	require.LessOrEqual(t, s.core.Isolations(s.now)[0].Until.Sub(s.now), 5*time.Minute, "the old reports isolate it once")
}

func TestAnsweredRequestsAreNotAdopted(t *testing.T) {
	s := newScenario()
	suspects := []attributor.Suspect{{Key: attributor.RequestKey(7), Since: s.now.Add(-time.Second), Crashes: 3, LastCrash: s.now}}
	s.core.AdoptSuspects(suspects, s.now)
	s.core.Answer(attributor.Answer{Key: attributor.RequestKey(7), At: s.now})
	s.core.AdoptSuspects(suspects, s.now)
	s.wait(5 * time.Second)
	require.Empty(t, s.isolated())
}

// Requests that were in one crash only used up the room for suspects, so that no later one was tracked.
func TestRequestIsTrackedAfterManyOthers(t *testing.T) {
	s := newScenario()
	fingerprint := uint64(1000)
	crash := func(endpoint string, others int) {
		c := withRequests(crashOf(endpoint, s.now), 900)
		for range others {
			fingerprint++
			withRequests(c, fingerprint)
		}
		s.core.Add(c, "entry")
		s.wait(time.Second)
	}
	for i := range 3 {
		crash(fmt.Sprint("e", i), 6000)
	}
	s.wait(time.Second)
	require.Equal(t, []attributor.Key{attributor.RequestKey(900)}, s.isolated())
}
