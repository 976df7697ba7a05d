package proposer

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
	"hyssoprudder/internal/process/keeper"
)

// Rules returns the newest committed revision of the rules.
func (p *Proposer) Rules(ctx context.Context) (applier.Revision, error) {
	reply, err := p.read(ctx, keeper.ReadArgs{Rules: true})
	return reply.Rules, err
}

// Ruleset returns the newest committed ruleset that was submitted with a number of its own; its
// Number is 0 if there is none.
func (p *Proposer) Ruleset(ctx context.Context) (applier.Ruleset, error) {
	reply, err := p.read(ctx, keeper.ReadArgs{Ruleset: true})
	return reply.Ruleset, err
}

// History returns the retained revisions of the rules, oldest first.
func (p *Proposer) History(ctx context.Context) ([]applier.Revision, error) {
	reply, err := p.read(ctx, keeper.ReadArgs{History: true})
	return reply.History, err
}

// Moves returns the states of all version moves.
func (p *Proposer) Moves(ctx context.Context) ([]applier.Move, error) {
	reply, err := p.read(ctx, keeper.ReadArgs{Moves: true})
	return reply.Moves, err
}

// Intents returns all capacity intents.
func (p *Proposer) Intents(ctx context.Context) ([]applier.Intent, error) {
	reply, err := p.read(ctx, keeper.ReadArgs{Intents: true})
	return reply.Intents, err
}

// Evacuations returns the evacuations of all failure domains for which one was ordered.
func (p *Proposer) Evacuations(ctx context.Context) ([]applier.Evacuation, error) {
	reply, err := p.read(ctx, keeper.ReadArgs{Evacuations: true})
	return reply.Evacuations, err
}

// Claim returns the claim of a customer's key, if there is one.
func (p *Proposer) Claim(ctx context.Context, customer, key string) (applier.Claim, bool, error) {
	reply, err := p.read(ctx, keeper.ReadArgs{Claim: &keeper.ClaimQuery{Customer: customer, Key: key}})
	if err != nil || reply.Claim == nil {
		return applier.Claim{}, false, err
	}
	return *reply.Claim, true, nil
}

// read requests a part of the state from the leader, and retries until it answers or ctx ends.
func (p *Proposer) read(ctx context.Context, args keeper.ReadArgs) (keeper.ReadReply, error) {
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	for {
		var reply keeper.ReadReply
		args.MaxWait = p.maxWait(ctx, 0)
		to, err := p.request(ctx, keeper.ReadMethod(p.config.Journal), 0, &args, &reply)
		if err == nil && reply.Answer == keeper.AnswerOK {
			return reply, nil
		}
		hint := reply.Leader
		if err != nil {
			hint = netip.AddrPort{}
		}
		p.redirect(to, hint)
		if ctx.Err() != nil || !clock.Sleep(p.config.Clock, retryDelay, ctx.Done()) {
			return keeper.ReadReply{}, fmt.Errorf("read log %s: %w", p.config.Journal, ctx.Err())
		}
	}
}

// Sharder distributes claims over several logs by a hash of customer and key. The number and
// order of the logs must be the same at all nodes.
type Sharder struct {
	logs []*Proposer
}

// NewSharder returns a Sharder over logs.
func NewSharder(logs ...*Proposer) *Sharder { return &Sharder{logs: logs} }

// Pick returns the log that holds the claims of a customer's key.
func (s *Sharder) Pick(customer, key string) *Proposer {
	return s.logs[xxhash.Sum64String(customer+"\x00"+key)%uint64(len(s.logs))]
}

// Propose executes a command on a claim in the log of its customer and key.
func (s *Sharder) Propose(ctx context.Context, c applier.Command) (applier.Result, error) {
	customer, key := c.ClaimKey()
	return s.Pick(customer, key).Propose(ctx, c)
}

// Claim returns the claim of a customer's key, if there is one.
func (s *Sharder) Claim(ctx context.Context, customer, key string) (applier.Claim, bool, error) {
	return s.Pick(customer, key).Claim(ctx, customer, key)
}
