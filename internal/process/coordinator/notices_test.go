package coordinator_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/coordinator"
)

func at(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
}

// What an endpoint said to one node reaches the others with the list, whatever the
// provider's list shows, until the endpoint is no longer listed.
func TestOthersHearThatAnEndpointLeaves(t *testing.T) {
	c := coordinator.NewCore(3, start, allowanceLifetime, window)
	listed := []coordinator.Endpoint{{ID: "e0", Address: at(0)}, {ID: "e1", Address: at(1)}}
	c.SetEndpoints(listed, start)
	now := start.Add(time.Minute)
	other := report("b", now)
	d := c.HandleReport(other, now)
	list := apply(t, &d, nil)
	other.ListID, other.Received = d.ListID, d.Received

	said := report("a", now)
	said.Notices = []coordinator.Notice{{ID: "e1", Address: at(1), LeavingSince: 5000}, {ID: "e0", Address: at(9), LeavingSince: 5000}, {ID: "gone", LeavingSince: 5000}}
	c.HandleReport(said, now)
	d = c.HandleReport(other, now)
	require.Len(t, d.Changes, 1)
	list = apply(t, &d, list)
	other.ListID, other.Received = d.ListID, d.Received
	require.Zero(t, list[0].LeavingSince, "said by the one that had this ID at another address")
	require.Equal(t, int64(5000), list[1].LeavingSince)

	c.HandleReport(said, now.Add(time.Second))
	require.False(t, c.SetEndpoints(listed, now.Add(time.Second)), "known already")
	require.Equal(t, 2*time.Second, c.LeavingFor(&listed[1], now.Add(2*time.Second)))
	require.Zero(t, c.LeavingFor(&listed[0], now.Add(2*time.Second)))

	reborn := []coordinator.Endpoint{listed[0], {ID: "e1", Address: at(2)}}
	c.SetEndpoints(reborn, now)
	d = c.HandleReport(other, now)
	list = apply(t, &d, list)
	require.Zero(t, list[1].LeavingSince, "started again")
	c.SetEndpoints(listed, now)
	d = c.HandleReport(other, now)
	require.Zero(t, apply(t, &d, list)[1].LeavingSince, "a node that still knows it reports it")
	c.HandleReport(said, now)
	d = c.HandleReport(other, now)
	require.Equal(t, int64(5000), apply(t, &d, list)[1].LeavingSince)
}

// The notices of a report are bounded, whatever a node sends.
func TestNoticesAreBounded(t *testing.T) {
	c := coordinator.NewCore(3, start, allowanceLifetime, window)
	var listed []coordinator.Endpoint
	r := report("a", start)
	for i := range 100 {
		listed = append(listed, coordinator.Endpoint{ID: fmt.Sprint("e", i), Address: at(byte(i))})
		r.Notices = append(r.Notices, coordinator.Notice{ID: listed[i].ID, Address: listed[i].Address, LeavingSince: 5000, Pause: time.Hour})
	}
	c.SetEndpoints(listed, start)
	c.HandleReport(r, start)
	list, _ := c.Endpoints()
	marked := 0
	for _, e := range list {
		if e.LeavingSince > 0 {
			marked++
		}
	}
	require.Equal(t, coordinator.MaxNotices, marked)
	require.Len(t, c.PausedLonger(time.Second, start), coordinator.MaxNotices)
}

