package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/BurntSushi/toml"

	"hyssoprudder/internal/process/parser"
)

// Managed are the validated settings of a node of a managed deployment: the provider
// renders the settings file, lists the endpoints and accepts orders for capacity.
type Managed struct {
	file       string
	id         string
	domain     string
	domains    []string
	regions    map[string]string
	roles      []Role
	data       string
	secret     string
	firstStart bool
	rationed   bool
	logLevel   string
	callers    netip.AddrPort
	ready      netip.AddrPort
	nodes      netip.AddrPort
	control    netip.AddrPort
	metrics    netip.AddrPort
	seeds      []netip.AddrPort
	relayed    int
	tolerated  int
	provider   Provider
	bounds     Bounds
	machine    Machine
	limits     ClientLimits
}

// Provider describes the API that lists endpoints and accepts orders for capacity.
type Provider struct {
	address netip.AddrPort
	rate    float64
	lag     time.Duration
	duties  []string
}

// Address returns the address of the provider's API.
func (p Provider) Address() netip.AddrPort { return p.address }

// Rate returns the provider's limit of reads per second, for all nodes together.
func (p Provider) Rate() float64 { return p.rate }

// Lag returns the maximum lag of the provider's list.
func (p Provider) Lag() time.Duration { return p.lag }

// Has reports whether the deployment has to perform a duty for the provider.
func (p Provider) Has(duty string) bool { return slices.Contains(p.duties, duty) }

// File returns the path of the settings file.
func (m *Managed) File() string { return m.file }

// ID returns the id of the node, which is unique in the deployment.
func (m *Managed) ID() string { return m.id }

// Domain returns the failure domain of the node.
func (m *Managed) Domain() string { return m.domain }

// Domains returns all failure domains of the deployment.
func (m *Managed) Domains() []string { return m.domains }

// Regions returns the region of each failure domain, as far as the file states it.
func (m *Managed) Regions() map[string]string { return m.regions }

// Has reports whether the node has the role.
func (m *Managed) Has(role Role) bool { return slices.Contains(m.roles, role) }

// Data returns the folder of the node's durable state. Only keepers have one.
func (m *Managed) Data() string { return m.data }

// Secret returns the deployment's key, by which nodes authenticate to each other.
func (m *Managed) Secret() string { return m.secret }

// Relayed returns the number of entries from which on they report to relays in place of the
// leader.
func (m *Managed) Relayed() int { return m.relayed }

// Tolerated returns the number of keepers that may be lost at once.
func (m *Managed) Tolerated() int { return m.tolerated }

// IsFirstStart reports whether the deployment as a whole starts for the first time.
func (m *Managed) IsFirstStart() bool { return m.firstStart }

// IsRationed reports whether queue times are rationed by priority, customer and size while
// capacity is short.
func (m *Managed) IsRationed() bool { return m.rationed }

// LogLevel returns the minimum level of messages that are logged.
func (m *Managed) LogLevel() string { return m.logLevel }

// Callers returns the address that the node listens on for callers. Only entries have one.
func (m *Managed) Callers() netip.AddrPort { return m.callers }

// Ready returns the address of an entry's readiness probe.
func (m *Managed) Ready() netip.AddrPort { return m.ready }

// Nodes returns the address that the node listens on for other nodes.
func (m *Managed) Nodes() netip.AddrPort { return m.nodes }

// Control returns the address that the node listens on for operators. Only keepers have one.
func (m *Managed) Control() netip.AddrPort { return m.control }

// Metrics returns the address where the node serves metrics, or the zero value.
func (m *Managed) Metrics() netip.AddrPort { return m.metrics }

// Seeds returns the addresses where keepers listen for other nodes.
func (m *Managed) Seeds() []netip.AddrPort { return m.seeds }

// Provider returns the settings of the provider's API.
func (m *Managed) Provider() Provider { return m.provider }

// Bounds returns the guarantees of the deployment.
func (m *Managed) Bounds() Bounds { return m.bounds }

// Machine returns what the machine of the node has.
func (m *Managed) Machine() Machine { return m.machine }

// ClientLimits returns the bounds on what clients make the node hold.
func (m *Managed) ClientLimits() ClientLimits { return m.limits }

// managedFile is the TOML layout of a managed node's settings file.
type managedFile struct {
	ID       value            `toml:"id"`
	Domain   value            `toml:"domain"`
	Domains  value            `toml:"domains"`
	Roles    value            `toml:"roles"`
	Data     value            `toml:"data"`
	Secret   value            `toml:"secret"`
	First    value            `toml:"first"`
	Seeds    value            `toml:"seeds"`
	Relayed  value            `toml:"relayed"`
	Ration   value            `toml:"ration"`
	Tolerate value            `toml:"tolerate"`
	Log      fileLog          `toml:"log"`
	Listen   managedListen    `toml:"listen"`
	Provider fileProvider     `toml:"provider"`
	Bounds   fileBounds       `toml:"bounds"`
	Machine  fileMachine      `toml:"machine"`
	Regions  map[string]value `toml:"regions"`

	Limits fileClientLimits `toml:"limits"`
}

