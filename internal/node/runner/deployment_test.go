package runner_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hyssoprudder/internal/connection/operator"
)

// waitTimeout bounds every wait for a condition. It is so long that only a fault exceeds it.
const waitTimeout = 60 * time.Second

// operatorsToken is the operators' token in every deployment.
const operatorsToken = "operators"

// deploymentCount is the number of deployments started in this test run.
var deploymentCount atomic.Uint32

// programs is the folder of the programs under test, which are built once.
var programs string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "hyssoprudder-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	programs = folder
	build := exec.Command("go", "build", "-race", "-o", folder+"/", "hyssoprudder/cmd/hyssoprudder", "hyssoprudder/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// process is one program of a deployment.
type process struct {
	command *exec.Cmd
	log     *os.File
}

func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	require.NoError(t, p.command.Process.Signal(s))
}

// wait waits for the process to exit and returns its exit code, or -1 if a signal ended it.
func (p *process) wait() int {
	err := p.command.Wait()
	p.command = nil
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	return 0
}

// deployment is a set of nodes with stand-ins for services and the platform, on its own
// loopback address.
type deployment struct {
	t               *testing.T
	programs        string // folder of the programs
	folder          string
	host            string
	nodes           map[string]*process
	names           []string
	serviceAddress  string   // address of the booking service, if there is one
	platformAddress string   // address of the platform, if there is one
	endpointRules   []string // lines of rules for endpoints
	extraLimits     string   // further settings in the section limits
	standins        []*process
}

// start starts a deployment of nodes, of which the first are keepers, with one booking
// service and one engine, and puts rules in force.
func start(t *testing.T, nodes, keepers int) *deployment {
	t.Helper()
	return startWith(t, nodes, keepers, func(d *deployment) {
		d.serviceAddress = d.startStandinOnFreePort("service", "-id", "b", "-service", "bookings", "-version", "3", "-took", "20ms")
		d.endpointRules = append(d.endpointRules,
			"endpoint b service=bookings version=3 domain=adjud address="+d.serviceAddress+" # desk, Vrancea",
			"endpoint e service=pumice version=12 domain=adjud address="+d.startStandinOnFreePort("engine", "-id", "e", "-service", "pumice", "-version", "12")+" # desk, Vrancea")
	})
}

// startWith starts a deployment with the stand-ins that startServices starts.
func startWith(t *testing.T, nodes, keepers int, startServices func(d *deployment)) *deployment {
	t.Helper()
	t.Parallel()
	return startOf(t, programs, nodes, keepers, startServices)
}

// startOf starts a deployment of the programs in a folder. It does not make the test parallel.
func startOf(t *testing.T, programs string, nodes, keepers int, startServices func(d *deployment)) *deployment {
	t.Helper()
	d := &deployment{t: t, programs: programs, folder: t.TempDir(), nodes: make(map[string]*process)}
	// Each test has its own address, since tests run in parallel.
	d.host = fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()>>8&0x3f, os.Getpid()&0xff, deploymentCount.Add(1))
	t.Cleanup(d.stopAll)
	d.write("deployment.key", strings.Repeat("k", 64))
	d.write("operators.token", operatorsToken)
	startServices(d)
	for i := range nodes {
		name := fmt.Sprintf("n%d", i+1)
		d.names = append(d.names, name)
		d.write(name+".toml", d.settings(i, keepers))
		d.startNode(name)
	}
	d.write("rules.txt", d.rules(""))
	d.requireEventually("rules accepted", func() bool { return d.command("rule", "apply", d.path("rules.txt")).code == 0 })
	for _, name := range d.names {
		d.awaitReady(name)
	}
	return d
}

func (d *deployment) path(name string) string { return filepath.Join(d.folder, name) }

func (d *deployment) write(name, text string) {
	d.t.Helper()
	require.NoError(d.t, os.WriteFile(d.path(name), []byte(text), 0o600))
}

