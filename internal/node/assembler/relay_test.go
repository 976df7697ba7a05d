package assembler_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/request/forwarder"
)

// awaitLog waits until a node has logged a text after a position of its log.
func (n *testNode) awaitLog(t *testing.T, from int, text string) {
	t.Helper()
	require.Eventually(t, func() bool { return strings.Contains(n.text()[from:], text) }, waitTimeout, time.Millisecond)
}

// relayOf returns the keeper to which the entry reports as a relay.
func (d *deployment) relayOf(line string) *testNode {
	for _, k := range d.keepers {
		if strings.Contains(line, "."+string(rune('0'+k.number))+":9400") {
			return k
		}
	}
	return nil
}

// An entry that reports to a relay serves callers by the newest rules, within limits and with
// its usage counted. It goes on when its relay fails, and when the leader does.
func TestEntryServesThroughRelays(t *testing.T) {
	d := newDeploymentWith(t, 1)
	r := ruleset(5, "k1")
	r.Customers[0].Rate, r.Customers[0].Burst = 200, 200
	d.put(d.keepers[0], r)
	d.requireEventually("k1", "answer for masons")
	d.entry.awaitLog(t, 0, "is_relay=true")
	require.NotContains(t, d.entry.text(), "allowance unknown")
	d.put(d.keepers[1], ruleset(6, "k2"))
	d.requireEventually("k1", string(forwarder.Unauthorized))
	d.requireEventually("k2", "answer for masons")
	two, _ := newServer(t, "two", 0)
	d.setListed(endpointOf("e2", "", two))
	d.requireEventually("k2", "two")
	require.Eventually(t, func() bool { return d.usageSum() >= 3 }, waitTimeout, time.Millisecond)
	from := len(d.entry.text())
	relay := d.currentRelay()
	require.NotNil(t, relay)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = relay.node.Stop(ctx)
	relay.node = nil
	d.entry.awaitLog(t, from, "reporting")
	d.requireEventually("k2", "two")
	for _, k := range d.keepers {
		if k.node != nil {
			d.put(k, ruleset(7, "k3"))
			break
		}
	}
	d.requireEventually("k2", string(forwarder.Unauthorized))
	d.requireEventually("k3", "two")
}

// currentRelay returns the keeper that the entry named last as the one it reports to.
func (d *deployment) currentRelay() *testNode {
	text := d.entry.text()
	return d.relayOf(text[strings.LastIndex(text, "reporting"):])
}

// While no keeper leads, an entry that reports to a relay stops serving as soon as one that
// reports to the leader.
func TestRelayedEntryWithoutLeaderStopsServing(t *testing.T) {
	d := newDeploymentWith(t, 1)
	d.put(d.keepers[0], ruleset(5, "k1"))
	d.requireEventually("k1", "answer for masons")
	d.entry.awaitLog(t, 0, "is_relay=true")
	d.stopTwoKeepers()
	d.requireEventually("k1", string(forwarder.Unready))
}
