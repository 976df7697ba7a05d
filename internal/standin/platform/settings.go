package platform

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/BurntSushi/toml"

	"hyssoprudder/internal/standin/engine"
	"hyssoprudder/internal/standin/servicer"
)

// The kinds of services.
const (
	kindModel = "model"
	kindPlain = "plain"
)

// Settings describes the platform and its initial fleets. Scale is applied to all
// durations.
type Settings struct {
	Listen           string        `toml:"listen"`
	Scale            float64       `toml:"scale"`
	Seed             uint64        `toml:"seed"`
	ListLag          time.Duration `toml:"lag"`    // age of the instance list
	BootTime         time.Duration `toml:"boot"`   // time from a start until the instance is listed
	StartRate        float64       `toml:"rate"`   // maximum number of starts per second
	RefuseRate       float64       `toml:"refuse"` // fraction of the starts that is refused
	MaxLoads         int           `toml:"loads"`  // maximum number of concurrent loads from the weight store
	NoticeDelay      time.Duration `toml:"late"`   // minimum delay of notices
	RepeatNoticeRate float64       `toml:"twice"`  // fraction of the notices that is sent twice
	Services         []Service     `toml:"service"`
	Machines         []Machine     `toml:"machine"`
	Classes          []Class       `toml:"class"`
	Fleets           []Fleet       `toml:"fleet"`
}

// Service describes what the instances of one service run.
type Service struct {
	Name     string        `toml:"name"`
	Kind     string        `toml:"kind"`
	LoadTime time.Duration `toml:"load"`  // time to load the weights of a version of a model
	Fence    bool          `toml:"fence"` // engines refuse orders with an old fencing number
	CallTime time.Duration `toml:"took"`  // execution time of one call of a plain service
	// StatusPath is the path prefix of the status requests of a plain service.
	StatusPath string `toml:"status"`
}

// Machine describes the performance of an engine on a class of machines.
type Machine struct {
	Class       string  `toml:"class"`
	Slots       int     `toml:"slots"`
	PrefillRate float64 `toml:"prefill"`
	DecodeRate  float64 `toml:"decode"`
	Chunk       int     `toml:"chunk"` // maximum number of words prefilled in one step
	Cache       int     `toml:"cache"`
}

// Class is a class of machines as it is sold in one domain and market.
type Class struct {
	Class  string  `toml:"class" json:"class"`
	Domain string  `toml:"domain" json:"domain"`
	Market string  `toml:"market" json:"market"`
	Price  float64 `toml:"price" json:"price"` // per hour
}

// Fleet is a number of identical instances that run from the start.
type Fleet struct {
	Service string `toml:"service"`
	Version string `toml:"version"`
	Domain  string `toml:"domain"`
	Class   string `toml:"class"`
	Market  string `toml:"market"`
	Count   int    `toml:"count"`
	Port    uint16 `toml:"port"` // port of the first instance; 0 means any free ports
}

// Read reads settings from a TOML file.
func Read(path string) (Settings, error) {
	s := Settings{
		Scale: 1, Seed: 1, ListLag: 2 * time.Second, BootTime: 4 * time.Second, StartRate: 2, MaxLoads: 2,
	}
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return s, fmt.Errorf("%s: unknown key %s", path, unknown[0])
	}
	if err := Check(s); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Check returns all errors of the settings.
func Check(s Settings) error {
	var errs []error
	if _, err := netip.ParseAddrPort(s.Listen); err != nil {
		errs = append(errs, fmt.Errorf("listen: %w", err))
	}
	for _, service := range s.Services {
		if service.Kind != kindModel && service.Kind != kindPlain {
			errs = append(errs, fmt.Errorf("service %s: kind is %q, want model or plain", service.Name, service.Kind))
		}
	}
	for _, f := range s.Fleets {
		if _, ok := s.class(f.Class, f.Domain, f.Market); !ok {
			errs = append(errs, fmt.Errorf("fleet of %s: %s sells no %s %s", f.Service, f.Domain, f.Market, f.Class))
		}
		if _, ok := s.service(f.Service); !ok {
			errs = append(errs, fmt.Errorf("fleet of %s: no such service", f.Service))
		}
	}
	return errors.Join(errs...)
}

func (s Settings) class(name, domain, market string) (Class, bool) {
	for _, c := range s.Classes {
		if c.Class == name && c.Domain == domain && c.Market == market {
			return c, true
		}
	}
	return Class{}, false
}

func (s Settings) service(name string) (Service, bool) {
	for _, service := range s.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

func (s Settings) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.Scale)
}

func (s Settings) engineSpec(service Service, i Instance) engine.Spec {
	spec := engine.Defaults()
	spec.ID, spec.Service, spec.Version, spec.Domain = i.ID, i.Service, i.Version, i.Domain
	spec.Scale, spec.Seed, spec.Fence = s.Scale, s.Seed, service.Fence
	if service.LoadTime > 0 {
		spec.LoadTime = service.LoadTime
	}
	for _, m := range s.Machines {
		if m.Class == i.Class {
			spec.Slots, spec.PrefillRate, spec.DecodeRate, spec.Chunk, spec.Cache = m.Slots, m.PrefillRate, m.DecodeRate, m.Chunk, m.Cache
		}
	}
	return spec
}

func (s Settings) serviceSpec(service Service, i Instance) servicer.Spec {
	spec := servicer.Defaults()
	spec.ID, spec.Service, spec.Version, spec.Domain = i.ID, i.Service, i.Version, i.Domain
	spec.Scale, spec.Seed = s.Scale, s.Seed
	if service.CallTime > 0 {
		spec.CallTime = service.CallTime
	}
	if service.StatusPath != "" {
		spec.StatusPath = service.StatusPath
	}
	return spec
}
