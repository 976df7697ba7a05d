package keeper

import "time"

// leaseLength is how long a leader may act on its own after a quorum has promised not to vote
// for another keeper during the election timeout. It is shorter than that timeout by the
// maximum clock drift of both sides.
func (c *Core) leaseLength() time.Duration {
	return c.electionTimeout * (100 - 2*DriftPercent) / 100
}

// advanceRound extends the lease and completes reads according to the newest heartbeat round
// that a quorum has answered.
func (c *Core) advanceRound(now time.Time) {
	answered := c.quorumValue(c.round, func(p *progress) uint64 { return p.ackedRound })
	for len(c.rounds) > 0 && c.rounds[0].number <= answered {
		if until := c.rounds[0].startedAt.Add(c.leaseLength()); until.After(c.leaseUntil) {
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

// isReady reports whether this leader has committed an entry of its own term, so that its
// commit index covers everything that earlier leaders have committed.
func (c *Core) isReady() bool { return c.role == RoleLeader && c.commit >= c.termStart }

func (c *Core) hasLease(now time.Time) bool {
	return c.isReady() && !c.leaseReleased && !now.Before(c.leaseFrom) && now.Before(c.leaseUntil)
}

// Lease returns the end of the lease, during which no other keeper leads. It reports false if
// this keeper holds none.
func (c *Core) Lease(now time.Time) (until time.Time, ok bool) {
	return c.leaseUntil, c.hasLease(now)
}

// Read requests a linearizable read. Once Output.Reads confirms it, the caller may read the
// state after executing everything that is committed.
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
	c.sendHeartbeats(now)
}

func (c *Core) failReads() {
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, ReadDone{ID: r.id})
	}
	c.reads = nil
}
