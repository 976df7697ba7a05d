package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/placer"
)

// versioned returns a front whose first endpoint has version v1 and the second v2.
func versioned(t *testing.T, chosen forwarder.Version, endpoints ...*endpoint) *front {
	t.Helper()
	f := newFront(t, endpoints...)
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
		chosen  forwarder.Version
		without string // version that takes no work
		body    string
		refusal forwarder.Refusal
	}{
		"wanted":                      {forwarder.Version{Wanted: "v2"}, "", "v2", ""},
		"wanted has no place":         {forwarder.Version{Wanted: "v2"}, "v2", "v1", ""},
		"unwanted":                    {forwarder.Version{Unwanted: "v2"}, "", "v1", ""},
		"unwanted, although only one": {forwarder.Version{Unwanted: "v2"}, "v1", "", forwarder.Busy},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := versioned(t, tc.chosen, newEndpoint(t, answer(200, "v1")), newEndpoint(t, answer(200, "v2")))
			if tc.without != "" {
				var list []placer.Endpoint
				for _, e := range f.endpoints {
					e.Leaving = e.Version == tc.without
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

// What an endpoint's answers say of its version.
func TestTrials(t *testing.T) {
	cases := map[string]struct {
		path      string
		answer    answerer
		isFailed  bool
		isExcused bool
	}{
		"answered":              {"/once/1", answer(200, "ok"), false, false},
		"refused by the engine": {"/once/1", answer(404, "none"), false, false},
		"failure":               {"/once/1", answer(500, "bad"), true, false},
		"no answer":             {"/once/1", cut, true, false},
		"broken off":            {"/once/1", truncated, true, false},
		"silent":                {"/once/1", silent, true, false},
		"not run":               {"/once/1", notRun, false, true},
		"whole stream":          {"/stream/1", events(5, 5), false, false},
		"broken stream":         {"/stream/1", events(3, 5), true, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFront(t, newEndpoint(t, tc.answer))
			f.call(t, tc.path, "k1", "body")
			f.note(func() {
				require.Len(t, f.sent, 1)
				require.Len(t, f.trials, 1)
				trial := f.trials[0]
				require.Equal(t, f.sent[0], trial.Route)
				require.Equal(t, tc.isFailed, trial.IsFailed)
				require.Equal(t, tc.isExcused, trial.IsExcused)
				if !tc.isFailed && !tc.isExcused {
					require.Positive(t, trial.First)
				}
			})
		})
	}
}