type fileClientLimits struct {
	Memory      value `toml:"memory"`
	Connections value `toml:"connections"`
	Share       value `toml:"share"`
	Grace       value `toml:"grace"`
	Rate        value `toml:"rate"`
	Write       value `toml:"write"`
	Pipelined   value `toml:"pipelined"`
	Fields      value `toml:"fields"`
}

type managedListen struct {
	Callers value `toml:"callers"`
	Ready   value `toml:"ready"`
	Nodes   value `toml:"nodes"`
	Control value `toml:"control"`
	Metrics value `toml:"metrics"`
}

type fileProvider struct {
	Address value `toml:"address"`
	Rate    value `toml:"rate"`
	Lag     value `toml:"lag"`
	Duties  value `toml:"duties"`
}

type fileBounds struct {
	Contact     value `toml:"contact"`
	Acknowledge value `toml:"acknowledge"`
	CatchUp     value `toml:"catchup"`
	Drain       value `toml:"drain"`
	Grace       value `toml:"grace"`
	Change      value `toml:"change"`
	Revoke      value `toml:"revoke"`
	Lease       value `toml:"lease"`
	RetryRatio  value `toml:"retryratio"`
	RetryExtra  value `toml:"retryextra"`
	RetryWindow value `toml:"retrywindow"`
	QuotaWindow value `toml:"quotawindow"`
	QuotaOver   value `toml:"quotaover"`
	QuotaSlack  value `toml:"quotaslack"`
	UsageWindow value `toml:"usagewindow"`
	UsageLate   value `toml:"usagelate"`
	Exposure    value `toml:"exposure"`
	Exposed     value `toml:"exposed"`
	Rollback    value `toml:"rollback"`
	ColdOver    value `toml:"coldover"`
	ColdSlack   value `toml:"coldslack"`
	Evacuation  value `toml:"evacuation"`
}

type fileMachine struct {
	Memory      value `toml:"memory"`
	Descriptors value `toml:"descriptors"`
}

var managedKeys = []string{"id", "domain", "domains", "roles", "data", "secret", "first", "seeds", "relayed", "ration", "tolerate", "log.level",
	"listen.callers", "listen.ready", "listen.nodes", "listen.control", "listen.metrics",
	"provider.address", "provider.rate", "provider.lag", "provider.duties",
	"bounds.contact", "bounds.acknowledge", "bounds.catchup", "bounds.drain", "bounds.grace", "bounds.change", "bounds.revoke", "bounds.lease",
	"bounds.retryratio", "bounds.retryextra", "bounds.retrywindow", "bounds.quotawindow", "bounds.quotaover", "bounds.quotaslack",
	"bounds.usagewindow", "bounds.usagelate", "bounds.exposure", "bounds.exposed", "bounds.rollback", "bounds.coldover", "bounds.coldslack", "bounds.evacuation",
	"machine.memory", "machine.descriptors", "regions",
	"limits.memory", "limits.connections", "limits.share", "limits.grace", "limits.rate", "limits.write", "limits.pipelined", "limits.fields"}

// Defaults of settings that the file omits, and limits of their values.
const (
	defaultContact     = 3 * time.Second
	defaultAcknowledge = 4 * time.Second
	defaultCatchUp     = 4 * time.Second
	defaultDrain       = 3 * time.Second
	defaultGrace       = 8 * time.Second
	defaultChange      = 2 * time.Second
	defaultRevoke      = 5 * time.Second
	defaultLease       = 3 * time.Second
	defaultRetryRatio  = 0.1
	defaultRetryWindow = 10 * time.Second
	defaultQuotaWindow = 8 * time.Second
	defaultUsageWindow = 5 * time.Second
	defaultUsageLate   = 10 * time.Second
	defaultExposure    = 0.1
	defaultRollback    = 5 * time.Second
	defaultColdOver    = 1.0
	defaultEvacuation  = 5 * time.Second
	defaultRate        = 10.0 // reads per second
	defaultRelayed     = 80
	defaultTolerated   = 1
	defaultLag         = time.Second

	maxBound     = time.Hour // maximum of a duration
	maxCount     = 1e12      // maximum of a number
	maxTolerated = 1000

	// No client within the rules reaches these: it sends whole bodies within 20 s, which is faster than
	// defaultBodyRate for all but small ones, and one request at a time; a head of 16,384 bytes has fewer than
	// defaultFields fields.
	defaultShare     = 0.5
	defaultBodyGrace = 3 * time.Second
	defaultBodyRate  = 16_384.0 // bytes per second
	defaultWrite     = 10 * time.Second
	defaultPipelined = 16
	defaultFields    = 5_500

	maxMachineMemory = 1 << 24 // MB
	maxDescriptors   = 1 << 24
)

