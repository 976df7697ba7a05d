package runner_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// order sends a booking to a node and returns the status of the answer, 0 without one.
func (d *deployment) order(node int, key string) int {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/orders", d.host, 8101+node), strings.NewReader("bags=7"))
	require.NoError(d.t, err)
	req.Header.Set("Authorization", "Bearer masons-demo")
	req.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// isEvacuated reports whether all nodes know exactly the given domains as evacuated.
func (d *deployment) isEvacuated(domains ...string) bool {
	for _, name := range d.names {
		if s, ok := d.dump(name); !ok || !slices.Equal(s.Evacuated, domains) {
			return false
		}
	}
	return true
}

// Guards against an evacuation that is lost with the processes, or not heeded by entries.
func TestEvacuatedDomainGetsNoCalls(t *testing.T) {
	d := start(t, 4, 3)
	require.Equal(t, http.StatusCreated, d.order(3, "before"))
	require.Equal(t, 1, d.command("domain", "evacuate", "iasi").code, "unknown")
	for _, node := range []string{"n2", "n4"} { // the second time it is evacuated already
		ran := d.commandAt(node, "domain", "evacuate", "adjud")
		require.Zero(t, ran.code, ran.err)
		require.Equal(t, "adjud: evacuated\n", ran.out)
	}
	d.requireEventually("all nodes know", func() bool { return d.isEvacuated("adjud") })
	require.Equal(t, http.StatusServiceUnavailable, d.order(3, "evacuated"))
	for _, name := range d.names {
		d.kill(name)
	}
	for _, name := range d.names {
		d.startNode(name)
	}
	d.requireEventually("all nodes know again", func() bool { return d.isEvacuated("adjud") })
	for _, name := range d.names {
		d.awaitReady(name)
	}
	require.Equal(t, http.StatusServiceUnavailable, d.order(0, "restarted"))
	require.Contains(t, d.command("domain", "list").out, "adjud\tevacuated")
	require.Zero(t, d.command("domain", "return", "adjud").code)
	d.requireEventually("it serves again", func() bool { return d.order(3, "returned") == http.StatusCreated })
}
