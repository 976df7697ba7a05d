package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/coordinator"
)

// Guards against loads by priority that are lost on the way through the leader, that confuse a
// node of an earlier release, or that count the unknown as less urgent.
func TestLoadsByPriorityPassTheLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	c := coordinator.NewCore(1, now, time.Second, time.Second)
	c.SetEndpoints([]coordinator.Endpoint{{ID: "e", Service: "desk"}}, now)
	list := c.HandleReport(&coordinator.Report{Node: "a", Entry: true}, now).ListID
	report := func(node string, fields int, loads ...coordinator.Load) []coordinator.Load {
		d := c.HandleReport(&coordinator.Report{Node: node, Entry: true, ListID: list, Received: 1, LoadFields: fields, Loads: loads}, now)
		require.Equal(t, 9, d.LoadFields)
		return d.Loads
	}
	report("a", 9, coordinator.Load{InFlight: 2, PendingPrefill: 900, PendingFirst: 400, PendingSecond: 300})
	report("b", 9, coordinator.Load{InFlight: 1, PendingPrefill: 100, PendingSecond: 100})
	report("former", 0, coordinator.Load{InFlight: 1, PendingPrefill: 50})
	require.Equal(t, []coordinator.Load{{InFlight: 4, PendingPrefill: 1050, PendingFirst: 450, PendingSecond: 400}}, report("c", 9))
	require.Equal(t, []coordinator.Load{{InFlight: 3, PendingPrefill: 1000}}, report("former", 0, coordinator.Load{InFlight: 1, PendingPrefill: 50}))
	report("a", 9)
	report("former", 0)
	require.Equal(t, []coordinator.Load{{InFlight: 1, PendingPrefill: 100, PendingSecond: 100}}, report("c", 9), "what has ended stays in the sums")
}

// Guards against sums of refused work that keep what a gone node reported, that count a node
// twice, or that a relay doesn't pass on.
func TestRationingIsSummedOverNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	c := coordinator.NewCore(1, now, time.Second, time.Second)
	send := func(node string, at time.Time, work ...uint32) []uint32 {
		r := &coordinator.Report{Node: node, Entry: true}
		if len(work) > 0 {
			r.Rationing = coordinator.Rationing{"desk": work}
		}
		return c.HandleReport(r, at).Rationing["desk"]
	}
	require.Equal(t, []uint32{9, 1, 8}, send("a", now, 9, 1, 8))
	require.Equal(t, []uint32{12, 2, 10}, send("b", now, 3, 1, 2))
	require.Equal(t, []uint32{13, 3, 10}, send("b", now, 4, 2, 2))
	relay := coordinator.NewGroupCore(coordinator.GroupConfig{Node: "k", Incarnation: 1, Window: time.Second})
	beat := func(at time.Time) {
		d := c.HandleReport(relay.Report(at), at)
		require.NoError(t, relay.Apply(&d, at, at))
	}
	beat(now)
	member := &coordinator.Report{Node: "m", Incarnation: 1, Entry: true, IsRedirected: true, Rationing: coordinator.Rationing{"desk": {5, 5, 0}}}
	for range 2 {
		d, ok := relay.HandleReport(member, now)
		require.True(t, ok)
		require.Equal(t, []uint32{18, 8, 10}, d.Rationing["desk"])
		beat(now)
	}
	require.Equal(t, []uint32{9, 7, 2}, send("a", now), "of b and of the relay's group")
	require.Nil(t, send("a", now.Add(4*time.Second)), "b and the relay are gone")
}

// Guards against endpoints that stay in use although a new leader has read a list without any.
func TestEmptyListOfANewLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	relay := coordinator.NewGroupCore(coordinator.GroupConfig{Node: "k", Incarnation: 1, Window: time.Second})
	beat := func(c *coordinator.Core) {
		d := c.HandleReport(relay.Report(now), now)
		require.NoError(t, relay.Apply(&d, now, now))
	}
	former := coordinator.NewCore(1, now, time.Second, time.Second)
	former.SetEndpoints([]coordinator.Endpoint{{ID: "e", Service: "desk"}}, now)
	beat(former)
	next := coordinator.NewCore(2, now, time.Second, time.Second)
	beat(next)
	member := &coordinator.Report{Node: "m", Incarnation: 1, Entry: true, IsRedirected: true}
	d, ok := relay.HandleReport(member, now)
	require.True(t, ok)
	require.Equal(t, 1, d.Length, "until the new leader has read the list")
	next.SetEndpoints(nil, now)
	beat(next)
	d, ok = relay.HandleReport(member, now)
	require.True(t, ok)
	require.True(t, d.HasList())
	require.Zero(t, d.Length)
}