// LoadManaged reads and validates the settings file of a managed node. The error is
// of type Faults.
func LoadManaged(path string) (*Managed, error) {
	r := &reader{path: path}
	m := r.loadManaged()
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return m, nil
}

func (r *reader) loadManaged() *Managed {
	raw, err := os.ReadFile(r.path)
	if err != nil {
		r.fault("file", "cannot be read: "+err.Error())
		return nil
	}
	var f managedFile
	meta, err := toml.Decode(string(raw), &f)
	if err != nil {
		r.syntaxFault(err)
		return nil
	}
	for _, key := range meta.Undecoded() {
		r.unknownKey(key.String(), managedKeys)
	}
	m := r.managed(&f)
	r.checkManaged(m)
	return m
}

func (r *reader) managed(f *managedFile) *Managed {
	m := &Managed{
		file: r.path, id: r.text("id", f.ID, true), domain: r.text("domain", f.Domain, true),
		domains: r.texts("domains", f.Domains), data: r.filePath(r.text("data", f.Data, false)),
		relayed:   int(r.number("relayed", f.Relayed, defaultRelayed)),
		tolerated: r.count("tolerate", f.Tolerate, defaultTolerated, maxTolerated),
		secret:    r.text("secret", f.Secret, true), firstStart: r.flag("first", f.First), rationed: r.flag("ration", f.Ration), logLevel: r.level(f.Log.Level),
		callers: r.address("listen.callers", f.Listen.Callers, false),
		ready:   r.address("listen.ready", f.Listen.Ready, false),
		nodes:   r.address("listen.nodes", f.Listen.Nodes, true),
		control: r.address("listen.control", f.Listen.Control, false),
		metrics: r.address("listen.metrics", f.Listen.Metrics, false),
		provider: Provider{
			address: r.address("provider.address", f.Provider.Address, false),
			rate:    r.number("provider.rate", f.Provider.Rate, defaultRate),
			lag:     r.bound("provider.lag", f.Provider.Lag, defaultLag),
			duties:  r.texts("provider.duties", f.Provider.Duties),
		},
		bounds: r.bounds(&f.Bounds),
		machine: Machine{
			memory:      int64(r.count("machine.memory", f.Machine.Memory, 0, maxMachineMemory)) << 20,
			descriptors: r.count("machine.descriptors", f.Machine.Descriptors, 0, maxDescriptors),
		},
	}
	m.regions = make(map[string]string, len(f.Regions))
	for domain, v := range f.Regions {
		m.regions[domain] = r.text("regions."+domain, v, false)
	}
	m.limits = r.clientLimits(&f.Limits)
	for _, name := range r.texts("roles", f.Roles) {
		m.roles = append(m.roles, r.role(name))
	}
	for i, seed := range r.texts("seeds", f.Seeds) {
		address := r.address(fmt.Sprintf("seeds[%d]", i), value{raw: seed, set: true}, true)
		// The file lists the seeds' addresses for operators. All nodes use the same port for
		// node-to-node traffic, so this node's port replaces the port for operators.
		m.seeds = append(m.seeds, netip.AddrPortFrom(address.Addr(), m.nodes.Port()))
	}
	return m
}

func (r *reader) clientLimits(f *fileClientLimits) ClientLimits {
	return ClientLimits{
		memory:      int64(r.count("limits.memory", f.Memory, 0, maxMachineMemory)) << 20,
		connections: r.count("limits.connections", f.Connections, 0, maxDescriptors),
		share:       r.number("limits.share", f.Share, defaultShare),
		grace:       r.bound("limits.grace", f.Grace, defaultBodyGrace),
		rate:        r.number("limits.rate", f.Rate, defaultBodyRate),
		write:       r.bound("limits.write", f.Write, defaultWrite),
		pipelined:   r.count("limits.pipelined", f.Pipelined, defaultPipelined, maxDescriptors),
		fields:      r.count("limits.fields", f.Fields, defaultFields, maxDescriptors),
	}
}

