package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: five core machines, three front machines, engines and the platform, each at a loopback
// address of its own.
type fleet struct {
	root     string // of the repository
	dir      string // temporary folder
	prefix   string // of all addresses, such as "127.71."
	record   *record
	platform *platform
	engines  []*engine
	cores    []*machine
	fronts   []*machine
	roles    map[string]role
	isFirst  bool
	isBusy   bool // runs are too many for the record
}

// role is a role of the deploy file.
type role struct{ run, template string }

// machine is one machine with its process.
type machine struct {
	fleet   *fleet
	name    string
	class   string // "core" or "front"
	zone    string
	ip      string
	data    string
	log     string
	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

var zones = []string{"focsani", "adjud", "panciu"}

const (
	portFront, portReady, portControl, portCloud, portEngine = 8221, 8224, 8229, 8225, 8080
	keyOne                                                   = "i9n73hh2b9wu3fexd9dn"
	hostName                                                 = "ficu95.example"
)

var errNotReady = errors.New("the deployment isn't ready in time")

func newFleet(r *record) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: r, isFirst: true}
	if f.roles, err = readRoles(filepath.Join(root, "deploy", "system.toml")); err != nil {
		return nil, err
	}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.", 16+rand.IntN(220))
		if f.isFree() {
			break
		}
	}
	for i := range 5 {
		f.cores = append(f.cores, f.newMachine("core", i))
	}
	for i := range 3 {
		f.fronts = append(f.fronts, f.newMachine("front", i))
	}
	return f, nil
}

func (f *fleet) newMachine(class string, i int) *machine {
	host := 10 + i
	if class == "front" {
		host = 100 + i
	}
	name := fmt.Sprintf("%s-%s-%d", class, zones[i%3], i/3+1)
	return &machine{
		fleet: f, name: name, class: class, zone: zones[i%3], ip: fmt.Sprintf("%s%d.%d", f.prefix, i%3+1, host),
		data: filepath.Join(f.dir, name), log: filepath.Join(f.dir, name+".log"),
	}
}

// isFree reports whether the ports of the first machines and of the platform are free.
func (f *fleet) isFree() bool {
	for _, a := range []string{"1.10:7600", "1.10:7601", "1.10:8229", "1.100:8221", "8.1:8225", "9.1:8080"} {
		l, err := net.Listen("tcp", f.prefix+a)
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

var rolePattern = regexp.MustCompile(`(?s)\[roles\.(\w+)\](.*?)(?:\n\[|\z)`)

func readRoles(path string) (map[string]role, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out := make(map[string]role)
	rest := string(text)
	for _, part := range strings.Split(rest, "[roles.")[1:] {
		_, body, _ := strings.Cut(part, "]")
		get := func(key string) string {
			m := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindStringSubmatch(body)
			if m == nil {
				return ""
			}
			return m[1]
		}
		out[get("on")] = role{run: get("run"), template: get("template")}
	}
	return out, nil
}

// settings returns the fields of a machine's settings file, as DEPLOY.md shows them.
func (m *machine) settings() map[string]any {
	f := m.fleet
	listen := map[string]any{"Front": fmt.Sprintf("%s:%d", m.ip, portFront), "Ready": fmt.Sprintf("%s:%d", m.ip, portReady)}
	var data any
	if m.class == "core" {
		listen = map[string]any{"Control": fmt.Sprintf("%s:%d", m.ip, portControl)}
		data = m.data
	}
	var seeds []any
	for _, c := range f.cores[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.ip, portControl))
	}
	text := `{"Limits":{"CpuShare":0.4,"Cores":1,"MemoryMb":284,"FileDescriptors":4100,"LinkMbps":1000.0},
"Zones":{"focsani":"vrancea","adjud":"vrancea","panciu":"vrancea"},"InternalPortRange":[7600,7615],
"FaultTolerance":{"Machines":1,"Zones":0,"Regions":0},
"Bounds":{"SeedLagS":3,"ReuseAfterS":2,"ContactMs":3000,"AcknowledgeMs":4000,"CatchUpS":4,"DrainMs":3000,"GraceS":8,"LossSlackMs":200,
"ConfigurationMs":2000,"RollbackSlackMs":250,"OuterBoundMs":5000,"StrictRevocation":true,"RevokeMs":5000,"RetryBudgetRatio":0.2,
"BudgetWindowS":10,"BudgetExtraRetries":52,"QuotaWindowS":8,"QuotaOverage":0.1,"QuotaSlack":110000,"RequireFencing":true,"LeaseMs":3000,
"ThawSlackMs":300,"ReportWindowS":5,"UsageTolerance":0.05,"UsageLateS":10,"ExposureShare":0.1,"ExposureSlack":50,"RollbackMs":5000,
"RecoveryS":12,"PassMs":120,"ReuseWindowS":8.6},
"Cloud":{"RatePerS":40.0,"Duties":["usage","scaling"],"MaxLagMs":800,"DutyPerS":50.0}}`
	var out map[string]any
	if err := json.Unmarshal([]byte(text), &out); err != nil {
		panic(err)
	}
	out["Cloud"].(map[string]any)["Address"] = fmt.Sprintf("%s8.1:%d", f.prefix, portCloud)
	for k, v := range map[string]any{
		"NodeName": m.name, "Zone": m.zone, "Region": "vrancea", "IpAddress": m.ip, "ListenAddresses": listen, "SeedAddresses": seeds,
		"Bootstrap": f.isFirst, "DataDirectory": data,
	} {
		out[k] = v
	}
	return out
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() error {
	r := m.fleet.roles[m.class]
	template, err := os.ReadFile(filepath.Join(m.fleet.root, r.template))
	if err != nil {
		return err
	}
	text, err := render(string(template), any(m.settings()))
	if err != nil {
		return err
	}
	path := filepath.Join(m.fleet.dir, m.name+".settings")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	words := strings.Fields(r.run)
	c := exec.Command(filepath.Join(m.fleet.root, words[0]), words[1:]...)
	c.Dir, c.Stdout, c.Stderr = m.fleet.root, log, log
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HYSSOPRUDDER_SETTINGS=" + path}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = c, ended
	m.mu.Unlock()
	go func() {
		err := c.Wait()
		m.fleet.record.add("%s ended: %v", m.name, err)
		close(ended)
	}()
	return nil
}

func (m *machine) signal(s os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-ended
}

// isRunning reports whether the process has not ended.
func (m *machine) isRunning() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.ended:
		return false
	default:
		return m.process != nil
	}
}

