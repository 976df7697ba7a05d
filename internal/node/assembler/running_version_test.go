package assembler_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/version/mover"
)

// An order that named the version that runs took all calls from its instances for good.
func TestMoveToTheRunningVersionKeepsItsCalls(t *testing.T) {
	cases := map[string]struct {
		isStarted bool // new instances are started beside the old ones
		phase     mover.Phase
	}{
		"new instances": {true, mover.Done},
		"none":          {false, mover.RolledBack},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			older, _ := newServer(t, "answer", 0)
			newer, _ := newServer(t, "answer", 0)
			d.setListed(endpointOf("e1", "v1", older))
			d.put(d.keepers[0], ruleset(5, "k1"))
			d.requireEventually("k1", "answer")
			d.order("v1", 5*time.Second)
			isListed := false
			require.Eventually(t, func() bool {
				require.Equal(t, "answer", d.call("k1"))
				phase := d.phase()
				if tc.isStarted && !isListed && d.isPlanned() {
					isListed = true
					d.setListed(endpointOf("e1", "v1", older), endpointOf("e2", "v1", newer))
				}
				return phase == tc.phase
			}, waitTimeout, 8*time.Millisecond)
			for range 200 {
				require.Equal(t, "answer", d.call("k1"))
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

// isPlanned reports whether the leader has planned a move.
func (d *deployment) isPlanned() bool {
	for _, k := range d.keepers {
		if strings.Contains(k.text(), "move advanced") {
			return true
		}
	}
	return false
}
