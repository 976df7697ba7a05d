package claimer

import (
	"context"
	"time"

	"hyssoprudder/internal/process/applier"
	"hyssoprudder/internal/process/clock"
)

// maxWait bounds one request to another entry.
const maxWait = time.Second

// ServiceName is the name under which Service is registered.
const ServiceName = "claim"

// WaitMethod is the RPC method that waits for the end of a call.
const WaitMethod = ServiceName + ".Wait"

// WaitArgs asks an entry for the end of a call that it runs.
type WaitArgs struct {
	Request string        `msgpack:"r"`
	Wait    time.Duration `msgpack:"w"`
}

// WaitReply says how far the call is.
type WaitReply struct {
	// Known is false if the entry does not hold the call: it is recorded, or the
	// entry has lost it.
	Known bool `msgpack:"k"`
	// Ended is true if Outcome is final.
	Ended   bool            `msgpack:"e"`
	Outcome applier.Outcome `msgpack:"o"`
	Answer  *applier.Answer `msgpack:"a,omitempty"`
}

// Service lets other entries wait for the calls of this one.
type Service struct {
	claimer *Claimer
}

// NewService returns the service of c.
func NewService(c *Claimer) *Service { return &Service{claimer: c} }

// Wait answers when the call has ended or the time is over.
func (s *Service) Wait(args *WaitArgs, reply *WaitReply) error {
	*reply = s.claimer.wait(args)
	return nil
}

func (c *Claimer) wait(args *WaitArgs) WaitReply {
	t := c.find(args.Request)
	if t == nil {
		return WaitReply{}
	}
	timer := c.config.Clock.NewTimer(min(args.Wait, maxWait))
	defer timer.Stop()
	select {
	case <-t.ended:
	case <-timer.C():
		return WaitReply{Known: true}
	case <-c.quit:
		return WaitReply{Known: true}
	}
	outcome, answer := t.result()
	return WaitReply{Known: true, Ended: true, Outcome: outcome, Answer: answer}
}

// join waits once for the end of the call that holds the claim. If it is not
// final, the claim is to be asked for again.
func (c *Claimer) join(ctx context.Context, call Call, claim *applier.ClaimResult) (Outcome, bool) {
	reply, reached := c.askOwner(ctx, claim)
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
		if o, final := c.takeLost(ctx, call, claim); final {
			return o, true
		}
	}
	if !reached {
		if o, final := c.takeUnreachable(ctx, call, claim); final {
			return o, true
		}
	}
	if ctx.Err() != nil || !clock.Sleep(c.config.Clock, pollPause, ctx.Done()) {
		return Outcome{kind: Unknown, reason: "the running call did not end in time"}, true
	}
	return Outcome{}, false
}

func (c *Claimer) askOwner(ctx context.Context, claim *applier.ClaimResult) (reply WaitReply, reached bool) {
	args := &WaitArgs{Request: claim.Request, Wait: maxWait}
	if claim.Entry == c.config.Entry {
		return c.wait(args), true
	}
	ctx, cancel := context.WithTimeout(ctx, 2*maxWait)
	defer cancel()
	err := c.config.Wait(ctx, claim.Entry, args, &reply)
	return reply, err == nil
}

// takeLost handles a claim whose entry does not hold the call any more: it was
// recorded in the meantime, or the entry has restarted and can never send it.
func (c *Claimer) takeLost(ctx context.Context, call Call, claim *applier.ClaimResult) (Outcome, bool) {
	result, err := c.config.Propose(ctx, c.grant(call))
	if err != nil || result.Claim == nil || result.Claim.Outcome != applier.ClaimJoined || result.Claim.Request != claim.Request {
		return Outcome{}, false
	}
	return c.resolveOther(ctx, call, claim, "the entry that ran the call has restarted"), true
}

// takeUnreachable handles a claim whose entry cannot be asked. The entry may
// still be at work until the deadline of the call, and for a while record it.
func (c *Claimer) takeUnreachable(ctx context.Context, call Call, claim *applier.ClaimResult) (Outcome, bool) {
	end := time.Unix(0, claim.Deadline).Add(ownerGrace)
	if c.config.Clock.Now().Before(end) {
		return Outcome{}, false
	}
	return c.resolveOther(ctx, call, claim, "the entry that ran the call is out of reach"), true
}

// release records that the entry which holds the claim did not run the call.
func (c *Claimer) release(ctx context.Context, call Call, claim *applier.ClaimResult) {
	_, err := c.config.Propose(ctx, applier.Command{ClaimFinish: &applier.ClaimFinish{
		Customer: call.Customer, Key: call.Key, Request: claim.Request, Outcome: applier.OutcomeNotRun,
	}})
	if err != nil {
		c.config.Log.Debug("claim not released", "request", claim.Request, "error", err)
	}
}

// resolveOther asks the service what became of a call of another request, and
// records what it says.
func (c *Claimer) resolveOther(ctx context.Context, call Call, claim *applier.ClaimResult, reason string) Outcome {
	outcome, answer, err := c.ask(ctx, call)
	if err != nil {
		return Outcome{kind: Unknown, reason: reason}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	_, err = c.config.Propose(ctx, applier.Command{ClaimResolve: &applier.ClaimResolve{
		Customer: call.Customer, Key: call.Key, Request: claim.Request, Outcome: outcome, Answer: answer,
	}})
	if err != nil {
		c.config.Log.Debug("resolution not recorded", "request", claim.Request, "error", err)
	}
	return resolved(outcome, answer)
}
