package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	portFront   = 8221
	portReady   = 8224
	portCloud   = 8225
	portControl = 8229
	portNodes   = 7600
	portServer  = 8308
)

// fleet is a small deployment on loopback addresses: machines with one process each, the platform, and servers.
type fleet struct {
	folder  string
	net     string // first three numbers of the addresses
	record  *recorder
	nodes   []*node
	cloud   *cloud
	servers []*server
	begun   time.Time
}

type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func newFleet(record string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: &recorder{file: file, begun: time.Now()}, begun: time.Now()}
	if f.net, err = freeNet(); err != nil {
		return nil, err
	}
	f.cloud = newCloud(f)
	fleets = append(fleets, f)
	return f, f.cloud.listen()
}

// fleets are those that were started.
var fleets []*fleet

// stopAll ends everything that was started.
func stopAll() {
	for _, f := range fleets {
		f.stop()
	}
}

// freeNet finds a range of loopback addresses on which nothing listens at the ports of the machines.
func freeNet() (string, error) {
	for i := range 100 {
		n := (os.Getpid() + i*37) % 16000
		prefix := fmt.Sprintf("127.%d.%d", 64+n/256, n%256)
		l, err := net.Listen("tcp", prefix+".1:"+fmt.Sprint(portCloud))
		if err != nil {
			continue
		}
		l.Close()
		return prefix, nil
	}
	return "", fmt.Errorf("no free addresses")
}

// node is a machine with its process.
type node struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	isCore  bool
	seeds   []string
	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

func (f *fleet) add(name string, number int, zone string, isCore bool) *node {
	n := &node{fleet: f, name: name, ip: fmt.Sprintf("%s.%d", f.net, number), zone: zone, isCore: isCore}
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) seeds() []string {
	var out []string
	for _, n := range f.nodes {
		if n.isCore && len(out) < 3 {
			out = append(out, fmt.Sprintf("%s:%d", n.ip, portControl))
		}
	}
	return out
}

// fields are the settings of DEPLOY.md, with the values of its example.
func (n *node) fields(bootstrap bool) map[string]any {
	role, class, serves := "entry", "front", "front"
	listen := map[string]any{"Front": fmt.Sprintf("%s:%d", n.ip, portFront), "Ready": fmt.Sprintf("%s:%d", n.ip, portReady)}
	limits := map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "FileDescriptors": 4100, "LinkMbps": 1000.0, "DiskMb": 0}
	var data any
	if n.isCore {
		role, class, serves = "keeper", "core", "control"
		listen = map[string]any{"Control": fmt.Sprintf("%s:%d", n.ip, portControl)}
		limits = map[string]any{"CpuShare": 0.24, "Cores": 1, "MemoryMb": 280, "FileDescriptors": 4096, "LinkMbps": 1000.0, "DiskMb": 128}
		data = n.data()
	}
	return map[string]any{
		"NodeName": n.name, "Role": role, "MachineClass": class, "Serves": []string{serves}, "IpAddress": n.ip, "Zone": n.zone, "Region": "vrancea",
		"Zones":           map[string]any{"focsani": "vrancea", "adjud": "vrancea", "panciu": "vrancea"},
		"ListenAddresses": listen, "InternalPortRange": []int{portNodes, portNodes + 15}, "SeedAddresses": n.fleet.seeds(),
		"Bootstrap": bootstrap, "LossCounts": n.isCore, "Limits": limits, "DataDirectory": data, "Discovery": "cloud", "Entry": "virtual_ip",
		"HeartbeatIntervalMs": 1200, "FaultTolerance": map[string]any{"Machines": 1, "Zones": 0, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AcknowledgeMs": 4000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": 8, "LossSlackMs": 200,
			"ConfigurationMs": 2000, "RollbackSlackMs": 250, "OuterBoundMs": 5000, "StrictRevocation": true, "RevokeMs": 5000, "RetryBudgetRatio": 0.2,
			"BudgetWindowS": 10, "BudgetExtraRetries": 52, "QuotaWindowS": 8, "QuotaOverage": 0.1, "QuotaSlack": 110000, "RequireFencing": true,
			"LeaseMs": 3000, "ThawSlackMs": 300, "ReportWindowS": 5, "UsageTolerance": 0.05, "UsageLateS": 10, "ExposureShare": 0.1, "ExposureSlack": 50,
			"RollbackMs": 5000, "RecoveryS": 12, "PassMs": 120, "ReuseWindowS": 8.6,
		},
		"ConfigurationMode": "highest",
		"Cloud": map[string]any{
			"Address": n.fleet.cloud.address(), "RatePerS": 40.0, "Duties": []string{"usage", "scaling"}, "MaxLagMs": 800, "DutyPerS": 50.0,
		},
	}
}

func (n *node) data() string { return filepath.Join(n.fleet.folder, "disk-"+n.name) }

func (n *node) file(kind string) string { return filepath.Join(n.fleet.folder, n.name+"."+kind) }

