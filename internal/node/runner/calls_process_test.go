package runner_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const streamCalls = `
[[call]]
name = "answer"
kind = "model"
path = "/v1/answers"
share = 1.0
prompt = [20, 60]
max = [8, 40]
timeout = "30s"
`

// Each node is stopped as planned in turn under load; no caller notices.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	d := start(t, 4, 3)
	l := d.load(12*time.Second, 20, plainBookings+streamCalls)
	for _, name := range d.names {
		d.nodes[name].signal(t, syscall.SIGTERM)
		require.Zero(t, d.nodes[name].wait(), "exit code of %s", name)
		d.run(name)
		d.ready(name)
	}
	audit := l.audit()
	require.Zero(t, audit.code, audit.out)
	summary := l.summary()
	require.NotZero(t, summary.sent)
	require.Equal(t, summary.sent, summary.whole, "every request is answered whole: %+v", summary)
	require.Empty(t, l.repeated(), "no request needs a second attempt")
}

const plainBookings = `
[[call]]
name = "order"
kind = "plain"
path = "/orders"
share = 1.0
timeout = "10s"
once = true
`

// Nodes are killed and frozen in turn under bookings, some of which are sent
// twice at once. The service's record shows none doubled, none lost, and no
// "notrun" that ran.
func TestBookingsRunOnceUnderKills(t *testing.T) {
	d := start(t, 4, 3)
	l := d.load(15*time.Second, 20, bookingCalls)
	for _, name := range []string{"n4", "n1", "n2", "n3"} {
		d.kill(name)
		d.run(name)
		d.ready(name)
	}
	frozen := d.leader("n1", "n2", "n3")
	d.nodes[frozen].signal(t, syscall.SIGSTOP)
	others := make([]string, 0, 2)
	for _, name := range []string{"n1", "n2", "n3"} {
		if name != frozen {
			others = append(others, name)
		}
	}
	d.leader(others...)
	d.nodes[frozen].signal(t, syscall.SIGCONT)
	d.ready(frozen)
	audit := l.audit()
	require.Zero(t, audit.code, audit.out)
	require.Contains(t, audit.out, "stray=0", "nothing but callers' calls reaches a plain service")
	require.NotZero(t, l.summary().whole)
}
