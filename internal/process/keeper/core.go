// Package keeper implements a Raft-style replicated log, kept on the few instances that have a
// disk. Core is the protocol as a state machine without I/O; Keeper runs it with the journal
// and the network connections.
package keeper

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/journaler"
)

const (
	// DefaultElectionTimeout is the minimum time without a leader after which a voter starts an
	// election. For the same time after each message from the leader, a voter grants no vote to
	// another keeper.
	DefaultElectionTimeout = time.Second
	// DefaultHeartbeatInterval is the interval between two rounds of heartbeats.
	DefaultHeartbeatInterval = 250 * time.Millisecond
	// DriftPercent is the maximum rate error of a keeper's monotonic clock against true time,
	// in percent.
	DriftPercent = 2

	// unknownClockOffset is the clock offset assumed for a replica that has not answered. It
	// puts the replica's clock so far behind that cluster time does not advance.
	unknownClockOffset = 100 * 365 * 24 * time.Hour

	// jitterDivisor divides the election timeout to give the maximum random addition to it. The
	// resulting jitter is far longer than an election takes, so two keepers seldom start one
	// together, and short enough to limit the time without a leader.
	jitterDivisor = 2

	maxAppendBytes = 512 << 10
	maxInFlight    = 64 // append messages without a reply, per replica
	entryOverhead  = 32 // bytes per entry, added to the length of its data
	retainEntries  = 2048
	retainBytes    = 1 << 20
)

// Role is a keeper's role in the current term.
type Role string

// The roles.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "precandidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// CoreConfig sets up a Core with the content of its journal.
type CoreConfig struct {
	State             journaler.State
	Snapshot          journaler.Snapshot
	Entries           []journaler.Entry
	Now               time.Time
	Rand              *rand.Rand
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// RetireAfter and MinVoters are described in Config.
	RetireAfter time.Duration
	MinVoters   int
}

// ReadDone reports that the read with the given ID may proceed, or, if OK is false, must be
// retried at another leader.
type ReadDone struct {
	ID uint64
	OK bool
}

// Output lists the actions that result from a number of inputs, to be executed in the order of
// the fields. Early messages may be sent before State, Snapshot and Entries are on disk,
// Messages only after.
type Output struct {
	Early     []Message
	State     *journaler.State
	Snapshot  *journaler.Snapshot
	Entries   []journaler.Entry
	Messages  []Message
	Committed []journaler.Entry
	Reads     []ReadDone
}

// IsEmpty reports whether there is nothing to execute.
func (o *Output) IsEmpty() bool {
	return o.State == nil && o.Snapshot == nil && len(o.Entries)+len(o.Early)+len(o.Messages)+len(o.Committed)+len(o.Reads) == 0
}

// membership is the set of members from the entry at index on.
type membership struct {
	index   uint64
	members []Member
}

// progress is a leader's view of another replica.
type progress struct {
	match           uint64
	next            uint64
	inFlight        int
	ackedRound      uint64        // newest heartbeat round that was answered
	lastReply       time.Time     // time of the newest reply
	clockOffset     time.Duration // of its wall clock from the leader's
	snapshotRetryAt time.Time     // while a snapshot is being sent: when to send it again
}

type heartbeatRound struct {
	number    uint64
	startedAt time.Time
}

type pendingRead struct {
	id    uint64
	round uint64
}

// Core is the replication protocol of one keeper. It does no I/O: its inputs are messages,
// proposals and the time, and Take returns the resulting actions. It is not safe for concurrent
// use.
type Core struct {
	id                string
	rand              *rand.Rand
	electionTimeout   time.Duration
	heartbeatInterval time.Duration
	retireAfter       time.Duration
	minVoters         int

	state       journaler.State
	log         entryLog
	memberships []membership
	role        Role
	leader      string
	commit      uint64
	applied     uint64 // last committed entry that Take returned
	durable     uint64 // last entry that is on disk
	nextWrite   uint64 // first entry that Take has not yet returned for writing
	lastWrite   uint64 // last entry that Take returned for writing

	electionDeadline time.Time // start of an election, unless the leader sends a message before
	promisedUntil    time.Time // no vote for another candidate before this time
	votes            map[string]bool
	byTransfer       bool   // this campaign was requested by the leader
	campaignBackoff  uint   // number of times that the campaign timeout is doubled
	endedTerm        uint64 // term in which an earlier process of this keeper may have led, else 0

	peers            map[string]*progress
	termStart        uint64           // index of the first entry of the current term
	rounds           []heartbeatRound // not yet answered by a quorum
	round            uint64
	nextHeartbeat    time.Time
	leaseUntil       time.Time
	leaseFrom        time.Time // the lease starts only then; see becomeLeader
	leaseReleased    bool      // for a transfer, for the rest of the term
	transferTo       string    // identity of the successor during a transfer
	transferDeadline time.Time
	reads            []pendingRead

	out       Output
	saveState bool
}

