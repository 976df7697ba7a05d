package keeper

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"hyssoprudder/internal/process/journaler"
)

func (c *Core) appendLocal(kind journaler.Kind, data []byte) {
	e := journaler.Entry{Index: c.log.last() + 1, Term: c.state.Term, Kind: kind, Data: data}
	c.log.append(e)
	c.recordMembers(e)
}

// Propose appends commands to the log, if this keeper is the leader and is not transferring the
// leadership. It returns the index of the first command and the term.
func (c *Core) Propose(now time.Time, commands [][]byte) (index, term uint64, ok bool) {
	if c.role != RoleLeader || c.transferTo != "" || len(commands) == 0 {
		return 0, 0, false
	}
	first := c.log.last() + 1
	for _, data := range commands {
		c.appendLocal(journaler.KindCommand, data)
	}
	c.replicate(now)
	return first, c.state.Term, true
}

// replicate sends new entries to all replicas that can accept them.
func (c *Core) replicate(now time.Time) {
	for _, m := range c.members() {
		if p := c.peers[m.ID]; p != nil {
			c.sendEntries(now, m.ID, p, false)
		}
	}
}

// sendEntries sends the entries that the replica is missing. If heartbeat is set, it sends at
// least one message, which may be empty.
func (c *Core) sendEntries(now time.Time, id string, p *progress, heartbeat bool) {
	prev := p.next - 1
	term, known := c.log.term(prev)
	if !known || !p.snapshotRetryAt.IsZero() {
		if !now.Before(p.snapshotRetryAt) {
			p.snapshotRetryAt = now.Add(snapshotRetryElections * c.electionTimeout)
			c.sendEarly(Message{Kind: KindSnapshot, To: id})
		}
		if heartbeat {
			c.sendEarly(Message{Kind: KindAppend, To: id, Round: c.round})
		}
		return
	}
	for heartbeat || p.next <= c.log.last() && p.inFlight < maxInFlight {
		m := Message{Kind: KindAppend, To: id, Index: prev, LogTerm: term, Commit: c.commit, Round: c.round}
		if p.inFlight < maxInFlight {
			m.Entries = c.log.batch(p.next, maxAppendBytes)
		}
		if n := len(m.Entries); n > 0 {
			p.next += uint64(n)
			p.inFlight++
			prev, term = p.next-1, m.Entries[n-1].Term
		}
		c.sendEarly(m)
		heartbeat = false
	}
}

// snapshotRetryElections is the time after which a snapshot is sent again, in election
// timeouts.
const snapshotRetryElections = 10

// sendHeartbeats starts a round of heartbeats.
func (c *Core) sendHeartbeats(now time.Time) {
	c.round++
	c.rounds = append(c.rounds, heartbeatRound{c.round, now})
	c.nextHeartbeat = now.Add(c.heartbeatInterval)
	for _, m := range c.members() {
		if p := c.peers[m.ID]; p != nil {
			c.sendEntries(now, m.ID, p, true)
		}
	}
	c.advanceRound(now)
}

// followLeader records a message from the leader of the current term: it resets the election
// timeout and promises not to vote for another keeper.
func (c *Core) followLeader(now time.Time, leader string) {
	if c.role != RoleFollower {
		c.becomeFollower(now, c.state.Term, leader)
	}
	c.leader, c.campaignBackoff, c.endedTerm = leader, 0, 0
	if c.state.Leader != leader {
		c.state.Leader = leader
		c.saveState = true // must be durable before the reply makes the promise
	}
	c.resetElectionDeadline(now)
	if until := now.Add(c.electionTimeout); until.After(c.promisedUntil) {
		c.promisedUntil = until
	}
}

func (c *Core) handleAppend(now time.Time, m Message) {
	if c.role == RoleLeader {
		panic(fmt.Sprintf("keeper: two leaders in term %d", m.Term))
	}
	c.followLeader(now, m.From)
	reply := Message{Kind: KindAppendReply, To: m.From, Round: m.Round, WallClock: now.UnixNano()}
	entries, prev := m.Entries, m.Index
	if prev < c.commit {
		skip := min(c.commit-prev, uint64(len(entries)))
		entries, prev = entries[skip:], prev+skip
	}
	if prev >= c.commit && !c.hasPrevious(m, prev) {
		reply.Reject, reply.Index, reply.Hint = true, m.Index, c.hint(m.Index)
		c.send(reply)
		return
	}
	c.merge(entries)
	reply.Index = prev + uint64(len(entries))
	c.commit = max(c.commit, min(m.Commit, reply.Index))
	c.send(reply)
}

// hasPrevious reports whether the entry before the new ones is in the log.
func (c *Core) hasPrevious(m Message, prev uint64) bool {
	if prev != m.Index {
		return true // committed, so it matches
	}
	return c.log.matches(prev, m.LogTerm)
}

