package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

const (
	defaultBody      = 4 << 20
	defaultHeader    = 32 << 10
	defaultBuffer    = 1 << 20
	defaultStreams   = 10000
	defaultIdle      = 2 * time.Minute
	defaultRead      = 10 * time.Second
	defaultStop      = 30 * time.Second
	defaultLame      = 3 * time.Second
	defaultFreshness = 10 * time.Second
	defaultPoll      = time.Second
)

// Fault is one fault in a settings file.
type Fault struct {
	// File is the path of the file.
	File string
	// Key is the faulty key, "line N" if the file is not valid TOML, or "file" if it
	// cannot be read.
	Key string
	// Want says what was expected and what to do.
	Want string
}

// Error returns the fault as one line of text.
func (f Fault) Error() string { return f.File + ": " + f.Key + ": " + f.Want }

// Faults are all faults that were found.
type Faults []Fault

// Error returns one line of text for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates one settings file. Relative paths in it are resolved
// against the folder of the file. The error is of type Faults.
func Load(path string) (*Settings, error) {
	r := &reader{path: path}
	s := r.load()
	if len(r.faults) > 0 {
		return nil, r.faults
	}
	return s, nil
}

// LoadAll loads the settings files of several nodes of one deployment and checks
// that they are consistent: ids and addresses must differ, firm and keepers must
// be the same.
func LoadAll(paths []string) ([]*Settings, error) {
	var faults Faults
	var all []*Settings
	for _, path := range paths {
		r := &reader{path: path}
		s := r.load()
		faults = append(faults, r.faults...)
		if s != nil {
			all = append(all, s)
		}
	}
	faults = append(faults, checkConsistency(all)...)
	if len(faults) > 0 {
		return nil, faults
	}
	return all, nil
}

func checkConsistency(all []*Settings) Faults {
	var faults Faults
	ids := make(map[string]string)
	addresses := make(map[netip.AddrPort]string)
	for _, s := range all {
		if other, twice := ids[s.id]; twice && s.id != "" {
			faults = append(faults, Fault{s.file, "id", fmt.Sprintf("%q is the id of %s too; give each node its own", s.id, other)})
		}
		ids[s.id] = s.file
		for _, a := range []netip.AddrPort{s.callers, s.nodes, s.operators} {
			if other, twice := addresses[a]; twice && a.IsValid() && a.Port() != 0 {
				faults = append(faults, Fault{s.file, "listen", fmt.Sprintf("%s is used in %s too; choose another port", a, other)})
			}
			addresses[a] = s.file
		}
		if s.firm != all[0].firm {
			faults = append(faults, Fault{s.file, "firm", fmt.Sprintf("%q, but %s has %q; a deployment serves one firm", s.firm, all[0].file, all[0].firm)})
		}
		if !slices.Equal(s.keepers, all[0].keepers) {
			faults = append(faults, Fault{s.file, "keepers", "differ from those in " + all[0].file + "; name the same in every file"})
		}
	}
	return faults
}

// reader reads one file and collects its faults.
type reader struct {
	path   string
	faults Faults
}

func (r *reader) fault(key, want string) {
	r.faults = append(r.faults, Fault{r.path, key, want})
}

func (r *reader) load() *Settings {
	raw, err := os.ReadFile(r.path)
	if err != nil {
		r.fault("file", "cannot be read: "+err.Error())
		return nil
	}
	var f file
	meta, err := toml.Decode(string(raw), &f)
	if err != nil {
		r.syntaxFault(err)
		return nil
	}
	for _, key := range meta.Undecoded() {
		r.unknownKey(key.String(), knownKeys)
	}
	s := r.settings(&f)
	r.check(s)
	return s
}

func (r *reader) syntaxFault(err error) {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		r.fault(fmt.Sprintf("line %d", parse.Position.Line), parse.Message+"; see examples/ for a whole file")
		return
	}
	r.fault("file", err.Error())
}

var knownKeys = []string{"id", "firm", "region", "domain", "domains", "cell", "roles", "data", "key", "token", "seeds", "platform", "drill",
	"listen.callers", "listen.nodes", "listen.operators", "tls.cert", "tls.key", "log.level", "keepers.id", "keepers.address",
	"limits.body", "limits.header", "limits.buffer", "limits.idle", "limits.read", "limits.stop", "limits.lame",
	"limits.freshness", "limits.poll", "limits.streams"}

