package keeper

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

// defaultMaxWait bounds requests that do not set a maximum wait.
const defaultMaxWait = 5 * time.Second

// PeerService serves the other keepers of a log. Its methods do not block.
type PeerService struct {
	keeper *Keeper
}

// Deliver accepts messages from another keeper.
func (s *PeerService) Deliver(args *Batch, reply *Receipt) error {
	k := s.keeper
	if args.To != k.self.ID {
		return nil
	}
	k.recordReplyAddress(args.From, args.Address)
	messages := args.Messages
	for i := range messages {
		messages[i].Cluster, messages[i].From, messages[i].To = args.Cluster, args.From, args.To
	}
	if c := args.Chunk; c != nil {
		snapshot, ok := k.assembler.add(args.From, c)
		reply.ChunkRefused = !ok
		if snapshot != nil && ok {
			messages = append(messages, Message{
				Kind: KindSnapshot, Cluster: args.Cluster, From: args.From, To: args.To, Term: c.Term, Snapshot: snapshot,
			})
		}
	}
	select {
	case k.inbox <- messages:
	default: // the protocol resends lost messages
	}
	return nil
}

// recordReplyAddress records the address at which a replica receives replies.
func (k *Keeper) recordReplyAddress(id string, address netip.AddrPort) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replyAddresses[id] = address
}

// Probe returns what this keeper holds and who leads.
func (s *PeerService) Probe(_ *ProbeArgs, reply *ProbeReply) error {
	p := s.keeper.view()
	if p.failure != nil {
		return p.failure
	}
	reply.Name, reply.ID, reply.Empty = s.keeper.self.Name, s.keeper.self.ID, p.empty
	reply.Leader, reply.Members = p.leader.Address, p.members
	return nil
}

// ClientService serves all nodes.
type ClientService struct {
	keeper *Keeper
}

// Join adds the caller as learner or updates its address, if this keeper is the leader.
func (s *ClientService) Join(args *JoinArgs, reply *JoinReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), defaultMaxWait)
	defer cancel()
	reply.OK = s.keeper.do(ctx, func(now time.Time) bool { return s.keeper.core.Join(now, args.Member) })
	return nil
}

// Propose appends commands and waits until they are executed.
func (s *ClientService) Propose(args *ProposeArgs, reply *ProposeReply) error {
	ctx, cancel := waitContext(args.MaxWait)
	defer cancel()
	results, err := s.keeper.ProposeAll(ctx, args.Commands)
	reply.Answer, reply.Results = answerOf(err), results
	_, reply.Leader, _ = s.keeper.Leader()
	return nil
}

// Read waits until the leader's state may be read and returns the requested part.
func (s *ClientService) Read(args *ReadArgs, reply *ReadReply) error {
	ctx, cancel := waitContext(args.MaxWait)
	defer cancel()
	err := s.keeper.Read(ctx)
	reply.Answer = answerOf(err)
	_, reply.Leader, _ = s.keeper.Leader()
	if err != nil {
		return nil
	}
	a := s.keeper.applier
	switch {
	case args.Rules:
		reply.Rules = a.Rules()
	case args.History:
		reply.History = a.History()
	case args.Moves:
		reply.Moves = a.Moves()
	case args.Intents:
		reply.Intents = a.Intents()
	case args.Ruleset:
		reply.Ruleset = a.Ruleset()
	case args.Evacuations:
		reply.Evacuations = a.Evacuations()
	case args.Claim != nil:
		if c, ok := a.Claim(args.Claim.Customer, args.Claim.Key); ok {
			reply.Claim = &c
		}
	}
	return nil
}

func waitContext(wait time.Duration) (context.Context, context.CancelFunc) {
	if wait <= 0 {
		wait = defaultMaxWait
	}
	return context.WithTimeout(context.Background(), wait)
}

func answerOf(err error) Answer {
	var notLeader *NotLeaderError
	switch {
	case err == nil:
		return AnswerOK
	case errors.As(err, &notLeader), errors.Is(err, ErrOverwritten):
		return AnswerNotLeader
	case errors.Is(err, ErrUnknown), errors.Is(err, context.DeadlineExceeded):
		return AnswerUnknown
	}
	return AnswerRefused
}
