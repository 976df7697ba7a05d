package keeper

import (
	"slices"
	"time"

	"hyssoprudder/internal/process/journaler"
)

func (c *Core) isVoter(id string) bool {
	m, ok := findMember(c.members(), id)
	return ok && m.Voter
}

func findMember(members []Member, id string) (Member, bool) {
	for _, m := range members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// mayChange reports whether a change of the members may be appended: the last
// one is committed, and so is an entry of the own term.
func (c *Core) mayChange() bool {
	settled := len(c.points) > 0 && c.points[len(c.points)-1].index <= c.commit
	return c.isReady() && settled && c.transferTo == ""
}

func (c *Core) setMembers(now time.Time, members []Member) {
	c.appendLocal(journaler.KindMembers, encodeMembers(members))
	for _, m := range members {
		c.addPeer(now, m.ID)
	}
	for id := range c.peers {
		if _, ok := findMember(members, id); !ok {
			delete(c.peers, id)
		}
	}
	c.replicate(now)
}

// Join adds a keeper as learner, or updates the address of a member. It reports
// false if this keeper cannot do so now.
func (c *Core) Join(now time.Time, joiner Member) bool {
	if c.role != RoleLeader {
		return false
	}
	members := c.Members()
	if known, ok := findMember(members, joiner.ID); ok {
		if known.Address == joiner.Address {
			return true
		}
		if !c.mayChange() {
			return false
		}
		for i := range members {
			if members[i].ID == joiner.ID {
				members[i].Address = joiner.Address
			}
		}
		c.setMembers(now, members)
		return true
	}
	if !c.mayChange() {
		return false
	}
	joiner.Voter = false
	members = slices.DeleteFunc(members, func(m Member) bool { return !m.Voter && m.Name == joiner.Name })
	c.setMembers(now, append(members, joiner))
	return true
}

// Remove takes the members of that name out of the log. It reports false if this
// keeper cannot do so now. A leader does not remove itself.
func (c *Core) Remove(now time.Time, name string) bool {
	if !c.mayChange() {
		return false
	}
	for _, m := range c.members() {
		if m.Name == name && m.ID != c.id {
			c.removeMember(now, m.ID)
			return true
		}
	}
	return false
}

func (c *Core) removeMember(now time.Time, id string) {
	members := slices.DeleteFunc(c.Members(), func(m Member) bool { return m.ID == id })
	c.setMembers(now, members)
}

// reconfigure makes a learner that holds everything committed a voter, one change
// at a time. The lost identity that it replaces is removed first.
func (c *Core) reconfigure(now time.Time) {
	if !c.mayChange() {
		return
	}
	members := c.Members()
	for i, m := range members {
		if m.Voter || !c.isCaughtUp(now, m.ID) {
			continue
		}
		old := slices.IndexFunc(members, func(o Member) bool { return o.Name == m.Name && o.ID != m.ID })
		if old < 0 {
			members[i].Voter = true
			c.setMembers(now, members)
			return
		}
		if p := c.peers[members[old].ID]; p != nil && now.Sub(p.active) > c.election {
			c.removeMember(now, members[old].ID)
			return
		}
	}
	c.retireSilent(now)
}

// minVoters is the number of voters below which none is retired: two of three
// are a quorum without it.
const minVoters = 3

// retireSilent takes a voter out of the log that has not answered for long, so
// that instances that are gone for good don't count in quorums for ever. It
// never takes more than the voters that are heard could decide without it.
func (c *Core) retireSilent(now time.Time) {
	if c.retire == 0 {
		return
	}
	heard, silent := 1, ""
	for _, m := range c.members() {
		p := c.peers[m.ID]
		switch {
		case !m.Voter || p == nil:
		case now.Sub(p.active) > c.retire:
			silent = m.ID
		case now.Sub(p.active) < c.election:
			heard++
		}
	}
	if silent != "" && heard >= minVoters {
		c.removeMember(now, silent)
	}
}

func (c *Core) isCaughtUp(now time.Time, id string) bool {
	p := c.peers[id]
	return p != nil && p.match >= c.commit && now.Sub(p.active) < c.election
}

// Transfer hands the leadership to the most advanced voter. It reports false if
// there is none.
func (c *Core) Transfer(now time.Time) bool {
	if c.role != RoleLeader || c.transferTo != "" {
		return c.transferTo != ""
	}
	best := ""
	for _, m := range c.members() {
		p := c.peers[m.ID]
		if !m.Voter || p == nil || now.Sub(p.active) > c.election {
			continue
		}
		if best == "" || p.match > c.peers[best].match {
			best = m.ID
		}
	}
	if best == "" {
		return false
	}
	c.transferTo, c.transferBy = best, now.Add(c.election)
	c.finishTransfer(best, c.peers[best])
	return true
}

// finishTransfer lets the successor campaign once it holds the whole log. From
// then on the lease of this term is given up for good.
func (c *Core) finishTransfer(id string, p *progress) {
	if id != c.transferTo || p.match < c.log.last() {
		return
	}
	c.leaseGone = true
	c.send(Message{Kind: KindCampaign, To: id})
}