// start writes the settings file from the template of the deploy file, as at every start, and starts the process.
func (n *node) start(bootstrap bool) error {
	template := "deploy/entry.toml.tmpl"
	if n.isCore {
		template = "deploy/keeper.toml.tmpl"
		if err := os.MkdirAll(n.data(), 0o700); err != nil {
			return err
		}
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.file("toml"), []byte(render(string(text), n.fields(bootstrap))), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(n.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command("target/hyssoprudder-managed") // run of both roles in deploy/system.toml
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.fleet.folder, "HYSSOPRUDDER_SETTINGS=" + n.file("toml")}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.command, n.done = c, done
	n.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(done)
	}()
	n.fleet.record.line("platform: started %s (%s), Bootstrap %v", n.name, n.ip, bootstrap)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	c := n.command
	n.mu.Unlock()
	if c != nil {
		_ = c.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (n *node) isRunning() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.done == nil {
		return false
	}
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.isRunning() {
			n.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.folder)
	} else {
		fmt.Println("kept", f.folder)
	}
	f.record.file.Close()
}

func (f *fleet) cores() []*node {
	var out []*node
	for _, n := range f.nodes {
		if n.isCore {
			out = append(out, n)
		}
	}
	return out
}

func (f *fleet) fronts() []*node {
	var out []*node
	for _, n := range f.nodes {
		if !n.isCore {
			out = append(out, n)
		}
	}
	return out
}

// cloud is the platform's API: the list of instances, usage and scaling. It behaves as PROTOCOL.md says.
type cloud struct {
	fleet  *fleet
	mu     sync.Mutex
	list   []map[string]any
	fences map[string]int64
	reads  int
}

func newCloud(f *fleet) *cloud { return &cloud{fleet: f, fences: make(map[string]int64)} }

func (c *cloud) address() string { return fmt.Sprintf("%s.1:%d", c.fleet.net, portCloud) }

func (c *cloud) listen() error {
	l, err := net.Listen("tcp", c.address())
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, c) }()
	return nil
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Method == http.MethodGet && r.URL.Path == "/instances" {
		c.reads++
		page, _ := json.Marshal(map[string]any{"Instances": c.list, "Next": nil})
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(page)
		return
	}
	var fence int64
	_, _ = fmt.Sscan(r.Header.Get("X-Fencing-Token"), &fence)
	var order struct{ Service, Zone string }
	_ = json.Unmarshal(body, &order)
	subject := r.URL.Path + " " + order.Service + " " + order.Zone
	c.fleet.record.line("platform: %s holder=%s fence=%d %s", r.URL.Path, r.Header.Get("X-Duty-Holder"), fence, body)
	if fence < c.fences[subject] {
		http.Error(w, "a higher fence was seen", http.StatusConflict)
		return
	}
	c.fences[subject] = fence
	w.WriteHeader(http.StatusOK)
}

// server is a server of a plain service: it runs each request that it gets in a few milliseconds and records it.
type server struct {
	fleet   *fleet
	id      string
	address string
	service string
	mu      sync.Mutex
	ran     map[string]int
}

func (f *fleet) addServer(number int, service string) (*server, error) {
	s := &server{fleet: f, id: fmt.Sprintf("i-%08x", 0x7f3a91c0+number), address: fmt.Sprintf("%s.%d:%d", f.net, number, portServer), service: service, ran: make(map[string]int)}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, s) }()
	f.servers = append(f.servers, s)
	f.cloud.mu.Lock()
	f.cloud.list = append(f.cloud.list, map[string]any{
		"Service": service, "Address": s.address, "Zone": "focsani", "Version": "v1", "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Id": s.id,
	})
	f.cloud.mu.Unlock()
	return s, nil
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", s.id)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	s.fleet.record.line("server %s: runs %s %s %s (%d bytes)", s.id, id, r.Method, r.RequestURI, len(body))
	time.Sleep(10 * time.Millisecond)
	w.Header().Set("X-Response-Seal", "seal."+id)
	_, _ = io.WriteString(w, "answer to "+id+"\n")
}

// ran returns how often a request has run at all servers.
func (f *fleet) ran(id string) int {
	n := 0
	for _, s := range f.servers {
		s.mu.Lock()
		n += s.ran[id]
		s.mu.Unlock()
	}
	return n
}

// operate sends a configuration as an operator does: to one machine after the other that serves control, again and again,
// until one acknowledges it.
func (f *fleet) operate(document string, until time.Time) bool {
	client := &http.Client{Timeout: time.Second}
	cores, wait := f.cores(), 100*time.Millisecond
	for i := 0; time.Now().Before(until); i++ {
		n := cores[i%len(cores)]
		response, err := client.Post(fmt.Sprintf("http://%s:%d/Configuration.Replace", n.ip, portControl), "application/json", strings.NewReader(document))
		status := 0
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			status = response.StatusCode
		}
		if status != 0 {
			f.record.line("operator: Configuration.Replace at %s: %d", n.name, status)
		} else {
			f.record.line("operator: Configuration.Replace at %s: no answer", n.name)
		}
		if status == http.StatusOK {
			return true
		}
		time.Sleep(wait)
		wait = min(wait*3/2, time.Second)
	}
	return false
}

// readBack asks the machines that serve control for the configuration, as an operator does, and reports whether it came.
func (f *fleet) readBack(most time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for i, until := 0, time.Now().Add(most); time.Now().Before(until); i++ {
		n := f.cores()[i%len(f.cores())]
		response, err := client.Get(fmt.Sprintf("http://%s:%d/Configuration.Get", n.ip, portControl))
		if err != nil {
			f.record.line("operator: Configuration.Get at %s: no answer", n.name)
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		f.record.line("operator: Configuration.Get at %s: %d", n.name, response.StatusCode)
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
