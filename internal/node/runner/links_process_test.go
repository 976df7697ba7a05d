package runner_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/operator"
)

// partition drops all messages between a node and the others. Without others it restores
// the node's links.
func (d *deployment) partition(name string, inbound, outbound bool, others ...string) {
	d.t.Helper()
	c := operator.Partition{Peers: []netip.AddrPort{}, Inbound: inbound, Outbound: outbound}
	for _, other := range others {
		var i int
		_, err := fmt.Sscanf(other, "n%d", &i)
		require.NoError(d.t, err)
		c.Peers = append(c.Peers, netip.MustParseAddrPort(fmt.Sprintf("%s:%d", d.host, 7100+i)))
	}
	require.NoError(d.t, d.client(name).Partition(context.Background(), c))
}

func (d *deployment) allExcept(name string) []string {
	var others []string
	for _, other := range d.names {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

// The leader is partitioned from all other nodes, in both directions or in one, while
// bookings are sent. The leader reports that it is not ready, the others elect a new leader
// and accept a change, and after the partition the old leader applies that change before it
// is ready again.
func TestSilentPartitionOfTheLeader(t *testing.T) {
	cases := map[string]struct{ inbound, outbound bool }{
		"both directions": {true, true},
		"inbound only":    {true, false},
		"outbound only":   {false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := start(t, 4, 3)
			l := d.load(20*time.Second, 10, bookingCalls)
			leader := d.awaitLeader("n1", "n2", "n3")
			others := d.allExcept(leader)
			d.partition(leader, tc.inbound, tc.outbound, others...)
			d.requireEventually("the partitioned leader is not ready", func() bool {
				s, ok := d.dump(leader)
				return ok && s.Ready != "ready"
			})
			d.write("next.txt", d.changedRules("next"))
			d.requireEventually("a change by the others", func() bool {
				return d.commandAt(others[0], "rule", "apply", "-id", "c2", "-base", "1", d.path("next.txt")).code == 0
			})
			partitioned, ok := d.dump(leader)
			require.True(t, ok)
			require.False(t, partitioned.Ready == "ready" && partitioned.Revision < 2, "ready under old rules")
			d.partition(leader, false, false)
			d.requireEventually("the node applies the change after the partition", func() bool {
				s, ok := d.dump(leader)
				if ok && s.Ready == "ready" {
					require.GreaterOrEqual(t, s.Revision, uint64(2), "ready under old rules")
					return true
				}
				return false
			})
			audit := l.audit()
			require.Zero(t, audit.code, audit.out)
			require.NotZero(t, l.summary().whole)
		})
	}
}
