package applier_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"hyssoprudder/internal/process/applier"
)

// order is an operator's order that was prepared for a state of the log, and may be executed later, more than once,
// or never.
type order struct {
	set        applier.EvacuationSet
	isExecuted bool
}

func stateOf(a *applier.Applier, domain string) applier.Evacuation {
	for _, e := range a.Evacuations() {
		if e.Domain == domain {
			return e
		}
	}
	return applier.Evacuation{Domain: domain}
}

// Guards against orders of several operators that undo each other: a delayed or repeated copy of an order must not
// change what was ordered after it, also after a restart from a snapshot and at another replica.
func TestEvacuationOrdersRace(t *testing.T) {
	domains := []string{"one", "two", "three"}
	rapid.Check(t, func(t *rapid.T) {
		a, replica := applier.New(), applier.New()
		var orders []order
		index, at := uint64(0), int64(0)
		for range 80 {
			at += rapid.Int64Range(-5, 20).Draw(t, "time") // the clocks of leaders differ
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				domain := rapid.SampledFrom(domains).Draw(t, "domain")
				current := stateOf(a, domain)
				set := applier.EvacuationSet{Domain: domain, Evacuated: rapid.Bool().Draw(t, "evacuated"), Base: current.Number}
				orders = append(orders, order{set: set})
			case 1, 2:
				if len(orders) == 0 {
					continue
				}
				o := &orders[rapid.IntRange(0, len(orders)-1).Draw(t, "order")]
				before := stateOf(a, o.set.Domain)
				index++
				command := applier.Command{At: at, EvacuationSet: &o.set}
				result := a.Apply(index, 1, command)
				replica.Apply(index, 1, command)
				after := stateOf(a, o.set.Domain)
				require.Equal(t, &after, result.Evacuation)
				if before.Number == o.set.Base {
					require.Equal(t, o.set.Evacuated, after.Evacuated)
				} else {
					require.Equal(t, before, after, "an order that was overtaken changes nothing")
				}
				if after != before {
					require.False(t, o.isExecuted, "an order is executed once")
					o.isExecuted = true
					require.GreaterOrEqual(t, after.At, before.At)
				}
			default:
				a = restore(t, a)
			}
		}
		want, err := replica.Capture().Encode()
		require.NoError(t, err)
		got, err := a.Capture().Encode()
		require.NoError(t, err)
		require.Equal(t, want, got, "replicas agree")
	})
}

// A snapshot of the former release has no evacuations. Without any, a snapshot is one of the former release.
func TestSnapshotOfTheFormerRelease(t *testing.T) {
	a := applier.New()
	a.Apply(1, 1, applier.Command{At: 5, RulesetPut: &applier.RulesetPut{Number: 7, Body: []byte("rules")}})
	former, err := a.Capture().Encode()
	require.NoError(t, err)
	var fields map[string]any
	require.NoError(t, msgpack.Unmarshal(former, &fields))
	require.NotContains(t, fields, "evacuations")

	a.Apply(2, 1, applier.Command{At: 6, EvacuationSet: &applier.EvacuationSet{Domain: "one", Evacuated: true}})
	require.Equal(t, []applier.Evacuation{{Domain: "one", Evacuated: true, Number: 1, At: 6}}, a.Evacuations())
	require.NoError(t, a.Restore(former))
	require.Empty(t, a.Evacuations())
	require.Equal(t, uint64(7), a.Ruleset().Number)
	a.Apply(2, 1, applier.Command{At: 9, EvacuationSet: &applier.EvacuationSet{Domain: "two", Evacuated: true}})
	require.True(t, stateOf(a, "two").Evacuated)
}
