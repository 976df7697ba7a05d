package platform

import (
	"context"
	"net/netip"
	"time"

	"hyssoprudder/internal/standin/engine"
	"hyssoprudder/internal/standin/faulter"
	"hyssoprudder/internal/standin/servicer"
)

// process is the engine or service that runs on an instance.
type process struct {
	address  netip.AddrPort
	faults   *faulter.Set
	load     func(version string, duration time.Duration)
	loadTime time.Duration // load time of a version, before scaling
	serving  func() string
	counts   func() (generated, computed uint64)
	kill     func()
	stop     func(context.Context)
}

// selfLoadFactor is the factor by which a load takes longer if it was not requested
// from the weight store.
const selfLoadFactor = 5

func (p *Platform) startProcess(i Instance, address string, empty bool) (*process, error) {
	service, _ := p.settings.service(i.Service)
	if service.Kind == kindPlain {
		s, err := servicer.Start(address, p.settings.serviceSpec(service, i), p.ledgers[i.Service], p.clock)
		if err != nil {
			return nil, err
		}
		return &process{
			address: s.Address(), faults: s.Faults(), serving: s.Serving, kill: s.Kill, stop: s.Stop,
			load:   func(string, time.Duration) {},
			counts: func() (uint64, uint64) { return 0, 0 },
		}, nil
	}
	spec := p.settings.engineSpec(service, i)
	spec.Empty = empty
	e, err := engine.Start(address, spec, p.clock)
	if err != nil {
		return nil, err
	}
	if empty {
		e.Load(i.Version, selfLoadFactor*spec.LoadTime)
	}
	return &process{
		address: e.Address(), faults: e.Faults(), serving: e.Serving, kill: e.Kill, stop: e.Stop,
		load: e.Load, loadTime: spec.LoadTime, counts: e.Counts,
	}, nil
}