func (r *reader) bounds(f *fileBounds) Bounds {
	return Bounds{
		contact:     r.bound("bounds.contact", f.Contact, defaultContact),
		acknowledge: r.bound("bounds.acknowledge", f.Acknowledge, defaultAcknowledge),
		catchUp:     r.bound("bounds.catchup", f.CatchUp, defaultCatchUp),
		drain:       r.bound("bounds.drain", f.Drain, defaultDrain),
		grace:       r.bound("bounds.grace", f.Grace, defaultGrace),
		change:      r.bound("bounds.change", f.Change, defaultChange),
		revoke:      r.bound("bounds.revoke", f.Revoke, defaultRevoke),
		lease:       r.bound("bounds.lease", f.Lease, defaultLease),
		retryRatio:  r.number("bounds.retryratio", f.RetryRatio, defaultRetryRatio),
		retryExtra:  r.number("bounds.retryextra", f.RetryExtra, 0),
		retryWindow: r.bound("bounds.retrywindow", f.RetryWindow, defaultRetryWindow),
		quotaWindow: r.bound("bounds.quotawindow", f.QuotaWindow, defaultQuotaWindow),
		quotaOver:   r.number("bounds.quotaover", f.QuotaOver, 0),
		quotaSlack:  r.number("bounds.quotaslack", f.QuotaSlack, 0),
		usageWindow: r.bound("bounds.usagewindow", f.UsageWindow, defaultUsageWindow),
		usageLate:   r.bound("bounds.usagelate", f.UsageLate, defaultUsageLate),
		exposure:    r.number("bounds.exposure", f.Exposure, defaultExposure),
		exposed:     r.number("bounds.exposed", f.Exposed, 0),
		rollback:    r.bound("bounds.rollback", f.Rollback, defaultRollback),
		coldOver:    r.number("bounds.coldover", f.ColdOver, defaultColdOver),
		coldSlack:   r.number("bounds.coldslack", f.ColdSlack, 0),
		evacuation:  r.bound("bounds.evacuation", f.Evacuation, defaultEvacuation),
	}
}

func (r *reader) bound(key string, v value, fallback time.Duration) time.Duration {
	return r.duration(key, v, fallback, 0, maxBound)
}

// number reads a number that is not negative. It need not be an integer.
func (r *reader) number(key string, v value, fallback float64) float64 {
	if !v.set {
		return fallback
	}
	var n float64
	switch raw := v.raw.(type) {
	case int64:
		n = float64(raw)
	case float64:
		n = raw
	default:
		r.fault(key, fmt.Sprintf("must be a number, not %v", v.raw))
		return fallback
	}
	if n < 0 || n > maxCount {
		r.fault(key, fmt.Sprintf("%v is out of range; choose from 0 to %g", n, maxCount))
	}
	return n
}

// count reads an integer from 0 to limit.
func (r *reader) count(key string, v value, fallback, limit int) int {
	if !v.set {
		return fallback
	}
	n, ok := v.raw.(int64)
	if !ok || n < 0 || n > int64(limit) {
		r.fault(key, fmt.Sprintf("must be an integer from 0 to %d, not %v", limit, v.raw))
		return fallback
	}
	return int(n)
}

// checkManaged validates settings that depend on each other.
func (r *reader) checkManaged(m *Managed) {
	if m.domain != "" && len(m.domains) > 0 && !slices.Contains(m.domains, m.domain) {
		r.fault("domain", fmt.Sprintf("%q is not in domains; add it there", m.domain))
	}
	for _, domain := range slices.Sorted(maps.Keys(m.regions)) {
		if !slices.Contains(m.domains, domain) {
			r.fault("regions."+domain, "is not in domains; add it there")
		}
	}
	if len(m.roles) == 0 {
		r.fault("roles", `is needed; for example ["entry"]`)
	}
	if m.limits.share > 1 {
		r.fault("limits.share", fmt.Sprintf("%v is out of range; choose from 0 to 1", m.limits.share))
	}
	if m.Has(RoleEntry) && (!m.callers.IsValid() || !m.ready.IsValid()) {
		r.fault("listen", `callers and ready are needed on a node with the role "entry"`)
	}
	if m.Has(RoleKeeper) && !m.control.IsValid() {
		r.fault("listen.control", `is needed on a node with the role "keeper"`)
	}
	if len(m.seeds) == 0 {
		r.fault("seeds", "is needed; name keepers by where they serve operators")
	}
	if m.Has(RoleKeeper) && m.data == "" {
		r.fault("data", `is needed on a node with the role "keeper"; name a folder on its disk`)
	}
}

func (r *reader) unknownKey(key string, known []string) {
	want := "is not a known name; remove it"
	if near := parser.Nearest(key, known); near != "" {
		want = fmt.Sprintf("is not a known name; did you mean %q?", near)
	}
	r.fault(key, want)
}