func (r *reader) settings(f *file) *Settings {
	s := &Settings{
		file:      r.path,
		id:        r.text("id", f.ID, true),
		firm:      r.text("firm", f.Firm, true),
		region:    r.text("region", f.Region, false),
		domain:    r.text("domain", f.Domain, true),
		domains:   r.texts("domains", f.Domains),
		cell:      r.text("cell", f.Cell, false),
		data:      r.filePath(r.text("data", f.Data, false)),
		key:       r.filePath(r.text("key", f.Key, true)),
		token:     r.filePath(r.text("token", f.Token, true)),
		callers:   r.address("listen.callers", f.Listen.Callers, false),
		nodes:     r.address("listen.nodes", f.Listen.Nodes, true),
		operators: r.address("listen.operators", f.Listen.Operators, true),
		cert:      r.filePath(r.text("tls.cert", f.TLS.Cert, false)),
		certKey:   r.filePath(r.text("tls.key", f.TLS.Key, false)),
		platform:  r.address("platform", f.Platform, false),
		logLevel:  r.level(f.Log.Level),
		drill:     r.flag("drill", f.Drill),
		limits:    r.limits(&f.Limits),
	}
	for _, name := range r.texts("roles", f.Roles) {
		s.roles = append(s.roles, r.role(name))
	}
	for i, seed := range r.texts("seeds", f.Seeds) {
		s.seeds = append(s.seeds, r.address(fmt.Sprintf("seeds[%d]", i), value{raw: seed, set: true}, true))
	}
	for i, k := range f.Keepers {
		key := fmt.Sprintf("keepers[%d]", i)
		s.keepers = append(s.keepers, Keeper{
			name:    r.text(key+".id", k.ID, true),
			address: r.address(key+".address", k.Address, true),
		})
	}
	return s
}

func (r *reader) limits(f *fileLimits) Limits {
	return Limits{
		body:      int64(r.integer("limits.body", f.Body, defaultBody, 1, 1<<30)),
		header:    r.integer("limits.header", f.Header, defaultHeader, 1<<10, 1<<20),
		buffer:    int64(r.integer("limits.buffer", f.Buffer, defaultBuffer, 1<<10, 1<<30)),
		streams:   r.integer("limits.streams", f.Streams, defaultStreams, 1, 1e6),
		idle:      r.duration("limits.idle", f.Idle, defaultIdle, time.Second, time.Hour),
		read:      r.duration("limits.read", f.Read, defaultRead, 100*time.Millisecond, 10*time.Minute),
		stop:      r.duration("limits.stop", f.Stop, defaultStop, time.Second, time.Hour),
		lame:      r.duration("limits.lame", f.Lame, defaultLame, 0, time.Minute),
		freshness: r.duration("limits.freshness", f.Freshness, defaultFreshness, time.Second, 11*time.Second),
		poll:      r.duration("limits.poll", f.Poll, defaultPoll, 50*time.Millisecond, time.Minute),
	}
}

// check validates settings that depend on each other, and the files they name.
func (r *reader) check(s *Settings) {
	if s.domain != "" && len(s.domains) > 0 && !slices.Contains(s.domains, s.domain) {
		r.fault("domain", fmt.Sprintf("%q is not in domains; use one of %s", s.domain, strings.Join(s.domains, ", ")))
	}
	if len(s.roles) == 0 {
		r.fault("roles", `is needed; for example ["entry"]`)
	}
	if s.Has(RoleEntry) && !s.callers.IsValid() {
		r.fault("listen.callers", `is needed on a node with the role "entry"; for example "127.0.0.1:8080"`)
	}
	if (s.cert == "") != (s.certKey == "") {
		r.fault("tls", "cert and key go together; name both or neither")
	}
	if len(s.keepers) == 0 {
		r.fault("keepers", "is needed; name the nodes that hold the replicated state")
	}
	r.checkKeepers(s)
	if s.Has(RoleKeeper) {
		r.checkData(s.data)
	}
	r.checkReadable("key", s.key)
	r.checkReadable("token", s.token)
	r.checkReadable("tls.cert", s.cert)
	r.checkReadable("tls.key", s.certKey)
}

func (r *reader) checkKeepers(s *Settings) {
	listed := false
	seen := make(map[string]bool)
	for _, k := range s.keepers {
		if seen[k.name] {
			r.fault("keepers", fmt.Sprintf("%q is named twice; give each keeper its own id", k.name))
		}
		seen[k.name] = true
		listed = listed || k.name == s.id
	}
	if s.Has(RoleKeeper) && len(s.keepers) > 0 && !listed {
		r.fault("keepers", fmt.Sprintf("does not name this node, %q, which has the role \"keeper\"; add it", s.id))
	}
}

func (r *reader) checkData(folder string) {
	if folder == "" {
		r.fault("data", `is needed on a node with the role "keeper"; name a folder on its disk`)
		return
	}
	existing := folder
	for {
		info, err := os.Stat(existing)
		if err == nil && !info.IsDir() {
			r.fault("data", existing+" is not a folder; name another")
			return
		}
		if err == nil {
			break
		}
		if existing == filepath.Dir(existing) {
			break
		}
		existing = filepath.Dir(existing)
	}
	probe, err := os.CreateTemp(existing, ".check-*")
	if err != nil {
		r.fault("data", folder+" cannot be written; change its owner or name another")
		return
	}
	probe.Close()
	if err := os.Remove(probe.Name()); err != nil {
		r.fault("data", err.Error())
	}
}

func (r *reader) checkReadable(key, path string) {
	if path == "" {
		return
	}
	f, err := os.Open(path)
	if err != nil {
		r.fault(key, "cannot be read: "+err.Error())
		return
	}
	f.Close()
}
