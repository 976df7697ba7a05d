package gossiper

import (
	"net/netip"
	"slices"
	"time"
)

// Members returns all known members, including this node, sorted by identity.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.members))
	for _, id := range c.ids() {
		out = append(out, Member{record: c.members[id].record})
	}
	return out
}

// Member returns the member with the given identity.
func (c *Core) Member(id string) (Member, bool) {
	e, ok := c.members[id]
	if !ok {
		return Member{}, false
	}
	return Member{record: e.record}, true
}

// MarkLeaving marks an endpoint as leaving, up to and including the
// incarnation. The mark can't be withdrawn.
func (c *Core) MarkLeaving(endpoint string, incarnation uint64, now time.Time) *Output {
	c.applyMark(markRecord{Endpoint: endpoint, Incarnation: incarnation, At: now.Unix()}, now)
	return c.finish()
}

// IsLeaving reports whether an incarnation of an endpoint is marked as leaving.
func (c *Core) IsLeaving(endpoint string, incarnation uint64) bool {
	m, ok := c.marks[endpoint]
	return ok && incarnation <= m.Incarnation
}

// Marks returns the leaving marks, sorted by endpoint.
func (c *Core) Marks() []Mark {
	out := make([]Mark, 0, len(c.marks))
	for _, m := range c.marks {
		out = append(out, Mark{record: m})
	}
	slices.SortFunc(out, func(a, b Mark) int {
		if a.Endpoint() < b.Endpoint() {
			return -1
		}
		return 1
	})
	return out
}

// Leave marks this node as leaving.
func (c *Core) Leave(now time.Time) *Output { return c.enter(phaseLeaving, now) }

// Depart marks this node as left; it is about to stop.
func (c *Core) Depart(now time.Time) *Output { return c.enter(phaseLeft, now) }

func (c *Core) enter(phase uint8, now time.Time) *Output {
	r := c.self()
	if phase > r.Phase {
		r.Phase, r.At = phase, now.Unix()
		c.store(r, now)
		c.spread(r)
	}
	return c.finish()
}

// SetActiveRevision sets the revision that this node has in force.
func (c *Core) SetActiveRevision(number uint64, now time.Time) *Output {
	r := c.self()
	if number > r.ActiveRevision {
		r.ActiveRevision = number
		c.store(r, now)
		c.spreadActiveRevision(r)
	}
	return c.finish()
}

// Announce spreads the number of a newly accepted revision.
func (c *Core) Announce(r Revision) *Output {
	c.acceptRevision(r)
	return c.finish()
}

// NewestRevision returns the newest revision that this node knows of.
func (c *Core) NewestRevision() Revision { return c.newest }

// Publish replaces this node's digest of a kind; a version that is not higher
// than the last one is ignored. Each version is sent only once to each member of
// the cell and may be lost, so the caller has to publish at intervals. It fails
// if the body is too large.
func (c *Core) Publish(kind uint8, version uint64, body []byte) error {
	return c.digests.publish(digestRecord{Kind: kind, Version: version, Body: slices.Clone(body)},
		max(1, len(c.cellPeers())))
}

// Digests returns the latest digests of a kind from the other live members of
// the cell, sorted by node.
func (c *Core) Digests(kind uint8) []Digest {
	return slices.DeleteFunc(c.digests.ofKind(kind), func(d Digest) bool {
		e, ok := c.members[d.node]
		return !ok || e.record.Incarnation != d.incarnation
	})
}

// SetSeeds replaces the seed addresses. A seed is probed while no live
// member is known at its address. The addresses come from the settings or from
// the platform's list, which may be out of date; therefore a node at a seed
// address becomes a member only when it answers.
func (c *Core) SetSeeds(addresses []netip.AddrPort) { c.seeds = slices.Clone(addresses) }
