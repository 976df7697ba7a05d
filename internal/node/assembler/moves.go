package assembler

import (
	"context"
	"errors"
	"syscall"
	"time"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/coordinator"
	"hyssoprudder/internal/process/journaler"
	"hyssoprudder/internal/version/mover"
)

// isDiskError reports whether an error comes from a disk that may recover, unlike
// damage to the journal.
func isDiskError(err error) bool {
	var damage *journaler.DamageError
	return !errors.As(err, &damage) && (errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EDQUOT))
}

// startMove records a move; the leader's conductor executes it.
func (k *keeperRole) startMove(ctx context.Context, service, version string, within time.Duration) error {
	moves, err := k.proposer.Moves(ctx)
	if err != nil {
		return err
	}
	base, now := uint64(0), k.node.bootClock.Now()
	var previous *mover.State
	for _, m := range moves {
		if m.Service != service {
			continue
		}
		base = m.Number
		if s, err := mover.Decode(m.Body); err == nil {
			previous = &s
		}
	}
	request := mover.Request{Service: service, To: version, Deadline: now.Add(within)}
	state, isNew := mover.Order(k.moveConfig(within), request, previous, now, k.node.settings.Bounds().Acknowledge())
	if !isNew {
		return nil // an operator who got no answer sends the same request again
	}
	body, err := state.Encode()
	if err != nil {
		return err
	}
	result, err := k.proposer.Propose(ctx, applier.Command{MoveSet: &applier.MoveSet{Service: service, Base: base, Body: body}})
	if err == nil && !result.Move.Accepted {
		err = errConcurrentMove
	}
	return err
}

var errConcurrentMove = errors.New("another move of the service was ordered at the same time")

// move returns the state of a service's move, and whether there is one.
func (k *keeperRole) move(ctx context.Context, service string) (mover.State, bool, error) {
	moves, err := k.proposer.Moves(ctx)
	if err != nil {
		return mover.State{}, false, err
	}
	for _, m := range moves {
		if m.Service == service {
			s, err := mover.Decode(m.Body)
			return s.Effective(k.node.bootClock.Now()), true, err
		}
	}
	return mover.State{}, false, nil
}

// moveConfig returns the configuration of a move that has to be decided within a window.
func (k *keeperRole) moveConfig(window time.Duration) mover.Config {
	b := k.node.settings.Bounds()
	return mover.ShortWindowConfig(window, b.Exposure(), b.Exposed())
}

// isCounted reports whether an endpoint counts for the size of its service.
func (k *keeperRole) isCounted(e coordinator.Endpoint) bool {
	for _, m := range k.state.Moves() {
		if m.Service != e.Service {
			continue
		}
		s, err := mover.Decode(m.Body)
		return err != nil || s.IsCounted(e.Version)
	}
	return true
}