// NewCore returns the protocol of the keeper whose journal has the content in c.
func NewCore(c CoreConfig) *Core {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	core := &Core{
		id: c.State.Identity, rand: c.Rand, electionTimeout: c.ElectionTimeout, heartbeatInterval: c.HeartbeatInterval,
		retireAfter: c.RetireAfter, minVoters: max(c.MinVoters, minVoters),
		state: c.State, role: RoleFollower, peers: make(map[string]*progress),
	}
	core.log.reset(c.Snapshot.Index, c.Snapshot.Term)
	core.commit, core.applied = c.Snapshot.Index, c.Snapshot.Index
	if c.Snapshot.Index > 0 {
		core.memberships = []membership{{c.Snapshot.Index, decodeMembers(c.Snapshot.Members)}}
	}
	for _, e := range c.Entries {
		core.log.append(e)
		core.recordMembers(e)
	}
	core.durable, core.lastWrite, core.nextWrite = core.log.last(), core.log.last(), core.log.last()+1
	// Promises not to vote are not on disk, so after a restart the longest possible one is
	// assumed.
	core.promisedUntil = c.Now.Add(c.ElectionTimeout)
	core.resetElectionDeadline(c.Now)
	if c.State.Leader == c.State.Identity && c.State.Term > 0 {
		// In this term, the keeper was itself candidate or leader, so it made promises only to
		// itself.
		core.endedTerm, core.promisedUntil, core.electionDeadline = c.State.Term, c.Now, c.Now
	}
	return core
}

// IsEmpty reports whether the keeper holds no log and belongs to none.
func (c *Core) IsEmpty() bool { return c.log.last() == 0 && c.state.Cluster == "" }

// Create makes a new log with the given members, of which this keeper is one. The caller must
// have checked that every member is empty.
func (c *Core) Create(now time.Time, cluster string, members []Member) {
	if !c.IsEmpty() {
		panic("keeper: create on a log that exists")
	}
	c.state.Cluster, c.state.Term, c.state.Vote, c.state.Leader = cluster, 1, c.id, c.id
	c.saveState = true
	c.appendLocal(journaler.KindMembers, encodeMembers(members))
	c.electionDeadline = now.Add(c.electionTimeout)
}

// Take returns the pending actions and clears them.
func (c *Core) Take() Output {
	out := c.out
	c.out = Output{}
	if c.saveState {
		state := c.state
		out.State = &state
		c.saveState = false
	}
	if c.nextWrite <= c.log.last() {
		out.Entries = c.log.slice(c.nextWrite, c.log.last())
	}
	c.nextWrite, c.lastWrite = c.log.last()+1, c.log.last()
	if c.applied < c.commit {
		out.Committed = c.log.slice(c.applied+1, c.commit)
		c.applied = c.commit
	}
	// Early messages may only be sent once the term they carry is durable.
	if out.State != nil {
		out.Messages = append(out.Early, out.Messages...)
		out.Early = nil
	}
	return out
}

// Persisted reports that everything in the last Output is durable.
func (c *Core) Persisted(now time.Time) {
	c.durable = min(c.lastWrite, c.log.last())
	if c.role == RoleLeader {
		c.advanceCommit()
		c.advanceRound(now)
	}
}

// Tick advances the time: it starts due elections and heartbeats, and makes a leader without a
// quorum step down.
func (c *Core) Tick(now time.Time) {
	if c.role == RoleLeader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionDeadline) || now.Before(c.promisedUntil) {
		return
	}
	c.adjustCampaignBackoff()
	c.resetElectionDeadline(now)
	if c.isVoter(c.id) {
		c.campaign(now, KindPreVote)
	}
}

func (c *Core) tickLeader(now time.Time) {
	if !c.hasQuorum(func(p *progress) bool { return now.Sub(p.lastReply) < c.electionTimeout }) {
		c.becomeFollower(now, c.state.Term, "")
		return
	}
	if c.transferTo != "" && now.After(c.transferDeadline) {
		c.becomeFollower(now, c.state.Term, "")
		return
	}
	if !now.Before(c.nextHeartbeat) {
		c.sendHeartbeats(now)
	}
	c.reconfigure(now)
}

// NextTick returns the time at which Tick must be called next.
func (c *Core) NextTick() time.Time {
	if c.role == RoleLeader {
		return c.nextHeartbeat
	}
	if c.promisedUntil.After(c.electionDeadline) {
		return c.promisedUntil
	}
	return c.electionDeadline
}

