package main

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	program     = "target/hyssoprudder-managed"
	frontPort   = 8221
	readyPort   = 8224
	controlPort = 8229
	nodePort    = 7600
	catchUp     = 4 * time.Second
	grace       = 8 * time.Second
)

var zones = []string{"focsani", "adjud", "panciu"}

// machine is one machine of the deployment: an address of its own and one process.
type machine struct {
	name, class, ip, zone, data string
	bootstrap                   bool
	settings                    string
	cmd                         *exec.Cmd
	exited                      chan struct{}
}

func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, frontPort) }
func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, controlPort) }
func (m *machine) ready() string   { return fmt.Sprintf("%s:%d", m.ip, readyPort) }

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir    string
	prefix string // first three bytes of all addresses
	cloud  string // address of the platform
	record *record

	mu       sync.Mutex
	nextIP   int
	machines []*machine
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, record: r, nextIP: 10}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), 1+rand.Intn(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", f.prefix, nodePort))
		if err == nil {
			l.Close()
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// add makes a machine at a new address. Its process isn't started.
func (f *fleet) add(class, zone string, bootstrap bool) *machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &machine{class: class, zone: zone, bootstrap: bootstrap, ip: fmt.Sprintf("%s.%d", f.prefix, f.nextIP)}
	m.name = fmt.Sprintf("%s-%s-%d", class, zone, f.nextIP)
	f.nextIP++
	if class == "core" {
		m.data = filepath.Join(f.dir, m.name)
		_ = os.MkdirAll(m.data, 0o700)
	}
	f.machines = append(f.machines, m)
	return m
}

// fields are the fields of a machine's settings, with the values of the small deployment
// of SYSTEM.md.
func (f *fleet) fields(m *machine, seeds []string) map[string]any {
	var seedList []any
	for _, s := range seeds {
		seedList = append(seedList, s)
	}
	region := map[string]any{}
	for _, z := range zones {
		region[z] = "vrancea"
	}
	return map[string]any{
		"NodeName": m.name, "Zone": m.zone, "Zones": region, "IpAddress": m.ip, "SeedAddresses": seedList,
		"InternalPortRange": []any{nodePort, nodePort + 15}, "Bootstrap": m.bootstrap, "DataDirectory": m.data,
		"ListenAddresses": map[string]any{"Front": m.front(), "Ready": m.ready(), "Control": m.control()},
		"Cloud":           map[string]any{"Address": f.cloud, "RatePerS": 40.0, "MaxLagMs": 800, "Duties": []any{"usage", "scaling"}},
		"Bounds": map[string]any{
			"ContactMs": 3000, "DrainMs": 3000, "GraceS": 8, "ConfigurationMs": 2000, "RevokeMs": 5000, "LeaseMs": 3000,
			"RetryBudgetRatio": 0.2, "BudgetExtraRetries": 52, "BudgetWindowS": 10, "QuotaWindowS": 8, "QuotaOverage": 0.1,
			"QuotaSlack": 110000, "ReportWindowS": 5, "UsageLateS": 10, "ExposureShare": 0.1, "ExposureSlack": 50, "RollbackMs": 5000,
		},
	}
}

// start writes the settings of a machine and starts its process.
func (f *fleet) start(m *machine, seeds []string) error {
	file := "deploy/entry.toml.tmpl"
	if m.class == "core" {
		file = "deploy/keeper.toml.tmpl"
	}
	template, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	m.settings = filepath.Join(f.dir, m.name+".settings")
	if err := os.WriteFile(m.settings, []byte(render(string(template), &scope{value: f.fields(m, seeds)})), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "HYSSOPRUDDER_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	f.mu.Lock()
	m.cmd, m.exited = cmd, exited
	f.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	f.record.add("start %s at %s, seeds %v, first start %v", m.name, m.ip, seeds, m.bootstrap)
	return nil
}

// terminate stops a machine as the platform does: SIGTERM, and SIGKILL after the grace.
func (f *fleet) terminate(m *machine) {
	f.record.add("SIGTERM to %s", m.name)
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(grace):
		_ = m.cmd.Process.Kill()
		<-m.exited
	}
	f.record.add("%s has ended", m.name)
}

func (f *fleet) kill(m *machine) {
	f.record.add("SIGKILL to %s", m.name)
	_ = m.cmd.Process.Kill()
	<-m.exited
}

func (f *fleet) signal(m *machine, s syscall.Signal) {
	f.record.add("%v to %s", s, m.name)
	_ = m.cmd.Process.Signal(s)
}

// stop ends all processes.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if m.cmd != nil {
			_ = m.cmd.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}

// isRunning reports whether the process of a machine runs.
func (m *machine) isRunning() bool {
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// controls returns the addresses of the first three running machines that serve control, as
// in the operator's list.
func (f *fleet) controls() []string {
	var out []string
	for _, m := range f.running("core") {
		if len(out) < 3 {
			out = append(out, m.control())
		}
	}
	return out
}

func (f *fleet) running(class string) []*machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*machine
	for _, m := range f.machines {
		if m.class == class && m.isRunning() {
			out = append(out, m)
		}
	}
	return out
}
