package loader

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/engine"
	"hyssoprudder/internal/standin/faulter"
	"hyssoprudder/internal/standin/servicer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func settings(call Call, entries ...string) Settings {
	return Settings{
		Entries: entries, Rate: 400, Duration: 100 * time.Millisecond, Seed: 3, Scale: 1, Price: 3.6,
		Customers: []Customer{{Name: "masons", Weight: 3, Worth: 2}, {Name: "depots", Weight: 1}},
		Calls:     []Call{call},
	}
}

func modelCall() Call {
	return Call{
		Name: "quick", Kind: KindModel, Path: "/generate", Weight: 1, Timeout: time.Minute,
		Prompt: [2]int{20, 40}, SharedWords: 16, Documents: 2, Max: [2]int{2, 8}, First: time.Minute, Next: time.Minute,
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"vrancea", "grasflot"} {
		s, err := Read("../../../examples/" + name + "/load.toml")
		require.NoError(t, err)
		require.NoError(t, Check(s))
		require.Len(t, s.Customers, 5)
		require.Len(t, s.Entries, 6)
	}
}

func TestScheduleDependsOnTheSeedOnly(t *testing.T) {
	s := settings(modelCall(), "127.0.0.1:1")
	first, second := newSchedule(s), newSchedule(s)
	for {
		a, more := first.next()
		b, _ := second.next()
		require.Equal(t, a, b)
		if !more {
			break
		}
		require.Equal(t, "quick", strings.Fields(a.prompt)[0])
	}
	require.Greater(t, first.count, 10)
}

func TestModelAnswersAreVerified(t *testing.T) {
	spec := engine.Defaults()
	spec.ID, spec.Scale = "e1", 0.01
	e, err := engine.Start("127.0.0.1:0", spec, clock.System{})
	require.NoError(t, err)
	defer e.Kill()
	summary, results, err := Run(context.Background(), settings(modelCall(), e.Address().String()), clock.System{})
	require.NoError(t, err)
	require.Equal(t, map[Outcome]int{Complete: len(results)}, summary.All.Outcomes)
	require.Equal(t, len(results), summary.All.Met)
	require.Equal(t, summary.All.OfferedWorth, summary.All.Worth)
	require.InDelta(t, 3.6/36000/float64(len(results))*1000, summary.CostPerThousand, 1e-9)
}

func TestStreams(t *testing.T) {
	const prompt = "a b"
	answer := engine.NewAnswer(prompt)
	event := func(id, token string) string { return "id: " + id + "\ndata: {\"token\":\"" + token + "\"}\n\n" }
	one, two := event("1", answer.Token(0)), event("2", answer.Token(1))
	done := "event: done\ndata: {\"count\":2}\n\n"
	tests := map[string]struct {
		responses []string // response to each attempt
		want      Outcome
	}{
		"whole":                   {[]string{one + two + done}, Complete},
		"resumed":                 {[]string{one, two + done}, Complete},
		"resumed at end":          {[]string{one + two, done}, Complete},
		"token twice":             {[]string{one, one + two + done}, Wrong},
		"token missing":           {[]string{one + done}, Wrong},
		"out of order":            {[]string{two + one + done}, Wrong},
		"token of another answer": {[]string{one + event("2", "t0") + done}, Wrong},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var resumed []string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = w.Write([]byte(test.responses[len(resumed)]))
				resumed = append(resumed, r.Header.Get("Last-Event-ID"))
			}))
			defer server.Close()
			call := modelCall()
			s := settings(call, strings.TrimPrefix(server.URL, "http://"))
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			l := &Load{settings: s, clock: clock.System{}, client: &http.Client{Transport: transport}, recorder: newRecorder(s)}
			l.balancer = newBalancer(s, l.client, l.clock)
			c := &caller{load: l, arrival: arrival{call: &call, customer: &s.Customers[0], prompt: prompt, max: 2, key: "k"}, ended: make(chan struct{})}
			l.inFlight.Add(1)
			c.run(context.Background())
			require.Equal(t, test.want, c.result.Outcome)
			require.Len(t, resumed, len(test.responses))
		})
	}
}

func TestAuditOfALoad(t *testing.T) {
	tests := map[string]struct {
		fault         faulter.Fault
		duplicateRate float64
		clean         bool
	}{
		"all run once":        {clean: true},
		"truthful refusals":   {fault: faulter.Fault{RefuseRate: 0.5}, clean: true},
		"requests sent twice": {duplicateRate: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ledger := servicer.NewLedger()
			spec := servicer.Defaults()
			spec.CallTime = time.Millisecond
			s, err := servicer.Start("127.0.0.1:0", spec, ledger, clock.System{})
			require.NoError(t, err)
			defer s.Kill()
			s.Faults().Put(test.fault)
			call := Call{Name: "order", Kind: KindPlain, Path: "/orders", Weight: 1, Timeout: time.Minute, Once: true, DuplicateRate: test.duplicateRate}
			_, results, err := Run(context.Background(), settings(call, s.Address().String()), clock.System{})
			require.NoError(t, err)
			require.Equal(t, test.clean, Compare(results, ledger.Calls()).Clean())
		})
	}
}

func TestCompareFindsEachFault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	results := []Result{
		{Key: "lost", Hash: "1", Once: true, Outcome: Complete, Attempts: []Outcome{Complete}},
		{Key: "false", Hash: "2", Once: true, Outcome: Refused, Attempts: []Outcome{Refused}},
		{Key: "doubled", Hash: "3", Once: true, Outcome: Complete, Attempts: []Outcome{Disconnected, Complete}},
		{Key: "ran", Hash: "4", Once: true, Outcome: Unknown, Attempts: []Outcome{Unknown}},
		{Key: "not", Hash: "5", Once: true, Outcome: TimedOut, Attempts: []Outcome{Disconnected}},
		{Key: "other", Hash: "6", Outcome: Complete},
	}
	file, err := os.Create(path)
	require.NoError(t, err)
	require.NoError(t, WriteLog(file, results))
	require.NoError(t, file.Close())
	read, err := ReadLog(path)
	require.NoError(t, err)
	audit := Compare(read, []servicer.Call{{Hash: "2"}, {Hash: "3"}, {Hash: "3"}, {Hash: "4"}, {Hash: "9"}})
	require.Equal(t, Audit{
		Runs: 5, Requests: 5, Doubled: []string{"doubled"}, Lost: []string{"lost"}, FalseNotRun: []string{"false"}, UnclearRan: 1, UnclearNotRan: 1, Stray: 1,
	}, audit)
}
