package measurer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/request/admitter"
	"hyssoprudder/internal/request/router"
	"hyssoprudder/internal/standin/loader"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		http.DefaultClient.CloseIdleConnections()
		os.Exit(code)
	}))
}

func firm(t *testing.T, name string) *Firm {
	t.Helper()
	f, err := ReadFirm("../../../examples", name, 0.05)
	require.NoError(t, err)
	return f
}

// TestStreamsSurviveReclaims checks that each arm delivers complete answers while
// engines are reclaimed, and that resumed streams are counted.
func TestStreamsSurviveReclaims(t *testing.T) {
	tests := map[string]struct {
		arm           Arm
		withoutNotice bool
	}{
		"product with notice":    {arm: product},
		"product without notice": {arm: product, withoutNotice: true},
		"start again":            {arm: restart, withoutNotice: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := firm(t, "vrancea")
			for i := range f.Load.Calls {
				f.Load.Calls[i].Timeout = time.Hour
			}
			out, err := run(context.Background(), f, test.arm, trial{
				rate: 20, seed: 1, scale: 0.05, duration: 1500 * time.Millisecond, injectFaults: reclaimWaves(test.withoutNotice),
			}, clock.System{})
			require.NoError(t, err)
			require.Equal(t, map[loader.Outcome]int{loader.Complete: out.summary.All.Sent}, out.summary.All.Outcomes)
			require.Equal(t, uint64(out.summary.All.Tokens), out.work.delivered)
			if test.withoutNotice {
				require.Positive(t, out.work.resumptions)
				require.Positive(t, out.work.resumeCost)
			}
		})
	}
}

func TestAdmissionRefusesTruthfully(t *testing.T) {
	f := firm(t, "grasflot")
	for i := range f.Load.Calls {
		f.Load.Calls[i].Timeout = time.Hour
	}
	one := Arm{Policy: router.Predictive, Admission: func(*Firm) admitter.Policy { return admitter.Fixed(1) }}
	out, err := run(context.Background(), f, one, trial{rate: 40, seed: 1, scale: 0.05, duration: 400 * time.Millisecond}, clock.System{})
	require.NoError(t, err)
	all := out.summary.All
	require.Positive(t, all.Outcomes[loader.Refused])
	require.Equal(t, all.Sent, all.Outcomes[loader.Refused]+all.Outcomes[loader.Complete])
}

func TestTallyCountsSharedBlocksOnce(t *testing.T) {
	tally := newTally()
	tally.addPrompt(40, 16, []uint64{1, 2})
	tally.addPrompt(20, 16, []uint64{1})
	tally.addToken()
	tally.addResumption(5)
	require.Equal(t, work{delivered: 1, recomputed: 7, resumptions: 1, resumeCost: 5}, tally.work(1, 32+8+4+7))
	require.Equal(t, 7000.0, tally.work(1, 32+8+4+7).perThousand(7))
}

func TestResultsAreWritten(t *testing.T) {
	rows := func(arm string, rates ...float64) []row {
		var list []row
		for i, rate := range rates {
			list = append(list, row{firm: "vrancea", condition: "steady", arm: arm, outcome: &outcome{
				trial: trial{rate: rate, seed: uint64(i)}, summary: &loader.Summary{All: loader.Part{Outcomes: map[loader.Outcome]int{}}},
			}})
		}
		return list
	}
	all := append(rows("product", 3, 1, 2), rows("least", 4, 8)...)
	rate := metric{"rate", func(r row) float64 { return r.outcome.trial.rate }}
	require.Equal(t, []bar{
		{group: "vrancea steady", arm: "product", median: 2, min: 1, max: 3, count: 3},
		{group: "vrancea steady", arm: "least", median: 6, min: 4, max: 8, count: 2},
	}, bars(all, rate))

	var out bytes.Buffer
	require.NoError(t, writeCSV(&out, all, 1))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 6)
	require.Len(t, strings.Split(lines[1], ","), len(header))
	path := filepath.Join(t.TempDir(), "chart.svg")
	require.NoError(t, writeChart(path, "title", all, rate))
	require.FileExists(t, path)
}

func TestSearchFindsNoRateWhereNoneIsMet(t *testing.T) {
	f := firm(t, "vrancea")
	for i := range f.Load.Calls {
		f.Load.Calls[i].First = time.Nanosecond
	}
	o := Options{Seeds: 1, Clock: clock.System{}, Progress: io.Discard, Duration: 100 * time.Millisecond, Scale: 0.05}
	jobs := []job{{firm: f, arm: product, trial: o.trial(20, 0), search: true}}
	rows, err := runJobs(context.Background(), o, jobs)
	require.NoError(t, err)
	require.Len(t, rows, 4)
	for _, r := range rows {
		require.Equal(t, conditionProbe, r.condition)
	}
}
