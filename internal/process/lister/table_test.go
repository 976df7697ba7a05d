package lister_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/lister"
)

func endpoint(id string) lister.Endpoint {
	return lister.NewEndpoint(lister.Spec{ID: id, Service: "pumice"})
}

func ids(endpoints []lister.Endpoint) []string {
	names := make([]string, 0, len(endpoints))
	for _, e := range endpoints {
		names = append(names, e.ID())
	}
	return names
}

func TestTableLaggingListDoesNotRestoreLeavingEndpoint(t *testing.T) {
	now := time.Unix(0, 0)
	table := lister.NewTable()
	live := []lister.Listed{{Endpoint: endpoint("a")}, {Endpoint: endpoint("b")}}
	table.SetFromProvider(live, now)
	require.True(t, table.MarkLeaving("a", now))
	require.False(t, table.MarkLeaving("a", now))

	table.SetFromProvider(live, now.Add(time.Hour))

	require.Equal(t, []string{"b"}, ids(table.Service("pumice")))
	require.True(t, table.IsLeaving("a"))
}

func TestTableVersionRisesOnlyOnChange(t *testing.T) {
	now := time.Unix(0, 0)
	table := lister.NewTable()
	table.SetFromRules([]lister.Endpoint{endpoint("a")})
	before := table.Version()
	table.SetFromRules([]lister.Endpoint{endpoint("a")})
	require.Equal(t, before, table.Version())

	marked := table.SetFromProvider([]lister.Listed{{Endpoint: endpoint("a"), Leaving: true}}, now)

	require.Equal(t, []string{"a"}, marked)
	require.Greater(t, table.Version(), before)
	require.Empty(t, table.Service("pumice"))
	require.Len(t, table.All(), 1)
}

func TestTableEvictsMarksOfRemovedEndpoints(t *testing.T) {
	now := time.Unix(0, 0)
	table := lister.NewTable()
	table.MarkLeaving("a", now)
	table.SetFromProvider(nil, now.Add(time.Hour))
	require.Empty(t, table.Marks())
}

// The age of a mark is that of its first sign, whatever the list shows later.
func TestTableKnowsSinceWhenAnEndpointLeaves(t *testing.T) {
	now := time.Unix(0, 0)
	table := lister.NewTable()
	require.Zero(t, table.LeavingSince("a"))
	table.MarkLeaving("a", now)
	table.SetFromProvider([]lister.Listed{{Endpoint: endpoint("a"), Leaving: true}, {Endpoint: endpoint("b"), Leaving: true}}, now.Add(time.Second))
	table.SetFromProvider([]lister.Listed{{Endpoint: endpoint("a")}, {Endpoint: endpoint("b")}}, now.Add(time.Minute))
	require.Equal(t, now, table.LeavingSince("a"))
	require.Equal(t, now.Add(time.Second), table.LeavingSince("b"))
	table.SetFromProvider(nil, now.Add(time.Hour))
	table.SetFromProvider(nil, now.Add(2*time.Hour))
	require.Zero(t, table.LeavingSince("a"), "forgotten with the mark")
}
