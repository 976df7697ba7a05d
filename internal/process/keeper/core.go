// Package keeper replicates the log of the system's own state over the few
// instances with a disk. Core is the protocol as a plain state machine; Keeper
// runs it with the journal and the connections.
package keeper

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hyssoprudder/internal/process/journaler"
)

const (
	// DefaultElection is the shortest time without a leader after which a voter
	// starts an election, and the time during which it votes for no other.
	DefaultElection = time.Second
	// DefaultHeartbeat is the time between two rounds of heartbeats.
	DefaultHeartbeat = 250 * time.Millisecond
	// DriftPercent bounds how much faster or slower than true time the monotonic
	// clock of a keeper may run, in percent.
	DriftPercent = 2

	// unknownSkew stands for the wall clock of a replica that has not answered: it
	// is so far behind that it lets no time pass.
	unknownSkew = 100 * 365 * 24 * time.Hour

	// jitterPart divides the election timeout into the longest random time that is
	// added to it. It stays far above the time of an election, so that two keepers
	// seldom begin one together, and keeps the time without a leader short.
	jitterPart = 2

	maxAppendBytes = 512 << 10
	maxInflight    = 64 // append messages without a reply, per replica
	entryOverhead  = 32 // bytes
	retainEntries  = 2048
	retainBytes    = 1 << 20
)

// Role is the part that a keeper plays in the current term.
type Role string

// The roles.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "precandidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
)

// CoreConfig sets up a Core with what its journal holds.
type CoreConfig struct {
	State     journaler.State
	Snapshot  journaler.Snapshot
	Entries   []journaler.Entry
	Now       time.Time
	Rand      *rand.Rand
	Election  time.Duration
	Heartbeat time.Duration
	// Retire is described in Config.
	Retire time.Duration
}

// ReadDone reports that the read with the given id may go on, or must be
// repeated with another leader.
type ReadDone struct {
	ID uint64
	OK bool
}

// Output is what must be done after a number of inputs, in the order of the
// fields. Early may be sent before the disk is written, Messages only after.
type Output struct {
	Early     []Message
	State     *journaler.State
	Snapshot  *journaler.Snapshot
	Entries   []journaler.Entry
	Messages  []Message
	Committed []journaler.Entry
	Reads     []ReadDone
}

// IsEmpty reports whether there is nothing to do.
func (o *Output) IsEmpty() bool {
	return o.State == nil && o.Snapshot == nil && len(o.Entries)+len(o.Early)+len(o.Messages)+len(o.Committed)+len(o.Reads) == 0
}

type memberPoint struct {
	index   uint64
	members []Member
}

// progress is what a leader knows about another replica.
type progress struct {
	match    uint64
	next     uint64
	inflight int
	round    uint64        // newest round that was answered
	active   time.Time     // newest answer
	ahead    time.Duration // of its wall clock against the own one
	snapshot time.Time     // while a snapshot is on its way: when to send it again
}

type round struct {
	number uint64
	at     time.Time
}

type pendingRead struct {
	id    uint64
	round uint64
}

// Core is the replication protocol of one keeper. It does no I/O: inputs are
// messages, proposals and the time, and Take returns what must be done.
// It is not safe for concurrent use.
type Core struct {
	id        string
	rand      *rand.Rand
	election  time.Duration
	heartbeat time.Duration
	retire    time.Duration

	state   journaler.State
	log     entryLog
	points  []memberPoint
	role    Role
	leader  string
	commit  uint64
	applied uint64 // newest committed entry that was handed out
	saved   uint64 // newest entry that is durable
	unsaved uint64 // oldest entry that was not handed out for writing
	writing uint64 // newest entry that was handed out for writing

	deadline time.Time // of the election timeout
	promise  time.Time // no vote for another before this
	votes    map[string]bool
	byOrder  bool   // this campaign was ordered by the leader
	patience uint   // by how many doublings campaigns last longer
	over     uint64 // term whose lease ended with an earlier process of this keeper

	peers      map[string]*progress
	termStart  uint64 // index of the first entry of the own term
	rounds     []round
	round      uint64
	nextBeat   time.Time
	leaseUntil time.Time
	leaseFrom  time.Time
	leaseGone  bool
	transferTo string
	transferBy time.Time
	reads      []pendingRead

	out       Output
	saveState bool
}

