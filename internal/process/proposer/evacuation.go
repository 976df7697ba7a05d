package proposer

import (
	"context"
	"errors"
	"slices"

	"hyssoprudder/internal/process/applier"
)

// ErrUnsupported means that the leader runs a release that does not execute the command.
var ErrUnsupported = errors.New("the leader does not support the command")

// SetEvacuated starts or ends the evacuation of a failure domain. It returns the domain's state once
// that is committed. The command carries the number of the state that it was given for, so that a
// delayed copy of it changes nothing. A domain that is in the wanted state stays as it is.
func (p *Proposer) SetEvacuated(ctx context.Context, domain string, evacuated bool) (applier.Evacuation, error) {
	list, err := p.Evacuations(ctx)
	if err != nil {
		return applier.Evacuation{}, err
	}
	current := applier.Evacuation{Domain: domain}
	if i := slices.IndexFunc(list, func(e applier.Evacuation) bool { return e.Domain == domain }); i >= 0 {
		current = list[i]
	}
	if current.Evacuated == evacuated {
		return current, nil
	}
	result, err := p.Propose(ctx, applier.Command{EvacuationSet: &applier.EvacuationSet{
		Domain: domain, Evacuated: evacuated, Base: current.Number,
	}})
	if err != nil {
		return applier.Evacuation{}, err
	}
	if result.Evacuation == nil {
		return applier.Evacuation{}, ErrUnsupported
	}
	return *result.Evacuation, nil
}
