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

// canChangeMembers reports whether a change of the members may be appended: this leader must
// have committed the previous change and an entry of its own term, and must not be transferring
// the leadership.
func (c *Core) canChangeMembers() bool {
	settled := len(c.memberships) > 0 && c.memberships[len(c.memberships)-1].index <= c.commit
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

// Join adds a keeper as learner, or updates the address of a member. It reports false if this
// keeper cannot do so now.
func (c *Core) Join(now time.Time, joiner Member) bool {
	if c.role != RoleLeader {
		return false
	}
	members := c.Members()
	if known, ok := findMember(members, joiner.ID); ok {
		if known.Address == joiner.Address {
			return true
		}
		if !c.canChangeMembers() {
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
	if !c.canChangeMembers() {
		return false
	}
	joiner.Voter = false
	members = slices.DeleteFunc(members, func(m Member) bool { return !m.Voter && m.Name == joiner.Name })
	c.setMembers(now, append(members, joiner))
	return true
}

// Remove removes the member with that name from the log. It reports false if this keeper cannot
// do so now. A leader does not remove itself.
func (c *Core) Remove(now time.Time, name string) bool {
	if !c.canChangeMembers() {
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

// reconfigure promotes a learner that has all committed entries to voter, one change at a time.
// If the learner replaces a member of the same name that no longer replies, that member is
// removed first.
func (c *Core) reconfigure(now time.Time) {
	if !c.canChangeMembers() {
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
		if p := c.peers[members[old].ID]; p != nil && now.Sub(p.lastReply) > c.electionTimeout {
			c.removeMember(now, members[old].ID)
			return
		}
	}
	c.retireUnresponsive(now)
}

// minVoters is the least value of Config.MinVoters. With three voters left, two are a quorum, so
// one more may fail.
const minVoters = 3

// retireUnresponsive removes a member that has not replied for the retirement time, so that
// instances that are gone for good do not count in quorums forever. A voter is removed only
// if enough responsive ones remain, which can decide without it; the one that has been silent
// longest goes first.
func (c *Core) retireUnresponsive(now time.Time) {
	if c.retireAfter == 0 {
		return
	}
	responsive, retired := 1, Member{}
	for _, m := range c.members() {
		p := c.peers[m.ID]
		switch {
		case p == nil:
		case now.Sub(p.lastReply) > c.retireAfter:
			if retired.ID == "" || p.lastReply.Before(c.peers[retired.ID].lastReply) {
				retired = m
			}
		case m.Voter && now.Sub(p.lastReply) < c.electionTimeout:
			responsive++
		}
	}
	if retired.ID != "" && (!retired.Voter || responsive >= c.minVoters) {
		c.removeMember(now, retired.ID)
	}
}

func (c *Core) isCaughtUp(now time.Time, id string) bool {
	p := c.peers[id]
	return p != nil && p.match >= c.commit && now.Sub(p.lastReply) < c.electionTimeout
}

// Transfer starts to transfer the leadership to the most advanced responsive voter. It reports
// whether a transfer is in progress.
func (c *Core) Transfer(now time.Time) bool {
	if c.role != RoleLeader || c.transferTo != "" {
		return c.transferTo != ""
	}
	best := ""
	for _, m := range c.members() {
		p := c.peers[m.ID]
		if !m.Voter || p == nil || now.Sub(p.lastReply) > c.electionTimeout {
			continue
		}
		if best == "" || p.match > c.peers[best].match {
			best = m.ID
		}
	}
	if best == "" {
		return false
	}
	c.transferTo, c.transferDeadline = best, now.Add(c.electionTimeout)
	c.finishTransfer(best, c.peers[best])
	return true
}

// finishTransfer releases the lease of this term for good and tells the successor to campaign,
// once the successor holds the whole log.
func (c *Core) finishTransfer(id string, p *progress) {
	if id != c.transferTo || p.match < c.log.last() {
		return
	}
	c.leaseReleased = true
	c.send(Message{Kind: KindCampaign, To: id})
}
