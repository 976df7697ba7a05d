package attributor_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

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
			s.core.Add(withRequests(crashOf(fmt.Sprint("e", number), s.now), deadly, uint64(number)))
		},
		"with blocks that were in no other crash": func(s *scenario, number int) {
			s.core.Add(withRequests(crashOf(fmt.Sprint("e", number), s.now, block, 2), deadly, uint64(number)))
		},
		"with a block that was in another crash too": func(s *scenario, number int) {
			if number == 2 {
				s.core.Add(withRequests(crashOf("lost", s.now.Add(-150*time.Millisecond), block), 50))
			}
			s.core.Add(withRequests(crashOf(fmt.Sprint("e", number), s.now, block), deadly, uint64(number)))
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
		s.core.Add(withRequests(crashOf(fmt.Sprint("e", i), s.now), 7, 8))
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
		s.core.Add(withRequests(crashOf(fmt.Sprint("e", number), s.now, deadly), fingerprint))
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

func TestTwoRequestsThatCrashEndpointsAreIsolated(t *testing.T) {
	s := newScenario()
	for i := range 3 {
		s.core.Add(withRequests(crashOf(fmt.Sprint("a", i), s.now, 1), 900))
		s.core.Add(withRequests(crashOf(fmt.Sprint("b", i), s.now, 1), 901))
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
		s.core.Add(withRequests(crashOf(endpoint, at.Add(20*time.Millisecond)), uint64(i)))
		c := withRequests(crashOf(endpoint, at), 900)
		c.Exposures[0].StartedAt = at.Add(-10 * time.Millisecond)
		s.core.Add(c)
		at = at.Add(15 * time.Millisecond)
	}
	s.wait(3 * time.Second)
	require.Equal(t, []attributor.Key{attributor.RequestKey(900)}, s.isolated())
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
		s.core.Add(c)
		s.wait(time.Second)
	}
	for i := range 3 {
		crash(fmt.Sprint("e", i), 6000)
	}
	s.wait(time.Second)
	require.Equal(t, []attributor.Key{attributor.RequestKey(900)}, s.isolated())
}

// A deadly request among sound ones, some of them identical to each other, with endpoints that are lost for other
// reasons, and reports that are lost: it crashes at most three endpoints later than 3 s after its third crash, and no
// sound request is ever isolated.
func TestOnlyTheDeadlyRequestIsIsolated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			deadly, endpoints = 1_000_000, 12
			step, contact     = 50 * time.Millisecond, 3 * time.Second
			downTime          = 3 * time.Second
		)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		interval := time.Duration(rapid.IntRange(2, 60).Draw(t, "interval")) * 100 * time.Millisecond
		loss := rapid.Float64Range(0, 0.3).Draw(t, "loss")
		isRepeated := rapid.Bool().Draw(t, "repeated at once")
		s := newScenario()
		type call struct {
			endpoint    int
			fingerprint uint64
			block       uint64
			sent        time.Time
		}
		var running []call
		var reports []*attributor.Crash
		var reportedAt time.Time
		downUntil := make([]time.Time, endpoints)
		next, unique := s.now, uint64(1000)
		crashes, late, third := 0, 0, time.Time{}
		isIsolated := func() bool {
			for _, k := range s.isolated() {
				if k == attributor.RequestKey(deadly) {
					return true
				}
			}
			return false
		}
		send := func(fingerprint uint64) {
			c := call{random.IntN(endpoints), fingerprint, random.Uint64N(4), s.now}
			for range endpoints {
				if s.now.After(downUntil[c.endpoint]) {
					break
				}
				c.endpoint = (c.endpoint + 1) % endpoints
			}
			if !s.now.After(downUntil[c.endpoint]) || fingerprint == deadly && isIsolated() {
				return
			}
			if fingerprint == deadly && !third.IsZero() && s.now.Sub(third) > contact {
				late++
			}
			running = append(running, c)
		}
		for range 1200 {
			for range 4 {
				unique++
				send(unique)
			}
			send(random.Uint64N(5)) // the same few requests again and again
			if !s.now.Before(next) {
				send(deadly)
				next = s.now.Add(interval)
			}
			s.now = s.now.Add(step)
			ended := make(map[int]bool)
			isDeadly := make(map[int]bool)
			for _, c := range running {
				if c.fingerprint == deadly {
					ended[c.endpoint], isDeadly[c.endpoint] = true, true
				}
			}
			if random.Float64() < 0.005 {
				ended[random.IntN(endpoints)] = true
			}
			for e := range ended {
				downUntil[e] = s.now.Add(downTime)
				if isDeadly[e] {
					if crashes++; crashes == 3 {
						third = s.now
					}
				}
			}
			repeat := false
			rest := running[:0:0]
			for _, c := range running {
				switch {
				case ended[c.endpoint]:
					r := withRequests(crashOf(fmt.Sprint(c.endpoint), s.now, c.block), c.fingerprint)
					for i := range r.Exposures {
						r.Exposures[i].StartedAt = c.sent
					}
					reports = append(reports, r)
					repeat = repeat || c.fingerprint == deadly && isRepeated
				case s.now.Sub(c.sent) >= 400*time.Millisecond:
					for _, suspect := range s.core.Suspects() {
						if suspect.Key == attributor.RequestKey(c.fingerprint) || suspect.Key == key(c.block) {
							s.core.Answer(attributor.Answer{Key: suspect.Key, At: s.now})
						}
					}
				default:
					rest = append(rest, c)
				}
			}
			running = rest
			if repeat {
				send(deadly)
			}
			if s.now.Sub(reportedAt) >= reportInterval {
				reportedAt = s.now
				kept := reports[:0]
				for _, r := range reports {
					if random.Float64() >= loss {
						s.core.Add(r)
					}
					if s.now.Sub(r.At) < 2*time.Second {
						kept = append(kept, r)
					}
				}
				reports = kept
			}
			s.core.Review(s.now, reportInterval)
		}
		for _, k := range s.isolated() {
			require.Equal(t, attributor.RequestKey(deadly), k, "after %d crashes", crashes)
		}
		require.LessOrEqual(t, late, 3, "after %d crashes", crashes)
	})
}