// Step handles a message from another keeper.
func (c *Core) Step(now time.Time, m Message) {
	if m.To != c.id || m.From == c.id || !c.checkCluster(m) {
		return
	}
	c.releasePromise(now, m)
	if !c.checkTerm(now, m) {
		return
	}
	switch m.Kind {
	case KindPreVote, KindVote:
		c.handleVote(now, m)
	case KindPreVoteReply, KindVoteReply:
		c.handleVoteReply(now, m)
	case KindAppend:
		c.handleAppend(now, m)
	case KindSnapshot:
		c.handleSnapshot(now, m)
	case KindAppendReply:
		c.handleAppendReply(now, m)
	case KindCampaign:
		if c.role != RoleLeader && c.isVoter(c.id) {
			c.byTransfer = true
			c.campaign(now, KindVote)
		}
	}
}

// checkCluster reports whether the message belongs to this keeper's log. An empty keeper joins
// the first log that sends it a vote request, entries or a snapshot.
func (c *Core) checkCluster(m Message) bool {
	if c.state.Cluster == "" && m.Cluster != "" {
		switch m.Kind {
		case KindPreVote:
			return true // a pre-vote has no lasting effect
		case KindVote, KindAppend, KindSnapshot:
			c.state.Cluster = m.Cluster
			c.saveState = true
		}
	}
	return m.Cluster == c.state.Cluster && m.Cluster != ""
}

// checkTerm compares the terms and reports whether the message is to be handled.
func (c *Core) checkTerm(now time.Time, m Message) bool {
	if m.Term < c.state.Term {
		switch m.Kind {
		case KindAppend, KindSnapshot:
			c.send(Message{Kind: KindAppendReply, To: m.From, Reject: true})
		case KindPreVote:
			c.send(Message{Kind: KindPreVoteReply, To: m.From, Reject: true})
		}
		return false
	}
	if m.Term == c.state.Term {
		return true
	}
	switch {
	case m.Kind == KindPreVote, m.Kind == KindPreVoteReply && !m.Reject:
		return true
	case m.Kind == KindVote:
		if c.hasPromised(now) && !m.Transfer {
			return false
		}
		c.becomeFollower(now, m.Term, "")
	case m.Kind == KindAppend, m.Kind == KindSnapshot:
		c.becomeFollower(now, m.Term, m.From)
	default:
		c.becomeFollower(now, m.Term, "")
	}
	return true
}

func (c *Core) becomeFollower(now time.Time, term uint64, leader string) {
	if c.role == RoleLeader {
		c.failReads()
		// The leader counts itself in the quorum behind its lease, so it must not vote for
		// another before the lease ends.
		if c.leaseUntil.After(c.promisedUntil) {
			c.promisedUntil = c.leaseUntil
		}
	}
	if term > c.state.Term {
		c.state.Term, c.state.Vote, c.state.Leader = term, "", ""
		c.saveState = true
	}
	c.role, c.leader, c.byTransfer, c.transferTo = RoleFollower, leader, false, ""
	c.votes = nil
	c.resetElectionDeadline(now)
}

func (c *Core) resetElectionDeadline(now time.Time) {
	c.electionDeadline = now.Add(c.electionTimeout + time.Duration(c.rand.Int64N(int64(c.electionTimeout/jitterDivisor))))
}

// send queues a message that may only be sent after pending writes.
func (c *Core) send(m Message) {
	c.out.Messages = append(c.out.Messages, c.withHeader(m))
}

// sendEarly queues a message that may be sent before pending writes.
func (c *Core) sendEarly(m Message) {
	c.out.Early = append(c.out.Early, c.withHeader(m))
}

// withHeader sets the sender of a message, and the cluster and term if they are not set.
func (c *Core) withHeader(m Message) Message {
	m.From = c.id
	if m.Cluster == "" {
		m.Cluster = c.state.Cluster
	}
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	return m
}

func encodeMembers(members []Member) []byte {
	data, err := msgpack.Marshal(members)
	if err != nil {
		panic("keeper: encode members: " + err.Error())
	}
	return data
}

func decodeMembers(data []byte) []Member {
	var members []Member
	if err := msgpack.Unmarshal(data, &members); err != nil {
		panic("keeper: decode members: " + err.Error())
	}
	return members
}

func (c *Core) recordMembers(e journaler.Entry) {
	if e.Kind == journaler.KindMembers {
		c.memberships = append(c.memberships, membership{e.Index, decodeMembers(e.Data)})
	}
}

// Members returns the newest set of members, committed or not.
func (c *Core) Members() []Member { return slices.Clone(c.members()) }

func (c *Core) members() []Member {
	if len(c.memberships) == 0 {
		return nil
	}
	return c.memberships[len(c.memberships)-1].members
}
