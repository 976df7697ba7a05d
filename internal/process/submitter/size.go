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

// sizeOrderer orders the sizes of services.
type sizeOrderer struct {
	*Submitter
	term     uint64
	services map[string]*sized
}

// sized is one service whose size the system decides.
type sized struct {
	sizer   *sizer.Sizer
	refused uint64
}

func newSizeOrderer(s *Submitter) *sizeOrderer { return &sizeOrderer{Submitter: s} }

func (s *sizeOrderer) run() {
	defer s.group.Done()
	for clock.Sleep(s.config.Clock, tick, s.quit) {
		s.order()
	}
}

func (s *sizeOrderer) order() {
	h, ok := s.act()
	table := s.config.Table()
	if !ok || table == nil {
		return
	}
	if s.term != h.Fence {
		s.term, s.services = h.Fence, make(map[string]*sized)
	}
	for name, service := range table.Services() {
		if service.Capacity != nil {
			s.orderService(h, name, service)
		}
	}
}

func (s *sizeOrderer) orderService(h Holder, name string, service *registrar.Service) {
	state := s.services[name]
	if state == nil {
		state = &sized{sizer: sizer.New()}
		s.services[name] = state
	}
	sight, ok := s.sight(name, service, state)
	if !ok {
		return
	}
	market := &sizer.Market{
		Min: service.Capacity.Min, Max: service.Capacity.Max, Start: service.Capacity.StartupTime,
		Reclaimable: service.Capacity.ReclaimablePriceRatio, Prices: service.Capacity.Prices,
	}
	for _, o := range state.sizer.Decide(market, sight, s.config.Clock.Now()) {
		if !s.send(h, name, state.sizer, o) {
			return
		}
	}
}

// send sends one order and returns whether others may follow.
func (s *sizeOrderer) send(h Holder, service string, state *sizer.Sizer, o sizer.Order) bool {
	if _, ok := s.act(); !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTime)
	defer cancel()
	outcome := s.config.SendSize(ctx, h, Size{Service: service, Domain: o.Group.Domain, Reclaimable: o.Group.Reclaimable, Count: o.Count})
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

// sight returns what the nodes report of a service.
func (s *sizeOrderer) sight(name string, service *registrar.Service, state *sized) (*sizer.Sight, bool) {
	sight := &sizer.Sight{Serving: make(map[sizer.Group]int)}
	if service.Model != nil {
		sight.Slots, sight.Memory = service.Model.Slots, service.Model.KVSize
	}
	known := false
	s.config.Do(func(core *coordinator.Core, _ keeper.Lease, now time.Time) {
		var list []coordinator.Endpoint
		if list, known = core.Endpoints(); !known {
			return
		}
		for _, e := range list {
			if e.Service == name && !e.Leaving && s.config.IsCounted(e) {
				sight.Serving[sizer.Group{Domain: e.Domain, Reclaimable: e.Reclaimable}]++
			}
		}
		for _, l := range core.Under(now) {
			if list[l.Place].Service == name {
				sight.Waiting += int(l.Waiting)
				sight.Calls += int(l.Calls)
				sight.Held += int(l.Held)
			}
		}
		refused := core.Refused(name)
		sight.Refused = refused > state.refused
		state.refused = refused
	})
	return sight, known
}