// NewCore returns the protocol of the keeper whose journal holds what c says.
func NewCore(c CoreConfig) *Core {
	if c.Election == 0 {
		c.Election = DefaultElection
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	core := &Core{
		id: c.State.Identity, rand: c.Rand, election: c.Election, heartbeat: c.Heartbeat, retire: c.Retire,
		state: c.State, role: RoleFollower, peers: make(map[string]*progress),
	}
	core.log.reset(c.Snapshot.Index, c.Snapshot.Term)
	core.commit, core.applied = c.Snapshot.Index, c.Snapshot.Index
	if c.Snapshot.Index > 0 {
		core.points = []memberPoint{{c.Snapshot.Index, decodeMembers(c.Snapshot.Members)}}
	}
	for _, e := range c.Entries {
		core.log.append(e)
		core.noteMembers(e)
	}
	core.saved, core.writing, core.unsaved = core.log.last(), core.log.last(), core.log.last()+1
	// The promises of the time before a restart are not on disk, so they are
	// kept for their longest duration.
	core.promise = c.Now.Add(c.Election)
	core.resetDeadline(c.Now)
	if c.State.Leader == c.State.Identity && c.State.Term > 0 {
		// What this keeper promised in the term, it promised to itself.
		core.over, core.promise, core.deadline = c.State.Term, c.Now, c.Now
	}
	return core
}

// IsEmpty reports whether the keeper holds no log and belongs to none.
func (c *Core) IsEmpty() bool { return c.log.last() == 0 && c.state.Cluster == "" }

// Create makes a new log with the given members, of which this keeper is one.
// Every member must be known to be empty.
func (c *Core) Create(now time.Time, cluster string, members []Member) {
	if !c.IsEmpty() {
		panic("keeper: create on a log that exists")
	}
	c.state.Cluster, c.state.Term, c.state.Vote, c.state.Leader = cluster, 1, c.id, c.id
	c.saveState = true
	c.appendLocal(journaler.KindMembers, encodeMembers(members))
	c.deadline = now.Add(c.election)
}

// Take returns what must be done and forgets it.
func (c *Core) Take() Output {
	out := c.out
	c.out = Output{}
	if c.saveState {
		state := c.state
		out.State = &state
		c.saveState = false
	}
	if c.unsaved <= c.log.last() {
		out.Entries = c.log.slice(c.unsaved, c.log.last())
	}
	c.unsaved, c.writing = c.log.last()+1, c.log.last()
	if c.applied < c.commit {
		out.Committed = c.log.slice(c.applied+1, c.commit)
		c.applied = c.commit
	}
	// Early messages rest on the term being durable.
	if out.State != nil {
		out.Messages = append(out.Early, out.Messages...)
		out.Early = nil
	}
	return out
}

// Persisted reports that everything of the last Take is durable.
func (c *Core) Persisted(now time.Time) {
	c.saved = min(c.writing, c.log.last())
	if c.role == RoleLeader {
		c.advanceCommit()
		c.advanceRound(now)
	}
}

// Tick reports the time.
func (c *Core) Tick(now time.Time) {
	if c.role == RoleLeader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.deadline) || now.Before(c.promise) {
		return
	}
	c.noteCampaign()
	c.resetDeadline(now)
	if c.isVoter(c.id) {
		c.campaign(now, KindPreVote)
	}
}

func (c *Core) tickLeader(now time.Time) {
	if !c.hasQuorum(func(p *progress) bool { return now.Sub(p.active) < c.election }) {
		c.becomeFollower(now, c.state.Term, "")
		return
	}
	if c.transferTo != "" && now.After(c.transferBy) {
		c.becomeFollower(now, c.state.Term, "")
		return
	}
	if !now.Before(c.nextBeat) {
		c.beat(now)
	}
	c.reconfigure(now)
}

// Next returns the time at which Tick has something to do.
func (c *Core) Next() time.Time {
	if c.role == RoleLeader {
		return c.nextBeat
	}
	if c.promise.After(c.deadline) {
		return c.promise
	}
	return c.deadline
}

// Step takes a message from another keeper.
func (c *Core) Step(now time.Time, m Message) {
	if m.To != c.id || m.From == c.id || !c.checkCluster(m) {
		return
	}
	c.release(now, m)
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
			c.byOrder = true
			c.campaign(now, KindVote)
		}
	}
}

// checkCluster reports whether the message is for this keeper's log. An empty
// keeper belongs to the first log that calls it a member.
func (c *Core) checkCluster(m Message) bool {
	if c.state.Cluster == "" && m.Cluster != "" {
		switch m.Kind {
		case KindPreVote:
			return true // it binds to nothing
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
		if c.isPromised(now) && !m.Transfer {
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
		// The own acknowledgement is part of the quorum that the lease rests on.
		if c.leaseUntil.After(c.promise) {
			c.promise = c.leaseUntil
		}
	}
	if term > c.state.Term {
		c.state.Term, c.state.Vote, c.state.Leader = term, "", ""
		c.saveState = true
	}
	c.role, c.leader, c.byOrder, c.transferTo = RoleFollower, leader, false, ""
	c.votes = nil
	c.resetDeadline(now)
}

func (c *Core) resetDeadline(now time.Time) {
	c.deadline = now.Add(c.election + time.Duration(c.rand.Int64N(int64(c.election/jitterPart))))
}

// send queues a message that must wait for the disk.
func (c *Core) send(m Message) {
	c.out.Messages = append(c.out.Messages, c.address(m))
}

// sendEarly queues a message that rests on nothing that is not yet on disk.
func (c *Core) sendEarly(m Message) {
	c.out.Early = append(c.out.Early, c.address(m))
}

func (c *Core) address(m Message) Message {
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

func (c *Core) noteMembers(e journaler.Entry) {
	if e.Kind == journaler.KindMembers {
		c.points = append(c.points, memberPoint{e.Index, decodeMembers(e.Data)})
	}
}

// Members returns the newest set of members, committed or not.
func (c *Core) Members() []Member { return slices.Clone(c.members()) }

func (c *Core) members() []Member {
	if len(c.points) == 0 {
		return nil
	}
	return c.points[len(c.points)-1].members
}
