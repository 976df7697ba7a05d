package runner_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// The deployment's key is replaced in three rounds of restarts. In each round every node
// reaches the others again, which it needs to become ready.
func TestKeyIsReplacedInThreeRounds(t *testing.T) {
	d := start(t, 3, 3)
	first := d.keys()
	for _, change := range []func(){d.addKey, d.promoteKey, d.dropLastKey} {
		change()
		for _, name := range d.names {
			d.nodes[name].signal(t, syscall.SIGTERM)
			require.Zero(t, d.nodes[name].wait())
			d.startNode(name)
			d.awaitReady(name)
		}
	}
	require.Len(t, d.keys(), 1)
	require.NotEqual(t, first, d.keys())
}

func (d *deployment) keys() []string {
	raw, err := os.ReadFile(d.path("deployment.key"))
	require.NoError(d.t, err)
	return strings.Fields(string(raw))
}

func (d *deployment) addKey() { d.key("create", "-add") }

func (d *deployment) promoteKey() { d.key("promote") }

func (d *deployment) key(verb string, flags ...string) {
	d.t.Helper()
	args := append([]string{"key", verb}, append(flags, d.path("deployment.key"))...)
	out, err := exec.Command(filepath.Join(programs, "hyssoprudder"), args...).CombinedOutput()
	require.NoError(d.t, err, string(out))
}

func (d *deployment) dropLastKey() {
	keys := d.keys()
	d.write("deployment.key", strings.Join(keys[:len(keys)-1], "\n"))
}
