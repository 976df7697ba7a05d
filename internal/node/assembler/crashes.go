package assembler

import (
	"context"
	"errors"
	"time"

	"hyssoprudder/internal/connection/pooler"
	"hyssoprudder/internal/request/forwarder"
	"hyssoprudder/internal/request/isolator"
	"hyssoprudder/internal/request/placer"
)

const (
	// crashCheckTimeout bounds the attempt to connect to an endpoint that may have crashed.
	crashCheckTimeout = 300 * time.Millisecond
	// maxCheckConnections is the number of connections to an endpoint from which on no check
	// opens another one.
	maxCheckConnections = 64
	// maxCrashChecks bounds the checks that follow each other since further calls broke off meanwhile.
	maxCrashChecks = 3
)

// attemptEnded passes the result of an attempt to the comparison of versions and to the
// attribution of crashes.
func (e *entry) attemptEnded(r *forwarder.AttemptResult) {
	e.versions.attemptEnded(r, e.placer.IsLeaving)
	now, call := e.clusterTime(), isolator.Call{Blocks: r.Blocks, Fingerprint: r.Fingerprint}
	switch {
	case r.IsAnswered:
		e.isolator.Answered(r.Endpoint.Service, call, now)
	case r.IsBroken && !e.isClosing.Load() && e.isolator.Broken(r.Endpoint, call, now.Add(r.SentAt.Sub(e.node.clock.Now())), now):
		e.group.Add(1)
		go (&crashCheck{entry: e, endpoint: r.Endpoint}).run()
	}
}

func (e *entry) isIsolated(service string, blocks []placer.PromptBlock, fingerprint func() uint64) bool {
	return e.isolator.IsIsolated(service, isolator.Call{Blocks: blocks, Fingerprint: fingerprint}, e.clusterTime())
}

// crashCheck checks whether an endpoint at which a call broke off has crashed.
type crashCheck struct {
	*entry
	endpoint placer.Endpoint
}

func (c *crashCheck) run() {
	defer c.group.Done()
	for range maxCrashChecks {
		// An endpoint that leaves stops by itself. One that has crashed remains listed for a while.
		if c.placer.IsLeaving(c.endpoint.ID) || c.placer.WantsNothing(c.endpoint.ID, c.node.bootClock.Now()) {
			return
		}
		checkedAt := c.clusterTime()
		err := c.connect()
		if err != nil {
			c.report(err)
			return
		}
		if !c.isolator.Reachable(c.endpoint.ID, checkedAt) {
			return
		}
	}
}

func (c *crashCheck) report(err error) {
	c.isolator.Unreachable(c.endpoint.ID, c.clusterTime())
	c.node.log.Info("endpoint ended while it ran calls; reporting the calls and the blocks of their prompts", "endpoint", c.endpoint.ID, "err", err)
}

// connect returns an error if no connection to the endpoint can be opened.
func (c *crashCheck) connect() error {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	err := c.pool.Check(ctx, c.endpoint.Address, maxCheckConnections)
	if errors.Is(err, pooler.ErrFull) {
		return nil
	}
	return err
}
