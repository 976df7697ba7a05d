package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/placer"
)

// newVersionedFixture returns a fixture whose first endpoint has version v1 and the
// second v2.
func newVersionedFixture(t *testing.T, chosen forwarder.Version, endpoints ...*endpoint) *fixture {
	t.Helper()
	f := newFixture(t, endpoints...)
	f.version = chosen
	var list []placer.Endpoint
	for i, e := range f.endpoints {
		e.Version = []string{"v1", "v2"}[i]
		list = append(list, e)
	}
	f.endpoints = list
	f.placer.SetEndpoints(list)
	return f
}

func TestVersionsOfCalls(t *testing.T) {
	cases := map[string]struct {
		chosen      forwarder.Version
		unavailable string // version whose endpoints are leaving
		body        string
		refusal     forwarder.Refusal
	}{
		"wanted":                   {forwarder.Version{Wanted: "v2"}, "", "v2", ""},
		"wanted is unavailable":    {forwarder.Version{Wanted: "v2"}, "v2", "v1", ""},
		"unwanted":                 {forwarder.Version{Unwanted: []string{"v2"}}, "", "v1", ""},
		"unwanted is the only one": {forwarder.Version{Unwanted: []string{"v2"}}, "v1", "", forwarder.Busy},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newVersionedFixture(t, tc.chosen, newEndpoint(t, answerWith(200, "v1")), newEndpoint(t, answerWith(200, "v2")))
			if tc.unavailable != "" {
				var list []placer.Endpoint
				for _, e := range f.endpoints {
					e.Leaving = e.Version == tc.unavailable
					list = append(list, e)
				}
				f.placer.SetEndpoints(list)
			}
			for range 10 {
				got := f.call(t, "/safe/1", "k1", "body")
				require.NoError(t, got.err)
				require.Equal(t, string(tc.refusal), got.refusal)
				require.Equal(t, tc.body, got.body)
				f.quotas.Return("masons", 1)
			}
		})
	}
}

// Checks which results of an attempt count as a failure of the endpoint's version,
// and which are excluded from the comparison of versions.
func TestAttemptReports(t *testing.T) {
	cases := map[string]struct {
		path       string
		answer     answerFunc
		isFailed   bool
		isExcluded bool
		isBroken   bool
	}{
		"answered":              {"/once/1", answerWith(200, "ok"), false, false, false},
		"refused by the engine": {"/once/1", answerWith(404, "none"), false, false, false},
		"failure":               {"/once/1", answerWith(500, "bad"), true, false, false},
		"no answer":             {"/once/1", closeUnanswered, true, false, true},
		"broken off":            {"/once/1", answerTruncated, true, false, true},
		"silent":                {"/once/1", neverAnswer, true, false, false},
		"not run":               {"/once/1", answerNotRun, false, true, false},
		"complete stream":       {"/stream/1", answerEvents(5, 5), false, false, false},
		"broken stream":         {"/stream/1", answerEvents(3, 5), true, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, newEndpoint(t, tc.answer))
			f.call(t, tc.path, "k1", "body")
			f.locked(func() {
				require.Len(t, f.sent, 1)
				require.Len(t, f.attempts, 1)
				result := f.attempts[0]
				require.Equal(t, f.sent[0], result.Route)
				require.Equal(t, tc.isFailed, result.IsFailed)
				require.Equal(t, tc.isExcluded, result.IsExcluded)
				require.Equal(t, tc.isBroken, result.IsBroken)
				require.Equal(t, !tc.isFailed && !tc.isExcluded, result.IsAnswered)
				if !tc.isFailed && !tc.isExcluded {
					require.Positive(t, result.First)
				}
			})
		})
	}
}
