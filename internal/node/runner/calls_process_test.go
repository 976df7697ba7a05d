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

// Each node in turn is stopped as planned under load. Every call gets its whole answer at
// its first attempt.
func TestPlannedStopAbortsNoRequest(t *testing.T) {
	d := start(t, 4, 3)
	l := d.load(12*time.Second, 20, plainBookings+streamCalls)
	for _, name := range d.names {
		d.nodes[name].signal(t, syscall.SIGTERM)
		require.Zero(t, d.nodes[name].wait(), "exit code of %s", name)
		d.startNode(name)
		d.awaitReady(name)
	}
	audit := l.audit()
	require.Zero(t, audit.code, audit.out)
	summary := l.summary()
	require.NotZero(t, summary.sent)
	require.Equal(t, summary.sent, summary.whole, "every request is answered whole: %+v", summary)
	require.Empty(t, l.retried(), "no request needs a second attempt")
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

// Nodes are killed and frozen in turn while bookings are sent, some of them twice at the
// same time. The service's record shows that no booking ran twice, none is lost, and none
// that was answered with the outcome "notrun" ran.
func TestBookingsRunOnceUnderKills(t *testing.T) {
	d := start(t, 4, 3)
	l := d.load(15*time.Second, 20, bookingCalls)
	for _, name := range []string{"n4", "n1", "n2", "n3"} {
		d.kill(name)
		d.startNode(name)
		d.awaitReady(name)
	}
	frozen := d.awaitLeader("n1", "n2", "n3")
	d.nodes[frozen].signal(t, syscall.SIGSTOP)
	others := make([]string, 0, 2)
	for _, name := range []string{"n1", "n2", "n3"} {
		if name != frozen {
			others = append(others, name)
		}
	}
	d.awaitLeader(others...)
	d.nodes[frozen].signal(t, syscall.SIGCONT)
	d.awaitReady(frozen)
	audit := l.audit()
	require.Zero(t, audit.code, audit.out)
	require.Contains(t, audit.out, "stray=0", "only callers' calls reach a plain service")
	require.NotZero(t, l.summary().whole)
}
