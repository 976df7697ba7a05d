package submitter_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/process/registrar"
)

// lastOrder returns the count of the last order for a domain, -1 if there was none.
func (l *leader) lastOrder(domain string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := -1
	for _, o := range l.orders {
		if o.Domain == domain {
			count = o.Count
		}
	}
	return count
}

// Guards against an evacuated domain whose instances still count as serving: nothing would be ordered elsewhere. Instances
// with calls are not stopped.
func TestEvacuatedDomainIsReplaced(t *testing.T) {
	table := registrar.NewTable(&registrar.Ruleset{Number: 1, Services: []registrar.Service{{Name: "desk", Capacity: &registrar.Capacity{
		Max: 4, StartupTime: time.Second, Prices: map[string]float64{"one": 1, "two": 1},
	}}}})
	l := newLeader(t, 0, table, 300*time.Millisecond)
	report := func(inFlight uint16) {
		require.Eventually(t, func() bool {
			isDone := false
			l.core.Do(func(core *coordinator.Core, _ keeper.Lease, now time.Time) {
				if list, ok := core.Endpoints(); ok {
					r := &coordinator.Report{Node: "n", Incarnation: 1, Entry: true, ListID: coordinator.ListID{Term: core.Term(), Number: 1}, Received: len(list)}
					r.Loads = []coordinator.Load{{Position: 0, InFlight: inFlight}}
					core.HandleReport(r, now)
					isDone = true
				}
			})
			return isDone
		}, waitTimeout, time.Millisecond)
	}
	report(3)
	_, err := l.keeper.Propose(context.Background(), applier.Command{EvacuationSet: &applier.EvacuationSet{Domain: "one", Evacuated: true}})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		report(3) // a node that is silent counts as gone
		return l.lastOrder("two") >= 1
	}, waitTimeout, 10*time.Millisecond)
	require.Equal(t, -1, l.lastOrder("one"), "calls run there")
	require.Eventually(t, func() bool {
		report(0)
		return l.lastOrder("one") == 0
	}, waitTimeout, 10*time.Millisecond)
}
