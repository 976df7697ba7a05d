package keeper

import "time"

// leaseLength is the time for which a leader may act after a quorum has promised
// to vote for no other during the election timeout, whatever the drift.
func (c *Core) leaseLength() time.Duration {
	return c.election * (100 - 2*DriftPercent) / 100
}

// advanceRound extends the lease and completes reads by the newest round of
// heartbeats that a quorum has answered.
func (c *Core) advanceRound(now time.Time) {
	answered := c.quorumValue(c.round, func(p *progress) uint64 { return p.round })
	for len(c.rounds) > 0 && c.rounds[0].number <= answered {
		if until := c.rounds[0].at.Add(c.leaseLength()); until.After(c.leaseUntil) {
			c.leaseUntil = until
		}
		c.rounds = c.rounds[1:]
	}
	if !c.isReady() {
		return
	}
	rest := c.reads[:0]
	for _, r := range c.reads {
		if r.round <= answered || c.hasLease(now) {
			c.out.Reads = append(c.out.Reads, ReadDone{ID: r.id, OK: true})
		} else {
			rest = append(rest, r)
		}
	}
	c.reads = rest
}

// isReady reports whether an entry of the own term is committed, so that the
// commit index covers all that earlier leaders have committed.
func (c *Core) isReady() bool { return c.role == RoleLeader && c.commit >= c.termStart }

func (c *Core) hasLease(now time.Time) bool {
	return c.isReady() && !c.leaseGone && !now.Before(c.leaseFrom) && now.Before(c.leaseUntil)
}

// Lease returns the time until which this keeper alone leads, if it does.
func (c *Core) Lease(now time.Time) (until time.Time, ok bool) {
	return c.leaseUntil, c.hasLease(now)
}

// Read asks for permission to read the state: everything that was committed
// before must have been executed. The answer comes in Output.Reads.
func (c *Core) Read(now time.Time, id uint64) {
	if c.role != RoleLeader {
		c.out.Reads = append(c.out.Reads, ReadDone{ID: id})
		return
	}
	if c.hasLease(now) {
		c.out.Reads = append(c.out.Reads, ReadDone{ID: id, OK: true})
		return
	}
	c.reads = append(c.reads, pendingRead{id: id, round: c.round + 1})
	c.beat(now)
}

func (c *Core) failReads() {
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, ReadDone{ID: r.id})
	}
	c.reads = nil
}