// hint returns the last entry that may match, below the rejected one. It skips all uncommitted
// entries of the conflicting term.
func (c *Core) hint(rejected uint64) uint64 {
	index := min(rejected-1, c.log.last())
	term, ok := c.log.term(index)
	if !ok || c.log.last() < rejected {
		return index
	}
	conflict, _ := c.log.term(rejected)
	for index > c.commit && term == conflict {
		index--
		term, _ = c.log.term(index)
	}
	return index
}

func (c *Core) merge(entries []journaler.Entry) {
	for i, e := range entries {
		if c.log.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= c.commit {
			panic(fmt.Sprintf("keeper: committed entry %d would change", e.Index))
		}
		c.truncate(e.Index)
		for _, added := range entries[i:] {
			c.log.append(added)
			c.recordMembers(added)
		}
		return
	}
}

func (c *Core) truncate(index uint64) {
	if index > c.log.last() {
		return
	}
	c.log.truncate(index)
	c.nextWrite = min(c.nextWrite, index)
	c.durable = min(c.durable, index-1)
	for len(c.memberships) > 0 && c.memberships[len(c.memberships)-1].index >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

func (c *Core) handleSnapshot(now time.Time, m Message) {
	c.followLeader(now, m.From)
	s := m.Snapshot
	if s == nil {
		return
	}
	if s.Index > c.commit {
		if c.log.matches(s.Index, s.Term) {
			c.commit = s.Index
		} else {
			c.install(s)
		}
	}
	c.send(Message{Kind: KindAppendReply, To: m.From, Index: s.Index})
}

func (c *Core) install(s *journaler.Snapshot) {
	c.log.reset(s.Index, s.Term)
	c.commit, c.applied, c.durable, c.nextWrite = s.Index, s.Index, s.Index, s.Index+1
	c.memberships = []membership{{s.Index, decodeMembers(s.Members)}}
	c.out.Snapshot = s
}

func (c *Core) handleAppendReply(now time.Time, m Message) {
	p := c.peers[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	p.lastReply, p.inFlight = now, 0
	p.ackedRound = max(p.ackedRound, m.Round)
	if m.WallClock != 0 {
		p.clockOffset = time.Duration(m.WallClock - now.UnixNano())
	}
	switch {
	case !m.Reject && m.Index > p.match:
		p.match = m.Index
		p.next = max(p.next, p.match+1)
		if p.match >= c.log.baseIndex {
			p.snapshotRetryAt = time.Time{}
		}
		c.advanceCommit()
		c.finishTransfer(m.From, p)
	case m.Reject && m.Index > p.match && p.snapshotRetryAt.IsZero():
		p.next = max(p.match+1, min(m.Index, m.Hint+1))
	}
	c.sendEntries(now, m.From, p, false)
	c.advanceRound(now)
}

// advanceCommit commits what is durable at a quorum, if it is of the current term.
func (c *Core) advanceCommit() {
	index := c.quorumValue(c.durable, func(p *progress) uint64 { return p.match })
	if term, ok := c.log.term(index); ok && index > c.commit && term == c.state.Term {
		c.commit = index
	}
}

// quorumValue returns the highest value that a quorum of the voters has reached.
func (c *Core) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	return lowerMedian(c, own, of)
}

// lowerMedian returns the highest value that more than half of the voters have reached, or zero
// if there are no voters.
func lowerMedian[T cmp.Ordered](c *Core, own T, of func(*progress) T) T {
	var values []T
	for _, m := range c.members() {
		switch {
		case !m.Voter:
		case m.ID == c.id:
			values = append(values, own)
		default:
			values = append(values, of(c.peers[m.ID]))
		}
	}
	if len(values) == 0 {
		var none T
		return none
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// ClusterTimeOffset returns what a leader adds to its wall clock to get the cluster time that
// commands carry. It is the median offset over the voters, so that a single wrong clock has no
// effect. Until a quorum has answered in the term, cluster time does not advance. Package
// coordinator computes the cluster time of directives in the same way, but over all nodes.
func (c *Core) ClusterTimeOffset() time.Duration {
	if c.role != RoleLeader {
		return 0
	}
	return lowerMedian(c, 0, func(p *progress) time.Duration { return p.clockOffset })
}

func (c *Core) hasQuorum(ok func(*progress) bool) bool {
	return c.quorumValue(1, func(p *progress) uint64 {
		if ok(p) {
			return 1
		}
		return 0
	}) == 1
}

// Compact drops the entries up to index, which a durable snapshot covers, except some that
// slower replicas may still need.
func (c *Core) Compact(index uint64) {
	c.log.compact(c.log.retainFrom(index, retainEntries, retainBytes))
	for len(c.memberships) > 1 && c.memberships[1].index <= index {
		c.memberships = c.memberships[1:]
	}
}

// membersAt returns the members that were set at or before index.
func (c *Core) membersAt(index uint64) []Member {
	var members []Member
	for _, p := range c.memberships {
		if p.index <= index {
			members = p.members
		}
	}
	return members
}
