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

// move starts an engine of a new version with a fault and asks for a move to it.
func (d *deployment) move(fault string, window time.Duration) {
	d.t.Helper()
	address := d.standin("engine", "-id", "f", "-service", "pumice", "-version", "13")
	if fault != "" {
		response, err := http.Post("http://"+address+"/faults", "application/json", strings.NewReader(fault))
		require.NoError(d.t, err)
		response.Body.Close()
		require.Less(d.t, response.StatusCode, 300)
	}
	by := time.Now().Add(window).UTC().Format(time.RFC3339)
	d.write("rules.txt", d.rules(
		"endpoint f service=pumice version=13 domain=focsani address="+address+" # desk, Vrancea\n"+
			"move pumice from=12 to=13 by="+by+" share=10 # desk, Vrancea"))
	d.eventually("move accepted", func() bool { return d.command("rule", "apply", d.path("rules.txt")).code == 0 })
}

// moved returns the move as a node reads it from the leader.
func (d *deployment) moved(node string) operator.Move {
	moves, err := d.client(node).Moves(context.Background())
	if err != nil || len(moves) == 0 {
		return operator.Move{}
	}
	return moves[0]
}

func TestBadVersionIsTakenBackAndHarmsNoCaller(t *testing.T) {
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
			d.move(tc.fault, 10*time.Minute)
			d.eventually("taken back", func() bool { return d.moved("n1").Verdict == "takenback" })
			require.Contains(t, d.moved("n2").Reason, tc.reason)
			d.eventually("every entry knows", func() bool {
				for _, name := range d.names {
					if d.seen(name).Verdict != "takenback" {
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

// The verdict comes before the deadline although the leader is killed, and a
// good version is not accused.
func TestGoodVersionIsDoneThoughTheLeaderIsKilled(t *testing.T) {
	d := start(t, 4, 3)
	l := d.load(85*time.Second, 12, shortAnswers)
	d.move("", 100*time.Second)
	d.eventually("first step", func() bool { return d.moved("n4").Share > 0 })
	killed := d.leader("n1", "n2", "n3")
	d.kill(killed)
	d.run(killed)
	by := d.awaitMove("n4")
	require.Eventually(t, func() bool {
		verdict := d.moved("n4").Verdict
		return verdict != "" && verdict != "moving"
	}, 2*patience, 100*time.Millisecond, "verdict")
	require.True(t, time.Now().Before(by), "the verdict is before the deadline")
	require.Equal(t, "done", d.moved("n4").Verdict, d.moved("n4").Reason)
	l.process.wait()
	require.NotZero(t, l.summary().whole)
}

func TestOperatorAbortsMove(t *testing.T) {
	d := start(t, 3, 3)
	d.move("", 10*time.Minute)
	d.eventually("move began", func() bool { return d.moved("n2").Verdict == "moving" })
	ran := d.commandAt("n2", "move", "abort", "pumice")
	require.Zero(t, ran.code, ran.err)
	require.Equal(t, "takenback", d.moved("n3").Verdict)
	require.Equal(t, "abort", d.moved("n3").Reason)
	require.Zero(t, d.moved("n3").Share)
}

// seen returns the move as a node itself knows it.
func (d *deployment) seen(node string) operator.Move {
	s, ok := d.dump(node)
	if !ok || len(s.Moves) == 0 {
		return operator.Move{}
	}
	return s.Moves[0]
}

// awaitMove returns the deadline once a leader answers.
func (d *deployment) awaitMove(node string) time.Time {
	var by time.Time
	d.eventually("a leader answers", func() bool {
		by = d.moved(node).Deadline
		return !by.IsZero()
	})
	return by
}

// A reclaimed domain is replaced although the leader is killed at the time, by
// as many instances as are missing.
func TestLostDomainIsReplacedThoughTheLeaderIsKilled(t *testing.T) {
	d := startWith(t, 3, 3, (*deployment).fleet)
	d.write("rules.txt", d.rules("size pumice min=6 max=12 spare=domain # staff, Vrancea"))
	d.eventually("size accepted", func() bool { return d.command("rule", "apply", d.path("rules.txt")).code == 0 })
	d.eventually("fleet known", func() bool { return d.serving("n1", "focsani") == 3 })
	d.reclaim("focsani")
	d.eventually("domain leaves", func() bool { return d.serving("n1", "focsani") == 0 })
	leader := d.leader(d.names...)
	d.kill(leader)
	d.run(leader)
	d.eventually("whole again", func() bool {
		return d.serving("n1", "") == 9 && d.serving("n1", "focsani") <= 3 && d.serving("n1", "adjud") <= 3
	})
	require.Len(t, d.started(), 3, "nothing is started twice")
}

// started returns the instances that the logs of all nodes say were started.
func (d *deployment) started() map[string]bool {
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

// serving returns how many endpoints of the model service a node uses in a
// domain, or in all.
func (d *deployment) serving(node, domain string) int {
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
