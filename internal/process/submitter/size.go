package submitter

import (
	"context"
	"time"

	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/keeper"
	"hyssoprudder/internal/process/registrar"
	"hyssoprudder/internal/process/sizer"
)

// leavingLag is how long the provider may take to list an endpoint as leaving that said so
// itself. Afterwards the provider is taken to count it as serving.
const leavingLag = 3 * time.Second

// sizeManager orders the sizes of services.
type sizeManager struct {
	*Submitter
	term     uint64
	services map[string]*serviceState
}

// serviceState is the state of one service whose size the system decides.
type serviceState struct {
	sizer   *sizer.Sizer
	refused uint64
}

func newSizeManager(s *Submitter) *sizeManager { return &sizeManager{Submitter: s} }

func (s *sizeManager) run() {
	defer s.group.Done()
	for clock.Sleep(s.config.Clock, dutyInterval, s.quit) {
		s.orderAll()
	}
}

func (s *sizeManager) orderAll() {
	h, ok := s.acquire()
	table := s.config.Table()
	if !ok || table == nil {
		return
	}
	if s.term != h.Fence {
		s.term, s.services = h.Fence, make(map[string]*serviceState)
	}
	var evacuated []string
	if s.config.Evacuated != nil {
		evacuated = s.config.Evacuated()
	}
	suffices := true
	for name, service := range table.Services() {
		if service.Capacity != nil {
			suffices = s.orderService(h, name, service, evacuated) && suffices
		}
	}
	if suffices && len(evacuated) > 0 {
		s.config.Do(func(core *coordinator.Core, _ keeper.Lease, now time.Time) { core.SetSpare(evacuated, now) })
	}
}

// orderService orders what the service needs. It reports whether as many instances as it needs
// serve outside of the evacuated domains.
func (s *sizeManager) orderService(h Holder, name string, service *registrar.Service, evacuated []string) bool {
	state := s.services[name]
	if state == nil {
		state = &serviceState{sizer: sizer.New()}
		s.services[name] = state
	}
	obs, ok := s.observe(name, service, state, evacuated)
	if !ok {
		return false
	}
	market := &sizer.Market{
		Min: service.Capacity.Min, Max: service.Capacity.Max, StartupTime: service.Capacity.StartupTime,
		ReclaimablePriceRatio: service.Capacity.ReclaimablePriceRatio, Prices: service.Capacity.Prices,
	}
	for _, o := range state.sizer.Decide(market, obs, s.config.Clock.Now()) {
		if !s.send(h, name, state.sizer, o) {
			break
		}
	}
	return state.sizer.Suffices(obs)
}

// send sends one order and reports whether more may follow.
func (s *sizeManager) send(h Holder, service string, state *sizer.Sizer, o sizer.Order) bool {
	if _, ok := s.acquire(); !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	outcome := s.config.SendSize(ctx, h, SizeOrder{Service: service, Domain: o.Group.Domain, Reclaimable: o.Group.Reclaimable, Count: o.Count})
	now := s.config.Clock.Now()
	fields := []any{"service", service, "domain", o.Group.Domain, "reclaimable", o.Group.Reclaimable, "count", o.Count, "size", state.Size(), "fence", h.Fence}
	switch outcome.Kind {
	case Done:
		state.Accepted(o, now)
		s.config.Log.Info("capacity ordered", fields...)
	case Conflict:
		state.Unavailable(o, now)
		s.config.Log.Warn("capacity not to be had; asking elsewhere", append(fields, "detail", outcome.Detail)...)
	default:
		s.config.Log.Warn("capacity not ordered; trying again", append(fields, "detail", outcome.Detail)...)
		return false
	}
	return true
}

// observe returns the state of a service as the nodes report it.
func (s *sizeManager) observe(name string, service *registrar.Service, state *serviceState, evacuated []string) (*sizer.Observation, bool) {
	obs := &sizer.Observation{
		Serving: make(map[sizer.Group]int), Unusable: make(map[sizer.Group]int),
		Evacuated: make(map[string]int), EvacuatedInstances: make(map[sizer.Group]int),
	}
	for _, domain := range evacuated {
		obs.Evacuated[domain] = 0
	}
	if service.Model != nil {
		obs.Slots, obs.KVSize = service.Model.Slots, service.Model.KVSize
	}
	known := false
	s.config.Do(func(core *coordinator.Core, _ keeper.Lease, now time.Time) {
		var list []coordinator.Endpoint
		if list, known = core.Endpoints(); !known {
			return
		}
		paused := core.PausedLonger(service.Capacity.StartupTime, now)
		for position, e := range list {
			if e.Service != name || e.Leaving || !s.config.IsCounted(e) {
				continue
			}
			g := sizer.Group{Domain: e.Domain, Reclaimable: e.Reclaimable}
			_, isEvacuated := obs.Evacuated[e.Domain]
			switch {
			case isEvacuated:
				obs.EvacuatedInstances[g]++
			case paused[position], core.LeavingFor(&e, now) > leavingLag:
				obs.Unusable[g]++
			case e.LeavingSince == 0:
				obs.Serving[g]++
			}
		}
		for _, l := range core.TotalLoads(now) {
			if e := list[l.Position]; e.Service == name {
				if _, isEvacuated := obs.Evacuated[e.Domain]; isEvacuated {
					obs.Evacuated[e.Domain] += int(l.InFlight)
				}
				obs.Waiting += int(l.Waiting)
				obs.InFlight += int(l.InFlight)
				obs.KVTokens += int(l.KVTokens)
			}
		}
		refused := core.Refused(name)
		obs.Refused = refused > state.refused
		state.refused = refused
	})
	return obs, known
}
