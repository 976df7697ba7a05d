package assembler

import (
	"context"
	"errors"
	"syscall"
	"time"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/journaler"
	"hyssoprudder/internal/version/mover"
)

// moveReserve is the part of the time for a move that is kept for its end: without
// a verdict by then it counts as taken back at every node.
const moveReserve = 0.15

// isDiskError reports whether an error comes from a disk that may work again.
func isDiskError(err error) bool {
	var damage *journaler.DamageError
	return !errors.As(err, &damage) && (errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EDQUOT))
}

// startMove records a move. Until it is carried out, no call goes to the version,
// and the move counts as taken back in time.
func (k *keeperPart) startMove(ctx context.Context, service, version string, within time.Duration) error {
	moves, err := k.proposer.Moves(ctx)
	if err != nil {
		return err
	}
	base := uint64(0)
	now := k.node.clock.Now()
	for _, m := range moves {
		if m.Service != service {
			continue
		}
		base = m.Number
		if s, err := mover.Decode(m.Body); err == nil && s.To == version && !s.Effective(now).Final() {
			return nil // the same order came again
		}
	}
	config := mover.DefaultConfig()
	config.Reserve = time.Duration(moveReserve * float64(within))
	state := mover.Begin(config, mover.Request{Service: service, To: version, By: now.Add(within)}, now, 0)
	body, err := state.Encode()
	if err != nil {
		return err
	}
	result, err := k.proposer.Propose(ctx, applier.Command{MoveSet: &applier.MoveSet{Service: service, Base: base, Body: body}})
	if err == nil && !result.Move.Accepted {
		err = errMoveRaced
	}
	return err
}

var errMoveRaced = errors.New("another move of the service was ordered at the same time")

// move returns the state of a service's move.
func (k *keeperPart) move(ctx context.Context, service string) (mover.State, bool, error) {
	moves, err := k.proposer.Moves(ctx)
	if err != nil {
		return mover.State{}, false, err
	}
	for _, m := range moves {
		if m.Service == service {
			s, err := mover.Decode(m.Body)
			return s.Effective(k.node.clock.Now()), true, err
		}
	}
	return mover.State{}, false, nil
}
