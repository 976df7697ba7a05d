// Package measurer compares decisions of the product with simple baselines. It runs
// entries that differ only in the decision under test in front of stand-in engines on
// the loopback interface, and applies the same load to each.
package measurer

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/request/admitter"
	"hyssoprudder/internal/request/router"
	"hyssoprudder/internal/standin/loader"
	"hyssoprudder/internal/standin/platform"
)

const (
	pollInterval   = 500 * time.Millisecond // between polls of the engines by an entry, before scaling
	digestInterval = 200 * time.Millisecond // between exchanges of digests by the entries, before scaling
	stopTimeout    = 10 * time.Second
)

// Arm is one of the compared ways to decide: that of the product or a baseline.
type Arm struct {
	Name      string
	Policy    func() router.Policy
	Admission func(firm *Firm) admitter.Policy // nil admits all calls
	Restart   bool                             // lost streams restart from the prompt instead of resuming
}

// Firm is an example deployment to measure: a fleet and its callers.
type Firm struct {
	Name     string
	Platform platform.Settings
	Load     loader.Settings
	Targets  router.Target
	Service  string // service of the model engines
}

// ReadFirm reads the example of a firm and sets its scale. The load keeps only calls
// to models.
func ReadFirm(directory, name string, scale float64) (*Firm, error) {
	p, err := platform.Read(fmt.Sprintf("%s/%s/platform.toml", directory, name))
	if err != nil {
		return nil, err
	}
	l, err := loader.Read(fmt.Sprintf("%s/%s/load.toml", directory, name))
	if err != nil {
		return nil, err
	}
	f := &Firm{Name: name, Platform: p, Load: l}
	f.Platform.Listen, f.Platform.Scale = "127.0.0.1:0", scale
	for _, service := range p.Services {
		if service.Kind == loader.KindModel {
			f.Service = service.Name
		}
	}
	f.Platform.Fleets = nil
	for _, fleet := range p.Fleets {
		if fleet.Service == f.Service {
			fleet.Port = 0
			f.Platform.Fleets = append(f.Platform.Fleets, fleet)
		}
	}
	f.Load.Scale, f.Load.Calls = scale, nil
	for _, call := range l.Calls {
		if call.Kind == loader.KindModel {
			call.DisconnectRate = 0
			f.Load.Calls = append(f.Load.Calls, call)
		}
		if call.First > 0 {
			f.Targets = router.Target{First: f.Load.Scaled(call.First), Next: f.Load.Scaled(call.Next)}
		}
	}
	return f, nil
}

// site is the deployment of one run: a platform with its engines, and entries.
type site struct {
	firm     *Firm
	arm      Arm
	clock    clock.Clock
	platform *platform.Platform
	entries  []*entry
	tally    *tally
	done     chan struct{}
	ended    sync.WaitGroup
}

func newSite(firm *Firm, arm Arm, seed uint64, c clock.Clock) (*site, error) {
	settings := firm.Platform
	settings.Seed = seed
	p, err := platform.Start(settings, c)
	if err != nil {
		return nil, err
	}
	s := &site{firm: firm, arm: arm, clock: c, platform: p, tally: newTally(), done: make(chan struct{})}
	domains := domainsOf(settings)
	for n := range firm.Load.Entries {
		e, err := newEntry(s, fmt.Sprintf("n%d", n+1), domains[n%len(domains)], seed+uint64(n))
		if err != nil {
			s.stop()
			return nil, err
		}
		s.entries = append(s.entries, e)
	}
	s.ended.Add(1)
	go s.loop()
	return s, nil
}

func domainsOf(settings platform.Settings) []string {
	var domains []string
	seen := make(map[string]bool)
	for _, f := range settings.Fleets {
		if !seen[f.Domain] {
			seen[f.Domain] = true
			domains = append(domains, f.Domain)
		}
	}
	return domains
}

func (s *site) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.firm.Platform.Scale)
}

// loop sends the digest of each entry to the others, in place of gossip.
func (s *site) loop() {
	defer s.ended.Done()
	for clock.Sleep(s.clock, s.scaled(digestInterval), s.done) {
		for _, from := range s.entries {
			now := s.clock.Now()
			digest, err := from.observer.Digest(now)
			if err != nil {
				continue
			}
			for _, to := range s.entries {
				if to != from {
					_ = to.observer.Merge(now, from.id, digest)
				}
			}
		}
	}
}

func (s *site) stop() {
	close(s.done)
	s.ended.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, e := range s.entries {
		e.stop(ctx)
	}
	s.platform.Stop(ctx)
}

// trial describes one load on one site.
type trial struct {
	rate     float64 // requests per second, before scaling
	seed     uint64
	duration time.Duration
	warmUp   time.Duration
	scale    float64
	// injectFaults is called at the start of the load. Nil injects none.
	injectFaults func(ctx context.Context, s *site)
}

// outcome is the result of a trial.
type outcome struct {
	arm         Arm
	trial       trial
	summary     *loader.Summary
	work        work
	machineLoad float64 // load average of the machine over the last minute
}

func run(ctx context.Context, firm *Firm, arm Arm, t trial, c clock.Clock) (*outcome, error) {
	s, err := newSite(firm, arm, t.seed, c)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	load := firm.Load
	load.Rate, load.Seed, load.Duration, load.WarmUp = t.rate/load.Scale, t.seed, t.duration, t.warmUp
	load.Price = s.platform.Price(firm.Service) / load.Scale
	load.Entries = nil
	for _, e := range s.entries {
		load.Entries = append(load.Entries, e.host.Address().String())
	}
	if t.injectFaults != nil {
		t.injectFaults(ctx, s)
	}
	summary, _, err := loader.Run(ctx, load, c)
	if err != nil {
		return nil, err
	}
	generated, computed := s.platform.Counts()
	return &outcome{arm: arm, trial: t, summary: summary, work: s.tally.work(generated, computed), machineLoad: machineLoad()}, nil
}

// machineLoad returns the load average of the last minute, or 0 if it is not
// available.
func machineLoad() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	var load float64
	_, _ = fmt.Sscan(string(text), &load)
	return load
}