// settings returns the settings file of the i-th node, counted from 0.
func (d *deployment) settings(i, keepers int) string {
	var b strings.Builder
	roles := `"entry"`
	if i < keepers {
		roles += `, "keeper"`
	}
	domains := []string{"focsani", "adjud", "panciu"}
	fmt.Fprintf(&b, "id = \"n%d\"\nfirm = \"vrancea\"\ndomain = %q\ndomains = [\"focsani\", \"adjud\", \"panciu\"]\nroles = [%s]\n", i+1, domains[i%3], roles)
	fmt.Fprintf(&b, "drill = true\ndata = \"data-n%d\"\nkey = \"deployment.key\"\ntoken = \"operators.token\"\n", i+1)
	if d.platformAddress != "" {
		fmt.Fprintf(&b, "platform = %q\n", d.platformAddress)
	}
	fmt.Fprintf(&b, "[listen]\ncallers = \"%s:%d\"\nnodes = \"%s:%d\"\noperators = \"%s:%d\"\n", d.host, 8101+i, d.host, 7101+i, d.host, 9101+i)
	fmt.Fprintf(&b, "[limits]\nlame = \"500ms\"\n%s\n", d.extraLimits)
	for k := range keepers {
		fmt.Fprintf(&b, "[[keepers]]\nid = \"n%d\"\naddress = \"%s:%d\"\n", k+1, d.host, 7101+k)
	}
	return b.String()
}

// rules returns rules for the stand-ins with further lines.
func (d *deployment) rules(more string) string {
	return strings.Join([]string{
		"customer masons token=sha256:" + sha256Hex("masons-demo") + " # desk, Vrancea",
		"service bookings kind=plain status=/bookings/{key} # desk, Vrancea",
		"service pumice kind=model timeout=60s # desk, Vrancea",
		"route orders path=/orders service=bookings once=true # desk, Vrancea",
		"route answers path=/v1/answers service=pumice # desk, Vrancea",
		strings.Join(d.endpointRules, "\n"),
		more,
	}, "\n")
}

// startNode starts a node. Its output is appended to its log.
func (d *deployment) startNode(name string) {
	d.t.Helper()
	d.nodes[name] = d.spawn(name, nil, "hyssoprudder", "node", "run", "-config", d.path(name+".toml"))
}

func (d *deployment) spawn(name string, out *os.File, program string, args ...string) *process {
	d.t.Helper()
	log, err := os.OpenFile(d.path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(d.t, err)
	command := exec.Command(filepath.Join(d.programs, program), args...)
	command.Stderr = log
	command.Stdout = out
	require.NoError(d.t, command.Start())
	return &process{command: command, log: log}
}

// startStandinOnFreePort starts a stand-in on a free loopback port and returns its address.
func (d *deployment) startStandinOnFreePort(kind string, args ...string) string {
	d.t.Helper()
	return d.startStandin(kind, append([]string{"-listen", "127.0.0.1:0"}, args...)...)
}

// startStandin starts a stand-in and returns the address in the first line of its output.
func (d *deployment) startStandin(kind string, args ...string) string {
	d.t.Helper()
	read, write, err := os.Pipe()
	require.NoError(d.t, err)
	// The pipe stays open to buffer the rest of the stand-in's output.
	d.t.Cleanup(func() { read.Close() })
	p := d.spawn(kind, write, "standin", append([]string{kind}, args...)...)
	write.Close()
	d.standins = append(d.standins, p)
	line, err := bufio.NewReader(read).ReadString('\n')
	require.NoError(d.t, err)
	_, address, ok := strings.Cut(strings.TrimSpace(line), "address=")
	require.True(d.t, ok, line)
	return address
}

// logDiagnostics logs the state dump and the log of each node of a failed test, and ends
// the nodes with SIGQUIT so that they print the stacks of their goroutines.
func (d *deployment) logDiagnostics() {
	for _, name := range d.names {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		var state bytes.Buffer
		err := d.client(name).State(ctx, &state)
		cancel()
		d.t.Logf("state of %s: %s %v", name, state.Bytes(), err)
		raw, _ := os.ReadFile(d.path(name + ".log"))
		d.t.Logf("log of %s:\n%s", name, tail(withoutCompletedCalls(raw), 12000))
		p := d.nodes[name]
		if p == nil || p.command == nil {
			continue
		}
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
		d.t.Logf("process of %s: %s", name, status[:min(len(status), 200)])
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Signal(syscall.SIGQUIT)
		p.wait()
		all, _ := os.ReadFile(d.path(name + ".log"))
		d.t.Logf("goroutines of %s:\n%s", name, all[len(raw):min(len(all), len(raw)+30000)])
	}
}

func (d *deployment) stopAll() {
	if d.t.Failed() {
		d.logDiagnostics()
	}
	all := d.standins
	for _, p := range d.nodes {
		all = append(all, p)
	}
	for _, p := range all {
		if p.command != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			p.wait()
		}
		p.log.Close()
	}
}

