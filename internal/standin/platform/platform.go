// Package platform is a stand-in for the provider, the cloud API of a deployment.
// It has a lagging list of instances, classes with prices, starts that may be
// refused, reclaims in waves with notices, and a rate-limited weight store. The
// engines and services of its instances run inside its own process.
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

// samplesPerLag is the number of samples of the instance list taken per lag.
const samplesPerLag = 2

// Instance is one instance as the platform lists it. TerminatesAt is set while the
// instance is leaving.
type Instance struct {
	ID           string     `json:"id"`
	Address      string     `json:"address"`
	Domain       string     `json:"domain"`
	Class        string     `json:"class"`
	Market       string     `json:"market"`
	Price        float64    `json:"price"` // per hour
	Service      string     `json:"service"`
	Version      string     `json:"version"`
	State        string     `json:"state"`
	TerminatesAt *time.Time `json:"until,omitempty"`
}

// Listing is the answer to GET /instances.
type Listing struct {
	At        time.Time  `json:"at"`
	Instances []Instance `json:"instances"`
}

// Notice announces that an instance will be reclaimed at TerminatesAt.
type Notice struct {
	Seq          uint64    `json:"seq"`
	ID           string    `json:"id"`
	TerminatesAt time.Time `json:"until"`
}

// instanceRecord is an instance with the process that runs on it.
type instanceRecord struct {
	instance   Instance
	process    *process
	started    time.Time
	listedFrom time.Time // time from which the instance is listed
}

// Platform is a running platform with its instances.
type Platform struct {
	settings Settings
	clock    clock.Clock
	host     *hoster.Host
	faults   *faulter.Set
	ledgers  map[string]*servicer.Ledger // by service
	ended    sync.WaitGroup

	mu            sync.Mutex
	random        *rand.Rand
	instances     map[string]*instanceRecord
	startOrder    []string // IDs in the order of their starts
	intents       map[string]Instance
	lastID        int     // number in the ID of the last instance
	startTokens   float64 // token bucket that limits the rate of starts
	refilledAt    time.Time
	samples       []Listing // oldest first; GET /instances answers the oldest
	notices       []Notice
	activeLoads   map[string]bool // loads from the weight store, by instance and version
	serviceFaults map[string][]faulter.Fault
	endedCost     float64 // cost of terminated instances

	endedGenerated, endedComputed uint64 // counts of terminated instances
}

// Start starts the platform and its initial fleets.
func Start(settings Settings, c clock.Clock) (*Platform, error) {
	p := &Platform{
		settings: settings, clock: c,
		faults:        faulter.New(settings.Seed, c.Now),
		ledgers:       make(map[string]*servicer.Ledger),
		random:        rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		instances:     make(map[string]*instanceRecord),
		intents:       make(map[string]Instance),
		activeLoads:   make(map[string]bool),
		serviceFaults: make(map[string][]faulter.Fault),
	}
	p.faults.Put(faulter.Fault{RefuseRate: settings.RefuseRate})
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

// Address returns the listen address of the platform's own interface.
func (p *Platform) Address() netip.AddrPort { return p.host.Address() }

// Instances returns the current instances, without the lag of the list.
func (p *Platform) Instances() []Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listAt(p.clock.Now())
}

// Ledger returns the ledger of a plain service.
func (p *Platform) Ledger(service string) *servicer.Ledger { return p.ledgers[service] }

// Stop stops the platform and its instances. Calls in flight on the instances may
// finish until ctx is done.
func (p *Platform) Stop(ctx context.Context) {
	p.host.Stop(ctx)
	p.ended.Wait()
	p.mu.Lock()
	instances := p.instances
	p.instances = make(map[string]*instanceRecord)
	p.mu.Unlock()
	for _, rec := range instances {
		rec.process.stop(ctx)
	}
}

func (p *Platform) killAll() {
	for _, rec := range p.instances {
		rec.process.kill()
	}
}

// loop samples the instance list periodically, so that the list lags.
func (p *Platform) loop() {
	defer p.ended.Done()
	for clock.Sleep(p.clock, max(p.settings.scaled(p.settings.ListLag)/samplesPerLag, time.Millisecond), p.host.Done()) {
		p.sample()
	}
}

func (p *Platform) sample() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.samples = append(p.samples, Listing{At: now, Instances: p.listAt(now)})
	if len(p.samples) > samplesPerLag {
		p.samples = p.samples[1:]
	}
}

func (p *Platform) listAt(now time.Time) []Instance {
	list := []Instance{}
	for _, id := range p.startOrder {
		rec := p.instances[id]
		if rec == nil || rec.listedFrom.After(now) {
			continue
		}
		i := rec.instance
		if serving := rec.process.serving(); serving != "" {
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

// launch starts an instance. A cold instance starts without weights and is listed
// after the boot time. The caller holds the lock, or is Start.
func (p *Platform) launch(i Instance, port uint16, cold bool) (Instance, error) {
	listen, err := netip.ParseAddrPort(p.settings.Listen)
	if err != nil {
		return i, err
	}
	class, ok := p.settings.class(i.Class, i.Domain, i.Market)
	if !ok {
		return i, fmt.Errorf("%s sells no %s %s", i.Domain, i.Market, i.Class)
	}
	p.lastID++
	i.ID = fmt.Sprintf("%s-%s-%d", i.Domain, i.Service, p.lastID)
	i.Price, i.State = class.Price, stateLive
	proc, err := p.startProcess(i, netip.AddrPortFrom(listen.Addr(), port).String(), cold)
	if err != nil {
		return i, err
	}
	for _, fault := range p.serviceFaults[i.Service] {
		proc.faults.Put(fault)
	}
	i.Address = proc.address.String()
	now := p.clock.Now()
	rec := &instanceRecord{instance: i, process: proc, started: now, listedFrom: now}
	if cold {
		rec.listedFrom = now.Add(p.settings.scaled(p.settings.BootTime))
	}
	p.instances[i.ID] = rec
	p.startOrder = append(p.startOrder, i.ID)
	return i, nil
}

// terminate removes an instance and kills its process.
func (p *Platform) terminate(id string) bool {
	p.mu.Lock()
	rec, ok := p.instances[id]
	if ok {
		p.endedCost += rec.cost(p.clock.Now())
		delete(p.instances, id)
		p.startOrder = slices.DeleteFunc(p.startOrder, func(other string) bool { return other == id })
	}
	p.mu.Unlock()
	if ok {
		rec.process.kill()
		p.addCounts(rec)
	}
	return ok
}

func (p *Platform) addCounts(rec *instanceRecord) {
	generated, computed := rec.process.counts()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedGenerated += generated
	p.endedComputed += computed
}

// Counts returns the number of tokens generated and the number of words and
// tokens prefilled so far. Terminated instances are included.
func (p *Platform) Counts() (generated, computed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	generated, computed = p.endedGenerated, p.endedComputed
	for _, rec := range p.instances {
		g, c := rec.process.counts()
		generated += g
		computed += c
	}
	return generated, computed
}

// Price returns the total price per hour of the instances of a service.
func (p *Platform) Price(service string) float64 {
	sum := 0.0
	for _, i := range p.Instances() {
		if i.Service == service {
			sum += i.Price
		}
	}
	return sum
}

func (rec *instanceRecord) cost(now time.Time) float64 {
	return rec.instance.Price * now.Sub(rec.started).Hours()
}
