package pooler

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// lossTime is for how long the loss of a connection is remembered.
	lossTime = 2 * time.Second
	// lossSpread is how long it may take until all connections to an endpoint that ended are known to be lost.
	lossSpread = 250 * time.Millisecond
)

// Survey tells what became of the connections that were open at a time.
type Survey struct {
	// Alive is the number of those to the address that was asked for that live, and Lost of those that the endpoint closed.
	Alive, Lost int
	// IsAliveElsewhere is true if one to another address lives.
	IsAliveElsewhere bool
}

// SetBroken sets the function that is called when an endpoint has closed a connection, whether or not a call uses it. It is
// called in a goroutine of the connection and must not block. SetBroken must be called before the pool is used.
func (p *Pool) SetBroken(broken func(address netip.AddrPort)) { p.broken = broken }

// recordLoss records that a connection can't be used any more, if this side has not closed it.
func (p *Pool) recordLoss(c *Conn) {
	if c.closed.Load() || c.isLost.Swap(true) {
		return
	}
	p.mu.Lock()
	p.losses[c.address] = append(p.losses[c.address], p.clock.Now())
	p.mu.Unlock()
	if p.broken != nil {
		p.broken(c.address)
	}
}

// Lose closes a connection on which the endpoint broke off an answer, by closing the connection. A call can learn of that
// sooner than the pool.
func (c *Conn) Lose() {
	c.pool.recordLoss(c)
	c.Close()
}

// forgetLosses removes old losses. The caller holds p.mu.
func (p *Pool) forgetLosses(now time.Time) {
	for address, losses := range p.losses {
		losses = slices.DeleteFunc(losses, func(at time.Time) bool { return now.Sub(at) > lossTime })
		if p.losses[address] = losses; len(losses) == 0 {
			delete(p.losses, address)
		}
	}
}

// Survey returns what became of the connections that were open at a time, which is that of a loss.
func (p *Pool) Survey(address netip.AddrPort, at time.Time) Survey {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out Survey
	for other, h := range p.hosts {
		switch {
		case other == address:
			out.Alive = h.alive(at)
		case !out.IsAliveElsewhere:
			out.IsAliveElsewhere = h.alive(at) > 0
		}
	}
	for _, lost := range p.losses[address] {
		if lost.Sub(at).Abs() <= lossSpread {
			out.Lost++
		}
	}
	return out
}

// alive returns how many connections that were opened before a time live.
func (h *host) alive(at time.Time) int {
	count := 0
	for c := range h.all {
		if c.openedAt.Before(at) && !c.isLost.Load() && c.client.Err() == nil {
			count++
		}
	}
	return count
}

// remove removes a connection that is closed. The caller holds the lock of the pool.
func (h *host) remove(c *Conn) {
	h.open--
	delete(h.all, c)
}
