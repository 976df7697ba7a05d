package keeper

import (
	"time"

	"hyssoprudder/internal/process/journaler"
)

// hasPromised reports whether this keeper may not yet vote for a new leader.
func (c *Core) hasPromised(now time.Time) bool {
	return c.role == RoleLeader || now.Before(c.promisedUntil)
}

// campaignDivisor divides the election timeout to give the shortest campaign timeout, after
// which a campaign without a result starts again. Voters answer within a few disk writes, so a
// longer wait gains nothing: the votes were split, or most voters have promised to wait, as
// after a restart of all keepers. For slow disks, the timeout is doubled after each campaign
// that most voters did not answer.
const campaignDivisor = 5

// maxCampaignBackoff bounds the doublings: 8 times the shortest campaign timeout is more than
// an election timeout.
const maxCampaignBackoff = 3

// campaignTimeout returns how long a campaign may last.
func (c *Core) campaignTimeout() time.Duration {
	shortest := c.electionTimeout / campaignDivisor << c.campaignBackoff
	return shortest + time.Duration(c.rand.Int64N(int64(shortest)))
}

// adjustCampaignBackoff sets the backoff of the next campaign from the answers to one without a
// result. Pre-votes are not counted: their answers do not wait for a disk, so missing ones mean
// that most voters are down.
func (c *Core) adjustCampaignBackoff() {
	switch {
	case c.role != RoleCandidate:
	case len(c.votes) > c.voterCount()/2:
		c.campaignBackoff = 0
	default:
		c.campaignBackoff = min(c.campaignBackoff+1, maxCampaignBackoff)
	}
}

// releasePromise ends the promise to a leader that has restarted since and so holds no lease
// any more. The promise can only be to that leader, since the leader of a term is on disk
// before anything is promised to it. A leader elected through a transfer sends no EndedTerm
// after a restart, because the lease of its predecessor may not have ended.
func (c *Core) releasePromise(now time.Time, m Message) {
	if m.EndedTerm == 0 || m.EndedTerm != c.state.Term || c.state.Leader != m.From || c.role == RoleLeader {
		return
	}
	c.promisedUntil = now
	if soon := now.Add(c.campaignTimeout()); soon.Before(c.electionDeadline) {
		c.electionDeadline = soon
	}
}

func (c *Core) voterCount() int {
	n := 0
	for _, m := range c.members() {
		if m.Voter {
			n++
		}
	}
	return n
}

// campaign requests votes. With KindPreVote it does not start a new term.
func (c *Core) campaign(now time.Time, kind MessageKind) {
	term := c.state.Term + 1
	c.leader = ""
	c.votes = map[string]bool{c.id: true}
	c.role = RolePreCandidate
	if kind == KindVote {
		c.role = RoleCandidate
		c.state.Term, c.state.Vote, c.state.Leader = term, c.id, ""
		if !c.byTransfer {
			c.state.Leader = c.id
		}
		c.saveState = true
	} else {
		c.byTransfer = false
	}
	c.electionDeadline = now.Add(c.campaignTimeout())
	if c.countVotes(now) {
		return
	}
	for _, m := range c.members() {
		if m.Voter && m.ID != c.id {
			c.send(Message{
				Kind: kind, To: m.ID, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: c.byTransfer, EndedTerm: c.endedTerm,
			})
		}
	}
}

func (c *Core) handleVote(now time.Time, m Message) {
	upToDate := c.log.isUpToDate(m.Index, m.LogTerm)
	if m.Kind == KindPreVote {
		grant := m.Term > c.state.Term && !c.hasPromised(now) && upToDate
		reply := Message{Kind: KindPreVoteReply, To: m.From, Cluster: m.Cluster, Reject: !grant}
		if grant {
			reply.Term = m.Term
		}
		c.send(reply)
		return
	}
	free := c.state.Vote == "" || c.state.Vote == m.From
	grant := free && upToDate && c.role != RoleLeader && (m.Transfer || !c.hasPromised(now))
	if grant {
		if c.state.Vote != m.From {
			c.state.Vote = m.From
			if c.state.Leader == "" && !m.Transfer {
				c.state.Leader = m.From
			}
			c.saveState = true
		}
		c.resetElectionDeadline(now)
	}
	c.send(Message{Kind: KindVoteReply, To: m.From, Reject: !grant})
}

func (c *Core) handleVoteReply(now time.Time, m Message) {
	switch {
	case m.Kind == KindPreVoteReply && c.role == RolePreCandidate && (m.Reject || m.Term == c.state.Term+1):
	case m.Kind == KindVoteReply && c.role == RoleCandidate && m.Term == c.state.Term:
	default:
		return
	}
	c.votes[m.From] = c.votes[m.From] || !m.Reject
	c.countVotes(now)
}

// countVotes continues the election if a quorum agrees, and reports whether it did.
func (c *Core) countVotes(now time.Time) bool {
	granted := 0
	for _, m := range c.members() {
		if m.Voter && c.votes[m.ID] {
			granted++
		}
	}
	if granted <= c.voterCount()/2 {
		return false
	}
	if c.role == RolePreCandidate {
		c.campaign(now, KindVote)
		return true
	}
	c.becomeLeader(now)
	return true
}

func (c *Core) becomeLeader(now time.Time) {
	c.role, c.leader, c.votes = RoleLeader, c.id, nil
	c.rounds, c.round = nil, 0
	c.leaseUntil, c.leaseReleased, c.leaseFrom = time.Time{}, false, now
	if c.byTransfer {
		// A campaign requested by the leader does not wait until the voters' promises end.
		c.leaseFrom = now.Add(c.electionTimeout)
	}
	c.byTransfer, c.transferTo, c.reads, c.campaignBackoff, c.endedTerm = false, "", nil, 0, 0
	c.peers = make(map[string]*progress)
	for _, m := range c.members() {
		c.addPeer(now, m.ID)
	}
	c.appendLocal(journaler.KindNoOp, nil)
	c.termStart = c.log.last()
	c.sendHeartbeats(now)
}

func (c *Core) addPeer(now time.Time, id string) {
	if id != c.id && c.peers[id] == nil {
		c.peers[id] = &progress{next: c.log.last() + 1, lastReply: now, clockOffset: -unknownClockOffset}
	}
}