// start starts the platform, the engines and all machines, sends the configuration and waits until the fronts are ready.
func (f *fleet) start(engines []*engine, configuration string) error {
	f.engines = engines
	var err error
	if f.platform, err = startPlatform(f); err != nil {
		return err
	}
	for _, e := range engines {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, m := range append(append([]*machine(nil), f.cores...), f.fronts...) {
		if err := m.start(); err != nil {
			return err
		}
	}
	f.isFirst = false
	if _, err := f.configure(configuration, 15*time.Second); err != nil {
		return err
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range f.fronts {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	return nil
}

func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, portReady))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// post sends an operator's order to a core machine.
func (f *fleet) post(m *machine, path, body string, timeout time.Duration) (int, string) {
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Post(fmt.Sprintf("http://%s:%d%s", m.ip, portControl, path), "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	text := make([]byte, 200)
	n, _ := r.Body.Read(text)
	return r.StatusCode, strings.TrimSpace(string(text[:n]))
}

// configure sends a configuration to one core machine after the other until one acknowledges it.
func (f *fleet) configure(body string, within time.Duration) (time.Duration, error) {
	started := time.Now()
	last := ""
	for i := 0; time.Since(started) < within; i++ {
		m := f.cores[i%len(f.cores)]
		status, text := f.post(m, "/Configuration.Replace", body, time.Second)
		if status == http.StatusOK {
			f.record.add("configuration acknowledged by %s after %v", m.name, time.Since(started).Round(time.Millisecond))
			return time.Since(started), nil
		}
		last = fmt.Sprintf("%d %s", status, text)
		if status >= 400 && status < 500 && status != 408 && status != 429 {
			return 0, fmt.Errorf("configuration refused: %s", last)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, fmt.Errorf("configuration not acknowledged within %v: %s", within, last)
}

// stop ends everything and removes the temporary folder.
func (f *fleet) stop() {
	for _, m := range append(append([]*machine(nil), f.cores...), f.fronts...) {
		m.signal(syscall.SIGCONT)
		m.kill()
	}
	for _, e := range f.engines {
		e.stop()
	}
	if f.platform != nil {
		f.platform.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", f.dir)
	}
}

// record collects what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	lines   []string
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.started).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
