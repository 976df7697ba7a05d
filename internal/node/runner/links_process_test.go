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

// cut drops all messages between a node and the others; with no others it
// mends the node's links.
func (d *deployment) cut(name string, inbound, outbound bool, others ...string) {
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

func (d *deployment) without(name string) []string {
	var others []string
	for _, other := range d.names {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

// The leader loses all others silently, in both directions or in one, while
// bookings go on. It reports itself not ready, the others go on and accept a
// change, and once the cut is mended it runs that change before it is ready.
func TestSilentCutOfTheLeader(t *testing.T) {
	cases := map[string]struct{ inbound, outbound bool }{
		"both directions": {true, true},
		"inbound only":    {true, false},
		"outbound only":   {false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := start(t, 4, 3)
			l := d.load(20*time.Second, 10, bookingCalls)
			leader := d.leader("n1", "n2", "n3")
			others := d.without(leader)
			d.cut(leader, tc.inbound, tc.outbound, others...)
			d.eventually("the cut leader is not ready", func() bool {
				s, ok := d.dump(leader)
				return ok && s.Ready != "ready"
			})
			d.write("next.txt", d.changed("next"))
			d.eventually("a change by the others", func() bool {
				return d.commandAt(others[0], "rule", "apply", "-id", "c2", "-base", "1", d.path("next.txt")).code == 0
			})
			cut, ok := d.dump(leader)
			require.True(t, ok)
			require.False(t, cut.Ready == "ready" && cut.Revision < 2, "ready under old rules")
			d.cut(leader, false, false)
			d.eventually("the mended node runs the change", func() bool {
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
