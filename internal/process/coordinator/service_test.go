package coordinator_test

import (
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/divider"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/process/registrar"
)

// newCoordinator returns the coordinator of a leader with the given ruleset.
func newCoordinator(t *testing.T, r *registrar.Ruleset) *coordinator.Coordinator {
	t.Helper()
	body, err := r.Encode()
	require.NoError(t, err)
	return coordinator.New(coordinator.Config{
		Clock: clock.System{}, Log: log.New(io.Discard),
		Lease:   func() (keeper.Lease, bool) { return keeper.Lease{}, true },
		Leader:  func() (netip.AddrPort, bool) { return netip.AddrPort{}, false },
		Keepers: func() []netip.AddrPort { return nil },
		Ruleset: func() applier.Ruleset { return applier.Ruleset{Number: r.Number, Body: body} },
		Moves:   func() []applier.Move { return nil },
		Limits:  func(*registrar.Ruleset) map[string]divider.Limit { return nil },
		Window:  time.Second, AllowanceLifetime: time.Second,
	})
}

func largeRuleset(number uint64, routes int) *registrar.Ruleset {
	r := &registrar.Ruleset{Number: number, Services: []registrar.Service{{Name: "desk"}}}
	for i := range routes {
		r.Routes = append(r.Routes, registrar.Route{
			Name: fmt.Sprint("route", i), Host: "a.example", Prefix: fmt.Sprintf("/orders/%d/", i), Timeout: time.Second,
			Shares: []registrar.Share{{Service: "desk", Weight: 1}},
		})
	}
	return r
}

// Rules with thousands of routes were not in force in time: they were part of an answer that had to arrive
// within the timeout of a report.
func TestAnswersDoNotGrowWithTheRuleset(t *testing.T) {
	const maxAnswerBytes = 16 << 10
	c := newCoordinator(t, largeRuleset(7, 20000))
	d := c.HandleReport(report("a", time.Now()))
	require.EqualValues(t, 7, d.RulesetNumber)
	raw, err := msgpack.Marshal(&d)
	require.NoError(t, err)
	require.Less(t, len(raw), maxAnswerBytes)
}
