package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/coordinator"
)

// Guards against directives on cold endpoints that a node of an earlier release can't read.
func TestDirectivesOfOtherReleases(t *testing.T) {
	raw, err := msgpack.Marshal(coordinator.Directive{Leads: true, Entries: 3, Warmups: []uint16{4, 4}, WarmupLifetime: time.Second, ListRead: 7})
	require.NoError(t, err)
	var earlier struct {
		Leads   bool `msgpack:"y"`
		Entries int  `msgpack:"m"`
	}
	require.NoError(t, msgpack.Unmarshal(raw, &earlier))
	require.True(t, earlier.Leads)
	require.Equal(t, 3, earlier.Entries)
	raw, err = msgpack.Marshal(earlier)
	require.NoError(t, err)
	var d coordinator.Directive
	require.NoError(t, msgpack.Unmarshal(raw, &d))
	require.Equal(t, coordinator.Directive{Leads: true, Entries: 3}, d)
}

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
