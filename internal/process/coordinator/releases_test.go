package coordinator_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/coordinator"
)

// Guards against loads that a node of another release can't read: an earlier release sends and
// expects five fields, and a later one may send more than are known here.
func TestLoadsOfOtherReleases(t *testing.T) {
	full := coordinator.Load{Position: 3, InFlight: 2, Waiting: 1, PendingPrefill: 900, KVTokens: 70, PrefillTokens: 4000, PrefillTime: 90, PendingFirst: 400, PendingSecond: 300}
	tests := map[string]struct {
		wire any
		want coordinator.Load
	}{
		"earlier": {wire: []uint32{3, 2, 1, 900, 70}, want: coordinator.Load{Position: 3, InFlight: 2, Waiting: 1, PendingPrefill: 900, KVTokens: 70}},
		"same":    {wire: full, want: full},
		"later":   {wire: []uint32{3, 2, 1, 900, 70, 4000, 90, 400, 300, 11, 12}, want: full},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			raw, err := msgpack.Marshal(test.wire)
			require.NoError(t, err)
			var got coordinator.Load
			require.NoError(t, msgpack.Unmarshal(raw, &got))
			require.Equal(t, test.want, got)
		})
	}
	raw, err := msgpack.Marshal(coordinator.Load{Position: 3, InFlight: 2})
	require.NoError(t, err)
	var fields []uint32
	require.NoError(t, msgpack.Unmarshal(raw, &fields))
	require.Len(t, fields, 5, "what an earlier release expects")
	require.Error(t, msgpack.Unmarshal([]byte{0x92, 1, 2}, new(coordinator.Load)))
}

// Guards against fields of a load that an earlier release refuses to read, and against
// measurements that get lost between nodes of this release.
func TestMeasurementsAreSentToNodesThatReadThem(t *testing.T) {
	c := coordinator.NewCore(1, start, time.Second, time.Minute)
	c.SetEndpoints([]coordinator.Endpoint{{ID: "e0", Service: "s"}, {ID: "e1", Service: "s"}}, start)
	report := func(node string, fields int, loads ...coordinator.Load) []coordinator.Load {
		return c.HandleReport(&coordinator.Report{Node: node, Entry: true, LoadFields: fields, ListID: coordinator.ListID{Term: 1, Number: 1}, Loads: loads}, start).Loads
	}
	report("a", coordinator.LoadFields, coordinator.Load{Position: 0, InFlight: 1, PrefillTokens: 4000, PrefillTime: 100}, coordinator.Load{Position: 1, PrefillTokens: 900, PrefillTime: 40})
	require.Equal(t, []coordinator.Load{{Position: 0, InFlight: 1, PrefillTokens: 4000, PrefillTime: 100}, {Position: 1, PrefillTokens: 900, PrefillTime: 40}},
		report("b", coordinator.LoadFields, coordinator.Load{Position: 1, PrefillTokens: 100, PrefillTime: 60}))
	require.Equal(t, []coordinator.Load{{Position: 0, InFlight: 1}}, report("earlier", 0), "as an earlier release expects")
	require.Equal(t, []coordinator.Load{{Position: 0, InFlight: 1, PrefillTokens: 4000, PrefillTime: 100}, {Position: 1, PrefillTokens: 1000, PrefillTime: 100}},
		report("d", coordinator.LoadFields), "sums over the nodes")
	report("a", coordinator.LoadFields)
	require.Equal(t, []coordinator.Load{{Position: 1, PrefillTokens: 100, PrefillTime: 60}}, report("d", coordinator.LoadFields), "reports replace each other")
}

// Guards against a report that the next node can't read after a change of the leader or of its release.
func TestReaders(t *testing.T) {
	var r coordinator.Readers
	one, two := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	require.Equal(t, 5, r.Fields(one))
	r.Record(one, 9)
	require.Equal(t, 9, r.Fields(one))
	require.Equal(t, 5, r.Fields(two), "another node has not stated anything")
	r.Forget(two)
	require.Equal(t, 9, r.Fields(one))
	r.Forget(one)
	require.Equal(t, 5, r.Fields(one), "a node that did not answer may run another release now")
	r.Record(one, 0)
	require.Equal(t, 5, r.Fields(one))
}
