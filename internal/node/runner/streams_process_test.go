package runner_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const longStreams = `
[[call]]
name = "draft"
kind = "model"
path = "/v1/answers"
share = 1.0
prompt = [40, 200]
max = [40, 120]
timeout = "60s"
drop = 0.1
`

// startEngines starts n engines, each in its own process, and adds them to the rules.
func (d *deployment) startEngines(n int) []*process {
	d.t.Helper()
	processes := make([]*process, 0, n)
	for i := range n {
		address := d.startStandinOnFreePort("engine", "-id", fmt.Sprintf("e%d", i), "-service", "pumice", "-version", "12")
		d.endpointRules = append(d.endpointRules, fmt.Sprintf("endpoint e%d service=pumice version=12 domain=adjud address=%s # desk, Vrancea", i, address))
		processes = append(processes, d.standins[len(d.standins)-1])
	}
	return processes
}

// Engines are killed and frozen in the middle of streams. Each caller gets its whole
// answer, each token once and in order.
func TestStreamsSurviveLostAndFrozenEngines(t *testing.T) {
	var engines []*process
	d := startWith(t, 3, 3, func(d *deployment) { engines = d.startEngines(4) })
	l := d.load(12*time.Second, 6, longStreams)
	d.awaitFurtherCalls()
	engines[0].signal(t, syscall.SIGKILL)
	d.awaitFurtherCalls()
	engines[1].signal(t, syscall.SIGSTOP)
	l.process.wait()
	l.requireWhole()
}

// An entry is killed in the middle of streams. Callers reconnect to another entry with the
// id of the last event that they received.
func TestStreamsSurviveAKilledEntry(t *testing.T) {
	d := startWith(t, 4, 3, func(d *deployment) { d.startEngines(3) })
	l := d.load(10*time.Second, 6, longStreams)
	d.awaitFurtherCalls()
	d.kill("n4")
	l.process.wait()
	l.requireWhole()
}

// awaitFurtherCalls waits until the log of every live node has grown by 500 bytes, that is,
// until each has served further calls.
func (d *deployment) awaitFurtherCalls() {
	d.t.Helper()
	marks := make(map[string]int64)
	for _, name := range d.names {
		marks[name] = d.logSize(name)
	}
	d.requireEventually("further calls", func() bool {
		for _, name := range d.names {
			if d.nodes[name].command != nil && d.logSize(name) < marks[name]+500 {
				return false
			}
		}
		return true
	})
}

// logSize returns the size of a node's log.
func (d *deployment) logSize(name string) int64 {
	info, err := os.Stat(d.path(name + ".log"))
	require.NoError(d.t, err)
	return info.Size()
}

// A failure domain is reclaimed with notice while answers are streamed, and a second one
// while the first still drains. No answer is lost, and every entry marks the endpoints as
// leaving.
func TestReclaimedDomainsLoseNoAnswer(t *testing.T) {
	d := startWith(t, 3, 3, (*deployment).startPlatform)
	d.requireEventually("endpoints known", func() bool {
		return strings.Count(d.command("endpoint", "list").out, "\tpumice\t") == 9
	})
	l := d.load(20*time.Second, 8, longStreams)
	d.awaitFurtherCalls()
	d.reclaim("focsani")
	d.awaitLeaving("focsani")
	d.reclaim("adjud")
	d.awaitLeaving("adjud")
	l.process.wait()
	l.requireWhole()
}

// The leader is killed while a reclaimed failure domain drains under load. No answer is
// lost, and no booking runs twice.
func TestLeaderKilledInTheMiddleOfAReclaim(t *testing.T) {
	d := startWith(t, 3, 3, (*deployment).startPlatform)
	d.requireEventually("endpoints known", func() bool {
		return strings.Count(d.command("endpoint", "list").out, "\tpumice\t") == 9
	})
	for _, line := range strings.Split(d.command("endpoint", "list").out, "\n") {
		if f := strings.Split(line, "\t"); len(f) > 4 && f[1] == "bookings" && f[3] == "panciu" {
			d.serviceAddress = f[4]
		}
	}
	require.NotEmpty(t, d.serviceAddress)
	l := d.load(15*time.Second, 12, longStreams+bookingCalls)
	d.awaitFurtherCalls()
	d.reclaim("focsani")
	leader := d.awaitLeader(d.names...)
	d.kill(leader)
	d.startNode(leader)
	d.awaitReady(leader)
	d.awaitLeaving("focsani")
	audit := l.audit()
	require.Zero(t, audit.code, audit.out)
	l.requireWhole()
}

// startPlatform starts a stand-in of the platform with the instances of Vrancea's example.
func (d *deployment) startPlatform() {
	raw, err := os.ReadFile("../../../examples/vrancea/platform.toml")
	require.NoError(d.t, err)
	d.write("platform.toml", string(raw))
	// A fixed port at the deployment's own address, since a free one that is released here can be taken before
	// the stand-in listens.
	d.platformAddress = fmt.Sprintf("%s:%d", d.host, 6101)
	d.startStandin("platform", "-config", d.path("platform.toml"), "-free", "-listen", d.platformAddress)
}

func (d *deployment) reclaim(domain string) {
	d.t.Helper()
	resp, err := http.Post("http://"+d.platformAddress+"/reclaim", "application/json", strings.NewReader(`{"domain":"`+domain+`","notice_ms":4000}`))
	require.NoError(d.t, err)
	defer resp.Body.Close()
	require.Equal(d.t, http.StatusAccepted, resp.StatusCode)
}

// awaitLeaving waits until every node lists all reclaimable instances of a domain as
// leaving, or no longer lists them.
func (d *deployment) awaitLeaving(domain string) {
	d.t.Helper()
	for _, name := range d.names {
		d.requireEventually(domain+" leaves at "+name, func() bool {
			ran := d.commandAt(name, "endpoint", "list")
			if ran.code != 0 {
				return false
			}
			for _, line := range strings.Split(strings.TrimSpace(ran.out), "\n") {
				if f := strings.Split(line, "\t"); f[3] == domain && f[7] != "leaving" && f[6] == "reclaimable" {
					return false
				}
			}
			return true
		})
	}
}

// A planned stop hands over the streams that would outlast it. The node exits in time
// without aborting one, and the callers get the remaining tokens from another entry.
func TestPlannedStopHandsLongStreamsOver(t *testing.T) {
	d := startWith(t, 3, 3, func(d *deployment) {
		d.startEngines(2)
		d.extraLimits = `stop = "6s"`
	})
	l := d.load(6*time.Second, 3, `
[[call]]
name = "draft"
kind = "model"
path = "/v1/answers"
share = 1.0
prompt = [40, 80]
max = [500, 600]
timeout = "60s"
`)
	d.requireEventually("streams at n3", func() bool {
		s, ok := d.dump("n3")
		return ok && s.InFlight >= 2
	})
	d.nodes["n3"].signal(t, syscall.SIGTERM)
	require.Zero(t, d.nodes["n3"].wait())
	raw, err := os.ReadFile(d.path("n3.log"))
	require.NoError(t, err)
	require.Contains(t, string(raw), "msg=\"streams handed over\"")
	l.process.wait()
	l.requireWhole()
	require.NotEmpty(t, l.retried(), "some callers reconnected to another entry")
}
