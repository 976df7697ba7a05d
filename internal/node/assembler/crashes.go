package assembler

import (
	"context"
	"errors"
	"time"

	"hyssoprudder/internal/connection/pooler"
	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/placer"
)

const (
	// crashCheckTimeout bounds the attempt to connect to an endpoint that may have crashed.
	crashCheckTimeout = 300 * time.Millisecond
	// maxCheckConnections is the number of connections to an endpoint from which on no check
	// opens another one.
	maxCheckConnections = 64
)

// attemptEnded passes the result of an attempt to the comparison of versions and to the
// attribution of crashes.
func (e *entry) attemptEnded(r *forwarder.AttemptResult) {
	e.versions.attemptEnded(r, e.placer.IsLeaving)
	now := e.clusterTime()
	switch {
	case r.IsAnswered:
		e.isolator.Answered(r.Endpoint.Service, r.Blocks, now)
	case r.IsBroken && !e.isClosing.Load() && e.isolator.Broken(r.Endpoint, r.Blocks, now.Add(r.SentAt.Sub(e.node.clock.Now())), now):
		e.group.Add(1)
		go (&crashCheck{entry: e, endpoint: r.Endpoint}).run()
	}
}

func (e *entry) isIsolated(service string, blocks []placer.PromptBlock) bool {
	return e.isolator.IsIsolated(service, blocks, e.clusterTime())
}

// crashCheck checks whether an endpoint at which a call broke off has crashed.
type crashCheck struct {
	*entry
	endpoint placer.Endpoint
}

func (c *crashCheck) run() {
	defer c.group.Done()
	if c.placer.WantsNothing(c.endpoint.ID, c.node.bootClock.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	err := c.pool.Check(ctx, c.endpoint.Address, maxCheckConnections)
	if err == nil || errors.Is(err, pooler.ErrFull) {
		return
	}
	c.isolator.Unreachable(c.endpoint.ID, c.clusterTime())
	c.node.log.Info("endpoint ended while it ran calls; reporting the blocks of their prompts", "endpoint", c.endpoint.ID, "err", err)
}