// An endpoint counts as paused if half of the entries were asked for a pause that lasts
// long enough.
func TestPauseThatMostEntriesWereAskedFor(t *testing.T) {
	cases := map[string]struct {
		rests []time.Duration // by entry
		after time.Duration   // age of the reports
		want  bool
	}{
		"all":              {[]time.Duration{9 * time.Second, 9 * time.Second}, 0, true},
		"half":             {[]time.Duration{9 * time.Second, 0}, 0, true},
		"one of three":     {[]time.Duration{9 * time.Second, 0, 0}, 0, false},
		"too short":        {[]time.Duration{3 * time.Second, 3 * time.Second}, 0, false},
		"too short now":    {[]time.Duration{5 * time.Second, 5 * time.Second}, 2 * time.Second, false},
		"entries are gone": {[]time.Duration{time.Hour, time.Hour}, time.Minute, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := coordinator.NewCore(3, start, allowanceLifetime, window)
			c.SetEndpoints([]coordinator.Endpoint{{ID: "e0", Address: at(0)}}, start)
			for i, rest := range tc.rests {
				r := report(fmt.Sprint(i), start)
				r.Notices = []coordinator.Notice{{ID: "e0", Address: at(0), Pause: rest}}
				c.HandleReport(r, start)
			}
			require.Equal(t, tc.want, c.PausedLonger(4*time.Second, start.Add(tc.after))[0])
		})
	}
}

// A start that an endpoint reports after it said that it leaves takes that back at all
// nodes, and reports of the earlier life don't bring it back.
func TestStartTakesTheMarkBack(t *testing.T) {
	c := coordinator.NewCore(3, start, allowanceLifetime, window)
	c.SetEndpoints([]coordinator.Endpoint{{ID: "e0", Address: at(0)}}, start)
	said := func(leavingSince, born int64) coordinator.Endpoint {
		r := report("a", start)
		r.Notices = []coordinator.Notice{{ID: "e0", Address: at(0), LeavingSince: leavingSince, Born: born}}
		c.HandleReport(r, start)
		list, _ := c.Endpoints()
		return list[0]
	}
	require.Equal(t, int64(5000), said(5000, 0).LeavingSince)
	require.Equal(t, int64(5000), said(0, 4000).LeavingSince, "started before")
	e := said(0, 9000)
	require.Zero(t, e.LeavingSince)
	require.Equal(t, int64(9000), e.Born)
	require.Zero(t, said(5000, 0).LeavingSince, "a node that knows the earlier life only")
	require.Equal(t, int64(12000), said(12000, 0).LeavingSince, "leaves again")
	require.True(t, c.SetEndpoints(nil, start))
	require.True(t, c.SetEndpoints([]coordinator.Endpoint{{ID: "e0", Address: at(0)}}, start))
	list, _ := c.Endpoints()
	require.Zero(t, list[0].Born, "forgotten with the endpoint")
}

// fullReport returns a report with as many notices as fit, about listed endpoints.
func fullReport(c *coordinator.Core) *coordinator.Report {
	var listed []coordinator.Endpoint
	r := report("a", start)
	for i := range coordinator.MaxNotices {
		e := coordinator.Endpoint{ID: fmt.Sprintf("i-%016x", i), Address: at(byte(i))}
		listed = append(listed, e)
		r.Notices = append(r.Notices, coordinator.Notice{ID: e.ID, Address: e.Address, LeavingSince: 1765000000000, Born: 1764000000000, Pause: time.Hour})
	}
	c.SetEndpoints(listed, start)
	return r
}

// The notices of a report are small beside the traffic that a node may cause.
func TestNoticesAreSmall(t *testing.T) {
	full := fullReport(coordinator.NewCore(3, start, allowanceLifetime, window))
	with, err := msgpack.Marshal(full)
	require.NoError(t, err)
	full.Notices = nil
	without, err := msgpack.Marshal(full)
	require.NoError(t, err)
	t.Log(len(with)-len(without), "bytes")
	require.Less(t, len(with)-len(without), 1100)
}

// BenchmarkNotices measures the leader's work for a report with as many notices as fit.
func BenchmarkNotices(b *testing.B) {
	for name, count := range map[string]int{"none": 0, "full": coordinator.MaxNotices} {
		b.Run(name, func(b *testing.B) {
			c := coordinator.NewCore(3, start, allowanceLifetime, window)
			r := fullReport(c)
			r.Notices = r.Notices[:count]
			now := start.Add(time.Minute)
			for b.Loop() {
				c.HandleReport(r, now)
			}
		})
	}
}