// withoutCompletedCalls returns a log without the lines of calls with the outcome done.
func withoutCompletedCalls(raw []byte) []byte {
	var out []byte
	for line := range bytes.Lines(raw) {
		if !bytes.Contains(line, []byte("outcome=done")) {
			out = append(out, line...)
		}
	}
	return out
}

func tail(raw []byte, n int) []byte { return raw[max(0, len(raw)-n):] }

// kill kills a node and waits for its exit.
func (d *deployment) kill(name string) {
	d.t.Helper()
	d.nodes[name].signal(d.t, syscall.SIGKILL)
	d.nodes[name].wait()
}

func (d *deployment) operatorsAddress(name string) netip.AddrPort {
	var i int
	_, err := fmt.Sscanf(name, "n%d", &i)
	require.NoError(d.t, err)
	return netip.MustParseAddrPort(fmt.Sprintf("%s:%d", d.host, 9100+i))
}

func (d *deployment) client(name string) *operator.Client {
	return operator.NewClient(d.operatorsAddress(name), operatorsToken, nil)
}

// commandResult is the exit code and the output of a command.
type commandResult struct {
	code     int
	out, err string
}

// command runs an operator's command against the first node.
func (d *deployment) command(args ...string) commandResult { return d.commandAt(d.names[0], args...) }

func (d *deployment) commandAt(node string, args ...string) commandResult {
	command := exec.Command(filepath.Join(d.programs, "hyssoprudder"), args...)
	command.Env = append(os.Environ(), "HYSSOPRUDDER_ADDRESS="+d.operatorsAddress(node).String(), "HYSSOPRUDDER_TOKEN="+d.path("operators.token"))
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	code := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	}
	return commandResult{code: code, out: stdout.String(), err: stderr.String()}
}

// state is the part of a state dump that tests check.
type state struct {
	Moves     []operator.Move `json:"moves"`
	Evacuated []string        `json:"evacuated"`
	Ready     string          `json:"ready"`
	InFlight  int             `json:"running"`
	Revision  uint64          `json:"revision"`
	Keeper    *struct {
		Role     string `json:"role"`
		Identity string `json:"identity"`
		Leader   string `json:"leader"`
		Members  []struct {
			ID    string `json:"id"`
			Name  string `json:"name"`
			Voter bool   `json:"voter"`
		} `json:"members"`
	} `json:"keeper"`
}

// dump reads a node's state; ok is false if the node does not answer.
func (d *deployment) dump(name string) (s state, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var raw bytes.Buffer
	if err := d.client(name).State(ctx, &raw); err != nil {
		return s, false
	}
	require.NoError(d.t, json.Unmarshal(raw.Bytes(), &s))
	return s, true
}

// requireEventually waits for a condition, and fails the test after waitTimeout.
func (d *deployment) requireEventually(what string, condition func() bool) {
	d.t.Helper()
	require.Eventually(d.t, condition, waitTimeout, 50*time.Millisecond, what)
}

func (d *deployment) awaitReady(name string) {
	d.t.Helper()
	d.requireEventually(name+" ready", func() bool {
		s, ok := d.dump(name)
		return ok && s.Ready == "ready"
	})
}

