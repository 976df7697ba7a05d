package assembler_test

import (
	"context"
	"strings"
	"sync"
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

// lastLine returns the last line of a node's log with a text.
func (n *testNode) lastLine(text string) string {
	all := n.text()
	line, _, _ := strings.Cut(all[max(strings.LastIndex(all, text), 0):], "\n")
	return line
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

// A keeper, which is a seed, is gone for good, and one with an empty disk comes at another
// address. Callers are served all the while, and what was accepted stays in force when another
// of the first keepers is lost. The keeper that was gone changes nothing when it comes back.
func TestReplacedKeeperAtAnotherAddress(t *testing.T) {
	d := newDeploymentWith(t, 1)
	d.put(d.keepers[0], ruleset(5, "k1"))
	d.requireEventually("k1", "answer for masons")
	d.entry.awaitLog(t, 0, "is_relay=true")
	var group sync.WaitGroup
	c := &steadyCaller{d: d, group: &group, stop: make(chan struct{}), want: "answer for masons", others: make(map[string]int)}
	group.Add(1)
	go c.run()
	d.stopKeeper(0)
	d.keepers = append(d.keepers, d.start(4, "keeper", false))
	d.put(d.keepers[3], ruleset(6, "k1", "k2"))
	d.requireEventually("k2", "answer for masons")
	// The lost keeper leaves the log, so that two of the three others suffice.
	lost := d.host + ".1"
	require.Eventually(t, func() bool {
		_, voters, _ := strings.Cut(d.keepers[3].lastLine("members of the log changed"), "voters=")
		return strings.Contains(voters, d.host+".4") && !strings.Contains(voters, lost)
	}, waitTimeout, 10*time.Millisecond)
	d.stopKeeper(1)
	d.put(d.keepers[3], ruleset(7, "k1", "k3"))
	d.requireEventually("k3", "answer for masons")
	require.Equal(t, string(forwarder.Unauthorized), d.call("k2"))
	d.keepers[0] = d.start(1, "keeper", false)
	d.requireEventually("k3", "answer for masons")
	document, err := d.keepers[2].operators.Document(context.Background())
	require.NoError(t, err)
	require.Equal(t, "document 7", string(document))
	close(c.stop)
	group.Wait()
	require.Positive(t, c.served)
	require.Empty(t, c.others)
}

// stopKeeper ends a keeper without handing anything over.
func (d *deployment) stopKeeper(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.keepers[i].node.Stop(ctx)
	d.keepers[i].node = nil
}
