package mover_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/version/judge"
	"hyssoprudder/internal/version/mover"
)

// busyEntry returns an entry's recorder after 4000 calls on four routes.
func busyEntry(name string, s mover.State, routes []string) *judge.Recorder {
	r := judge.NewRecorder(name, 1, judge.GuardConfig(0.005, 16))
	r.Follow(s.Subject(routes))
	for i := range 4000 {
		first := time.Duration(50+i%400) * time.Millisecond
		version := []string{"12", "13"}[i%2]
		r.Begin("pumice", routes[i%4], version)
		r.Record("pumice", routes[i%4], version, judge.Result{First: first, Next: first / 8, Total: 8 * first})
	}
	return r
}

func benchState() (mover.State, []string, []mover.Route) {
	now := time.Date(2027, 1, 10, 5, 0, 0, 0, time.UTC)
	names := []string{"answers", "summaries", "drafts", "notes"}
	var routes []mover.Route
	for _, n := range names {
		routes = append(routes, mover.NewRoute(n, false))
	}
	return mover.Begin(mover.DefaultConfig(), mover.Request{
		Service: "pumice", From: "12", To: "13", Deadline: now.Add(time.Hour), Routes: routes, Size: 9,
	}, now, 1), names, routes
}

func BenchmarkCount(b *testing.B) {
	s, names, _ := benchState()
	r := busyEntry("a", s, names)
	b.ReportAllocs()
	for b.Loop() {
		r.Begin("pumice", "answers", "13")
		r.Record("pumice", "answers", "13", judge.Result{First: time.Second, Next: time.Millisecond, Total: time.Minute})
	}
}

func BenchmarkVersion(b *testing.B) {
	s, _, _ := benchState()
	v := mover.NewView()
	v.Apply(s)
	b.ReportAllocs()
	for b.Loop() {
		v.Weight("pumice", "13", false, s.CreatedAt, false)
	}
}

// BenchmarkRound measures the leader's work for one move in one second.
func BenchmarkRound(b *testing.B) {
	for _, entries := range []int{6, 16} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			s, names, routes := benchState()
			m := mover.New(mover.DefaultConfig(), s, routes, 1)
			var digests [][]byte
			bytes := 0
			for i := range entries {
				encoded, err := busyEntry(fmt.Sprint(i), s, names).Digest().Encode()
				require.NoError(b, err)
				digests = append(digests, encoded)
				bytes = len(encoded)
			}
			for b.Loop() {
				for _, encoded := range digests {
					d, err := judge.DecodeDigest(encoded)
					require.NoError(b, err)
					require.NoError(b, m.Merge(d))
				}
				m.Next(s, mover.Observation{Now: s.CreatedAt.Add(time.Second)})
			}
			b.ReportMetric(float64(bytes), "digest-bytes")
		})
	}
}

func BenchmarkState(b *testing.B) {
	s, _, _ := benchState()
	encoded, err := s.Encode()
	require.NoError(b, err)
	for b.Loop() {
		if _, err := mover.Decode(encoded); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encoded)), "state-bytes")
}
