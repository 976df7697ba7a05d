package poller_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"hyssoprudder/internal/connection/dialer"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/lister"
	"hyssoprudder/internal/process/observer"
	"hyssoprudder/internal/process/poller"
	"hyssoprudder/internal/request/router"
)

var epoch = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

// fakeEndpoints answers reads from any entry and counts them.
type fakeEndpoints struct {
	mu    sync.Mutex
	reads map[string]int
	all   chan struct{}
}

func (f *fakeEndpoints) endpoints() []lister.Endpoint {
	var list []lister.Endpoint
	for i := range 18 {
		list = append(list, lister.NewEndpoint(lister.Spec{ID: fmt.Sprint(i), Service: "pumice"}))
	}
	return list
}

func (f *fakeEndpoints) load(_ context.Context, e lister.Endpoint) (dialer.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads[e.ID()]++
	if len(f.reads) == 18 {
		close(f.all)
	}
	if e.ID() == "3" {
		return dialer.LoadReport{}, errors.New("no answer")
	}
	return dialer.LoadReport{At: epoch.Add(time.Hour), Running: 4, Slots: 16, DecodeRate: 40}, nil
}

func TestEntriesDivideTheEndpoints(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := &fakeEndpoints{reads: make(map[string]int), all: make(chan struct{})}
	names := []string{"a", "b", "c"}
	observers := make(map[string]*observer.Observer)
	var pollers []*poller.Poller
	for _, name := range names {
		o := observer.New(epoch)
		observers[name] = o
		pollers = append(pollers, poller.Start(poller.Config{
			Self: name, Clock: clock.NewManual(epoch), Observer: o, Router: router.New(o, "focsani", router.Predictive()),
			Endpoints: f.endpoints, Load: f.load,
			Nodes: func() []string {
				var others []string
				for _, other := range names {
					if other != name {
						others = append(others, other)
					}
				}
				return others
			},
		}))
	}
	<-f.all
	for _, p := range pollers {
		p.Stop()
	}
	require.Len(t, f.reads, 18)
	for id, n := range f.reads {
		require.Equal(t, 1, n, "endpoint %s", id)
	}
	known := 0
	for _, o := range observers {
		for id := range f.reads {
			load := o.Load(id)
			if load.Known() {
				known++
				require.Equal(t, epoch, load.Reported().At, "a report time in the future is replaced by the current time")
			}
		}
	}
	require.Equal(t, 17, known)
}

// Guards against a load report with numbers out of range that spoils what is predicted of an
// endpoint, here and at the entries that get the report in a digest.
func TestReportOutOfRangeIsNotTaken(t *testing.T) {
	sound := dialer.LoadReport{At: epoch, Running: 4, Queued: 1, Slots: 16, KVUsed: 5, KVSize: 9, PrefillRate: 2000, DecodeRate: 40}
	for name, tc := range map[string]struct {
		change  func(r *dialer.LoadReport)
		isTaken bool
	}{
		"sound":                 {func(*dialer.LoadReport) {}, true},
		"no rates":              {func(r *dialer.LoadReport) { r.PrefillRate, r.DecodeRate = 0, 0 }, true},
		"slots too large":       {func(r *dialer.LoadReport) { r.Slots = 1 << 62 }, false},
		"slots below 0":         {func(r *dialer.LoadReport) { r.Slots = -1 }, false},
		"calls that overflow":   {func(r *dialer.LoadReport) { r.Running, r.Queued = 1<<62, 1<<62 }, false},
		"calls below 0":         {func(r *dialer.LoadReport) { r.Running = -1 << 40 }, false},
		"memory below 0":        {func(r *dialer.LoadReport) { r.KVUsed = -1 }, false},
		"memory too large":      {func(r *dialer.LoadReport) { r.KVSize = math.MaxInt64 }, false},
		"rate too large":        {func(r *dialer.LoadReport) { r.PrefillRate = 1e300 }, false},
		"rate hardly above 0":   {func(r *dialer.LoadReport) { r.DecodeRate = 1e-300 }, false},
		"prefill hardly at all": {func(r *dialer.LoadReport) { r.PrefillRate = 1e-300 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			o, read := observer.New(epoch), make(chan struct{})
			p := poller.Start(poller.Config{
				Self: "a", Clock: clock.NewManual(epoch), Observer: o, Router: router.New(o, "focsani", router.Predictive()),
				Nodes: func() []string { return nil },
				Endpoints: func() []lister.Endpoint {
					return []lister.Endpoint{lister.NewEndpoint(lister.Spec{ID: "1", Service: "pumice"})}
				},
				Load: func(context.Context, lister.Endpoint) (dialer.LoadReport, error) {
					defer close(read)
					report := sound
					tc.change(&report)
					return report, nil
				},
			})
			<-read
			p.Stop()
			load := o.Load("1")
			require.Equal(t, tc.isTaken, !load.Reported().At.IsZero())
		})
	}
}
