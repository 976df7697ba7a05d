package assembler

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"hyssoprudder/internal/connection/pooler"
	"hyssoprudder/internal/process/clock"
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
	// lossDelay is how long after a connection was lost others to the same process are known to be lost.
	lossDelay = 50 * time.Millisecond
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
		go (&crashCheck{entry: e, endpoint: r.Endpoint, at: e.node.clock.Now()}).run()
	}
}

func (e *entry) isIsolated(service string, blocks []placer.PromptBlock, fingerprint func() uint64) bool {
	return e.isolator.IsIsolated(service, isolator.Call{Blocks: blocks, Fingerprint: fingerprint}, e.clusterTime())
}

// crashCheck checks whether an endpoint at which a call broke off has crashed.
type crashCheck struct {
	*entry
	endpoint placer.Endpoint
	at       time.Time // when the call broke off
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
		if c.reportLoss(c.endpoint.ID, c.endpoint.Address, c.at) || !c.isolator.Reachable(c.endpoint.ID, checkedAt) {
			return
		}
	}
}

func (c *crashCheck) report(err error) {
	c.isolator.Unreachable(c.endpoint.ID, c.clusterTime())
	c.node.log.Info("endpoint ended while it ran calls; reporting the calls and the blocks of their prompts", "endpoint", c.endpoint.ID, "err", err)
}

// connectionLost checks what else was lost with a connection that an endpoint has closed: one that is started again at
// once can be reached before any check. Another entry may have had calls there.
func (e *entry) connectionLost(address netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lossChecks[address] || e.isClosing.Load() {
		return
	}
	for _, listed := range e.endpoints {
		if listed.Address == address && listed.ID != "" {
			e.lossChecks[address] = true
			e.group.Add(1)
			go (&lossCheck{entry: e, endpoint: listed.ID, address: address, at: e.node.clock.Now()}).run()
			return
		}
	}
}

// lossCheck finds out whether all connections to an endpoint were lost together.
type lossCheck struct {
	*entry
	endpoint string
	address  netip.AddrPort
	at       time.Time
}

func (c *lossCheck) run() {
	defer c.group.Done()
	if !c.placer.IsLeaving(c.endpoint) && !c.placer.WantsNothing(c.endpoint, c.node.bootClock.Now()) {
		c.reportLoss(c.endpoint, c.address, c.at)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.lossChecks, c.address)
}

// reportLoss reports the connections to an endpoint that were lost at about a time, if none that was open then lives, while
// others do elsewhere.
func (e *entry) reportLoss(endpoint string, address netip.AddrPort, at time.Time) bool {
	if !clock.Sleep(e.node.clock, lossDelay, e.done) {
		return false
	}
	s := e.pool.Survey(address, at)
	if s.Alive > 0 || s.Lost == 0 || !s.IsAliveElsewhere {
		return false
	}
	e.isolator.Lost(endpoint, s.Lost, e.clusterTime())
	e.node.log.Info("connections to an endpoint were lost together; reporting the calls and the blocks of their prompts", "endpoint", endpoint, "lost", s.Lost)
	return true
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
