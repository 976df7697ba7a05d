package handler_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/request/claimer"
	"hyssoprudder/internal/request/handler"
	"hyssoprudder/internal/standin/faulter"
	"hyssoprudder/internal/standin/servicer"
)

func startServices(t *testing.T, n int) (*servicer.Ledger, []*servicer.Service, []lister.Endpoint) {
	t.Helper()
	ledger := servicer.NewLedger()
	var services []*servicer.Service
	var endpoints []lister.Endpoint
	for i := range n {
		spec := servicer.Defaults()
		spec.ID, spec.Domain, spec.Seed = fmt.Sprintf("service-%d", i), domains[i%3], uint64(i)
		s, err := servicer.Start("127.0.0.1:0", spec, ledger, clock.System{})
		require.NoError(t, err)
		t.Cleanup(s.Kill)
		services = append(services, s)
		endpoints = append(endpoints, endpoint(spec.ID, "bookings", spec.Domain, s.Address()))
	}
	return ledger, services, endpoints
}

// memoryJournal applies commands immediately, in memory.
type memoryJournal struct {
	mu      sync.Mutex
	applier *applier.Applier
	index   uint64
}

func (j *memoryJournal) propose(_ context.Context, c applier.Command) (applier.Result, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.index++
	c.At = time.Now().UnixNano()
	return j.applier.Apply(j.index, 1, c), nil
}

func withClaims(t *testing.T) func(cfg *handler.Config) {
	j := &memoryJournal{applier: applier.New()}
	c := claimer.New(claimer.Config{
		Entry: "a", Propose: j.propose, Clock: clock.System{}, Log: log.New(io.Discard),
		Wait: func(context.Context, string, *claimer.WaitArgs, *claimer.WaitReply) error {
			return errors.New("no other entry")
		},
	})
	c.Start()
	t.Cleanup(c.Stop)
	return func(cfg *handler.Config) { cfg.Claimer = c }
}

func (e *entry) call(method, path, key, body string, timeout time.Duration) (outcome string, status int, answer string) {
	header, status, answer := e.send(method, path, key, body, timeout)
	return header.Get(handler.HeaderOutcome), status, answer
}

func (e *entry) send(method, path, key, body string, timeout time.Duration) (header http.Header, status int, answer string) {
	req, err := http.NewRequest(method, e.server.URL+path, strings.NewReader(body))
	require.NoError(e.t, err)
	req.Header.Set("Customer", "masons")
	req.Header.Set(handler.HeaderKey, key)
	req.Header.Set(handler.HeaderTimeout, timeout.String())
	resp, err := http.DefaultClient.Do(req)
	require.NoError(e.t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(e.t, err)
	return resp.Header, resp.StatusCode, string(raw)
}

func TestBookingWithFaults(t *testing.T) {
	cases := map[string]struct {
		fault   func(services []*servicer.Service)
		outcome string
		runs    int
	}{
		"no fault":              {func([]*servicer.Service) {}, "done", 1},
		"two of three killed":   {func(s []*servicer.Service) { s[0].Kill(); s[1].Kill() }, "done", 1},
		"all killed":            {func(s []*servicer.Service) { s[0].Kill(); s[1].Kill(); s[2].Kill() }, "notrun", 0},
		"all refuse":            {faultAll(faulter.Fault{RefuseRate: 1}), "notrun", 0},
		"answer lost":           {faultAll(faulter.Fault{LoseAnswerRate: 1}), "done", 1},
		"answer after deadline": {faultAll(faulter.Fault{DelayMillis: 60_000}), "done", 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			ledger, services, endpoints := startServices(t, 3)
			e := newEntry(t, endpoints, withClaims(t))
			tc.fault(services)
			outcome, _, first := e.call(http.MethodPost, "/orders", "k", "bags=5", time.Second)
			require.Equal(t, tc.outcome, outcome)
			require.Len(t, ledger.Calls(), tc.runs)
			again, _, second := e.call(http.MethodPost, "/orders", "k", "bags=5", time.Second)
			require.Equal(t, tc.outcome, again)
			require.Len(t, ledger.Calls(), tc.runs, "a repeated call does not run again")
			if tc.runs > 0 {
				require.Equal(t, first, second)
				_, status, _ := e.call(http.MethodPost, "/orders", "k", "bags=6", time.Second)
				require.Equal(t, http.StatusUnprocessableEntity, status)
			}
		})
	}
}

func faultAll(fault faulter.Fault) func([]*servicer.Service) {
	return func(services []*servicer.Service) {
		for _, s := range services {
			s.Faults().Put(fault)
		}
	}
}

func TestRepeatableCallIsRetriedAfterAnError(t *testing.T) {
	_, services, endpoints := startServices(t, 3)
	e := newEntry(t, endpoints, nil)
	services[0].Faults().Put(faulter.Fault{FailRate: 1})
	services[1].Faults().Put(faulter.Fault{FailRate: 1})
	for i := range 10 {
		_, status, _ := e.call(http.MethodPost, "/bookings", fmt.Sprint(i), "x", time.Second)
		require.Equal(t, http.StatusCreated, status)
	}
}

// Bookings run while faults are injected and removed. By the service's own record, each
// key runs at most once, calls reported as done have run and those reported as not run
// have not.
func TestOutcomesAgreeWithTheServicesRecord(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			ledger, services, endpoints := startServices(t, 3)
			e := newEntry(t, endpoints, withClaims(t))
			random := rand.New(rand.NewPCG(seed, 1))
			b := &bookingClient{entry: e}
			for i := range 120 {
				if i%10 == 0 {
					victim := services[random.IntN(len(services))]
					victim.Faults().Put([]faulter.Fault{
						{}, {RefuseRate: 0.7}, {LoseAnswerRate: 0.5}, {Freeze: true, DurationMillis: 300}, {FailRate: 0.3, RefuseRate: 0.3}, {DelayMillis: 400},
					}[random.IntN(6)])
				}
				b.wait.Add(1)
				go b.run(fmt.Sprint(random.IntN(80)))
			}
			b.wait.Wait()
			runs, requests := make(map[string]int), make(map[string]bool)
			for _, call := range ledger.Calls() {
				runs[call.Key]++
				requests[call.Request] = true
			}
			for _, o := range b.outcomes {
				require.LessOrEqual(t, runs[o.key], 1, "key %s", o.key)
				switch o.outcome {
				case "done":
					require.Equal(t, 1, runs[o.key], "key %s is done", o.key)
				case "notrun":
					require.False(t, requests[o.request], "request %s did not run", o.request)
				}
			}
		})
	}
}

type bookingResult struct {
	key, request, outcome string
}

// bookingClient sends bookings and records their outcomes.
type bookingClient struct {
	entry    *entry
	wait     sync.WaitGroup
	mu       sync.Mutex
	outcomes []bookingResult
}

func (b *bookingClient) run(key string) {
	defer b.wait.Done()
	header, status, _ := b.entry.send(http.MethodPost, "/orders", key, "bags=5", 800*time.Millisecond)
	if status == http.StatusInternalServerError {
		return // the service itself answered with an error
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes = append(b.outcomes, bookingResult{key: key, request: header.Get(handler.HeaderRequest), outcome: header.Get(handler.HeaderOutcome)})
}
