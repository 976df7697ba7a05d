package runner_test

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/operator"
)

const shortAnswers = `
[[call]]
name = "answer"
kind = "model"
path = "/v1/answers"
share = 1.0
prompt = [10, 20]
max = [2, 6]
timeout = "30s"
`

// startMove starts an engine of a new version with a fault, or none if it is empty, and
// applies rules with a move to that version.
func (d *deployment) startMove(fault string, window time.Duration) {
	d.t.Helper()
	address := d.startStandinOnFreePort("engine", "-id", "f", "-service", "pumice", "-version", "13")
	if fault != "" {
		response, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(fault))
		require.NoError(d.t, err)
		response.Body.Close()
		require.Less(d.t, response.StatusCode, 300)
	}
	deadline := time.Now().Add(window).UTC().Format(time.RFC3339)
	d.write("rules.txt", d.rules(
		"endpoint f service=pumice version=13 domain=focsani address="+address+" # desk, Vrancea\n"+
			"move pumice from=12 to=13 by="+deadline+" share=10 # desk, Vrancea"))
	d.requireEventually("move accepted", func() bool { return d.command("rule", "apply", d.path("rules.txt")).code == 0 })
}

// moveFromLeader returns the move that a node reads from the leader.
func (d *deployment) moveFromLeader(node string) operator.Move {
	moves, err := d.client(node).Moves(context.Background())
	if err != nil || len(moves) == 0 {
		return operator.Move{}
	}
	return moves[0]
}

func TestBadVersionIsRolledBackAndHarmsNoCaller(t *testing.T) {
	cases := map[string]struct{ fault, reason string }{
		"fails at once": {`{"version":"13","fail_rate":1}`, "failure on route"},
		"fails in part": {`{"version":"13","fail_rate":0.4}`, "failure on route"},
		"fails later":   {`{"version":"13","fail_rate":1,"fail_after":15}`, "failure on route"},
		"slow":          {`{"version":"13","slow":8}`, "on route"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			d := start(t, 3, 3)
			l := d.load(45*time.Second, 15, shortAnswers)
			d.startMove(tc.fault, 10*time.Minute)
			d.requireEventually("rolled back", func() bool { return d.moveFromLeader("n1").Verdict == "takenback" })
			require.Contains(t, d.moveFromLeader("n2").Reason, tc.reason)
			d.requireEventually("every entry knows the verdict", func() bool {
				for _, name := range d.names {
					if d.localMove(name).Verdict != "takenback" {
						return false
					}
				}
				return true
			})
			l.process.wait()
			summary := l.summary()
			require.NotZero(t, summary.sent)
			require.Equal(t, summary.sent, summary.whole, "failed calls are repeated on the old version: %+v", summary)
		})
	}
}

// The verdict is reached before the deadline although the leader is killed, and a good
// version is not rolled back.
func TestGoodVersionIsDoneThoughTheLeaderIsKilled(t *testing.T) {
	d := start(t, 4, 3)
	l := d.load(85*time.Second, 12, shortAnswers)
	d.startMove("", 100*time.Second)
	d.requireEventually("first step", func() bool { return d.moveFromLeader("n4").Share > 0 })
	killed := d.awaitLeader("n1", "n2", "n3")
	d.kill(killed)
	d.startNode(killed)
	deadline := d.awaitMoveDeadline("n4")
	require.Eventually(t, func() bool {
		verdict := d.moveFromLeader("n4").Verdict
		return verdict != "" && verdict != "moving"
	}, 2*waitTimeout, 100*time.Millisecond, "verdict")
	require.True(t, time.Now().Before(deadline), "the verdict is before the deadline")
	require.Equal(t, "done", d.moveFromLeader("n4").Verdict, d.moveFromLeader("n4").Reason)
	l.process.wait()
	require.NotZero(t, l.summary().whole)
}

func TestOperatorAbortsMove(t *testing.T) {
	d := start(t, 3, 3)
	d.startMove("", 10*time.Minute)
	d.requireEventually("move began", func() bool { return d.moveFromLeader("n2").Verdict == "moving" })
	ran := d.commandAt("n2", "move", "abort", "pumice")
	require.Zero(t, ran.code, ran.err)
	require.Equal(t, "takenback", d.moveFromLeader("n3").Verdict)
	require.Equal(t, "abort", d.moveFromLeader("n3").Reason)
	require.Zero(t, d.moveFromLeader("n3").Share)
}

// localMove returns the move in a node's own view.
func (d *deployment) localMove(node string) operator.Move {
	s, ok := d.dump(node)
	if !ok || len(s.Moves) == 0 {
		return operator.Move{}
	}
	return s.Moves[0]
}

// awaitMoveDeadline waits until a leader answers, and returns the deadline of the move.
func (d *deployment) awaitMoveDeadline(node string) time.Time {
	var deadline time.Time
	d.requireEventually("a leader answers", func() bool {
		deadline = d.moveFromLeader(node).Deadline
		return !deadline.IsZero()
	})
	return deadline
}

// The instances of a reclaimed domain are replaced by as many others, although the leader
// is killed at that time.
func TestLostDomainIsReplacedThoughTheLeaderIsKilled(t *testing.T) {
	d := startWith(t, 3, 3, (*deployment).startPlatform)
	d.write("rules.txt", d.rules("size pumice min=6 max=12 spare=domain # staff, Vrancea"))
	d.requireEventually("size accepted", func() bool { return d.command("rule", "apply", d.path("rules.txt")).code == 0 })
	d.requireEventually("fleet known", func() bool { return d.usableEndpoints("n1", "focsani") == 3 })
	d.reclaim("focsani")
	d.requireEventually("domain leaves", func() bool { return d.usableEndpoints("n1", "focsani") == 0 })
	leader := d.awaitLeader(d.names...)
	d.kill(leader)
	d.startNode(leader)
	d.requireEventually("lost instances replaced", func() bool {
		return d.usableEndpoints("n1", "") == 9 && d.usableEndpoints("n1", "focsani") <= 3 && d.usableEndpoints("n1", "adjud") <= 3
	})
	require.Len(t, d.startedInstances(), 3, "nothing is started twice")
}

// startedInstances returns the ids of the instances that were started according to the
// logs of all nodes.
func (d *deployment) startedInstances() map[string]bool {
	found := make(map[string]bool)
	for _, name := range d.names {
		raw, err := os.ReadFile(d.path(name + ".log"))
		require.NoError(d.t, err)
		for _, line := range strings.Split(string(raw), "\n") {
			if _, id, ok := strings.Cut(line, " instance="); ok && strings.Contains(line, "instance started") {
				found[id] = true
			}
		}
	}
	return found
}

// usableEndpoints returns the number of endpoints of the model service that a node lists
// as not leaving in a domain, or in all domains if it is empty, or -1 without an answer.
func (d *deployment) usableEndpoints(node, domain string) int {
	endpoints, err := d.client(node).Endpoints(context.Background())
	if err != nil {
		return -1
	}
	count := 0
	for _, e := range endpoints {
		if e.Service == "pumice" && !e.Leaving && (domain == "" || e.Domain == domain) {
			count++
		}
	}
	return count
}
