package forwarder

import (
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/registrar"
)

// SetMoves notes which part of the calls of services goes to which version.
func (f *Forwarder) SetMoves(moves []coordinator.Move) {
	if len(moves) == 0 && f.moves.Load() == nil {
		return
	}
	byService := make(map[string]coordinator.Move, len(moves))
	for _, m := range moves {
		byService[m.Service] = m
	}
	f.moves.Store(&byService)
}

// versions returns the only version that a call may go to, or the one that it
// may not; both are empty while a service does not move. point lies between 0
// and 1 and is the same for all attempts of the call.
func (f *Forwarder) versions(service string, kind registrar.Kind, point float64) (wanted, unwanted string) {
	moves := f.moves.Load()
	if moves == nil {
		return "", ""
	}
	m, ok := (*moves)[service]
	if !ok {
		return "", ""
	}
	share := m.Share
	if kind == registrar.Once {
		share = m.Once
	}
	if point < share {
		return m.Version, ""
	}
	return "", m.Version
}
