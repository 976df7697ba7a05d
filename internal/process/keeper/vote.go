package keeper

import (
	"time"

	"hyssoprudder/internal/process/journaler"
)

// isPromised reports whether this keeper may not help to replace the leader yet.
func (c *Core) isPromised(now time.Time) bool {
	return c.role == RoleLeader || now.Before(c.promise)
}

// campaignParts divides the election timeout into the time after which a campaign
// without a result begins again. Voters answer within a few writes to their disks,
// so nothing is won by waiting for longer: the votes were split, or most voters
// have promised to wait, as after a restart of all keepers. Where disks are slower,
// the time grows with each campaign that most voters did not answer.
const campaignParts = 5

// maxPatience bounds that growth: 8 times the shortest time is more than an election
// timeout.
const maxPatience = 3

// campaignTime returns how long a campaign may last.
func (c *Core) campaignTime() time.Duration {
	shortest := c.election / campaignParts << c.patience
	return shortest + time.Duration(c.rand.Int64N(int64(shortest)))
}

// noteCampaign judges by the answers to a campaign without a result how long the
// next one has to last. Answers to pre-votes wait for no disk: where they don't
// come, most voters are down.
func (c *Core) noteCampaign() {
	switch {
	case c.role != RoleCandidate:
	case len(c.votes) > c.voters()/2:
		c.patience = 0
	default:
		c.patience = min(c.patience+1, maxPatience)
	}
}

// release ends the promise to a leader whose process has ended since: it holds no
// lease any more. The promise can be to no other one, since the leader of a term is
// on disk before anything is promised to it. A leader that was made by order says
// no such thing: the lease of the one before it may not be over.
func (c *Core) release(now time.Time, m Message) {
	if m.Over == 0 || m.Over != c.state.Term || c.state.Leader != m.From || c.role == RoleLeader {
		return
	}
	c.promise = now
	if soon := now.Add(c.campaignTime()); soon.Before(c.deadline) {
		c.deadline = soon
	}
}

func (c *Core) voters() int {
	n := 0
	for _, m := range c.members() {
		if m.Voter {
			n++
		}
	}
	return n
}

// campaign asks the voters, with KindPreVote without a new term.
func (c *Core) campaign(now time.Time, kind MessageKind) {
	term := c.state.Term + 1
	c.leader = ""
	c.votes = map[string]bool{c.id: true}
	c.role = RolePreCandidate
	if kind == KindVote {
		c.role = RoleCandidate
		c.state.Term, c.state.Vote, c.state.Leader = term, c.id, ""
		if !c.byOrder {
			c.state.Leader = c.id
		}
		c.saveState = true
	} else {
		c.byOrder = false
	}
	c.deadline = now.Add(c.campaignTime())
	if c.countVotes(now) {
		return
	}
	for _, m := range c.members() {
		if m.Voter && m.ID != c.id {
			c.send(Message{
				Kind: kind, To: m.ID, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: c.byOrder, Over: c.over,
			})
		}
	}
}

func (c *Core) handleVote(now time.Time, m Message) {
	upToDate := c.log.isUpToDate(m.Index, m.LogTerm)
	if m.Kind == KindPreVote {
		grant := m.Term > c.state.Term && !c.isPromised(now) && upToDate
		reply := Message{Kind: KindPreVoteReply, To: m.From, Cluster: m.Cluster, Reject: !grant}
		if grant {
			reply.Term = m.Term
		}
		c.send(reply)
		return
	}
	free := c.state.Vote == "" || c.state.Vote == m.From
	grant := free && upToDate && c.role != RoleLeader && (m.Transfer || !c.isPromised(now))
	if grant {
		if c.state.Vote != m.From {
			c.state.Vote = m.From
			if c.state.Leader == "" && !m.Transfer {
				c.state.Leader = m.From
			}
			c.saveState = true
		}
		c.resetDeadline(now)
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

// countVotes goes on with the election if a quorum agrees. It reports whether it
// did.
func (c *Core) countVotes(now time.Time) bool {
	yes := 0
	for _, m := range c.members() {
		if m.Voter && c.votes[m.ID] {
			yes++
		}
	}
	if yes <= c.voters()/2 {
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
	c.leaseUntil, c.leaseGone, c.leaseFrom = time.Time{}, false, now
	if c.byOrder {
		// An ordered campaign does not wait for the promises of the voters to end.
		c.leaseFrom = now.Add(c.election)
	}
	c.byOrder, c.transferTo, c.reads, c.patience, c.over = false, "", nil, 0, 0
	c.peers = make(map[string]*progress)
	for _, m := range c.members() {
		c.addPeer(now, m.ID)
	}
	c.appendLocal(journaler.KindNone, nil)
	c.termStart = c.log.last()
	c.beat(now)
}

func (c *Core) addPeer(now time.Time, id string) {
	if id != c.id && c.peers[id] == nil {
		c.peers[id] = &progress{next: c.log.last() + 1, active: now, ahead: -unknownSkew}
	}
}
