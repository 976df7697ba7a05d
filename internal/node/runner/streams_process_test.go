package runner_test

import (
	"fmt"
	"net"
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

// engines starts engines in processes of their own and names them in the rules.
func (d *deployment) engines(n int) []*process {
	d.t.Helper()
	processes := make([]*process, 0, n)
	for i := range n {
		address := d.standin("engine", "-id", fmt.Sprintf("e%d", i), "-service", "pumice", "-version", "12")
		d.named = append(d.named, fmt.Sprintf("endpoint e%d service=pumice version=12 domain=adjud address=%s # desk, Vrancea", i, address))
		processes = append(processes, d.others[len(d.others)-1])
	}
	return processes
}

// Engines are killed and frozen in the middle of streams: each caller gets each
// token once, in order, whole.
func TestStreamsSurviveLostAndFrozenEngines(t *testing.T) {
	var engines []*process
	d := startWith(t, 3, 3, func(d *deployment) { engines = d.engines(4) })
	l := d.load(12*time.Second, 6, longStreams)
	d.streaming()
	engines[0].signal(t, syscall.SIGKILL)
	d.streaming()
	engines[1].signal(t, syscall.SIGSTOP)
	l.process.wait()
	l.requireWhole()
}

// An entry is killed in the middle of streams: callers come back at another
// entry with the last event that they have seen.
func TestStreamsSurviveAKilledEntry(t *testing.T) {
	d := startWith(t, 4, 3, func(d *deployment) { d.engines(3) })
	l := d.load(10*time.Second, 6, longStreams)
	d.streaming()
	d.kill("n4")
	l.process.wait()
	l.requireWhole()
}

// streaming waits until every live node has served further calls.
func (d *deployment) streaming() {
	d.t.Helper()
	marks := make(map[string]int64)
	for _, name := range d.names {
		marks[name] = d.logged(name)
	}
	d.eventually("further calls", func() bool {
		for _, name := range d.names {
			if d.nodes[name].command != nil && d.logged(name) < marks[name]+500 {
				return false
			}
		}
		return true
	})
}

// logged returns the size of a node's log.
func (d *deployment) logged(name string) int64 {
	info, err := os.Stat(d.path(name + ".log"))
	require.NoError(d.t, err)
	return info.Size()
}

// A failure domain is reclaimed with notice under streams, and a second one
// while the first still drains: no answer is lost and every entry knows the
// leaving endpoints.
func TestReclaimedDomainsLoseNoAnswer(t *testing.T) {
	d := startWith(t, 3, 3, (*deployment).fleet)
	d.eventually("endpoints known", func() bool {
		return strings.Count(d.command("endpoint", "list").out, "\tpumice\t") == 9
	})
	l := d.load(20*time.Second, 8, longStreams)
	d.streaming()
	d.reclaim("focsani")
	d.awaitLeaving("focsani")
	d.reclaim("adjud")
	d.awaitLeaving("adjud")
	l.process.wait()
	l.requireWhole()
}

// The leader is killed while a reclaimed failure domain drains, under bookings
// and streams: no answer is lost and no booking doubled.
func TestLeaderKilledInTheMiddleOfAReclaim(t *testing.T) {
	d := startWith(t, 3, 3, (*deployment).fleet)
	d.eventually("endpoints known", func() bool {
		return strings.Count(d.command("endpoint", "list").out, "\tpumice\t") == 9
	})
	for _, line := range strings.Split(d.command("endpoint", "list").out, "\n") {
		if f := strings.Split(line, "\t"); len(f) > 4 && f[1] == "bookings" && f[3] == "panciu" {
			d.service = f[4]
		}
	}
	require.NotEmpty(t, d.service)
	l := d.load(15*time.Second, 12, longStreams+bookingCalls)
	d.streaming()
	d.reclaim("focsani")
	leader := d.leader(d.names...)
	d.kill(leader)
	d.run(leader)
	d.ready(leader)
	d.awaitLeaving("focsani")
	audit := l.audit()
	require.Zero(t, audit.code, audit.out)
	l.requireWhole()
}

// fleet starts a platform with the fleet of Vrancea's example.
func (d *deployment) fleet() {
	raw, err := os.ReadFile("../../../examples/vrancea/platform.toml")
	require.NoError(d.t, err)
	d.write("platform.toml", string(raw))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	d.platform = listener.Addr().String()
	listener.Close()
	d.standinAddress("platform", "-config", d.path("platform.toml"), "-free", "-listen", d.platform)
}

func (d *deployment) reclaim(domain string) {
	d.t.Helper()
	resp, err := http.Post("http://"+d.platform+"/reclaim", "application/json", strings.NewReader(`{"domain":"`+domain+`","notice_ms":4000}`))
	require.NoError(d.t, err)
	defer resp.Body.Close()
	require.Equal(d.t, http.StatusAccepted, resp.StatusCode)
}

// awaitLeaving waits until every node shows all engines of a domain as leaving
// or knows them no more.
func (d *deployment) awaitLeaving(domain string) {
	d.t.Helper()
	for _, name := range d.names {
		d.eventually(domain+" leaves at "+name, func() bool {
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

// A planned stop hands over the streams that would outlast it: the node exits
// in time without cutting one, and the callers get the rest at another entry.
func TestPlannedStopHandsLongStreamsOver(t *testing.T) {
	d := startWith(t, 3, 3, func(d *deployment) {
		d.engines(2)
		d.limits = `stop = "6s"`
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
	d.eventually("streams at n3", func() bool {
		s, ok := d.dump("n3")
		return ok && s.Running >= 2
	})
	d.nodes["n3"].signal(t, syscall.SIGTERM)
	require.Zero(t, d.nodes["n3"].wait())
	raw, err := os.ReadFile(d.path("n3.log"))
	require.NoError(t, err)
	require.Contains(t, string(raw), "msg=\"streams handed over\"")
	l.process.wait()
	l.requireWhole()
	require.NotEmpty(t, l.repeated(), "some callers came back at another entry")
}
