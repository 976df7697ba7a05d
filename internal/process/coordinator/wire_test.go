package coordinator_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/coordinator"
)

func TestLoadsOnTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := coordinator.Report{Node: "a", Loads: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) coordinator.Load {
			return coordinator.Load{
				Position: rapid.Uint16().Draw(t, "place"), InFlight: rapid.Uint16().Draw(t, "calls"), Waiting: rapid.Uint16().Draw(t, "waiting"),
				PendingPrefill: rapid.Uint32().Draw(t, "unread"), KVTokens: rapid.Uint32().Draw(t, "held"),
			}
		}), 1, 300).Draw(t, "loads")}
		raw, err := msgpack.Marshal(&sent)
		require.NoError(t, err)
		var got coordinator.Report
		require.NoError(t, msgpack.Unmarshal(raw, &got))
		require.Equal(t, sent, got)
		// A truncated message is an error, not an empty load.
		require.Error(t, msgpack.Unmarshal(raw[:len(raw)-1-rapid.IntRange(0, len(raw)/2).Draw(t, "cut")], &got))
	})
}

func BenchmarkLoadsOnTheWire(b *testing.B) {
	d := coordinator.Directive{}
	for position := range 256 {
		d.Loads = append(d.Loads, coordinator.Load{Position: uint16(position), InFlight: 9, Waiting: 1, PendingPrefill: 4000, KVTokens: 90000})
	}
	b.Run("encode", func(b *testing.B) {
		for range b.N {
			if _, err := msgpack.Marshal(&d); err != nil {
				b.Fatal(err)
			}
		}
	})
	raw, err := msgpack.Marshal(&d)
	require.NoError(b, err)
	b.Logf("%d bytes", len(raw))
	b.Run("decode", func(b *testing.B) {
		for range b.N {
			var got coordinator.Directive
			if err := msgpack.Unmarshal(raw, &got); err != nil {
				b.Fatal(err)
			}
		}
	})
}
