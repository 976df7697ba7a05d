// Package platform is a stand-in for the cloud platform: a lagging list of
// instances, classes with prices, starts that may be refused, reclaims in waves
// with notices, and a rate-limited weight store. It runs the engines and services
// of its instances inside its own process.
package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/standin/faulter"
	"hyssoprudder/internal/standin/hoster"
	"hyssoprudder/internal/standin/servicer"
)

// The states of an instance.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// samples is the number of samples of the list in one lag.
const samples = 2

// Instance is one instance as the platform lists it.
type Instance struct {
	ID      string     `json:"id"`
	Address string     `json:"address"`
	Domain  string     `json:"domain"`
	Class   string     `json:"class"`
	Market  string     `json:"market"`
	Price   float64    `json:"price"` // per hour
	Service string     `json:"service"`
	Version string     `json:"version"`
	State   string     `json:"state"`
	Until   *time.Time `json:"until,omitempty"`
}

// Listing is the answer to GET /instances.
type Listing struct {
	At        time.Time  `json:"at"`
	Instances []Instance `json:"instances"`
}

// Notice announces that an instance will be reclaimed.
type Notice struct {
	Seq   uint64    `json:"seq"`
	ID    string    `json:"id"`
	Until time.Time `json:"until"`
}

type unit struct {
	instance Instance
	process  *process
	started  time.Time
	listed   time.Time // from when on it is listed
}

// Platform is a running platform with its instances.
type Platform struct {
	settings Settings
	clock    clock.Clock
	host     *hoster.Host
	faults   *faulter.Set
	ledgers  map[string]*servicer.Ledger // by service
	ended    sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	units    map[string]*unit
	order    []string // identities in the order of their starts
	intents  map[string]Instance
	counter  int
	tokens   float64 // starts that may be made at once
	refilled time.Time
	samples  []Listing
	notices  []Notice
	loading  map[string]bool // by instance and version
	faulted  map[string][]faulter.Fault
	spent    float64 // by instances that are gone

	generated, computed uint64 // by instances that are gone
}

// Start runs the platform and its first fleet.
func Start(settings Settings, c clock.Clock) (*Platform, error) {
	p := &Platform{
		settings: settings, clock: c,
		faults:  faulter.New(settings.Seed, c.Now),
		ledgers: make(map[string]*servicer.Ledger),
		random:  rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		units:   make(map[string]*unit),
		intents: make(map[string]Instance),
		loading: make(map[string]bool),
		faulted: make(map[string][]faulter.Fault),
	}
	p.faults.Put(faulter.Fault{RefuseRate: settings.Refuse})
	for _, service := range settings.Services {
		if service.Kind == kindPlain {
			p.ledgers[service.Name] = servicer.NewLedger()
		}
	}
	for _, fleet := range settings.Fleets {
		if err := p.startFleet(fleet); err != nil {
			p.killAll()
			return nil, err
		}
	}
	p.sample()
	host, err := hoster.Listen(settings.Listen, p.handler())
	if err != nil {
		p.killAll()
		return nil, err
	}
	p.host = host
	p.ended.Add(1)
	go p.loop()
	return p, nil
}

// Address returns the address of the platform's own interface.
func (p *Platform) Address() netip.AddrPort { return p.host.Address() }

// Instances returns the instances as they are now, without the lag.
func (p *Platform) Instances() []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list(p.clock.Now())
}

// Ledger returns the record of a plain service.
func (p *Platform) Ledger(service string) *servicer.Ledger { return p.ledgers[service] }

// Stop ends the platform and, gracefully until ctx ends, its instances.
func (p *Platform) Stop(ctx context.Context) {
	p.host.Stop(ctx)
	p.ended.Wait()
	p.mu.Lock()
	units := p.units
	p.units = make(map[string]*unit)
	p.mu.Unlock()
	for _, u := range units {
		u.process.stop(ctx)
	}
}

func (p *Platform) killAll() {
	for _, u := range p.units {
		u.process.kill()
	}
}

// loop samples the list, so that it lags.
func (p *Platform) loop() {
	defer p.ended.Done()
	for clock.Sleep(p.clock, max(p.settings.scaled(p.settings.Lag)/samples, time.Millisecond), p.host.Dead()) {
		p.sample()
	}
}

func (p *Platform) sample() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.samples = append(p.samples, Listing{At: now, Instances: p.list(now)})
	if len(p.samples) > samples {
		p.samples = p.samples[1:]
	}
}

func (p *Platform) list(now time.Time) []Instance {
	list := []Instance{}
	for _, id := range p.order {
		u := p.units[id]
		if u == nil || u.listed.After(now) {
			continue
		}
		i := u.instance
		if serving := u.process.serving(); serving != "" {
			i.Version = serving
		}
		list = append(list, i)
	}
	return list
}

func (p *Platform) startFleet(f Fleet) error {
	for n := range f.Count {
		port := f.Port
		if port > 0 {
			port += uint16(n)
		}
		_, err := p.launch(Instance{
			Service: f.Service, Version: f.Version, Domain: f.Domain, Class: f.Class, Market: f.Market,
		}, port, false)
		if err != nil {
			return fmt.Errorf("fleet of %s: %w", f.Service, err)
		}
	}
	return nil
}

// launch starts an instance. The caller holds the lock, or is Start.
func (p *Platform) launch(i Instance, port uint16, later bool) (Instance, error) {
	listen, err := netip.ParseAddrPort(p.settings.Listen)
	if err != nil {
		return i, err
	}
	class, ok := p.settings.class(i.Class, i.Domain, i.Market)
	if !ok {
		return i, fmt.Errorf("%s sells no %s %s", i.Domain, i.Market, i.Class)
	}
	p.counter++
	i.ID = fmt.Sprintf("%s-%s-%d", i.Domain, i.Service, p.counter)
	i.Price, i.State = class.Price, stateLive
	proc, err := p.start(i, netip.AddrPortFrom(listen.Addr(), port).String(), later)
	if err != nil {
		return i, err
	}
	for _, fault := range p.faulted[i.Service] {
		proc.faults.Put(fault)
	}
	i.Address = proc.address.String()
	now := p.clock.Now()
	u := &unit{instance: i, process: proc, started: now, listed: now}
	if later {
		u.listed = now.Add(p.settings.scaled(p.settings.Boot))
	}
	p.units[i.ID] = u
	p.order = append(p.order, i.ID)
	return i, nil
}

// end takes an instance away and kills what runs on it.
func (p *Platform) end(id string) bool {
	p.mu.Lock()
	u, ok := p.units[id]
	if ok {
		p.spent += u.cost(p.clock.Now())
		delete(p.units, id)
		p.order = slices.DeleteFunc(p.order, func(other string) bool { return other == id })
	}
	p.mu.Unlock()
	if ok {
		u.process.kill()
		p.count(u)
	}
	return ok
}

func (p *Platform) count(u *unit) {
	generated, computed := u.process.counts()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generated += generated
	p.computed += computed
}

// Counts returns the tokens generated and the words and tokens computed for
// prefill so far, by instances that are gone too.
func (p *Platform) Counts() (generated, computed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	generated, computed = p.generated, p.computed
	for _, u := range p.units {
		g, c := u.process.counts()
		generated += g
		computed += c
	}
	return generated, computed
}

// Price returns the price per hour of the instances of a service.
func (p *Platform) Price(service string) float64 {
	sum := 0.0
	for _, i := range p.Instances() {
		if i.Service == service {
			sum += i.Price
		}
	}
	return sum
}

func (u *unit) cost(now time.Time) float64 { return u.instance.Price * now.Sub(u.started).Hours() }
