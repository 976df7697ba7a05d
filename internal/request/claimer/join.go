package claimer

import (
	"context"
	"time"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
)

// maxJoinWait bounds how long one request to another entry waits for a call.
const maxJoinWait = time.Second

// ServiceName is the RPC name of Service.
const ServiceName = "claim"

// WaitMethod is the RPC method that waits for a call to end.
const WaitMethod = ServiceName + ".Wait"

// WaitArgs holds the arguments of Service.Wait.
type WaitArgs struct {
	Request string        `msgpack:"r"`
	Wait    time.Duration `msgpack:"w"`
}

// WaitReply is the result of Service.Wait.
type WaitReply struct {
	// Known reports whether the call is in flight at the entry. If not, its outcome is
	// recorded, or the entry lost the call in a restart.
	Known bool `msgpack:"k"`
	// Ended reports whether Outcome is final.
	Ended   bool            `msgpack:"e"`
	Outcome applier.Outcome `msgpack:"o"`
	Answer  *applier.Answer `msgpack:"a,omitempty"`
}

// Service is the RPC service through which other entries wait for calls of this one.
type Service struct {
	claimer *Claimer
}

// NewService returns the RPC service for c.
func NewService(c *Claimer) *Service { return &Service{claimer: c} }

// Wait returns when the call has ended, or after args.Wait or maxJoinWait.
func (s *Service) Wait(args *WaitArgs, reply *WaitReply) error {
	*reply = s.claimer.wait(args)
	return nil
}

func (c *Claimer) wait(args *WaitArgs) WaitReply {
	e := c.find(args.Request)
	if e == nil {
		return WaitReply{}
	}
	timer := c.config.Clock.NewTimer(min(args.Wait, maxJoinWait))
	defer timer.Stop()
	select {
	case <-e.ended:
	case <-timer.C():
		return WaitReply{Known: true}
	case <-c.quit:
		return WaitReply{Known: true}
	}
	outcome, answer := e.result()
	return WaitReply{Known: true, Ended: true, Outcome: outcome, Answer: answer}
}

// join waits once for the call that holds the claim to end. It reports false if the
// claim must be proposed again.
func (c *Claimer) join(ctx context.Context, call Call, claim *applier.ClaimResult) (Outcome, bool) {
	reply, reached := c.waitAtOwner(ctx, claim)
	if reached && reply.Ended {
		switch reply.Outcome {
		case applier.OutcomeDone:
			return Outcome{kind: Replay, answer: reply.Answer}, true
		case applier.OutcomeUnknown:
			return c.resolveOther(ctx, call, claim, "the running call has an unknown outcome"), true
		case applier.OutcomeNotRun:
			c.release(ctx, call, claim)
		}
	}
	if reached && !reply.Known {
		if o, final := c.resolveLost(ctx, call, claim); final {
			return o, true
		}
	}
	if !reached {
		if o, final := c.resolveUnreachable(ctx, call, claim); final {
			return o, true
		}
	}
	if ctx.Err() != nil || !clock.Sleep(c.config.Clock, joinInterval, ctx.Done()) {
		return Outcome{kind: Unknown, reason: "the running call did not end in time"}, true
	}
	return Outcome{}, false
}

// waitAtOwner waits for the call at the entry that holds the claim.
func (c *Claimer) waitAtOwner(ctx context.Context, claim *applier.ClaimResult) (reply WaitReply, reached bool) {
	args := &WaitArgs{Request: claim.Request, Wait: maxJoinWait}
	if claim.Entry == c.config.Entry {
		return c.wait(args), true
	}
	ctx, cancel := context.WithTimeout(ctx, 2*maxJoinWait)
	defer cancel()
	err := c.config.Wait(ctx, claim.Entry, args, &reply)
	return reply, err == nil
}

// resolveLost handles a claim whose entry no longer has the call: the outcome was
// recorded in the meantime, or the entry has restarted and will never send the call.
func (c *Claimer) resolveLost(ctx context.Context, call Call, claim *applier.ClaimResult) (Outcome, bool) {
	result, err := c.config.Propose(ctx, c.grant(call))
	if err != nil || result.Claim == nil || result.Claim.Outcome != applier.ClaimJoined || result.Claim.Request != claim.Request {
		return Outcome{}, false
	}
	return c.resolveOther(ctx, call, claim, "the entry that ran the call has restarted"), true
}

// resolveUnreachable handles a claim whose entry cannot be reached. That entry may run
// the call until the call's deadline, and record the outcome until ownerGrace after it.
func (c *Claimer) resolveUnreachable(ctx context.Context, call Call, claim *applier.ClaimResult) (Outcome, bool) {
	end := time.Unix(0, claim.Deadline).Add(ownerGrace)
	if c.config.Clock.Now().Before(end) {
		return Outcome{}, false
	}
	return c.resolveOther(ctx, call, claim, "the entry that ran the call is out of reach"), true
}

// release records that the entry that holds the claim did not run the call.
func (c *Claimer) release(ctx context.Context, call Call, claim *applier.ClaimResult) {
	_, err := c.config.Propose(ctx, applier.Command{ClaimFinish: &applier.ClaimFinish{
		Customer: call.Customer, Key: call.Key, Request: claim.Request, Outcome: applier.OutcomeNotRun,
	}})
	if err != nil {
		c.config.Log.Debug("cannot release claim", "request", claim.Request, "error", err)
	}
}

// resolveOther queries the service for the outcome of a call that another request
// claimed, and records it.
func (c *Claimer) resolveOther(ctx context.Context, call Call, claim *applier.ClaimResult, reason string) Outcome {
	outcome, answer, err := c.queryStatus(ctx, call)
	if err != nil {
		return Outcome{kind: Unknown, reason: reason}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	_, err = c.config.Propose(ctx, applier.Command{ClaimResolve: &applier.ClaimResolve{
		Customer: call.Customer, Key: call.Key, Request: claim.Request, Outcome: outcome, Answer: answer,
	}})
	if err != nil {
		c.config.Log.Debug("cannot record outcome reported by the service", "request", claim.Request, "error", err)
	}
	return resolved(outcome, answer)
}
