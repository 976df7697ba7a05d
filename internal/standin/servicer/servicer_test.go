package servicer_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/faulter"
	"hyssoprudder/internal/standin/servicer"
)

func start(t *testing.T, ledger *servicer.Ledger) *servicer.Service {
	t.Helper()
	spec := servicer.Defaults()
	spec.ID, spec.CallTime = "b1", time.Millisecond
	s, err := servicer.Start("127.0.0.1:0", spec, ledger, clock.System{})
	require.NoError(t, err)
	t.Cleanup(s.Kill)
	return s
}

func book(t *testing.T, s *servicer.Service, key string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.Address().String()+"/orders/1", strings.NewReader("{}"))
	require.NoError(t, err)
	request.Header.Set("Idempotency-Key", key)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	return answer.StatusCode, answer.Header.Get("Outcome")
}

func status(t *testing.T, s *servicer.Service, key string) int {
	t.Helper()
	answer, err := http.Get("http://" + s.Address().String() + "/bookings/" + key)
	require.NoError(t, err)
	defer answer.Body.Close()
	return answer.StatusCode
}

func TestOutcomesAgreeWithTheRecord(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	tests := map[string]struct {
		fault   faulter.Fault
		status  int
		outcome string
		runs    int
	}{
		"runs":                   {status: 201, runs: 1},
		"answers late":           {fault: faulter.Fault{DelayMillis: 20}, status: 201, runs: 1},
		"loses the answer":       {fault: faulter.Fault{LoseAnswerRate: 1}, status: 0, runs: 1},
		"refuses":                {fault: faulter.Fault{RefuseRate: 1}, status: 503, outcome: "notrun"},
		"fails before running":   {fault: faulter.Fault{FailRate: 1}, status: 500},
		"fails on another route": {fault: faulter.Fault{FailRate: 1, Route: "/slots"}, status: 201, runs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ledger := servicer.NewLedger()
			s := start(t, ledger)
			s.Faults().Put(test.fault)
			code, outcome := book(t, s, "k1")
			require.Equal(t, test.status, code)
			require.Equal(t, test.outcome, outcome)
			require.Len(t, ledger.Calls(), test.runs)
		})
	}
}

func TestStatusSealsWhatHasNotRun(t *testing.T) {
	ledger := servicer.NewLedger()
	s, other := start(t, ledger), start(t, ledger)
	require.Equal(t, http.StatusNotFound, status(t, s, "k1"))
	code, outcome := book(t, other, "k1")
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Equal(t, "notrun", outcome)
	book(t, s, "k2")
	require.Equal(t, http.StatusOK, status(t, other, "k2"))
	require.Len(t, ledger.Calls(), 1)
}
