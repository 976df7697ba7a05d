package keeper

import (
	"context"
	"fmt"
	"time"

	"hyssoprudder/internal/process/applier"
)

// proposal is a group of commands that are appended together.
type proposal struct {
	commands    [][]byte
	done        chan error
	results     []applier.Result
	pending     int
	overwritten int
}

// waiter is one command of a proposal that waits for its entry to be committed.
type waiter struct {
	proposal *proposal
	position int
	term     uint64
}

// resolve records the result of the command at position. own is false if another leader's entry
// was committed in place of the command.
func (p *proposal) resolve(position int, own bool, result applier.Result) {
	p.pending--
	if own {
		p.results[position] = result
	} else {
		p.overwritten++
	}
	if p.pending > 0 {
		return
	}
	switch p.overwritten {
	case 0:
		p.finish(nil)
	case len(p.results):
		p.finish(ErrOverwritten)
	default:
		p.finish(ErrUnknown) // some commands were executed
	}
}

func (p *proposal) finish(err error) {
	select {
	case p.done <- err:
	default:
	}
}

// Propose appends a command and waits until it is executed. After ErrUnknown, or if ctx ends,
// the command may be executed later; after any other error it was not appended.
func (k *Keeper) Propose(ctx context.Context, c applier.Command) (applier.Result, error) {
	results, err := k.ProposeAll(ctx, []applier.Command{c})
	if err != nil {
		return applier.Result{}, err
	}
	return results[0], nil
}

// ProposeAll appends commands as one group. Its errors are those of Propose.
func (k *Keeper) ProposeAll(ctx context.Context, commands []applier.Command) ([]applier.Result, error) {
	if len(commands) == 0 {
		return nil, nil
	}
	view := k.view()
	if view.role != RoleLeader {
		return nil, k.notLeader()
	}
	p := &proposal{
		commands: make([][]byte, len(commands)), results: make([]applier.Result, len(commands)),
		pending: len(commands), done: make(chan error, 1),
	}
	at := k.config.Clock.Now().Add(view.clusterTimeOffset).UnixNano()
	for i, c := range commands {
		c.At = at
		data, err := c.Encode()
		if err != nil {
			return nil, fmt.Errorf("encode command: %w", err)
		}
		p.commands[i] = data
	}
	select {
	case k.proposals <- p:
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: the context ended before the proposal was appended", ErrBusy)
	case <-k.done:
		return nil, k.stopped()
	}
	return k.await(ctx, p)
}

func (k *Keeper) await(ctx context.Context, p *proposal) ([]applier.Result, error) {
	select {
	case err := <-p.done:
		if err != nil {
			return nil, err
		}
		return p.results, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUnknown, ctx.Err())
	case <-k.done:
	}
	select {
	case err := <-p.done:
		if err == nil {
			return p.results, nil
		}
		return nil, err
	default:
		return nil, fmt.Errorf("%w: %w", ErrUnknown, k.stopped())
	}
}

// propose appends a group of proposals.
func (k *Keeper) propose(now time.Time, group []*proposal) {
	if len(group) == 0 {
		return
	}
	var commands [][]byte
	for _, p := range group {
		commands = append(commands, p.commands...)
	}
	index, term, ok := k.core.Propose(now, commands)
	for _, p := range group {
		if !ok {
			p.finish(k.notLeader())
			continue
		}
		for i := range p.commands {
			k.waiting[index] = waiter{proposal: p, position: i, term: term}
			index++
		}
		p.commands = nil
	}
}

// Read waits until this keeper, as leader, has executed everything that was committed when Read
// was called.
func (k *Keeper) Read(ctx context.Context) error {
	if !k.isLeader() {
		return k.notLeader()
	}
	r := make(chan error, 1)
	select {
	case k.readers <- r:
	case <-ctx.Done():
		return ctx.Err()
	case <-k.done:
		return k.stopped()
	}
	select {
	case err := <-r:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-k.done:
		return k.stopped()
	}
}

// read passes a group of readers to the core as one read.
func (k *Keeper) read(now time.Time, group []chan error) {
	if len(group) == 0 {
		return
	}
	k.lastReadID++
	k.pendingReads[k.lastReadID] = group
	k.core.Read(now, k.lastReadID)
}

func (k *Keeper) finishRead(r ReadDone) {
	var err error
	if !r.OK {
		err = k.notLeader()
	}
	for _, ch := range k.pendingReads[r.ID] {
		ch <- err
	}
	delete(k.pendingReads, r.ID)
}

// Fence commits a new fencing number for holder.
func (k *Keeper) Fence(ctx context.Context, holder string) (applier.Fence, error) {
	result, err := k.Propose(ctx, applier.Command{FenceNext: &applier.FenceNext{Holder: holder}})
	if err != nil {
		return applier.Fence{}, err
	}
	return *result.Fence, nil
}
