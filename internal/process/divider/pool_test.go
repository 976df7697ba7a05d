package divider_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/process/divider"
)

const customer = "masons"

// What a keeper passes on ends with its own allowances: the leader takes them for spent then.
func TestGrantsOfAPoolEndWithItsAllowances(t *testing.T) {
	now := time.Unix(1000, 0)
	p := divider.NewPool(1)
	p.Refill(divider.Grant{Sequence: 1, Allowances: map[string]float64{customer: 100}}, now.Add(2*time.Second))
	r := &divider.Report{Node: "a", Demand: map[string]float64{customer: 10}}
	g, validFor := p.Renew(r, now.Add(500*time.Millisecond))
	require.Positive(t, g.Allowances[customer])
	require.Equal(t, 1500*time.Millisecond, validFor)
	b, _ := p.Renew(&divider.Report{Node: "b"}, now.Add(500*time.Millisecond))
	take := &divider.Request{Node: "b", Sequence: b.Sequence, Customer: customer, Amount: 20, Least: 20}
	granted, validFor := p.Take(take, now.Add(time.Second))
	require.InDelta(t, 20, granted, 1e-9)
	require.Equal(t, time.Second, validFor)
	late := now.Add(2 * time.Second)
	granted, _ = p.Take(take, late)
	require.Zero(t, granted)
	g, _ = p.Renew(r, late)
	require.Empty(t, g.Allowances)
	require.Empty(t, p.Report(late).Unspent)
}

// The group of a keeper that restarts goes on with what it holds, so that counts until it
// expires.
func TestAllowancesOfARestartedKeeperStayOutstanding(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newLeader(1, now)
	now = now.Add(10 * time.Second) // the bucket is full
	sequence := d.Renew(&divider.Report{Node: "r", Incarnation: 1}, now).Sequence
	granted, _ := d.Take(&divider.Request{Node: "r", Incarnation: 1, Sequence: sequence, Customer: customer, Amount: 120, Least: 1}, now)
	require.InDelta(t, 120, granted, 1e-9)
	d.Renew(&divider.Report{Node: "r", Incarnation: 2}, now)
	now = now.Add(4 * time.Second)
	sequence = d.Renew(&divider.Report{Node: "s", Incarnation: 1}, now).Sequence
	all := &divider.Request{Node: "s", Incarnation: 1, Sequence: sequence, Customer: customer, Amount: limit.Burst, Least: 1}
	granted, _ = d.Take(all, now)
	require.InDelta(t, limit.Burst-120, granted, 1e-9)
	d.Renew(&divider.Report{Node: "r", Incarnation: 2}, now.Add(2*time.Second))
	all.Sequence = d.Renew(&divider.Report{Node: "s", Incarnation: 1, Sequence: sequence}, now.Add(4*time.Second)).Sequence
	granted, _ = d.Take(all, now.Add(4*time.Second))
	require.Greater(t, granted, limit.Burst-120)
}

// A node that holds what another leader granted takes nothing before it has reported that. It
// spent both.
func TestNodeTakesNothingBeforeItsReport(t *testing.T) {
	now := time.Unix(1000, 0)
	old := newLeader(1, now)
	sequence := old.Renew(&divider.Report{Node: "a"}, now).Sequence
	held, _ := old.Take(&divider.Request{Node: "a", Sequence: sequence, Customer: customer, Amount: 30, Least: 30}, now)
	require.InDelta(t, 30, held, 1e-9)
	next := newLeader(2, now)
	now = now.Add(3 * time.Second) // the bucket is full
	request := &divider.Request{Node: "a", Sequence: sequence, Customer: customer, Amount: limit.Burst, Least: 1}
	granted, wait := next.Take(request, now)
	require.Zero(t, granted)
	require.Zero(t, wait)
	request.Sequence = next.Renew(&divider.Report{Node: "a", Sequence: sequence, Unspent: map[string]float64{customer: held}}, now).Sequence
	granted, _ = next.Take(request, now)
	require.InDelta(t, limit.Burst, granted, 1e-9)
}