// awaitLeader waits until one of the named nodes is the leader and returns it.
func (d *deployment) awaitLeader(among ...string) string {
	d.t.Helper()
	var leader string
	d.requireEventually("a leader", func() bool {
		for _, name := range among {
			if s, ok := d.dump(name); ok && s.Keeper != nil && s.Keeper.Leader == name {
				leader = name
				return true
			}
		}
		return false
	})
	return leader
}

// load is a run of the load generator.
type load struct {
	d       *deployment
	process *process
	log     string
}

// load starts the load generator with calls to all entries. It acts as a load balancer
// that checks whether the entries are ready.
func (d *deployment) load(duration time.Duration, rate float64, calls string) *load {
	d.t.Helper()
	var entries []string
	for i := range d.names {
		entries = append(entries, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", d.host, 8101+i)))
	}
	d.write("load.toml", fmt.Sprintf("entries = [%s]\nrate = %g\nduration = %q\nready = \"/readyz\"\n[[customer]]\nname = \"masons\"\ntoken = \"masons-demo\"\nshare = 1.0\n%s",
		strings.Join(entries, ", "), rate, duration, calls))
	l := &load{d: d, log: d.path("outcomes.jsonl")}
	out, err := os.Create(d.path("summary.json"))
	require.NoError(d.t, err)
	defer out.Close()
	l.process = d.spawn("load", out, "standin", "load", "-json", "-config", d.path("load.toml"), "-log", l.log)
	d.standins = append(d.standins, l.process)
	return l
}

const bookingCalls = `
[[call]]
name = "order"
kind = "plain"
path = "/orders"
share = 1.0
timeout = "10s"
once = true
resend = 0.2
twin = 0.2
`

// audit waits for the end of the load and compares its log with the record of the booking
// service.
func (l *load) audit() commandResult {
	l.d.t.Helper()
	l.process.wait()
	command := exec.Command(filepath.Join(programs, "standin"), "audit", "-log", l.log, "-record", l.d.serviceAddress)
	out, err := command.CombinedOutput()
	code := 0
	if err != nil {
		code = 1
	}
	return commandResult{code: code, out: string(out)}
}

// outcomes holds the totals of a load.
type outcomes struct {
	sent, whole int
	all         map[string]int
}

// summary returns the totals of a load that has ended.
func (l *load) summary() outcomes {
	l.d.t.Helper()
	raw, err := os.ReadFile(l.d.path("summary.json"))
	require.NoError(l.d.t, err)
	var s struct {
		All struct {
			Sent     int            `json:"sent"`
			Outcomes map[string]int `json:"outcomes"`
		} `json:"all"`
	}
	require.NoError(l.d.t, json.Unmarshal(raw, &s))
	return outcomes{sent: s.All.Sent, whole: s.All.Outcomes["whole"], all: s.All.Outcomes}
}

// requireWhole fails the test unless every call got its whole answer.
func (l *load) requireWhole() {
	l.d.t.Helper()
	summary := l.summary()
	require.NotZero(l.d.t, summary.sent)
	raw, err := os.ReadFile(l.log)
	require.NoError(l.d.t, err)
	var others []string
	for line := range strings.Lines(string(raw)) {
		if !strings.Contains(line, `"outcome":"whole"`) {
			others = append(others, line)
		}
	}
	require.Equal(l.d.t, summary.sent, summary.whole, "%+v %s", summary, others)
}

// retried returns the attempts of the requests that took more than one.
func (l *load) retried() []string {
	l.d.t.Helper()
	raw, err := os.ReadFile(l.log)
	require.NoError(l.d.t, err)
	var repeated []string
	for line := range strings.Lines(string(raw)) {
		var result struct {
			Key      string   `json:"key"`
			Attempts []string `json:"attempts"`
		}
		require.NoError(l.d.t, json.Unmarshal([]byte(line), &result))
		if len(result.Attempts) != 1 {
			repeated = append(repeated, result.Key+" "+strings.Join(result.Attempts, ","))
		}
	}
	return repeated
}
